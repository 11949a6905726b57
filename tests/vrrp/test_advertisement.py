"""VRRP advertisements as bytes."""

from __future__ import annotations

import unittest

import pytest

from storage_gateway.errors import AdvertisementError
from storage_gateway.vrrp.advertisement import Advertisement, decode_advertisement, encode_advertisement


class AdvertisementTest(unittest.TestCase):
    """The codec."""

    def test_message_survives_encoding_and_damaged_ones_are_rejected(self) -> None:
        advertisement = Advertisement(1, 100, 2.5, ("10.0.0.9",))
        message = encode_advertisement(advertisement)
        assert message[:6] == bytes([49, 1, 100, 1, 0, 250])
        assert decode_advertisement(message) == advertisement
        damaged_messages = (
            b"",
            message[:-4],
            bytes([0x21]) + message[1:],
            message[:-1] + b"\0",
            message + bytes(4),
        )
        for damaged in damaged_messages:
            with pytest.raises(AdvertisementError):
                decode_advertisement(damaged)

    def test_addresses_of_ip_version_6_survive_encoding(self) -> None:
        advertisement = Advertisement(1, 100, 1.0, ("2001:db8::1", "2001:db8::2"))
        assert decode_advertisement(encode_advertisement(advertisement)) == advertisement

    def test_wrong_address_count_is_rejected(self) -> None:
        message = encode_advertisement(Advertisement(1, 100, 1.0, ("10.0.0.8", "10.0.0.9")))
        for count in (0, 1, 3):
            with pytest.raises(AdvertisementError, match=f"^{count} addresses$"):
                decode_advertisement(_with_address_count(message, count))


def _with_address_count(message: bytes, count: int) -> bytes:
    """Return the message with another count and the checksum made right for it."""
    words = [int.from_bytes(message[start : start + 2], "big") for start in range(0, len(message), 2)]
    words[1] = words[1] & 0xFF00 | count
    words[3] = 0
    total = sum(words)
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    words[3] = ~total & 0xFFFF
    return b"".join(word.to_bytes(2, "big") for word in words)

"""Tests of the VRRP advertisement encoding."""

from __future__ import annotations

import unittest

import pytest

from storage_gateway.errors import AdvertisementError
from storage_gateway.vrrp.advertisement import Advertisement, decode_advertisement, encode_advertisement


class AdvertisementTest(unittest.TestCase):
    """Encoding, decoding, and rejection of damaged messages."""

    def test_message_survives_encoding_and_damaged_messages_are_rejected(self) -> None:
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

    def test_ipv6_addresses_survive_encoding(self) -> None:
        advertisement = Advertisement(1, 100, 1.0, ("2001:db8::1", "2001:db8::2"))
        assert decode_advertisement(encode_advertisement(advertisement)) == advertisement

    def test_wrong_address_count_is_rejected(self) -> None:
        message = encode_advertisement(Advertisement(1, 100, 1.0, ("10.0.0.8", "10.0.0.9")))
        for count in (0, 1, 3):
            with pytest.raises(
                AdvertisementError, match=f"^address count {count} does not match 8 bytes of addresses$"
            ):
                decode_advertisement(_with_address_count(message, count))


def _with_address_count(message: bytes, count: int) -> bytes:
    """Return the message with another address count and a matching checksum."""
    words = [int.from_bytes(message[start : start + 2], "big") for start in range(0, len(message), 2)]
    words[1] = words[1] & 0xFF00 | count
    words[3] = 0
    total = sum(words)
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    words[3] = ~total & 0xFFFF
    return b"".join(word.to_bytes(2, "big") for word in words)

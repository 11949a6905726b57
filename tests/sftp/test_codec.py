"""Tests of the SFTP packet encoding."""

from __future__ import annotations

import unittest

import pytest

from storage_gateway.errors import PacketError
from storage_gateway.sftp import packets
from storage_gateway.sftp.codec import decode_packet, encode_packet
from storage_gateway.sftp.fields import (
    DirectoryEntry,
    ExtendedAttribute,
    FileAttributes,
    FileTimes,
    Ownership,
)
from tests.support.sftp import NO_ATTRIBUTES

ALL_ATTRIBUTES = FileAttributes(5, Ownership(1, 2), 0o644, FileTimes(3, 4), [ExtendedAttribute(b"a", b"b")])


class CodecTest(unittest.TestCase):
    """Encoding, decoding, and rejection of malformed packets."""

    def test_every_field_survives_encoding(self) -> None:
        for packet in (
            packets.Open(1, "/ä\udcff", 26, ALL_ATTRIBUTES),
            packets.Name(
                2, [DirectoryEntry("a", "-rw a", ALL_ATTRIBUTES), DirectoryEntry("b", "b", NO_ATTRIBUTES)]
            ),
            packets.Write(3, b"h", 1 << 40, b"data"),
            packets.Status(4, 8, "no", "en"),
        ):
            raw = encode_packet(packet)
            assert decode_packet(raw[4:]) == packet
            for truncated_length in range(5, len(raw) - 4):
                with pytest.raises(PacketError):
                    decode_packet(raw[4 : 4 + truncated_length])

    def test_encoding_follows_the_draft(self) -> None:
        cases: tuple[tuple[packets.Packet, str], ...] = (
            (packets.Init(3), "00000005 01 00000003"),
            (packets.Version(3, b"x"), "00000006 02 00000003 78"),
            (packets.Read(7, b"h", 1, 2), "00000016 05 00000007 00000001 68 0000000000000001 00000002"),
            (packets.Opendir(7, "/"), "0000000a 0b 00000007 00000001 2f"),
            (packets.Rename(7, "a", "b"), "0000000f 12 00000007 00000001 61 00000001 62"),
            (
                packets.Attributes(7, ALL_ATTRIBUTES),
                "00000033 69 00000007 8000000f 0000000000000005 00000001 00000002 000001a4 00000003 00000004"
                " 00000001 00000001 61 00000001 62",
            ),
        )
        for packet, hex_digits in cases:
            assert encode_packet(packet).hex() == hex_digits.replace(" ", ""), packet

    def test_every_class_has_a_unique_type_and_survives_encoding(self) -> None:
        values = {"path": "/p", "target": "/t", "flags": 1, "handle": b"h", "offset": 1, "length": 2}
        values |= {"data": b"d", "code": 4, "message": "m", "language": "en", "extensions": b""}
        values |= {"attributes": ALL_ATTRIBUTES, "entries": [DirectoryEntry("a", "a", NO_ATTRIBUTES)]}
        packet_types = {packet_class.packet_type for packet_class in packets.PACKET_CLASSES}
        assert len(packet_types) == len(packets.PACKET_CLASSES) == 22
        for packet_class in packets.PACKET_CLASSES:
            names = [name for name in packet_class.__match_args__ if name != "request_id"]
            packet = packet_class(9, *[values[name] for name in names])
            assert decode_packet(encode_packet(packet)[4:]) == packet

    def test_packets_with_equal_fields_and_different_types_are_not_equal(self) -> None:
        stat: packets.Packet = packets.Stat(1, "/p")
        lstat: packets.Packet = packets.Lstat(1, "/p")
        assert stat == packets.Stat(1, "/p")
        assert stat != lstat

    def test_packet_of_unknown_type_keeps_its_request_id(self) -> None:
        assert decode_packet(bytes([200, 0, 0, 0, 77, 1, 2, 3])) == packets.Unsupported(77)

    def test_error_has_the_request_id_if_it_could_be_read(self) -> None:
        cases: tuple[tuple[bytes, int | None, str], ...] = (
            (bytes([17, 0, 0]), None, "packet ends within a field"),
            (bytes([17, 0, 0, 0, 78, 0, 0, 1, 244]), 78, "packet ends within a field"),
            (bytes([4, 0, 0, 0, 78, 0, 0, 0, 0, 1]), 78, "packet has bytes after its last field"),
            (bytes([104, 0, 0, 0, 78, 0, 0, 1, 0]), 78, "item count exceeds the rest of the packet"),
        )
        for raw, request_id, reason in cases:
            with pytest.raises(PacketError, match=f"^{reason}$") as caught:
                decode_packet(raw)
            assert caught.value.request_id == request_id

"""SFTP version 3 packets as bytes: framing, bounds-checked decoding, and encoding."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from dataclasses import fields
from typing import Any

from storage_gateway.errors import PacketError
from storage_gateway.sftp.fields import (
    DirectoryEntry,
    ExtendedAttribute,
    FieldKind,
    FileAttributes,
    FileTimes,
    Ownership,
)
from storage_gateway.sftp.packets import PACKET_CLASSES, Packet, Unsupported

MAX_PACKET_BYTES = 66 * 1024  # after the length; the draft asks for 34,000 at least (section 3)

_UINT32 = struct.Struct(">I")
_UINT64 = struct.Struct(">Q")
_HEADER_BYTES = 1 + _UINT32.size  # packet type and request id
_MIN_ENTRY_BYTES = 3 * _UINT32.size  # a directory entry: two empty strings and the flags of no attributes
_MIN_EXTENDED_BYTES = 2 * _UINT32.size  # an extended attribute: two empty strings

# The flags that say which attributes are stated (section 5).
_HAS_SIZE = 0x00000001
_HAS_OWNERSHIP = 0x00000002
_HAS_PERMISSIONS = 0x00000004
_HAS_TIMES = 0x00000008
_HAS_EXTENDED = 0x80000000


async def read_packet(stream: asyncio.StreamReader) -> bytes:
    """Read one packet and return it without its length.

    Raises:
        PacketError: the length is one that no packet has.
        asyncio.IncompleteReadError: the peer has closed.
    """
    return await stream.readexactly(await read_packet_length(stream))


async def read_packet_length(stream: asyncio.StreamReader) -> int:
    """Read the next packet's length in bytes; the errors are those of ``read_packet``."""
    length = int.from_bytes(await stream.readexactly(_UINT32.size), "big")
    if not _HEADER_BYTES <= length <= MAX_PACKET_BYTES:
        raise PacketError(f"a packet of {length} bytes")
    return length


def decode_packet(raw: bytes) -> Packet:
    """Decode a packet without its length.

    Returns:
        The packet; ``Unsupported`` where its type is unknown.

    Raises:
        PacketError: a field does not fit; it holds the request id where that could be read.
    """
    reader = PacketReader(raw)
    packet_type = reader.take(1)[0]
    request_id = None
    try:
        request_id = reader.read_uint32()
        known = _DECODERS.get(packet_type)
        if known is None:
            return Unsupported(request_id)
        packet_class, read_functions = known
        packet = packet_class(request_id, *[read(reader) for read in read_functions])
    except PacketError as error:
        raise PacketError(str(error), request_id) from error
    if not reader.is_at_end():
        raise PacketError("bytes after the last field", request_id)
    return packet


def encode_packet(packet: Packet) -> bytes:
    """Encode a packet with its length."""
    body = b"".join([write(getattr(packet, name)) for name, write in _ENCODERS[type(packet)]])
    length = _UINT32.pack(_HEADER_BYTES + len(body))
    return length + bytes([packet.packet_type]) + _UINT32.pack(packet.request_id) + body


class PacketReader:
    """A cursor over a packet's bytes; each method takes one value and raises PacketError beyond the end."""

    __slots__ = ("_position", "_raw")

    def __init__(self, raw: bytes) -> None:
        self._raw = raw
        self._position = 0

    def is_at_end(self) -> bool:
        """Return whether all bytes have been taken."""
        return self._position == len(self._raw)

    def take(self, size: int) -> bytes:
        """Take so many bytes."""
        start = self._position
        end = start + size
        if end > len(self._raw):
            raise PacketError("the packet ends within a field")
        self._position = end
        return self._raw[start:end]

    def read_uint32(self) -> int:
        """Take a number of 4 bytes."""
        return int.from_bytes(self.take(4), "big")

    def read_uint64(self) -> int:
        """Take a number of 8 bytes."""
        return int.from_bytes(self.take(8), "big")

    def read_string(self) -> bytes:
        """Take bytes that follow their length."""
        return self.take(self.read_uint32())

    def read_text(self) -> str:
        """Take a string as UTF-8; other bytes become surrogates, so that each path survives a round trip."""
        return self.read_string().decode("utf-8", "surrogateescape")

    def read_remainder(self) -> bytes:
        """Take all bytes that are left."""
        return self.take(len(self._raw) - self._position)

    def read_attributes(self) -> FileAttributes:
        """Take the attributes that their flags announce."""
        flags = self.read_uint32()
        attributes = FileAttributes()
        if flags & _HAS_SIZE:
            attributes.size = self.read_uint64()
        if flags & _HAS_OWNERSHIP:
            attributes.ownership = Ownership(self.read_uint32(), self.read_uint32())
        if flags & _HAS_PERMISSIONS:
            attributes.permissions = self.read_uint32()
        if flags & _HAS_TIMES:
            attributes.times = FileTimes(self.read_uint32(), self.read_uint32())
        if flags & _HAS_EXTENDED:
            count = self._read_count(_MIN_EXTENDED_BYTES)
            attributes.extended = [
                ExtendedAttribute(self.read_string(), self.read_string()) for _ in range(count)
            ]
        return attributes

    def read_entries(self) -> list[DirectoryEntry]:
        """Take directory entries that follow their count."""
        count = self._read_count(_MIN_ENTRY_BYTES)
        return [
            DirectoryEntry(self.read_text(), self.read_text(), self.read_attributes()) for _ in range(count)
        ]

    def _read_count(self, min_item_bytes: int) -> int:
        """Take a count of items; one that the rest cannot hold is rejected before any item is made."""
        count = self.read_uint32()
        if count * min_item_bytes > len(self._raw) - self._position:
            raise PacketError("a count beyond the packet's end")
        return count


def pack_uint32(value: int) -> bytes:
    """Encode a number as 4 bytes."""
    return _UINT32.pack(value)


def _pack_uint64(value: int) -> bytes:
    return _UINT64.pack(value)


def _pack_string(value: bytes) -> bytes:
    return _UINT32.pack(len(value)) + value


def _pack_text(value: str) -> bytes:
    return _pack_string(value.encode("utf-8", "surrogateescape"))


def _pack_attributes(attributes: FileAttributes) -> bytes:
    flags = 0
    parts = []
    if attributes.size is not None:
        flags |= _HAS_SIZE
        parts.append(_UINT64.pack(attributes.size))
    if attributes.ownership is not None:
        flags |= _HAS_OWNERSHIP
        parts.append(_UINT32.pack(attributes.ownership.user_id))
        parts.append(_UINT32.pack(attributes.ownership.group_id))
    if attributes.permissions is not None:
        flags |= _HAS_PERMISSIONS
        parts.append(_UINT32.pack(attributes.permissions))
    if attributes.times is not None:
        flags |= _HAS_TIMES
        parts.append(_UINT32.pack(attributes.times.accessed_at))
        parts.append(_UINT32.pack(attributes.times.modified_at))
    if attributes.extended:
        flags |= _HAS_EXTENDED
        parts.append(_UINT32.pack(len(attributes.extended)))
        parts.extend(_pack_string(item.name) + _pack_string(item.value) for item in attributes.extended)
    return _UINT32.pack(flags) + b"".join(parts)


def _pack_entries(entries: list[DirectoryEntry]) -> bytes:
    parts = [
        _pack_text(entry.filename) + _pack_text(entry.long_name) + _pack_attributes(entry.attributes)
        for entry in entries
    ]
    return _UINT32.pack(len(entries)) + b"".join(parts)


_ReadFunction = Callable[[PacketReader], Any]
_WriteFunction = Callable[[Any], bytes]

_READ_FUNCTIONS: dict[FieldKind, _ReadFunction] = {
    FieldKind.UINT32: PacketReader.read_uint32,
    FieldKind.UINT64: PacketReader.read_uint64,
    FieldKind.STRING: PacketReader.read_string,
    FieldKind.TEXT: PacketReader.read_text,
    FieldKind.REMAINDER: PacketReader.read_remainder,
    FieldKind.ATTRIBUTES: PacketReader.read_attributes,
    FieldKind.ENTRIES: PacketReader.read_entries,
}

_WRITE_FUNCTIONS: dict[FieldKind, _WriteFunction] = {
    FieldKind.UINT32: pack_uint32,
    FieldKind.UINT64: _pack_uint64,
    FieldKind.STRING: _pack_string,
    FieldKind.TEXT: _pack_text,
    FieldKind.REMAINDER: bytes,
    FieldKind.ATTRIBUTES: _pack_attributes,
    FieldKind.ENTRIES: _pack_entries,
}


def _field_encoders(packet_class: type[Packet]) -> list[tuple[str, _WriteFunction]]:
    names = [field.name for field in fields(packet_class) if field.name != "request_id"]
    return [(name, _WRITE_FUNCTIONS[kind]) for name, kind in zip(names, packet_class.layout, strict=True)]


# Both are made once, so that a packet costs no look-up of its layout.
_DECODERS: dict[int, tuple[type[Packet], list[_ReadFunction]]] = {
    packet_class.packet_type: (packet_class, [_READ_FUNCTIONS[kind] for kind in packet_class.layout])
    for packet_class in PACKET_CLASSES
}
_ENCODERS: dict[type[Packet], list[tuple[str, _WriteFunction]]] = {
    packet_class: _field_encoders(packet_class) for packet_class in (*PACKET_CLASSES, Unsupported)
}

"""SFTP version 3 wire format: packet framing, bounds-checked decoding, and encoding."""

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

MAX_PACKET_BYTES = 66 * 1024  # without the length field; the draft asks for at least 34,000 (section 3)

_UINT32 = struct.Struct(">I")
_UINT64 = struct.Struct(">Q")
_HEADER_BYTES = 1 + _UINT32.size  # packet type and request id
_MIN_ENTRY_BYTES = 3 * _UINT32.size  # directory entry: two empty strings, no attribute flags
_MIN_EXTENDED_BYTES = 2 * _UINT32.size  # extended attribute: two empty strings

# Flags that mark which attributes are present (section 5).
_HAS_SIZE = 0x00000001
_HAS_OWNERSHIP = 0x00000002
_HAS_PERMISSIONS = 0x00000004
_HAS_TIMES = 0x00000008
_HAS_EXTENDED = 0x80000000


async def read_packet(stream: asyncio.StreamReader) -> bytes:
    """Read one packet and return it without its length field.

    Raises:
        PacketError: the length is outside the accepted range.
        asyncio.IncompleteReadError: the peer closed the connection.
    """
    return await stream.readexactly(await read_packet_length(stream))


async def read_packet_length(stream: asyncio.StreamReader) -> int:
    """Read the next packet's length in bytes; raises the errors of ``read_packet``."""
    length = int.from_bytes(await stream.readexactly(_UINT32.size), "big")
    if not _HEADER_BYTES <= length <= MAX_PACKET_BYTES:
        raise PacketError(
            f"packet length is {length} bytes, expected {_HEADER_BYTES} to {MAX_PACKET_BYTES} bytes"
        )
    return length


def decode_packet(raw: bytes) -> Packet:
    """Decode a packet that was read without its length field.

    Returns:
        The packet; ``Unsupported`` if its type is unknown.

    Raises:
        PacketError: the packet is malformed; carries the request id if it could be read.
    """
    reader = PacketReader(raw)
    packet_type = reader.read_bytes(1)[0]
    request_id = None
    try:
        request_id = reader.read_uint32()
        decoder = _DECODERS.get(packet_type)
        if decoder is None:
            return Unsupported(request_id)
        packet_class, read_functions = decoder
        packet = packet_class(request_id, *[read(reader) for read in read_functions])
    except PacketError as error:
        raise PacketError(str(error), request_id) from error
    if not reader.is_at_end():
        raise PacketError("packet has bytes after its last field", request_id)
    return packet


def encode_packet(packet: Packet) -> bytes:
    """Encode a packet, including its length field."""
    body = b"".join([write(getattr(packet, name)) for name, write in _ENCODERS[type(packet)]])
    length = _UINT32.pack(_HEADER_BYTES + len(body))
    return length + bytes([packet.packet_type]) + _UINT32.pack(packet.request_id) + body


class PacketReader:
    """A cursor over a packet's bytes; each read method raises PacketError if the packet is too short."""

    __slots__ = ("_position", "_raw")

    def __init__(self, raw: bytes) -> None:
        self._raw = raw
        self._position = 0

    def is_at_end(self) -> bool:
        """Return whether all bytes have been read."""
        return self._position == len(self._raw)

    def read_bytes(self, size: int) -> bytes:
        """Read exactly ``size`` bytes."""
        start = self._position
        end = start + size
        if end > len(self._raw):
            raise PacketError("packet ends within a field")
        self._position = end
        return self._raw[start:end]

    def read_uint32(self) -> int:
        """Read an unsigned 32-bit integer."""
        return int.from_bytes(self.read_bytes(4), "big")

    def read_uint64(self) -> int:
        """Read an unsigned 64-bit integer."""
        return int.from_bytes(self.read_bytes(8), "big")

    def read_string(self) -> bytes:
        """Read a byte string that is preceded by its length."""
        return self.read_bytes(self.read_uint32())

    def read_text(self) -> str:
        """Read a UTF-8 string; invalid bytes become surrogates, so that any path survives a round trip."""
        return self.read_string().decode("utf-8", "surrogateescape")

    def read_remainder(self) -> bytes:
        """Read all remaining bytes."""
        return self.read_bytes(len(self._raw) - self._position)

    def read_attributes(self) -> FileAttributes:
        """Read the attributes whose flags are set."""
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
        """Read directory entries that are preceded by their count."""
        count = self._read_count(_MIN_ENTRY_BYTES)
        return [
            DirectoryEntry(self.read_text(), self.read_text(), self.read_attributes()) for _ in range(count)
        ]

    def _read_count(self, min_item_bytes: int) -> int:
        """Read a count of items; one too large for the remaining bytes is rejected before any allocation."""
        count = self.read_uint32()
        if count * min_item_bytes > len(self._raw) - self._position:
            raise PacketError("item count exceeds the rest of the packet")
        return count


def pack_uint32(value: int) -> bytes:
    """Encode an unsigned 32-bit integer."""
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


# Both tables are built once, so that no packet has to look up its layout.
_DECODERS: dict[int, tuple[type[Packet], list[_ReadFunction]]] = {
    packet_class.packet_type: (packet_class, [_READ_FUNCTIONS[kind] for kind in packet_class.layout])
    for packet_class in PACKET_CLASSES
}
_ENCODERS: dict[type[Packet], list[tuple[str, _WriteFunction]]] = {
    packet_class: _field_encoders(packet_class) for packet_class in (*PACKET_CLASSES, Unsupported)
}

"""Commands that a storage node executes, and the exchange of packets that each one takes."""

from __future__ import annotations

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, ClassVar

from storage_gateway.errors import PacketError
from storage_gateway.sftp import packets
from storage_gateway.sftp.fields import DirectoryEntry, FileAttributes, OpenFlags, StatusCode
from storage_gateway.sftp.node_connection import SftpConnection

MAX_LISTING_ENTRIES = 20_000
WRITE_CHUNK_BYTES = 32 * 1024  # what every server must accept in a WRITE (section 3 of the draft)


@dataclass(slots=True)
class Extent:
    """Contiguous bytes of a file."""

    offset: int
    data: bytes


@dataclass(slots=True)
class ReadRange:
    """Read at most ``length`` bytes of a file."""

    is_write: ClassVar[bool] = False
    path: str
    offset: int
    length: int


@dataclass(slots=True)
class ListDirectory:
    """Read all entries of a directory."""

    is_write: ClassVar[bool] = False
    path: str


@dataclass(slots=True)
class Upload:
    """Write all that a client wrote to a handle, once the client has closed it."""

    is_write: ClassVar[bool] = True
    path: str
    flags: int
    attributes: FileAttributes
    extents: list[Extent]


@dataclass(slots=True)
class SimpleCommand:
    """A command of one request packet."""

    packet: packets.Packet
    is_write: bool


Command = ReadRange | ListDirectory | Upload | SimpleCommand


def run_command(connection: SftpConnection, command: Command) -> Coroutine[Any, Any, packets.Packet]:
    """Return the exchange of the whole command, to be awaited; its result is the reply that decides.

    It raises OSError or EOFError where the connection breaks, and PacketError for a reply that does not fit.
    """
    match command:
        case SimpleCommand(packet=packet):
            return connection.request(packet)
        case ReadRange():
            return _read_range(connection, command)
        case ListDirectory():
            return _list_directory(connection, command)
        case Upload():
            return _upload(connection, command)


async def _read_range(connection: SftpConnection, command: ReadRange) -> packets.Packet:
    opened = await connection.request(packets.Open(0, command.path, OpenFlags.READ, FileAttributes()))
    if not isinstance(opened, packets.Handle):
        return opened
    reply = await connection.request(packets.Read(0, opened.handle, command.offset, command.length))
    await connection.request(packets.Close(0, opened.handle))
    if not isinstance(reply, packets.Data | packets.Status):
        raise PacketError(f"an answer of type {reply.packet_type}")
    return reply


async def _list_directory(connection: SftpConnection, command: ListDirectory) -> packets.Packet:
    opened = await connection.request(packets.Opendir(0, command.path))
    if not isinstance(opened, packets.Handle):
        return opened
    entries: list[DirectoryEntry] = []
    while True:
        reply = await connection.request(packets.Readdir(0, opened.handle))
        if not isinstance(reply, packets.Name) or not reply.entries:
            break
        entries += reply.entries
        if len(entries) > MAX_LISTING_ENTRIES:
            raise PacketError("too long a listing")
    await connection.request(packets.Close(0, opened.handle))
    return packets.Name(0, entries) if _is_end_of_listing(reply) else reply


def _is_end_of_listing(reply: packets.Packet) -> bool:
    """Return whether the reply ends a listing: the status of the draft, or a reply without entries."""
    if isinstance(reply, packets.Status):
        return reply.code == StatusCode.EOF
    return isinstance(reply, packets.Name)


async def _upload(connection: SftpConnection, command: Upload) -> packets.Packet:
    """Open, then send every WRITE and the CLOSE at once, and only then read the replies."""
    opened = await connection.request(packets.Open(0, command.path, command.flags, command.attributes))
    if not isinstance(opened, packets.Handle):
        return opened
    first_request_id = connection.last_request_id + 1
    for extent in command.extents:
        for start in range(0, len(extent.data), WRITE_CHUNK_BYTES):
            chunk = extent.data[start : start + WRITE_CHUNK_BYTES]
            await connection.send(packets.Write(0, opened.handle, extent.offset + start, chunk))
    await connection.send(packets.Close(0, opened.handle))
    request_ids = range(first_request_id, connection.last_request_id + 1)
    replies = [await connection.receive(request_id) for request_id in request_ids]
    for reply in replies:
        if not isinstance(reply, packets.Status) or reply.code != StatusCode.OK:
            return reply
    return replies[-1]

"""Commands that a storage node executes, and the packet exchange of each."""

from __future__ import annotations

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, ClassVar

from storage_gateway.errors import PacketError
from storage_gateway.sftp import packets
from storage_gateway.sftp.fields import DirectoryEntry, FileAttributes, OpenFlags, StatusCode
from storage_gateway.sftp.node_connection import SftpConnection

MAX_LISTING_ENTRIES = 20_000  # per directory; the listing of a larger one fails
WRITE_CHUNK_BYTES = 32 * 1024  # data that every server must accept in a WRITE (section 3 of the draft)


@dataclass(slots=True)
class Extent:
    """Contiguous bytes of a file, starting at byte ``offset``."""

    offset: int
    data: bytes


@dataclass(slots=True)
class ReadRange:
    """Read at most ``length`` bytes of a file, starting at byte ``offset``."""

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
    """Store everything that a client wrote to a handle; executed once the client closes the handle."""

    is_write: ClassVar[bool] = True
    path: str
    flags: int
    attributes: FileAttributes
    extents: list[Extent]


@dataclass(slots=True)
class SimpleCommand:
    """A command that consists of a single request packet."""

    packet: packets.Packet
    is_write: bool


Command = ReadRange | ListDirectory | Upload | SimpleCommand


def run_command(connection: SftpConnection, command: Command) -> Coroutine[Any, Any, packets.Packet]:
    """Return a coroutine that executes the command and returns the response that determines its outcome.

    The coroutine raises OSError or EOFError if the connection breaks, and PacketError for an unexpected
    response.
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
    response = await connection.request(packets.Read(0, opened.handle, command.offset, command.length))
    await connection.request(packets.Close(0, opened.handle))
    if not isinstance(response, packets.Data | packets.Status):
        raise PacketError(
            f"expected DATA or STATUS in response to READ, got packet type {response.packet_type}"
        )
    return response


async def _list_directory(connection: SftpConnection, command: ListDirectory) -> packets.Packet:
    opened = await connection.request(packets.Opendir(0, command.path))
    if not isinstance(opened, packets.Handle):
        return opened
    entries: list[DirectoryEntry] = []
    while True:
        response = await connection.request(packets.Readdir(0, opened.handle))
        if not isinstance(response, packets.Name) or not response.entries:
            break
        entries += response.entries
        if len(entries) > MAX_LISTING_ENTRIES:
            raise PacketError(f"directory listing has more than {MAX_LISTING_ENTRIES} entries")
    await connection.request(packets.Close(0, opened.handle))
    return packets.Name(0, entries) if _is_end_of_listing(response) else response


def _is_end_of_listing(response: packets.Packet) -> bool:
    """Return whether the response ends a listing: the draft's EOF status, or a NAME without entries."""
    if isinstance(response, packets.Status):
        return response.code == StatusCode.EOF
    return isinstance(response, packets.Name)


async def _upload(connection: SftpConnection, command: Upload) -> packets.Packet:
    """Open the file, pipeline every WRITE and the CLOSE, and only then read their responses."""
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
    responses = [await connection.receive(request_id) for request_id in request_ids]
    for response in responses:
        if not isinstance(response, packets.Status) or response.code != StatusCode.OK:
            return response
    return responses[-1]

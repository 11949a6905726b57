"""Handling of each request of an SFTP client."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from storage_gateway.config import SftpConfig
from storage_gateway.sftp import packets
from storage_gateway.sftp.commands import ListDirectory, ReadRange, SimpleCommand, Upload
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import DirectoryEntry, FileAttributes, OpenFlags, StatusCode
from storage_gateway.sftp.handles import HandleTable, ListingHandle, OpenHandle, ReadHandle, UploadHandle
from storage_gateway.sftp.scheduler import CommandScheduler
from storage_gateway.sftp.volumes import DIRECTORY_MODE, VolumeTree, absolute_path

MAX_LISTED_ENTRIES = 40_000  # directory entries held in memory, over all sessions
MAX_ENTRIES_PER_RESPONSE = 64

_ResponseCoroutine = Coroutine[Any, Any, packets.Packet]


class RequestHandler:
    """Handles the requests of one session; the session sets the request id of each response.

    An upload is buffered in its handle and sent to a node as one command at CLOSE, whose status reports the
    outcome. A directory is read completely at OPENDIR. So no handle is open at a node between two requests,
    and each request may go to a different node.
    """

    def __init__(
        self,
        config: SftpConfig,
        volumes: VolumeTree,
        scheduler: CommandScheduler,
        count_listed_entries: Callable[[], int],
    ) -> None:
        """Create a handler without open handles.

        Args:
            config: limits the size of an upload and the number of open handles.
            volumes: maps paths to volumes.
            scheduler: executes commands at storage nodes.
            count_listed_entries: returns the number of directory entries that all sessions hold in memory.
        """
        self.handles = HandleTable(config.max_handles)
        self._max_upload_bytes = config.max_upload_bytes
        self._volumes = volumes
        self._scheduler = scheduler
        self._count_listed_entries = count_listed_entries

    def handle(self, request: packets.Packet) -> _ResponseCoroutine:
        """Return a coroutine that handles the request and returns its response.

        The coroutine raises CommandError if the gateway itself responds with a status.
        """
        handler = _HANDLERS.get(type(request), RequestHandler._reject_unsupported)
        return handler(self, request)

    async def _reject_unsupported(self, request: packets.Packet) -> packets.Packet:
        raise CommandError(StatusCode.OP_UNSUPPORTED, "unsupported request type")

    async def _realpath(self, request: packets.Realpath) -> packets.Packet:
        path = absolute_path(request.path)
        return packets.Name(0, [DirectoryEntry(path, path, FileAttributes())])

    async def _open(self, request: packets.Open) -> packets.Packet:
        path = absolute_path(request.path)
        self._volumes.find(path)
        self.handles.check_capacity()
        access = request.flags & (OpenFlags.READ | OpenFlags.WRITE)
        if access == OpenFlags.WRITE:
            return self._add_handle(UploadHandle(path, request.flags, request.attributes))
        if access != OpenFlags.READ:
            raise CommandError(
                StatusCode.OP_UNSUPPORTED, "OPEN requires the READ or the WRITE flag, not both"
            )
        response = await self._execute_simple(path, packets.Stat(0, path), is_write=False)
        if not isinstance(response, packets.Attributes):
            return response
        return self._add_handle(ReadHandle(path))

    async def _read(self, request: packets.Read) -> packets.Packet:
        path = self.handles.get(request.handle, ReadHandle).path
        length = min(request.length, self._max_upload_bytes)
        command = ReadRange(path, request.offset, length)
        return await self._scheduler.execute(command, path, f"{path}@{request.offset}", length)

    async def _write(self, request: packets.Write) -> packets.Packet:
        upload = self.handles.get(request.handle, UploadHandle)
        if upload.size_bytes + len(request.data) > self._max_upload_bytes:
            upload.is_incomplete = True
            raise CommandError(
                StatusCode.FAILURE, f"upload exceeds the limit of {self._max_upload_bytes} bytes"
            )
        upload.write(request.offset, request.data)
        return _ok()

    async def _close(self, request: packets.Close) -> packets.Packet:
        handle = self.handles.remove(request.handle)
        if not isinstance(handle, UploadHandle):
            return _ok()
        if handle.is_incomplete:
            raise CommandError(StatusCode.FAILURE, "upload not stored: a write to this handle was rejected")
        command = Upload(handle.path, handle.flags, handle.attributes, handle.extents)
        return await self._scheduler.execute(command, handle.path, handle.path, handle.size_bytes)

    async def _opendir(self, request: packets.Opendir) -> packets.Packet:
        path = absolute_path(request.path)
        self.handles.check_capacity()
        entries = self._volumes.list_above_volumes(path)
        if entries:
            return self._add_handle(ListingHandle(path, entries))
        if self._count_listed_entries() > MAX_LISTED_ENTRIES:
            raise CommandError(
                StatusCode.FAILURE, f"open listings hold more than {MAX_LISTED_ENTRIES} entries"
            )
        response = await self._scheduler.execute(ListDirectory(path), path, path, 0)
        if not isinstance(response, packets.Name):
            return response
        return self._add_handle(ListingHandle(path, response.entries))

    async def _readdir(self, request: packets.Readdir) -> packets.Packet:
        listing = self.handles.get(request.handle, ListingHandle)
        entries = listing.entries[:MAX_ENTRIES_PER_RESPONSE]
        listing.entries = listing.entries[MAX_ENTRIES_PER_RESPONSE:]
        if not entries:
            return packets.Status(0, StatusCode.EOF, "end of listing")
        return packets.Name(0, entries)

    async def _fstat(self, request: packets.Fstat) -> packets.Packet:
        handle = self.handles.get_any(request.handle)
        if isinstance(handle, UploadHandle):
            return packets.Attributes(0, replace(handle.attributes, size=handle.size_bytes))
        return await self._execute_simple(handle.path, packets.Stat(0, handle.path), is_write=False)

    async def _stat(self, request: packets.Stat | packets.Lstat) -> packets.Packet:
        path = absolute_path(request.path)
        if self._volumes.list_above_volumes(path):
            return packets.Attributes(0, FileAttributes(permissions=DIRECTORY_MODE))
        return await self._execute_simple(path, replace(request, path=path), is_write=False)

    async def _change_path(
        self, request: packets.Remove | packets.Rmdir | packets.Mkdir | packets.Setstat
    ) -> packets.Packet:
        path = absolute_path(request.path)
        return await self._execute_simple(path, replace(request, path=path), is_write=True)

    async def _rename(self, request: packets.Rename) -> packets.Packet:
        path = absolute_path(request.path)
        target = absolute_path(request.target)
        if self._volumes.find(path) != self._volumes.find(target):
            raise CommandError(StatusCode.FAILURE, "source and target of a rename must be on the same volume")
        return await self._execute_simple(path, packets.Rename(0, path, target), is_write=True)

    def _execute_simple(self, path: str, packet: packets.Packet, is_write: bool) -> _ResponseCoroutine:
        return self._scheduler.execute(SimpleCommand(packet, is_write), path, path, 0)

    def _add_handle(self, handle: OpenHandle) -> packets.Handle:
        return packets.Handle(0, self.handles.add(handle))


def _ok() -> packets.Status:
    return packets.Status(0, StatusCode.OK, "ok")


_HANDLERS: dict[type[packets.Packet], Callable[[RequestHandler, Any], _ResponseCoroutine]] = {
    packets.Realpath: RequestHandler._realpath,
    packets.Open: RequestHandler._open,
    packets.Read: RequestHandler._read,
    packets.Write: RequestHandler._write,
    packets.Close: RequestHandler._close,
    packets.Opendir: RequestHandler._opendir,
    packets.Readdir: RequestHandler._readdir,
    packets.Fstat: RequestHandler._fstat,
    packets.Stat: RequestHandler._stat,
    packets.Lstat: RequestHandler._stat,
    packets.Remove: RequestHandler._change_path,
    packets.Rmdir: RequestHandler._change_path,
    packets.Mkdir: RequestHandler._change_path,
    packets.Setstat: RequestHandler._change_path,
    packets.Rename: RequestHandler._rename,
}

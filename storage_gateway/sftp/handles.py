"""The open handles of a session."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeVar

from storage_gateway.sftp.commands import Extent
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import DirectoryEntry, FileAttributes, StatusCode


@dataclass(slots=True)
class ReadHandle:
    """A file open for reading."""

    path: str


@dataclass(slots=True)
class UploadHandle:
    """A file open for writing; its data is buffered and sent to a node as one upload at CLOSE.

    Attributes:
        path: absolute path of the file.
        flags: the open flags of the client's OPEN.
        attributes: the file attributes of the client's OPEN.
        size_bytes: total bytes written; overlapping writes count each time.
        extents: the data written, in the order of the WRITEs.
        is_incomplete: a WRITE was rejected, so the extents lack data that the client means to store.
    """

    path: str
    flags: int
    attributes: FileAttributes
    size_bytes: int = 0
    extents: list[Extent] = field(default_factory=list)
    is_incomplete: bool = False

    def write(self, offset: int, data: bytes) -> None:
        """Add data; data that continues the last extent is appended to it."""
        self.size_bytes += len(data)
        if self.extents:
            last = self.extents[-1]
            if last.offset + len(last.data) == offset:
                last.data += data
                return
        self.extents.append(Extent(offset, data))


@dataclass(slots=True)
class ListingHandle:
    """An open directory; ``entries`` are those not returned to the client yet."""

    path: str
    entries: list[DirectoryEntry]


OpenHandle = ReadHandle | UploadHandle | ListingHandle
_HandleType = TypeVar("_HandleType", ReadHandle, UploadHandle, ListingHandle)


class HandleTable:
    """The open handles of one session, by handle id."""

    def __init__(self, max_handles: int) -> None:
        self._max_handles = max_handles
        self._handles: dict[bytes, OpenHandle] = {}
        self._last_handle_number = 0

    def check_capacity(self) -> None:
        """Raise CommandError if the session has reached its limit of open handles."""
        if len(self._handles) >= self._max_handles:
            raise CommandError(StatusCode.FAILURE, f"too many open handles, the limit is {self._max_handles}")

    def add(self, handle: OpenHandle) -> bytes:
        """Add a handle and return its id, which is never reused within the session."""
        self._last_handle_number += 1
        handle_id = str(self._last_handle_number).encode()
        self._handles[handle_id] = handle
        return handle_id

    def get(self, handle_id: bytes, kind: type[_HandleType]) -> _HandleType:
        """Return the open handle with this id.

        Raises:
            CommandError: the handle is not open or is not of this kind.
        """
        handle = self._handles.get(handle_id)
        if not isinstance(handle, kind):
            raise CommandError(StatusCode.FAILURE, "unknown handle, or handle of another kind")
        return handle

    def get_any(self, handle_id: bytes) -> OpenHandle:
        """Return the open handle with this id; raises CommandError if it is not open."""
        handle = self._handles.get(handle_id)
        if handle is None:
            raise CommandError(StatusCode.FAILURE, "unknown handle")
        return handle

    def remove(self, handle_id: bytes) -> OpenHandle:
        """Remove and return a handle; raises CommandError if it is not open."""
        handle = self.get_any(handle_id)
        del self._handles[handle_id]
        return handle

    def count_listed_entries(self) -> int:
        """Return how many unread directory entries the open listings hold in memory."""
        listings = [handle for handle in self._handles.values() if isinstance(handle, ListingHandle)]
        return sum(len(listing.entries) for listing in listings)

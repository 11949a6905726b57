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
    """A file open for writing; the node receives it as a whole, at CLOSE.

    Attributes:
        path: the file.
        flags: the flags of the client's OPEN.
        attributes: the attributes of the client's OPEN.
        size_bytes: bytes that were written, also where they overlap.
        extents: what was written, in the order of the WRITEs.
        is_incomplete: a WRITE was rejected, so that the extents are not what the client means to store.
    """

    path: str
    flags: int
    attributes: FileAttributes
    size_bytes: int = 0
    extents: list[Extent] = field(default_factory=list)
    is_incomplete: bool = False

    def write(self, offset: int, data: bytes) -> None:
        """Add bytes; those that follow the last extent lengthen it."""
        self.size_bytes += len(data)
        if self.extents:
            last = self.extents[-1]
            if last.offset + len(last.data) == offset:
                last.data += data
                return
        self.extents.append(Extent(offset, data))


@dataclass(slots=True)
class ListingHandle:
    """An open directory; ``entries`` are those that the client has not read yet."""

    path: str
    entries: list[DirectoryEntry]


OpenHandle = ReadHandle | UploadHandle | ListingHandle
_HandleType = TypeVar("_HandleType", ReadHandle, UploadHandle, ListingHandle)


class HandleTable:
    """The handles of one session, by the ids that its client uses."""

    def __init__(self, max_handles: int) -> None:
        self._max_handles = max_handles
        self._handles: dict[bytes, OpenHandle] = {}
        self._last_number = 0

    def check_capacity(self) -> None:
        """Raise CommandError where the session has as many handles as it may have."""
        if len(self._handles) >= self._max_handles:
            raise CommandError(StatusCode.FAILURE, "too many open handles")

    def add(self, handle: OpenHandle) -> bytes:
        """Add a handle and return its id, which the session never had before."""
        self._last_number += 1
        handle_id = str(self._last_number).encode()
        self._handles[handle_id] = handle
        return handle_id

    def get(self, handle_id: bytes, kind: type[_HandleType]) -> _HandleType:
        """Return a handle of this kind.

        Raises:
            CommandError: no such handle is open.
        """
        handle = self._handles.get(handle_id)
        if not isinstance(handle, kind):
            raise CommandError(StatusCode.FAILURE, "unknown handle, or of another kind")
        return handle

    def get_any(self, handle_id: bytes) -> OpenHandle:
        """Return a handle of whichever kind; the errors are those of ``get``."""
        handle = self._handles.get(handle_id)
        if handle is None:
            raise CommandError(StatusCode.FAILURE, "unknown handle")
        return handle

    def remove(self, handle_id: bytes) -> OpenHandle:
        """Remove a handle and return it; the errors are those of ``get``."""
        handle = self.get_any(handle_id)
        del self._handles[handle_id]
        return handle

    def count_listed_entries(self) -> int:
        """Count the directory entries that the handles hold in memory."""
        listings = [handle for handle in self._handles.values() if isinstance(handle, ListingHandle)]
        return sum(len(listing.entries) for listing in listings)

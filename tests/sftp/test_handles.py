"""Tests of the open handles of a session."""

from __future__ import annotations

import unittest

import pytest

from storage_gateway.sftp.commands import Extent
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import DirectoryEntry
from storage_gateway.sftp.handles import HandleTable, ListingHandle, ReadHandle, UploadHandle
from tests.support.sftp import NO_ATTRIBUTES, STORE_FLAGS


class UploadHandleTest(unittest.TestCase):
    """Buffering of WRITEs."""

    def test_contiguous_writes_are_merged_into_one_extent(self) -> None:
        upload = UploadHandle("/plats/t1", STORE_FLAGS, NO_ATTRIBUTES)
        for offset, data in ((10, b"ab"), (12, b"cd"), (0, b"ef"), (2, b"gh"), (3, b"i")):
            upload.write(offset, data)
        assert upload.extents == [Extent(10, b"abcd"), Extent(0, b"efgh"), Extent(3, b"i")]
        assert upload.size_bytes == 9


class HandleTableTest(unittest.TestCase):
    """Handle ids, handle kinds and limits."""

    def test_handle_is_found_by_its_id_and_kind_until_it_is_removed(self) -> None:
        handles = HandleTable(2)
        handle = ReadHandle("/plats/t1")
        handle_id = handles.add(handle)
        assert handles.get(handle_id, ReadHandle) is handle
        with pytest.raises(CommandError, match="of another kind"):
            handles.get(handle_id, UploadHandle)
        assert handles.remove(handle_id) is handle
        with pytest.raises(CommandError, match="unknown handle"):
            handles.get_any(handle_id)
        assert handles.add(handle) != handle_id

    def test_capacity_is_checked(self) -> None:
        handles = HandleTable(1)
        handles.check_capacity()
        handles.add(ReadHandle("/plats/t1"))
        with pytest.raises(CommandError, match="too many open handles, the limit is 1"):
            handles.check_capacity()

    def test_entries_of_all_listings_are_counted(self) -> None:
        handles = HandleTable(3)
        entry = DirectoryEntry("a", "a", NO_ATTRIBUTES)
        handles.add(ListingHandle("/plats", [entry, entry]))
        handles.add(ListingHandle("/plats", [entry]))
        handles.add(ReadHandle("/plats/a"))
        assert handles.count_listed_entries() == 3

"""Tests of the path tree."""

from __future__ import annotations

import unittest

import pytest

from storage_gateway.config import VolumePath
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import StatusCode
from storage_gateway.sftp.volumes import DIRECTORY_MODE, VolumeTree, absolute_path


class AbsolutePathTest(unittest.TestCase):
    """Normalization of client paths."""

    def test_path_is_made_absolute_and_stays_below_the_root(self) -> None:
        for path, expected in (("", "/"), ("a/./b//c/", "/a/b/c"), ("//a", "/a"), ("/a/../../b", "/b")):
            assert absolute_path(path) == expected


class VolumeTreeTest(unittest.TestCase):
    """A tree of two volumes at different depths."""

    def make_tree(self) -> VolumeTree:
        """Build a tree of volume 1 at ``/city/plats`` and volume 2 at ``/scans``."""
        return VolumeTree([VolumePath("/city/plats", 1, 0, 0, 1), VolumePath("/scans", 2, 0, 0, 1)])

    def test_path_belongs_to_the_volume_with_its_prefix(self) -> None:
        tree = self.make_tree()
        assert tree.find("/city/plats").volume_id == 1
        assert tree.find("/scans/a/b").volume_id == 2
        for path in ("/", "/city", "/city/plats2", "/scan"):
            with pytest.raises(CommandError, match="not within any volume") as caught:
                tree.find(path)
            assert caught.value.status_code is StatusCode.NO_SUCH_FILE

    def test_directories_above_volumes_are_listed(self) -> None:
        tree = self.make_tree()
        names = [entry.filename for entry in tree.list_above_volumes("/")]
        assert names == ["city", "scans"]
        entry = tree.list_above_volumes("/city")[0]
        assert (entry.filename, entry.attributes.permissions) == ("plats", DIRECTORY_MODE)
        for path in ("/city/plats", "/scans/a", "/other"):
            assert tree.list_above_volumes(path) == []

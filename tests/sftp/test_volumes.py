"""The tree of paths."""

from __future__ import annotations

import unittest

import pytest

from storage_gateway.config import VolumePath
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import StatusCode
from storage_gateway.sftp.volumes import DIRECTORY_MODE, VolumeTree, absolute_path


class AbsolutePathTest(unittest.TestCase):
    """Paths as clients write them."""

    def test_path_is_made_absolute_and_stays_below_the_root(self) -> None:
        for path, expected in (("", "/"), ("a/./b//c/", "/a/b/c"), ("//a", "/a"), ("/a/../../b", "/b")):
            assert absolute_path(path) == expected


class VolumeTreeTest(unittest.TestCase):
    """Two volumes, one below the other's parent."""

    def make_tree(self) -> VolumeTree:
        """Build a tree with the volumes 1 and 2."""
        return VolumeTree([VolumePath("/city/plats", 1, 0, 0, 1), VolumePath("/scans", 2, 0, 0, 1)])

    def test_path_belongs_to_the_volume_above_it(self) -> None:
        tree = self.make_tree()
        assert tree.find("/city/plats").volume_id == 1
        assert tree.find("/scans/a/b").volume_id == 2
        for path in ("/", "/city", "/city/plats2", "/scan"):
            with pytest.raises(CommandError, match="below no volume") as caught:
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

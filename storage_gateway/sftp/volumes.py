"""The path tree: the volume that a path belongs to, and the directories above the volumes."""

from __future__ import annotations

import posixpath

from storage_gateway.config import VolumePath
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import DirectoryEntry, FileAttributes, StatusCode

DIRECTORY_MODE = 0o040755  # S_IFDIR, and the permissions rwxr-xr-x


def absolute_path(path: str) -> str:
    """Return the normalized path from the root, without ``.``, ``..`` and repeated slashes."""
    return "/" + posixpath.normpath("/" + path).lstrip("/")


class VolumeTree:
    """Volumes by path prefix; they must be given longest prefix first, as the first match wins."""

    def __init__(self, volumes: list[VolumePath]) -> None:
        self._volumes = volumes

    def find(self, path: str) -> VolumePath:
        """Return the volume that a path belongs to.

        Raises:
            CommandError: the path is not within any volume.
        """
        for volume in self._volumes:
            if path == volume.prefix or path.startswith(volume.prefix.rstrip("/") + "/"):
                return volume
        raise CommandError(StatusCode.NO_SUCH_FILE, f"{path}: not within any volume")

    def list_above_volumes(self, path: str) -> list[DirectoryEntry]:
        """Return the entries of a directory that contains volumes but is not within one.

        No storage node holds such a directory. The list is empty for any other path.
        """
        start = path.rstrip("/") + "/"
        if any(start.startswith(volume.prefix + "/") for volume in self._volumes):
            return []
        prefixes = [volume.prefix for volume in self._volumes if volume.prefix.startswith(start)]
        names = {prefix[len(start) :].partition("/")[0] for prefix in prefixes}
        return [_directory_entry(name) for name in sorted(names)]


def _directory_entry(name: str) -> DirectoryEntry:
    return DirectoryEntry(name, name, FileAttributes(permissions=DIRECTORY_MODE))

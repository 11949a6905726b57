"""Values that packets of SFTP version 3 hold (draft-ietf-secsh-filexfer-02)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, IntFlag
from typing import NamedTuple


class StatusCode(IntEnum):
    """The SSH_FX codes of SSH_FXP_STATUS (section 7)."""

    OK = 0
    EOF = 1
    NO_SUCH_FILE = 2
    PERMISSION_DENIED = 3
    FAILURE = 4
    BAD_MESSAGE = 5
    NO_CONNECTION = 6
    CONNECTION_LOST = 7
    OP_UNSUPPORTED = 8


class OpenFlags(IntFlag):
    """The SSH_FXF flags of SSH_FXP_OPEN (section 6.3)."""

    READ = 1
    WRITE = 2
    APPEND = 4
    CREAT = 8
    TRUNC = 16
    EXCL = 32


class FieldKind(Enum):
    """How a field is encoded."""

    UINT32 = "uint32"
    UINT64 = "uint64"
    STRING = "string"  # bytes after their length
    TEXT = "text"  # a string in UTF-8; other bytes survive as surrogates
    REMAINDER = "remainder"  # all bytes to the packet's end
    ATTRIBUTES = "attributes"
    ENTRIES = "entries"  # directory entries after their count


class Ownership(NamedTuple):
    """Numeric ids of a file's user and group."""

    user_id: int
    group_id: int


class FileTimes(NamedTuple):
    """Unix times in seconds."""

    accessed_at: int
    modified_at: int


class ExtendedAttribute(NamedTuple):
    """A vendor's attribute, passed on as it came."""

    name: bytes
    value: bytes


@dataclass(slots=True)
class FileAttributes:
    """File attributes (section 5); None where they are not stated."""

    size: int | None = None
    ownership: Ownership | None = None
    permissions: int | None = None
    times: FileTimes | None = None
    extended: list[ExtendedAttribute] = field(default_factory=list)


@dataclass(slots=True)
class DirectoryEntry:
    """An entry of SSH_FXP_NAME; ``long_name`` is formatted as by ``ls -l``."""

    filename: str
    long_name: str
    attributes: FileAttributes

"""Field values of SFTP version 3 packets (draft-ietf-secsh-filexfer-02)."""

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
    """The wire encoding of a packet field."""

    UINT32 = "uint32"
    UINT64 = "uint64"
    STRING = "string"  # bytes, preceded by their length
    TEXT = "text"  # a STRING in UTF-8; invalid bytes are kept as surrogates
    REMAINDER = "remainder"  # all bytes up to the end of the packet
    ATTRIBUTES = "attributes"
    ENTRIES = "entries"  # directory entries, preceded by their count


class Ownership(NamedTuple):
    """Numeric user and group ids of a file."""

    user_id: int
    group_id: int


class FileTimes(NamedTuple):
    """Access and modification times of a file, in Unix seconds."""

    accessed_at: int
    modified_at: int


class ExtendedAttribute(NamedTuple):
    """A vendor-specific attribute, passed on unchanged."""

    name: bytes
    value: bytes


@dataclass(slots=True)
class FileAttributes:
    """File attributes (section 5), ``size`` in bytes; None for those that a packet does not state."""

    size: int | None = None
    ownership: Ownership | None = None
    permissions: int | None = None
    times: FileTimes | None = None
    extended: list[ExtendedAttribute] = field(default_factory=list)


@dataclass(slots=True)
class DirectoryEntry:
    """An entry of SSH_FXP_NAME; ``long_name`` is a line as printed by ``ls -l``."""

    filename: str
    long_name: str
    attributes: FileAttributes

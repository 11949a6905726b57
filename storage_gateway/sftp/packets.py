"""SFTP version 3 packets (draft-ietf-secsh-filexfer-02, section 3) as typed values.

Packets with the same payload share a base class that declares the fields. A subclass without further fields
is not a dataclass of its own and has empty slots. The names and numbers of the types are those of the draft.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from storage_gateway.sftp.fields import DirectoryEntry, FieldKind, FileAttributes

PROTOCOL_VERSION = 3


@dataclass(slots=True)
class Packet:
    """Base of all packets.

    Attributes:
        packet_type: the type byte, which precedes the request id.
        layout: the encodings of the fields after the request id, in the order of their declaration.
        request_id: matches a response to its request.
    """

    packet_type: ClassVar[int]
    layout: ClassVar[tuple[FieldKind, ...]] = ()
    request_id: int


@dataclass(slots=True)
class VersionPacket(Packet):
    """A handshake packet; it carries the sender's protocol version in place of a request id.

    Attributes:
        extensions: the encoded extensions, which are not interpreted; empty for none.
    """

    layout = (FieldKind.REMAINDER,)
    extensions: bytes = b""

    @property
    def version(self) -> int:
        """The highest protocol version that the sender supports."""
        return self.request_id


@dataclass(slots=True)
class PathPacket(Packet):
    """A request about a path."""

    layout = (FieldKind.TEXT,)
    path: str


@dataclass(slots=True)
class PathAttributesPacket(Packet):
    """A request that sets the attributes of a path."""

    layout = (FieldKind.TEXT, FieldKind.ATTRIBUTES)
    path: str
    attributes: FileAttributes


@dataclass(slots=True)
class HandlePacket(Packet):
    """A packet that holds only a handle."""

    layout = (FieldKind.STRING,)
    handle: bytes


class Init(VersionPacket):
    """The client's first packet."""

    __slots__ = ()
    packet_type = 1


class Version(VersionPacket):
    """The response to INIT."""

    __slots__ = ()
    packet_type = 2


@dataclass(slots=True)
class Open(Packet):
    """Open a file."""

    packet_type = 3
    layout = (FieldKind.TEXT, FieldKind.UINT32, FieldKind.ATTRIBUTES)
    path: str
    flags: int
    attributes: FileAttributes


class Close(HandlePacket):
    """Close a file or a directory."""

    __slots__ = ()
    packet_type = 4


@dataclass(slots=True)
class Read(Packet):
    """Read at most ``length`` bytes of an open file."""

    packet_type = 5
    layout = (FieldKind.STRING, FieldKind.UINT64, FieldKind.UINT32)
    handle: bytes
    offset: int
    length: int


@dataclass(slots=True)
class Write(Packet):
    """Write to an open file."""

    packet_type = 6
    layout = (FieldKind.STRING, FieldKind.UINT64, FieldKind.STRING)
    handle: bytes
    offset: int
    data: bytes


class Lstat(PathPacket):
    """Get the attributes of a path without following symbolic links."""

    __slots__ = ()
    packet_type = 7


class Fstat(HandlePacket):
    """Get the attributes of an open file."""

    __slots__ = ()
    packet_type = 8


class Setstat(PathAttributesPacket):
    """Set the attributes of a path."""

    __slots__ = ()
    packet_type = 9


class Opendir(PathPacket):
    """Open a directory for listing."""

    __slots__ = ()
    packet_type = 11


class Readdir(HandlePacket):
    """Get the next entries of an open directory."""

    __slots__ = ()
    packet_type = 12


class Remove(PathPacket):
    """Remove a file."""

    __slots__ = ()
    packet_type = 13


class Mkdir(PathAttributesPacket):
    """Create a directory."""

    __slots__ = ()
    packet_type = 14


class Rmdir(PathPacket):
    """Remove an empty directory."""

    __slots__ = ()
    packet_type = 15


class Realpath(PathPacket):
    """Get the canonical absolute form of a path."""

    __slots__ = ()
    packet_type = 16


class Stat(PathPacket):
    """Get the attributes of a path, following symbolic links."""

    __slots__ = ()
    packet_type = 17


@dataclass(slots=True)
class Rename(Packet):
    """Rename a file or a directory."""

    packet_type = 18
    layout = (FieldKind.TEXT, FieldKind.TEXT)
    path: str
    target: str


@dataclass(slots=True)
class Status(Packet):
    """The response that holds a ``StatusCode`` (or a code of a later version) and its explanation."""

    packet_type = 101
    layout = (FieldKind.UINT32, FieldKind.TEXT, FieldKind.TEXT)
    code: int
    message: str = ""
    language: str = "en"


class Handle(HandlePacket):
    """The response that holds a newly opened handle."""

    __slots__ = ()
    packet_type = 102


@dataclass(slots=True)
class Data(Packet):
    """The response that holds data of a file."""

    packet_type = 103
    layout = (FieldKind.STRING,)
    data: bytes


@dataclass(slots=True)
class Name(Packet):
    """The response that holds directory entries."""

    packet_type = 104
    layout = (FieldKind.ENTRIES,)
    entries: list[DirectoryEntry]


@dataclass(slots=True)
class Attributes(Packet):
    """The response that holds file attributes (SSH_FXP_ATTRS)."""

    packet_type = 105
    layout = (FieldKind.ATTRIBUTES,)
    attributes: FileAttributes


class Unsupported(Packet):
    """A packet of an unknown type, of which only the request id was read; its type is given as 0."""

    __slots__ = ()
    packet_type = 0


# The packets that are decoded; any other type becomes ``Unsupported``.
PACKET_CLASSES: tuple[type[Packet], ...] = (
    Init,
    Version,
    Open,
    Close,
    Read,
    Write,
    Lstat,
    Fstat,
    Setstat,
    Opendir,
    Readdir,
    Remove,
    Mkdir,
    Rmdir,
    Realpath,
    Stat,
    Rename,
    Status,
    Handle,
    Data,
    Name,
    Attributes,
)

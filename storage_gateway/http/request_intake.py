"""How much of a client's data is passed to the parser: one request at a time, and not more than it may have.

The parser itself accepts as much as a client sends: heads of any length, a body without end in small chunks,
hundreds of requests at once, and all data behind a request for another protocol.
"""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import NamedTuple

from storage_gateway.http.aiohttp_internals import RequestHead

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_CHUNK_FRAMING_BYTES = 2 * 1024  # of a chunked body, beside its content
# Passed to the parser at once, after which its result is checked.
MAX_HEAD_PIECE_BYTES = 4096
MAX_CHUNKED_PIECE_BYTES = 1024  # the parser needs many times the size of small chunks
END_OF_HEAD = b"\r\n\r\n"
EMPTY_LINES = re.compile(rb"(?:\r\n)+")  # which a client may send before a request


class IntakePhase(Enum):
    """What is awaited from the client.

    ``COMPLETE``: nothing, the request has been received. ``DISCARDING``: nothing, the connection closes.
    """

    HEAD = auto()
    BODY = auto()
    CHUNKED_BODY = auto()
    COMPLETE = auto()
    DISCARDING = auto()


class IntakeRejection(Enum):
    """Why a request is rejected while it arrives."""

    HEAD_TOO_LARGE = auto()
    BODY_TOO_LARGE = auto()
    BODY_INVALID = auto()


class Piece(NamedTuple):
    """Data for the parser, and the data behind it that has not been looked at yet."""

    parsed: bytes
    rest: bytes = b""


class RequestIntake:
    """Divides a client's data into pieces for the parser, and discards what it must not get.

    The caller offers received data to ``take``, passes the result to the parser, and reports what that has
    found: ``head_parsed`` once a head is complete, and ``body_parsed`` after each piece of a chunked body.

    Attributes:
        phase: what is awaited.
        rejection: why the request is rejected; None if it is not.
        has_surplus: whether data behind the request was received and discarded.
    """

    __slots__ = (
        "_byte_count",
        "_head_end",
        "_remaining_bytes",
        "has_surplus",
        "phase",
        "rejection",
    )

    def __init__(self) -> None:
        self.phase = IntakePhase.HEAD
        self.rejection: IntakeRejection | None = None
        self.has_surplus = False
        self._byte_count = 0  # of the head, or of the chunked body
        self._remaining_bytes = 0  # of a body with a length
        self._head_end = b""  # the last bytes of the incomplete head, which may begin the end of the head

    def take(self, data: bytes) -> Piece:
        """Divide received data; what is neither parsed nor left as the rest is discarded."""
        if self.phase is IntakePhase.HEAD:
            return self._take_head(data)
        if self.phase is IntakePhase.BODY:
            return self._take_body(data)
        if self.phase is IntakePhase.CHUNKED_BODY:
            piece = Piece(data[:MAX_CHUNKED_PIECE_BYTES], data[MAX_CHUNKED_PIECE_BYTES:])
            self._byte_count += len(piece.parsed)
            return piece
        if self.phase is IntakePhase.COMPLETE:
            self.has_surplus = True
        return Piece(b"")

    def head_parsed(self, head: RequestHead) -> None:
        """Record that the parser has found a head, or that the data is no valid one."""
        self._byte_count = 0
        self._head_end = b""
        if not head.is_valid or head.has_upgrade or head.content_length > MAX_BODY_BYTES:
            self.phase = IntakePhase.DISCARDING
        elif head.is_chunked:
            self.phase = IntakePhase.CHUNKED_BODY
        else:
            self._remaining_bytes = head.content_length
            self.phase = IntakePhase.BODY if head.content_length else IntakePhase.COMPLETE

    def body_parsed(self, content_bytes: int, *, is_complete: bool) -> None:
        """Record how much content a chunked body has so far, and whether it is complete."""
        if is_complete:
            self.phase = IntakePhase.COMPLETE
        elif self._byte_count - content_bytes > MAX_CHUNK_FRAMING_BYTES or content_bytes > MAX_BODY_BYTES:
            self.reject(IntakeRejection.BODY_TOO_LARGE)

    def reject(self, reason: IntakeRejection) -> None:
        """Discard whatever else the client sends."""
        self.rejection = reason
        self.phase = IntakePhase.DISCARDING

    def end_request(self) -> None:
        """Await the next request, unless the connection closes or more than the request was received."""
        if self.phase is IntakePhase.COMPLETE and not self.has_surplus:
            self.phase = IntakePhase.HEAD
            self._byte_count = 0

    def _take_head(self, data: bytes) -> Piece:
        """Divide the data behind the end of the head, or behind as much of the head as is parsed at once."""
        if not self._head_end and (empty_lines := EMPTY_LINES.match(data)):
            self._byte_count += empty_lines.end()
            data = data[empty_lines.end() :]
        size = min(len(data), MAX_HEAD_PIECE_BYTES)
        searched = self._head_end + data[:size]
        position = searched.find(END_OF_HEAD)
        if position >= 0:
            size = position + len(END_OF_HEAD) - len(self._head_end)
        self._head_end = searched[-(len(END_OF_HEAD) - 1) :] if position < 0 else b""
        self._byte_count += size
        if self._byte_count > MAX_HEAD_BYTES:
            self.reject(IntakeRejection.HEAD_TOO_LARGE)
            return Piece(b"")
        return Piece(data[:size], data[size:])

    def _take_body(self, data: bytes) -> Piece:
        size = min(len(data), self._remaining_bytes)
        self._remaining_bytes -= size
        if not self._remaining_bytes:
            self.phase = IntakePhase.COMPLETE
        return Piece(data[:size], data[size:])

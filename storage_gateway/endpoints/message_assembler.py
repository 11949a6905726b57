"""Assembly of an endpoint watch's messages from its lines."""

from __future__ import annotations

import json
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from storage_gateway.endpoints.codec import decode_json
from storage_gateway.errors import ProtocolError

MAX_MESSAGE_BYTES = 4 << 20  # several times a list of 3,200 nodes, indented
ERROR_FIELD = "endpoint watch"  # the field that a ProtocolError names


@dataclass(slots=True, frozen=True)
class WatchMessage:
    """A complete message of an endpoint watch.

    Attributes:
        value: the decoded JSON value; None if the message is blank.
        is_blank: whether it is a blank line, which says only that the watch works.
    """

    value: Any = None
    is_blank: bool = False


class WatchMessageAssembler:
    """Assembles lines into messages: a JSON object on one line, or an indented one on several lines.

    An object on several lines is checked by an incremental parser, which reads each line once. Decoding all
    lines received so far at each line would take time in proportion to the square of the message.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self._nesting: _NestingParser | None = None  # of the incomplete message; None if there is none

    def add(self, line: bytes) -> WatchMessage | None:
        """Add a line with its newline.

        Returns:
            The message that the line completes; None if the message is not complete yet.

        Raises:
            ProtocolError: if the line has no newline, or the message is malformed or too long.
        """
        if not line.endswith(b"\n"):
            raise ProtocolError(ERROR_FIELD, "the stream ended within a line")
        if not line.strip():
            if self._incomplete:
                raise ProtocolError(ERROR_FIELD, "blank line within a message")
            return WatchMessage(is_blank=True)
        if len(self._incomplete) + len(line) > MAX_MESSAGE_BYTES:
            raise ProtocolError(ERROR_FIELD, f"a message is longer than {MAX_MESSAGE_BYTES} bytes")
        if self._nesting is None:
            if message := _decode_single_line(line):
                return message
            self._nesting = _NestingParser()
        self._incomplete += line
        self._nesting.feed(line)
        if not self._nesting.is_complete:
            return None
        message = WatchMessage(decode_json(bytes(self._incomplete), ERROR_FIELD))
        self._incomplete = bytearray()
        self._nesting = None
        return message

    def end(self) -> None:
        """Check that the stream has ended between messages.

        Raises:
            ProtocolError: if it has ended within a message.
        """
        if self._incomplete:
            raise ProtocolError(ERROR_FIELD, "the stream ended within a message")


class _NestingParser:
    """Checks the syntax of one JSON value as its lines arrive, and finds its end.

    It is also the target of the events of ijson's parser, whose lowest level keeps no path: with one, memory
    would grow with the square of the nesting depth. ijson is imported only once a message has several lines:
    many discovery services send none, and every start of the gateway would take longer.
    """

    def __init__(self) -> None:
        import ijson

        self._error_types = (ijson.JSONError, ValueError)
        self._depth = 0
        self._parser: Generator[None, bytes, None] = ijson.basic_parse_coro(self)

    @property
    def is_complete(self) -> bool:
        """Whether the value has been received completely."""
        return self._depth == 0

    def feed(self, line: bytes) -> None:
        """Parse a line.

        Raises:
            ProtocolError: if the text so far is not the beginning of a JSON value.
        """
        try:
            self._parser.send(line)
        except self._error_types as error:
            reason, _, _ = str(error).partition("\n")  # the following lines mark the position
            raise ProtocolError(ERROR_FIELD, reason) from error

    def send(self, event: tuple[str, Any]) -> None:
        """Count the depth of nesting; called by ijson's parser."""
        kind, _ = event
        if kind in ("start_map", "start_array"):
            self._depth += 1
        elif kind in ("end_map", "end_array"):
            self._depth -= 1


def _decode_single_line(line: bytes) -> WatchMessage | None:
    """Decode a message on one line; return None if the line only begins a message."""
    try:
        return WatchMessage(json.loads(line))
    except json.JSONDecodeError as error:
        if error.pos >= len(error.doc.rstrip()):
            return None
        raise ProtocolError(ERROR_FIELD, str(error)) from error
    except (ValueError, RecursionError) as error:
        raise ProtocolError(ERROR_FIELD, str(error)) from error

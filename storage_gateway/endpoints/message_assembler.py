"""The messages of an endpoint watch, put together from its lines."""

from __future__ import annotations

import json

from storage_gateway.errors import ProtocolError

MAX_MESSAGE_BYTES = 1 << 20
WATCH_STREAM = "endpoint watch"  # the field that errors name


class WatchMessageAssembler:
    """Puts lines together to messages: one JSON object a line, or an indented one over several lines."""

    def __init__(self) -> None:
        self._incomplete = b""

    def add(self, line: bytes) -> bytes | None:
        """Add a line with its newline.

        Returns:
            The message that the line completes, which is empty for a blank line between messages; None within
            a message.

        Raises:
            ProtocolError: the line is cut off, or the message is malformed or too long.
        """
        if not line.endswith(b"\n"):
            raise ProtocolError(WATCH_STREAM, "a line is cut")
        is_blank = not line.strip()
        if is_blank and not self._incomplete:
            return b""
        self._incomplete += line
        if len(self._incomplete) > MAX_MESSAGE_BYTES:
            raise ProtocolError(WATCH_STREAM, "a message does not end")
        try:
            json.loads(self._incomplete)
        except json.JSONDecodeError as error:
            ends_within_object = error.pos >= len(error.doc.rstrip())
            if ends_within_object and not is_blank:
                return None
            raise ProtocolError(WATCH_STREAM, str(error)) from error
        except (ValueError, RecursionError) as error:
            raise ProtocolError(WATCH_STREAM, str(error)) from error
        message = self._incomplete
        self._incomplete = b""
        return message

    def end(self) -> None:
        """Check that the stream did not end within a message.

        Raises:
            ProtocolError: it did.
        """
        if self._incomplete:
            raise ProtocolError(WATCH_STREAM, "a message is cut")

"""Assembly of an endpoint watch's messages from its lines."""

from __future__ import annotations

import json

from storage_gateway.errors import ProtocolError

MAX_MESSAGE_BYTES = 1 << 20
ERROR_FIELD = "endpoint watch"  # the field that a ProtocolError names


class WatchMessageAssembler:
    """Assembles lines into messages: a JSON object on one line, or an indented one on several lines."""

    def __init__(self) -> None:
        self._incomplete = b""

    def add(self, line: bytes) -> bytes | None:
        """Add a line with its newline.

        Returns:
            The message that the line completes, empty for a blank line between messages; None if the message
            is not complete yet.

        Raises:
            ProtocolError: if the line has no newline, or the message is malformed or too long.
        """
        if not line.endswith(b"\n"):
            raise ProtocolError(ERROR_FIELD, "the stream ended within a line")
        is_blank = not line.strip()
        if is_blank and not self._incomplete:
            return b""
        self._incomplete += line
        if len(self._incomplete) > MAX_MESSAGE_BYTES:
            raise ProtocolError(ERROR_FIELD, f"a message is longer than {MAX_MESSAGE_BYTES} bytes")
        try:
            json.loads(self._incomplete)
        except json.JSONDecodeError as error:
            is_incomplete = error.pos >= len(error.doc.rstrip())
            if is_incomplete and not is_blank:
                return None
            raise ProtocolError(ERROR_FIELD, str(error)) from error
        except (ValueError, RecursionError) as error:
            raise ProtocolError(ERROR_FIELD, str(error)) from error
        message = self._incomplete
        self._incomplete = b""
        return message

    def end(self) -> None:
        """Check that the stream has ended between messages.

        Raises:
            ProtocolError: if it has ended within a message.
        """
        if self._incomplete:
            raise ProtocolError(ERROR_FIELD, "the stream ended within a message")

"""The messages of a watch, put together from its lines."""

from __future__ import annotations

import json

from storage_gateway.errors import ProtocolError

MOST_LINE = 1 << 20


class WatchMessageAssembler:
    """Puts the lines of a watch together to messages: one object a line, or an indented one over many."""

    def __init__(self) -> None:
        self.text = b""

    def add(self, line: bytes) -> bytes | None:
        """A whole message, an empty one included; None amid one."""
        if not line.endswith(b"\n"):
            raise ProtocolError("endpoint watch", "a line is cut")
        if not line.strip() and not self.text:
            return b""
        self.text += line
        if len(self.text) > MOST_LINE:
            raise ProtocolError("endpoint watch", "a message does not end")
        try:
            json.loads(self.text)
        except json.JSONDecodeError as error:
            if line.strip() and error.pos >= len(error.doc.rstrip()):
                return None  # it ended amid an object, as an indented one does
            raise ProtocolError("endpoint watch", str(error)) from error
        except (ValueError, RecursionError) as error:
            raise ProtocolError("endpoint watch", str(error)) from error
        text, self.text = self.text, b""
        return text

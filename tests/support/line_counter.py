"""A count of the executed lines of Python, as a measure of work that does not depend on the machine."""

from __future__ import annotations

import sys
from types import FrameType, TracebackType
from typing import Any


class LineCounter:
    """Counts the lines of Python that are executed within its ``with`` block, in all functions called.

    Attributes:
        line_count: number of lines so far; each iteration of a comprehension counts.
    """

    def __init__(self) -> None:
        self.line_count = 0
        self._previous_trace: Any = None

    def __enter__(self) -> LineCounter:
        """Begin to count."""
        self._previous_trace = sys.gettrace()
        sys.settrace(self._trace)
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop counting."""
        sys.settrace(self._previous_trace)

    def _trace(self, frame: FrameType, event: str, argument: object) -> Any:
        if event == "line":
            self.line_count += 1
        return self._trace

"""Structured logging to standard error, and the status line that reports the state of the process."""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from collections.abc import Callable, Mapping, Sequence

import structlog

STATUS_INTERVAL_S = 2.0

StatusSource = Callable[[], Mapping[str, object]]
"""Returns the fields that one component of the gateway adds to each status line."""

log = structlog.get_logger()


def configure_logging() -> None:
    """Write each event of level INFO or above to standard error, as one line of ``key=value`` pairs."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


class StatusLog:
    """Logs a status line every ``STATUS_INTERVAL_S`` seconds: figures of the process, never of one request.

    Args:
        loop: the event loop of the process, whose delay each line reports as ``lag_ms``.
        sources: the components that add fields to a line, in this order. The sequence is read for each line,
            so that its owner may add a component at any time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, sources: Sequence[StatusSource]) -> None:
        self._loop = loop
        self._sources = sources

    def start(self) -> None:
        """Log the first line after one interval, and further lines until the event loop stops."""
        self._schedule(self._loop.time() + STATUS_INTERVAL_S)

    def _schedule(self, due_at: float) -> None:
        self._loop.call_at(due_at, self._report, due_at)

    def _report(self, due_at: float) -> None:
        loop_delay_s = max(0.0, self._loop.time() - due_at)
        fields: dict[str, object] = {
            "cpu_s": round(time.process_time(), 2),
            "lag_ms": round(1000 * loop_delay_s, 1),
        }
        for status_fields in self._sources:
            fields.update(status_fields())
        log.info("status_reported", **fields)
        self._schedule(max(self._loop.time(), due_at + STATUS_INTERVAL_S))

"""The trace ids in use, which further requests must not have."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

RELEASE_DELAY_S = 2.0  # time after the response for which an id remains in use


class _Expiry(NamedTuple):
    expires_at: float
    trace_id: str


class TraceIdRegistry:
    """Tracks the trace ids of requests in progress, and of ended ones for ``RELEASE_DELAY_S``.

    Accepting another request with such an id would execute a request again that is in progress or has just
    ended. Times are Unix time in seconds.

    Attributes:
        in_use: the ids that a new request must not have.
    """

    def __init__(self) -> None:
        self.in_use: set[str] = set()
        self._expiries: deque[_Expiry] = deque()  # of ended requests, the earliest first

    def acquire(self, trace_id: str, now: float) -> bool:
        """Mark the id as in use by a request that arrived at ``now``; return False if it already is."""
        while self._expiries and self._expiries[0].expires_at <= now:
            self.in_use.discard(self._expiries.popleft().trace_id)
        if trace_id in self.in_use:
            return False
        self.in_use.add(trace_id)
        return True

    def release(self, trace_id: str, now: float) -> None:
        """Record that the request of the id ended at ``now``; the id is free ``RELEASE_DELAY_S`` later."""
        self._expiries.append(_Expiry(now + RELEASE_DELAY_S, trace_id))

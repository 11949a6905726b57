"""The trace ids that no other request may use for now."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

RESERVED_AFTER_RESPONSE_S = 2.0  # for this long after its response an id is still in use


class _Expiry(NamedTuple):
    expires_at: float
    trace_id: str


class TraceIdRegistry:
    """Ids of requests in progress and of those that ended a moment ago.

    A request with such an id would run a request twice that is in progress, or just was. Times are Unix time
    in seconds.
    """

    def __init__(self) -> None:
        self.reserved: set[str] = set()
        self._expiries: deque[_Expiry] = deque()  # of ended requests, the first to expire first

    def reserve(self, trace_id: str, now: float) -> bool:
        """Reserve the id for a request that arrived at ``now``; False if another one holds it."""
        while self._expiries and self._expiries[0].expires_at <= now:
            self.reserved.discard(self._expiries.popleft().trace_id)
        if trace_id in self.reserved:
            return False
        self.reserved.add(trace_id)
        return True

    def release(self, trace_id: str, now: float) -> None:
        """Note that the id's request ended at ``now``; the id stays reserved for a moment."""
        self._expiries.append(_Expiry(now + RESERVED_AFTER_RESPONSE_S, trace_id))

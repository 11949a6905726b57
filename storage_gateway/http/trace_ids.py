"""The trace ids that further requests must not have: those in use, and those of executed requests."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

RELEASE_DELAY_S = 2.0  # time after the response for which an id remains in use
EXECUTED_MEMORY_S = 60.0  # for which the id of an executed request is remembered at least, space permitting
MAX_EXECUTED_IDS = 200_000  # without a memory limit


class _Expiry(NamedTuple):
    expires_at: float
    trace_id: str


class TraceIdRegistry:
    """Tracks the trace ids of requests in progress, of ended ones, and of those that may have been executed.

    Accepting another request with such an id would execute a request again that is in progress or has ended:
    a node may execute it even if its client has left. Times are Unix time in seconds.

    Args:
        max_executed_ids: maximum number of ids of executed requests that are remembered; 0 for the default.

    Attributes:
        in_use: the ids of requests in progress, and of those that ended less than ``RELEASE_DELAY_S`` ago.
        executed: the ids of requests that may have been executed.
    """

    def __init__(self, max_executed_ids: int = 0) -> None:
        self.in_use: set[str] = set()
        self.executed = ExecutedIds(max_executed_ids or MAX_EXECUTED_IDS)
        self._expiries: deque[_Expiry] = deque()  # of ended requests, the earliest first

    def acquire(self, trace_id: str, now: float) -> bool:
        """Mark the id as in use by a request that arrived at ``now``; return False if it must not be used."""
        while self._expiries and self._expiries[0].expires_at <= now:
            self.in_use.discard(self._expiries.popleft().trace_id)
        if trace_id in self.in_use or trace_id in self.executed:
            return False
        self.in_use.add(trace_id)
        return True

    def release(self, trace_id: str, now: float, *, may_have_executed: bool) -> None:
        """Record that the request of the id ended at ``now``.

        The id is free ``RELEASE_DELAY_S`` later, unless a node may have executed the request.
        """
        self._expiries.append(_Expiry(now + RELEASE_DELAY_S, trace_id))
        if may_have_executed:
            self.executed.add(trace_id, now)


class ExecutedIds:
    """The trace ids of requests that may have been executed, in two generations of bounded size.

    The older generation is dropped as a whole once the newer one is full, or has lasted for
    ``EXECUTED_MEMORY_S``. Ids are kept as hashes, which take half the memory; their key is random for each
    process, so that no client can choose an id with the hash of another.
    """

    def __init__(self, max_ids: int) -> None:
        self._max_generation = max(1, max_ids // 2)
        self._newer: set[int] = set()
        self._older: set[int] = set()
        self._newer_ends_at = -math.inf

    def __contains__(self, trace_id: str) -> bool:
        key = hash(trace_id)
        return key in self._newer or key in self._older

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def add(self, trace_id: str, now: float) -> None:
        """Remember the id of a request that ended at ``now``."""
        if now >= self._newer_ends_at or len(self._newer) >= self._max_generation:
            self._older = self._newer
            self._newer = set()
            self._newer_ends_at = now + EXECUTED_MEMORY_S
        self._newer.add(hash(trace_id))

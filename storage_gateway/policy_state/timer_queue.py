"""The timer queue: subjects to check, ordered by time."""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count

from storage_gateway.policy_state.node import Node
from storage_gateway.policy_state.request import Request


@dataclass(slots=True, frozen=True)
class EndpointWatchDue:
    """The endpoint watch has to be requested."""


Subject = Request | Node | EndpointWatchDue


class TimerQueue:
    """Requests, nodes and the endpoint watch, by the time at which to check them."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Subject]] = []
        self._sequence = count(1)  # entries with the same time keep their order

    def add(self, due_at: float, subject: Subject) -> None:
        """Add a subject to check at this time."""
        heappush(self.heap, (due_at, next(self._sequence), subject))

    def next_at(self) -> float:
        """Return when the earliest entry is due, infinite for none; drop those of requests that are over."""
        while self.heap and _is_over(self.heap[0][2]):
            heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf

    def pop(self) -> Subject:
        """Remove the earliest entry and return its subject."""
        return heappop(self.heap)[2]

    def limit_size(self, max_entries: int) -> None:
        """Drop the entries of requests that are over if there are more than so many.

        They would otherwise be kept until they are due, for as long as a latency objective.
        """
        if len(self.heap) > max_entries:
            self.heap = [entry for entry in self.heap if not _is_over(entry[2])]
            heapify(self.heap)


def _is_over(subject: Subject) -> bool:
    return isinstance(subject, Request) and subject.is_over

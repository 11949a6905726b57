"""What a host keeps in mind: plain records with no decision in them. ``rules.py`` fills and reads them."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from heapq import heappop, heappush

from storage_gateway import policy_api as api


class Request:
    """A request that is owed an answer, or has attempts out."""

    def __init__(
        self, event: api.RequestArrived, kind: api.RequestClass, hosts: int, volume: Volume, now: float
    ) -> None:
        self.ask, self.id, self.index, self.cell = event, event.request_id, event.class_index, event.shard
        self.hosts, self.volume = hosts, volume  # the volume and how many hosts it uses
        self.kind, self.units, self.deadline = kind, max(event.units, 1e-9), event.deadline
        self.item = (
            event.volume_id,
            event.class_index,
            event.object_key,
        )  # what a client's repeat has the same
        self.arrived, self.aim_at = now, math.inf  # of the first try that it belongs to
        self.key = event.object_key if kind.ordered_by_key else None
        self.full = 0.0  # units sent on the reserve
        self.sends, self.over = 0, False
        self.borne: dict[tuple[int, float], bool] = {}  # cold nodes, by start: drawn as one of their part
        self.out: dict[int, tuple[Node, float]] = {}  # attempt number: where and when it was sent
        self.ran: list[tuple[float, Node]] = []  # attempts that may have run: when sent, where


class Node:
    """A listed node, as this host knows it."""

    def __init__(
        self, entry: api.EndpointEntry, classes: int, depth: float, queued: float, spare: float
    ) -> None:
        self.id, self.cell, self.zone = entry.node, entry.shard, entry.zone
        self.started_at, self.live = 0.0, True
        self.depth, self.answered = depth, 0.0
        self.queued, self.pace = queued, 0.0  # mean wait there, and seconds of service a unit
        self.spare = spare  # units a second by weight that a volume may send beyond its reserve
        self.eased = 1.0  # the host's own measure of ease when this node last answered
        self.shares: dict[int, Store] = {}  # volume: its part of the spare rate
        self.out = [0] * classes
        self.split = [1] * classes
        self.demand = [0.0] * classes
        self.cold = Store(math.inf, 0.0)  # after a start: expected units that may still be sent at once
        self.hold_until, self.failures = 0.0, 0  # nothing is sent before; ends without an answer in a row
        self.used, self.wake_at = 0.0, math.inf  # the last send to it, and the next look that is due
        self.done_units = 0.0
        self.latest = 0.0  # when the last sent of the attempts was sent that are answered


class Store:
    """Units that fill up at a rate, to a ceiling at most."""

    def __init__(self, level: float, now: float) -> None:
        self.level, self.filled = level, now

    def fill(self, rate: float, ceiling: float, now: float) -> None:
        self.level = min(ceiling, self.level + rate * (now - self.filled))
        self.filled = now


class Rate:
    """Units a second, in the mean over the last ``span`` seconds or so."""

    def __init__(self, span: float) -> None:
        self.span, self.mean, self.read_at = span, 0.0, 0.0

    def at(self, now: float) -> float:
        self.mean *= math.exp((self.read_at - now) / self.span)
        self.read_at = now
        return self.mean

    def add(self, units: float, now: float) -> None:
        self.mean = self.at(now) + units / self.span


class Demand:
    """What this host could send just now, in all and inside reserves, and each cell's part of it.

    A host hears of one cell too seldom to know its rate of the moment; how all of its traffic goes now, and
    the cell's part of it over long, tell it. Who knows little yet takes all for the cell's.
    """

    def __init__(self, recent: float, long: float, mean: float) -> None:
        self.recent, self.long, self.mean = recent, long, mean
        self.all, self.due, self.total = Rate(recent), Rate(recent), Rate(long)
        self.cells: dict[int, tuple[Rate, Rate]] = {}  # lately, and over long

    def add(self, cell: int, units: float, due: bool, now: float) -> None:
        lately, usually = self.cells.setdefault(cell, (Rate(self.recent), Rate(self.long)))
        for rate, amount in (
            (self.all, units), (self.due, units * due), (self.total, units), (lately, units), (usually, units)
        ):  # fmt: skip
            rate.add(amount, now)

    def at(self, cell: int, units: float, now: float) -> tuple[float, float]:
        """Units a second for the cell inside reserves, and in all; ``units`` of them came just now."""
        lately, usually = self.cells[cell]
        few = self.mean / self.long
        part = 1.0 if cell == -1 else (usually.at(now) + few) / (self.total.at(now) + few)
        every, due = self.all.at(now), self.due.at(now)
        asked = max(part * every, lately.at(now) - units / self.recent)
        return asked * min(1.0, due / every), asked

    def seen(self, now: float) -> float:
        """Requests that what is known rests on."""
        return self.total.at(now) * self.long / self.mean

    def clean_up(self, now: float) -> None:
        few = self.mean / self.long / self.long
        self.cells = {cell: rates for cell, rates in self.cells.items() if rates[1].at(now) > few}


class Volume:
    """This host's part of a volume's reserve and limit."""

    def __init__(self, now: float, reserve: float, born: float) -> None:
        self.reserve, self.limit = Store(reserve, now), Store(0.0, born)  # unused since the host's start
        self.others: dict[int, tuple[float, float]] = {}  # cell: units a second by other hosts, when told
        self.due: defaultdict[int, float] = defaultdict(float)  # second of arrival: units still due in full


class Agenda:
    """What to look at, and when: requests, nodes, or the list of nodes (None), earliest first."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Request | Node | None]] = []
        self.entries = 0  # entries of one time stand in order

    def add(self, at: float, subject: Request | Node | None) -> None:
        self.entries += 1
        heappush(self.heap, (at, self.entries, subject))

    def next_at(self) -> float:
        """When the earliest entry is due; those of requests that are over are dropped."""
        while self.heap and isinstance(self.heap[0][2], Request) and self.heap[0][2].over:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf

    def take(self) -> Request | Node | None:
        return heappop(self.heap)[2]


def forget_before(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()

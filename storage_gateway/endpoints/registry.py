"""Who the nodes are: stable numbers for the policy, addresses and states for the fronts' box clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from storage_gateway import policy_api as api
from storage_gateway.config import Address

MOST_GONE = 1024  # boxes that went and whose numbers are kept, as they may return or a call may name them


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A box as discovery lists it."""

    name: str
    address: Address
    zone: str
    shard: int
    state: api.EndpointState
    started_at: float  # Unix time; 0 for long ago


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A list, or the changes to one."""

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]


class EndpointRegistry:
    """The latest word on each box. ``watchers`` hear of every box that changed or went."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones
        self.node_ids: dict[str, int] = {}  # a box that comes back has its old number
        self.id_counter = count(1)  # a number is never given twice
        self.removed: dict[str, None] = {}  # boxes that are not listed, the first to go first
        self.endpoints: dict[int, Endpoint] = {}
        self.version: int | None = None
        self.listeners: list[Callable[[int], None]] = []

    def is_serving(self, node: int) -> bool:
        box = self.endpoints.get(node)
        return box is not None and box.state is api.EndpointState.SERVING

    def apply(self, listing: EndpointUpdate) -> list[api.EndpointEntry]:
        """Take in a list and return its entries for the policy."""
        before = dict(self.endpoints)
        if listing.is_snapshot:
            self.endpoints.clear()
        entries = []
        for box in listing.endpoints:
            if box.name not in self.node_ids:
                self.node_ids[box.name] = next(self.id_counter)
            node = self.node_ids[box.name]
            if box.state is api.EndpointState.REMOVED:
                self.endpoints.pop(node, None)
            else:
                self.endpoints[node] = box
            zone = self.zones.setdefault(box.zone, len(self.zones))
            entries.append(api.EndpointEntry(node, box.shard, zone, box.state, box.started_at))
        self.version = listing.version
        self.forget()
        for node, box in before.items():
            if self.endpoints.get(node) != box:
                for watcher in self.listeners:
                    watcher(node)
        return entries

    def forget(self) -> None:
        """Guards the memory of a long life in which boxes are replaced under new names all the time."""
        unlisted = [name for name, node in self.node_ids.items() if node not in self.endpoints]
        self.removed = {name: None for name in self.removed if self.node_ids[name] not in self.endpoints}
        self.removed.update(dict.fromkeys(unlisted))
        for name in list(self.removed)[: max(0, len(self.removed) - MOST_GONE)]:
            del self.removed[name], self.node_ids[name]

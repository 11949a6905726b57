"""The endpoint registry: the known storage nodes with their ids, addresses and states."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from storage_gateway import policy_api as api
from storage_gateway.config import Address

# Number of removed endpoints that keep their ids: they may return, or requests in flight may name them.
MAX_REMOVED_ENDPOINTS = 1024


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A storage node as discovery lists it.

    Attributes:
        name: the node's name, unique among the nodes.
        address: where it accepts requests.
        zone: name of its zone.
        shard: index of the shard that it holds; ``api.NO_SHARD`` for none.
        state: whether it serves, drains or is removed.
        started_at: Unix time of its last start in seconds; 0 if it started long ago.
    """

    name: str
    address: Address
    zone: str
    shard: int
    state: api.EndpointState
    started_at: float


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A whole endpoint list, or changes to it.

    Attributes:
        version: discovery's version of the list after the update.
        is_snapshot: whether ``endpoints`` is the whole list.
        endpoints: all endpoints of the list, or those that changed.
    """

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]


class EndpointRegistry:
    """The latest state of each endpoint, by the node id that the policy uses.

    Attributes:
        zone_indexes: index of each zone by its name; a new zone gets the next index.
        node_ids: id of each endpoint by its name. A removed endpoint keeps its id until it is evicted, and no
            id is given to a second name.
        endpoints: the endpoints in the current list, by id.
        version: discovery's version of the list after the latest update; None before the first one.
        listeners: called with the id of each known endpoint that changed or left the list.
    """

    def __init__(self, zone_indexes: dict[str, int]) -> None:
        self.zone_indexes = zone_indexes
        self.node_ids: dict[str, int] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.version: int | None = None
        self.listeners: list[Callable[[int], None]] = []
        self._next_id = count(1)
        self._removed_names: dict[str, None] = {}  # names of removed endpoints, the oldest first

    def is_serving(self, node_id: int) -> bool:
        """Return whether the endpoint is listed as serving."""
        endpoint = self.endpoints.get(node_id)
        return endpoint is not None and endpoint.state is api.EndpointState.SERVING

    def apply(self, update: EndpointUpdate) -> list[api.EndpointEntry]:
        """Apply an update, call the listeners and return the update's entries for the policy.

        The work is in proportion to the entries of the update, and for a snapshot also to those of the list
        before: an instance gets each change of a large fleet by itself.
        """
        previous_endpoints = self._begin_update(update)
        entries = [self._apply_endpoint(endpoint) for endpoint in update.endpoints]
        self.version = update.version
        self._record_removed([*previous_endpoints.values(), *update.endpoints])
        self._notify_listeners(previous_endpoints)
        return entries

    def _begin_update(self, update: EndpointUpdate) -> dict[int, Endpoint]:
        """Return the listed endpoints that the update may change, by id; a snapshot first drops them all."""
        if update.is_snapshot:
            previous_endpoints = self.endpoints
            self.endpoints = {}
            return previous_endpoints
        named_ids = [self.node_ids.get(endpoint.name) for endpoint in update.endpoints]
        return {
            node_id: self.endpoints[node_id]
            for node_id in named_ids
            if node_id is not None and node_id in self.endpoints
        }

    def _apply_endpoint(self, endpoint: Endpoint) -> api.EndpointEntry:
        node_id = self.node_ids.get(endpoint.name)
        if node_id is None:
            node_id = self.node_ids[endpoint.name] = next(self._next_id)
        if endpoint.state is api.EndpointState.REMOVED:
            self.endpoints.pop(node_id, None)
        else:
            self.endpoints[node_id] = endpoint
        zone_index = self.zone_indexes.setdefault(endpoint.zone, len(self.zone_indexes))
        return api.EndpointEntry(node_id, endpoint.shard, zone_index, endpoint.state, endpoint.started_at)

    def _record_removed(self, changed_endpoints: list[Endpoint]) -> None:
        """Record which of these endpoints are not listed now, and evict the ids of those removed first.

        Otherwise memory would grow without bound in an instance that runs for long while nodes are
        continually replaced under new names.
        """
        for endpoint in changed_endpoints:
            if self.node_ids[endpoint.name] in self.endpoints:
                self._removed_names.pop(endpoint.name, None)
            else:
                self._removed_names.setdefault(endpoint.name)
        while len(self._removed_names) > MAX_REMOVED_ENDPOINTS:
            name = next(iter(self._removed_names))
            del self._removed_names[name]
            del self.node_ids[name]

    def _notify_listeners(self, previous_endpoints: dict[int, Endpoint]) -> None:
        for node_id, endpoint in previous_endpoints.items():
            if self.endpoints.get(node_id) != endpoint:
                for listener in self.listeners:
                    listener(node_id)

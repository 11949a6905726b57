"""The endpoint registry: which storage nodes there are, and their ids, addresses and states."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from storage_gateway import policy_api as api
from storage_gateway.config import Address

# Removed endpoints whose ids are kept, as the endpoint may come back or a request in flight may name it.
MAX_REMOVED_ENDPOINTS = 1024


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A storage node as discovery lists it.

    Attributes:
        name: the node's name, unique among the nodes.
        address: where it accepts requests.
        zone: name of its zone.
        shard: the shard that it holds; ``api.NO_SHARD`` for none.
        state: whether it serves, drains or is removed.
        started_at: Unix time of its start in seconds; 0 for long ago.
    """

    name: str
    address: Address
    zone: str
    shard: int
    state: api.EndpointState
    started_at: float


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A whole endpoint list, or the changes to one.

    Attributes:
        version: discovery's version of the list after the update.
        is_snapshot: whether the endpoints are the whole list.
        endpoints: the endpoints listed, or those that changed.
    """

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]


class EndpointRegistry:
    """The latest state of each endpoint, by the id under which the policy knows it.

    Attributes:
        zone_indexes: index of each zone by its name; zones that are new get the next index.
        node_ids: id of each endpoint by its name. An endpoint that comes back has its earlier id, and no id
            is given to a second name.
        endpoints: the endpoints that are listed, by id.
        version: the version of the latest update; None before the first.
        listeners: called with the id of each endpoint that changed or is not listed any more.
    """

    def __init__(self, zone_indexes: dict[str, int]) -> None:
        self.zone_indexes = zone_indexes
        self.node_ids: dict[str, int] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.version: int | None = None
        self.listeners: list[Callable[[int], None]] = []
        self._next_id = count(1)
        self._removed_names: dict[str, None] = {}  # names that are not listed, in the order of their removal

    def is_serving(self, node: int) -> bool:
        """Tell whether the endpoint is listed as serving."""
        endpoint = self.endpoints.get(node)
        return endpoint is not None and endpoint.state is api.EndpointState.SERVING

    def apply(self, update: EndpointUpdate) -> list[api.EndpointEntry]:
        """Apply an update, call the listeners and return the update's entries for the policy."""
        before = dict(self.endpoints)
        if update.is_snapshot:
            self.endpoints.clear()
        entries = [self._apply_endpoint(endpoint) for endpoint in update.endpoints]
        self.version = update.version
        self._forget_removed()
        self._notify_listeners(before)
        return entries

    def _apply_endpoint(self, endpoint: Endpoint) -> api.EndpointEntry:
        if endpoint.name not in self.node_ids:
            self.node_ids[endpoint.name] = next(self._next_id)
        node = self.node_ids[endpoint.name]
        if endpoint.state is api.EndpointState.REMOVED:
            self.endpoints.pop(node, None)
        else:
            self.endpoints[node] = endpoint
        zone_index = self.zone_indexes.setdefault(endpoint.zone, len(self.zone_indexes))
        return api.EndpointEntry(node, endpoint.shard, zone_index, endpoint.state, endpoint.started_at)

    def _notify_listeners(self, before: dict[int, Endpoint]) -> None:
        for node, endpoint in before.items():
            if self.endpoints.get(node) != endpoint:
                for listener in self.listeners:
                    listener(node)

    def _forget_removed(self) -> None:
        """Drop the ids of endpoints that were removed long ago.

        Without this the names would fill the memory of an instance that runs for long while nodes are
        replaced under new names all the time.
        """
        unlisted = [name for name, node in self.node_ids.items() if node not in self.endpoints]
        self._removed_names = {
            name: None for name in self._removed_names if self.node_ids[name] not in self.endpoints
        }
        self._removed_names.update(dict.fromkeys(unlisted))
        excess = max(0, len(self._removed_names) - MAX_REMOVED_ENDPOINTS)
        for name in list(self._removed_names)[:excess]:
            del self._removed_names[name]
            del self.node_ids[name]

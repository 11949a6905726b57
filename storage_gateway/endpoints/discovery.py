"""The discovery client: runs the endpoint watches and publishes the updates that they receive."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import structlog

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.backoff import ReconnectBackoff
from storage_gateway.endpoints.registry import EndpointRegistry, EndpointUpdate
from storage_gateway.endpoints.transport import DiscoveryTransport, HttpDiscoveryTransport
from storage_gateway.endpoints.watch import EndpointWatch

CACHED_LIST_TIMEOUT_S = 20.0  # from the start; without a message of discovery, the cached list is used then

log = structlog.get_logger()


class DiscoveryClient:
    """Keeps the registry and the policy up to date by one watch, or more while moving to another address.

    A cached list may name nodes that began to drain while no instance ran here. It is therefore withheld from
    the registry and the policy until discovery has said what has changed since, or that nothing has. Only if
    discovery stays silent for ``CACHED_LIST_TIMEOUT_S`` is it used all the same: an outage of discovery must
    not become one of the service.

    Attributes:
        address: the discovery address that is in use, or is being moved to.
        registry: where updates are applied.
        gateway_count: number of instances that call the same discovery service; 1 for a local agent.
        backoff: draws the delays between the calls of a watch.
        connected: set once a first message of discovery since the start has been applied.
        list_usable: set once there is a list to use: from discovery or, in its absence, from the cache.
        watches: the running watches, the oldest first; the last one watches ``address``.
    """

    def __init__(
        self,
        address: Address,
        registry: EndpointRegistry,
        post: Callable[[api.Event], None],
        gateway_count: int = 1,
        seed: int = 0,
        open_transport: Callable[[Address], DiscoveryTransport] = HttpDiscoveryTransport,
    ) -> None:
        """Create a client that calls nothing before ``start``.

        Args:
            address: where discovery listens.
            registry: where updates are applied.
            post: passes an event to the policy.
            gateway_count: number of instances that call the same discovery service; 1 for a local agent.
            seed: seed of the random delays.
            open_transport: makes the calls to an address.
        """
        self.address = address
        self.registry = registry
        self.gateway_count = gateway_count
        self.backoff = ReconnectBackoff(gateway_count, seed)
        self.connected = asyncio.Event()
        self.list_usable = asyncio.Event()
        self.watches: list[EndpointWatch] = []
        self._post = post
        self._open_transport = open_transport
        self._updated_at = time.monotonic()
        self._superseded: list[EndpointWatch] = []
        self._cached_list: EndpointUpdate | None = None  # withheld until it is confirmed or used
        self._cached_list_timer: asyncio.TimerHandle | None = None

    def start(self, cached_list: EndpointUpdate | None = None) -> None:
        """Start the watch.

        With a cached list the watch continues from its version, which this address has issued. An instance
        that has one and shares the discovery service waits for a random delay first, as all instances may
        have started at the same time.

        Args:
            cached_list: the list as this instance had it in an earlier process; None for none.
        """
        version = self.registry.version
        if cached_list is not None:
            version = cached_list.version
            self._cached_list = cached_list
            loop = asyncio.get_running_loop()
            self._cached_list_timer = loop.call_later(CACHED_LIST_TIMEOUT_S, self._use_unconfirmed_list)
        is_delayed = cached_list is not None and self.gateway_count > 1
        initial_delay_s = self.backoff.delay_s(0) if is_delayed else 0.0
        self.watches.append(EndpointWatch(self, self._open_transport(self.address), version, initial_delay_s))

    def move(self, address: Address) -> None:
        """Move to another discovery address.

        The new watch fetches the whole list first, as versions of the old address mean nothing at the new
        one. The old watch continues until then, so that no change is missed and no delay of the old watch
        holds up the new one. Watches of addresses in between are cancelled, so that several moves in a row
        leave no more than two.
        """
        self.address = address
        self._cancel_watches(self.watches[1:])
        del self.watches[1:]
        self.watches.append(EndpointWatch(self, self._open_transport(address), None))

    def stop(self) -> None:
        """Cancel all watches; ``wait_closed`` waits for their end."""
        self._take_cached_list()
        for watch in self.watches:
            watch.cancel()

    async def wait_closed(self) -> None:
        """Wait, after ``stop``, until all watches have ended and closed their connections."""
        for watch in [*self._superseded, *self.watches]:
            await watch.wait_closed()

    def publish(self, update: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """Apply an update to the registry and post it to the policy, without awaiting in between.

        Changes apply to the cached list if that is still withheld; a whole list replaces it.

        Args:
            update: the whole list or changes to it.
            kind: kind of the update as reported to the policy; None for a snapshot or a delta, as the update
                says.
        """
        if kind is None:
            kind = _kind_of(update)
        cached_list = self._take_cached_list()
        if cached_list is not None and kind is api.EndpointUpdateKind.DELTA:
            self._apply(cached_list, api.EndpointUpdateKind.CACHED)
        self._apply(update, kind)
        self._set_connected()

    def confirm_list(self) -> None:
        """Use the list that is held: discovery has said that nothing has changed since its version."""
        if (cached_list := self._take_cached_list()) is not None:
            self._apply(cached_list, api.EndpointUpdateKind.CACHED)
        self._set_connected()

    def supersede_older_watches(self, watch: EndpointWatch) -> None:
        """Cancel the watches that were started before this one, which has published its whole list.

        From now on, a change from an older watch could only overwrite newer state.
        """
        position = self.watches.index(watch)
        self._cancel_watches(self.watches[:position])
        del self.watches[:position]

    def is_moving_to(self, watch: EndpointWatch) -> bool:
        """Return whether an older watch continues until this one has its list."""
        return watch is not self.watches[0]

    def status_fields(self) -> dict[str, object]:
        """Return fields for the status line: state, version and age of the list, and those of the watch."""
        return {
            "endpoint_list_confirmed": self.connected.is_set(),
            "endpoint_list_version": self.registry.version,
            "endpoint_list_age_s": round(time.monotonic() - self._updated_at, 1),
            **(self.watches[-1].status_fields() if self.watches else {}),
        }

    def _cancel_watches(self, watches: list[EndpointWatch]) -> None:
        """Cancel watches whose end is awaited later."""
        self._superseded = [watch for watch in self._superseded if not watch.is_closed()]
        for watch in watches:
            watch.cancel()
        self._superseded += watches

    def _use_unconfirmed_list(self) -> None:
        """Use the cached list after its timeout, although it may be out of date."""
        if (cached_list := self._take_cached_list()) is None:
            return
        log.warning("cached_endpoints_used", version=cached_list.version, timeout_s=CACHED_LIST_TIMEOUT_S)
        self._apply(cached_list, api.EndpointUpdateKind.CACHED)
        self.list_usable.set()

    def _take_cached_list(self) -> EndpointUpdate | None:
        """Return the cached list if it is withheld, and withhold it no longer."""
        if self._cached_list_timer:
            self._cached_list_timer.cancel()
        cached_list, self._cached_list = self._cached_list, None
        return cached_list

    def _apply(self, update: EndpointUpdate, kind: api.EndpointUpdateKind) -> None:
        self._updated_at = time.monotonic()
        self._post(api.EndpointsChanged(kind, self.registry.apply(update)))

    def _set_connected(self) -> None:
        self.connected.set()
        self.list_usable.set()


def _kind_of(update: EndpointUpdate) -> api.EndpointUpdateKind:
    if update.is_snapshot:
        return api.EndpointUpdateKind.SNAPSHOT
    return api.EndpointUpdateKind.DELTA

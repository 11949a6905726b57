"""The discovery client: runs the endpoint watches and publishes the updates that they receive."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.backoff import ReconnectBackoff
from storage_gateway.endpoints.registry import EndpointRegistry, EndpointUpdate
from storage_gateway.endpoints.watch import EndpointWatch

# Timeouts for the whole list, or for the first message of a watch.
SHARED_CALL_TIMEOUT_S = 1.5  # from a service that all gateway instances call
LOCAL_CALL_TIMEOUT_S = 1.0  # from a local agent, which responds at once


class DiscoveryClient:
    """Keeps the registry and the policy up to date by one watch, or more while moving to another address.

    Attributes:
        address: the discovery address that is in use, or is being moved to.
        registry: where updates are applied.
        gateway_count: number of instances that call the same discovery service; 1 for a local agent.
        backoff: draws the delays between the calls of a watch.
        call_timeout_s: seconds for the whole list, or for the first message of a watch.
        connected: set once discovery has sent a first message since the start.
        watches: the running watches, the oldest first; the last one watches ``address``.
    """

    def __init__(
        self,
        address: Address,
        registry: EndpointRegistry,
        post: Callable[[api.Event], None],
        gateway_count: int = 1,
        seed: int = 0,
    ) -> None:
        """Create a client that calls nothing before ``start``.

        Args:
            address: where discovery listens.
            registry: where updates are applied.
            post: passes an event to the policy.
            gateway_count: number of instances that call the same discovery service; 1 for a local agent.
            seed: seed of the random delays.
        """
        self.address = address
        self.registry = registry
        self.gateway_count = gateway_count
        self.backoff = ReconnectBackoff(gateway_count, seed)
        self.call_timeout_s = SHARED_CALL_TIMEOUT_S if gateway_count > 1 else LOCAL_CALL_TIMEOUT_S
        self.connected = asyncio.Event()
        self.watches: list[EndpointWatch] = []
        self._post = post
        self._updated_at = time.monotonic()
        self._superseded: list[EndpointWatch] = []

    def start(self) -> None:
        """Start the watch.

        With a cached list the watch continues from its version, which this address has issued. An instance
        that has one and shares the discovery service waits for a random delay first, as all instances may
        have started at the same time.
        """
        is_delayed = bool(self.registry.endpoints) and self.gateway_count > 1
        initial_delay_s = self.backoff.delay_s(0) if is_delayed else 0.0
        self.watches.append(EndpointWatch(self, self.address, self.registry.version, initial_delay_s))

    def move(self, address: Address) -> None:
        """Move to another discovery address.

        The new watch fetches the whole list first, as versions of the old address mean nothing at the new
        one. The old watch continues until then, so that no change is missed and no delay of the old watch
        holds up the new one.
        """
        self.address = address
        self.watches.append(EndpointWatch(self, address, None))

    def stop(self) -> None:
        """Cancel all watches; ``wait_closed`` waits for their end."""
        for watch in self.watches:
            watch.cancel()

    async def wait_closed(self) -> None:
        """Wait, after ``stop``, until all watches have ended and closed their connections."""
        for watch in [*self._superseded, *self.watches]:
            await watch.wait_closed()

    def publish(self, update: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """Apply an update to the registry and post it to the policy, without awaiting in between.

        Args:
            update: the whole list or changes to it.
            kind: kind of the update as reported to the policy; None for a snapshot or a delta, as the update
                says.
        """
        if kind is None:
            kind = _kind_of(update)
        self._updated_at = time.monotonic()
        self._post(api.EndpointsChanged(kind, self.registry.apply(update)))

    def supersede_older_watches(self, watch: EndpointWatch) -> None:
        """Cancel the watches that were started before this one, which has published its whole list.

        From now on, a change from an older watch could only overwrite newer state.
        """
        self._superseded = [older for older in self._superseded if not older.is_closed()]
        while self.watches and self.watches[0] is not watch:
            older = self.watches.pop(0)
            older.cancel()
            self._superseded.append(older)

    def is_moving_to(self, watch: EndpointWatch) -> bool:
        """Return whether an older watch continues until this one has its list."""
        return watch is not self.watches[0]

    def status_fields(self) -> dict[str, object]:
        """Return fields for the status line: the list's version and age, and the newest watch's failures."""
        return {
            "endpoint_list_version": self.registry.version,
            "endpoint_list_age_s": round(time.monotonic() - self._updated_at, 1),
            "watch_failures": self.watches[-1].failures if self.watches else None,
        }


def _kind_of(update: EndpointUpdate) -> api.EndpointUpdateKind:
    if update.is_snapshot:
        return api.EndpointUpdateKind.SNAPSHOT
    return api.EndpointUpdateKind.DELTA

"""The discovery client: owns the endpoint watches and publishes what they bring."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.backoff import ReconnectBackoff
from storage_gateway.endpoints.registry import EndpointRegistry, EndpointUpdate
from storage_gateway.endpoints.watch import EndpointWatch

# Seconds for the whole list, or for the first message of a watch.
SHARED_CALL_TIMEOUT_S = 1.5  # from one service that all gateway instances call
LOCAL_CALL_TIMEOUT_S = 1.0  # from an agent of this instance, which has what it has at once


class DiscoveryClient:
    """Keeps the registry and the policy up to date by one watch, or by two while discovery moves.

    Attributes:
        address: the discovery address that counts.
        registry: where updates are applied.
        gateway_count: number of instances that call the same discovery service; 1 for an agent of our own.
        backoff: draws the delay until a watch calls again.
        call_timeout_s: seconds for the whole list, or for the first message of a watch.
        connected: set when the first message has come from discovery since the start.
        watches: those that go on, the oldest first; the last one is on ``address``.
    """

    def __init__(
        self,
        address: Address,
        registry: EndpointRegistry,
        post: Callable[[api.Event], None],
        gateway_count: int = 1,
        seed: int = 0,
    ) -> None:
        """Keep the address for ``start``.

        Args:
            address: where discovery listens.
            registry: where updates are applied.
            post: hands an event to the policy.
            gateway_count: number of instances that call the same discovery service.
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
        """Begin to watch.

        An earlier copy of the list counts, as its versions are those of this address. An instance that has
        one and shares the discovery service waits for a random delay first: all may have started at one time.
        """
        delays = bool(self.registry.endpoints) and self.gateway_count > 1
        initial_delay_s = self.backoff.delay_s(0) if delays else 0.0
        self.watches.append(EndpointWatch(self, self.address, self.registry.version, initial_delay_s))

    def move(self, address: Address) -> None:
        """Watch another discovery address.

        The whole list comes first, as the versions of the old address mean nothing to the new one. Until it
        has come the old watch goes on: no change is missed, and no delay of the old one holds up the new one.
        """
        self.address = address
        self.watches.append(EndpointWatch(self, address, None))

    def stop(self) -> None:
        """Cancel all watches; ``closed`` awaits their end."""
        for watch in self.watches:
            watch.cancel()

    async def closed(self) -> None:
        """Wait, after ``stop``, until all watches have ended and closed their connections."""
        for watch in [*self._superseded, *self.watches]:
            await watch.closed()

    def publish(self, update: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """Apply an update to the registry and, without a break between, post it to the policy.

        Args:
            update: the whole list or changes to it.
            kind: what the policy takes it for; by default a snapshot or a delta, as the update says.
        """
        if kind is None:
            kind = _kind_of(update)
        self._updated_at = time.monotonic()
        self._post(api.EndpointsChanged(kind, self.registry.apply(update)))

    def supersede_older_watches(self, watch: EndpointWatch) -> None:
        """End the watches that were begun before this one, which has published its whole list.

        From here on a change that an older one brings could only undo what the new list says.
        """
        self._superseded = [older for older in self._superseded if not older.is_closed()]
        while self.watches and self.watches[0] is not watch:
            older = self.watches.pop(0)
            older.cancel()
            self._superseded.append(older)

    def is_moving_to(self, watch: EndpointWatch) -> bool:
        """Tell whether an older watch goes on until this one has its list."""
        return watch is not self.watches[0]

    def status_fields(self) -> dict[str, object]:
        """Return the fields of the status log: the list's version, its age and whether its watch fails."""
        return {
            "endpoint_list_version": self.registry.version,
            "endpoint_list_age_s": round(time.monotonic() - self._updated_at, 1),
            "watch_failures": self.watches[-1].failures if self.watches else None,
        }


def _kind_of(update: EndpointUpdate) -> api.EndpointUpdateKind:
    if update.is_snapshot:
        return api.EndpointUpdateKind.SNAPSHOT
    return api.EndpointUpdateKind.DELTA

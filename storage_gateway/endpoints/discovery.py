"""The watches on discovery, and what they tell the registry and the policy."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.backoff import spread
from storage_gateway.endpoints.registry import EndpointRegistry, EndpointUpdate
from storage_gateway.endpoints.watch import CALL, CALL_ALONE, Watch


class DiscoveryClient:
    """Keeps the directory, and through it the policy, told: by one watch, or amid a move by two."""

    def __init__(
        self,
        address: Address,
        registry: EndpointRegistry,
        tell: Callable[[api.Event], None],
        callers: int = 1,
        seed: int = 0,
    ) -> None:
        self.address, self.registry, self.tell = address, registry, tell
        self.callers, self.random = callers, random.Random(seed)  # how many fronts call the same service
        self.call = CALL if callers > 1 else CALL_ALONE
        self.heard = asyncio.Event()  # something, in this life
        self.taken_at = time.monotonic()  # when the latest word on the list came
        self.watches: list[Watch] = []  # the last one is on the address that counts

    def take(self, listing: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """A list goes to the directory and, in the same turn, to the policy."""
        whole = api.EndpointUpdateKind.SNAPSHOT if listing.is_snapshot else api.EndpointUpdateKind.DELTA
        self.taken_at = time.monotonic()
        self.tell(api.EndpointsChanged(kind or whole, self.registry.apply(listing)))

    def start(self) -> None:
        """Watch; an old copy of the list counts, as its versions are this agent's. Who has one and shares the
        service takes a turn: all fronts may have started at one time.
        """
        turn = self.pause(0) if self.registry.endpoints and self.callers > 1 else 0.0
        self.watches.append(Watch(self, self.address, self.registry.version, turn))

    def pause(self, failures: int) -> float:
        """Seconds until the next call, after so many in a row that brought no list."""
        return self.random.random() * spread(failures, self.callers)

    def move(self, address: Address) -> None:
        """Watch another agent. The whole list comes first, as the old one's versions are nothing to it. Until
        it has come the old watch goes on: nothing is missed, and no wait on the old one delays the new.
        """
        self.address = address
        self.watches.append(Watch(self, address, None))

    def settled(self, watch: Watch) -> None:
        """This one has told its whole list: from here on, what an older one says could only undo that."""
        while self.watches and self.watches[0] is not watch:
            self.watches.pop(0).task.cancel()

    def status_fields(self) -> dict[str, object]:
        """For the log: which list counts, since when, and whether its watch fails."""
        return {
            "list": self.registry.version,
            "list_age_s": round(time.monotonic() - self.taken_at, 1),
            "watch_failures": self.watches[-1].failures if self.watches else None,
        }

    def stop(self) -> None:
        for watch in self.watches:
            watch.task.cancel()

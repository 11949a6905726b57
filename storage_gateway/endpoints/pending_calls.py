"""The calls to discovery that an endpoint watch has in progress."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

import structlog

from storage_gateway.endpoints.call_schedule import is_expired

log = structlog.get_logger()


class CallTarget(StrEnum):
    """What a call asks discovery for."""

    LIST = "list"
    WATCH = "watch"


class GiveUpReason(StrEnum):
    """Why a call was given up."""

    ANSWERED_ELSEWHERE = "answered_elsewhere"
    TIMEOUT = "timeout"


@dataclass(slots=True, eq=False)
class DiscoveryCall:
    """A connection to discovery: a call for the list if there is no version yet, then one for a watch.

    Attributes:
        version: the version of the list after which a watch follows the changes; None for the list itself.
        waiting_since: event loop time in seconds at which the call in progress was sent.
        is_answered: whether it has been answered.
        has_fetched_list: whether an earlier call on this connection has fetched the list.
        task: runs the calls.
    """

    version: int | None
    waiting_since: float
    is_answered: bool = False
    has_fetched_list: bool = False
    task: asyncio.Task[None] = field(init=False)

    @property
    def target(self) -> CallTarget:
        """What the call in progress asks for."""
        return CallTarget.LIST if self.version is None else CallTarget.WATCH

    def follow_list(self, version: int, now: float) -> None:
        """Record that the list has been fetched and that the call for a watch is sent."""
        self.version = version
        self.waiting_since = now
        self.is_answered = False
        self.has_fetched_list = True


class PendingCalls:
    """The calls in progress, the oldest first, answered or not.

    Args:
        address: the discovery address, as the log shows it.
        loop: the running event loop.
    """

    def __init__(self, address: str, loop: asyncio.AbstractEventLoop) -> None:
        self._address = address
        self._loop = loop
        self._calls: list[DiscoveryCall] = []

    def __bool__(self) -> bool:
        return bool(self._calls)

    def add(self, call: DiscoveryCall) -> None:
        """Add a call that has just been sent."""
        self._calls.append(call)

    def remove(self, call: DiscoveryCall) -> None:
        """Remove a call that has ended; it may have been given up at the same time."""
        if call in self._calls:
            self._calls.remove(call)

    def record_answer(self, call: DiscoveryCall) -> float | None:
        """Record that a call has an answer, or a watch another message, and give up all other calls.

        Returns:
            The seconds that the call took; None if it had been answered before.
        """
        for other in self._calls.copy():
            if other is not call:
                self._give_up(other, GiveUpReason.ANSWERED_ELSEWHERE)
        if call.is_answered:
            return None
        call.is_answered = True
        log.info(
            "discovery_call_answered",
            address=self._address,
            target=call.target.value,
            waited_s=self.waited_s(call),
        )
        return self._loop.time() - call.waiting_since

    def give_up_expired(self) -> None:
        """Give up the calls that are most likely lost."""
        now = self._loop.time()
        for position, call in enumerate(self.list_unanswered()):
            if is_expired(now - call.waiting_since, is_oldest=position == 0):
                self._give_up(call, GiveUpReason.TIMEOUT)

    def cancel_all(self) -> None:
        """Cancel all calls; their watch has been cancelled."""
        for call in self._calls:
            call.task.cancel()

    def list_unanswered(self) -> list[DiscoveryCall]:
        """Return the calls without an answer, the oldest first."""
        return [call for call in self._calls if not call.is_answered]

    def waited_s(self, call: DiscoveryCall) -> float:
        """Return for how many seconds a call has been waited for, as the log shows it."""
        return round(self._loop.time() - call.waiting_since, 2)

    def _give_up(self, call: DiscoveryCall, reason: GiveUpReason) -> None:
        """Cancel a call; it publishes nothing from now on."""
        self._calls.remove(call)
        call.task.cancel()
        log.info(
            "discovery_call_given_up",
            address=self._address,
            target=call.target.value,
            waited_s=None if call.is_answered else self.waited_s(call),
            reason=reason.value,
        )

"""The life of a request: one policy, its clock and timer, and the attempts that it decides on.

A server brings an ``api.RequestArrived`` and a function that makes one attempt at a storage node;
``RequestExecutor.execute`` lets the policy say where and when to send it, and returns how the request ended.
No wire protocol is known here.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import structlog

from storage_gateway import policy_api as api
from storage_gateway.logging import StatusLog, StatusSource
from storage_gateway.pending_request import ATTEMPT_MARGIN_S, RESPONSE_MARGIN_S, PendingRequest
from storage_gateway.policy import Policy

__all__ = [
    "ATTEMPT_MARGIN_S",
    "Attempt",
    "AttemptResult",
    "Failed",
    "Rejected",
    "RequestExecutor",
    "Served",
]

MIN_DECISION_TIME_S = 0.005  # what the policy has for its decision, however little time the client gives

T = TypeVar("T")
log = structlog.get_logger()


@dataclass(slots=True)
class AttemptResult(Generic[T]):
    """How an attempt ended.

    Attributes:
        outcome: what came of the attempt.
        value: the node's response, where there is one.
        units_elsewhere: units of the request's volume that the node served through other gateway instances.
    """

    outcome: api.AttemptOutcome
    value: T | None = None
    units_elsewhere: float = 0.0


Attempt = Callable[[int], Awaitable[AttemptResult[T]]]
"""Makes one attempt at the node with this id."""


@dataclass(slots=True)
class Served(Generic[T]):
    """The request was served, with this response."""

    value: T | None


@dataclass(slots=True)
class Rejected:
    """The request was not executed; a retry is harmless, best after ``retry_after_s`` seconds."""

    retry_after_s: float


@dataclass(slots=True)
class Failed:
    """The request failed, with no promise about its effect."""


class RequestExecutor:
    """Owner of the one policy and of its timer. All events of one turn of the loop go into one step.

    Attributes:
        clock_offset_s: Unix time less the loop's time, read once: the clock goes on evenly where the
            system's jumps.
        pending: requests that are owed their response, by id.
        status_sources: the parts that add fields to the status log.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock_offset_s = time.time() - self.loop.time()
        self.policy = Policy(settings)
        self.pending: dict[str, PendingRequest] = {}
        self.status_sources: list[StatusSource] = [self.status_fields, self.policy.status_fields]
        self._events: list[api.Event] = []
        self._policy_timer: asyncio.TimerHandle | None = None
        self._last_request_number = 0
        self._response_deadline = math.inf  # a process that is to end responds to nothing later

    def start_status_log(self) -> None:
        """Report the state of the process in the log from now on, every few seconds."""
        StatusLog(self.loop, self.status_sources).start()

    def status_fields(self) -> dict[str, object]:
        """Return the number of requests that wait for their response, for the status log."""
        return {"pending": len(self.pending)}

    def now(self) -> float:
        """Return Unix time in seconds, by the monotonic clock."""
        return self.loop.time() + self.clock_offset_s

    def new_request_id(self) -> str:
        """Return an id of the executor's own: a client that repeats one of its ids mixes nothing up."""
        self._last_request_number += 1
        return str(self._last_request_number)

    def begin_shutdown(self, response_time_s: float) -> None:
        """Give each request that is pending, or arrives from now on, its response within this time."""
        self._response_deadline = self.now() + response_time_s
        for pending in self.pending.values():
            pending.shorten_deadline(self._response_deadline, self.clock_offset_s)

    def attempt_time_left(self, request_id: str) -> float:
        """Return the seconds for an attempt that has not begun; 0.0 where it must not begin any more."""
        pending = self.pending.get(request_id)
        if pending is None or self.now() > pending.first_byte_deadline:
            return 0.0
        return pending.deadline - ATTEMPT_MARGIN_S - self.now()

    def post(self, event: api.Event) -> None:
        """Hand an event to the policy, in the next turn of the loop."""
        if not self._events:
            self.loop.call_soon(self.step)
        self._events.append(event)

    def step(self) -> None:
        """Let the policy decide on all events posted since the last step, and carry out its actions."""
        events = self._events
        self._events = []
        try:
            actions = self.policy.step(self.now(), events)
        except Exception:  # guards the other requests: each is still answered at its own deadline
            log.exception("policy_failed", events=len(events))
            return
        for action in actions:
            match action:
                case api.SendAttempt() | api.RejectRequest() | api.FailRequest():
                    if pending := self.pending.get(action.request_id):
                        pending.actions.put_nowait(action)
                case api.CancelAttempt(request_id, attempt):
                    if pending := self.pending.get(request_id):
                        pending.cancel_attempt(attempt, self.loop.time())
                case api.SetTimer(delay_s, timer_id):
                    self._set_policy_timer(delay_s, timer_id)
                case api.WatchEndpoints():
                    pass  # the endpoints are watched from the start

    async def execute(
        self, request: api.RequestArrived, attempt: Attempt[T]
    ) -> Served[T] | Rejected | Failed:
        """Carry a request from its arrival to its one response.

        A task that is cancelled in here stands for a client that has gone: no response is owed.
        """
        request.deadline = min(request.deadline, self._response_deadline)
        pending = PendingRequest(request.deadline)
        self.pending[request.request_id] = pending
        self.post(request)
        try:
            # A client that waits for less than the margin still gets the policy's decision, as that comes
            # at once.
            response_due = max(
                request.deadline - RESPONSE_MARGIN_S - self.clock_offset_s,
                self.loop.time() + MIN_DECISION_TIME_S,
            )
            async with asyncio.timeout_at(response_due) as pending.response_timer:
                while True:
                    match await pending.actions.get():
                        case api.SendAttempt(_, node, first_byte_deadline):
                            pending.first_byte_deadline = first_byte_deadline
                            result = await self._make_attempt(request, pending, node, attempt)
                            if result.outcome is api.AttemptOutcome.SERVED:
                                return Served(result.value)
                        case api.RejectRequest(_, retry_after_s):
                            return Rejected(retry_after_s)
                        case api.FailRequest():
                            return Failed()
        except asyncio.CancelledError:
            self.post(api.ClientCancelled(request.request_id))
            raise
        except TimeoutError:
            return self._respond_without_policy(request, pending)
        finally:
            del self.pending[request.request_id]
            while not pending.actions.empty():
                action = pending.actions.get_nowait()
                # Guards the policy's count of slots: a decision to send that came too late for the request
                # is an attempt to the policy, and takes a slot until it is said to have ended.
                if isinstance(action, api.SendAttempt):
                    self.post(_unsent_attempt_ended(request.request_id, pending.attempt_count, action.node))

    async def _make_attempt(
        self, request: api.RequestArrived, pending: PendingRequest, node: int, attempt: Attempt[T]
    ) -> AttemptResult[T]:
        """Make one attempt, until it ends, its timer fires, or the policy cancels it by the same timer.

        Its end is posted once its connection is free or closed, so that a request never has two attempts in
        flight.
        """
        number = pending.attempt_count
        pending.attempt_count += 1
        sent_at = self.now()
        may_have_executed_before = pending.may_have_executed
        pending.may_have_executed = True
        result = AttemptResult[T](api.AttemptOutcome.CANCELLED)
        settled = True  # stands if this task is cancelled: the client has gone, and its request with it
        try:
            attempt_due = pending.deadline - ATTEMPT_MARGIN_S - self.clock_offset_s
            async with asyncio.timeout_at(attempt_due) as pending.attempt_timer:
                result = await attempt(node)
            settled = result.outcome is api.AttemptOutcome.SERVED
        except TimeoutError:
            settled = False
            is_due = self.now() >= pending.deadline - ATTEMPT_MARGIN_S
            outcome = api.AttemptOutcome.TIMEOUT if is_due else api.AttemptOutcome.CANCELLED
            result = AttemptResult(outcome)
        except Exception:
            log.exception("attempt_failed", node=node)
            settled = False
            result = AttemptResult(api.AttemptOutcome.CONNECTION_RESET)  # in doubt, it may have executed
        finally:
            pending.attempt_timer = None
            pending.may_have_executed = may_have_executed_before or not result.outcome.proves_no_execution
            self.post(
                api.AttemptEnded(
                    request_id=request.request_id,
                    attempt=number,
                    node=node,
                    outcome=result.outcome,
                    elapsed_s=self.now() - sent_at,
                    request_settled=settled,
                    units_elsewhere=result.units_elsewhere,
                )
            )
        return result

    def _respond_without_policy(
        self, request: api.RequestArrived, pending: PendingRequest
    ) -> Rejected | Failed:
        """Respond in time although the policy does not decide, or the loop ran late."""
        log.warning("response_forced", request=request.request_id, attempts=pending.attempt_count)
        self.post(api.ClientCancelled(request.request_id))
        if pending.may_have_executed:
            return Failed()
        return Rejected(self.policy.settings.max_retry_after_s)

    def _set_policy_timer(self, delay_s: float, timer_id: int) -> None:
        """Set the policy's one timer; a new one replaces it."""
        if self._policy_timer:
            self._policy_timer.cancel()
        due = self.loop.time() + delay_s
        self._policy_timer = self.loop.call_at(due, self.post, api.TimerFired(timer_id))


def _unsent_attempt_ended(request_id: str, number: int, node: int) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=request_id,
        attempt=number,
        node=node,
        outcome=api.AttemptOutcome.NOT_SENT,
        elapsed_s=0.0,
        request_settled=True,
    )

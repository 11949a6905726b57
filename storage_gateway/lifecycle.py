"""Request execution: runs the policy, its clock and timer, and the attempts that the policy decides on.

A server passes an ``api.RequestArrived`` and a function that makes one attempt at a storage node to
``RequestExecutor.execute``. The policy decides when and to which node each attempt is sent; ``execute``
returns how the request ended. This module is independent of the wire protocols.
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
    "AttemptFunction",
    "AttemptResult",
    "Failed",
    "Rejected",
    "RequestExecutor",
    "Served",
]

MIN_DECISION_TIME_S = 0.005  # least time for the policy to decide, however short the client's deadline is

T = TypeVar("T")
log = structlog.get_logger()


@dataclass(slots=True)
class AttemptResult(Generic[T]):
    """How an attempt ended.

    Attributes:
        outcome: whether the node served the request and, if not, whether it may have executed it.
        value: the node's response; None if there is none.
        units_elsewhere: units of the request's volume that the node served through other gateway instances;
            0 if it does not report them.
    """

    outcome: api.AttemptOutcome
    value: T | None = None
    units_elsewhere: float = 0.0


AttemptFunction = Callable[[int], Awaitable[AttemptResult[T]]]
"""Makes one attempt at the node with the given id."""


@dataclass(slots=True)
class Served(Generic[T]):
    """The request was served; ``value`` is the node's response."""

    value: T | None


@dataclass(slots=True)
class Rejected:
    """The request was not executed; a retry is safe, best after ``retry_after_s`` seconds (0: no hint)."""

    retry_after_s: float


@dataclass(slots=True)
class Failed:
    """The request failed; a node may or may not have executed it."""


class RequestExecutor:
    """Runs the policy and its timer, and executes requests as the policy decides.

    All events posted in one iteration of the event loop reach the policy in one step.

    Attributes:
        loop: the event loop that runs the policy and all attempts.
        clock_offset_s: Unix time minus the loop's time in seconds; read once, so that adjustments of the
            system clock do not affect ``now``.
        policy: the policy, which holds all scheduling state of this gateway instance.
        pending: the requests that have not had their response yet, by request id.
        status_sources: functions whose fields are added to each status line, in this order.
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
        self._response_deadline = math.inf  # Unix time; finite once shutdown begins

    def start_status_log(self) -> None:
        """Log a status line every few seconds from now on."""
        StatusLog(self.loop, self.status_sources).start()

    def status_fields(self) -> dict[str, object]:
        """Return the number of pending requests, for the status line."""
        return {"pending": len(self.pending)}

    def now(self) -> float:
        """Return Unix time in seconds, advanced by the monotonic clock."""
        return self.loop.time() + self.clock_offset_s

    def new_request_id(self) -> str:
        """Return an id that is unique in this process, as clients may repeat theirs."""
        self._last_request_number += 1
        return str(self._last_request_number)

    def begin_shutdown(self, response_time_s: float) -> None:
        """Ensure that each pending or later request has its response within ``response_time_s`` seconds."""
        self._response_deadline = self.now() + response_time_s
        for pending in self.pending.values():
            pending.shorten_deadline(self._response_deadline, self.clock_offset_s)

    def attempt_time_left(self, request_id: str) -> float:
        """Return the seconds left for an attempt not yet sent; 0 or less if it must not be sent any more."""
        pending = self.pending.get(request_id)
        if pending is None or self.now() > pending.first_byte_deadline:
            return 0.0
        return pending.deadline - ATTEMPT_MARGIN_S - self.now()

    def post(self, event: api.Event) -> None:
        """Queue an event for the policy's step in the next iteration of the event loop."""
        if not self._events:
            self.loop.call_soon(self.step)
        self._events.append(event)

    def step(self) -> None:
        """Pass all events posted since the last step to the policy, and carry out its actions."""
        events = self._events
        self._events = []
        try:
            actions = self.policy.step(self.now(), events)
        except Exception:  # protects the pending requests: each still gets a response by its own deadline
            log.exception("policy_failed", events=len(events))
            return
        for action in actions:
            match action:
                case api.SendAttempt() | api.RejectRequest() | api.FailRequest():
                    if pending := self.pending.get(action.request_id):
                        pending.actions.put_nowait(action)
                case api.CancelAttempt(request_id, attempt_number):
                    if pending := self.pending.get(request_id):
                        pending.cancel_attempt(attempt_number, self.loop.time())
                case api.SetTimer(delay_s, timer_id):
                    self._set_policy_timer(delay_s, timer_id)
                case api.WatchEndpoints():
                    pass  # the discovery client watches them from the start

    async def execute(
        self, request: api.RequestArrived, make_attempt: AttemptFunction[T]
    ) -> Served[T] | Rejected | Failed:
        """Execute a request and return its one result.

        Cancelling the calling task means that the client has disconnected and needs no response.
        """
        request.deadline = min(request.deadline, self._response_deadline)
        pending = PendingRequest(request.deadline)
        self.pending[request.request_id] = pending
        self.post(request)
        try:
            # A deadline shorter than the margin still leaves time for the policy's decision, which takes one
            # iteration of the event loop.
            response_due = max(
                request.deadline - RESPONSE_MARGIN_S - self.clock_offset_s,
                self.loop.time() + MIN_DECISION_TIME_S,
            )
            async with asyncio.timeout_at(response_due) as pending.response_timer:
                while True:
                    match await pending.actions.get():
                        case api.SendAttempt(_, node_id, first_byte_deadline):
                            pending.first_byte_deadline = first_byte_deadline
                            result = await self._run_attempt(request, pending, node_id, make_attempt)
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
                # The policy counts a SendAttempt that came too late as an attempt in flight: its slot stays
                # occupied until the attempt is reported as ended.
                if isinstance(action, api.SendAttempt):
                    self.post(
                        _unsent_attempt_ended(request.request_id, pending.attempt_count, action.node_id)
                    )

    async def _run_attempt(
        self,
        request: api.RequestArrived,
        pending: PendingRequest,
        node_id: int,
        make_attempt: AttemptFunction[T],
    ) -> AttemptResult[T]:
        """Run one attempt until it ends, its timer expires, or the policy cancels it through that timer.

        The end is posted only once the attempt's connection is free or closed, so that a request never has
        two attempts in flight.
        """
        current_attempt = pending.attempt_count
        pending.attempt_count += 1
        sent_at = self.now()
        may_have_executed_before = pending.may_have_executed
        pending.may_have_executed = True
        result = AttemptResult[T](api.AttemptOutcome.CANCELLED)
        settled = True  # still so if this task is cancelled: the client has disconnected
        try:
            attempt_due = pending.deadline - ATTEMPT_MARGIN_S - self.clock_offset_s
            async with asyncio.timeout_at(attempt_due) as pending.attempt_timer:
                result = await make_attempt(node_id)
            settled = result.outcome is api.AttemptOutcome.SERVED
        except TimeoutError:
            settled = False
            is_overdue = self.now() >= pending.deadline - ATTEMPT_MARGIN_S
            outcome = api.AttemptOutcome.TIMEOUT if is_overdue else api.AttemptOutcome.CANCELLED
            result = AttemptResult(outcome)
        except Exception:
            log.exception("attempt_failed", node=node_id)
            settled = False
            result = AttemptResult(api.AttemptOutcome.CONNECTION_RESET)  # the node may have executed it
        finally:
            pending.attempt_timer = None
            pending.may_have_executed = may_have_executed_before or not result.outcome.proves_no_execution
            self.post(
                api.AttemptEnded(
                    request_id=request.request_id,
                    attempt_number=current_attempt,
                    node_id=node_id,
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
        """Return a result in time if the policy did not decide, or the event loop was delayed."""
        log.warning("response_forced", request=request.request_id, attempts=pending.attempt_count)
        self.post(api.ClientCancelled(request.request_id))
        if pending.may_have_executed:
            return Failed()
        return Rejected(self.policy.settings.max_retry_after_s)

    def _set_policy_timer(self, delay_s: float, timer_id: int) -> None:
        """Set the policy's only timer, in place of an earlier one."""
        if self._policy_timer:
            self._policy_timer.cancel()
        due = self.loop.time() + delay_s
        self._policy_timer = self.loop.call_at(due, self.post, api.TimerFired(timer_id))


def _unsent_attempt_ended(request_id: str, unsent_attempt: int, node_id: int) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=request_id,
        attempt_number=unsent_attempt,
        node_id=node_id,
        outcome=api.AttemptOutcome.NOT_SENT,
        elapsed_s=0.0,
        request_settled=True,
    )

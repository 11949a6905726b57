"""The core of a front: one policy, its clock and wake-up, and the life of a request. It knows no wire.

A front brings an ``api.Arrival`` and a function that makes one attempt at a node; ``Core.serve`` asks the
policy where and when, and returns how the request ended.
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
from storage_gateway.policy.policy import NEVER_RAN, Policy

T = TypeVar("T")
ATTEMPT_MARGIN_S = 0.04  # an attempt ends this long before the client's deadline, so that the answer beats it
RESPONSE_MARGIN_S = 0.015  # and the core answers by itself where the policy still has not
SOONEST = 0.005
log = structlog.get_logger()


@dataclass(slots=True)
class AttemptResult(Generic[T]):
    """How an attempt ended, its answer, and the units of its volume that the node served by other hosts."""

    outcome: api.AttemptOutcome
    value: T | None = None
    units_elsewhere: float = 0.0


Attempt = Callable[[int], Awaitable[AttemptResult[T]]]  # of the node


@dataclass(slots=True)
class Served(Generic[T]):
    value: T | None


@dataclass(slots=True)
class Rejected:
    """Turned away, and trying again is harmless, best after ``wait`` seconds."""

    retry_after_s: float


@dataclass(slots=True)
class Failed:
    """No promise about its effect."""


class PendingRequest:
    """A request being served: what the policy says of it, and the timers of its answer and its attempt."""

    __slots__ = (
        "actions",
        "answer_timer",
        "attempt_timer",
        "attempts",
        "deadline",
        "may_have_executed",
        "until",
    )

    def __init__(self, deadline: float) -> None:
        self.actions: asyncio.Queue[api.SendAttempt | api.RejectRequest | api.FailRequest] = asyncio.Queue()
        self.deadline = deadline
        self.answer_timer: asyncio.Timeout | None = None
        self.attempt_timer: asyncio.Timeout | None = None
        self.attempts, self.until = 0, math.inf
        self.may_have_executed = False


class RequestExecutor:
    """Owner of the one policy. Every event of one turn of the loop goes into one step."""

    def __init__(self, settings: api.Settings) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock_offset_s = (
            time.time() - self.loop.time()
        )  # once: the clock goes on evenly if the system's jumps
        self.policy = Policy(settings)
        self.pending: dict[str, PendingRequest] = {}
        self.events: list[api.Event] = []
        self.policy_timer: asyncio.TimerHandle | None = None
        self.numbered = 0
        self.response_deadline = math.inf  # a process that is to end answers nothing later
        self.status_sources: list[StatusSource] = [self.status_fields, self.policy.status_fields]

    def start_status_log(self) -> None:
        """Report the state of the process in the log from now on, every few seconds."""
        StatusLog(self.loop, self.status_sources).start()

    def status_fields(self) -> dict[str, object]:
        """Return the number of requests that wait for their response, for the status log."""
        return {"pending": len(self.pending)}

    def now(self) -> float:
        """Unix time, by the monotonic clock."""
        return self.loop.time() + self.clock_offset_s

    def begin_shutdown(self, seconds: float) -> None:
        """Whatever is open, or comes from now on, has its answer within so many seconds."""
        self.response_deadline = self.now() + seconds
        for call in self.pending.values():
            call.deadline = min(call.deadline, self.response_deadline)
            for timer, margin in (
                (call.answer_timer, RESPONSE_MARGIN_S),
                (call.attempt_timer, ATTEMPT_MARGIN_S),
            ):
                due = call.deadline - margin - self.clock_offset_s
                if timer and not timer.expired() and due < (timer.when() or math.inf):
                    timer.reschedule(due)

    def attempt_time_left(self, request: str) -> float:
        """Seconds for an attempt that has not begun; none if it must not begin any more."""
        call = self.pending.get(request)
        if call is None or self.now() > call.until:
            return 0.0
        return call.deadline - ATTEMPT_MARGIN_S - self.now()

    def new_request_id(self) -> str:
        """Ids of the core's own: a client that repeats one of its ids mixes nothing up."""
        self.numbered += 1
        return str(self.numbered)

    def post(self, event: api.Event) -> None:
        if not self.events:
            self.loop.call_soon(self.step)
        self.events.append(event)

    def step(self) -> None:
        events, self.events = self.events, []
        try:
            actions = self.policy.step(self.now(), events)
        except Exception:  # guards the other requests: each is still answered at its own deadline
            log.exception("policy_fault", events=len(events))
            return
        for action in actions:
            match action:
                case api.SendAttempt(request) | api.RejectRequest(request) | api.FailRequest(request):
                    if call := self.pending.get(request):
                        call.actions.put_nowait(action)
                case api.CancelAttempt(request, attempt):
                    call = self.pending.get(request)
                    out = call.attempt_timer if call and attempt == call.attempts - 1 else None
                    if out and not out.expired():  # its own timer may have fired in this very turn
                        out.reschedule(self.loop.time())
                case api.SetTimer(after, token):
                    if self.policy_timer:
                        self.policy_timer.cancel()
                    self.policy_timer = self.loop.call_at(
                        self.loop.time() + after, self.post, api.TimerFired(token)
                    )
                case api.WatchEndpoints():
                    pass  # the platform's discovery is watched from the start

    async def execute(self, ask: api.RequestArrived, attempt: Attempt[T]) -> Served[T] | Rejected | Failed:
        """The life of a request, from its arrival to its one answer. Cancelled: the client has left."""
        ask.deadline = min(ask.deadline, self.response_deadline)
        call = self.pending[ask.request_id] = PendingRequest(ask.deadline)
        self.post(ask)
        try:
            # A client that waits for less than the margin still hears the policy's word, which comes at once.
            limit = max(ask.deadline - RESPONSE_MARGIN_S - self.clock_offset_s, self.loop.time() + SOONEST)
            async with asyncio.timeout_at(limit) as call.answer_timer:
                while True:
                    match await call.actions.get():
                        case api.SendAttempt(_, node, until):
                            call.until = until
                            ending = await self.attempt(ask, call, node, attempt)
                            if ending.outcome is api.AttemptOutcome.SERVED:
                                return Served(ending.value)
                        case api.RejectRequest(_, wait):
                            return Rejected(wait)
                        case api.FailRequest():
                            return Failed()
        except asyncio.CancelledError:
            self.post(api.ClientCancelled(ask.request_id))
            raise
        except TimeoutError:
            # Guards against a silent policy and a loop that ran late: the client is owed an answer in time.
            log.warning("answer_forced", request=ask.request_id, attempts=call.attempts)
            self.post(api.ClientCancelled(ask.request_id))
            return Failed() if call.may_have_executed else Rejected(self.policy.settings.max_retry_after_s)
        finally:
            del self.pending[ask.request_id]
            while not call.actions.empty():
                # Guards the policy's count of slots: a word to send that came too late is an attempt to it.
                if isinstance(action := call.actions.get_nowait(), api.SendAttempt):
                    self.post_attempt_ended(
                        ask,
                        call.attempts,
                        action.node,
                        AttemptResult(api.AttemptOutcome.NOT_SENT),
                        0.0,
                        settled=True,
                    )

    async def attempt(
        self, ask: api.RequestArrived, call: PendingRequest, node: int, attempt: Attempt[T]
    ) -> AttemptResult[T]:
        """One attempt, until its timer ends it or the policy calls it off by the same timer. Its end is told
        once its connection is free or closed, so that there are never two out.
        """
        number, sent = call.attempts, self.now()
        call.attempts += 1
        before, call.may_have_executed = call.may_have_executed, True
        ending, settled = (
            AttemptResult[T](api.AttemptOutcome.CANCELLED),
            True,
        )  # a client that leaves takes it along
        try:
            async with asyncio.timeout_at(
                call.deadline - ATTEMPT_MARGIN_S - self.clock_offset_s
            ) as call.attempt_timer:
                ending = await attempt(node)
            settled = ending.outcome is api.AttemptOutcome.SERVED
        except TimeoutError:
            settled = False
            late = self.now() >= call.deadline - ATTEMPT_MARGIN_S
            ending = AttemptResult(api.AttemptOutcome.TIMEOUT if late else api.AttemptOutcome.CANCELLED)
        except Exception:
            log.exception("attempt_fault", node=node)
            ending, settled = (
                AttemptResult(api.AttemptOutcome.CONNECTION_RESET),
                False,
            )  # in doubt, it may have run
        finally:
            call.attempt_timer, call.may_have_executed = None, before or ending.outcome not in NEVER_RAN
            self.post_attempt_ended(ask, number, node, ending, self.now() - sent, settled)
        return ending

    def post_attempt_ended(
        self,
        ask: api.RequestArrived,
        number: int,
        node: int,
        ending: AttemptResult[T],
        spent: float,
        settled: bool,
    ) -> None:
        elsewhere = ending.units_elsewhere
        self.post(api.AttemptEnded(ask.request_id, number, node, ending.outcome, spent, settled, elsewhere))

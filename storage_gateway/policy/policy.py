"""The state machine of the policy: dispatches events to the modules that decide, and collects the actions."""

from __future__ import annotations

import math

from storage_gateway import policy_api as api
from storage_gateway.policy.admission import AdmissionControl
from storage_gateway.policy.concurrency import CONTROL_INTERVAL_S, ConcurrencyController
from storage_gateway.policy.membership import Membership
from storage_gateway.policy.node_health import NodeHealth
from storage_gateway.policy.retries import RetryPolicy
from storage_gateway.policy.scheduling import Scheduler
from storage_gateway.policy_state import EndpointWatchDue, Node, PolicyState, RejectReason, Request, Subject
from storage_gateway.policy_state.status import take_status_fields


class Policy:
    """Decides for one gateway instance. It reads no clock: the caller passes the time to each step."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.state = PolicyState(settings)
        self.concurrency = ConcurrencyController(self.state)
        self.health = NodeHealth(self.state)
        self.membership = Membership(self.state, self.health)
        self.retries = RetryPolicy(self.state)
        self.admission = AdmissionControl(self.state, self.health, self.retries)
        self.scheduler = Scheduler(self.state, self.admission, self.retries)
        if settings.must_watch_endpoints:
            self.state.timers.add(-math.inf, EndpointWatchDue())

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process the events that have happened by now and return the resulting actions.

        Args:
            now: the present time in seconds, on the clock of all times in events.
            events: what has happened since the last step, in order.
        """
        state = self.state
        state.begin_step(now)
        if now >= state.last_round_at + CONTROL_INTERVAL_S:
            self.concurrency.run_round()
        for event in events:
            self._handle(event)
        while state.timers.next_at() <= now:
            self._check(state.timers.pop())
        self.scheduler.dispatch()
        for request in state.requests.take_to_review():
            self.admission.review(request)
        if (due_at := state.timers.next_at()) < state.timer_due_at:  # an idle instance sets no timer
            state.timer_due_at = due_at
            state.actions.append(api.SetTimer(due_at - now, 0))
        return state.actions

    def status_fields(self) -> dict[str, object]:
        """Return the policy's fields of the status line, and reset its counters."""
        return take_status_fields(self.state)

    def _handle(self, event: api.Event) -> None:
        requests = self.state.requests.by_id
        match event:
            case api.TimerFired():
                self.state.timer_due_at = math.inf
            case api.EndpointsChanged():
                self.membership.update(event)
            case api.RequestArrived():
                self.admission.reserve(self.state.record_arrived(event))
            case api.AttemptEnded() if event.request_id in requests:
                self._on_attempt_ended(event, requests[event.request_id])
            case api.ClientCancelled(request_id) if request_id in requests:
                self.admission.finish(requests[request_id], None)

    def _check(self, subject: Subject) -> None:
        if isinstance(subject, EndpointWatchDue):
            self.state.actions.append(api.WatchEndpoints())
        elif isinstance(subject, Request) and subject.in_flight:
            self.retries.cancel_overdue(subject)
        else:
            self.state.recheck(subject)

    def _on_attempt_ended(self, event: api.AttemptEnded, request: Request) -> None:
        if event.attempt_number not in request.in_flight:
            return
        attempt = self.state.record_attempt_ended(request, event)
        self.health.update(attempt.node, event, request, attempt.sent_at)
        served = event.outcome is api.AttemptOutcome.SERVED
        if not served and not event.outcome.proves_no_execution:
            self._start_key_cooldown(request)
        if event.request_settled:
            self.admission.finish(request, None, served)
        elif not request.is_over and not request.in_flight:
            self._retry_or_shed(event, request, attempt.node)
        self.state.requests.forget(request)

    def _start_key_cooldown(self, request: Request) -> None:
        cooldown_end = self.state.now + self.settings.safety.key_cooldown_s
        ordered = request.request_class.ordered_by_key
        self.state.requests.key_ready_at[request.ordering_key] = cooldown_end if ordered else 0.0

    def _retry_or_shed(self, event: api.AttemptEnded, request: Request, node: Node) -> None:
        """Queue the request for another attempt, or shed it if none is allowed or it would be late."""
        self.state.requests.enqueue(request)
        non_idempotent = request.request_class.repeatability is api.Repeatability.NON_IDEMPOTENT
        cancelled = event.outcome is api.AttemptOutcome.CANCELLED
        if non_idempotent and request.possible_executions:
            self.admission.shed(request, RejectReason.NON_IDEMPOTENT)
        elif cancelled and not self.admission.meets_objective(request, node):
            self.admission.shed(request, RejectReason.LATE)
        elif request.attempts_sent >= self.settings.max_attempts:
            self.admission.shed(request, RejectReason.MAX_ATTEMPTS)

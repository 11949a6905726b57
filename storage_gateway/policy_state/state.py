"""The record that the parts of the policy share."""

from __future__ import annotations

import math
import random
from collections import Counter

from storage_gateway.policy_api import Action, AttemptEnded, AttemptOutcome, RequestArrived, Settings
from storage_gateway.policy_state.class_estimate import ClassEstimate
from storage_gateway.policy_state.estimators import FAST_GAIN, DemandEstimate, SlidingWindow, clamp
from storage_gateway.policy_state.node import Node
from storage_gateway.policy_state.node_table import NodeTable
from storage_gateway.policy_state.reject_reason import RejectReason
from storage_gateway.policy_state.request import Attempt, Request
from storage_gateway.policy_state.request_table import RequestTable
from storage_gateway.policy_state.timer_queue import TimerQueue
from storage_gateway.policy_state.volume_table import VolumeTable

IDLE_MEMORY_S = 60.0
"""Seconds after which an unused volume or node is forgotten: a reservation has long filled up again."""
MIN_DEMAND_SPAN_S = 1.0
"""Least span of what counts as recent demand."""


class PolicyState:
    """All that one gateway instance remembers. ``Policy`` owns it and hands it to its parts.

    Attributes:
        settings: what the policy was told at its start.
        gateway_count: instances of the deployment, 1 at least.
        now: the time of the present step.
        actions: what the present step has decided so far.
        started_at: the time of the first step; infinite before.
        round_at: when the last control round was.
        nodes: the nodes.
        requests: the requests in hand.
        volumes: the volumes lately used.
        classes: what is known of each class.
        demand: what this instance could send just now.
        accepted: requests that arrived within the window of the retry budget.
        retried: further attempts within that window.
        timers: what is to be checked, and when.
        timer_at: when the timer that the caller holds will fire.
        random: the generator of random numbers.
        counters: what was done and why, since the last status line.
        failures_by_node: attempts that were not served, by node, since the last status line.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.gateway_count = max(1, settings.gateway_count)
        self.now = 0.0
        self.actions: list[Action] = []
        self.started_at = math.inf
        self.round_at = math.inf
        self.nodes = NodeTable(settings)
        self.requests = RequestTable(self.nodes)
        self.volumes = VolumeTable(settings)
        self.classes = [ClassEstimate(one, 1.0 / len(settings.classes)) for one in settings.classes]
        recent_span_s = max(settings.safety.overload_window_s, MIN_DEMAND_SPAN_S)
        self.demand = DemandEstimate(recent_span_s, IDLE_MEMORY_S, settings.mean_request_units or 1.0)
        self.accepted = SlidingWindow(settings.safety.retry_budget_window_s or 0.0)
        self.retried = SlidingWindow(settings.safety.retry_budget_window_s or 0.0)
        self.timers = TimerQueue()
        self.timer_at = math.inf
        self.random = random.Random(settings.seed)
        self.counters: Counter[str] = Counter()
        self.failures_by_node: Counter[int] = Counter()

    def expected_wait(self, node: Node) -> float:
        """Estimate the seconds until an answer to a new object here, by this instance's own backlog."""
        response_time = node.response_time(self.settings.mean_request_units)
        ahead = node.in_flight_count + len(self.requests.queues.get(node.shard, ())) + 1
        return response_time * ahead / node.concurrency_limit

    def begin_step(self, now: float) -> None:
        """Note the time of the step that begins, the first one as the start."""
        self.now = now
        self.actions = []
        if self.started_at == math.inf:
            self.started_at = now
            self.round_at = now

    def check_node_at(self, node: Node, due_at: float) -> None:
        """Have the node choose again then, unless it will at the same time or before."""
        if not self.now < node.next_check_at <= due_at:
            node.next_check_at = due_at
            self.timers.add(due_at, node)

    def check_again(self, subject: Request | Node) -> None:
        """Have the node choose again, or the owner of the request's shard, and review the request."""
        self.nodes.mark_ready(subject.shard)
        if isinstance(subject, Request):
            self.requests.to_review.append(subject)

    def record_arrived(self, event: RequestArrived) -> Request:
        """Make the record of a request that has arrived and queue it."""
        self.counters["arrived"] += 1
        if self.settings.safety.retry_budget_window_s is not None:
            self.accepted.add(self.now)
            self.nodes.mark_all_ready()  # the budget has grown, so that queued retries may go
        request_class = self.settings.classes[event.class_index]
        plan = self.settings.plans[event.plan_index]
        gateway_count = int(clamp(event.gateway_count, 1, self.gateway_count))
        volume = self.volumes.refill(event.volume_id, plan, gateway_count, self.now, self.started_at)
        request = Request.from_arrival(event, request_class, plan, volume, gateway_count, self.now)
        self.requests.add(request)
        return request

    def record_answer(self, event: AttemptEnded, request: Request, node: Node, sent_at: float) -> None:
        """Learn from an answer how long the node, and any node, takes for a unit."""
        gap_s = min(1.0, self.now - node.answered_at)
        node.record_answer(sent_at, request.units, self.now)
        self.nodes.learn_unit_time(event.elapsed_s / request.units)
        gain = max(FAST_GAIN, gap_s / 2)
        max_units = self.settings.max_request_units
        node.learn_times(event.elapsed_s, request.units, self.nodes.unit_time_s, gain, max_units)

    def record_attempt_ended(self, request: Request, event: AttemptEnded) -> Attempt:
        """Free the slot of an attempt that has ended, and take in what its node reports."""
        self.counters[event.outcome.value] += 1
        attempt = request.end_attempt(event.attempt)
        self.nodes.mark_ready(attempt.node.shard)
        if event.outcome is AttemptOutcome.SERVED:
            self.volumes.learn_other_usage(request, attempt.node, event.units_elsewhere, self.now)
        else:
            self.failures_by_node[attempt.node.node_id] += 1
            request.return_reserved_units()
            if not event.outcome.proves_no_execution:
                request.possible_executions.append(attempt)
        return attempt

    def count_rejected(self, request: Request, reason: RejectReason) -> None:
        """Count a request that is shed, by the reason and by whether it was inside its reservation."""
        part = "reserved" if request.is_reserved else "excess"
        self.counters[f"rejected_{reason}_{part}"] += 1

    def count_demand(self, request: Request, since: float) -> None:
        """Add the time that the request was queued or in flight to the demand of its class at its node."""
        owner = self.nodes.owners.get(request.shard)
        if owner and not request.is_over:
            owner.class_demand[request.class_index] += self.now - max(since, request.arrived_at)

    def record_sent(self, request: Request, node: Node, reserved: bool) -> None:
        """Note that an attempt goes to the node now."""
        if not request.slow_start_admitted:  # its demand has not been counted for a warming node
            self.demand.add(request.shard, request.units, reserved, self.now)
        if request.attempts_sent and self.settings.safety.retry_budget_window_s is not None:
            self.retried.add(self.now)
        self.counters["sent_reserved" if reserved else "sent_excess"] += 1
        self.requests.queues[request.shard].remove(request)
        request.begin_attempt(node, self.now)

    def close(self, request: Request, served: bool) -> None:
        """Note that the request is over."""
        self.count_demand(request, self.round_at)
        request.is_over = True
        self.classes[request.class_index].record_finished(self.now - request.arrived_at)
        self.requests.leave_queue(request)
        if not served:
            self.requests.remember_failed_try(request, self.now)

    def end_round(self, began_at: float) -> None:
        """Learn the shards' rates of the control round that ends now, and begin the next with empty sums."""
        self.nodes.learn_shard_rates(self.now - began_at, min(IDLE_MEMORY_S, self.now - self.started_at))
        for estimate in self.classes:
            estimate.begin_round()
        self._forget_unused()

    def _forget_unused(self) -> None:
        """Drop what no longer matters, so that a long life does not fill the memory."""
        objective = max(request_class.latency_objective_s for request_class in self.settings.classes)
        oldest = self.now - objective - 1
        unused_since = self.now - IDLE_MEMORY_S
        self.nodes.forget_unused(unused_since, self.volumes.by_id)
        self.volumes.forget_unused(unused_since, oldest)
        self.requests.forget_unused(self.now, oldest)
        self.demand.forget_unused(self.now)

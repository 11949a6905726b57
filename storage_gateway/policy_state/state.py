"""The state that the modules of the policy share."""

from __future__ import annotations

import math
import random
from collections import Counter

from storage_gateway.policy_api import Action, AttemptEnded, AttemptOutcome, RequestArrived, Settings
from storage_gateway.policy_state.class_estimate import ClassEstimate
from storage_gateway.policy_state.estimators import RESPONSE_GAIN, DemandEstimate, SlidingWindow, clamp
from storage_gateway.policy_state.node import Node
from storage_gateway.policy_state.node_table import NodeTable
from storage_gateway.policy_state.reject_reason import RejectReason
from storage_gateway.policy_state.request import Attempt, Request
from storage_gateway.policy_state.request_table import RequestTable
from storage_gateway.policy_state.timer_queue import TimerQueue
from storage_gateway.policy_state.volume_table import VolumeTable

IDLE_MEMORY_S = 60.0
"""Seconds after which an unused volume or node is forgotten; a reservation is full again long before."""
EXCESS_MEMORY_S = 2.0
"""Seconds after which a volume's unused excess tokens are forgotten once there are too many."""
MIN_DEMAND_SPAN_S = 1.0
"""Least time span over which recent demand is averaged."""


class PolicyState:
    """The state of the policy of one gateway instance; ``Policy`` owns it and shares it with its modules.

    Attributes:
        settings: settings of the policy.
        gateway_count: number of gateway instances of the deployment, at least 1.
        now: time of the present step.
        actions: actions of the present step so far.
        started_at: time of the first step; infinite before it.
        last_round_at: time of the last control round, at first of the first step; infinite before it.
        nodes: nodes that the endpoint list has named.
        requests: open requests and recently failed ones.
        volumes: recently used volumes.
        classes: measurements and bounds of each class, by class index.
        demand: estimate of the present demand for each shard.
        accepted: arrivals of requests within the window of the retry budget.
        retried: attempts after the first of a request, within the same window.
        timers: requests, nodes and the endpoint watch to check at a later time.
        timer_due_at: when the timer set by the last ``SetTimer`` fires; infinite for none.
        random: random number generator with the seed of the settings.
        counters: counts of arrivals, attempts, outcomes and rejections since the last status line.
        failures_by_node: number of attempts that were not served, by node id, since the last status line.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.gateway_count = max(1, settings.gateway_count)
        self.now = 0.0
        self.actions: list[Action] = []
        self.started_at = math.inf
        self.last_round_at = math.inf
        self.nodes = NodeTable(settings)
        self.requests = RequestTable(self.nodes)
        self.volumes = VolumeTable(settings)
        self.classes = [
            ClassEstimate(request_class, 1.0 / len(settings.classes)) for request_class in settings.classes
        ]
        recent_span_s = max(settings.safety.overload_window_s, MIN_DEMAND_SPAN_S)
        self.demand = DemandEstimate(recent_span_s, IDLE_MEMORY_S, settings.mean_request_units or 1.0)
        self.accepted = SlidingWindow(settings.safety.retry_budget_window_s or 0.0)
        self.retried = SlidingWindow(settings.safety.retry_budget_window_s or 0.0)
        self.timers = TimerQueue()
        self.timer_due_at = math.inf
        self.random = random.Random(settings.seed)
        self.counters: Counter[str] = Counter()
        self.failures_by_node: Counter[int] = Counter()

    def expected_wait(self, node: Node) -> float:
        """Estimate the seconds until another request would get its response, by this instance's backlog."""
        response_time = node.response_time(self.settings.mean_request_units)
        ahead = node.in_flight_count + len(self.requests.queues.get(node.shard, ())) + 1
        return response_time * ahead / node.concurrency_limit

    def begin_step(self, now: float) -> None:
        """Begin a step at this time, with no actions."""
        self.now = now
        self.actions = []
        if self.started_at == math.inf:
            self.started_at = now
            self.last_round_at = now

    def check_node_at(self, node: Node, due_at: float) -> None:
        """Have the node choose again at this time, unless a timer is due for it by then."""
        if not self.now < node.next_check_at <= due_at:
            node.next_check_at = due_at
            self.timers.add(due_at, node)

    def recheck(self, subject: Request | Node) -> None:
        """Have the node, or the owner of the request's shard, choose again, and review the request."""
        self.nodes.mark_ready(subject.shard)
        if isinstance(subject, Request):
            self.requests.to_review.append(subject)

    def record_arrived(self, event: RequestArrived) -> Request:
        """Create the record of a request that arrives now, and queue it."""
        self.counters["arrived"] += 1
        if self.settings.safety.retry_budget_window_s is not None:
            self.accepted.add(self.now)
            self.nodes.mark_all_ready()  # the retry budget has grown and may admit queued retries
        request_class = self.settings.classes[event.class_index]
        plan = self.settings.plans[event.plan_index]
        gateway_count = int(clamp(event.gateway_count, 1, self.gateway_count))
        volume = self.volumes.refill(event.volume_id, plan, gateway_count, self.now, self.started_at)
        volume.open_requests += 1
        request = Request.from_arrival(event, request_class, plan, volume, gateway_count, self.now)
        self.requests.add(request)
        return request

    def record_served(self, event: AttemptEnded, request: Request, node: Node, sent_at: float) -> None:
        """Update the times of the node and the mean over all nodes by the response of a served attempt."""
        since_last_s = min(1.0, self.now - node.last_served_at)
        node.record_served(sent_at, request.units, self.now)
        self.nodes.update_unit_time(event.elapsed_s / request.units)
        gain = max(RESPONSE_GAIN, since_last_s / 2)
        max_units = self.settings.max_request_units
        node.update_times(event.elapsed_s, request.units, self.nodes.unit_time_s, gain, max_units)

    def record_attempt_ended(self, request: Request, event: AttemptEnded) -> Attempt:
        """Free the slot of an attempt that has ended, and record its outcome and what its node reports."""
        self.counters[event.outcome.value] += 1
        attempt = request.end_attempt(event.attempt_number)
        self.nodes.mark_ready(attempt.node.shard)
        if event.outcome is AttemptOutcome.SERVED:
            self.volumes.update_other_usage(request, attempt.node, event.units_elsewhere, self.now)
        else:
            self.failures_by_node[attempt.node.node_id] += 1
            request.return_reserved_units()
            if not event.outcome.proves_no_execution:
                request.possible_executions.append(attempt)
        return attempt

    def count_rejected(self, request: Request, reason: RejectReason) -> None:
        """Count a request that is shed, by the reason and by whether it is within its reservation."""
        part = "reserved" if request.is_reserved else "excess"
        self.counters[f"rejected_{reason}_{part}"] += 1

    def count_demand(self, request: Request, since: float) -> None:
        """Add the seconds since arrival, or ``since`` if later, to the demand of the class at its node."""
        owner = self.nodes.owners.get(request.shard)
        if owner and not request.is_over:
            owner.class_demand[request.class_index] += self.now - max(since, request.arrived_at)

    def record_sent(self, request: Request, node: Node, reserved: bool) -> None:
        """Record an attempt that is sent to the node now."""
        if not request.slow_start_admitted:  # otherwise the slow start has counted its demand
            self.demand.add(request.shard, request.units, reserved, self.now)
        if request.attempts_sent and self.settings.safety.retry_budget_window_s is not None:
            self.retried.add(self.now)
        self.counters["sent_reserved" if reserved else "sent_excess"] += 1
        self.requests.queues[request.shard].remove(request)
        request.begin_attempt(node, self.now)

    def close(self, request: Request, served: bool) -> None:
        """Record the end of a request."""
        self.count_demand(request, self.last_round_at)
        request.is_over = True
        request.volume.open_requests -= 1
        self.classes[request.class_index].record_finished(self.now - request.arrived_at)
        self.requests.dequeue(request)
        if not served:
            self.requests.remember_failed_request(request, self.now)

    def end_round(self, round_started_at: float) -> None:
        """End the control round: update the rates of the shards, reset the sums, and drop unused records."""
        self.nodes.update_shard_rates(
            self.now - round_started_at, min(IDLE_MEMORY_S, self.now - self.started_at)
        )
        for estimate in self.classes:
            estimate.begin_round()
        self._forget_unused()

    def _forget_unused(self) -> None:
        """Drop records that are no longer needed, so that memory use stays bounded."""
        longest_objective_s = max(
            request_class.latency_objective_s for request_class in self.settings.classes
        )
        oldest = self.now - longest_objective_s - 1
        unused_since = self.now - IDLE_MEMORY_S
        self.nodes.forget_unused(unused_since, self.volumes.by_id)
        if self.settings.max_records:
            self._limit_records(self.settings.max_records)
        self.volumes.forget_unused(unused_since, oldest)
        self.requests.forget_unused(self.now, oldest)
        self.demand.forget_unused(self.now)

    def _limit_records(self, max_records: int) -> None:
        """Drop records that clients can name as fast as they send; the table of volumes limits itself."""
        self.nodes.limit_excess_tokens(max_records, self.now - EXCESS_MEMORY_S)
        self.requests.limit_failed_requests(max_records)
        self.timers.limit_size(max_records)

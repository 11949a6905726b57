"""Node health: what the result of an attempt says of its node."""

from __future__ import annotations

from storage_gateway.policy_api import AttemptEnded, AttemptOutcome
from storage_gateway.policy_state import FAST_GAIN, Node, PolicyState, Request, clamp

MAX_NODE_LIMIT = 8.0  # most slots at a node: the design's default for the cap of an instance
QUEUEING_SHARE = 0.125  # of the tightest objective, to wait at a node; the rest is for service and our queue
MAX_HEADROOM = 64.0  # times its start that a node's excess rate may reach: more than any volume needs


class NodeHealth:
    """Adapts each node's concurrency limit, excess rate and backoff to its answers and failures."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        objectives = [request_class.latency_objective_s for request_class in state.settings.classes]
        self.queueing_objective_s = QUEUEING_SHARE * min(objectives)

    def excess_rate(self, node: Node) -> float:
        """Return a node's excess rate, by what others' answers said where it was silent for long.

        Guards large fleets: each instance hears of each node too seldom to learn from it alone.
        """
        nodes = self.state.nodes
        missed = nodes.headroom / node.headroom_seen if self.state.now - node.answered_at > 1 else 1.0
        least = min(node.excess_rate, nodes.min_excess_rate)
        return clamp(node.excess_rate * missed, least, nodes.min_excess_rate * MAX_HEADROOM)

    def update(self, node: Node, event: AttemptEnded, request: Request, sent_at: float) -> None:
        """Take in an attempt's result; one that a later one has overtaken lost its answer: no failure."""
        rejected = event.outcome in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)
        too_long = event.elapsed_s >= request.request_class.latency_objective_s
        if event.outcome is AttemptOutcome.SERVED:
            self._on_success(node, event, request, sent_at)
        elif rejected or (too_long and node.newest_answered <= sent_at):
            self._on_failure(node, event, request)

    def _on_success(self, node: Node, event: AttemptEnded, request: Request, sent_at: float) -> None:
        node.excess_rate = self.excess_rate(node)
        gap_s = min(1.0, self.state.now - node.answered_at)
        self.state.record_answer(event, request, node, sent_at)
        if node.queueing_delay_s < self.queueing_objective_s or node.concurrency_limit <= 1:
            self._adapt_excess_rate(node, gap_s)
        node.headroom_seen = self.state.nodes.headroom
        if node.queueing_delay_s > self.queueing_objective_s:
            node.concurrency_limit = max(1.0, node.concurrency_limit - 0.5 / node.concurrency_limit)
        elif node.in_flight_count + 1 >= int(node.concurrency_limit):
            node.concurrency_limit = min(MAX_NODE_LIMIT, node.concurrency_limit + 1 / node.concurrency_limit)

    def _adapt_excess_rate(self, node: Node, gap_s: float) -> None:
        """Move the node's rate, and the headroom of all, by how far its queue is from the objective."""
        nodes = self.state.nodes
        least = nodes.min_excess_rate
        change = clamp(self.queueing_objective_s / max(node.queueing_delay_s, 1e-9), 0.1, 10.0)
        node.excess_rate = clamp(node.excess_rate * change**gap_s, least, least * MAX_HEADROOM)
        since_s = clamp(self.state.now - nodes.headroom_at, 0.0, 1.0)
        nodes.headroom = clamp(nodes.headroom * change**since_s, 1.0, MAX_HEADROOM)
        nodes.headroom_at = self.state.now

    def _on_failure(self, node: Node, event: AttemptEnded, request: Request) -> None:
        node.concurrency_limit = max(1.0, node.concurrency_limit / 2)
        node.failures_in_row += 1
        if node.failures_in_row > 1:  # not a lost answer but a slow or silent node
            delay_s = max(node.queueing_delay_s, event.elapsed_s - node.unit_time_s * request.units)
            gain = min(1.0, FAST_GAIN * node.failures_in_row)
            node.queueing_delay_s += gain * (delay_s - node.queueing_delay_s)
        if event.outcome.proves_no_execution:
            # Guards the few attempts: dead nodes still listed, full queues. Harms after chance rejections.
            factor = min(2**node.failures_in_row, 1 / QUEUEING_SHARE)
            node.backoff_until = self.state.now + self.queueing_objective_s * factor

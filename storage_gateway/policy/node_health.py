"""Node health: adapts what a node is sent to the outcomes of its attempts."""

from __future__ import annotations

from storage_gateway.policy_api import AttemptEnded, AttemptOutcome
from storage_gateway.policy_state import RESPONSE_GAIN, Node, PolicyState, Request, clamp

MAX_CONCURRENCY_LIMIT = 8.0  # slots at a node; the design's default for the limit of an instance
# Share of the shortest latency objective to queue at a node; the rest is for service and the gateway's queue.
QUEUEING_OBJECTIVE_SHARE = 0.125
MAX_HEADROOM = 64.0  # multiple of its initial value that an excess rate may reach; more than a volume needs


class NodeHealth:
    """Adapts each node's concurrency limit, excess rate and backoff to its responses and failures."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        objectives = [request_class.latency_objective_s for request_class in state.settings.classes]
        self.queueing_objective_s = QUEUEING_OBJECTIVE_SHARE * min(objectives)

    def excess_rate(self, node: Node) -> float:
        """Return the node's excess rate; after a second without a response, follow the headroom of all nodes.

        In a large fleet, an instance gets too few responses from one node to adapt its rate to them alone.
        """
        nodes = self.state.nodes
        correction = (
            nodes.headroom / node.headroom_at_update if self.state.now - node.last_served_at > 1 else 1.0
        )
        minimum = min(node.excess_rate, nodes.min_excess_rate)
        return clamp(node.excess_rate * correction, minimum, nodes.min_excess_rate * MAX_HEADROOM)

    def update(self, node: Node, event: AttemptEnded, request: Request, sent_at: float) -> None:
        """Update the node by the outcome of an attempt.

        Only a rejection, a failed connection or an attempt past the latency objective is a failure of the
        node. An overdue attempt is not one if an attempt sent later has been served: its response is lost.
        """
        rejected = event.outcome in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)
        overdue = event.elapsed_s >= request.request_class.latency_objective_s
        if event.outcome is AttemptOutcome.SERVED:
            self._on_success(node, event, request, sent_at)
        elif rejected or (overdue and node.newest_served_sent_at <= sent_at):
            self._on_failure(node, event, request)

    def _on_success(self, node: Node, event: AttemptEnded, request: Request, sent_at: float) -> None:
        node.excess_rate = self.excess_rate(node)
        since_last_s = min(1.0, self.state.now - node.last_served_at)
        self.state.record_served(event, request, node, sent_at)
        if node.queueing_delay_s < self.queueing_objective_s or node.concurrency_limit <= 1:
            self._adapt_excess_rate(node, since_last_s)
        node.headroom_at_update = self.state.nodes.headroom
        if node.queueing_delay_s > self.queueing_objective_s:
            node.concurrency_limit = max(1.0, node.concurrency_limit - 0.5 / node.concurrency_limit)
        elif node.in_flight_count + 1 >= int(node.concurrency_limit):
            node.concurrency_limit = min(
                MAX_CONCURRENCY_LIMIT, node.concurrency_limit + 1 / node.concurrency_limit
            )

    def _adapt_excess_rate(self, node: Node, since_last_s: float) -> None:
        """Scale the node's excess rate and the common headroom by the ratio of queueing objective to delay.

        Args:
            node: the node that has responded.
            since_last_s: seconds since its previous response, at most 1; the change is per second.
        """
        nodes = self.state.nodes
        minimum = nodes.min_excess_rate
        change = clamp(self.queueing_objective_s / max(node.queueing_delay_s, 1e-9), 0.1, 10.0)
        node.excess_rate = clamp(node.excess_rate * change**since_last_s, minimum, minimum * MAX_HEADROOM)
        headroom_age_s = clamp(self.state.now - nodes.headroom_updated_at, 0.0, 1.0)
        nodes.headroom = clamp(nodes.headroom * change**headroom_age_s, 1.0, MAX_HEADROOM)
        nodes.headroom_updated_at = self.state.now

    def _on_failure(self, node: Node, event: AttemptEnded, request: Request) -> None:
        node.concurrency_limit = max(1.0, node.concurrency_limit / 2)
        node.consecutive_failures += 1
        if node.consecutive_failures > 1:  # one may be a lost response, more are a slow or silent node
            delay_s = max(node.queueing_delay_s, event.elapsed_s - node.unit_time_s * request.units)
            gain = min(1.0, RESPONSE_GAIN * node.consecutive_failures)
            node.queueing_delay_s += gain * (delay_s - node.queueing_delay_s)
        if event.outcome.proves_no_execution:
            # Keeps a request from spending its few attempts on dead nodes that are still listed or on full
            # queues. The cost: a node is also avoided after a chance rejection.
            factor = min(2**node.consecutive_failures, 1 / QUEUEING_OBJECTIVE_SHARE)
            node.backoff_until = self.state.now + self.queueing_objective_s * factor

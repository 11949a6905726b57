"""Membership: which nodes serve, and which of them owns each shard."""

from __future__ import annotations

from collections.abc import Iterable

from storage_gateway import policy_api as api
from storage_gateway.policy.concurrency import CONTROL_INTERVAL_S
from storage_gateway.policy.node_health import MAX_CONCURRENCY_LIMIT, NodeHealth
from storage_gateway.policy_state import EndpointWatchDue, Node, PolicyState

WATCH_RETRY_SHARE = 0.25  # of the interval between two calls to discovery, after a call that failed


class Membership:
    """Applies the updates of the endpoint list to the records of the nodes.

    A change is applied without work for the nodes that it does not name: in a large fleet, each of a great
    number of changes would otherwise delay all requests.
    """

    def __init__(self, state: PolicyState, health: NodeHealth) -> None:
        self.state = state
        self.health = health

    def update(self, event: api.EndpointsChanged) -> None:
        """Apply an update, and have all owners of shards choose among the queued requests."""
        if event.kind is api.EndpointUpdateKind.UNAVAILABLE:
            self._request_watch_later()
            return
        nodes = self.state.nodes
        is_delta = event.kind is api.EndpointUpdateKind.DELTA
        if not is_delta:
            nodes.stop_serving()
        limit = max(1.0, MAX_CONCURRENCY_LIMIT / self.state.gateway_count)
        delay_s = self.health.queueing_objective_s / 2
        changed = [nodes.update(entry, limit, delay_s, self.state.now) for entry in event.entries]
        shards = dict.fromkeys(node.shard for node in changed) if is_delta else list(nodes.by_shard)
        for shard in shards:
            nodes.set_owner(shard, choose_owner(nodes.by_shard[shard].values()))
        nodes.reset_ready()

    def _request_watch_later(self) -> None:
        interval_s = self.state.settings.safety.endpoint_poll_interval_s or CONTROL_INTERVAL_S
        self.state.timers.add(self.state.now + interval_s * WATCH_RETRY_SHARE, EndpointWatchDue())


def choose_owner(nodes: Iterable[Node]) -> Node | None:
    """Return the serving node that started last, among equals the one listed last; None if none serves."""
    owner = None
    for node in nodes:
        if node.serving and (owner is None or node.started_at >= owner.started_at):
            owner = node
    return owner

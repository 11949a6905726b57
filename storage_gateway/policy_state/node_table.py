"""The nodes of the endpoint list, and estimates from the responses of all of them."""

from __future__ import annotations

import math
from collections.abc import Container

from storage_gateway.policy_api import NO_SHARD, EndpointEntry, EndpointState, Settings
from storage_gateway.policy_state.estimators import low_biased_mean
from storage_gateway.policy_state.node import Node

MIN_RATE_SPAN_S = 0.04
"""Least time span over which the rate of a shard is averaged."""


class NodeTable:
    """Nodes by id and by shard; ``PolicyState`` owns it.

    Attributes:
        by_id: all known nodes, by id.
        owners: the serving node that owns each shard, by shard.
        ready: nodes that have to choose in the next dispatch, by id.
        shard_rates: mean units a second that this instance has had served, by shard.
        unit_time_s: mean seconds of service for a unit at any node, assumed for a new node; 0 until a node
            has served an attempt.
        min_excess_rate: initial and least excess rate of a node, in units a second.
        headroom: factor of the excess rates that follows the responses of all nodes; 1 at least.
        headroom_updated_at: when the headroom was last updated; infinite before.
    """

    def __init__(self, settings: Settings) -> None:
        self._classes = len(settings.classes)
        self.by_id: dict[int, Node] = {}
        self.owners: dict[int, Node] = {}
        self.ready: dict[int, Node] = {}
        self.shard_rates: dict[int, float] = {}
        self.unit_time_s = 0.0
        mean_weight = sum(plan.excess_weight for plan in settings.plans) / self._classes or 1.0
        self.min_excess_rate = sum(plan.expected_rate for plan in settings.plans) / mean_weight or 1.0
        self.headroom = 1.0
        self.headroom_updated_at = math.inf

    def update(
        self, entry: EndpointEntry, concurrency_limit: float, queueing_delay_s: float, now: float
    ) -> None:
        """Apply an entry of the endpoint list; the limit and the delay are initial values of a new node."""
        node = self.by_id.get(entry.id)
        if node is None:
            node = Node.from_entry(
                entry, self._classes, concurrency_limit, queueing_delay_s, self.min_excess_rate
            )
            self.by_id[entry.id] = node
        node.serving = entry.state is EndpointState.SERVING
        if entry.started_at > node.started_at:
            node.restart(entry.started_at, now)

    def stop_serving(self) -> None:
        """Mark all nodes as not serving, before a complete list is applied that marks those it names."""
        for node in self.by_id.values():
            node.serving = False

    def reset_ready(self) -> None:
        """Mark exactly the owners of shards as ready."""
        self.ready = {node.node_id: node for node in self.owners.values()}

    def mark_ready(self, shard: int) -> None:
        """Mark the owner of this shard as ready; for ``NO_SHARD``, the owners of all shards."""
        if shard == NO_SHARD:
            self.mark_all_ready()
        elif node := self.owners.get(shard):
            self.ready[node.node_id] = node

    def mark_all_ready(self) -> None:
        """Mark the owners of all shards as ready."""
        self.ready.update({node.node_id: node for node in self.owners.values()})

    def take_ready(self) -> list[Node]:
        """Return the ready nodes in the order in which they were marked, and unmark them."""
        ready = list(self.ready.values())
        self.ready = {}
        return ready

    def update_unit_time(self, unit_time_s: float) -> None:
        """Update the mean service time by the seconds for each unit of a response of any node."""
        self.unit_time_s = low_biased_mean(self.unit_time_s or unit_time_s, unit_time_s)

    def usual_rate(self, shard: int, gateway_count: int) -> float:
        """Estimate this instance's share of what a warm node of this shard serves, in units a second.

        The usual rates of all instances add up to that of the node. It is at least an equal share of what one
        core serves, which also holds for a shard without a measured rate.
        """
        equal_share = 1 / self.unit_time_s / gateway_count if self.unit_time_s else 0.0
        return max(self.shard_rates.get(shard, 0.0), equal_share)

    def update_shard_rates(self, round_s: float, span_s: float) -> None:
        """Add the units served in a control round of ``round_s`` seconds to means over ``span_s`` seconds."""
        span_s = max(round_s, span_s, MIN_RATE_SPAN_S)
        for node in self.owners.values():
            decayed_rate = self.shard_rates.get(node.shard, 0.0) * (1 - round_s / span_s)
            self.shard_rates[node.shard] = decayed_rate + node.served_units / span_s
            node.served_units = 0.0

    def forget_unused(self, unused_since: float, volume_ids: Container[int]) -> None:
        """Drop tokens of forgotten volumes, and nodes that do not serve and are unused since."""
        for node in self.owners.values():
            node.excess_tokens = {
                volume_id: tokens
                for volume_id, tokens in node.excess_tokens.items()
                if volume_id in volume_ids
            }
        self.by_id = {
            node_id: node
            for node_id, node in self.by_id.items()
            if node.serving or node.last_served_at > unused_since
        }

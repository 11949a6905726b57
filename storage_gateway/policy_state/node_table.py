"""The nodes that the endpoint list has named, and what all of their answers say together."""

from __future__ import annotations

import math
from collections.abc import Container

from storage_gateway.policy_api import NO_SHARD, EndpointEntry, EndpointState, Settings
from storage_gateway.policy_state.estimators import low_biased_mean
from storage_gateway.policy_state.node import Node

MIN_RATE_SPAN_S = 0.04
"""Least span over which the rate of a shard is averaged."""


class NodeTable:
    """Nodes by id and by shard; ``PolicyState`` owns it.

    Attributes:
        by_id: all nodes known.
        owners: the serving node that owns a shard, by shard.
        ready: nodes that may have something new to choose, by id.
        shard_rates: mean units a second that this instance had served, by shard.
        unit_time_s: mean time of service for a unit at any node; what a new node is taken to need.
        min_excess_rate: what a node's excess rate starts with, and its least.
        headroom: factor of the excess rate by the answers of all nodes.
        headroom_at: when the last of these came.
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
        self.headroom_at = math.inf

    def update(
        self, entry: EndpointEntry, concurrency_limit: float, queueing_delay_s: float, now: float
    ) -> None:
        """Take in what the endpoint list says of a node; the limit and the delay are those of a new one."""
        node = self.by_id.get(entry.node)
        if node is None:
            node = Node.from_entry(
                entry, self._classes, concurrency_limit, queueing_delay_s, self.min_excess_rate
            )
            self.by_id[entry.node] = node
        node.serving = entry.state is EndpointState.SERVING
        if entry.started_at > node.started_at:
            node.restart(entry.started_at, now)

    def stop_serving(self) -> None:
        """Take in that a new whole list is about to be read: a node that it does not name has gone."""
        for node in self.by_id.values():
            node.serving = False

    def reset_ready(self) -> None:
        """Have every owner choose anew, and no other node."""
        self.ready = {node.node_id: node for node in self.owners.values()}

    def mark_ready(self, shard: int) -> None:
        """Note that the owner of this shard (of any, for a new object) may have something new to choose."""
        if shard == NO_SHARD:
            self.mark_all_ready()
        elif node := self.owners.get(shard):
            self.ready[node.node_id] = node

    def mark_all_ready(self) -> None:
        """Note that every owner may have something new to choose."""
        self.ready.update({node.node_id: node for node in self.owners.values()})

    def take_ready(self) -> list[Node]:
        """Return the nodes that are ready, in the order in which they were marked; none is marked then."""
        ready = list(self.ready.values())
        self.ready = {}
        return ready

    def learn_unit_time(self, unit_time_s: float) -> None:
        """Take in the time of an answer by its units, at any node."""
        self.unit_time_s = low_biased_mean(self.unit_time_s or unit_time_s, unit_time_s)

    def usual_rate(self, shard: int, gateway_count: int) -> float:
        """Estimate this instance's part of what a node of this shard serves, in units a second.

        The usual rates of all instances add up to that of a warm node; without one, it is an even part of
        what a core serves.
        """
        even = 1 / self.unit_time_s / gateway_count if self.unit_time_s else 0.0
        return max(self.shard_rates.get(shard, 0.0), even)

    def learn_shard_rates(self, round_s: float, span_s: float) -> None:
        """Take in the units served in a control round, averaged over ``span_s`` seconds."""
        span_s = max(round_s, span_s, MIN_RATE_SPAN_S)
        for node in self.owners.values():
            kept = self.shard_rates.get(node.shard, 0.0) * (1 - round_s / span_s)
            self.shard_rates[node.shard] = kept + node.served_units / span_s
            node.served_units = 0.0

    def forget_unused(self, unused_since: float, volume_ids: Container[int]) -> None:
        """Drop nodes that neither serve nor have answered since, and excess rates of other volumes."""
        for node in self.owners.values():
            node.excess_tokens = {
                volume_id: tokens
                for volume_id, tokens in node.excess_tokens.items()
                if volume_id in volume_ids
            }
        self.by_id = {
            node_id: node
            for node_id, node in self.by_id.items()
            if node.serving or node.answered_at > unused_since
        }

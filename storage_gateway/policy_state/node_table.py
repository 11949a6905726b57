"""The nodes of the endpoint list, and estimates from the responses of all of them."""

from __future__ import annotations

import math
from collections.abc import Container, Mapping, Sequence
from itertools import count

from storage_gateway.policy_api import NO_SHARD, EndpointEntry, EndpointState, Settings
from storage_gateway.policy_state.estimators import low_biased_mean
from storage_gateway.policy_state.node import Node

MIN_RATE_SPAN_S = 0.04
"""Least time span over which the rate of a shard is averaged."""


class NodeTable:
    """Nodes by id and by shard; ``PolicyState`` owns it.

    Attributes:
        by_id: all known nodes, by id, in the order in which they were first listed.
        by_shard: the same nodes by shard and id, each shard's in the same order.
        owners: the serving node that owns each shard, by shard, in no order; ``ordered_owners`` has one.
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
        self.by_shard: dict[int, dict[int, Node]] = {}
        self.owners: dict[int, Node] = {}
        self._listing_numbers = count(1)
        self._ordered_owners: list[Node] | None = []  # None: to be sorted
        self._ready: dict[int, Node] = {}  # marked one by one, by id
        self._all_ready = False  # whether all other owners follow those of ``_ready``
        self.shard_rates: dict[int, float] = {}
        self.unit_time_s = 0.0
        mean_weight = sum(plan.excess_weight for plan in settings.plans) / self._classes or 1.0
        self.min_excess_rate = sum(plan.expected_rate for plan in settings.plans) / mean_weight or 1.0
        self.headroom = 1.0
        self.headroom_updated_at = math.inf

    def update(
        self, entry: EndpointEntry, concurrency_limit: float, queueing_delay_s: float, now: float
    ) -> Node:
        """Apply an entry of the endpoint list, and return the record of its node.

        The limit and the delay are initial values of a new node. The owner of its shard stays as it was.
        """
        node = self.by_id.get(entry.id)
        if node is None:
            node = Node.from_entry(
                entry, self._classes, concurrency_limit, queueing_delay_s, self.min_excess_rate
            )
            node.listing_number = next(self._listing_numbers)
            self.by_id[entry.id] = node
            self.by_shard.setdefault(node.shard, {})[entry.id] = node
        node.serving = entry.state is EndpointState.SERVING
        if entry.started_at > node.started_at:
            node.restart(entry.started_at, now)
        return node

    def stop_serving(self) -> None:
        """Mark all nodes as not serving, before a complete list is applied that marks those it names."""
        for node in self.by_id.values():
            node.serving = False

    def set_owner(self, shard: int, owner: Node | None) -> None:
        """Set the serving node that owns the shard; None for none."""
        if owner is None:
            self.owners.pop(shard, None)
        else:
            self.owners[shard] = owner
        self._ordered_owners = None

    def ordered_owners(self) -> list[Node]:
        """Return the owners of all shards, in the order in which the serving nodes were first listed."""
        if self._ordered_owners is None:
            self._ordered_owners = sorted(self.owners.values(), key=self._listing_number_of_shard)
        return self._ordered_owners

    def reset_ready(self) -> None:
        """Mark exactly the owners of shards as ready."""
        self._ready = {}
        self._all_ready = True

    def mark_ready(self, shard: int) -> None:
        """Mark the owner of this shard as ready; for ``NO_SHARD``, the owners of all shards."""
        if shard == NO_SHARD:
            self.mark_all_ready()
        elif not self._all_ready and (node := self.owners.get(shard)):
            self._ready[node.node_id] = node

    def mark_all_ready(self) -> None:
        """Mark the owners of all shards as ready."""
        self._all_ready = True

    def take_ready(self, queues: Mapping[int, Sequence[object]]) -> list[Node]:
        """Return the ready nodes that have requests to choose from, in the order marked; unmark all nodes.

        Args:
            queues: the queued requests by shard; those of ``NO_SHARD`` may go to any node.
        """
        ready = self._ready
        if self._all_ready:
            ready = ready | {node.node_id: node for node in self._owners_with_requests(queues)}
        self._ready = {}
        self._all_ready = False
        any_node = bool(queues.get(NO_SHARD))
        return [node for node in ready.values() if any_node or queues.get(node.shard)]

    def _owners_with_requests(self, queues: Mapping[int, Sequence[object]]) -> list[Node]:
        """Return the owners that have requests to choose from, in the order of ``ordered_owners``."""
        if queues.get(NO_SHARD):
            return self.ordered_owners()
        owners = [self.owners[shard] for shard, queue in queues.items() if queue and shard in self.owners]
        return sorted(owners, key=self._listing_number_of_shard)

    def _listing_number_of_shard(self, owner: Node) -> int:
        """Return the listing number of the first serving node of the owner's shard."""
        return next(node.listing_number for node in self.by_shard[owner.shard].values() if node.serving)

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

    def limit_excess_tokens(self, max_buckets: int, unused_since: float) -> None:
        """Drop the unused excess tokens of volumes if all nodes have more than so many.

        The bucket of a volume that comes again is full, as one that was unused for long mostly is.
        """
        if sum(len(node.excess_tokens) for node in self.owners.values()) <= max_buckets:
            return
        for node in self.owners.values():
            node.excess_tokens = {
                volume_id: bucket
                for volume_id, bucket in node.excess_tokens.items()
                if bucket.refilled_at > unused_since
            }

    def forget_unused(self, unused_since: float, volume_ids: Container[int]) -> None:
        """Drop tokens of forgotten volumes, and nodes that do not serve and are unused since."""
        for node in self.owners.values():
            if node.excess_tokens:
                node.excess_tokens = {
                    volume_id: tokens
                    for volume_id, tokens in node.excess_tokens.items()
                    if volume_id in volume_ids
                }
        unused_nodes = [
            node for node in self.by_id.values() if not node.serving and node.last_served_at <= unused_since
        ]
        for node in unused_nodes:
            del self.by_id[node.node_id]
            del self.by_shard[node.shard][node.node_id]
            if not self.by_shard[node.shard]:
                del self.by_shard[node.shard]

"""Slow start: this instance's share of the load that all gateway instances may send to a warming node."""

from __future__ import annotations

from storage_gateway.policy_state import Node, PolicyState, Request, clamp

# Share of what a warming node withstands: unit times come from short responses and overstate its capacity.
SAFE_LOAD_SHARE = 0.75
MIN_SAMPLE_REQUESTS = 16.0  # recent requests from which on an instance can rely on its usual rate


class SlowStart:
    """Admits each request to a warming node at random.

    The probability keeps the load of all instances within what the node withstands. With a fixed equal share,
    many instances could each save up tokens and send them in the same burst.
    """

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.safety = state.settings.safety

    def admits(self, request: Request, node: Node) -> bool:
        """Return whether the request may go to the node.

        The decision is drawn at random once per request and incarnation.
        """
        age_s = self.state.now - node.started_at
        if node.started_at <= 0 or age_s >= self.safety.slow_start_window_s:
            return True
        if node.incarnation not in request.slow_start_admitted:
            probability = self._admission_probability(request, node, age_s)
            node.slow_start_tokens.level -= probability * request.units
            request.slow_start_admitted[node.incarnation] = self.state.random.random() < probability
            if not request.slow_start_admitted[node.incarnation]:
                self.state.requests.to_review.append(request)  # the draw is final, so waiting is useless
        return request.slow_start_admitted[node.incarnation]

    def _admission_probability(self, request: Request, node: Node, age_s: float) -> float:
        """Return the share of requests like this one to admit; reserved requests have priority."""
        demand = self.state.demand
        now = self.state.now
        reserved = request.is_reserved
        demand.add(request.shard, request.units, reserved, now)
        rate = self._permitted_rate(node, age_s)
        shard_demand = demand.at(request.shard, request.units, now)
        same_priority_rate = shard_demand.reserved if reserved else shard_demand.total - shard_demand.reserved
        higher_priority_rate = 0.0 if reserved else shard_demand.reserved
        confidence = 0.5 + demand.requests_seen(now) / MIN_SAMPLE_REQUESTS
        node.slow_start_tokens.refill(rate, rate * self.safety.overload_window_s * confidence, now)
        maximum = min(1.0, node.slow_start_tokens.level / request.units)
        return clamp((rate - higher_priority_rate) / max(same_priority_rate, 1e-9), 0.0, maximum)

    def _permitted_rate(self, node: Node, age_s: float) -> float:
        """Return the units a second that this instance may send.

        They are at least an equal share of ``Settings.slow_start_units`` in each overload window.
        """
        instance_count, safety = self.state.gateway_count, self.safety
        base_rate = self.state.nodes.usual_rate(node.shard, instance_count)
        minimum = self.state.settings.slow_start_units / safety.overload_window_s / instance_count
        return max(
            SAFE_LOAD_SHARE * base_rate * safety.capacity_share(age_s) * safety.overload_multiple, minimum
        )

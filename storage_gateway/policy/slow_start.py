"""Slow start: how much of what all gateway instances may send a warming node this one sends."""

from __future__ import annotations

from storage_gateway.policy_state import Node, PolicyState, Request, clamp

SAFE_SHARE = 0.75  # of what a warming node withstands: unit times are those of short answers
MIN_SAMPLE = 16.0  # requests that an instance has to have seen lately, to go by its usual rate


class SlowStart:
    """Admits each request to a warming node or not, by one draw.

    Guards against many instances that each save up an even part and send it in one burst.
    """

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.safety = state.settings.safety

    def admits(self, request: Request, node: Node) -> bool:
        """Say whether the request may go to the node; drawn once for each life of the node."""
        age = self.state.now - node.started_at
        if node.started_at <= 0 or age >= self.safety.slow_start_window_s:
            return True
        if node.start not in request.slow_start_admitted:
            chance = self._chance(request, node, age)
            node.slow_start_tokens.level -= chance * request.units
            request.slow_start_admitted[node.start] = self.state.random.random() < chance
            if not request.slow_start_admitted[node.start]:
                self.state.requests.to_review.append(request)  # there is no use in waiting
        return request.slow_start_admitted[node.start]

    def _chance(self, request: Request, node: Node, age: float) -> float:
        """Return the share of requests like this one that go, so that reserved units go first."""
        demand = self.state.demand
        now = self.state.now
        reserved = request.is_reserved
        demand.add(request.shard, request.units, reserved, now)
        rate = self._rate(node, age)
        wanted = demand.at(request.shard, request.units, now)
        own = wanted.reserved if reserved else wanted.total - wanted.reserved
        before = 0.0 if reserved else wanted.reserved
        sample = 0.5 + demand.requests_seen(now) / MIN_SAMPLE
        node.slow_start_tokens.refill(rate, rate * self.safety.overload_window_s * sample, now)
        highest = min(1.0, node.slow_start_tokens.level / request.units)
        return clamp((rate - before) / max(own, 1e-9), 0.0, highest)

    def _rate(self, node: Node, age: float) -> float:
        """Return the units a second that this instance may send, an even part of the stated ones at least."""
        count, safety = self.state.gateway_count, self.safety
        usual = self.state.nodes.usual_rate(node.shard, count)
        least = self.state.settings.slow_start_units / safety.overload_window_s / count
        return max(SAFE_SHARE * usual * safety.capacity_share(age) * safety.overload_multiple, least)

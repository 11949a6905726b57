"""The control loop of Padala et al.: fit, ask, arbitrate by weight, split by demand (docs/design.md)."""

from __future__ import annotations

import math

from storage_gateway.policy_state import ClassEstimate, PolicyState, bisect_decreasing, clamp

CONTROL_INTERVAL_S = 1.0  # the paper's two seconds trail a surge
MAX_STEP = 0.05  # most that a class's share moves in a round: the paper's
HALVINGS = 60  # of the interval in which the arbitration's shortfall is sought


class ConcurrencyController:
    """Gives each class a bound on its requests in flight and splits it over the nodes."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state

    def run_round(self) -> None:
        """Run one control round."""
        state = self.state
        began_at = state.round_at
        state.round_at = state.now
        for request in state.requests.by_id.values():
            state.count_demand(request, began_at)
        total = max(1.0, sum(node.concurrency_limit for node in state.nodes.owners.values()))
        for estimate in state.classes:
            estimate.measure(total)
            self._ask(estimate, total)
        bounds = arbitrate(state.classes)
        for index, bound in enumerate(bounds):
            state.classes[index].bound = bound
            self.split(index, bound * total)
        state.end_round(began_at)

    def _ask(self, estimate: ClassEstimate, total: float) -> None:
        """Move the ask towards the bound that would meet the objective, given answers and a slope."""
        if estimate.finished and estimate.slope:
            wanted = estimate.bound + (1 - estimate.performance) / estimate.slope / total
            estimate.ask = clamp(wanted, estimate.bound - MAX_STEP, estimate.bound + MAX_STEP)

    def split(self, index: int, bound: float) -> None:
        """Split a class's bound over the nodes by its mean demand there, one slot each at least."""
        nodes = list(self.state.nodes.owners.values())
        seen = sum(node.class_demand[index] for node in nodes)
        for node in nodes:
            part = node.class_demand[index] / seen if seen else 1 / len(nodes)
            node.class_slots[index] = max(1, math.ceil(bound * part - 1e-9))
            node.class_demand[index] = 0.0


def arbitrate(classes: list[ClassEstimate]) -> list[float]:
    """Grant asks that fit, the rest by weight; otherwise even weight times (1 - performance)."""
    asked = sum(one.ask for one in classes)
    if asked <= 1:
        weights = sum(one.weight for one in classes)
        return [max(0.0, one.ask) + (1 - asked) * one.weight / weights for one in classes]
    low = [max(0.0, one.bound - MAX_STEP) for one in classes]
    high = [one.bound + MAX_STEP for one in classes]
    goal = min(1.0, sum(high))
    granted = _even_shortfall(classes, low, high, goal)
    rest = goal - sum(granted)  # what classes without a slope leave over or must give, by their room
    limits = high if rest > 0 else low
    room = [abs(limit - share) for limit, share in zip(limits, granted, strict=True)]
    return [share + rest * space / max(sum(room), 1e-12) for share, space in zip(granted, room, strict=True)]


def _even_shortfall(
    classes: list[ClassEstimate], low: list[float], high: list[float], goal: float
) -> list[float]:
    """Find the weighted shortfall at which the bounds sum up to the goal, and return those bounds."""

    def bounds_at(error: float) -> list[float]:
        wanted = [
            one.bound + (1 - one.performance - error / one.weight) / one.share_slope
            if one.share_slope
            else one.ask
            for one in classes
        ]
        return [clamp(bound, least, most) for bound, least, most in zip(wanted, low, high, strict=True)]

    widest = 1e3 * max(one.weight for one in classes)
    return bounds_at(bisect_decreasing(lambda error: sum(bounds_at(error)), goal, -widest, widest, HALVINGS))

"""Concurrency control after Padala et al.; docs/design.md cites the paper.

Each control round fits how the performance of a class follows its bound, derives the bound that the class
needs, arbitrates between the classes by weight, and splits each bound over the nodes by demand.
"""

from __future__ import annotations

import math

from storage_gateway.policy_state import ClassEstimate, PolicyState, bisect_decreasing, clamp

CONTROL_INTERVAL_S = 1.0  # with the paper's 2 s, the bounds lag behind a surge
MAX_BOUND_STEP = 0.05  # largest change of a class's bound (a share) in a round, as in the paper
BISECTION_STEPS = 60  # halvings of the interval that is searched for the common shortfall


class ConcurrencyController:
    """Sets a bound on the requests in flight of each class, and splits it over the nodes."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state

    def run_round(self) -> None:
        """Run the control round that ends now, and set the bounds and slots for the next one."""
        state = self.state
        round_started_at = state.last_round_at
        state.last_round_at = state.now
        for request in state.requests.by_id.values():
            state.count_demand(request, round_started_at)
        total_slots = max(1.0, sum(node.concurrency_limit for node in state.nodes.ordered_owners()))
        for estimate in state.classes:
            estimate.measure(total_slots)
            self._request_bound(estimate, total_slots)
        bounds = arbitrate(state.classes)
        for index, bound in enumerate(bounds):
            state.classes[index].bound = bound
            self.split(index, bound * total_slots)
        state.end_round(round_started_at)

    def _request_bound(self, estimate: ClassEstimate, total_slots: float) -> None:
        """Move the requested bound towards the one that would meet the latency objective.

        Without a finished request or a slope, there is nothing to derive it from, and it stays.
        """
        if estimate.finished_count and estimate.slope:
            needed = estimate.bound + (1 - estimate.performance) / estimate.slope / total_slots
            estimate.requested_bound = clamp(
                needed, estimate.bound - MAX_BOUND_STEP, estimate.bound + MAX_BOUND_STEP
            )

    def split(self, index: int, bound: float) -> None:
        """Split a class's bound, in slots, over the nodes by demand; each gets at least one slot."""
        nodes = self.state.nodes.ordered_owners()
        total_demand = sum(node.class_demand[index] for node in nodes)
        for node in nodes:
            share = node.class_demand[index] / total_demand if total_demand else 1 / len(nodes)
            node.class_slots[index] = max(1, math.ceil(bound * share - 1e-9))
            node.class_demand[index] = 0.0


def arbitrate(classes: list[ClassEstimate]) -> list[float]:
    """Return the new bounds of the classes as shares of the total concurrency.

    Requested bounds that fit are granted, and what is left over is divided by weight. Otherwise the bounds
    equalize the weighted shortfall, weight times (1 - performance), of all classes.
    """
    requested = sum(estimate.requested_bound for estimate in classes)
    if requested <= 1:
        weights = sum(estimate.weight for estimate in classes)
        return [
            max(0.0, estimate.requested_bound) + (1 - requested) * estimate.weight / weights
            for estimate in classes
        ]
    low = [max(0.0, estimate.bound - MAX_BOUND_STEP) for estimate in classes]
    high = [estimate.bound + MAX_BOUND_STEP for estimate in classes]
    target = min(1.0, sum(high))
    granted = _equalize_shortfall(classes, low, high, target)
    # Classes without a slope leave a remainder, positive or negative; divide it in proportion to the
    # distance of each class from its limit.
    remainder = target - sum(granted)
    limits = high if remainder > 0 else low
    distances = [abs(limit - share) for limit, share in zip(limits, granted, strict=True)]
    return [
        share + remainder * distance / max(sum(distances), 1e-12)
        for share, distance in zip(granted, distances, strict=True)
    ]


def _equalize_shortfall(
    classes: list[ClassEstimate], low: list[float], high: list[float], target: float
) -> list[float]:
    """Return the bounds that sum up to the target and have the same weighted shortfall in all classes."""

    def bounds_at(shortfall: float) -> list[float]:
        needed = [
            estimate.bound + (1 - estimate.performance - shortfall / estimate.weight) / estimate.share_slope
            if estimate.share_slope
            else estimate.requested_bound
            for estimate in classes
        ]
        return [
            clamp(bound, minimum, maximum) for bound, minimum, maximum in zip(needed, low, high, strict=True)
        ]

    limit = 1e3 * max(estimate.weight for estimate in classes)
    return bounds_at(
        bisect_decreasing(lambda shortfall: sum(bounds_at(shortfall)), target, -limit, limit, BISECTION_STEPS)
    )

"""Estimates the performance of a request class and how it depends on the concurrency bound of the class."""

from __future__ import annotations

from storage_gateway.policy_api import RequestClass
from storage_gateway.policy_state.estimators import slope_through_origin

FIT_ROUNDS = 5
"""Changes from one control round to the next in a slope fit, as in the design."""
MIN_LATENCY_SUM_S = 1e-6
"""Lower limit of the latency sum, which avoids a division by zero."""


class ClassEstimate:
    """Measurements and bounds of a request class.

    Attributes:
        request_class: the settings of the class.
        weight: priority weight of the class.
        bound: bound on the requests in flight, as a share of the total concurrency.
        requested_bound: bound that the class needs to meet its objective, as such a share.
        latency_sum_s: seconds from arrival to end, summed over the requests that ended in this control round.
        finished_count: number of requests that ended in this control round.
        performance: latency objective over mean latency in the last control round; 1 if no request ended.
        slope: change of the performance for each slot of the bound; None unless it is positive.
        share_slope: the same for a bound given as a share; None unless it is positive.
        history: bound in slots and performance of the last control rounds in which requests ended.
    """

    def __init__(self, request_class: RequestClass, bound: float) -> None:
        self.request_class = request_class
        self.weight = request_class.priority_weight
        self.bound = bound
        self.requested_bound = bound
        self.latency_sum_s = 0.0
        self.finished_count = 0
        self.performance = 1.0
        self.slope: float | None = None
        self.share_slope: float | None = None
        self.history: list[tuple[float, float]] = []

    def record_finished(self, latency_s: float) -> None:
        """Count a request that has ended, and its seconds since arrival."""
        self.latency_sum_s += latency_s
        self.finished_count += 1

    def measure(self, total_slots: float) -> None:
        """Update the performance and slopes at the end of a control round with ``total_slots`` slots."""
        self.performance = 1.0
        if self.finished_count:
            objective_sum_s = self.request_class.latency_objective_s * self.finished_count
            self.performance = objective_sum_s / max(self.latency_sum_s, MIN_LATENCY_SUM_S)
            self.history.append((self.bound * total_slots, self.performance))
            del self.history[: -FIT_ROUNDS - 1]
        self.slope = slope_through_origin(self.history)
        self.share_slope = self.slope * total_slots if self.slope else None

    def begin_round(self) -> None:
        """Reset the sums for the next control round."""
        self.latency_sum_s = 0.0
        self.finished_count = 0

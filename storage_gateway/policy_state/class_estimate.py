"""How a class performs, and how its performance follows its bound."""

from __future__ import annotations

from storage_gateway.policy_api import RequestClass
from storage_gateway.policy_state.estimators import slope_through_origin

FIT_ROUNDS = 5
"""Control rounds in a slope fit: the design's."""
MIN_LATENCY_SUM_S = 1e-6


class ClassEstimate:
    """What is known of a class; the bound and the ask are shares of the total concurrency.

    Attributes:
        request_class: the class.
        weight: its priority weight.
        bound: its bound.
        ask: the bound that it asks for.
        latency_sum_s: seconds from arrival to the end, of all its requests that ended in this round.
        finished: the number of these.
        performance: latency objective over mean latency in the last round; 1 where none ended.
        slope: slope of the performance over the bound in slots; None unless it is positive.
        share_slope: the same over the bound as a share.
        history: bound in slots and performance of the last rounds.
    """

    def __init__(self, request_class: RequestClass, bound: float) -> None:
        self.request_class = request_class
        self.weight = request_class.priority_weight
        self.bound = bound
        self.ask = bound
        self.latency_sum_s = 0.0
        self.finished = 0
        self.performance = 1.0
        self.slope: float | None = None
        self.share_slope: float | None = None
        self.history: list[tuple[float, float]] = []

    def record_finished(self, latency_s: float) -> None:
        """Count a request that has ended."""
        self.latency_sum_s += latency_s
        self.finished += 1

    def measure(self, total: float) -> None:
        """Take in the control round that ends now, of ``total`` slots."""
        self.performance = 1.0
        if self.finished:
            objective_sum_s = self.request_class.latency_objective_s * self.finished
            self.performance = objective_sum_s / max(self.latency_sum_s, MIN_LATENCY_SUM_S)
            self.history.append((self.bound * total, self.performance))
            del self.history[: -FIT_ROUNDS - 1]
        self.slope = slope_through_origin(self.history)
        self.share_slope = self.slope * total if self.slope else None

    def begin_round(self) -> None:
        """Begin the next control round with empty sums."""
        self.latency_sum_s = 0.0
        self.finished = 0

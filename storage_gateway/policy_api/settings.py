"""The settings of the policy, as one deployment gives them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeatability(Enum):
    """What a second execution of a request would do."""

    REPEATABLE = "repeatable"
    """No harm, whatever happened to the first."""
    IDEMPOTENT_WITH_KEY = "idempotent_with_key"
    """No harm while the nodes that share its idempotency memory discard duplicates."""
    NON_IDEMPOTENT = "non_idempotent"
    """A doubled effect: it must not be attempted again once it may have been executed."""


class IdempotencyScope(Enum):
    """Which nodes share the memory that discards duplicates of a request; values as in the settings."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        latency_objective_s: seconds from arrival within which an answer has its full value.
        priority_weight: value of a unit answered within the objective.
        late_value: share of that value which a later answer still has, 0 to 1.
        repeatability: what a second execution would do.
        idempotency_scope: where duplicates of a keyed request are discarded.
        idempotency_window_s: seconds after the first attempt for which they are.
        ordered_by_key: requests for one object are executed one at a time, in order of arrival.
    """

    latency_objective_s: float
    priority_weight: float
    late_value: float
    repeatability: Repeatability
    idempotency_scope: IdempotencyScope
    idempotency_window_s: float
    ordered_by_key: bool


@dataclass(slots=True)
class Plan:
    """A volume's service plan; rates are units a second over all gateway instances.

    Attributes:
        value_factor: factor on the value of each unit.
        expected_rate: usual rate of a volume of this plan.
        reserved_rate: rate that is reserved for it.
        excess_weight: weight with which it shares what the reservations leave.
        rate_limit: rate that it may not exceed; 0 means no limit.
        rate_limit_burst: units that it may send at once under that limit.
    """

    value_factor: float
    expected_rate: float
    reserved_rate: float
    excess_weight: float
    rate_limit: float
    rate_limit_burst: float


@dataclass(slots=True)
class SafetyLimits:
    """Figures of the rules that no instance may break; None where the deployment sets no such rule.

    Attributes:
        slow_start_min_share: capacity of a node that has just started, as a share of the full one.
        slow_start_window_s: seconds after its start until a node has its full capacity.
        overload_multiple: multiple of its present capacity that a warming node survives.
        overload_window_s: seconds over which that multiple is counted.
        endpoint_poll_interval_s: seconds between calls for the endpoint list.
        key_cooldown_s: seconds that an ordered key waits after an attempt that may still be executed.
        retry_budget_base: further attempts that are allowed in any window.
        retry_budget_ratio: further attempts that each accepted request adds.
        retry_budget_window_s: seconds of the window.
    """

    slow_start_min_share: float
    slow_start_window_s: float
    overload_multiple: float
    overload_window_s: float
    endpoint_poll_interval_s: float | None
    key_cooldown_s: float
    retry_budget_base: float | None
    retry_budget_ratio: float | None
    retry_budget_window_s: float | None

    def capacity_share(self, age: float) -> float:
        """Return the least share of its full capacity that a node had throughout the overload window.

        Args:
            age: seconds since its start.
        """
        warmed_s = max(0.0, age - self.overload_window_s)
        return (
            self.slow_start_min_share + (1 - self.slow_start_min_share) * warmed_s / self.slow_start_window_s
        )


@dataclass(slots=True)
class Settings:
    """All that a policy is told at its start.

    Attributes:
        classes: request classes; events name them by index.
        plans: service plans; events name them by index.
        safety: figures of the rules.
        seed: for random numbers.
        gateway_count: gateway instances of the deployment; 0 counts as 1.
        must_watch_endpoints: the policy has to ask for the endpoint list and its changes.
        max_attempts: attempts of a request, the first included.
        can_cancel: attempts in flight may be cancelled.
        slow_start_units: units that a node takes right after its start, from all instances together, within
            ``safety.overload_window_s``.
        max_request_units: units of the largest request.
        mean_request_units: units of a mean request.
        excess_value: share of its value that a unit beyond its reservation has.
        nodes_report_other_usage: nodes say what they served a volume through other instances.
        max_retry_after_s: longest retry hint that clients heed; 0 means that they are given none.
    """

    classes: list[RequestClass]
    plans: list[Plan]
    safety: SafetyLimits
    seed: int
    gateway_count: int
    must_watch_endpoints: bool
    max_attempts: int
    can_cancel: bool
    slow_start_units: float
    max_request_units: float
    mean_request_units: float
    excess_value: float
    nodes_report_other_usage: bool = False
    max_retry_after_s: float = 0.0

    @property
    def max_excess_value(self) -> float:
        """Value of a unit of the dearest class and plan beyond its reservation."""
        weight = max(request_class.priority_weight for request_class in self.classes)
        return weight * max(plan.value_factor for plan in self.plans) * self.excess_value

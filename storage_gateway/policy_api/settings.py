"""The settings of the policy for a deployment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeatability(Enum):
    """The effect of executing a request a second time."""

    REPEATABLE = "repeatable"
    """A second execution is harmless."""
    IDEMPOTENT_WITH_KEY = "idempotent_with_key"
    """A second attempt is harmless while the nodes that share the idempotency memory discard duplicates."""
    NON_IDEMPOTENT = "non_idempotent"
    """The effect would double; no further attempt is allowed once the request may have been executed."""


class IdempotencyScope(Enum):
    """The nodes that share the memory which discards duplicates; values as in the settings."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        latency_objective_s: seconds from arrival within which a response has its full value.
        priority_weight: value of a unit if the response meets the latency objective.
        late_value: share of that value which a late response still has, 0 to 1.
        repeatability: effect of a second execution.
        idempotency_scope: nodes that discard duplicates of a keyed request.
        idempotency_window_s: seconds after the first attempt for which nodes discard duplicates.
        ordered_by_key: whether requests for the same object are executed one at a time, in order of arrival.
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
    """The service plan of a volume; rates are units a second over all gateway instances.

    Attributes:
        value_factor: factor on the value of each unit.
        expected_rate: usual rate of a volume with this plan.
        reserved_rate: rate that is reserved for the volume; 0 for none.
        excess_weight: weight with which the volume shares the rate that the reservations leave.
        rate_limit: rate that the volume must not exceed; 0 for no limit.
        rate_limit_burst: units that the volume may send at once under the rate limit.
    """

    value_factor: float
    expected_rate: float
    reserved_rate: float
    excess_weight: float
    rate_limit: float
    rate_limit_burst: float


@dataclass(slots=True)
class SafetyLimits:
    """The limits that no instance may exceed; None if the deployment has no such limit.

    Attributes:
        slow_start_min_share: share of its full capacity that a node has just after its start.
        slow_start_window_s: seconds from the start of a node until it has its full capacity.
        overload_multiple: multiple of its present capacity that a warming node survives.
        overload_window_s: seconds over which the load of a warming node is summed up for that multiple.
        endpoint_poll_interval_s: seconds between two fetches of the endpoint list.
        key_cooldown_s: seconds that an ordered key waits after an attempt that may still be executed.
        retry_budget_base: number of retries allowed in any window.
        retry_budget_ratio: number of retries that each accepted request adds to the budget.
        retry_budget_window_s: length of the retry budget's window in seconds.
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

    def capacity_share(self, age_s: float) -> float:
        """Return the share of its full capacity that a warming node had when the overload window began.

        Args:
            age_s: seconds since the start of the node.
        """
        warmed_s = max(0.0, age_s - self.overload_window_s)
        return (
            self.slow_start_min_share + (1 - self.slow_start_min_share) * warmed_s / self.slow_start_window_s
        )


@dataclass(slots=True)
class Settings:
    """All settings of a policy.

    Attributes:
        classes: request classes; events refer to them by index.
        plans: service plans; events refer to them by index.
        safety: limits that no instance may exceed.
        seed: seed of the random number generator.
        gateway_count: number of gateway instances of the deployment; 0 counts as 1.
        must_watch_endpoints: whether the policy has to request the endpoint watch with ``WatchEndpoints``.
        max_attempts: largest number of attempts of a request, including the first.
        can_cancel: whether attempts in flight can be cancelled.
        slow_start_units: units that a node takes just after its start, from all instances together, within
            ``safety.overload_window_s``.
        max_request_units: units of the largest request.
        mean_request_units: units of a request on average.
        excess_value: share of its full value that a unit beyond the reservation has.
        nodes_report_other_usage: whether nodes report what they serve a volume through other instances.
        max_retry_after_s: longest retry hint in seconds that clients follow; 0 for no retry hints.
        max_records: largest number of records of each kind that clients can name, such as volumes; 0 for no
            limit. Records that are in use are kept beyond it.
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
    max_records: int = 0

    @property
    def max_excess_value(self) -> float:
        """Largest value of a unit beyond the reservation, over all classes and plans."""
        weight = max(request_class.priority_weight for request_class in self.classes)
        return weight * max(plan.value_factor for plan in self.plans) * self.excess_value

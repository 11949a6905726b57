"""The interface of the policy in ``rules.py``: settings, events in, actions out.

Times are seconds on the caller's clock, sizes are units, ids are opaque.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Repeatability(Enum):
    """What a second run of a request would do."""

    REPEATABLE = "free"
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "once"


class IdempotencyScope(Enum):
    """Which nodes discard the duplicates of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "no_connection"
    CONNECTION_RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class EndpointState(Enum):
    SERVING = "live"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """How a node list relates to the one held: changes to it, a new one, an old copy, or no news."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "old_copy"
    UNAVAILABLE = "lost"


@dataclass(slots=True)
class RequestClass:
    latency_objective_s: float
    priority_weight: float
    late_value: float
    repeatability: Repeatability
    idempotency_scope: IdempotencyScope
    idempotency_window_s: float
    ordered_by_key: bool


@dataclass(slots=True)
class Plan:
    """A volume's plan; rates in units a second over all hosts, a limit of 0 means none."""

    value_factor: float
    expected_rate: float
    reserved_rate: float
    excess_weight: float
    rate_limit: float
    rate_limit_burst: float


@dataclass(slots=True)
class SafetyLimits:
    """Figures of the rules; None where the deployment sets no such rule."""

    slow_start_min_share: float
    slow_start_window_s: float
    overload_multiple: float
    overload_window_s: float
    endpoint_poll_interval_s: float | None
    key_cooldown_s: float
    retry_budget_base: float | None
    retry_budget_ratio: float | None
    retry_budget_window_s: float | None


@dataclass(slots=True)
class Settings:
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
    nodes_report_other_usage: bool = False  # nodes say what they served a volume through other hosts
    max_retry_after_s: float = 0.0  # longest time that clients heed; 0: they are not told when to come back


@dataclass(slots=True)
class EndpointEntry:
    """A node as listed; one with a cell of -1 holds none and can take new objects only."""

    node: int
    shard: int
    zone: int
    state: EndpointState
    started_at: float


@dataclass(slots=True)
class EndpointsChanged:
    """Event: news of the nodes."""

    kind: EndpointUpdateKind
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    """Event: a request now owed one final answer. A cell of -1 marks a new object."""

    request_id: str
    class_index: int
    plan_index: int
    volume_id: int
    object_key: int | None
    shard: int
    units: float
    deadline: float
    gateway_count: int


@dataclass(slots=True)
class AttemptEnded:
    """Event: an attempt is over; ``settled`` when its request is too. ``elsewhere``: the units that the node
    says it has served the volume through other hosts since its last answer to this one about it.
    """

    request_id: str
    attempt: int
    node: int
    outcome: AttemptOutcome
    elapsed_s: float
    request_settled: bool
    units_elsewhere: float = 0.0


@dataclass(slots=True)
class ClientCancelled:
    """Event: the client has left; no answer is owed."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """Event: a wake-up that was asked for."""

    timer_id: int


Event = EndpointsChanged | RequestArrived | AttemptEnded | ClientCancelled | TimerFired


@dataclass(slots=True)
class SendAttempt:
    """One attempt; its first byte goes no later than ``until``, however late the connection comes up."""

    request_id: str
    node: int
    first_byte_deadline: float = field(default=math.inf, repr=False, compare=False)


@dataclass(slots=True)
class RejectRequest:
    """Final answer: turned away, trying again is harmless, best after ``wait`` seconds."""

    request_id: str
    retry_after_s: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed, with no promise about its effect."""

    request_id: str


@dataclass(slots=True)
class CancelAttempt:
    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay_s: float
    timer_id: int


@dataclass(slots=True)
class WatchEndpoints:
    """Ask for the list of nodes and its changes."""


Action = SendAttempt | RejectRequest | FailRequest | CancelAttempt | SetTimer | WatchEndpoints

"""The events that a policy processes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

NO_SHARD = -1
"""The shard of a request that creates an object, which any node can take, and of a node that holds none."""


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    """The node served the request."""
    ERROR = "error"
    """The node responded with an error; it may have executed the request."""
    REJECTED = "rejected"
    """The node rejected the request without executing it."""
    TIMEOUT = "timeout"
    """The request's deadline passed without a response."""
    CONNECT_FAILED = "connect_failed"
    """The connection failed before the whole request was sent."""
    CONNECTION_RESET = "connection_reset"
    """The connection failed when the node may have executed the request."""
    CANCELLED = "cancelled"
    """The attempt was cancelled; the node may have executed the request."""
    NOT_SENT = "not_sent"
    """The attempt was given up before its first byte was sent."""

    @property
    def proves_no_execution(self) -> bool:
        """Whether the attempt cannot have executed the request."""
        return self in _NEVER_EXECUTED


_NEVER_EXECUTED = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class EndpointState(Enum):
    """The state of a node in the endpoint list of discovery."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointUpdateKind(Enum):
    """How an update relates to the known endpoint list."""

    DELTA = "delta"
    """The changes to the list."""
    SNAPSHOT = "snapshot"
    """A new, complete list."""
    CACHED = "cached"
    """A complete list from a cache, which may be outdated."""
    UNAVAILABLE = "unavailable"
    """The list could not be fetched; the known one stays in use."""


@dataclass(slots=True)
class EndpointEntry:
    """A node in an update of the endpoint list.

    Attributes:
        id: id of the node, which stays the same as long as the node is known.
        shard: shard that the node holds; ``NO_SHARD`` for none.
        zone: zone of the node.
        state: state of the node in discovery.
        started_at: when the node last started; 0 for long ago.
    """

    id: int
    shard: int
    zone: int
    state: EndpointState
    started_at: float


@dataclass(slots=True)
class EndpointsChanged:
    """The endpoint list has changed."""

    kind: EndpointUpdateKind
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    """A request has arrived and needs exactly one final response.

    Attributes:
        request_id: identifies the request in all later events and actions.
        class_index: index of the request class in the settings.
        plan_index: index of the volume's plan in the settings.
        volume_id: id of the volume.
        object_key: key of the object that the request reads or writes; None if it names none.
        shard: shard that holds the object; ``NO_SHARD`` for a request that creates one.
        units: size of the request.
        deadline: when the client stops waiting.
        gateway_count: number of gateway instances that the volume uses.
    """

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
    """An attempt has ended.

    Attributes:
        request_id: id of the request.
        attempt_number: number of the attempt, counted from 0 for each request.
        node_id: id of the node that it was sent to.
        outcome: how the attempt ended.
        elapsed_s: seconds for which it was in flight.
        request_settled: whether the client has received its final response, or none is needed any more.
        units_elsewhere: units that the node has served the volume through other gateway instances since its
            last report to this one.
    """

    request_id: str
    attempt_number: int
    node_id: int
    outcome: AttemptOutcome
    elapsed_s: float
    request_settled: bool
    units_elsewhere: float = 0.0


@dataclass(slots=True)
class ClientCancelled:
    """The client has closed its connection; no response is needed."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """The timer that the policy set has fired."""

    timer_id: int


Event = EndpointsChanged | RequestArrived | AttemptEnded | ClientCancelled | TimerFired

"""The events that a policy is told of."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

NO_SHARD = -1
"""The shard of a request that creates an object, which any node can take, and of a node that holds none."""


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_RESET = "connection_reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def proves_no_execution(self) -> bool:
        """The request was certainly not executed by this attempt."""
        return self in _NEVER_EXECUTED


_NEVER_EXECUTED = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class EndpointState(Enum):
    """What discovery says of a node."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointUpdateKind(Enum):
    """How an update relates to the endpoint list held so far."""

    DELTA = "delta"
    """The changes to it."""
    SNAPSHOT = "snapshot"
    """A new whole list."""
    CACHED = "cached"
    """An old copy of the whole list."""
    UNAVAILABLE = "unavailable"
    """A call for it failed; it stays as it was."""


@dataclass(slots=True)
class EndpointEntry:
    """A node as an update lists it.

    Attributes:
        node: its id, the same as long as the node is known.
        shard: the shard that it holds.
        zone: its zone.
        state: what discovery says of it.
        started_at: when it last started; 0 for long ago.
    """

    node: int
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
    """A request has arrived and is owed one final answer.

    Attributes:
        request_id: names it in all later events and actions.
        class_index: its class, as an index into the settings.
        plan_index: its volume's plan, as an index into the settings.
        volume_id: its volume.
        object_key: the object that it reads or writes, where it names one.
        shard: the shard that holds the object.
        units: its size.
        deadline: when its client stops waiting.
        gateway_count: instances through which the volume's requests come.
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
    """An attempt is over.

    Attributes:
        request_id: its request.
        attempt: its number, from 0.
        node: where it was sent.
        outcome: how it ended.
        elapsed_s: how long it was in flight.
        request_settled: its request has its final answer by this, or needs none.
        units_elsewhere: units that the node served the volume through other instances since its last answer
            to this one about it.
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
    """The client has closed its connection; no answer is owed."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """The timer that the policy set has fired."""

    timer_id: int


Event = EndpointsChanged | RequestArrived | AttemptEnded | ClientCancelled | TimerFired

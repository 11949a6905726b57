"""The interface of the policy: its settings, the events it takes and the actions it returns.

Times are seconds on the caller's clock, sizes are units of work as the settings count them, ids are opaque.
"""

from storage_gateway.policy_api.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from storage_gateway.policy_api.events import (
    NO_SHARD,
    AttemptEnded,
    AttemptOutcome,
    ClientCancelled,
    EndpointEntry,
    EndpointsChanged,
    EndpointState,
    EndpointUpdateKind,
    Event,
    RequestArrived,
    TimerFired,
)
from storage_gateway.policy_api.settings import (
    IdempotencyScope,
    Plan,
    Repeatability,
    RequestClass,
    SafetyLimits,
    Settings,
)

__all__ = [
    "NO_SHARD",
    "Action",
    "AttemptEnded",
    "AttemptOutcome",
    "CancelAttempt",
    "ClientCancelled",
    "EndpointEntry",
    "EndpointState",
    "EndpointUpdateKind",
    "EndpointsChanged",
    "Event",
    "FailRequest",
    "IdempotencyScope",
    "Plan",
    "RejectRequest",
    "Repeatability",
    "RequestArrived",
    "RequestClass",
    "SafetyLimits",
    "SendAttempt",
    "SetTimer",
    "Settings",
    "TimerFired",
    "WatchEndpoints",
]

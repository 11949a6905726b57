"""The actions that a policy returns."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class SendAttempt:
    """Send an attempt of the request to this node.

    Attributes:
        request_id: id of the request.
        node_id: id of the node.
        first_byte_deadline: time after which the first byte must not be sent, even if the connection was
            established late; infinite for no limit.
    """

    request_id: str
    node_id: int
    first_byte_deadline: float = field(default=math.inf, repr=False, compare=False)


@dataclass(slots=True)
class RejectRequest:
    """Reject the request: the client may safely retry, best after ``retry_after_s`` seconds."""

    request_id: str
    retry_after_s: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Fail the request: it may or may not have been executed."""

    request_id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel the attempt with this number, counted from 0 for each request."""

    request_id: str
    attempt_number: int


@dataclass(slots=True)
class SetTimer:
    """Send ``TimerFired`` after ``delay_s`` seconds; replaces the timer set before."""

    delay_s: float
    timer_id: int


@dataclass(slots=True)
class WatchEndpoints:
    """Request the endpoint list and a watch of its changes."""


Action = SendAttempt | RejectRequest | FailRequest | CancelAttempt | SetTimer | WatchEndpoints

"""The actions that a policy asks for."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class SendAttempt:
    """Send the request to this node.

    Attributes:
        request_id: the request.
        node: the node.
        first_byte_deadline: the first byte goes no later, however late the connection comes up.
    """

    request_id: str
    node: int
    first_byte_deadline: float = field(default=math.inf, repr=False, compare=False)


@dataclass(slots=True)
class RejectRequest:
    """Final answer: rejected; trying again is harmless, best after ``retry_after_s`` seconds."""

    request_id: str
    retry_after_s: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed, with no promise about its effect."""

    request_id: str


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for this attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Call the policy with ``TimerFired`` after ``delay_s`` seconds; it replaces the timer set before."""

    delay_s: float
    timer_id: int


@dataclass(slots=True)
class WatchEndpoints:
    """Ask for the endpoint list and its changes."""


Action = SendAttempt | RejectRequest | FailRequest | CancelAttempt | SetTimer | WatchEndpoints

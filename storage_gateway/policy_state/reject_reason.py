"""The reasons for which a request is shed."""

from __future__ import annotations

from enum import StrEnum


class RejectReason(StrEnum):
    """The rule that kept a request from being served; the status line counts them."""

    NO_ENDPOINT = "no_endpoint"
    """No serving node owns the shard; also counted if the request creates an object."""
    SLOW_START = "slow_start"
    """The slow start of the node did not admit the request."""
    BACKOFF = "backoff"
    """The node is in backoff after a failure."""
    EXCESS_RATE = "excess_rate"
    """The request is beyond its reservation, and the excess rate does not admit it yet."""
    RATE_LIMIT = "rate_limit"
    """The rate limit of the plan does not admit the request yet."""
    CONCURRENCY_LIMIT = "concurrency_limit"
    """The node has no free slot."""
    LATE = "late"
    """A response would be late, and none of the reasons above applies."""
    NON_IDEMPOTENT = "non_idempotent"
    """The request may have been executed and must not be executed twice."""
    MAX_ATTEMPTS = "max_attempts"
    """The request has used up its attempts."""


def longest_wait(ready_at: dict[RejectReason, float], now: float) -> RejectReason | None:
    """Return the reason that is in force longest, None if none is in force now."""
    longest = max(ready_at, key=lambda reason: ready_at[reason])
    return longest if ready_at[longest] > now else None

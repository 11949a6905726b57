"""The reasons for which a request is shed."""

from __future__ import annotations

from enum import StrEnum


class RejectReason(StrEnum):
    """The rule that kept a request from being served; the status line counts them."""

    NO_ENDPOINT = "no_endpoint"
    SLOW_START = "slow_start"
    BACKOFF = "backoff"
    EXCESS_RATE = "excess_rate"
    RATE_LIMIT = "rate_limit"
    CONCURRENCY_LIMIT = "concurrency_limit"
    LATE = "late"
    NON_IDEMPOTENT = "non_idempotent"
    MAX_ATTEMPTS = "max_attempts"


def longest_wait(ready_at: dict[RejectReason, float], now: float) -> RejectReason | None:
    """Return the reason that is in force longest, None if none is in force now."""
    longest = max(ready_at, key=lambda reason: ready_at[reason])
    return longest if ready_at[longest] > now else None

"""A request that waits for its response, and the timers that bound its response and its attempt."""

from __future__ import annotations

import asyncio
import math

from storage_gateway import policy_api as api

ATTEMPT_MARGIN_S = 0.04  # an attempt ends this long before the client's deadline, so that the answer beats it
RESPONSE_MARGIN_S = 0.015  # without a decision of the policy by then, the executor answers by itself


class PendingRequest:
    """A request that is owed its response: the policy's actions for it, and the timers that bound it.

    The executor owns it. Times are Unix seconds; timers are set on the loop's clock.
    """

    __slots__ = (
        "actions",
        "attempt_count",
        "attempt_timer",
        "deadline",
        "first_byte_deadline",
        "may_have_executed",
        "response_timer",
    )

    def __init__(self, deadline: float) -> None:
        self.actions: asyncio.Queue[api.SendAttempt | api.RejectRequest | api.FailRequest] = asyncio.Queue()
        self.deadline = deadline
        self.response_timer: asyncio.Timeout | None = None
        self.attempt_timer: asyncio.Timeout | None = None
        self.attempt_count = 0
        self.first_byte_deadline = math.inf
        self.may_have_executed = False

    def shorten_deadline(self, deadline: float, clock_offset_s: float) -> None:
        """Bring the deadline forward, and with it the timers that are still running."""
        self.deadline = min(self.deadline, deadline)
        response_due = self.deadline - RESPONSE_MARGIN_S - clock_offset_s
        attempt_due = self.deadline - ATTEMPT_MARGIN_S - clock_offset_s
        _bring_forward(self.response_timer, response_due)
        _bring_forward(self.attempt_timer, attempt_due)

    def cancel_attempt(self, attempt: int, now: float) -> None:
        """End this attempt by its own timer, unless it has ended or the timer has fired.

        Args:
            attempt: the number of the attempt, counted from 0.
            now: the loop's time.
        """
        is_current = attempt == self.attempt_count - 1
        timer = self.attempt_timer
        # A timer that has fired in this very turn of the loop is not rescheduled: that would raise, and the
        # actions behind this one, of other requests, would be lost.
        if is_current and timer and not timer.expired():
            timer.reschedule(now)


def _bring_forward(timer: asyncio.Timeout | None, due: float) -> None:
    if timer and not timer.expired() and due < (timer.when() or math.inf):
        timer.reschedule(due)

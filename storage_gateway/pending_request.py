"""A request without a response yet, and the timers that bound its response and its current attempt."""

from __future__ import annotations

import asyncio
import math

from storage_gateway import policy_api as api

ATTEMPT_MARGIN_S = 0.04  # attempts end this long before the deadline, so that the response is in time
RESPONSE_MARGIN_S = 0.015  # without a decision this long before the deadline, the executor responds by itself


class PendingRequest:
    """A request without a response yet: the policy's actions for it, and the timers that bound it.

    The executor owns it. Times are Unix seconds; timers are set on the loop's clock.

    Attributes:
        actions: the policy's actions that the executor has not carried out yet.
        deadline: when the client stops waiting, or earlier during a shutdown.
        response_timer: makes the executor respond without the policy; None before it is set.
        attempt_timer: ends the attempt in flight; None while there is none.
        attempt_count: number of attempts begun, which is the number of the next one.
        first_byte_deadline: latest time at which the first byte of the current attempt may be sent; infinite
            for no limit.
        may_have_executed: whether a node may have executed the request.
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
        """Bring the deadline forward, and with it the timers that have not expired; never postpone it."""
        self.deadline = min(self.deadline, deadline)
        response_due = self.deadline - RESPONSE_MARGIN_S - clock_offset_s
        attempt_due = self.deadline - ATTEMPT_MARGIN_S - clock_offset_s
        _bring_forward(self.response_timer, response_due)
        _bring_forward(self.attempt_timer, attempt_due)

    def cancel_attempt(self, attempt_number: int, now: float) -> None:
        """End this attempt through its timer, unless it has ended or the timer has expired.

        Args:
            attempt_number: the number of the attempt, counted from 0.
            now: the loop's time in seconds.
        """
        is_current = attempt_number == self.attempt_count - 1
        timer = self.attempt_timer
        # Rescheduling a timer that expired in this iteration of the event loop would raise, and the remaining
        # actions of the policy's step, for other requests, would be lost.
        if is_current and timer and not timer.expired():
            timer.reschedule(now)


def _bring_forward(timer: asyncio.Timeout | None, due: float) -> None:
    if timer and not timer.expired() and due < (timer.when() or math.inf):
        timer.reschedule(due)

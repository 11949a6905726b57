"""The timers of a pending request: brought forward at a shutdown, and used to cancel its attempt."""

from __future__ import annotations

import asyncio
import unittest
from typing import cast
from unittest import mock

from storage_gateway.pending_request import ATTEMPT_MARGIN_S, RESPONSE_MARGIN_S, PendingRequest

CLOCK_OFFSET_S = 1000.0
DEADLINE = 1060.0  # Unix seconds


def make_timer(due: float) -> mock.Mock:
    """Return an asyncio timer that only records the calls to it."""
    timer = mock.Mock(spec=asyncio.Timeout)
    timer.when.return_value = due
    timer.expired.return_value = False
    return timer


class PendingRequestTest(unittest.TestCase):
    """A request whose first attempt is in flight."""

    def setUp(self) -> None:
        self.response_timer = make_timer(due=DEADLINE - RESPONSE_MARGIN_S - CLOCK_OFFSET_S)
        self.attempt_timer = make_timer(due=DEADLINE - ATTEMPT_MARGIN_S - CLOCK_OFFSET_S)
        self.pending = PendingRequest(DEADLINE)
        self.pending.response_timer = cast(asyncio.Timeout, self.response_timer)
        self.pending.attempt_timer = cast(asyncio.Timeout, self.attempt_timer)
        self.pending.attempt_count = 1

    def test_earlier_deadline_brings_both_timers_forward(self) -> None:
        self.pending.shorten_deadline(1050.0, CLOCK_OFFSET_S)

        assert self.pending.deadline == 1050.0
        self.response_timer.reschedule.assert_called_once_with(1050.0 - RESPONSE_MARGIN_S - CLOCK_OFFSET_S)
        self.attempt_timer.reschedule.assert_called_once_with(1050.0 - ATTEMPT_MARGIN_S - CLOCK_OFFSET_S)

    def test_later_deadline_changes_nothing(self) -> None:
        self.pending.shorten_deadline(1070.0, CLOCK_OFFSET_S)

        assert self.pending.deadline == DEADLINE
        self.response_timer.reschedule.assert_not_called()
        self.attempt_timer.reschedule.assert_not_called()

    def test_expired_timer_is_not_rescheduled(self) -> None:
        self.attempt_timer.expired.return_value = True

        self.pending.shorten_deadline(1050.0, CLOCK_OFFSET_S)
        self.pending.cancel_attempt(0, now=10.0)

        self.attempt_timer.reschedule.assert_not_called()
        self.response_timer.reschedule.assert_called_once()

    def test_cancelled_attempt_ends_at_once_by_its_timer(self) -> None:
        self.pending.cancel_attempt(0, now=10.0)

        self.attempt_timer.reschedule.assert_called_once_with(10.0)
        self.response_timer.reschedule.assert_not_called()

    def test_cancelling_an_earlier_attempt_does_not_end_the_current_one(self) -> None:
        self.pending.attempt_count = 2

        self.pending.cancel_attempt(0, now=10.0)

        self.attempt_timer.reschedule.assert_not_called()

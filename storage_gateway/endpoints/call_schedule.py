"""When an endpoint watch calls discovery, and which pending calls it gives up.

A call without an answer may be queued at a slow service, or lost; the caller cannot tell which. A call that
is given up early is never answered and still loads the service, but to wait for a lost one delays a change.
So a late call stays pending, another is made beside it, and the first answer ends the others ("hedged
requests"). A lost call then costs no more than the interval between calls, however slow the service is.

The intervals let a change reach the policy within ``PROPAGATION_BOUND_S`` of the moment at which discovery
has it and can be reached, if a call is answered within ``TOLERATED_RESPONSE_TIME_S``:

- the watch falls silent: the quiet timeout, a backoff, and a call, or a lost call and one answered at once;
- the watch breaks: a backoff, and a call, or a rejected one and the next;
- discovery returns after an outage in which all calls were lost: the longest interval, and a call.

The longest first backoff of many instances takes more: there, a silent watch leaves a call 2.35 s.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from storage_gateway.endpoints.backoff import MAX_MOVE_BACKOFF_S, ReconnectBackoff

PROPAGATION_BOUND_S = 6.0  # for a change to reach the policy, while discovery can be reached
TOLERATED_RESPONSE_TIME_S = 2.8
QUIET_TIMEOUT_S = 2.4  # since the last message; a working watch sends an empty one every 2 s
CALL_TIMEOUT_S = 6.0  # for an answer, while an older call is pending too
OLDEST_CALL_TIMEOUT_S = 60.0  # for the oldest call: a turn in the queue of 30 instances at 2 s a call
MAX_MOVE_INTERVAL_S = 2.4  # while moving to another address, which must not take more than 4 s

# A first interval follows the response time that the service had before, as a call made beside one that is
# only queued is wasted. With the first backoff it stays within the bound for a lost call.
RESPONSE_TIME_MARGIN = 1.25
MAX_BACKOFF_AND_FIRST_INTERVAL_S = 3.2


@dataclass(slots=True, frozen=True)
class CallIntervals:
    """Seconds from one call to the next, as long as none is answered.

    Attributes:
        first_s: from the first call after a message.
        min_s: shortest interval between later calls.
        max_s: longest interval between later calls.
    """

    first_s: float
    min_s: float
    max_s: float


SHARED_INTERVALS = CallIntervals(first_s=1.5, min_s=2.5, max_s=3.0)
LOCAL_INTERVALS = CallIntervals(first_s=1.0, min_s=1.0, max_s=1.4)  # a local agent is called at no cost


class CallSchedule:
    """The schedule of one endpoint watch. Times are seconds of one clock, which the caller reads.

    Args:
        backoff: draws the delays after a failed call, and the intervals.

    Attributes:
        next_call_at: when the next call is due; infinity while an answer is being processed.
        failures: consecutive calls that ended, or were late, before a message arrived.
        response_time_s: time that the last answered call took; None before the first answer.
    """

    def __init__(self, backoff: ReconnectBackoff) -> None:
        self.next_call_at = 0.0
        self.failures = 0
        self.response_time_s: float | None = None
        self._backoff = backoff
        self._intervals = SHARED_INTERVALS if backoff.gateway_count > 1 else LOCAL_INTERVALS
        self._calls_since_answer = 0

    def record_call(self, now: float, *, others_are_pending: bool, is_moving: bool = False) -> None:
        """Record that a call has been sent.

        Args:
            now: the current time.
            others_are_pending: whether the call is made beside others that are late.
            is_moving: whether it is to an address to which discovery is being moved.
        """
        self._calls_since_answer += 1
        self.failures += others_are_pending
        interval_s = self._interval_s()
        self.next_call_at = now + (min(interval_s, MAX_MOVE_INTERVAL_S) if is_moving else interval_s)

    def record_answer(self, response_time_s: float | None) -> None:
        """Record an answer, or a further message of a watch; no call is due until it has been processed.

        Args:
            response_time_s: seconds that the call took; None for a further message.
        """
        if response_time_s is not None:
            self.response_time_s = response_time_s
        self._calls_since_answer = 0
        self.next_call_at = math.inf

    def record_message(self, now: float) -> None:
        """Record that a message of a watch has been processed."""
        self.failures = 0
        self.next_call_at = now + QUIET_TIMEOUT_S + self._backoff.delay_s(0)

    def record_end(self, now: float, *, others_are_pending: bool, is_moving: bool = False) -> None:
        """Record that a call has failed, or that a watch has ended.

        Args:
            now: the current time.
            others_are_pending: whether other calls are; the next one is then due as before.
            is_moving: whether the call was to an address to which discovery is being moved.
        """
        delay_s = self._backoff.delay_s(self.failures)
        self.failures += 1
        if is_moving:
            delay_s = min(delay_s, MAX_MOVE_BACKOFF_S)
        if not others_are_pending:
            self.next_call_at = min(self.next_call_at, now + delay_s)

    def record_rejected_version(self, now: float) -> None:
        """Record that a watch was rejected for its version: the service works, so the list is due at once."""
        self.failures += 1
        self.next_call_at = now

    def _interval_s(self) -> float:
        if self._calls_since_answer > 1:
            return self._backoff.draw_s(self._intervals.min_s, self._intervals.max_s)
        if self._intervals is LOCAL_INTERVALS or self.response_time_s is None:
            return self._intervals.first_s
        interval_s = max(self._intervals.first_s, RESPONSE_TIME_MARGIN * self.response_time_s)
        return min(interval_s, MAX_BACKOFF_AND_FIRST_INTERVAL_S - self._backoff.max_delay_s(0))


def is_expired(waiting_s: float, *, is_oldest: bool) -> bool:
    """Return whether a call is to be given up, as it is most likely lost.

    The oldest call gets more time: a service that answers in turn answers it first, and a new call would wait
    longer.

    Args:
        waiting_s: seconds for which the call has been pending.
        is_oldest: whether no older call is pending.
    """
    return waiting_s >= (OLDEST_CALL_TIMEOUT_S if is_oldest else CALL_TIMEOUT_S)

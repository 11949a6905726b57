"""State machine of a VRRP version 3 virtual router (RFC 5798, section 6.4), without clock or socket."""

from __future__ import annotations

import ipaddress
import math
from enum import Enum

from storage_gateway.vrrp.advertisement import OWNER_PRIORITY, RELEASE_PRIORITY, Advertisement

_PRIORITY_RANGE = 256  # the divisor of the skew time (RFC 5798, section 6.1)
_MISSED_ADVERTISEMENTS = 3  # a master counts as down after missing these, plus the skew time


class RouterState(Enum):
    """The states of RFC 5798, section 6.4."""

    INITIALIZE = "initialize"
    BACKUP = "backup"
    MASTER = "master"


class VirtualRouter:
    """The participation of one gateway instance in a virtual router.

    Each event method returns the priority to advertise now, or None if nothing is to be sent. ``now`` is in
    seconds on the caller's clock.

    Attributes:
        state: the current protocol state.
        timer_due: when to call ``timer_fired`` next, in seconds on the caller's clock; infinity for never.
    """

    def __init__(self, priority: int, interval_s: float, preempt: bool, primary_address: str) -> None:
        self.state = RouterState.INITIALIZE
        self.timer_due = math.inf
        self._priority = priority
        self._interval_s = interval_s
        self._preempt = preempt
        self._primary_address = ipaddress.ip_address(primary_address)
        self._master_interval_s = interval_s

    def startup(self, now: float) -> int | None:
        """Start the protocol: the owner of the addresses as master, any other router as backup."""
        if self._priority == OWNER_PRIORITY:
            return self._become_master(now)
        self.state = RouterState.BACKUP
        self._master_interval_s = self._interval_s
        self.timer_due = now + self._master_down_interval_s()
        return None

    def shutdown(self) -> int | None:
        """Stop the protocol; a master announces it, so that a backup takes over after its skew time alone."""
        was_master = self.state is RouterState.MASTER
        self.state = RouterState.INITIALIZE
        self.timer_due = math.inf
        return RELEASE_PRIORITY if was_master else None

    def timer_fired(self, now: float) -> int | None:
        """Advertise again as master, or take over as backup; has no effect before ``timer_due``."""
        return None if now < self.timer_due else self._become_master(now)

    def advertisement_received(self, advertisement: Advertisement, source: str, now: float) -> int | None:
        """Process an advertisement for this virtual router.

        Args:
            advertisement: the received message.
            source: IP address of the sender, which breaks a tie of priorities.
            now: seconds on the caller's clock.
        """
        if self.state is RouterState.BACKUP:
            self._received_as_backup(advertisement, now)
            return None
        if self.state is RouterState.MASTER:
            return self._received_as_master(advertisement, source, now)
        return None

    def _received_as_backup(self, advertisement: Advertisement, now: float) -> None:
        if advertisement.priority == RELEASE_PRIORITY:
            self.timer_due = now + self._skew_time_s()
        elif not self._preempt or advertisement.priority >= self._priority:
            self._follow(advertisement, now)

    def _received_as_master(self, advertisement: Advertisement, source: str, now: float) -> int | None:
        if advertisement.priority == RELEASE_PRIORITY:
            return self._become_master(now)
        if self._is_outranked_by(advertisement, source):
            self._follow(advertisement, now)
        return None

    def _is_outranked_by(self, advertisement: Advertisement, source: str) -> bool:
        if advertisement.priority != self._priority:
            return advertisement.priority > self._priority
        return ipaddress.ip_address(source).packed > self._primary_address.packed

    def _become_master(self, now: float) -> int:
        """Enter or stay in the master state, and return the priority of its next advertisement."""
        self.state = RouterState.MASTER
        self.timer_due = now + self._interval_s
        return self._priority

    def _follow(self, advertisement: Advertisement, now: float) -> None:
        """Become the backup of the advertisement's sender, with its interval unless that is 0."""
        self.state = RouterState.BACKUP
        self._master_interval_s = advertisement.interval_s or self._interval_s
        self.timer_due = now + self._master_down_interval_s()

    def _skew_time_s(self) -> float:
        """Skew_Time of RFC 5798, section 6.1: the higher the priority, the sooner a backup takes over."""
        return (_PRIORITY_RANGE - self._priority) * self._master_interval_s / _PRIORITY_RANGE

    def _master_down_interval_s(self) -> float:
        """Master_Down_Interval of RFC 5798, section 6.1."""
        return _MISSED_ADVERTISEMENTS * self._master_interval_s + self._skew_time_s()

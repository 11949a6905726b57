"""Tests of the virtual router state machine, with times calculated by hand."""

from __future__ import annotations

import unittest

from storage_gateway.vrrp.advertisement import Advertisement
from storage_gateway.vrrp.router import RouterState, VirtualRouter


def make_advertisement(priority: int, interval_s: float = 1.0) -> Advertisement:
    """Build an advertisement of virtual router 1."""
    return Advertisement(1, priority, interval_s, ("10.0.0.9",))


class VirtualRouterTest(unittest.TestCase):
    """The transitions of RFC 5798, section 6.4, that a gateway relies on."""

    def make_backup(self, priority: int = 128, preempt: bool = True) -> VirtualRouter:
        """Start a router that does not own the addresses, at time 100."""
        router = VirtualRouter(priority, 1.0, preempt, "10.0.0.2")
        assert router.startup(100.0) is None
        return router

    def test_backup_takes_over_after_three_intervals_and_its_skew_time(self) -> None:
        router = self.make_backup()  # skew time (256 - 128) / 256 = 0.5
        assert (router.state, router.timer_due) == (RouterState.BACKUP, 103.5)
        assert router.advertisement_received(make_advertisement(200), "10.0.0.1", 102.0) is None
        assert router.timer_due == 105.5
        assert router.timer_fired(105.4) is None
        assert router.timer_fired(105.5) == 128
        assert (router.state, router.timer_due) == (RouterState.MASTER, 106.5)

    def test_owner_is_master_at_once_and_announces_its_shutdown(self) -> None:
        router = VirtualRouter(255, 1.0, True, "10.0.0.2")
        assert router.startup(100.0) == 255
        assert router.shutdown() == 0
        assert router.state == RouterState.INITIALIZE

    def test_backup_shuts_down_without_an_advertisement(self) -> None:
        router = self.make_backup()
        assert router.shutdown() is None
        assert (router.state, router.timer_due) == (RouterState.INITIALIZE, float("inf"))

    def test_master_that_leaves_is_replaced_after_the_skew_time_alone(self) -> None:
        router = self.make_backup()
        router.advertisement_received(make_advertisement(0), "10.0.0.1", 101.0)
        assert router.timer_due == 101.5

    def test_master_advertises_at_once_when_another_master_leaves(self) -> None:
        router = self.make_backup()
        router.timer_fired(103.5)
        assert router.advertisement_received(make_advertisement(0), "10.0.0.1", 104.0) == 128
        assert (router.state, router.timer_due) == (RouterState.MASTER, 105.0)

    def test_backup_preempts_a_master_of_lower_priority_where_configured(self) -> None:
        for preempt, timer_due in ((True, 103.5), (False, 105.5)):
            router = self.make_backup(preempt=preempt)
            router.advertisement_received(make_advertisement(100), "10.0.0.1", 102.0)
            assert router.timer_due == timer_due

    def test_of_two_masters_the_higher_priority_wins_then_the_higher_address(self) -> None:
        cases = (
            (100, "10.0.0.9", True),
            (200, "10.0.0.1", False),
            (128, "10.0.0.1", True),
            (128, "10.0.0.10", False),
        )
        for priority, source, stays_master in cases:
            router = self.make_backup()
            router.timer_fired(103.5)
            router.advertisement_received(make_advertisement(priority), source, 104.0)
            assert (router.state is RouterState.MASTER) == stays_master, (priority, source)

    def test_backup_uses_the_interval_of_its_master(self) -> None:
        router = self.make_backup()
        router.advertisement_received(make_advertisement(200, 2.0), "10.0.0.1", 102.0)
        assert router.timer_due == 102.0 + 6.0 + 1.0

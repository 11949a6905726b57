"""Tests of what many instances together send to a warming node."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import pytest

from storage_gateway import policy_api as api
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)

START = 200.0
UNITS = 2.0
MIN_SHARE = 0.15
SLOW_START_WINDOW_S = 17.0
MULTIPLE = 2.0
OVERLOAD_WINDOW_S = 1.0
WARMING = 99  # shard and node that have just started
SAFETY = {
    "slow_start_min_share": MIN_SHARE,
    "slow_start_window_s": SLOW_START_WINDOW_S,
    "overload_multiple": MULTIPLE,
    "overload_window_s": OVERLOAD_WINDOW_S,
}


def allowed_requests(age: float, unit_time_s: float) -> float:
    """Return the requests that a node of one core may get in an overload window that ends at this age."""
    share = MIN_SHARE + (1 - MIN_SHARE) * max(0.0, age - OVERLOAD_WINDOW_S) / SLOW_START_WINDOW_S
    return MULTIPLE * share * OVERLOAD_WINDOW_S / (unit_time_s * UNITS)


@dataclass
class Fleet:
    """Instances that share a node that has just started; responses take ``unit_time_s`` for each unit."""

    unit_time_s: float
    drivers: list[PolicyDriver]
    shards: list[int]
    send_ages: list[float] = field(default_factory=list)  # ages of the warming node when it got an attempt
    request_count: int = 0

    @classmethod
    def of(cls, count: int, seed: int, unit_time_s: float, shards: int = 1, warmup_s: float = 0.0) -> Fleet:
        """Create a fleet after a restart of the node of its last shard.

        Before, each instance has had two requests a second for ``warmup_s`` seconds, for the shards in turn.
        """
        listed = [*range(1, shards), WARMING]
        nodes = [make_endpoint_entry(shard, shard) for shard in listed]
        fleet = cls(unit_time_s, [], listed)
        for number in range(count):
            settings = make_settings(
                [make_request_class(latency_objective_s=2.0)],
                [make_plan(reserved_rate=0.0, expected_rate=800.0)],
                SAFETY,
                gateway_count=count,
                seed=1000 * seed + number,
                slow_start_units=2.0,
                mean_request_units=UNITS,
            )
            fleet.drivers.append(PolicyDriver(settings, nodes, START - warmup_s))
        fleet.play(-warmup_s, 0.0, interval_s=0.5)
        fleet.send_ages.clear()
        restarted = make_endpoint_entry(WARMING, WARMING, started_at=START)
        for driver in fleet.drivers:
            driver.now = START
            driver.step(api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [restarted]))
        return fleet

    def play(self, age: float, end: float, interval_s: float) -> None:
        """Submit a request to every instance each ``interval_s`` seconds; the shards follow in turn."""
        while age < end:
            age += interval_s
            for number, driver in enumerate(self.drivers):
                self.request_count += 1
                shard = self.shards[(self.request_count // len(self.drivers) + number) % len(self.shards)]
                driver.now = START + age
                volume_id = 2 + self.request_count % 7
                driver.submit(f"a{self.request_count}", shard=shard, volume_id=volume_id, units=UNITS)
                assert driver.policy.state.timers.next_at() > driver.now, "a timer would fire again and again"
                self.send_ages += [age] * driver.attempts_in_flight(WARMING)
                driver.end_all_attempts(self.unit_time_s * UNITS)

    def max_excess(self) -> float:
        """Return the largest excess of a window's requests over the allowed ones and a margin for chance."""
        excess = -math.inf
        for window_start in self.send_ages:
            sent = sum(window_start <= age < window_start + OVERLOAD_WINDOW_S for age in self.send_ages)
            allowed = allowed_requests(window_start + OVERLOAD_WINDOW_S, self.unit_time_s)
            excess = max(excess, sent - (allowed + 2 * math.sqrt(allowed) + 2))
        return excess


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("unit_time_s", [0.01, 0.05, 0.15])
def test_thirty_instances_under_overload_do_not_overload_a_warming_node(
    unit_time_s: float, seed: int
) -> None:
    fleet = Fleet.of(30, seed, unit_time_s)
    fleet.play(0.0, 6.0, interval_s=0.1)
    assert fleet.send_ages
    assert fleet.max_excess() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("idle_s", [3.0, 8.0])
@pytest.mark.parametrize(("shards", "warmup_s", "interval_s"), [(1, 0.0, 0.05), (6, 20.0, 0.17)])
def test_idle_time_of_thirty_instances_does_not_add_up_to_a_burst(
    shards: int, warmup_s: float, interval_s: float, idle_s: float, seed: int
) -> None:
    fleet = Fleet.of(30, seed, 0.05, shards, warmup_s)
    fleet.play(idle_s, idle_s + 2.0, interval_s)
    assert fleet.send_ages
    assert fleet.max_excess() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("unit_time_s", [0.02, 0.05])
def test_three_times_the_traffic_on_all_shards_does_not_overload_a_warming_node(
    unit_time_s: float, seed: int
) -> None:
    fleet = Fleet.of(30, seed, unit_time_s, shards=6, warmup_s=20.0)
    fleet.play(0.0, 2.0, interval_s=0.5)
    fleet.play(2.0, 5.0, interval_s=0.17)
    assert fleet.send_ages
    assert fleet.max_excess() <= 0


@pytest.mark.parametrize("count", [5, 100])
def test_small_and_large_fleets_do_not_overload_a_warming_node(count: int) -> None:
    fleet = Fleet.of(count, 1, 0.05)
    fleet.play(0.0, 4.0, interval_s=0.1)
    assert fleet.send_ages
    assert fleet.max_excess() <= 0


@pytest.mark.parametrize("count", [30, 200])
def test_rare_requests_of_many_instances_are_sent_if_the_node_withstands_them(count: int) -> None:
    """Each instance has requests so rarely that an equal share alone would hardly ever admit one."""
    fleet = Fleet.of(count, 1, 0.2 / count, shards=10, warmup_s=20.0)
    request_count = fleet.request_count
    fleet.play(0.0, 10.0, interval_s=0.5)
    assert len(fleet.send_ages) >= 0.6 * (fleet.request_count - request_count) / 10
    assert fleet.max_excess() <= 0


def test_fleet_under_overload_uses_a_good_part_of_what_the_node_withstands() -> None:
    sent = []
    for seed in (1, 2, 3):
        fleet = Fleet.of(30, seed, 0.02, shards=3, warmup_s=20.0)
        fleet.play(0.0, 8.0, interval_s=0.2)
        sent.append(len(fleet.send_ages))
    allowed = sum(allowed_requests(1.0 + age, 0.02) for age in range(8))
    assert 0.4 * allowed <= sum(sent) / 3 <= allowed

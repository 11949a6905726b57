"""A warming node under the sum of what many instances send it."""

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
WARMING = 99  # the shard and the node that start anew
SAFETY = {
    "slow_start_min_share": MIN_SHARE,
    "slow_start_window_s": SLOW_START_WINDOW_S,
    "overload_multiple": MULTIPLE,
    "overload_window_s": OVERLOAD_WINDOW_S,
}


def withstood(age: float, unit_time_s: float) -> float:
    """Requests that the settings allow a node of one core in a window that ends at this age."""
    share = MIN_SHARE + (1 - MIN_SHARE) * max(0.0, age - OVERLOAD_WINDOW_S) / SLOW_START_WINDOW_S
    return MULTIPLE * share * OVERLOAD_WINDOW_S / (unit_time_s * UNITS)


@dataclass
class Fleet:
    """Instances that share a node that has just started; an answer takes ``unit_time_s`` for each unit."""

    unit_time_s: float
    drivers: list[PolicyDriver]
    shards: list[int]
    sends: list[float] = field(default_factory=list)  # ages at which one was sent to the warming node
    asked: int = 0

    @classmethod
    def of(cls, count: int, seed: int, unit_time_s: float, shards: int = 1, before: float = 0.0) -> Fleet:
        """Make a fleet whose last shard's node has just started anew.

        Each instance has had requests for ``before`` seconds, twice a second, for one shard after the other.
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
            fleet.drivers.append(PolicyDriver(settings, nodes, START - before))
        fleet.play(-before, 0.0, every=0.5)
        fleet.sends.clear()
        restarted = make_endpoint_entry(WARMING, WARMING, started_at=START)
        for driver in fleet.drivers:
            driver.now = START
            driver.step(api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [restarted]))
        return fleet

    def play(self, age: float, end: float, every: float) -> None:
        """Let each instance have a request every so often, all at the same moments, by turns that differ."""
        while age < end:
            age += every
            for number, driver in enumerate(self.drivers):
                self.asked += 1
                shard = self.shards[(self.asked // len(self.drivers) + number) % len(self.shards)]
                driver.now = START + age
                volume_id = 2 + self.asked % 7
                driver.submit(f"a{self.asked}", shard=shard, volume_id=volume_id, units=UNITS)
                assert driver.policy.state.timers.next_at() > driver.now, "a timer would fire on and on"
                self.sends += [age] * driver.attempts_in_flight(WARMING)
                driver.end_all_attempts(self.unit_time_s * UNITS)

    def worst(self) -> float:
        """Return by how much a window's sends went at most over what is withstood, with room for chance."""
        found = -math.inf
        for first in self.sends:
            sent = sum(first <= age < first + OVERLOAD_WINDOW_S for age in self.sends)
            allowed = withstood(first + OVERLOAD_WINDOW_S, self.unit_time_s)
            found = max(found, sent - (allowed + 2 * math.sqrt(allowed) + 2))
        return found


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("unit_time_s", [0.01, 0.05, 0.15])
def test_thirty_instances_that_are_asked_for_far_more_send_a_warming_node_no_more_than_it_withstands(
    unit_time_s: float, seed: int
) -> None:
    fleet = Fleet.of(30, seed, unit_time_s)
    fleet.play(0.0, 6.0, every=0.1)
    assert fleet.sends
    assert fleet.worst() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("quiet", [3.0, 8.0])
@pytest.mark.parametrize(("shards", "before", "every"), [(1, 0.0, 0.05), (6, 20.0, 0.17)])
def test_what_thirty_instances_did_not_send_while_nothing_came_adds_up_to_no_burst(
    shards: int, before: float, every: float, quiet: float, seed: int
) -> None:
    fleet = Fleet.of(30, seed, 0.05, shards, before)
    fleet.play(quiet, quiet + 2.0, every)
    assert fleet.sends
    assert fleet.worst() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("unit_time_s", [0.02, 0.05])
def test_three_times_the_traffic_on_all_shards_does_not_push_a_warming_node_over(
    unit_time_s: float, seed: int
) -> None:
    fleet = Fleet.of(30, seed, unit_time_s, shards=6, before=20.0)
    fleet.play(0.0, 2.0, every=0.5)
    fleet.play(2.0, 5.0, every=0.17)
    assert fleet.sends
    assert fleet.worst() <= 0


@pytest.mark.parametrize("count", [5, 100])
def test_it_holds_for_any_fleet(count: int) -> None:
    fleet = Fleet.of(count, 1, 0.05)
    fleet.play(0.0, 4.0, every=0.1)
    assert fleet.sends
    assert fleet.worst() <= 0


@pytest.mark.parametrize("count", [30, 200])
def test_the_rare_requests_of_many_instances_go_where_the_node_withstands_them_all(count: int) -> None:
    """Each instance has requests so rarely that an even part for it alone would hardly ever be there."""
    fleet = Fleet.of(count, 1, 0.2 / count, shards=10, before=20.0)
    asked = fleet.asked
    fleet.play(0.0, 10.0, every=0.5)
    assert len(fleet.sends) >= 0.6 * (fleet.asked - asked) / 10
    assert fleet.worst() <= 0


def test_a_fleet_that_is_asked_for_more_sends_a_good_part_of_what_the_node_withstands() -> None:
    sent = []
    for seed in (1, 2, 3):
        fleet = Fleet.of(30, seed, 0.02, shards=3, before=20.0)
        fleet.play(0.0, 8.0, every=0.2)
        sent.append(len(fleet.sends))
    allowed = sum(withstood(1.0 + age, 0.02) for age in range(8))
    assert 0.4 * allowed <= sum(sent) / 3 <= allowed

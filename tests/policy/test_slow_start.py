"""A cold node under the sum of what many hosts send: the ramp holds for the fleet, and is made use of."""

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

START, UNITS, COLD_FROM, RAMP, MULTIPLE, WINDOW = 200.0, 2.0, 0.15, 17.0, 2.0, 1.0
COLD = 99  # the cell and the node that start anew


def borne(age: float, pace: float) -> float:
    """Requests that the settings allow a node of one core in a window that ends at this age."""
    share = COLD_FROM + (1 - COLD_FROM) * max(0.0, age - WINDOW) / RAMP
    return MULTIPLE * share * WINDOW / (pace * UNITS)


@dataclass
class Fleet:
    """Hosts that share one node that has just started; each answer takes what its units do at ``pace``."""

    pace: float
    hosts: list[PolicyDriver]
    cells: list[int]
    sends: list[float] = field(default_factory=list)  # ages at which one was sent to the cold node
    asked: int = 0

    @classmethod
    def of(cls, count: int, seed: int, pace: float, cells: int = 1, before: float = 0.0) -> Fleet:
        """Each host has been asked for so many seconds, twice a second, for one cell after the other; then
        the last cell's node starts anew.
        """
        safety = {
            "slow_start_min_share": COLD_FROM,
            "slow_start_window_s": RAMP,
            "overload_multiple": MULTIPLE,
            "overload_window_s": WINDOW,
        }
        nodes = [make_endpoint_entry(cell, cell) for cell in [*range(1, cells), COLD]]
        fleet = cls(pace, [], [*range(1, cells), COLD])
        for number in range(count):
            facts = make_settings(
                [make_request_class(latency_objective_s=2.0)],
                [make_plan(reserved_rate=0.0, expected_rate=800.0)],
                safety,
                gateway_count=count,
                seed=1000 * seed + number,
                slow_start_units=2.0,
                mean_request_units=UNITS,
            )
            fleet.hosts.append(PolicyDriver(facts, nodes, START - before))
        fleet.play(-before, 0.0, every=0.5)
        fleet.sends.clear()
        for host in fleet.hosts:
            host.now = START
            host.step(
                api.EndpointsChanged(
                    api.EndpointUpdateKind.DELTA, [make_endpoint_entry(COLD, COLD, started_at=START)]
                )
            )
        return fleet

    def play(self, age: float, end: float, every: float) -> None:
        """Each host is asked so often, at the same moments, for a cell by turns that differ."""
        while age < end:
            age += every
            for number, host in enumerate(self.hosts):
                self.asked += 1
                cell = self.cells[(self.asked // len(self.hosts) + number) % len(self.cells)]
                host.now = START + age
                host.step(
                    host.arrival(f"a{self.asked}", shard=cell, volume_id=2 + self.asked % 7, units=UNITS)
                )
                assert host.policy.agenda.next_at() > host.now, "it would wake up at once, again and again"
                for name in [name for name, held in host.policy.requests.items() if held.out]:
                    node = next(iter(host.policy.requests[name].out.values()))[0].id
                    self.sends += [age] * (node == COLD)
                    host.end(name, api.AttemptOutcome.SERVED, node=node, elapsed_s=self.pace * UNITS)

    def worst(self) -> float:
        """The most by which a window's sends went over what is borne and put down to chance."""
        found = -math.inf
        for first in self.sends:
            sent = sum(first <= age < first + WINDOW for age in self.sends)
            allowed = borne(first + WINDOW, self.pace)
            found = max(found, sent - (allowed + 2 * math.sqrt(allowed) + 2))
        return found


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("pace", [0.01, 0.05, 0.15])
def test_thirty_hosts_that_are_asked_for_far_more_send_a_cold_node_no_more_than_it_bears(
    pace: float, seed: int
) -> None:
    fleet = Fleet.of(30, seed, pace)
    fleet.play(0.0, 6.0, every=0.1)
    assert fleet.sends
    assert fleet.worst() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("quiet", [3.0, 8.0])
@pytest.mark.parametrize(("cells", "before", "every"), [(1, 0.0, 0.05), (6, 20.0, 0.17)])
def test_what_thirty_hosts_did_not_send_while_nothing_came_adds_up_to_no_burst(
    cells: int, before: float, every: float, quiet: float, seed: int
) -> None:
    fleet = Fleet.of(30, seed, 0.05, cells, before)
    fleet.play(quiet, quiet + 2.0, every)
    assert fleet.sends
    assert fleet.worst() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("pace", [0.02, 0.05])
def test_three_times_the_traffic_on_all_cells_does_not_push_a_cold_node_over(pace: float, seed: int) -> None:
    fleet = Fleet.of(30, seed, pace, cells=6, before=20.0)
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
def test_the_rare_requests_of_many_hosts_go_where_the_node_bears_them_all(count: int) -> None:
    """Each host is asked for the cell so rarely that an even part for it alone would hardly ever be there."""
    fleet = Fleet.of(count, 1, 0.2 / count, cells=10, before=20.0)
    asked = fleet.asked
    fleet.play(0.0, 10.0, every=0.5)
    assert len(fleet.sends) >= 0.6 * (fleet.asked - asked) / 10
    assert fleet.worst() <= 0


def test_a_fleet_that_is_asked_for_more_sends_a_good_part_of_what_the_node_bears() -> None:
    sent = []
    for seed in (1, 2, 3):
        fleet = Fleet.of(30, seed, 0.02, cells=3, before=20.0)
        fleet.play(0.0, 8.0, every=0.2)
        sent.append(len(fleet.sends))
    bearable = sum(borne(1.0 + age, 0.02) for age in range(8))
    assert 0.4 * bearable <= sum(sent) / 3 <= bearable


def test_what_is_inside_its_reserve_has_the_cold_node_s_part_first() -> None:
    sent = {1: 0, 2: 0}  # by volume: one inside its reserve, one beyond any
    for seed in range(40):
        plans = [
            make_plan(reserved_rate=100.0, expected_rate=800.0),
            make_plan(reserved_rate=0.0, expected_rate=800.0),
        ]
        facts = make_settings(
            [make_request_class(latency_objective_s=2.0)],
            plans,
            gateway_count=4,
            seed=seed,
            slow_start_units=8.0,
            mean_request_units=UNITS,
        )
        host = PolicyDriver(facts, [make_endpoint_entry(COLD, COLD, started_at=START)], START)
        for turn in range(40):
            for plan_index in (0, 1):
                name = f"r{turn}-{plan_index}"
                host.ask(name, shard=COLD, plan_index=plan_index, volume_id=1 + plan_index, units=UNITS)
                if name in host.sent():
                    sent[1 + plan_index] += 1
                    host.end(name, api.AttemptOutcome.SERVED, node=COLD, elapsed_s=0.1)
            host.now += 0.1
    assert sent[1] > 3 * sent[2]


def test_a_request_that_is_passed_over_is_given_up_once_and_at_once() -> None:
    host = PolicyDriver(
        make_settings(slow_start_units=1e-9, max_retry_after_s=0.5),
        [make_endpoint_entry(1, 1, started_at=99.9)],
    )
    assert host.ask("a") == [api.RejectRequest("a", 0.5)]
    figures = host.policy.status_fields()
    assert (figures["given_up_cold_due"], figures["held"]) == (1, 0)

"""Legal but odd input: each has a defined effect, and none raises."""

from dataclasses import replace

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy_api import AttemptOutcome
from storage_gateway.simulator_adapter import read_entry, read_settings
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)


@pytest.mark.parametrize("hosts", [0, 1])
def test_no_host_counts_as_one(hosts: int) -> None:
    host = PolicyDriver(make_settings(gateway_count=hosts), [make_endpoint_entry(1, 1, started_at=99.9)])
    host.ask("a")
    host.run_until(101.9)
    assert host.sent() == ["a"]


@pytest.mark.parametrize("hosts", [0, -1, 99])
def test_a_volume_has_between_one_and_all_hosts(hosts: int) -> None:
    host = PolicyDriver(make_settings(gateway_count=4), [make_endpoint_entry(1, 1)])
    host.ask("a", gateway_count=hosts)
    assert host.policy.requests["a"].hosts == (4 if hosts == 99 else 1)


def test_a_request_of_no_units_is_served() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.ask("a", units=0.0)
    host.end("a", AttemptOutcome.SERVED)
    assert host.sent() == ["a"]
    assert not host.policy.requests


def test_a_node_without_a_cell_takes_new_objects_only() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, -1)])
    host.step(host.arrival("new", shard=-1), host.arrival("old", shard=5))
    assert host.sent() == ["new"]
    host.end("new", AttemptOutcome.SERVED)
    assert read_entry({"Shelf": 3, "StageState": "live"}).shard == -1


def test_a_node_listed_twice_stands_as_named_last() -> None:
    host = PolicyDriver(
        make_settings(), [make_endpoint_entry(1, 1), make_endpoint_entry(1, 1, api.EndpointState.DRAINING)]
    )
    host.ask("a")
    assert host.sent() == []


def test_an_outcome_for_an_unknown_attempt_changes_nothing() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.ask("a")
    odd = api.AttemptEnded("a", 7, 1, AttemptOutcome.ERROR, 0.1, False)
    assert host.step(odd, replace(odd, request_id="never")) == []
    host.end("a", AttemptOutcome.SERVED)
    assert not host.policy.requests


def test_what_can_earn_nothing_is_not_sent_but_answered() -> None:
    config = make_settings(
        [make_request_class(late_value=0.0)], [make_plan(reserved_rate=0.0)], excess_value=0.0
    )
    host = PolicyDriver(config, [make_endpoint_entry(1, 1)])
    assert host.ask("a") == [api.RejectRequest("a")]


def test_absent_and_null_settings_mean_no_such_figure() -> None:
    lane = {"AimS": 0.5, "Worth": 1.0, "Repeat": "repeatable", "Later": 3}
    facts = {
        "Lanes": [lane],
        "Contracts": [{"WorthFactor": 1.0, "Proportion": 1.0, "Limit": None}],
        "Safety": None,
        "PolicyLimits": {"SendCap": 3, "Cancel": None},
        "New": {},
    }
    host = PolicyDriver(read_settings(facts, 1), [make_endpoint_entry(1, 1, started_at=99.0)])
    host.ask("a")
    host.run_until(102.0)
    assert [action for action in host.log if isinstance(action, api.RejectRequest)] == [
        api.RejectRequest("a")
    ]

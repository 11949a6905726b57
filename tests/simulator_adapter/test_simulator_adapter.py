"""The simulator adapter: framing, invalid input, faults of a policy, start and stop of instances."""

from __future__ import annotations

import io
import json
import subprocess
import sys
import unittest
from typing import Any
from unittest import mock

import pytest

from storage_gateway import simulator_adapter
from storage_gateway.policy.policy import Policy
from storage_gateway.simulator_adapter import SimulatorAdapter
from tests.support.project import ROOT

SETTINGS: dict[str, Any] = {
    "Contracts": [
        {
            "BaseRate": 4.0,
            "FloorRate": 2.0,
            "Limit": 0.0,
            "LimitBurst": 0.0,
            "Proportion": 1.0,
            "WorthFactor": 1.0,
        }
    ],
    "Discovery": "automatic",
    "Extra": {
        "BeyondShare": 0.1,
        "ColdUnits": 9.0,
        "MeanUnits": 2.0,
        "Largest": 6,
        "MeterPeriodS": 0.0,
        "SaysOthers": False,
        "WithinShare": 0.3,
    },
    "Lanes": [
        {
            "AimS": 0.5,
            "DedupScope": "all",
            "LateShare": 0.1,
            "MemorySpanS": 5.0,
            "Repeat": "once",
            "Worth": 2.0,
        }
    ],
    "PolicyLimits": {"Cancel": True, "ParallelTries": False, "SendCap": 3},
    "Safety": {"ColdFrom": 0.2, "RampTimeS": 9.0, "TipAfterS": 1.0, "TipMultiple": 2.0},
    "Siblings": 2,
    "UnknownKey": {"inner": 1},
}
ENDPOINT = {"Pack": 0, "UpSinceS": None, "Shelf": 11, "Area": 0, "StageState": "live", "Scale": 1}


def make_start_events(instance: int = 0) -> list[dict[str, Any]]:
    return [
        {"type": "CATALOG", "Slot": 0, "Elements": [ENDPOINT]},
        {"type": "BORN", "Head": instance, "RngSeed": 1, "Facts": SETTINGS},
        {"type": "ROSTER_CHANGE", "Head": instance, "Slot": 0, "Revision": 1, "Mode": "warm_copy"},
    ]


def make_request_event(request_id: str, instance: int = 0) -> dict[str, Any]:
    return {
        "type": "REQ",
        "Head": instance,
        "Req": request_id,
        "Contract": 0,
        "Profile": 0,
        "Item": 1,
        "Placement": 0,
        "StoreUser": 4,
        "DeadlineS": 9.0,
        "NHosts": 1,
        "CostUnits": 2,
        "News": "unknown",
    }


def make_batch(round_number: int, events: list[dict[str, Any]], now: float = 5.0) -> str:
    return json.dumps({"TsS": now, "round": round_number, "news": events})


def get_steps(adapter: SimulatorAdapter, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the actions that the adapter replies with to a batch, without those that set timers."""
    reply = adapter.process_batch(make_batch(1, events))
    return [step for step in reply["steps"] if step["type"] != "TIMER"]


class SimulatorAdapterTest(unittest.TestCase):
    """Replies to batches, for one instance or several."""

    def setUp(self) -> None:
        self.adapter = SimulatorAdapter()

    def test_request_is_routed_with_unknown_keys_ignored(self) -> None:
        steps = get_steps(self.adapter, [*make_start_events(), make_request_event("a")])

        assert steps == [{"type": "ROUTE", "Head": 0, "Req": "a", "Shelf": 11}]

    def test_a_batch_of_several_megabytes_is_processed(self) -> None:
        requests = [make_request_event(f"r{number}") for number in range(8000)]

        steps = get_steps(self.adapter, [*make_start_events(), *requests])

        assert 1 <= len(steps) <= 8

    def test_a_stopped_instance_takes_no_action_and_a_restarted_one_has_no_state(self) -> None:
        get_steps(self.adapter, [*make_start_events(), make_request_event("a")])
        shutdown = {"type": "SHUTDOWN", "Head": 0}

        steps = get_steps(
            self.adapter,
            [make_request_event("b"), shutdown, *make_start_events(), make_request_event("c")],
        )

        assert [step["Req"] for step in steps] == ["c"]
        assert get_steps(self.adapter, [shutdown, make_request_event("d")]) == []

    def test_instances_share_nothing(self) -> None:
        steps = get_steps(
            self.adapter,
            [
                *make_start_events(0),
                *make_start_events(1),
                make_request_event("a", 0),
                make_request_event("b", 1),
            ],
        )

        assert steps == [
            {"type": "ROUTE", "Head": 0, "Req": "a", "Shelf": 11},
            {"type": "ROUTE", "Head": 1, "Req": "b", "Shelf": 11},
        ]

    def test_a_fault_of_the_policy_is_reported_with_its_message(self) -> None:
        with mock.patch.object(Policy, "step", side_effect=RuntimeError("out of slots")):
            steps = get_steps(self.adapter, make_start_events())

        assert steps == [{"type": "INTERNAL_ERROR", "Head": 0, "Msg": "RuntimeError: out of slots"}]


class ServeTest(unittest.TestCase):
    """The streams of batches and replies."""

    def test_empty_batches_get_replies_until_the_end_of_input(self) -> None:
        output = io.StringIO()

        simulator_adapter.serve(io.StringIO(make_batch(1, []) + "\n" + make_batch(2, []) + "\n"), output)

        assert [json.loads(line) for line in output.getvalue().splitlines()] == [
            {"round": 1, "steps": []},
            {"round": 2, "steps": []},
        ]


@pytest.mark.parametrize(
    "line",
    [
        "not json",
        "[]",
        '{"TsS":1}',
        '{"TsS":1,"round":1,"news":[{"type":"UNKNOWN","Head":0}]}',
        '{"TsS":1,"round":1,',
    ],
)
def test_malformed_line_ends_the_process_with_a_one_line_message(line: str) -> None:
    command = [sys.executable, "-B", "-m", "storage_gateway.simulator_adapter"]

    result = subprocess.run(command, cwd=ROOT, input=line + "\n", capture_output=True, text=True)

    assert result.returncode == 2
    assert result.stdout == ""
    assert result.stderr.startswith("simulator_adapter: ")
    assert result.stderr.count("\n") == 1

"""Bad settings end the start with one line that names the key; at SIGHUP they change nothing."""

from __future__ import annotations

import json
import math
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest

from storage_gateway.config import read_configuration
from storage_gateway.endpoints.codec import decode_endpoint_update
from storage_gateway.errors import ConfigurationError, ProtocolError
from storage_gateway.policy import Policy
from tests.support.peers import SETTINGS

ABSENT = object()


def configured(folder: Path, *path: str | int, value: Any) -> Any:
    """Reads a good configuration in which one value is another; ABSENT takes it out."""
    good = {"name": "n", "listen": "h:1", "discovery": "h:2", "settings": deepcopy(SETTINGS)}
    here: Any = good
    for key in path[:-1]:
        here = here[key] if isinstance(key, int) else here.setdefault(key, {})
    if value is ABSENT:
        del here[path[-1]]
    else:
        here[path[-1]] = value
    file = folder / "config.json"
    file.write_text(json.dumps(good))
    return read_configuration({"RELAY_CONFIG": str(file)})


LANE, PLAN = ("settings", "Lanes", 0), ("settings", "Contracts", 0)
SAFETY, EXTRA, LIMITS = ("settings", "Safety"), ("settings", "Extra"), ("settings", "PolicyLimits")


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        (("settings", "Lanes"), [], "settings.Lanes"),
        (("settings", "Lanes"), {"Name": "tea"}, "settings.Lanes"),
        (("settings", "Contracts"), [], "settings.Contracts"),
        (("settings", "Contracts"), ABSENT, "settings.Contracts"),
        ((*LANE, "AimS"), 0, "settings.Lanes[0].AimS"),
        ((*LANE, "AimS"), -1, "settings.Lanes[0].AimS"),
        ((*LANE, "AimS"), math.nan, "settings.Lanes[0].AimS"),
        ((*LANE, "AimS"), 10**400, "settings.Lanes[0].AimS"),
        ((*LANE, "GiveUpS"), 0, "settings.Lanes[0].GiveUpS"),
        ((*LANE, "Worth"), -3, "settings.Lanes[0].Worth"),
        ((*LANE, "Repeat"), "twice", "settings.Lanes[0].Repeat"),
        ((*LANE, "DedupScope"), "rack", "settings.Lanes[0].DedupScope"),
        ((*LANE, "MemorySpanS"), "long", "settings.Lanes[0].MemorySpanS"),
        (("settings", "Lanes", 1, "Name"), "tile-read", "settings.Lanes[1].Name"),
        ((*PLAN, "Limit"), -1, "settings.Contracts[0].Limit"),
        ((*PLAN, "Proportion"), math.inf, "settings.Contracts[0].Proportion"),
        ((*PLAN, "Name"), 7, "settings.Contracts[0].Name"),
        ((*SAFETY, "RampTimeS"), 17.0, "settings.Safety.TipAfterS"),
        ((*SAFETY, "LookBackS"), [], "settings.Safety.LookBackS"),
        ((*EXTRA, "ChangesData"), [False], "settings.Extra.ChangesData"),
        ((*EXTRA, "ChangesData"), "no", "settings.Extra.ChangesData"),
        ((*EXTRA, "Shards"), -1, "settings.Extra.Shards"),
        (("settings", "Areas"), [[]], "settings.Areas"),
        (("settings", "Siblings"), 2.5, "settings.Siblings"),
        ((*LIMITS, "SendCap"), 0, "settings.PolicyLimits.SendCap"),
        ((*LIMITS, "DialTimeoutS"), -0.25, "settings.PolicyLimits.DialTimeoutS"),
        ((*LIMITS, "IdleCloseS"), 0, "settings.PolicyLimits.IdleCloseS"),
        ((*LIMITS, "Cancel"), "yes", "settings.PolicyLimits.Cancel"),
        (("limits", "sockets"), 3, "limits.sockets"),
        (("listen",), "h:" + "9" * 5000, "listen"),
        (("discovery",), "h:70000", "discovery"),
        (("seed",), 255, "seed"),
        (("settings",), [], "settings"),
    ],
)
def test_a_bad_value_is_named_by_its_key(tmp_path: Path, path: Any, value: Any, key: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        configured(tmp_path, *path, value=value)
    assert str(caught.value).startswith(f"{key}: ")
    assert "\n" not in str(caught.value)


def test_a_file_that_is_nested_without_end_is_no_traceback(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("[" * 200_000)
    with pytest.raises(ConfigurationError, match=r"^RELAY_CONFIG: "):
        read_configuration({"RELAY_CONFIG": str(path)})


def test_classes_of_another_customer_need_nothing_but_their_settings(tmp_path: Path) -> None:
    lanes = [
        {"Name": "a", "AimS": 9.0, "GiveUpS": 20.0, "Repeat": "once", "Worth": 0.0},
        {"Name": "b", "AimS": 0.01, "GiveUpS": 0.02, "Repeat": "by_key", "DedupScope": "cell", "Worth": 7.0},
    ]
    found = configured(tmp_path, "settings", "Lanes", value=lanes)
    assert (found.class_indexes, found.client_timeouts_s) == ({"a": 0, "b": 1}, [20.0, 0.02])
    assert Policy(found.settings).step(0.0, []) == []


@pytest.mark.parametrize(
    "text",
    [
        "[" * 200_000,
        '{"generation": 1, "instances": [{"instanceId": "a", "hostPort": "h:%s", "lifecycle": "SERVING"}]}'
        % ("9" * 5000),
        '{"generation": 1, "instances": [{"instanceId": "a", "hostPort": "h:9", "lifecycle": "SERVING",'
        ' "startedAtMs": NaN}]}',
        '{"generation": 1, "instances": [{"instanceId": "a", "hostPort": "h:9", "lifecycle": "SERVING",'
        ' "startedAtMs": 1e300}]}',
    ],
)
def test_a_list_of_discovery_that_cannot_be_taken_is_one_kind_of_fault(text: str) -> None:
    with pytest.raises(ProtocolError):
        decode_endpoint_update(text)

"""Reading the configuration file and the environment variables; each error names the faulty key."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import pytest

from storage_gateway.config import Address, read_configuration
from storage_gateway.errors import ConfigurationError
from storage_gateway.policy import Policy
from tests.support.configuration import SETTINGS
from tests.support.configuration_files import (
    ABSENT,
    CLASS,
    EXTRA,
    LIMITS,
    PLAN,
    Keys,
    make_file_values,
    read_changed,
)


class ReadConfigurationTest(unittest.TestCase):
    """Errors in several tables of the file."""

    def test_error_starts_with_the_path_of_the_faulty_key(self) -> None:
        classes = [{**SETTINGS["Lanes"][0], "Repeat": "unknown"}]
        cases: list[tuple[dict[str, Any], str]] = [
            ({"seed": "xyz"}, "seed:"),
            ({"settings": {**SETTINGS, "Lanes": classes}}, "settings.Lanes[0].Repeat:"),
            ({"settings": {**SETTINGS, "PolicyLimits": {}}}, "settings.PolicyLimits.SendCap: missing"),
            ({"limits": {"sockets": "many"}}, "limits.sockets:"),
            ({"limits": {"memory_mb": "much"}}, "limits.memory_mb:"),
            ({"limits": {"memory_mb": -1}}, "limits.memory_mb:"),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            for change, expected_start in cases:
                path.write_text(json.dumps({**make_file_values(), **change}))
                with pytest.raises(ConfigurationError) as caught:
                    read_configuration({"RELAY_CONFIG": str(path)})
                assert str(caught.value).startswith(expected_start), caught.value


@pytest.mark.parametrize(
    ("keys", "value", "faulty_key"),
    [
        ((*CLASS, "GiveUpS"), 0, "settings.Lanes[0].GiveUpS"),
        (("settings", "Lanes", 1, "Name"), "tile-read", "settings.Lanes[1].Name"),
        ((*PLAN, "Name"), 7, "settings.Contracts[0].Name"),
        ((*EXTRA, "ChangesData"), [False], "settings.Extra.ChangesData"),
        ((*EXTRA, "ChangesData"), "no", "settings.Extra.ChangesData"),
        ((*EXTRA, "Shards"), -1, "settings.Extra.Shards"),
        (("settings", "Areas"), [[]], "settings.Areas"),
        ((*LIMITS, "DialTimeoutS"), -0.25, "settings.PolicyLimits.DialTimeoutS"),
        ((*LIMITS, "IdleCloseS"), 0, "settings.PolicyLimits.IdleCloseS"),
        (("limits", "sockets"), 3, "limits.sockets"),
        (("listen",), "h:" + "9" * 5000, "listen"),
        (("discovery",), "h:70000", "discovery"),
        (("discovery",), ABSENT, "discovery"),
        (("seed",), 255, "seed"),
        (("settings",), [], "settings"),
    ],
)
def test_error_names_the_faulty_key(tmp_path: Path, keys: Keys, value: Any, faulty_key: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        read_changed(tmp_path, keys, value)
    assert str(caught.value).startswith(f"{faulty_key}: ")
    assert "\n" not in str(caught.value)


def test_deeply_nested_file_is_a_configuration_error(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("[" * 200_000)
    with pytest.raises(ConfigurationError, match=r"^RELAY_CONFIG: "):
        read_configuration({"RELAY_CONFIG": str(path)})


def test_classes_are_defined_by_their_settings_alone(tmp_path: Path) -> None:
    classes = [
        {"Name": "a", "AimS": 9.0, "GiveUpS": 20.0, "Repeat": "once", "Worth": 0.0},
        {"Name": "b", "AimS": 0.01, "GiveUpS": 0.02, "Repeat": "by_key", "DedupScope": "cell", "Worth": 7.0},
    ]
    config = read_changed(tmp_path, ("settings", "Lanes"), classes)
    assert (config.class_indexes, config.client_timeouts_s) == ({"a": 0, "b": 1}, [20.0, 0.02])
    assert Policy(config.settings).step(0.0, []) == []


def test_environment_overrides_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(make_file_values()))
    environment = {
        "RELAY_CONFIG": str(path),
        "RELAY_NAME": "other",
        "RELAY_LISTEN": "[::1]:3",
        "RELAY_DISCOVERY": "agent:4",
    }
    config = read_configuration(environment)
    assert config.name == "other"
    assert config.listen == Address("::1", 3)
    assert config.discovery == Address("agent", 4)
    assert config.configured_discovery == Address("h", 2)

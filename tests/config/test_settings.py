"""Translating the platform's settings; each error names the faulty key."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import pytest

from storage_gateway.config import read_settings
from storage_gateway.errors import ConfigurationError
from tests.support.configuration import SETTINGS
from tests.support.configuration_files import ABSENT, CLASS, EXTRA, LIMITS, PLAN, SAFETY, Keys, read_changed


@pytest.mark.parametrize(
    ("keys", "value", "faulty_key"),
    [
        (("settings", "Lanes"), [], "settings.Lanes"),
        (("settings", "Lanes"), {"Name": "not-a-list"}, "settings.Lanes"),
        (("settings", "Contracts"), [], "settings.Contracts"),
        (("settings", "Contracts"), ABSENT, "settings.Contracts"),
        ((*CLASS, "AimS"), 0, "settings.Lanes[0].AimS"),
        ((*CLASS, "AimS"), -1, "settings.Lanes[0].AimS"),
        ((*CLASS, "AimS"), math.nan, "settings.Lanes[0].AimS"),
        ((*CLASS, "AimS"), 10**400, "settings.Lanes[0].AimS"),
        ((*CLASS, "Worth"), -3, "settings.Lanes[0].Worth"),
        ((*CLASS, "Repeat"), "twice", "settings.Lanes[0].Repeat"),
        ((*CLASS, "DedupScope"), "rack", "settings.Lanes[0].DedupScope"),
        ((*CLASS, "MemorySpanS"), "long", "settings.Lanes[0].MemorySpanS"),
        ((*PLAN, "Limit"), -1, "settings.Contracts[0].Limit"),
        ((*PLAN, "Proportion"), math.inf, "settings.Contracts[0].Proportion"),
        ((*SAFETY, "RampTimeS"), 17.0, "settings.Safety.TipAfterS"),
        ((*SAFETY, "LookBackS"), [], "settings.Safety.LookBackS"),
        ((*EXTRA, "SaysOthers"), 1, "settings.Extra.SaysOthers"),
        (("settings", "Siblings"), 2.5, "settings.Siblings"),
        ((*LIMITS, "SendCap"), 0, "settings.PolicyLimits.SendCap"),
        ((*LIMITS, "Cancel"), "yes", "settings.PolicyLimits.Cancel"),
    ],
)
def test_error_names_the_faulty_key(tmp_path: Path, keys: Keys, value: Any, faulty_key: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        read_changed(tmp_path, keys, value)
    assert str(caught.value).startswith(f"{faulty_key}: ")
    assert "\n" not in str(caught.value)


def test_one_class_must_have_a_weight_above_0() -> None:
    classes = [{**request_class, "Worth": 0.0} for request_class in SETTINGS["Lanes"]]
    with pytest.raises(ConfigurationError, match=r"^settings\.Lanes\[0\]\.Worth: "):
        read_settings({**SETTINGS, "Lanes": classes}, seed=0)


def test_null_value_counts_as_absent() -> None:
    settings = read_settings({**SETTINGS, "Safety": {"LookBackS": None, "ColdFrom": None}}, seed=0)
    assert settings.safety.retry_budget_window_s is None
    assert settings.safety.slow_start_min_share == 0.0


def test_unknown_keys_are_ignored() -> None:
    assert read_settings({**SETTINGS, "UnknownKey": 1}, seed=5) == read_settings(SETTINGS, seed=5)

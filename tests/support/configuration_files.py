"""A valid configuration file, in which a test changes one value."""

from __future__ import annotations

import json
from copy import deepcopy
from pathlib import Path
from typing import Any

from storage_gateway.config import GatewayConfig, read_configuration
from tests.support.configuration import SETTINGS

ABSENT = object()
"""Stands for the value of a key that the file does not have."""

Keys = tuple[str | int, ...]
"""Path to a value of the file: keys of tables and indices of arrays."""

CLASS: Keys = ("settings", "Lanes", 0)
PLAN: Keys = ("settings", "Contracts", 0)
SAFETY: Keys = ("settings", "Safety")
EXTRA: Keys = ("settings", "Extra")
LIMITS: Keys = ("settings", "PolicyLimits")


def make_file_values() -> dict[str, Any]:
    """Return the values of a valid configuration file."""
    return {"name": "n", "listen": "h:1", "discovery": "h:2", "settings": deepcopy(SETTINGS)}


def change_value(values: dict[str, Any], keys: Keys, value: Any) -> None:
    """Set the value at this path, adding missing tables; ABSENT removes the key."""
    table: Any = values
    for key in keys[:-1]:
        table = table[key] if isinstance(key, int) else table.setdefault(key, {})
    if value is ABSENT:
        del table[keys[-1]]
    else:
        table[keys[-1]] = value


def read_changed(folder: Path, keys: Keys, value: Any) -> GatewayConfig:
    """Write a valid configuration file with one value changed to the folder, and read it."""
    values = make_file_values()
    change_value(values, keys, value)
    file = folder / "config.json"
    file.write_text(json.dumps(values))
    return read_configuration({"RELAY_CONFIG": str(file)})

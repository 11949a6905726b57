"""The configuration of a gateway instance, read from the environment and from the files that it names.

All configuration is read, checked and given its defaults here and in the modules that this one calls; every
error names the faulty key.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from storage_gateway.config.schema import RESERVED_DESCRIPTORS, Address, ConnectionBudget, GatewayConfig
from storage_gateway.config.services import DEFAULT_SERVICES_FILE, read_services
from storage_gateway.config.settings import read_settings
from storage_gateway.config.table import ConfigTable, read_address
from storage_gateway.errors import ConfigurationError

MIN_DESCRIPTORS = 2 * RESERVED_DESCRIPTORS
MAX_DESCRIPTORS = 1 << 20
DEFAULT_DESCRIPTORS = 1024
MAX_SHARD_COUNT = 1 << 31
DEFAULT_CONNECT_TIMEOUT_S = 0.25
DEFAULT_IDLE_CLOSE_S = 30.0


def read_configuration(
    environment: Mapping[str, str], services_file: Path = DEFAULT_SERVICES_FILE
) -> GatewayConfig:
    """Read the whole configuration of an instance.

    ``RELAY_CONFIG`` names the configuration file. ``RELAY_NAME``, ``RELAY_LISTEN`` and ``RELAY_DISCOVERY``
    win over the same keys of the file.

    Args:
        environment: the environment variables of the process.
        services_file: the file that sets up the services beside HTTP.

    Raises:
        ConfigurationError: a file cannot be read, or a key is missing or its value cannot be used.
    """
    root = _load_file(environment)
    seed = _read_seed(root)
    settings = root.table("settings")
    limits = settings.table("PolicyLimits")
    classes = settings.tables("Lanes")
    extra = settings.table("Extra", {})
    class_indexes = _read_indexes(classes)
    plan_indexes = _read_indexes(settings.tables("Contracts"))
    services = read_services(services_file, class_indexes, plan_indexes)
    descriptors = root.table("limits", {}).integer(
        "sockets", MIN_DESCRIPTORS, MAX_DESCRIPTORS, DEFAULT_DESCRIPTORS
    )
    return GatewayConfig(
        name=environment.get("RELAY_NAME") or root.text("name"),
        listen=_read_address(environment, "RELAY_LISTEN", root, "listen"),
        discovery=_read_address(environment, "RELAY_DISCOVERY", root, "discovery"),
        configured_discovery=_read_configured_discovery(root),
        seed=seed,
        connection_budget=ConnectionBudget.of(descriptors, services.sftp is not None),
        known_endpoints=root.value("known", {}),
        settings=read_settings(settings.values, seed),
        class_indexes=class_indexes,
        plan_indexes=plan_indexes,
        client_timeouts_s=[table.positive_number("GiveUpS", math.inf) for table in classes],
        class_is_write=_read_class_is_write(extra, len(classes)),
        shard_count=extra.integer("Shards", 0, MAX_SHARD_COUNT, 0),
        zone_indexes={zone: index for index, zone in enumerate(settings.texts("Areas"))},
        connect_timeout_s=limits.positive_number("DialTimeoutS", DEFAULT_CONNECT_TIMEOUT_S),
        idle_close_s=limits.positive_number("IdleCloseS", DEFAULT_IDLE_CLOSE_S),
        sftp=services.sftp,
        vrrp=services.vrrp,
    )


def _load_file(environment: Mapping[str, str]) -> ConfigTable:
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigurationError("RELAY_CONFIG", "missing")
    values = _load_json(path)
    if not isinstance(values, dict):
        raise ConfigurationError("RELAY_CONFIG", f"{path} holds no object")
    return ConfigTable(values, "")


def _load_json(path: str) -> Any:
    try:
        return json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError("RELAY_CONFIG", f"cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigurationError("RELAY_CONFIG", f"{path} is no JSON: {error}") from error
    except RecursionError as error:
        raise ConfigurationError("RELAY_CONFIG", f"{path} is nested too deeply") from error


def _read_seed(root: ConfigTable) -> int:
    digits = root.text("seed", "0")
    try:
        return int(digits, 16)
    except ValueError as error:
        raise ConfigurationError("seed", f"want hex digits, found {digits!r}") from error


def _read_indexes(tables: list[ConfigTable]) -> dict[str, int]:
    """Return each table's index by its name; no name may occur twice."""
    indexes: dict[str, int] = {}
    for index, table in enumerate(tables):
        name = table.text("Name")
        if name in indexes:
            raise table.error("Name", f"{name!r} is given twice")
        indexes[name] = index
    return indexes


def _read_address(environment: Mapping[str, str], variable: str, root: ConfigTable, key: str) -> Address:
    if text := environment.get(variable):
        return read_address(text, variable)
    return root.address(key)


def _read_configured_discovery(root: ConfigTable) -> Address:
    """Read the address in the file, which may be absent where ``RELAY_DISCOVERY`` is set."""
    if "discovery" in root.values:
        return root.address("discovery")
    return Address("", 0)


def _read_class_is_write(extra: ConfigTable, class_count: int) -> list[bool]:
    writes = extra.booleans("ChangesData")
    if writes and len(writes) != class_count:
        reason = f"want one for each of {class_count} classes, found {len(writes)}"
        raise extra.error("ChangesData", reason)
    return writes

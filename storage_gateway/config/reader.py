"""Reads the configuration of a gateway instance from the environment, a JSON file and the services file.

All configuration is read, checked and given its defaults here and in the modules that this one calls. Every
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
from storage_gateway.memory import BYTES_PER_MB

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
    override the keys ``name``, ``listen`` and ``discovery`` of that file.

    Args:
        environment: the environment variables of the process.
        services_file: the TOML file that configures SFTP and VRRP.

    Raises:
        ConfigurationError: a file cannot be read, or a key is missing or has an invalid value.
    """
    root = _load_configuration_file(environment)
    seed = _read_seed(root)
    settings = root.table("settings")
    policy_limits = settings.table("PolicyLimits")
    classes = settings.tables("Lanes")
    extra = settings.table("Extra", {})
    class_indexes = _index_by_name(classes)
    plan_indexes = _index_by_name(settings.tables("Contracts"))
    services = read_services(services_file, class_indexes, plan_indexes)
    limits = root.table("limits", {})
    descriptors = limits.integer("sockets", MIN_DESCRIPTORS, MAX_DESCRIPTORS, DEFAULT_DESCRIPTORS)
    return GatewayConfig(
        name=environment.get("RELAY_NAME") or root.string("name"),
        listen=_read_overridable_address(environment, "RELAY_LISTEN", root, "listen"),
        discovery=_read_overridable_address(environment, "RELAY_DISCOVERY", root, "discovery"),
        configured_discovery=_read_configured_discovery(root),
        seed=seed,
        connection_budget=ConnectionBudget.from_descriptor_limit(descriptors, services.sftp is not None),
        memory_limit_bytes=int(limits.number("memory_mb", 0.0) * BYTES_PER_MB),
        cached_endpoints=root.value("known", {}),
        settings=read_settings(settings.values, seed),
        class_indexes=class_indexes,
        plan_indexes=plan_indexes,
        client_timeouts_s=[table.positive_number("GiveUpS", math.inf) for table in classes],
        class_is_write=_read_class_is_write(extra, len(classes)),
        shard_count=extra.integer("Shards", 0, MAX_SHARD_COUNT, 0),
        zone_indexes={zone: index for index, zone in enumerate(settings.strings("Areas"))},
        connect_timeout_s=policy_limits.positive_number("DialTimeoutS", DEFAULT_CONNECT_TIMEOUT_S),
        idle_close_s=policy_limits.positive_number("IdleCloseS", DEFAULT_IDLE_CLOSE_S),
        sftp=services.sftp,
        vrrp=services.vrrp,
    )


def _load_configuration_file(environment: Mapping[str, str]) -> ConfigTable:
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigurationError("RELAY_CONFIG", "not set; expected the path of the configuration file")
    values = _load_json(path)
    if not isinstance(values, dict):
        raise ConfigurationError(
            "RELAY_CONFIG", f"expected a JSON object in {path}, found {type(values).__name__}"
        )
    return ConfigTable(values, "")


def _load_json(path: str) -> Any:
    try:
        return json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError("RELAY_CONFIG", f"cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigurationError("RELAY_CONFIG", f"{path} is not valid JSON: {error}") from error
    except RecursionError as error:
        raise ConfigurationError("RELAY_CONFIG", f"the JSON in {path} is nested too deeply") from error


def _read_seed(root: ConfigTable) -> int:
    digits = root.string("seed", "0")
    try:
        return int(digits, 16)
    except ValueError as error:
        raise ConfigurationError("seed", f"expected a hexadecimal number, found {digits!r}") from error


def _index_by_name(tables: list[ConfigTable]) -> dict[str, int]:
    """Return the index of each table by its ``Name``; a name that occurs twice is an error."""
    indexes: dict[str, int] = {}
    for index, table in enumerate(tables):
        name = table.string("Name")
        if name in indexes:
            raise table.error("Name", f"expected a unique name, but {name!r} occurs twice")
        indexes[name] = index
    return indexes


def _read_overridable_address(
    environment: Mapping[str, str], variable: str, root: ConfigTable, key: str
) -> Address:
    """Read an address from an environment variable or, where that is unset or empty, from the file."""
    if text := environment.get(variable):
        return read_address(text, variable)
    return root.address(key)


def _read_configured_discovery(root: ConfigTable) -> Address:
    """Read the address in the file, which may be missing: ``RELAY_DISCOVERY`` overrides it."""
    if "discovery" in root.values:
        return root.address("discovery")
    return Address("", 0)


def _read_class_is_write(extra: ConfigTable, class_count: int) -> list[bool]:
    class_is_write = extra.booleans("ChangesData")
    if class_is_write and len(class_is_write) != class_count:
        reason = f"expected one value for each of {class_count} request classes, found {len(class_is_write)}"
        raise extra.error("ChangesData", reason)
    return class_is_write

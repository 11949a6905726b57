"""The one place where configuration is read, checked and given defaults. Every error names the faulty key."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from pathlib import Path

from storage_gateway.config.schema import SPARE_SOCKETS, Address, ConnectionBudget, GatewayConfig
from storage_gateway.config.services import FRONTS, read_services
from storage_gateway.config.settings import read_settings
from storage_gateway.config.table import Table, read_address
from storage_gateway.errors import ConfigurationError

MOST_SOCKETS = 1024


def names(tables: list[Table], key: str = "Name") -> dict[str, int]:
    found: dict[str, int] = {}
    for place, table in enumerate(tables):
        if table.text(key) in found:
            raise table.fail(key, f"{table.text(key)!r} is given twice")
        found[table.text(key)] = place
    return found


def read_writes(extra: Table, classes: int) -> list[bool]:
    writes = extra.each("ChangesData", bool, "true and false")
    if writes and len(writes) != classes:
        raise extra.fail("ChangesData", f"want one for each of {classes} classes, found {len(writes)}")
    return writes


def read_configuration(environment: Mapping[str, str], fronts: Path = FRONTS) -> GatewayConfig:
    """All that the daemon is told. RELAY_* variables win over the same keys of the file."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigurationError("RELAY_CONFIG", "missing")
    try:
        values = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError("RELAY_CONFIG", f"cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigurationError("RELAY_CONFIG", f"{path} is no JSON: {error}") from error
    except RecursionError as error:
        raise ConfigurationError("RELAY_CONFIG", f"{path} is nested too deeply") from error
    if not isinstance(values, dict):
        raise ConfigurationError("RELAY_CONFIG", f"{path} holds no object")
    root = Table(values, "")
    seed_text = root.text("seed", "0")
    try:
        seed = int(seed_text, 16)
    except ValueError as error:
        raise ConfigurationError("seed", f"want hex digits, found {seed_text!r}") from error
    facts = root.table("settings")
    limits = facts.table("PolicyLimits")
    lanes, extra = facts.tables("Lanes"), facts.table("Extra", {})
    classes, plans = names(lanes), names(facts.tables("Contracts"))
    sftp, vrrp = read_services(fronts, classes, plans)
    sockets = root.table("limits", {}).whole("sockets", 2 * SPARE_SOCKETS, 1 << 20, MOST_SOCKETS)

    def address(variable: str, key: str) -> Address:
        if text := environment.get(variable):
            return read_address(text, variable)
        return root.address(key)

    return GatewayConfig(
        name=environment.get("RELAY_NAME") or root.text("name"),
        listen=address("RELAY_LISTEN", "listen"),
        discovery=address("RELAY_DISCOVERY", "discovery"),
        configured_discovery=root.address("discovery") if "discovery" in values else Address("", 0),
        seed=seed,
        connection_budget=ConnectionBudget.of(sockets, sftp is not None),
        known_endpoints=root.get("known", {}),
        settings=read_settings(facts.values, seed),
        class_indexes=classes,
        plan_indexes=plans,
        client_timeouts_s=[lane.number("GiveUpS", math.inf, above=0.0) for lane in lanes],
        class_is_write=read_writes(extra, len(lanes)),
        shard_count=extra.whole("Shards", 0, 1 << 31, 0),
        zone_indexes={zone: place for place, zone in enumerate(facts.each("Areas", str, "texts"))},
        connect_timeout_s=limits.number("DialTimeoutS", 0.25, above=0.0),
        idle_close_s=limits.number("IdleCloseS", 30.0, above=0.0),
        sftp=sftp,
        vrrp=vrrp,
    )

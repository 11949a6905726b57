"""The one place where configuration is read, checked and given defaults. Every error names the faulty key."""

from __future__ import annotations

import json
import math
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.errors import ConfigurationError

REPEATS = {
    "repeatable": api.Repeatability.REPEATABLE,
    "by_key": api.Repeatability.IDEMPOTENT_WITH_KEY,
    "once": api.Repeatability.NON_IDEMPOTENT,
}
MOST_WRITE = 64 * 1024  # bytes of a body, and so of an upload, unless the fronts file says less
MOST_SOCKETS = 1024
MOST_NUMBER = 1e12  # figures of the settings are seconds, units, worths and rates
SPARE_SOCKETS = 56  # listeners, log, discovery twice, files read, connections whose end is still on its way
MOST_SESSIONS = 32
FRONTS = Path(__file__).resolve().parents[2] / "deploy" / "fronts.toml"


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class VolumePath:
    """Files below ``prefix`` belong to this volume."""

    prefix: str
    volume_id: int
    plan_index: int
    shard: int
    gateway_count: int


@dataclass(slots=True, frozen=True)
class SftpConfig:
    listen: Address
    volumes: list[VolumePath]
    read_class: int
    write_class: int
    node_port: int  # 0: the port that discovery lists
    max_upload_bytes: int
    unit_bytes: int
    max_handles: int
    idle_timeout_s: float  # seconds that a client's connection may stand without a command
    command_timeout_s: float  # seconds for a command, as the protocol states none


@dataclass(slots=True, frozen=True)
class VrrpConfig:
    listen: Address
    peers: list[Address]
    router: int
    priority: int
    interval: float  # seconds between advertisements
    preempt: bool
    addresses: list[str]


@dataclass(slots=True, frozen=True)
class ConnectionBudget:
    """How the descriptors of the process are dealt out. A request in work holds a client's connection and at
    most one to a box, so as many are kept for boxes as for clients, and no attempt wants for one.
    """

    client_connections: int
    idle_client_connections: (
        int  # idle ones beyond which each ends with its answer: half of what clients open
    )
    node_connections: int
    sftp_sessions: int  # of the file front: a client's connection, one at work and an idle one to a box

    @classmethod
    def of(cls, sockets: int, files: bool) -> ConnectionBudget:
        sessions = min(MOST_SESSIONS, (sockets - SPARE_SOCKETS) // 12) if files else 0
        half = (sockets - SPARE_SOCKETS - 3 * sessions) // 2
        return cls(half, sockets // 6, half, sessions)


@dataclass(slots=True)
class GatewayConfig:
    name: str
    listen: Address
    discovery: Address
    seed: int
    connection_budget: ConnectionBudget
    known_endpoints: Any  # the old list in discovery's form, decoded by the platform front
    settings: api.Settings
    class_indexes: dict[str, int]
    plan_indexes: dict[str, int]
    client_timeouts_s: list[float]  # by class: seconds that its clients wait at the most; infinite: not said
    class_is_write: list[bool]  # by class, or empty where nothing is said
    shard_count: int  # counted from 0; 0: nothing is said
    zone_indexes: dict[str, int]
    connect_timeout_s: float
    idle_close_s: float
    configured_discovery: Address  # as the file has it, whatever RELAY_DISCOVERY says
    sftp: SftpConfig | None = None
    vrrp: VrrpConfig | None = None

    def notice(self) -> float:
        """Seconds from SIGTERM to SIGKILL: the longest deadline, 3 s at the most, and 0.7 s more."""
        return min(3.0, max(self.client_timeouts_s)) + 0.7

    def reload(self, new: GatewayConfig) -> tuple[bool, list[str]]:
        """Take what a reload takes: the address of discovery, where the file names a new one. It wins
        over RELAY_DISCOVERY, as a running process cannot be given another. Returns whether it moved, and the
        changed keys that wait for the next start; ``known`` and ``seed`` count at a start only.
        """
        new.settings.seed = self.settings.seed
        kept = (
            "name",
            "listen",
            "connection_budget",
            "settings",
            "class_indexes",
            "plan_indexes",
            "connect_timeout_s",
            "idle_close_s",
            "sftp",
            "vrrp",
        )
        waiting = [key for key in kept if getattr(self, key) != getattr(new, key)]
        moved = new.configured_discovery != self.configured_discovery
        self.configured_discovery = new.configured_discovery
        if moved:
            self.discovery = new.configured_discovery
        return moved, waiting


@dataclass(slots=True)
class Table:
    """A table of the configuration, with the path that error messages give for its keys."""

    values: Mapping[str, Any]
    path: str
    used: set[str] = field(default_factory=set)

    def fail(self, key: str, why: str) -> ConfigurationError:
        return ConfigurationError(f"{self.path}{key}", why)

    def get(self, key: str, default: Any = None) -> Any:
        self.used.add(key)
        value = self.values.get(key)
        if value is None and default is None:
            raise self.fail(key, "missing")
        return default if value is None else value

    def number(self, key: str, default: float | None = None, above: float = -1e-300) -> float:
        """A number of at least 0, or of more than ``above``; the default may be what else."""
        value = self.get(key, default)
        if value is not default and not (finite(value) and MOST_NUMBER > value > above):
            want = "a number above 0" if above >= 0 else "a number from 0 up"
            raise self.fail(key, f"want {want}, found {value!r}")
        return float(value)

    def whole(self, key: str, least: int, most: int, default: int | None = None) -> int:
        value = self.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise self.fail(key, f"want a whole number from {least} to {most}, found {value!r}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.get(key, default)
        if not isinstance(value, str):
            raise self.fail(key, f"want a text, found {value!r}")
        return value

    def flag(self, key: str, default: bool = False) -> bool:
        value = self.get(key, default)
        if not isinstance(value, bool):
            raise self.fail(key, f"want true or false, found {value!r}")
        return value

    def one_of(self, key: str, choices: Mapping[str, Any], default: str | None = None) -> Any:
        value = self.text(key, default)
        if value not in choices:
            raise self.fail(key, f"want one of {', '.join(choices)}, found {value!r}")
        return choices[value]

    def address(self, key: str) -> Address:
        return read_address(self.text(key), f"{self.path}{key}")

    def table(self, key: str, default: Mapping[str, Any] | None = None) -> Table:
        value = self.get(key, default)
        if not isinstance(value, Mapping):
            raise self.fail(key, "want a table")
        return Table(value, f"{self.path}{key}.")

    def each(self, key: str, kind: type, word: str) -> list[Any]:
        value = self.get(key, [])
        if not isinstance(value, list) or not all(isinstance(one, kind) for one in value):
            raise self.fail(key, f"want a list of {word}")
        return value

    def tables(self, key: str) -> list[Table]:
        value = self.get(key)
        if not isinstance(value, list) or not value or not all(isinstance(one, Mapping) for one in value):
            raise self.fail(key, "want a list of tables, one at least")
        return [Table(one, f"{self.path}{key}[{place}].") for place, one in enumerate(value)]

    def nothing_else(self) -> None:
        for key in self.values:
            if key not in self.used:
                raise self.fail(key, "unknown key")


def finite(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) < math.inf


def read_address(text: str, key: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not re.fullmatch("[0-9]{1,5}", port) or int(port) > 65535:
        raise ConfigurationError(key, f"want HOST:PORT, found {text!r}")
    return Address(host.strip("[]"), int(port))


def read_settings(facts: Mapping[str, Any], seed: int) -> api.Settings:
    """Translate the settings: unknown keys are passed over, an absent or null figure is 0."""
    root = Table(facts, "settings.")
    safety, limits, extra = root.table("Safety", {}), root.table("PolicyLimits"), root.table("Extra", {})
    classes = [
        api.RequestClass(
            latency_objective_s=lane.number("AimS", above=0.0),
            priority_weight=lane.number("Worth"),
            late_value=lane.number("LateShare", 0.0),
            repeatability=lane.one_of("Repeat", REPEATS),
            idempotency_scope=lane.one_of(
                "DedupScope", {scope.value: scope for scope in api.IdempotencyScope}, "all"
            ),
            idempotency_window_s=lane.number("MemorySpanS", 0.0),
            ordered_by_key=lane.flag("ByArrival"),
        )
        for lane in root.tables("Lanes")
    ]
    plans = [
        api.Plan(
            value_factor=plan.number("WorthFactor"),
            expected_rate=plan.number("BaseRate", 0.0),
            reserved_rate=plan.number("FloorRate", 0.0),
            excess_weight=plan.number("Proportion"),
            rate_limit=plan.number("Limit", 0.0),
            rate_limit_burst=plan.number("LimitBurst", 0.0),
        )
        for plan in root.tables("Contracts")
    ]

    if not any(kind.priority_weight for kind in classes):
        raise root.fail("Lanes[0].Worth", "want a class of some worth")
    slow_start_window_s = safety.number("RampTimeS", 0.0)

    def optional(key: str) -> float | None:
        return None if safety.values.get(key) is None else safety.number(key)

    return api.Settings(
        classes=classes,
        plans=plans,
        safety=api.SafetyLimits(
            slow_start_min_share=safety.number("ColdFrom", 0.0),
            slow_start_window_s=slow_start_window_s,
            overload_multiple=safety.number("TipMultiple", 0.0),
            overload_window_s=safety.number("TipAfterS", above=0.0)
            if slow_start_window_s
            else safety.number("TipAfterS", 0.0),
            endpoint_poll_interval_s=optional("AskEveryS"),
            key_cooldown_s=safety.number("KeyRestS", 0.0),
            retry_budget_base=optional("FreeResends"),
            retry_budget_ratio=optional("ExtraRatio"),
            retry_budget_window_s=optional("LookBackS"),
        ),
        seed=seed,
        gateway_count=root.whole("Siblings", 0, 1 << 20, 0),
        must_watch_endpoints=facts.get("Discovery") == "subscribe",
        max_attempts=limits.whole("SendCap", 1, 1000),
        can_cancel=limits.flag("Cancel"),
        slow_start_units=extra.number("ColdUnits", 0.0),
        max_request_units=extra.number("Largest", 0.0),
        mean_request_units=extra.number("MeanUnits", 0.0),
        nodes_report_other_usage=extra.flag("SaysOthers"),
        excess_value=extra.number("WithinShare", 0.0),
        max_retry_after_s=limits.number("MaxRetryAfterS", 0.0) if limits.flag("RetryAfter") else 0.0,
    )


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


def read_services(
    path: Path, classes: Mapping[str, int], plans: Mapping[str, int]
) -> tuple[SftpConfig | None, VrrpConfig | None]:
    """The fronts file of the deployment; a front whose table is absent or not ``enabled`` is off."""
    try:
        values = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None, None
    except (OSError, ValueError) as error:
        raise ConfigurationError(path.name, str(error)) from error
    root = Table(values, f"{path.name}: ")
    sftp = read_sftp(root.table("sftp", {}), classes, plans)
    vrrp = read_vrrp(root.table("vrrp", {}))
    root.nothing_else()
    return sftp, vrrp


def read_sftp(table: Table, classes: Mapping[str, int], plans: Mapping[str, int]) -> SftpConfig | None:
    enabled = table.flag("enabled")
    if not enabled:
        return None
    volumes = []
    for entry in table.tables("volume"):
        prefix = entry.text("path")
        if not prefix.startswith("/") or prefix != "/" + prefix.strip("/"):
            raise entry.fail("path", f"want an absolute path without a closing slash, found {prefix!r}")
        digits = entry.text("volume")
        try:
            volume = int(digits, 16)
        except ValueError as error:
            raise entry.fail("volume", f"want hex digits, found {digits!r}") from error
        plan, cell = entry.one_of("plan", plans), entry.whole("shard", -1, 1 << 31)
        volumes.append(VolumePath(prefix, volume, plan, cell, entry.whole("hosts", 1, 1 << 16, 1)))
        entry.nothing_else()
    front = SftpConfig(
        listen=table.address("listen"),
        volumes=sorted(volumes, key=lambda volume: -len(volume.prefix)),
        read_class=table.one_of("read_class", classes),
        write_class=table.one_of("write_class", classes),
        node_port=table.whole("box_port", 0, 65535, 0),
        max_upload_bytes=table.whole("most_upload", 1, MOST_WRITE, MOST_WRITE),
        unit_bytes=table.whole("unit_bytes", 1, MOST_WRITE, 8192),
        max_handles=table.whole("most_handles", 1, 1024, 16),
        idle_timeout_s=table.number("idle_s", 60.0),
        command_timeout_s=table.number("deadline_s", 1.5),
    )
    table.nothing_else()
    return front


def read_vrrp(table: Table) -> VrrpConfig | None:
    enabled = table.flag("enabled")
    if not enabled:
        return None
    peers, addresses = table.get("peers"), table.get("addresses")
    for key, value in (("peers", peers), ("addresses", addresses)):
        if not isinstance(value, list) or not value or not all(isinstance(one, str) for one in value):
            raise table.fail(key, "want a list of texts")
    vrrp = VrrpConfig(
        listen=table.address("listen"),
        peers=[read_address(peer, f"{table.path}peers") for peer in peers],
        router=table.whole("router", 1, 255),
        priority=table.whole("priority", 1, 255, 100),
        interval=table.whole("interval_cs", 1, 4095, 100) / 100,
        preempt=table.flag("preempt", True),
        addresses=addresses,
    )
    table.nothing_else()
    return vrrp

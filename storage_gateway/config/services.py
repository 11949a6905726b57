"""Reads the services file of a deployment, which configures SFTP for clients and VRRP between instances."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from storage_gateway.config.schema import SftpConfig, VolumePath, VrrpConfig
from storage_gateway.config.table import MAX_PORT, ConfigTable, read_address
from storage_gateway.errors import ConfigurationError
from storage_gateway.policy_api import NO_SHARD

DEFAULT_SERVICES_FILE = Path(__file__).resolve().parents[2] / "deploy" / "fronts.toml"
MAX_UPLOAD_BYTES = 64 * 1024  # an upload is one request to a storage node, whose body has this limit
DEFAULT_UNIT_BYTES = 8192
MAX_HANDLES = 1024
DEFAULT_MAX_HANDLES = 16
DEFAULT_IDLE_TIMEOUT_S = 60.0
DEFAULT_COMMAND_TIMEOUT_S = 1.5
MAX_SHARD = 1 << 31
MAX_VOLUME_GATEWAY_COUNT = 1 << 16
MAX_ROUTER_ID = 255  # one octet of an advertisement
MAX_PRIORITY = 255  # one octet of an advertisement
DEFAULT_PRIORITY = 100
MAX_INTERVAL_CS = 4095  # in centiseconds; 12 bits of an advertisement
DEFAULT_INTERVAL_CS = 100


@dataclass(slots=True, frozen=True)
class ServicesConfig:
    """The services other than HTTP; None for one that is off."""

    sftp: SftpConfig | None = None
    vrrp: VrrpConfig | None = None


def read_services(
    path: Path, class_indexes: Mapping[str, int], plan_indexes: Mapping[str, int]
) -> ServicesConfig:
    """Read the services file; a service is off if its table is missing or not ``enabled``.

    Args:
        path: the TOML file; if it does not exist, all services are off.
        class_indexes: index of each request class by its name.
        plan_indexes: index of each plan by its name.

    Raises:
        ConfigurationError: the file cannot be read, or a key is missing, unknown or has an invalid value.
    """
    try:
        values = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return ServicesConfig()
    except (OSError, ValueError) as error:
        raise ConfigurationError(path.name, str(error)) from error
    root = ConfigTable(values, f"{path.name}: ")
    sftp = _read_sftp(root.table("sftp", {}), class_indexes, plan_indexes)
    vrrp = _read_vrrp(root.table("vrrp", {}))
    root.reject_unknown_keys()
    return ServicesConfig(sftp, vrrp)


def _read_sftp(
    table: ConfigTable, class_indexes: Mapping[str, int], plan_indexes: Mapping[str, int]
) -> SftpConfig | None:
    if not table.boolean("enabled"):
        return None
    volumes = [_read_volume(entry, plan_indexes) for entry in table.tables("volume")]
    config = SftpConfig(
        listen=table.address("listen"),
        volumes=sorted(volumes, key=lambda volume: -len(volume.prefix)),
        read_class=table.choice("read_class", class_indexes),
        write_class=table.choice("write_class", class_indexes),
        node_port=table.integer("box_port", 0, MAX_PORT, 0),
        max_upload_bytes=table.integer("most_upload", 1, MAX_UPLOAD_BYTES, MAX_UPLOAD_BYTES),
        unit_bytes=table.integer("unit_bytes", 1, MAX_UPLOAD_BYTES, DEFAULT_UNIT_BYTES),
        max_handles=table.integer("most_handles", 1, MAX_HANDLES, DEFAULT_MAX_HANDLES),
        idle_timeout_s=table.number("idle_s", DEFAULT_IDLE_TIMEOUT_S),
        command_timeout_s=table.number("deadline_s", DEFAULT_COMMAND_TIMEOUT_S),
    )
    table.reject_unknown_keys()
    return config


def _read_volume(table: ConfigTable, plan_indexes: Mapping[str, int]) -> VolumePath:
    prefix = table.string("path")
    if not prefix.startswith("/") or prefix != "/" + prefix.strip("/"):
        raise table.error("path", f"expected an absolute path without a trailing slash, found {prefix!r}")
    volume = VolumePath(
        prefix=prefix,
        volume_id=_read_volume_id(table),
        plan_index=table.choice("plan", plan_indexes),
        shard=table.integer("shard", NO_SHARD, MAX_SHARD),
        gateway_count=table.integer("hosts", 1, MAX_VOLUME_GATEWAY_COUNT, 1),
    )
    table.reject_unknown_keys()
    return volume


def _read_volume_id(table: ConfigTable) -> int:
    digits = table.string("volume")
    try:
        return int(digits, 16)
    except ValueError as error:
        raise table.error("volume", f"expected a hexadecimal number, found {digits!r}") from error


def _read_vrrp(table: ConfigTable) -> VrrpConfig | None:
    if not table.boolean("enabled"):
        return None
    for key in ("peers", "addresses"):
        table.value(key)  # reports a missing key before an invalid value of either
    peers = _read_non_empty_strings(table, "peers")
    addresses = _read_non_empty_strings(table, "addresses")
    config = VrrpConfig(
        listen=table.address("listen"),
        peers=[read_address(peer, f"{table.key_prefix}peers") for peer in peers],
        router_id=table.integer("router", 1, MAX_ROUTER_ID),
        priority=table.integer("priority", 1, MAX_PRIORITY, DEFAULT_PRIORITY),
        interval_s=table.integer("interval_cs", 1, MAX_INTERVAL_CS, DEFAULT_INTERVAL_CS) / 100,
        preempt=table.boolean("preempt", True),
        addresses=addresses,
    )
    table.reject_unknown_keys()
    return config


def _read_non_empty_strings(table: ConfigTable, key: str) -> list[str]:
    strings = table.strings(key)
    if not strings:
        raise table.error(key, "expected a non-empty list of strings, found an empty one")
    return strings

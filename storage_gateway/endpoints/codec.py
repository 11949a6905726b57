"""Decoding of the endpoint lists that discovery sends as JSON."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.config import Address, is_finite_number, read_address
from storage_gateway.endpoints.registry import Endpoint, EndpointUpdate
from storage_gateway.errors import ConfigurationError, ProtocolError

MAX_START_TIME_MS = 1e14  # Unix time; a later start of a node is rejected
STATE_BY_LIFECYCLE = {
    "SERVING": api.EndpointState.SERVING,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.REMOVED,
}


@dataclass(slots=True, frozen=True)
class RawEndpointUpdate:
    """An endpoint update whose entries have not been validated yet.

    Attributes:
        version: discovery's version of the list after the update.
        is_snapshot: whether the entries are the whole list.
        entries: the entries as decoded from JSON.
    """

    version: int
    is_snapshot: bool
    entries: list[Any]


def decode_json(text: str | bytes, field: str = "endpoint list") -> Any:
    """Decode JSON text.

    Args:
        text: the text.
        field: name of the input, for the error.

    Raises:
        ProtocolError: if the text is not JSON, or is nested too deeply.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(field, str(error)) from error


def read_endpoint_update(value: Any) -> EndpointUpdate:
    """Validate an endpoint update whose JSON is already decoded.

    Raises:
        ProtocolError: if a field is missing or invalid.
    """
    raw = read_raw_update(value)
    return EndpointUpdate(raw.version, raw.is_snapshot, read_endpoints(raw.entries))


def read_raw_update(value: Any) -> RawEndpointUpdate:
    """Validate an endpoint update except for its entries.

    Raises:
        ProtocolError: if a field is missing or invalid.
    """
    if not isinstance(value, dict):
        raise ProtocolError("endpoint list", f"expected an object, found {type(value).__name__}")
    version = value.get("generation")
    entries = value.get("instances")
    if not isinstance(version, int) or isinstance(version, bool):
        raise ProtocolError("generation", f"expected an integer, found {version!r}")
    if not isinstance(entries, list):
        raise ProtocolError("instances", f"expected a list, found {type(entries).__name__}")
    return RawEndpointUpdate(version, value.get("reset") is True, entries)


def read_endpoints(entries: list[Any]) -> list[Endpoint]:
    """Validate entries of an endpoint update.

    Raises:
        ProtocolError: if a field of an entry is missing or invalid.
    """
    return [_read_endpoint(entry) for entry in entries]


def _read_endpoint(entry: Any) -> Endpoint:
    if not isinstance(entry, dict):
        raise ProtocolError("instances", f"expected objects, found {type(entry).__name__}")
    return Endpoint(
        name=_read_name(entry),
        state=_read_state(entry),
        shard=_read_shard(entry),
        started_at=_read_start_time_s(entry),
        address=_read_address(entry),
        zone=str(entry.get("zone")),
    )


def _read_name(entry: dict[str, Any]) -> str:
    name = entry.get("instanceId")
    if not isinstance(name, str) or not name:
        raise ProtocolError("instanceId", f"expected a non-empty string, found {name!r}")
    return name


def _read_state(entry: dict[str, Any]) -> api.EndpointState:
    lifecycle = entry.get("lifecycle")
    if lifecycle not in STATE_BY_LIFECYCLE:
        raise ProtocolError("lifecycle", f"expected SERVING, DRAINING or DELETED, found {lifecycle!r}")
    return STATE_BY_LIFECYCLE[lifecycle]


def _read_shard(entry: dict[str, Any]) -> int:
    shard = entry.get("cell")
    if shard is None:
        return api.NO_SHARD
    if isinstance(shard, bool) or not isinstance(shard, int):
        raise ProtocolError("cell", f"expected an integer or null, found {shard!r}")
    return shard


def _read_start_time_s(entry: dict[str, Any]) -> float:
    started_ms = entry.get("startedAtMs") or 0
    if not is_finite_number(started_ms) or not 0 <= started_ms <= MAX_START_TIME_MS:
        raise ProtocolError("startedAtMs", f"expected a Unix time in milliseconds, found {started_ms!r}")
    return float(started_ms / 1000)


def _read_address(entry: dict[str, Any]) -> Address:
    try:
        return read_address(str(entry.get("hostPort")), "hostPort")
    except ConfigurationError as error:
        raise ProtocolError(error.key, error.reason) from error

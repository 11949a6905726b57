"""Discovery's JSON form of endpoints, decoded once into typed values."""

from __future__ import annotations

import json
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.config import is_finite_number, read_address
from storage_gateway.endpoints.registry import Endpoint, EndpointUpdate
from storage_gateway.errors import ConfigurationError, ProtocolError

LATEST_MS = 1e14  # Unix time of a start that discovery may name
STATES = {
    "SERVING": api.EndpointState.SERVING,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.REMOVED,
}


def decode_endpoint_update(text: str | bytes) -> EndpointUpdate:
    try:
        return read_endpoint_update(json.loads(text))
    except (ValueError, RecursionError) as error:
        raise ProtocolError("endpoint list", str(error)) from error


def read_endpoint_update(value: Any) -> EndpointUpdate:
    if not isinstance(value, dict):
        raise ProtocolError("endpoint list", "want an object")
    version, entries = value.get("generation"), value.get("instances")
    if not isinstance(version, int) or isinstance(version, bool):
        raise ProtocolError("generation", f"want a whole number, found {version!r}")
    if not isinstance(entries, list):
        raise ProtocolError("instances", "want a list")
    return EndpointUpdate(version, value.get("reset") is True, [read_endpoint(entry) for entry in entries])


def read_endpoint(entry: Any) -> Endpoint:
    if not isinstance(entry, dict):
        raise ProtocolError("instances", "want objects")
    name, state, cell = entry.get("instanceId"), entry.get("lifecycle"), entry.get("cell")
    started = entry.get("startedAtMs") or 0
    if not isinstance(name, str) or not name:
        raise ProtocolError("instanceId", f"want a text, found {name!r}")
    if state not in STATES:
        raise ProtocolError("lifecycle", f"unknown state {state!r}")
    if cell is not None and (isinstance(cell, bool) or not isinstance(cell, int)):
        raise ProtocolError("cell", f"want a whole number, found {cell!r}")
    if not is_finite_number(started) or not 0 <= started <= LATEST_MS:
        raise ProtocolError("startedAtMs", f"want Unix time in milliseconds, found {started!r}")
    try:
        address = read_address(str(entry.get("hostPort")), "hostPort")
    except ConfigurationError as error:
        raise ProtocolError(error.key, error.reason) from error
    return Endpoint(
        name, address, str(entry.get("zone")), -1 if cell is None else cell, STATES[state], started / 1000
    )

"""Endpoints of storage nodes on loopback, as registry records and in the JSON format of discovery."""

from __future__ import annotations

import json
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.registry import Endpoint, EndpointRegistry, EndpointUpdate


def make_endpoint(
    name: str, port: int, state: api.EndpointState = api.EndpointState.SERVING, shard: int = 0
) -> Endpoint:
    """Return the registry's record of a node on loopback."""
    return Endpoint(name, Address("127.0.0.1", port), "basement", shard, state, 0.0)


def apply_endpoints(
    registry: EndpointRegistry, *endpoints: Endpoint, is_snapshot: bool = False
) -> api.EndpointsChanged:
    """Apply an update to the registry, and return the event that reports it to the policy."""
    kind = api.EndpointUpdateKind.SNAPSHOT if is_snapshot else api.EndpointUpdateKind.DELTA
    return api.EndpointsChanged(kind, registry.apply(EndpointUpdate(1, is_snapshot, list(endpoints))))


def discovery_entry(state: str, port: int = 9) -> dict[str, Any]:
    """Return the endpoint of a node on loopback, as the discovery service lists it."""
    return {
        "instanceId": "s-a",
        "hostPort": f"127.0.0.1:{port}",
        "zone": "basement",
        "cell": 0,
        "lifecycle": state,
        "startedAtMs": 0,
    }


def discovery_snapshot(*entries: dict[str, Any], generation: int = 1) -> dict[str, Any]:
    """Return a complete endpoint list, as the discovery service sends it."""
    return {"generation": generation, "reset": True, "instances": list(entries)}


def snapshot_of_fleet(node_count: int, name_length: int = 10) -> dict[str, Any]:
    """Return the complete list of a fleet with one node for each shard, as the discovery service sends it."""
    entries = [
        {
            "instanceId": f"s-{shard:08x}".ljust(name_length, "x"),
            "hostPort": f"127.0.{1 + shard // 250}.{1 + shard % 250}:8081",
            "zone": "basement",
            "machineType": "m2",
            "cell": shard,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for shard in range(node_count)
    ]
    return discovery_snapshot(*entries, generation=7)


def indented_snapshot(node_count: int, indent: int = 2) -> bytes:
    """Return the complete list of a fleet as an indented message of a watch."""
    return json.dumps(snapshot_of_fleet(node_count), indent=indent).encode() + b"\n"

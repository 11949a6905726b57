"""Decoding of the endpoint lists that discovery sends."""

from __future__ import annotations

from typing import Any

import pytest

from storage_gateway.config import Address
from storage_gateway.endpoints.codec import decode_json, read_endpoint_update
from storage_gateway.endpoints.registry import Endpoint, EndpointUpdate
from storage_gateway.errors import ProtocolError
from storage_gateway.policy_api import EndpointState

ENTRY: dict[str, Any] = {
    "instanceId": "s-a",
    "hostPort": "h:9",
    "zone": "z",
    "cell": 3,
    "lifecycle": "DRAINING",
    "startedAtMs": 1500,
}


@pytest.mark.parametrize(
    "text",
    [
        "[" * 200_000,
        '{"generation": 1, "instances": [{"instanceId": "a", "hostPort": "h:%s", "lifecycle": "SERVING"}]}'
        % ("9" * 5000),
        '{"generation": 1, "instances": [{"instanceId": "a", "hostPort": "h:9", "lifecycle": "SERVING",'
        ' "startedAtMs": NaN}]}',
        '{"generation": 1, "instances": [{"instanceId": "a", "hostPort": "h:9", "lifecycle": "SERVING",'
        ' "startedAtMs": 1e300}]}',
    ],
)
def test_endpoint_list_that_cannot_be_decoded_is_a_protocol_error(text: str) -> None:
    with pytest.raises(ProtocolError):
        read_endpoint_update(decode_json(text))


def test_entry_is_decoded_into_an_endpoint() -> None:
    update = read_endpoint_update({"generation": 4, "reset": True, "instances": [ENTRY]})
    endpoint = Endpoint("s-a", Address("h", 9), "z", 3, EndpointState.DRAINING, 1.5)
    assert update == EndpointUpdate(version=4, is_snapshot=True, endpoints=[endpoint])


def test_entry_without_shard_and_start_time_gets_their_defaults() -> None:
    entry = {**ENTRY, "cell": None, "startedAtMs": None}
    (endpoint,) = read_endpoint_update({"generation": 4, "instances": [entry]}).endpoints
    assert (endpoint.shard, endpoint.started_at) == (-1, 0.0)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("instanceId", ""),
        ("instanceId", 7),
        ("lifecycle", "STARTING"),
        ("cell", True),
        ("cell", "3"),
        ("startedAtMs", -1),
        ("hostPort", None),
    ],
)
def test_error_names_the_faulty_field(field: str, value: Any) -> None:
    with pytest.raises(ProtocolError) as caught:
        read_endpoint_update({"generation": 4, "instances": [{**ENTRY, field: value}]})
    assert caught.value.field == field

"""Discovery's JSON form of endpoints."""

from __future__ import annotations

import pytest

from storage_gateway.endpoints.codec import decode_endpoint_update
from storage_gateway.errors import ProtocolError


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
        decode_endpoint_update(text)

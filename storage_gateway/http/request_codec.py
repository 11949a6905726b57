"""The codec of client requests: decoded strictly from a client, encoded anew for a storage node."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs

from multidict import CIMultiDictProxy

from storage_gateway import policy_api as api
from storage_gateway.config import Address, GatewayConfig
from storage_gateway.errors import ProtocolError

MAX_BODY_BYTES = 64 * 1024
MAX_CLIENT_TIMEOUT_MS = 600_000
MAX_TRACE_ID_LENGTH = 128
MAX_UNITS = 1 << 20  # unless the settings say less
MAX_SHARDS = 1 << 31  # unless the configuration says less
MAX_GATEWAYS = 1 << 20
MAX_UINT64 = (1 << 64) - 1
HEX_ID_LENGTH = 16  # digits of a 64-bit id
VISIBLE_ASCII = re.compile(r"[!-~]+")
SINGLE_HEADERS = ("X-Trace-Id", "X-Qos", "X-Plan", "X-Expires-In-Ms", "X-IO", "Content-Length")


@dataclass(slots=True)
class ClientRequest:
    """A client's request.

    Attributes:
        trace_id: the id that the client gave it.
        method: ``GET`` for a read, ``PUT`` for a write.
        target: path and query exactly as they came.
        class_index: index of its request class in the settings.
        plan_index: index of its plan in the settings.
        volume_id: the volume that it reads or writes.
        object_key: the object within the volume.
        shard: the shard that holds the object, ``api.NO_SHARD`` for a new object.
        units: its size.
        gateway_count: gateway instances that serve the volume, as far as the client knows.
        timeout_s: seconds that the client waits, from when it sent the request.
        body: what a write stores.
    """

    trace_id: str
    method: str
    target: str
    class_index: int
    plan_index: int
    volume_id: int
    object_key: int
    shard: int
    units: float
    gateway_count: int
    timeout_s: float
    body: bytes

    def to_arrival(self, request_id: str, deadline: float) -> api.RequestArrived:
        """Return the policy's event for this request.

        Args:
            request_id: the gateway's own id of the request.
            deadline: Unix time in seconds by which the client must have its response.
        """
        return api.RequestArrived(
            request_id=request_id,
            class_index=self.class_index,
            plan_index=self.plan_index,
            volume_id=self.volume_id,
            object_key=self.object_key,
            shard=self.shard,
            units=self.units,
            deadline=deadline,
            gateway_count=self.gateway_count,
        )


def decode_request(
    config: GatewayConfig, method: str, target: str, headers: CIMultiDictProxy[str], body: bytes
) -> ClientRequest:
    """Decode a client's request.

    Strict: whatever could be read in two ways is rejected, as a storage node might read it the other way.

    Raises:
        ProtocolError: if the request cannot be accepted.
    """
    _check_single_headers(headers)
    trace_id = _decode_trace_id(headers)
    if not VISIBLE_ASCII.fullmatch(target):
        raise ProtocolError("target", "want visible ASCII characters")
    class_name = headers.get("X-Qos", "")
    class_index = _look_up(config.class_indexes, class_name, "X-Qos", "class")
    plan_index = _look_up(config.plan_indexes, headers.get("X-Plan", ""), "X-Plan", "plan")
    block = _decode_block(target)
    io_fields = _decode_io_fields(headers)
    if method == "GET" and body:
        raise ProtocolError("Content-Length", "a read has no body")
    if config.class_is_write and config.class_is_write[class_index] != (method == "PUT"):
        raise ProtocolError("X-Qos", f"{class_name!r} does not go with {method}")
    timeout_ms = _decode_integer(headers.get("X-Expires-In-Ms"), "X-Expires-In-Ms", 0, MAX_CLIENT_TIMEOUT_MS)
    max_units = int(config.settings.max_request_units) or MAX_UNITS
    max_shard = (config.shard_count or MAX_SHARDS) - 1
    return ClientRequest(
        trace_id=trace_id,
        method=method,
        target=target,
        class_index=class_index,
        plan_index=plan_index,
        volume_id=_decode_hex_id(io_fields.get("volume"), "X-IO volume"),
        object_key=_decode_hex_id(block, "block"),
        shard=_decode_integer(io_fields.get("shard"), "X-IO shard", api.NO_SHARD, max_shard),
        units=float(_decode_integer(io_fields.get("units"), "X-IO units", 1, max_units)),
        gateway_count=_decode_integer(io_fields.get("hosts"), "X-IO hosts", 1, MAX_GATEWAYS),
        # A longer timeout than that of its class would let a request hold a node's slot for as long.
        timeout_s=min(timeout_ms / 1000, config.client_timeouts_s[class_index]),
        body=body,
    )


def encode_attempt(request: ClientRequest, node: Address, time_left_s: float) -> bytes:
    """Encode an attempt at a storage node; method, target, trace id and body pass unchanged.

    Args:
        request: the client's request.
        node: the node's address.
        time_left_s: seconds that the attempt may take.
    """
    host = f"[{node.host}]" if ":" in node.host else node.host
    has_length = request.body or request.method != "GET"
    content_length = f"Content-Length: {len(request.body)}\r\n" if has_length else ""
    head = (
        f"{request.method} {request.target} HTTP/1.1\r\n"
        f"Host: {host}:{node.port}\r\n"
        f"X-Trace-Id: {request.trace_id}\r\n"
        f"X-Expires-In-Ms: {max(0, int(time_left_s * 1000))}\r\n"
        f"{content_length}\r\n"
    )
    return head.encode("ascii") + request.body


def _check_single_headers(headers: CIMultiDictProxy[str]) -> None:
    for name in SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise ProtocolError(name, "given twice")


def _decode_trace_id(headers: CIMultiDictProxy[str]) -> str:
    trace_id = headers.get("X-Trace-Id", "")
    if not VISIBLE_ASCII.fullmatch(trace_id) or len(trace_id) > MAX_TRACE_ID_LENGTH:
        raise ProtocolError("X-Trace-Id", f"want an id, found {trace_id!r}")
    return trace_id


def _look_up(indexes: Mapping[str, int], name: str, header: str, kind: str) -> int:
    if name not in indexes:
        raise ProtocolError(header, f"unknown {kind} {name!r}")
    return indexes[name]


def _decode_block(target: str) -> str:
    blocks = parse_qs(target.partition("?")[2]).get("block", [])
    if len(blocks) != 1:
        raise ProtocolError("block", "want one")
    return blocks[0]


def _decode_io_fields(headers: CIMultiDictProxy[str]) -> dict[str, str]:
    pairs = [part.strip().partition("=")[::2] for part in headers.get("X-IO", "").split(",")]
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise ProtocolError("X-IO", "a field is given twice")
    return fields


def _decode_integer(text: str | None, name: str, minimum: int, maximum: int, base: int = 10) -> int:
    """Read digits with at most one sign in front; ``int()`` alone would take blanks and underscores too."""
    digits = (text or "").removeprefix("-")
    if not digits.isascii() or not digits.isalnum():
        raise ProtocolError(name, f"want a number, found {text!r}")
    try:
        value = int(text or "", base)
    except ValueError as error:
        raise ProtocolError(name, f"want a number, found {text!r}") from error
    if not minimum <= value <= maximum:
        raise ProtocolError(name, f"{value} is not within {minimum} to {maximum}")
    return value


def _decode_hex_id(text: str | None, name: str) -> int:
    if len(text or "") != HEX_ID_LENGTH:
        raise ProtocolError(name, f"want {HEX_ID_LENGTH} hex digits, found {text!r}")
    return _decode_integer(text, name, 0, MAX_UINT64, 16)

"""Decodes the requests of clients strictly, and encodes them again for storage nodes."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs

from multidict import CIMultiDictProxy

from storage_gateway import policy_api as api
from storage_gateway.config import Address, GatewayConfig
from storage_gateway.errors import ProtocolError

MAX_CLIENT_TIMEOUT_MS = 600_000
MAX_TRACE_ID_LENGTH = 128
MAX_UNITS = 1 << 20  # if the settings have no limit
MAX_SHARDS = 1 << 31  # if the configuration has no shard count
MAX_GATEWAYS = 1 << 20
MAX_UINT64 = (1 << 64) - 1
HEX_ID_LENGTH = 16  # hexadecimal digits of a 64-bit id
VISIBLE_ASCII = re.compile(r"[!-~]+")
SINGLETON_HEADERS = ("X-Trace-Id", "X-Qos", "X-Plan", "X-Expires-In-Ms", "X-IO", "Content-Length")


@dataclass(slots=True)
class ClientRequest:
    """A decoded client request.

    Attributes:
        trace_id: the id that the client chose for the request.
        method: ``GET`` for a read, ``PUT`` for a write.
        target: path and query exactly as received.
        class_index: index of the request class in the settings.
        plan_index: index of the plan in the settings.
        volume_id: id of the volume to read or write.
        object_key: key of the object within the volume.
        shard: the shard that holds the object; ``api.NO_SHARD`` for a new object.
        units: size of the request in units of work.
        gateway_count: number of gateway instances that serve the volume, according to the client.
        timeout_s: seconds that the client waits after sending the request, at most the timeout of its class.
        body: the data to store; empty for a read.
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
        """Return the policy event for this request.

        Args:
            request_id: the gateway's own id for the request.
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

    Decoding is strict: a request that could be parsed in two ways is rejected, as a storage node might parse
    it the other way.

    Raises:
        ProtocolError: if a header or the target is missing, malformed or out of range.
    """
    _check_singleton_headers(headers)
    trace_id = _decode_trace_id(headers)
    if not VISIBLE_ASCII.fullmatch(target):
        raise ProtocolError("target", "expected visible ASCII characters only")
    class_name = headers.get("X-Qos", "")
    class_index = _look_up_index(config.class_indexes, class_name, "X-Qos", "class")
    plan_index = _look_up_index(config.plan_indexes, headers.get("X-Plan", ""), "X-Plan", "plan")
    block = _decode_block(target)
    io_fields = _decode_io_fields(headers)
    if method == "GET" and body:
        raise ProtocolError("Content-Length", "a GET request must not have a body")
    if config.class_is_write and config.class_is_write[class_index] != (method == "PUT"):
        raise ProtocolError("X-Qos", f"class {class_name!r} does not allow method {method}")
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
        # A timeout beyond that of its class would let a request hold a node's slot for as long.
        timeout_s=min(timeout_ms / 1000, config.client_timeouts_s[class_index]),
        body=body,
    )


def encode_attempt(request: ClientRequest, address: Address, time_left_s: float) -> bytes:
    """Encode the request of one attempt; method, target, trace id and body pass unchanged.

    Args:
        request: the client's request.
        address: the storage node's address.
        time_left_s: seconds that the attempt may take.
    """
    host = f"[{address.host}]" if ":" in address.host else address.host
    has_length = request.body or request.method != "GET"
    content_length = f"Content-Length: {len(request.body)}\r\n" if has_length else ""
    head = (
        f"{request.method} {request.target} HTTP/1.1\r\n"
        f"Host: {host}:{address.port}\r\n"
        f"X-Trace-Id: {request.trace_id}\r\n"
        f"X-Expires-In-Ms: {max(0, int(time_left_s * 1000))}\r\n"
        f"{content_length}\r\n"
    )
    return head.encode("ascii") + request.body


def _check_singleton_headers(headers: CIMultiDictProxy[str]) -> None:
    for name in SINGLETON_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise ProtocolError(name, "must be given only once")


def _decode_trace_id(headers: CIMultiDictProxy[str]) -> str:
    trace_id = headers.get("X-Trace-Id", "")
    if not VISIBLE_ASCII.fullmatch(trace_id) or len(trace_id) > MAX_TRACE_ID_LENGTH:
        raise ProtocolError(
            "X-Trace-Id", f"expected 1 to {MAX_TRACE_ID_LENGTH} visible ASCII characters, found {trace_id!r}"
        )
    return trace_id


def _look_up_index(indexes: Mapping[str, int], name: str, header: str, kind: str) -> int:
    if name not in indexes:
        raise ProtocolError(header, f"unknown {kind} {name!r}")
    return indexes[name]


def _decode_block(target: str) -> str:
    blocks = parse_qs(target.partition("?")[2]).get("block", [])
    if len(blocks) != 1:
        raise ProtocolError("block", f"expected exactly one in the query, found {len(blocks)}")
    return blocks[0]


def _decode_io_fields(headers: CIMultiDictProxy[str]) -> dict[str, str]:
    pairs = [part.strip().partition("=")[::2] for part in headers.get("X-IO", "").split(",")]
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise ProtocolError("X-IO", "each field must be given only once")
    return fields


def _decode_integer(text: str | None, name: str, minimum: int, maximum: int, base: int = 10) -> int:
    """Decode digits with at most one minus sign; ``int()`` alone would accept spaces and underscores."""
    digits = (text or "").removeprefix("-")
    if not digits.isascii() or not digits.isalnum():
        raise ProtocolError(name, f"expected an integer in base {base}, found {text!r}")
    try:
        value = int(text or "", base)
    except ValueError as error:
        raise ProtocolError(name, f"expected an integer in base {base}, found {text!r}") from error
    if not minimum <= value <= maximum:
        raise ProtocolError(name, f"expected {minimum} to {maximum}, found {value}")
    return value


def _decode_hex_id(text: str | None, name: str) -> int:
    if len(text or "") != HEX_ID_LENGTH:
        raise ProtocolError(name, f"expected {HEX_ID_LENGTH} hexadecimal digits, found {text!r}")
    return _decode_integer(text, name, 0, MAX_UINT64, 16)

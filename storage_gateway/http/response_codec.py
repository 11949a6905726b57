"""Encodes the responses to clients that the gateway sends without aiohttp's handler."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus


def retry_fields(retry_after_s: float) -> dict[str, str]:
    """Return the header field that tells a client when to retry; none without a hint (0)."""
    return {"Retry-After": f"{retry_after_s:.3f}"} if retry_after_s > 0 else {}


def encode_last_response(status: HTTPStatus, fields: Mapping[str, str] | None = None) -> bytes:
    """Encode an empty response after which the connection closes."""
    all_fields = {"Content-Length": "0", "Connection": "close", **(fields or {})}
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", *map(": ".join, all_fields.items()), "", ""]
    return "\r\n".join(lines).encode("ascii")


def encode_incomplete_rejection(retry_after_s: float) -> bytes:
    """Encode the response to a request that is rejected before it is complete, for want of a resource.

    It is a rejection like that of the policy: nothing was executed, and a retry is safe.
    """
    return encode_last_response(HTTPStatus.SERVICE_UNAVAILABLE, retry_fields(retry_after_s))

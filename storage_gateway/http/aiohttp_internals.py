"""The only module that touches parts of aiohttp that its documentation does not promise.

Every use was read against the source of aiohttp 3.14.5, the version that requirements.txt pins:

- ``aiohttp.http.HttpResponseParser`` and ``aiohttp.base_protocol.BaseProtocol``, to parse the head of one
  response without aiohttp's client around it;
- the arguments with which ``web.Server`` calls its request factory, and those of ``web.BaseRequest``;
- ``_waiter``, ``_messages``, ``_loop``, ``_process_keepalive``, ``_next_keepalive_close_time`` and
  ``_keepalive_handle`` of ``web.RequestHandler``.

tests/http/test_aiohttp_internals.py fails when another version is installed, or one of these goes.
"""

from __future__ import annotations

import asyncio

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpResponseParser, RawResponseMessage

__all__ = [
    "AIOHTTP_VERSION",
    "HttpProcessingError",
    "HttpResponseParser",
    "RawResponseMessage",
    "make_response_parser",
]

AIOHTTP_VERSION = "3.14.5"  # the version that this module was read against


def make_response_parser(
    loop: asyncio.AbstractEventLoop, body_buffer_bytes: int, max_head_bytes: int
) -> HttpResponseParser:
    """Return a parser for one response; its body is not decompressed.

    Args:
        loop: the running event loop.
        body_buffer_bytes: size of the body's buffer; reading would pause beyond twice as much.
        max_head_bytes: the longest line or field of the head that is accepted.
    """
    return HttpResponseParser(
        BaseProtocol(loop, parser=None),
        loop,
        body_buffer_bytes,
        auto_decompress=False,
        max_line_size=max_head_bytes,
        max_field_size=max_head_bytes,
    )

"""The only module that uses parts of aiohttp outside its documented API.

All uses were verified against the source of aiohttp 3.14.5, the version that requirements.txt pins:

- ``aiohttp.http.HttpResponseParser`` and ``aiohttp.base_protocol.BaseProtocol``, to parse the head of one
  response without aiohttp's client;
- the arguments with which ``web.Server`` calls its request factory, and those of ``web.BaseRequest``;
- ``_messages`` of ``web.RequestHandler`` and its entries, and that ``data_received`` is called without data
  to continue with a body that was paused;
- ``_waiter``, ``_loop``, ``_process_keepalive``, ``_next_keepalive_close_time`` and
  ``_keepalive_handle`` of ``web.RequestHandler``.

tests/http/test_aiohttp_internals.py fails if another version is installed or one of these parts is missing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpResponseParser, RawRequestMessage, RawResponseMessage

__all__ = [
    "AIOHTTP_VERSION",
    "HttpProcessingError",
    "HttpResponseParser",
    "InspectableRequestHandler",
    "RawResponseMessage",
    "RequestHead",
    "make_request_factory",
    "make_response_parser",
]

RequestFactory = Callable[
    [RawRequestMessage, StreamReader, web.RequestHandler, AbstractStreamWriter, "asyncio.Task[None]"],
    web.BaseRequest,
]

AIOHTTP_VERSION = "3.14.5"  # the version that this module was verified against


def make_response_parser(
    loop: asyncio.AbstractEventLoop, body_buffer_bytes: int, max_head_bytes: int
) -> HttpResponseParser:
    """Return a parser for one response; it does not decompress the body.

    Args:
        loop: the running event loop.
        body_buffer_bytes: size of the body buffer; the parser pauses reading beyond twice this size.
        max_head_bytes: maximum length of a line or a field of the head.
    """
    return HttpResponseParser(
        BaseProtocol(loop, parser=None),
        loop,
        body_buffer_bytes,
        auto_decompress=False,
        max_line_size=max_head_bytes,
        max_field_size=max_head_bytes,
    )


def make_request_factory(loop: asyncio.AbstractEventLoop, max_body_bytes: int) -> RequestFactory:
    """Return a request factory for ``web.Server`` that limits the size of request bodies.

    Args:
        loop: the running event loop.
        max_body_bytes: maximum body size, beyond which ``read()`` of a request raises
            ``web.HTTPRequestEntityTooLarge``.
    """

    def make_request(
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=max_body_bytes)

    return make_request


@dataclass(slots=True, frozen=True)
class RequestHead:
    """What the head of a client's request says of the data that follows it.

    Attributes:
        is_valid: whether the parser has accepted the head.
        has_upgrade: whether data of another protocol follows: the client asks for one, or for a tunnel.
        is_chunked: whether a chunked body follows.
        content_length: number of bytes of a body that is not chunked; 0 for none.
        body: the stream that the parser writes the body to.
    """

    is_valid: bool
    has_upgrade: bool
    is_chunked: bool
    content_length: int
    body: StreamReader


class InspectableRequestHandler(web.RequestHandler):
    """aiohttp's protocol for a client connection, with readable state and a deferrable idle close."""

    def loop_time(self) -> float:
        """Return the time of the connection's event loop in seconds."""
        return self._loop.time()

    def is_waiting_for_request(self) -> bool:
        """Return whether no request is being handled and no complete head of one has been received."""
        return self._waiter is not None and not self._waiter.done()

    def has_queued_requests(self) -> bool:
        """Return whether a received request, such as a pipelined one, has not begun to be handled."""
        return bool(self._messages)

    def queued_head(self) -> RequestHead | None:
        """Return the head of the latest received request, if that has not begun to be handled."""
        if not self._messages:
            return None
        message, body = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            return RequestHead(
                is_valid=False, has_upgrade=False, is_chunked=False, content_length=0, body=body
            )
        return RequestHead(
            is_valid=True,
            has_upgrade=message.upgrade or message.method == "CONNECT",
            is_chunked=message.chunked,
            content_length=int(message.headers.get("Content-Length", "0")),
            body=body,
        )

    def idle_close_delay_s(self, overdue_s: float) -> float:
        """Return the seconds by which to defer the close of an idle connection; 0 closes it immediately.

        Args:
            overdue_s: seconds since the keep-alive timeout expired.
        """
        return 0.0

    def _process_keepalive(self) -> None:
        overdue_s = self._loop.time() - self._next_keepalive_close_time
        delay_s = self.idle_close_delay_s(overdue_s) if overdue_s >= 0 else 0.0
        if delay_s:
            self._keepalive_handle = self._loop.call_later(delay_s, self._process_keepalive)
        else:
            super()._process_keepalive()

"""A connection to a storage node that carries one exchange at a time.

It is an asyncio protocol of our own, because aiohttp's client cannot keep the rule that a client gets the
response made for its request: bytes that arrive while a connection is pooled it keeps and reads as the next
request's response, and noise in one piece with a good response costs that response. It also resends requests
by itself, and has no limit for the idle connections to all nodes together.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from storage_gateway.errors import InvalidResponseError, NotSentError
from storage_gateway.http.response_parser import NodeResponse, ResponseParser
from storage_gateway.http.sockets import has_unread_data

INTER_READ_TIMEOUT_S = 0.05  # for the head of a response that has begun, and between reads of its body


class NodeConnection(asyncio.Protocol):
    """A connection to a storage node.

    Attributes:
        has_unsent_data: whether a part of the request has not been given to the kernel yet.
        settled_at: time of the event loop, in seconds, from which a pooled connection may be used again.
        expiry_timer: closes the connection when it has been pooled for too long.
        on_lost: called when the connection ends while it is pooled; None while it is in use.
    """

    def __init__(self) -> None:
        self.has_unsent_data = False
        self.settled_at = 0.0
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.on_lost: Callable[[], None] | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: ResponseParser | None = None  # of the response that is awaited
        self._response: asyncio.Future[NodeResponse] | None = None
        self._read_timer: asyncio.TimerHandle | None = None

    async def exchange(self, request: bytes) -> NodeResponse:
        """Send a request and return its response.

        Raises:
            NotSentError: if the connection has ended before the first byte was written.
            InvalidResponseError: if no response came, or not the whole of one. ``has_unsent_data`` then
                says whether the request had left completely.
        """
        if self._transport is None or self._transport.is_closing():
            raise NotSentError("the connection ended before the first byte")
        self._parser = ResponseParser()
        self._response = self._loop.create_future()
        self._transport.write(request)
        try:
            return await self._response
        finally:
            self._parser = None
            self._response = None
            if self._read_timer:
                self._read_timer.cancel()
                self._read_timer = None

    def is_usable(self) -> bool:
        """Whether the connection is open and nothing has arrived on it that the event loop has not read."""
        if self._transport is None or self._transport.is_closing():
            return False
        return not has_unread_data(self._transport)

    def abort(self) -> None:
        """Close at once; ``close()`` of the transport would first write what it still buffers."""
        if self.on_lost:
            self.on_lost()
        if self._transport:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(0)  # so that pause_writing says that the last byte has not left

    def pause_writing(self) -> None:
        """Note that a part of the request is still buffered; called by asyncio."""
        self.has_unsent_data = True

    def resume_writing(self) -> None:
        """Note that the kernel has taken the whole request; called by asyncio."""
        self.has_unsent_data = False

    def data_received(self, data: bytes) -> None:
        """Read on with the awaited response; called by asyncio."""
        if self._parser is None or self._response is None or self._response.done():
            self.abort()  # no response is awaited: these bytes must never become the next request's
            return
        try:
            response = self._parser.feed(data)
        except InvalidResponseError as error:
            self._fail(error)
            return
        if response:
            self._response.set_result(response)
        elif self._read_timer is None or self._parser.head_is_complete:
            self._restart_read_timer()

    def eof_received(self) -> None:
        """End the exchange; called by asyncio."""
        self._fail(InvalidResponseError("the node closed the connection"))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; called by asyncio."""
        self._transport = None
        self._fail(InvalidResponseError("the connection broke"))

    def _restart_read_timer(self) -> None:
        if self._read_timer:
            self._read_timer.cancel()
        error = InvalidResponseError("it does not end")
        self._read_timer = self._loop.call_later(INTER_READ_TIMEOUT_S, self._fail, error)

    def _fail(self, error: InvalidResponseError) -> None:
        if self._response and not self._response.done():
            self._response.set_exception(error)
        self.abort()

"""A connection to a storage node that carries one exchange at a time.

It is used instead of aiohttp's client, which cannot guarantee that a client gets the response to its own
request: aiohttp keeps bytes that arrive on a pooled connection and parses them as the response to the next
request, and loses a valid response if invalid bytes arrive together with it. It also resends requests by
itself and has no limit on the idle connections to all nodes together.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from storage_gateway.errors import InvalidResponseError, NotSentError
from storage_gateway.http.receive_buffer import SharedBufferProtocol
from storage_gateway.http.response_parser import NodeResponse, ResponseParser
from storage_gateway.memory import ByteCount
from storage_gateway.sockets import has_unread_data

USUAL_RESPONSE_BYTES = 80 * 1024  # a response up to this size is received however little memory is left
INTER_READ_TIMEOUT_S = 0.05  # for the rest of a response head that has begun, and between reads of the body


class NodeConnection(SharedBufferProtocol):
    """A connection to a storage node.

    Args:
        response_bytes: bytes of the responses that are being received on all connections.

    Attributes:
        has_unsent_data: whether part of the request has not been passed to the kernel yet.
        reusable_at: event loop time in seconds from which a pooled connection may be reused.
        expiry_timer: closes the connection at its idle timeout; None until it is first pooled.
        on_lost: called when the connection ends while it is pooled; None while it is in use.
    """

    def __init__(self, response_bytes: ByteCount) -> None:
        self.has_unsent_data = False
        self.reusable_at = 0.0
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.on_lost: Callable[[], None] | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._response_bytes = response_bytes
        self._received_bytes = 0  # of the awaited response
        self._parser: ResponseParser | None = None  # of the awaited response; None if there is none
        self._response: asyncio.Future[NodeResponse] | None = None
        self._read_timer: asyncio.TimerHandle | None = None

    async def exchange(self, request: bytes) -> NodeResponse:
        """Send a request and return its response.

        Raises:
            NotSentError: if the connection ended before the first byte was written.
            InvalidResponseError: if no complete, valid response was received. ``has_unsent_data`` then says
                whether part of the request was not sent.
        """
        if self._transport is None or self._transport.is_closing():
            raise NotSentError("the connection to the node ended before the request was written")
        self._parser = ResponseParser()
        self._response = self._loop.create_future()
        self._transport.write(request)
        try:
            return await self._response
        finally:
            self._parser = None
            self._response = None
            self._response_bytes.add(-self._received_bytes)
            self._received_bytes = 0
            if self._read_timer:
                self._read_timer.cancel()
                self._read_timer = None

    def is_usable(self) -> bool:
        """Return whether the connection is open and has no data that the event loop has not read."""
        if self._transport is None or self._transport.is_closing():
            return False
        return not has_unread_data(self._transport)

    def abort(self) -> None:
        """Close immediately; the transport's ``close()`` would first write its buffered data."""
        if self.on_lost:
            self.on_lost()
        if self._transport:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(0)  # pause_writing is called if any byte stays buffered

    def pause_writing(self) -> None:
        """Record that part of the request is still buffered; called by asyncio."""
        self.has_unsent_data = True

    def resume_writing(self) -> None:
        """Record that the kernel has accepted the whole request; called by asyncio."""
        self.has_unsent_data = False

    def data_received(self, data: bytes) -> None:
        """Parse data of the awaited response; called by asyncio."""
        if self._parser is None or self._response is None or self._response.done():
            self.abort()  # no response is awaited; the data must not become the response to the next request
            return
        self._received_bytes += len(data)
        self._response_bytes.add(len(data))
        if self._response_bytes.is_exceeded and self._received_bytes > USUAL_RESPONSE_BYTES:
            self._fail(InvalidResponseError("too large for the memory that is left"))
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
        """Fail the exchange; called by asyncio."""
        self._fail(InvalidResponseError("the node closed the connection before the response was complete"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange; called by asyncio."""
        self._transport = None
        self._fail(InvalidResponseError("the connection was lost before the response was complete"))

    def _restart_read_timer(self) -> None:
        if self._read_timer:
            self._read_timer.cancel()
        error = InvalidResponseError("timed out waiting for the rest of the response")
        self._read_timer = self._loop.call_later(INTER_READ_TIMEOUT_S, self._fail, error)

    def _fail(self, error: InvalidResponseError) -> None:
        if self._response and not self._response.done():
            self._response.set_exception(error)
        self.abort()

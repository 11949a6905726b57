"""A client's connection: aiohttp's protocol, with guards against clients that behave badly."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

import structlog
from aiohttp import web

from storage_gateway.http.aiohttp_internals import InspectableRequestHandler
from storage_gateway.http.graceful_transport import GracefulTransport
from storage_gateway.http.sockets import has_unread_data, peer_has_closed

IDLE_TIMEOUT_S = 2.1  # for a client's connection without a request
INCOMPLETE_HEAD_TIMEOUT_S = 0.6  # for the rest of a head that has begun before the idle timeout passed
LINGER_S = 0.25  # for a client to read its last response and close; what it sends meanwhile is dropped
UNREAD_RESPONSE_TIMEOUT_S = 3.0  # for a client to read a response that the kernel does not take whole
CLOSE_RETRY_INTERVAL_S = 0.02  # until the next try to close a connection that could not be closed yet
MAX_HEAD_FIELD_BYTES = 4096  # of a line or a field of a head
MAX_HEAD_FIELDS = 64

log = structlog.get_logger()


class ConnectionObserver(Protocol):
    """What a connection reports its state to."""

    def mark_idle(self, connection: ClientConnection) -> None:
        """No request is in progress on the connection."""

    def mark_busy(self, connection: ClientConnection) -> None:
        """A request's head has come."""

    def forget(self, connection: ClientConnection) -> None:
        """The connection has ended."""


class ClientConnection(InspectableRequestHandler):
    """A client's connection; it carries one request at a time.

    Attributes:
        accepted_at: time of the event loop, in seconds, at which it was accepted.
        head_started_at: time of the event loop at which the first byte of a request came whose head is not
            complete yet; 0 if there is none.
        request_is_complete: whether a request is in progress of which nothing is still to come.
        graceful_transport: the transport, None before the connection is made.

    Args:
        server: aiohttp's server, which handles the requests.
        observer: told when this connection is idle, busy or lost.
        connection: the connection's socket.
        loop: the running event loop.
    """

    def __init__(
        self,
        server: web.Server,
        observer: ConnectionObserver,
        connection: socket.socket,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=IDLE_TIMEOUT_S,
            access_log=None,  # type: ignore[arg-type]  # None turns it off, which its annotation leaves out
            auto_decompress=False,
            lingering_time=0.0,
            max_line_size=MAX_HEAD_FIELD_BYTES,
            max_field_size=MAX_HEAD_FIELD_BYTES,
            max_headers=MAX_HEAD_FIELDS,
        )
        self.connection = connection
        self.accepted_at = loop.time()
        self.head_started_at = 0.0
        self.request_is_complete = False
        self.graceful_transport: GracefulTransport | None = None
        self._observer = observer
        self._is_handling_request = False

    def begin_request(self) -> None:
        """Note that the handling of a request begins."""
        self._is_handling_request = True
        self.head_started_at = 0.0

    def end_request(self) -> None:
        """Note that the response has been decided on; it may not have been written yet."""
        self._is_handling_request = False
        self.request_is_complete = False
        self._observer.mark_idle(self)

    def client_has_closed(self) -> bool:
        """Whether the client has closed the connection, as far as the kernel knows at this moment."""
        transport = self.graceful_transport
        return transport is None or transport.is_closing() or peer_has_closed(self.connection)

    def is_evictable(self) -> bool:
        """Whether no request is on its way as far as can be seen, and no response is being written."""
        transport = self.graceful_transport
        if transport is None or transport.is_closing() or not self.is_waiting_for_request():
            return False
        if self.head_started_at or transport.get_write_buffer_size():
            return False
        return not has_unread_data(transport)

    def may_be_closed(self) -> bool:
        """Whether closing it now fails no request that could still be handled, and cuts no response."""
        return self.is_evictable() or self._incomplete_head_timed_out()

    def evict(self) -> None:
        """End the connection at once, whatever is in progress; an idle one is owed nothing."""
        self._observer.forget(self)
        if self.graceful_transport:
            self.graceful_transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wrap the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.graceful_transport = GracefulTransport(transport, LINGER_S, UNREAD_RESPONSE_TIMEOUT_S)
        super().connection_made(self.graceful_transport)
        self._observer.mark_idle(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection; called by asyncio."""
        self._observer.forget(self)
        if self.graceful_transport:
            self.graceful_transport.connection_lost()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Read on with a request; called by asyncio."""
        if self.graceful_transport is None or self.graceful_transport.is_closing():
            return  # behind the last response: read, so that the close resets nothing, and dropped
        if self.request_is_complete:
            # What comes behind a request before its response is no request of this protocol, and may have
            # been hidden by a length that is wrong. Ending here keeps it from the node and from being read
            # as the next request.
            self.evict()
            return
        super().data_received(data)
        if self.has_queued_requests():
            self._observer.mark_busy(self)
        elif not self._is_handling_request:
            self.head_started_at = self.head_started_at or self.loop_time()

    def idle_close_delay_s(self, overdue_s: float) -> float:
        """Defer the close of an idle connection, so that a head that has begun to come is read to its end."""
        if overdue_s < UNREAD_RESPONSE_TIMEOUT_S and self.is_waiting_for_request():
            return 0.0 if self.may_be_closed() else CLOSE_RETRY_INTERVAL_S
        return 0.0

    def force_close(self) -> None:
        """Close the connection; at once if it is idle, so that a request that crosses the close fails."""
        if self.graceful_transport and self.may_be_closed():
            self.graceful_transport.abort()
        super().force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that cannot be read, or whose handler failed.

        aiohttp would log a traceback for each, and clients may send floods of what cannot be read.
        """
        if status == 500:
            log.error("handler_failed", exc_info=exc)
        response = web.Response(status=status, text="unreadable message\n")
        response.force_close()
        return response

    def _incomplete_head_timed_out(self) -> bool:
        return 0 < self.head_started_at <= self.loop_time() - INCOMPLETE_HEAD_TIMEOUT_S

"""A client connection: aiohttp's protocol with protection against misbehaving clients."""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus
from typing import Protocol

import structlog
from aiohttp import StreamReader, web

from storage_gateway.http.bounded_request_handler import UNREAD_RESPONSE_TIMEOUT_S, BoundedRequestHandler
from storage_gateway.http.request_intake import IntakePhase, IntakeRejection
from storage_gateway.http.response_codec import encode_last_response
from storage_gateway.sockets import has_unread_data, is_readable

IDLE_TIMEOUT_S = 2.1  # of a connection that carries no request
INCOMPLETE_HEAD_TIMEOUT_S = 0.6  # to complete a head that began before the idle timeout
STALL_TIMEOUT_S = 0.1  # at the connection limit, for the next bytes of an incomplete request
SLOW_REQUEST_TIMEOUT_S = 0.4  # at the connection limit, for all bytes of a request, from the first one
CLOSE_RETRY_INTERVAL_S = 0.02  # between checks of whether a connection can be closed

REJECTION_STATUSES = {
    IntakeRejection.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    IntakeRejection.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    IntakeRejection.BODY_INVALID: HTTPStatus.BAD_REQUEST,
}

log = structlog.get_logger()


class ConnectionObserver(Protocol):
    """Receives the state changes of client connections."""

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that no request is in progress on the connection."""

    def mark_receiving(self, connection: ClientConnection) -> None:
        """Record that part of a request has been received on the connection."""

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that no more of a request is awaited, as it is complete."""

    def mark_rejected(self, connection: ClientConnection) -> None:
        """Record that no more of a request is awaited, as it is invalid or too large."""

    def hold(self, connection: ClientConnection, byte_count: int) -> None:
        """Record that the request on the connection holds so many further bytes."""

    def release(self, connection: ClientConnection) -> None:
        """Record that no request on the connection holds bytes any more."""

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""


class ClientConnection(BoundedRequestHandler):
    """A client connection; it carries one request at a time.

    Attributes:
        client_socket: the socket of the connection.
        accepted_at: event loop time in seconds at which the connection was accepted.
        first_request_arrived_at: event loop time in seconds at which the first request arrived, if it waited
            to be read; None if it did not, and for later requests.
        receiving_since: event loop time in seconds at which the first byte of an incomplete request, of its
            head or its body, arrived; 0 if there is none.
        last_received_at: event loop time in seconds at which the latest bytes of it arrived.
        held_bytes: bytes of the request that has been received so far, until it has its response.
        request_is_complete: whether a request is in progress that has been received completely.

    Args:
        server: aiohttp's server, which handles the requests.
        observer: is notified when this connection becomes idle, becomes busy or ends.
        client_socket: the socket of the connection.
        waited_s: seconds that its first request has waited to be read until now.
        loop: the running event loop.
    """

    def __init__(
        self,
        server: web.Server,
        observer: ConnectionObserver,
        client_socket: socket.socket,
        waited_s: float,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(server, IDLE_TIMEOUT_S, loop)
        self.client_socket = client_socket
        self.accepted_at = loop.time()
        self.first_request_arrived_at: float | None = self.accepted_at - waited_s if waited_s else None
        self.receiving_since = 0.0
        self.last_received_at = 0.0
        self.held_bytes = 0
        self.request_is_complete = False
        self._observer = observer
        self._body: StreamReader | None = None  # of the request that is being handled; None if there is none

    def begin_request(self, body: StreamReader) -> None:
        """Record that the handling of a request begins, whose body arrives on this stream."""
        self._body = body

    def waiting_time_s(self) -> float:
        """Return for how many seconds the request in progress had waited to be read, and has been since."""
        arrived_at = self.first_request_arrived_at
        return 0.0 if arrived_at is None else self.loop_time() - arrived_at

    def complete_request(self) -> None:
        """Record that the request in progress has been received completely and is valid."""
        self.request_is_complete = True
        self.receiving_since = 0.0
        self._observer.mark_busy(self)

    def end_request(self) -> None:
        """Record that the response has been chosen; it may not be written yet."""
        self._body = None
        self.request_is_complete = False
        self.receiving_since = 0.0
        self.first_request_arrived_at = None
        self.intake.end_request()
        self._observer.release(self)
        self._observer.mark_idle(self)

    def client_has_left(self) -> bool:
        """Return whether the client has closed the connection, or has sent more than its request.

        Behind data that has not been read the kernel does not report a close, and a client that sends more
        than one request at a time is disconnected as soon as the event loop reads the data.
        """
        return self.is_closing() or is_readable(self.client_socket.fileno())

    def is_evictable(self) -> bool:
        """Return whether no request is in progress or arriving, and no response is being written."""
        transport = self.graceful_transport
        if transport is None or transport.is_closing() or not self.is_waiting_for_request():
            return False
        if self.receiving_since or transport.get_write_buffer_size():
            return False
        return not has_unread_data(transport)

    def is_stalled(self) -> bool:
        """Return whether the client has stopped within a request, or takes too long to send it."""
        now = self.loop_time()
        has_stopped = now - self.last_received_at >= STALL_TIMEOUT_S
        is_slow = now - self.receiving_since >= SLOW_REQUEST_TIMEOUT_S
        return (has_stopped or is_slow) and self.is_awaiting_data()

    def is_awaiting_data(self) -> bool:
        """Return whether a request has begun to arrive, and the rest depends on the client.

        What has arrived and is not read or handled yet counts as progress: the event loop may have been
        delayed.
        """
        transport = self.graceful_transport
        if transport is None or transport.is_closing() or not self.receiving_since:
            return False
        if self.has_queued_requests() or (self._body is not None and self._body.is_eof()):
            return False
        return not has_unread_data(transport)

    def is_safe_to_close(self) -> bool:
        """Return whether a close would fail no request that can still complete, nor truncate a response."""
        return self.is_evictable() or self._incomplete_head_timed_out()

    def evict(self) -> None:
        """Abort the connection, even if a request is in progress; an idle one has no response pending."""
        self._observer.remove(self)
        if self.graceful_transport:
            self.graceful_transport.abort()

    def reject_incomplete_request(self, response: bytes) -> None:
        """Send this response to a request that has not arrived completely, and close at once.

        The response is small enough for the kernel's send buffer, which outlives the socket.
        """
        if self.graceful_transport:
            self.graceful_transport.write(response)
        self.evict()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the connection to the observer as idle; called by asyncio."""
        super().connection_made(transport)
        self._observer.mark_idle(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the end of the connection to the observer; called by asyncio."""
        self._observer.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received data; called by asyncio, and without data by aiohttp to continue a paused body."""
        if not data:
            super().data_received(data)
            return
        if self.is_closing() or self.intake.phase is IntakePhase.DISCARDING:
            self.discard(len(data))  # unread, it would make the close reset the connection
            return
        if self.request_is_complete:
            # Clients send one request at a time. Data between a request and its response may be a request
            # hidden by a wrong length (request smuggling); closing the connection keeps it from the node and
            # from being parsed as the next request.
            self.evict()
            return
        self.last_received_at = self.loop_time()
        self.receiving_since = self.receiving_since or self.last_received_at
        self._observer.mark_receiving(self)
        self.parse(data)
        if self.intake.rejection is not None:
            self._observer.mark_rejected(self)
            self.write_and_close(encode_last_response(REJECTION_STATUSES[self.intake.rejection]))
        elif self.intake.phase is IntakePhase.COMPLETE:
            self._observer.mark_busy(self)

    def hold(self, byte_count: int) -> bool:
        """Record that the incomplete request holds so many further bytes; return False if it may not."""
        self._observer.hold(self, byte_count)
        return not self.is_closing()

    def idle_close_delay_s(self, overdue_s: float) -> float:
        """Defer the close while a head that has begun may still complete, or a response is being written."""
        if overdue_s < UNREAD_RESPONSE_TIMEOUT_S and self.is_waiting_for_request():
            return 0.0 if self.is_safe_to_close() else CLOSE_RETRY_INTERVAL_S
        return 0.0

    def force_close(self) -> None:
        """Close the connection; abort it if it is idle, so that a request sent at the same moment fails."""
        if self.graceful_transport and self.is_safe_to_close():
            self.graceful_transport.abort()
        super().force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that cannot be parsed or whose handler failed.

        This replaces aiohttp's method, which logs a traceback each time: clients may send floods of malformed
        requests.
        """
        if status == 500:
            log.error("handler_failed", exc_info=exc)
        self.receiving_since = 0.0
        self._observer.mark_rejected(self)
        response = web.Response(status=status, text="the request could not be parsed or handled\n")
        response.force_close()
        return response

    def _incomplete_head_timed_out(self) -> bool:
        if self.has_queued_requests() or self._body is not None:
            return False  # the head is complete
        return 0 < self.receiving_since <= self.loop_time() - INCOMPLETE_HEAD_TIMEOUT_S

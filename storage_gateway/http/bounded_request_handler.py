"""aiohttp's protocol for a client connection, with limits on what of the client's data it gets."""

from __future__ import annotations

import asyncio
from abc import abstractmethod

from aiohttp import EMPTY_PAYLOAD, StreamReader, web

from storage_gateway.http.aiohttp_internals import InspectableRequestHandler
from storage_gateway.http.graceful_transport import GracefulTransport
from storage_gateway.http.receive_buffer import SharedBufferProtocol
from storage_gateway.http.request_intake import IntakePhase, IntakeRejection, RequestIntake

MAX_HEAD_FIELD_BYTES = 4096  # of the request line or one header field
MAX_HEAD_FIELDS = 64
MAX_DISCARDED_BYTES = 1 << 20  # read and dropped from a client before its connection is aborted
LINGER_S = 0.25  # for a client to read its last response and close; data received meanwhile is dropped
UNREAD_RESPONSE_TIMEOUT_S = 3.0  # for a client to read a response that exceeds the kernel's send buffer


class BoundedRequestHandler(InspectableRequestHandler, SharedBufferProtocol):
    """aiohttp's protocol, to which no more is passed than one request may have.

    Args:
        server: aiohttp's server, which handles the requests.
        idle_timeout_s: seconds after which a connection that carries no request is closed.
        loop: the running event loop.

    Attributes:
        intake: what of the client's data the parser gets.
        graceful_transport: the transport; None until asyncio calls ``connection_made``.
    """

    def __init__(self, server: web.Server, idle_timeout_s: float, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=idle_timeout_s,
            access_log=None,  # type: ignore[arg-type]  # None disables it; the annotation omits None
            auto_decompress=False,
            lingering_time=0.0,
            max_line_size=MAX_HEAD_FIELD_BYTES,
            max_field_size=MAX_HEAD_FIELD_BYTES,
            max_headers=MAX_HEAD_FIELDS,
        )
        self.intake = RequestIntake()
        self.graceful_transport: GracefulTransport | None = None
        self._linger_s = LINGER_S
        self._discarded_bytes = 0
        self._incoming_body: StreamReader = EMPTY_PAYLOAD  # of the latest request

    @abstractmethod
    def hold(self, byte_count: int) -> bool:
        """Record that the incomplete request holds so many further bytes; return False if it may not."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wrap the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.graceful_transport = GracefulTransport(transport, self._linger_s, UNREAD_RESPONSE_TIMEOUT_S)
        super().connection_made(self.graceful_transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the linger timer, and drop what has been received of a body; called by asyncio."""
        if self.graceful_transport:
            self.graceful_transport.connection_lost()
        # The task that awaits the rest ends with an exception that refers to the body, in a cycle: its memory
        # would be in use until the next collection of garbage.
        if self._incoming_body.exception() is None:
            self._incoming_body.read_nowait()
        super().connection_lost(exc)

    def limit_linger(self, linger_s: float) -> None:
        """Limit the time for which a close that begins later lingers."""
        self._linger_s = linger_s
        if self.graceful_transport:
            self.graceful_transport.linger_s = linger_s

    def write_and_close(self, response: bytes) -> None:
        """Send a response in place of one from the handler, and close once the client has read it."""
        if self.graceful_transport:
            self.graceful_transport.write(response)
            self.graceful_transport.close()

    def is_closing(self) -> bool:
        """Return whether the connection has been closed, or only lingers."""
        return self.graceful_transport is None or self.graceful_transport.is_closing()

    def is_lingering(self) -> bool:
        """Return whether the last response has been written, and the client may still read it."""
        transport = self.graceful_transport
        return transport is not None and transport.is_closing() and not transport.get_write_buffer_size()

    def discard(self, byte_count: int) -> None:
        """Count received bytes that are dropped, and abort the connection if a client does not stop."""
        self._discarded_bytes += byte_count
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self.graceful_transport:
            self.graceful_transport.abort()

    def has_queued_requests(self) -> bool:
        """Return whether more than the request that is being handled has been received."""
        return self.intake.has_surplus or super().has_queued_requests()

    def parse(self, data: bytes) -> None:
        """Pass received data to the parser, as far as the request may have it; discard the rest."""
        while data:
            piece, data = self.intake.take(data)
            if not piece or not self.hold(len(piece)):
                return
            self._parse_piece(piece)

    def _parse_piece(self, piece: bytes) -> None:
        phase = self.intake.phase
        super().data_received(piece)
        queued = self.queued_head()
        if phase is IntakePhase.HEAD and queued is not None:
            self.intake.head_parsed(queued)
            self._incoming_body = queued.body
        elif phase is IntakePhase.CHUNKED_BODY:
            body = self._incoming_body
            if (queued is not None and not queued.is_valid) or body.exception() is not None:
                self.intake.reject(IntakeRejection.BODY_INVALID)
            else:
                self.intake.body_parsed(body.total_bytes, is_complete=body.is_eof())

"""The HTTP server for clients, built on aiohttp's low-level server; the policy makes all decisions."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from storage_gateway.config import Address, GatewayConfig
from storage_gateway.errors import ProtocolError
from storage_gateway.http.aiohttp_internals import make_request_factory
from storage_gateway.http.bounded_request_handler import LINGER_S
from storage_gateway.http.client_connection import CLOSE_RETRY_INTERVAL_S, ClientConnection
from storage_gateway.http.connection_tracker import ConnectionTracker
from storage_gateway.http.listener import Listener
from storage_gateway.http.node_client import NodeClient
from storage_gateway.http.request_codec import ClientRequest, decode_request
from storage_gateway.http.request_intake import MAX_BODY_BYTES, IntakePhase
from storage_gateway.http.response_codec import encode_incomplete_rejection, retry_fields
from storage_gateway.http.trace_ids import TraceIdRegistry
from storage_gateway.lifecycle import AttemptResult, Failed, Rejected, RequestExecutor, Served
from storage_gateway.memory import ByteCount, MemoryBudget

REQUEST_PATH = "/api"
READINESS_PATH = "/up"
METHODS = ("GET", "PUT")
BODY_TIMEOUT_S = 1.5  # for the body of a request to arrive
MIN_CLOSE_PASSES = 2  # in the first, data is read; by the second, a late request has its response


class HttpServer:
    """Accepts client connections and handles each request from its head to its response.

    Args:
        config: the gateway's configuration.
        executor: executes each request as the policy decides.
        node_client: makes the attempts.
        is_ready: returns whether clients may send requests to this gateway instance.
        memory_budget: limits what clients can fill.

    Attributes:
        address: the address to listen on; after ``listen``, with the port that the kernel chose.
        connections: the open client connections.
        trace_ids: the trace ids that further requests must not have.
        listener: accepts the connections; None before ``listen``.
        is_closing: whether ``close`` was called; each response then closes its connection.
    """

    def __init__(
        self,
        config: GatewayConfig,
        executor: RequestExecutor,
        node_client: NodeClient,
        is_ready: Callable[[], bool],
        memory_budget: MemoryBudget,
    ) -> None:
        self.config = config
        self.executor = executor
        self.node_client = node_client
        self.is_ready = is_ready
        self.address = config.listen
        self.is_closing = False
        self.listener: Listener | None = None
        self.trace_ids = TraceIdRegistry(memory_budget.executed_ids)
        self.connections = ConnectionTracker(
            config.connection_budget.within(memory_budget.client_connections),
            ByteCount(memory_budget.request_bytes),
            executor.loop,
            encode_incomplete_rejection(config.settings.max_retry_after_s),
        )
        self._aiohttp_server = web.Server(
            self._handle,
            request_factory=make_request_factory(executor.loop, MAX_BODY_BYTES),
            handler_cancellation=True,  # cancel the request of a client that disconnects
        )

    def listen(self) -> None:
        """Start accepting connections.

        Raises:
            OSError: if the server cannot listen on the configured address.
        """
        self.listener = Listener(
            self.address.host, self.address.port, self.connections.ensure_capacity, self._make_connection
        )
        host, port = self.listener.socket.getsockname()[:2]
        self.address = Address(host, port)

    async def close(self, response_due: float = math.inf, linger_s: float = LINGER_S) -> None:
        """Stop accepting connections, close idle ones, and return once the others have closed.

        Requests in progress and requests whose first bytes have arrived get their response before.

        Args:
            response_due: event loop time in seconds at which a request that is still incomplete is rejected.
            linger_s: seconds that clients then have to read the last responses; the connections that are
                still open after that are aborted.
        """
        self.is_closing = True
        if self.listener:
            self.listener.close()
        self.connections.limit_linger(linger_s)
        await self._close_idle_connections(response_due)
        self.connections.reject_incomplete()
        await self._close_idle_connections(response_due + linger_s)
        self.connections.abort_all()
        if self.listener:
            await self.listener.wait_closed()

    async def _close_idle_connections(self, until: float) -> None:
        """Close the connections that become idle, until none is open or a time of the event loop has passed.

        Even if the event loop was held up until then, requests that have arrived meanwhile are read and get
        their response.
        """
        passes = 0
        while self.connections.open and (passes < MIN_CLOSE_PASSES or self.executor.loop.time() < until):
            self.connections.evict_idle()
            passes += 1
            await asyncio.sleep(CLOSE_RETRY_INTERVAL_S)

    def status_fields(self) -> dict[str, object]:
        """Return the fields of the status line: the client connections by state, and those closed early."""
        return self.connections.status_fields()

    def _make_connection(self, client_socket: socket.socket, waited_s: float) -> ClientConnection:
        connection = ClientConnection(
            self._aiohttp_server, self.connections, client_socket, waited_s, self.executor.loop
        )
        self.connections.add(connection)
        return connection

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        """Handle one request, from its complete head to its response."""
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        connection.begin_request(request.content)
        try:
            response = await self._respond(request, connection)
        finally:
            connection.end_request()
        if (
            self.is_closing
            or self.connections.exceeds_idle_limit()
            or not request.content.is_eof()
            or connection.intake.phase is not IntakePhase.HEAD
        ):
            response.force_close()  # announced in the response, so that no further request crosses the close
        return response

    async def _respond(self, request: web.BaseRequest, connection: ClientConnection) -> web.Response:
        arrived_at = self.executor.now() - connection.waiting_time_s()
        early_response = self._respond_to_head(request)
        if early_response is not None:
            return early_response
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                await request.content.wait_eof()  # the incomplete body stays where a close can drop it
            body = await request.read()
            client_request = decode_request(
                self.config, request.method, request.raw_path, request.headers, body
            )
        except TimeoutError:
            return web.Response(status=HTTPStatus.REQUEST_TIMEOUT)
        except web.HTTPRequestEntityTooLarge:
            return web.Response(status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        except ProtocolError as error:
            return _bad_request(str(error))
        if connection.has_queued_requests():
            return _bad_request("expected one request at a time on a connection, found a pipelined one")
        connection.complete_request()
        return await self._execute(client_request, arrived_at, connection)

    def _respond_to_head(self, request: web.BaseRequest) -> web.Response | None:
        """Return the response to a request if its head alone determines it, else None."""
        if request.path == READINESS_PATH:
            status = HTTPStatus.OK if self.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
            return web.Response(status=status)
        # An absolute URI in the request line is meant for a proxy, which this server is not.
        if request.path != REQUEST_PATH or not request.raw_path.startswith("/"):
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if request.method not in METHODS:
            return web.Response(status=HTTPStatus.METHOD_NOT_ALLOWED)
        if (request.content_length or 0) > MAX_BODY_BYTES:
            return web.Response(status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)  # without reading the body
        return None

    async def _execute(
        self, client_request: ClientRequest, arrived_at: float, connection: ClientConnection
    ) -> web.Response:
        """Execute one request; each attempt is one exchange with a storage node."""
        if self.connections.request_bytes.is_exceeded:
            return _encode_result(Rejected(self.config.settings.max_retry_after_s))
        if not self.trace_ids.acquire(client_request.trace_id, arrived_at):
            return _bad_request("X-Trace-Id: already used by a request that is in progress or has ended")
        request_id = self.executor.new_request_id()
        arrival = client_request.to_arrival(request_id, arrived_at + client_request.timeout_s)
        may_have_executed = False

        def time_left() -> float:
            return 0.0 if connection.client_has_left() else self.executor.attempt_time_left(request_id)

        async def attempt(node_id: int) -> AttemptResult[bytes]:
            nonlocal may_have_executed
            executed_before = may_have_executed
            may_have_executed = True  # stays so if the client leaves meanwhile
            result = await self.node_client.attempt(node_id, client_request, time_left)
            may_have_executed = executed_before or not result.outcome.proves_no_execution
            return result

        try:
            result = await self.executor.execute(arrival, attempt)
        finally:
            self.trace_ids.release(
                client_request.trace_id, self.executor.now(), may_have_executed=may_have_executed
            )
        return _encode_result(result)


def _encode_result(result: Served[bytes] | Rejected | Failed) -> web.Response:
    match result:
        case Served(body):
            return web.Response(body=body)
        case Rejected(retry_after_s):
            headers = retry_fields(retry_after_s)
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)
        case Failed():
            return web.Response(status=HTTPStatus.BAD_GATEWAY)


def _bad_request(reason: str) -> web.Response:
    return web.Response(status=HTTPStatus.BAD_REQUEST, text=f"{reason}\n")

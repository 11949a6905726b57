"""Attempts over HTTP: a pool of connections for each box, and what each ending proves.

The connections are asyncio protocols of our own, read by aiohttp's parser. aiohttp's client could not keep
the rule that a client gets the answer made for its request: bytes that come while a connection is pooled it
keeps and reads as the next request's answer, and noise in one piece with a good answer costs that answer. It
also resends by itself, and knows no bound for idle connections over all boxes.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from storage_gateway.config import Address
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.errors import InvalidResponseError
from storage_gateway.http.request_codec import ClientRequest, encode_attempt
from storage_gateway.http.response_parser import (
    NodeResponse,
    ResponseParser,
    decode_outcome,
    decode_units_elsewhere,
)
from storage_gateway.http.sockets import has_unread_data
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.policy_api import AttemptOutcome

IDLE_SHARE = 0.5  # of the boxes' idle limit, after which a pooled connection is dropped
REST = 0.02  # seconds that a connection rests after an answer, so that what comes behind that is noticed
GAP = 0.05  # seconds for the head of an answer, once it has begun, and between the pieces of its body


class Connection(asyncio.Protocol):
    """A connection to a box; it carries one exchange at a time."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.reader: ResponseParser | None = None  # of the answer that is awaited
        self.answer: asyncio.Future[NodeResponse] | None = None
        self.gap: asyncio.TimerHandle | None = None
        self.expiry: asyncio.TimerHandle | None = None
        self.unwritten = False  # a part of the request is still here
        self.rested_at = 0.0
        self.left: Callable[[], None] | None = None  # while it is pooled: what to do when it ends

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(0)  # pause_writing then says that the last byte has not left

    def pause_writing(self) -> None:
        self.unwritten = True

    def resume_writing(self) -> None:
        self.unwritten = False

    def data_received(self, data: bytes) -> None:
        if self.reader is None or self.answer is None or self.answer.done():
            self.abort()  # nothing is awaited: these bytes must never become the next request's answer
            return
        try:
            answer = self.reader.feed(data)
        except InvalidResponseError as error:
            self.fail(error)
            return
        if answer:
            self.answer.set_result(answer)
        elif self.gap is None or self.reader.head_is_complete:
            if self.gap:
                self.gap.cancel()
            self.gap = self.loop.call_later(GAP, self.fail, InvalidResponseError("it does not end"))

    def eof_received(self) -> None:
        self.fail(InvalidResponseError("the connection ended"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.fail(InvalidResponseError("the connection broke"))

    def fail(self, error: InvalidResponseError) -> None:
        if self.answer and not self.answer.done():
            self.answer.set_exception(error)
        self.abort()

    def abort(self) -> None:
        """At once: close() would first write what is still buffered."""
        if self.left:
            self.left()
        if self.transport:
            self.transport.abort()

    def usable(self) -> bool:
        """Open, and nothing has come that the loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not has_unread_data(self.transport)

    async def exchange(self, request: bytes) -> NodeResponse:
        if self.transport is None or self.transport.is_closing():
            raise ConnectionError("it ended before the first byte")  # so nothing ran
        self.reader, self.answer = ResponseParser(), self.loop.create_future()
        self.transport.write(request)
        try:
            return await self.answer
        finally:
            self.reader = self.answer = None
            if self.gap:
                self.gap.cancel()
                self.gap = None


class ConnectionPool:
    """The idle connections to one life of one box, the longest rested first."""

    def __init__(self, address: Address) -> None:
        self.address, self.retired = address, False
        self.idle: deque[Connection] = deque()


class NodeClient:
    """Attempts at the boxes of the directory. ``most`` bounds the connections to all of them."""

    def __init__(
        self, registry: EndpointRegistry, connect_timeout_s: float, idle_close_s: float, most: int
    ) -> None:
        self.registry, self.connect_timeout_s, self.most = registry, connect_timeout_s, most
        self.keep = idle_close_s * IDLE_SHARE
        self.pools: dict[int, ConnectionPool] = {}
        self.open = 0  # connections, those that come up included
        self.dials, self.dial_failures = 0, 0  # since the last report
        registry.listeners.append(self.changed)

    def changed(self, node: int) -> None:
        """The box drains, went or started anew: no connection to the old one is used again."""
        if pool := self.pools.pop(node, None):
            pool.retired = True
            while pool.idle:
                self.drop(pool, pool.idle[0])

    def drop(self, pool: ConnectionPool, connection: Connection) -> None:
        """An idle connection has been so for long, or is in the way."""
        self.take_out(pool, connection)
        connection.abort()

    def take_out(self, pool: ConnectionPool, connection: Connection) -> None:
        pool.idle.remove(connection)
        self.open -= 1
        connection.left = None
        if connection.expiry:
            connection.expiry.cancel()

    async def attempt(self, node: int, ask: ClientRequest, left: Callable[[], float]) -> AttemptResult[bytes]:
        """Send the request to the box, once; any ending that is not proven harmless may have run. ``left``
        says how many seconds there are for it, none once nobody waits for the answer.
        """
        if not self.registry.is_serving(node):
            return AttemptResult(AttemptOutcome.NOT_SENT)
        pool = self.pools.get(node)
        if pool is None:
            pool = self.pools[node] = ConnectionPool(self.registry.endpoints[node].address)
        connection, answer, unused = None, None, False
        self.open += 1
        try:
            connection = self.rested(pool) or await self.dial(pool)
            wait = left()  # the last look before the first byte: much may have come while it was dialled
            if pool.retired or wait <= 0:
                unused = not pool.retired
                return AttemptResult(AttemptOutcome.NOT_SENT)
            try:
                answer = await connection.exchange(encode_attempt(ask, pool.address, wait))
            except InvalidResponseError:
                return AttemptResult(
                    AttemptOutcome.CONNECT_FAILED if connection.unwritten else AttemptOutcome.CONNECTION_RESET
                )
            outcome = decode_outcome(answer.status, answer.headers)
            if outcome is not AttemptOutcome.SERVED:
                return AttemptResult(outcome)
            return AttemptResult(outcome, answer.body, decode_units_elsewhere(answer.headers))
        except (OSError, TimeoutError):
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        finally:
            reusable = unused or (answer is not None and answer.is_reusable)
            if connection and reusable and connection.usable() and not pool.retired:
                self.give_back(pool, connection)
            else:
                self.open -= 1
                if connection:
                    connection.abort()

    def rested(self, pool: ConnectionPool) -> Connection | None:
        """An idle connection. One with bytes that nobody awaits, seen by the loop or not yet, is none."""
        now = asyncio.get_running_loop().time()
        while pool.idle and pool.idle[0].rested_at <= now:
            connection = pool.idle[0]
            self.take_out(pool, connection)
            if connection.usable():
                return connection
            connection.abort()
        return None

    async def dial(self, pool: ConnectionPool) -> Connection:
        if self.open > self.most:  # as many are kept as clients can have requests: an idle one is in the way
            for other in self.pools.values():
                if other.idle:
                    self.drop(other, other.idle[0])
                    break
        self.dials += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(Connection, pool.address.host, pool.address.port)
        except (OSError, TimeoutError):
            self.dial_failures += 1
            raise
        return connection

    def status_fields(self) -> dict[str, object]:
        """For the log: connections, and those that were dialled since the last call."""
        dials, failures, self.dials, self.dial_failures = self.dials, self.dial_failures, 0, 0
        return {"connections": self.open, "dials": dials, "dial_failures": failures}

    def give_back(self, pool: ConnectionPool, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        connection.rested_at = loop.time() + REST
        connection.expiry = loop.call_later(self.keep, self.drop, pool, connection)
        connection.left = partial(self.take_out, pool, connection)
        pool.idle.append(connection)

    def close(self) -> None:
        for node in list(self.pools):
            self.changed(node)

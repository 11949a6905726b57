"""The client of the storage nodes; the result of an attempt says whether the node may have executed it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.errors import InvalidResponseError, NotSentError
from storage_gateway.http.node_connection import NodeConnection
from storage_gateway.http.pool import ConnectionCount, ConnectionPool
from storage_gateway.http.request_codec import ClientRequest, encode_attempt
from storage_gateway.http.response_parser import NodeResponse, decode_outcome, decode_units_elsewhere
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.memory import BYTES_PER_KB, ByteCount
from storage_gateway.policy_api import AttemptOutcome

IDLE_TIMEOUT_FRACTION = 0.5  # of the nodes' idle timeout, after which pooled connections are closed


class NodeClient:
    """Makes attempts at the registry's endpoints, over pooled connections.

    Args:
        registry: the endpoints; a change of an endpoint retires its connection pool.
        connect_timeout_s: maximum seconds to open a connection.
        idle_close_s: seconds after which the nodes close an idle connection.
        max_connections: number of connections to all nodes beyond which idle ones are closed.
        max_response_bytes: number of bytes of all responses that are being received, beyond which large ones
            are given up; 0 for no limit.

    Attributes:
        pools: the connection pool of each node, by the node's id in the registry.
        dials: connections that were opened or failed to open since the last status line.
        dial_failures: those of them that failed to open.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        connect_timeout_s: float,
        idle_close_s: float,
        max_connections: int,
        max_response_bytes: int = 0,
    ) -> None:
        self.pools: dict[int, ConnectionPool] = {}
        self.dials = 0
        self.dial_failures = 0
        self._registry = registry
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_close_s * IDLE_TIMEOUT_FRACTION
        self._max_connections = max_connections
        self._connection_count = ConnectionCount()
        self._response_bytes = ByteCount(max_response_bytes)
        registry.listeners.append(self._retire_pool)

    @property
    def open_connections(self) -> int:
        """Number of connections to all nodes that are in use, idle or being opened."""
        return self._connection_count.open

    async def attempt(
        self, node_id: int, request: ClientRequest, time_left: Callable[[], float]
    ) -> AttemptResult[bytes]:
        """Send the request to the node once.

        Args:
            node_id: the node's id in the registry.
            request: the client's request.
            time_left: returns the seconds that remain for the attempt, 0 if the client has disconnected.

        Returns:
            The result. Its outcome says that the node has not executed the request only if that is certain.
        """
        if not self._registry.is_serving(node_id):
            return AttemptResult(AttemptOutcome.NOT_SENT)
        pool = self.pools.get(node_id)
        if pool is None:
            pool = self._add_pool(node_id)
        connection: NodeConnection | None = None
        is_reusable = False
        self._connection_count.open += 1
        try:
            connection = pool.acquire() or await self.dial(pool)
            # Last check before the first byte is written: while the connection was opened, the node may have
            # begun to drain, or the client may have disconnected.
            time_left_s = time_left()
            if pool.is_retired or time_left_s <= 0:
                is_reusable = True  # the connection is unused; a retired pool does not take it back
                return AttemptResult(AttemptOutcome.NOT_SENT)
            try:
                response = await connection.exchange(encode_attempt(request, pool.address, time_left_s))
            except InvalidResponseError:
                # A node does not execute a request that it has not received completely.
                request_is_incomplete = connection.has_unsent_data
                return AttemptResult(
                    AttemptOutcome.CONNECT_FAILED
                    if request_is_incomplete
                    else AttemptOutcome.CONNECTION_RESET
                )
            is_reusable = response.is_reusable
            return _decode_result(response)
        except (OSError, TimeoutError, NotSentError):
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        finally:
            self._release(pool, connection, is_reusable)

    async def dial(self, pool: ConnectionPool) -> NodeConnection:
        """Open a connection to the pool's endpoint.

        Raises:
            OSError: if the node refuses the connection or cannot be reached.
            TimeoutError: if the connection does not open within the connect timeout.
        """
        # The limit allows one connection for each request that clients can have: beyond it, one is idle.
        if self._connection_count.open > self._max_connections:
            self._close_idle_connection()
        self.dials += 1
        loop = asyncio.get_running_loop()
        address = pool.address
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: NodeConnection(self._response_bytes), address.host, address.port
                )
        except (OSError, TimeoutError):
            self.dial_failures += 1
            raise
        return connection

    def status_fields(self) -> dict[str, object]:
        """Return the fields of the status line: open connections, and dials since the last call."""
        fields: dict[str, object] = {
            "connections": self._connection_count.open,
            "dials": self.dials,
            "dial_failures": self.dial_failures,
            "response_kb": self._response_bytes.used_bytes // BYTES_PER_KB,
        }
        self.dials = 0
        self.dial_failures = 0
        return fields

    def close(self) -> None:
        """Close the idle connections; connections in use close after their exchange."""
        for node_id in list(self.pools):
            self._retire_pool(node_id)

    def _add_pool(self, node_id: int) -> ConnectionPool:
        address = self._registry.endpoints[node_id].address
        pool = ConnectionPool(address, self._idle_timeout_s, self._connection_count)
        self.pools[node_id] = pool
        return pool

    def _retire_pool(self, node_id: int) -> None:
        """Retire the pool of an endpoint that drains, was removed or restarted; no connection is reused."""
        pool = self.pools.pop(node_id, None)
        if pool is not None:
            pool.retire()

    def _release(self, pool: ConnectionPool, connection: NodeConnection | None, is_reusable: bool) -> None:
        if connection and is_reusable and connection.is_usable() and not pool.is_retired:
            pool.release(connection)
            return
        self._connection_count.open -= 1
        if connection:
            connection.abort()

    def _close_idle_connection(self) -> None:
        for pool in self.pools.values():
            if pool.idle:
                pool.close_longest_idle()
                return


def _decode_result(response: NodeResponse) -> AttemptResult[bytes]:
    outcome = decode_outcome(response.status, response.headers)
    if outcome is not AttemptOutcome.SERVED:
        return AttemptResult(outcome)
    return AttemptResult(outcome, response.body, decode_units_elsewhere(response.headers))

"""The client of the storage nodes: one attempt is one exchange, and its result says what that proves."""

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
from storage_gateway.policy_api import AttemptOutcome

IDLE_TIMEOUT_FRACTION = 0.5  # of the nodes' idle timeout, after which a pooled connection is closed


class NodeClient:
    """Makes attempts at the registry's endpoints, over pooled connections.

    Args:
        registry: the endpoints; a change retires the pool of its node.
        connect_timeout_s: seconds for a connection to come up.
        idle_close_s: seconds after which the nodes close an idle connection.
        max_connections: number of connections to all nodes beyond which idle ones are closed.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        connect_timeout_s: float,
        idle_close_s: float,
        max_connections: int,
    ) -> None:
        self.pools: dict[int, ConnectionPool] = {}
        self.dials = 0  # since the last status line
        self.dial_failures = 0
        self._registry = registry
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_close_s * IDLE_TIMEOUT_FRACTION
        self._max_connections = max_connections
        self._connection_count = ConnectionCount()
        registry.listeners.append(self._retire_pool)

    @property
    def open_connections(self) -> int:
        """The number of connections to all nodes: in use, idle or being opened."""
        return self._connection_count.open

    async def attempt(
        self, node: int, request: ClientRequest, time_left: Callable[[], float]
    ) -> AttemptResult[bytes]:
        """Send the request to the node, once.

        Args:
            node: the node's id in the registry.
            request: the client's request.
            time_left: returns the seconds that remain for the attempt, 0 once nobody waits for it.

        Returns:
            The result; only an outcome that proves it says that the node has not executed the request.
        """
        if not self._registry.is_serving(node):
            return AttemptResult(AttemptOutcome.NOT_SENT)
        pool = self.pools.get(node)
        if pool is None:
            pool = self._add_pool(node)
        connection: NodeConnection | None = None
        is_reusable = False
        self._connection_count.open += 1
        try:
            connection = pool.acquire() or await self.dial(pool)
            # The last check before the first byte: the node may have begun to drain, or the client may have
            # left, while the connection came up.
            time_left_s = time_left()
            if pool.is_retired or time_left_s <= 0:
                is_reusable = True  # it was not used; a retired pool does not take it back
                return AttemptResult(AttemptOutcome.NOT_SENT)
            try:
                response = await connection.exchange(encode_attempt(request, pool.address, time_left_s))
            except InvalidResponseError:
                # A node does not run a request that has not come whole.
                unsent = connection.has_unsent_data
                return AttemptResult(
                    AttemptOutcome.CONNECT_FAILED if unsent else AttemptOutcome.CONNECTION_RESET
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
            OSError: if the node refuses it or cannot be reached.
            TimeoutError: if it does not come up in time.
        """
        # There are as many connections as clients can have requests: at the limit an idle one is in the way.
        if self._connection_count.open > self._max_connections:
            self._close_an_idle_connection()
        self.dials += 1
        loop = asyncio.get_running_loop()
        address = pool.address
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(NodeConnection, address.host, address.port)
        except (OSError, TimeoutError):
            self.dial_failures += 1
            raise
        return connection

    def status_fields(self) -> dict[str, object]:
        """Return fields for the status line: connections, and those dialled since the last call."""
        fields: dict[str, object] = {
            "connections": self._connection_count.open,
            "dials": self.dials,
            "dial_failures": self.dial_failures,
        }
        self.dials = 0
        self.dial_failures = 0
        return fields

    def close(self) -> None:
        """Close the idle connections; those in use end with their exchange."""
        for node in list(self.pools):
            self._retire_pool(node)

    def _add_pool(self, node: int) -> ConnectionPool:
        address = self._registry.endpoints[node].address
        pool = ConnectionPool(address, self._idle_timeout_s, self._connection_count)
        self.pools[node] = pool
        return pool

    def _retire_pool(self, node: int) -> None:
        """The endpoint drains, went or started anew: no connection to its old life is used again."""
        pool = self.pools.pop(node, None)
        if pool is not None:
            pool.retire()

    def _release(self, pool: ConnectionPool, connection: NodeConnection | None, is_reusable: bool) -> None:
        if connection and is_reusable and connection.is_usable() and not pool.is_retired:
            pool.release(connection)
            return
        self._connection_count.open -= 1
        if connection:
            connection.abort()

    def _close_an_idle_connection(self) -> None:
        for pool in self.pools.values():
            if pool.idle:
                pool.close_oldest()
                return


def _decode_result(response: NodeResponse) -> AttemptResult[bytes]:
    outcome = decode_outcome(response.status, response.headers)
    if outcome is not AttemptOutcome.SERVED:
        return AttemptResult(outcome)
    return AttemptResult(outcome, response.body, decode_units_elsewhere(response.headers))

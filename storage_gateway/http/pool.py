"""The pool of idle connections to one storage node."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from functools import partial

from storage_gateway.config import Address
from storage_gateway.http.node_connection import NodeConnection

REUSE_DELAY_S = 0.02  # between a response and the reuse of its connection, to detect data behind it


@dataclass(slots=True)
class ConnectionCount:
    """The number of connections to all nodes, shared by the pools and their client.

    Attributes:
        open: connections that are in use, idle or being opened.
    """

    open: int = 0


class ConnectionPool:
    """The idle connections to one endpoint.

    When the endpoint drains, is removed or restarts, its pool is retired; after a restart it gets a new pool.

    Args:
        address: the endpoint's address.
        idle_timeout_s: seconds after which an idle connection is closed.
        connection_count: decremented for each connection that leaves the pool.

    Attributes:
        address: the endpoint's address.
        is_retired: whether released connections must be closed instead of pooled.
        idle: the idle connections, the longest idle first.
    """

    def __init__(self, address: Address, idle_timeout_s: float, connection_count: ConnectionCount) -> None:
        self.address = address
        self.is_retired = False
        self.idle: deque[NodeConnection] = deque()
        self._idle_timeout_s = idle_timeout_s
        self._connection_count = connection_count

    def acquire(self) -> NodeConnection | None:
        """Remove and return a usable idle connection, or None; close those with unexpected data."""
        now = asyncio.get_running_loop().time()
        while self.idle and self.idle[0].reusable_at <= now:
            connection = self.idle[0]
            self._remove(connection)
            if connection.is_usable():
                return connection
            connection.abort()
        return None

    def release(self, connection: NodeConnection) -> None:
        """Return a connection to the pool; it is already included in the connection count."""
        loop = asyncio.get_running_loop()
        connection.reusable_at = loop.time() + REUSE_DELAY_S
        connection.expiry_timer = loop.call_later(self._idle_timeout_s, self._close, connection)
        connection.on_lost = partial(self._remove, connection)
        self.idle.append(connection)

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle for longest; the pool must not be empty."""
        self._close(self.idle[0])

    def retire(self) -> None:
        """Close the idle connections; connections in use must not be released to this pool any more."""
        self.is_retired = True
        while self.idle:
            self.close_longest_idle()

    def _close(self, connection: NodeConnection) -> None:
        self._remove(connection)
        connection.abort()

    def _remove(self, connection: NodeConnection) -> None:
        self.idle.remove(connection)
        self._connection_count.open -= 1
        connection.on_lost = None
        if connection.expiry_timer:
            connection.expiry_timer.cancel()

"""The pool of idle connections to one storage node."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from functools import partial

from storage_gateway.config import Address
from storage_gateway.http.node_connection import NodeConnection

SETTLE_TIME_S = 0.02  # a connection waits this long after a response, so that bytes behind that are noticed


@dataclass(slots=True)
class ConnectionCount:
    """The number of connections to all nodes, shared by the pools and their client.

    Attributes:
        open: connections in use, idle or being opened.
    """

    open: int = 0


class ConnectionPool:
    """The idle connections to one life of one endpoint, the longest settled first.

    When the endpoint drains, goes or starts anew, its pool is retired and a new life gets a new pool.

    Args:
        address: the endpoint's address.
        idle_timeout_s: seconds after which an idle connection is closed.
        connection_count: lowered by each connection that leaves the pool.
    """

    def __init__(self, address: Address, idle_timeout_s: float, connection_count: ConnectionCount) -> None:
        self.address = address
        self.is_retired = False
        self.idle: deque[NodeConnection] = deque()
        self._idle_timeout_s = idle_timeout_s
        self._connection_count = connection_count

    def acquire(self) -> NodeConnection | None:
        """Take out an idle connection that is usable; one with bytes that no request awaits is closed."""
        now = asyncio.get_running_loop().time()
        while self.idle and self.idle[0].settled_at <= now:
            connection = self.idle[0]
            self._remove(connection)
            if connection.is_usable():
                return connection
            connection.abort()
        return None

    def release(self, connection: NodeConnection) -> None:
        """Put a connection back; it counts as open throughout."""
        loop = asyncio.get_running_loop()
        connection.settled_at = loop.time() + SETTLE_TIME_S
        connection.expiry_timer = loop.call_later(self._idle_timeout_s, self._close, connection)
        connection.on_lost = partial(self._remove, connection)
        self.idle.append(connection)

    def close_oldest(self) -> None:
        """Close the connection that has been idle for the longest; there must be one."""
        self._close(self.idle[0])

    def retire(self) -> None:
        """Close the idle connections; those in use must not come back."""
        self.is_retired = True
        while self.idle:
            self.close_oldest()

    def _close(self, connection: NodeConnection) -> None:
        self._remove(connection)
        connection.abort()

    def _remove(self, connection: NodeConnection) -> None:
        self.idle.remove(connection)
        self._connection_count.open -= 1
        connection.on_lost = None
        if connection.expiry_timer:
            connection.expiry_timer.cancel()

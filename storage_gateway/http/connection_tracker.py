"""The open client connections: their limits, and which of them are evicted at the limit."""

from __future__ import annotations

import asyncio

from storage_gateway.http.client_connection import ClientConnection

MIN_EVICTION_AGE_S = 0.03  # the first request of a younger connection may still be in transit


class ConnectionTracker:
    """Tracks the open client connections; only its methods change the three collections.

    Attributes:
        open: all open connections.
        never_used: connections without a request so far, the oldest first.
        idle: connections without a request in progress, including those never used; the longest idle first.
        max_connections: maximum number of open connections.
        max_idle_connections: maximum number of idle connections that have carried a request; beyond it, each
            response closes its connection.
    """

    def __init__(
        self, max_connections: int, max_idle_connections: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.max_connections = max_connections
        self.max_idle_connections = max_idle_connections
        self.open: set[ClientConnection] = set()
        self.never_used: dict[ClientConnection, None] = {}  # a dict used as an ordered set
        self.idle: dict[ClientConnection, None] = {}
        self._loop = loop

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be accepted; at the limit, evict an idle one to make room.

        The oldest connection that was never used is evicted first, then the longest idle one. Right after a
        flood of connections reaches the limit, none is old enough and new ones wait in the kernel's backlog.
        """
        if len(self.open) < self.max_connections:
            return True
        latest_accepted_at = self._loop.time() - MIN_EVICTION_AGE_S
        for connection in [*self.never_used, *self.idle]:
            if connection.accepted_at <= latest_accepted_at and connection.is_evictable():
                connection.evict()
                return True
        return False

    def exceeds_idle_limit(self) -> bool:
        """Return whether too many connections that have carried a request are idle.

        Without this limit, clients that send one request and keep their connection open would soon hold all
        connections, and further clients would get none. Connections in use do not count: during a retry
        storm, reconnecting clients would cost the capacity that the responses need.
        """
        return len(self.idle) - len(self.never_used) > self.max_idle_connections

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that was accepted."""
        self.open.add(connection)
        self.never_used[connection] = None

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that no request is in progress on the connection."""
        self.idle[connection] = None

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that a request head was received: the connection is not evicted before the response."""
        self.never_used.pop(connection, None)
        self.idle.pop(connection, None)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.open.discard(connection)
        self.never_used.pop(connection, None)
        self.idle.pop(connection, None)

    def evict_idle(self) -> None:
        """Evict all idle connections whose close neither fails a request nor truncates a response."""
        for connection in list(self.idle):
            if connection.is_safe_to_close():
                connection.evict()

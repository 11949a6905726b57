"""The record of the clients' connections: how many there may be, and which of them can make room."""

from __future__ import annotations

import asyncio

from storage_gateway.http.client_connection import ClientConnection

MIN_EVICTION_AGE_S = 0.03  # a younger connection's first request may still be on its way


class ConnectionTracker:
    """The open connections of clients and their limits; it owns these three collections.

    Attributes:
        open: all of them.
        never_used: those without a request so far, the oldest first.
        idle: those without a request in progress, the longest idle first.
        max_connections: limit of all open connections.
        max_idle_connections: limit of idle ones that have been used, beyond which each response ends its
            connection.
    """

    def __init__(
        self, max_connections: int, max_idle_connections: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.max_connections = max_connections
        self.max_idle_connections = max_idle_connections
        self.open: set[ClientConnection] = set()
        self.never_used: dict[ClientConnection, None] = {}  # a dict, as an ordered set
        self.idle: dict[ClientConnection, None] = {}
        self._loop = loop

    def has_capacity(self) -> bool:
        """Whether one more connection may be accepted; at the limit, one that is idle is evicted for it.

        The oldest that was never used goes first, then the longest idle. Where a flood has just reached the
        limit none is old enough, and the kernel holds new connections for a moment.
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
        """Whether there are too many idle connections that have been used.

        Guards against clients that send one request and keep their connection for good: they would soon hold
        all that clients can open, and the next would find none. Only idle connections count: amid a storm of
        retries, new connections would cost the capacity that the responses need.
        """
        return len(self.idle) - len(self.never_used) > self.max_idle_connections

    def add(self, connection: ClientConnection) -> None:
        """Record a connection that was accepted."""
        self.open.add(connection)
        self.never_used[connection] = None

    def mark_idle(self, connection: ClientConnection) -> None:
        """Note that no request is in progress on the connection."""
        self.idle[connection] = None

    def mark_busy(self, connection: ClientConnection) -> None:
        """Note that a request's head has come: the connection can't be evicted before its response."""
        self.never_used.pop(connection, None)
        self.idle.pop(connection, None)

    def forget(self, connection: ClientConnection) -> None:
        """Drop a connection that has ended."""
        self.open.discard(connection)
        self.never_used.pop(connection, None)
        self.idle.pop(connection, None)

    def evict_idle(self) -> None:
        """End all idle connections that can be closed without failing a request or cutting a response."""
        for connection in list(self.idle):
            if connection.may_be_closed():
                connection.evict()

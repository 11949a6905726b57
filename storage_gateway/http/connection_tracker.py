"""The open client connections: their limits, and which of them are evicted at the limit."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from storage_gateway.config import ConnectionBudget
from storage_gateway.http.client_connection import ClientConnection
from storage_gateway.memory import BYTES_PER_KB, ByteCount

MIN_EVICTION_AGE_S = 0.03  # the first request of a younger connection may still be in transit


class ConnectionTracker:
    """Tracks the open client connections; only its methods change the collections.

    Attributes:
        open: all open connections.
        never_used: connections on which nothing has been received so far, the oldest first.
        idle: connections without a request in progress, including those never used; the longest idle first.
        receiving: connections with an incomplete request, that of the earliest first byte first.
        rejected: connections that close after the rejection of an invalid or oversized request, the earliest
            rejection first.
        max_connections: maximum number of open connections.
        max_idle_connections: maximum number of idle connections that have carried a request; beyond it, each
            response closes its connection.
        request_bytes: bytes of all requests that have no response yet, as far as they have been received;
            beyond their maximum, incomplete ones are rejected.
        incomplete_request_response: sent to a client whose incomplete request is rejected.
        evicted: idle connections evicted at the limit since the last status line.
        incomplete_rejected: incomplete requests rejected at a limit since the last status line.
    """

    def __init__(
        self,
        budget: ConnectionBudget,
        request_bytes: ByteCount,
        loop: asyncio.AbstractEventLoop,
        incomplete_request_response: bytes,
    ) -> None:
        self.max_connections = budget.client_connections
        self.max_idle_connections = budget.idle_client_connections
        self.request_bytes = request_bytes
        self.incomplete_request_response = incomplete_request_response
        self.open: set[ClientConnection] = set()
        self.never_used: dict[ClientConnection, None] = {}  # a dict used as an ordered set
        self.idle: dict[ClientConnection, None] = {}
        self.receiving: dict[ClientConnection, None] = {}
        self.rejected: dict[ClientConnection, None] = {}
        self.evicted = 0
        self.incomplete_rejected = 0
        self._loop = loop

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be accepted; at the limit, close one first.

        A connection whose invalid request has been rejected is evicted first, then the oldest that was never
        used, then the longest idle one. If none can be, or all that can be were active later, a request that
        has stalled before it was complete is rejected:
        clients that stop within a request would otherwise hold all connections, while complete requests wait
        in the kernel's backlog. Right after a flood of connections reaches the limit, none is old enough to
        be closed and new ones wait there.
        """
        if len(self.open) < self.max_connections:
            return True
        if self._evict_rejected():
            return True
        stalled = next((connection for connection in self.receiving if connection.is_stalled()), None)
        unused = self._first_evictable(self.never_used)
        if unused and stalled and stalled.last_received_at < unused.accepted_at:
            self._reject_incomplete(stalled)
        elif evictable := unused or self._first_evictable(self.idle):
            evictable.evict()
            self.evicted += 1
        elif stalled:
            self._reject_incomplete(stalled)
        else:
            return False
        return True

    def _first_evictable(self, connections: Iterable[ClientConnection]) -> ClientConnection | None:
        latest_accepted_at = self._loop.time() - MIN_EVICTION_AGE_S
        for connection in connections:
            if connection.accepted_at <= latest_accepted_at and connection.is_evictable():
                return connection
        return None

    def _evict_rejected(self) -> bool:
        """Evict the connection of the request rejected earliest; return False if there is none to evict."""
        lingering = next((connection for connection in self.rejected if connection.is_lingering()), None)
        if lingering is None:
            return False
        lingering.evict()
        return True

    def _reject_incomplete(self, connection: ClientConnection) -> None:
        connection.reject_incomplete_request(self.incomplete_request_response)
        self.incomplete_rejected += 1

    def exceeds_idle_limit(self) -> bool:
        """Return whether too many connections that have carried a request are idle.

        Without this limit, clients that send one request and keep their connection open would soon hold all
        connections, and further clients would get none. Connections in use do not count: during a retry
        storm, reconnecting clients would cost the capacity that the responses need.
        """
        return len(self.idle) - len(self.never_used) > self.max_idle_connections

    def hold(self, connection: ClientConnection, byte_count: int) -> None:
        """Record that the request on the connection holds so many further bytes.

        Beyond the limit, rejected requests are dropped, and then the incomplete requests whose first bytes
        arrived first are rejected. A usual request is complete soon after its first byte, so that it is
        hardly ever among them.
        """
        connection.held_bytes += byte_count
        self.request_bytes.add(byte_count)
        while self.request_bytes.is_exceeded:
            if self._evict_rejected():
                continue
            if not self.receiving:
                return
            self._reject_incomplete(next(iter(self.receiving)))

    def release(self, connection: ClientConnection) -> None:
        """Record that no request on the connection holds bytes any more."""
        self.request_bytes.add(-connection.held_bytes)
        connection.held_bytes = 0

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that was accepted."""
        self.open.add(connection)
        self.never_used[connection] = None

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that no request is in progress on the connection, unless it has ended.

        The handling of a request ends after its connection if the client has disconnected. Among the idle
        ones, the connection would stay for good and count towards their limit.
        """
        self.receiving.pop(connection, None)
        if connection in self.open:
            self.idle[connection] = None

    def mark_receiving(self, connection: ClientConnection) -> None:
        """Record that part of a request was received: the connection is not idle before the response."""
        self.never_used.pop(connection, None)
        self.idle.pop(connection, None)
        self.receiving[connection] = None

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that no more of a request is awaited: nothing closes the connection before the response."""
        self.receiving.pop(connection, None)

    def mark_rejected(self, connection: ClientConnection) -> None:
        """Record that the connection closes after the rejection of its invalid or oversized request."""
        self.receiving.pop(connection, None)
        if connection in self.open:
            self.rejected[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.release(connection)
        self.open.discard(connection)
        self.never_used.pop(connection, None)
        self.idle.pop(connection, None)
        self.receiving.pop(connection, None)
        self.rejected.pop(connection, None)

    def evict_idle(self) -> None:
        """Evict all connections whose close neither fails a request nor truncates a response."""
        for connection in [*self.idle, *self.receiving]:
            if connection.is_safe_to_close():
                connection.evict()

    def limit_linger(self, linger_s: float) -> None:
        """Limit the time that the clients of all open connections have to read their last response."""
        for connection in self.open:
            connection.limit_linger(linger_s)

    def reject_incomplete(self) -> None:
        """Reject all requests that have not arrived completely; what has arrived unread may complete one."""
        for connection in self.receiving.copy():
            if connection.is_awaiting_data():
                self.mark_rejected(connection)
                connection.write_and_close(self.incomplete_request_response)
                self.incomplete_rejected += 1

    def abort_all(self) -> None:
        """Abort all connections."""
        for connection in self.open.copy():
            connection.evict()

    def status_fields(self) -> dict[str, object]:
        """Return the fields of the status line, and reset the counts of closed connections."""
        fields: dict[str, object] = {
            "clients": len(self.open),
            "clients_idle": len(self.idle),
            "clients_receiving": len(self.receiving),
            "request_kb": self.request_bytes.used_bytes // BYTES_PER_KB,
            "clients_evicted": self.evicted,
            "incomplete_rejected": self.incomplete_rejected,
        }
        self.evicted = 0
        self.incomplete_rejected = 0
        return fields

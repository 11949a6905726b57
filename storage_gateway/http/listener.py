"""A listener that leaves connections in the kernel's backlog while there is no capacity for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from storage_gateway.sockets import is_readable, unread_data_age_s

MAX_ACCEPTS_PER_ITERATION = 32  # connections accepted in one iteration of the event loop
BACKLOG_LENGTH = 512  # connections that the kernel queues until they are accepted
CAPACITY_POLL_INTERVAL_S = 0.01


class Listener:
    """Accepts a connection only if ``has_capacity()``; until then the kernel queues it.

    This bounds the file descriptors in use: asyncio's own server accepts the whole backlog before any
    connection is counted, and pauses for a second once no descriptors are left.

    Args:
        host: address to listen on, IPv4 or IPv6.
        port: TCP port; 0 for one that the kernel chooses.
        has_capacity: returns whether one more connection may be accepted.
        protocol_factory: creates the protocol of an accepted connection. It is passed the socket, and the
            seconds that the data received on it has waited because there was no capacity.

    Attributes:
        loop: the running event loop.
        socket: the listening socket.
        resume_timer: resumes accepting; None unless accepting is paused.
        waiting_since: event loop time in seconds since which connections have waited for capacity; None if
            none waits.

    Raises:
        OSError: if the socket cannot be bound to the address.
    """

    def __init__(
        self,
        host: str,
        port: int,
        has_capacity: Callable[[], bool],
        protocol_factory: Callable[[socket.socket, float], asyncio.Protocol],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.resume_timer: asyncio.TimerHandle | None = None
        self._has_capacity = has_capacity
        self._protocol_factory = protocol_factory
        self.waiting_since: float | None = None
        self._connect_tasks: set[asyncio.Task[None]] = set()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.create_server((host, port), family=family, backlog=BACKLOG_LENGTH)
        self.socket.setblocking(False)
        self._resume()

    def close(self) -> None:
        """Accept the connections in the backlog as far as there is capacity, then stop listening.

        Closing the socket resets the connections left in its backlog, so they are accepted first.
        """
        if self.resume_timer:
            self.resume_timer.cancel()
        if self.socket.fileno() < 0:
            return
        self._accept()
        if self.resume_timer:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.socket)
        self.socket.close()

    async def wait_closed(self) -> None:
        """Wait until every accepted connection is attached to its protocol; call it after ``close``."""
        if self._connect_tasks:
            await asyncio.wait(self._connect_tasks)

    def _resume(self) -> None:
        self.resume_timer = None
        self.loop.add_reader(self.socket, self._accept)

    def _pause(self) -> None:
        self.waiting_since = self.waiting_since or self.loop.time()
        self.loop.remove_reader(self.socket)
        self.resume_timer = self.loop.call_later(CAPACITY_POLL_INTERVAL_S, self._resume)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if not is_readable(self.socket.fileno()):
                self.waiting_since = None
                return
            if not self._has_capacity():
                self._pause()
                return
            try:
                accepted_socket, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError:  # for example, no file descriptor is left
                self._pause()
                return
            protocol = self._protocol_factory(accepted_socket, self._waiting_time_s(accepted_socket))
            task = self.loop.create_task(self._connect(protocol, accepted_socket))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)

    def _waiting_time_s(self, accepted_socket: socket.socket) -> float:
        """Return how long data received on the socket has waited; 0 if accepting was not held back.

        The kernel's figure is limited to the time for which accepting has been held back.
        """
        if self.waiting_since is None:
            return 0.0
        return min(unread_data_age_s(accepted_socket), self.loop.time() - self.waiting_since)

    async def _connect(self, protocol: asyncio.Protocol, accepted_socket: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, accepted_socket)
        except OSError as error:
            accepted_socket.close()
            protocol.connection_lost(error)

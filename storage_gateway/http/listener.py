"""A listening socket that leaves connections in the kernel's backlog while there is no capacity for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from storage_gateway.http.sockets import readable

MAX_ACCEPTS_PER_TURN = 32  # connections accepted in one turn of the event loop
BACKLOG_LENGTH = 512  # connections that the kernel holds until they are accepted
CAPACITY_POLL_INTERVAL_S = 0.01


class Listener:
    """Accepts a connection only when ``has_capacity()``; until then the kernel holds it.

    This bounds the file descriptors in use: asyncio's own listener accepts a whole backlog before any
    connection is counted, and pauses for a second once no descriptors are left.

    Args:
        host: address to listen on, IPv4 or IPv6.
        port: TCP port; 0 lets the kernel choose one.
        has_capacity: whether one more connection may be accepted.
        make_protocol: makes the protocol of an accepted connection.

    Raises:
        OSError: if the address cannot be listened on.
    """

    def __init__(
        self,
        host: str,
        port: int,
        has_capacity: Callable[[], bool],
        make_protocol: Callable[[socket.socket], asyncio.Protocol],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.resume_timer: asyncio.TimerHandle | None = None  # set while accepting is paused
        self._has_capacity = has_capacity
        self._make_protocol = make_protocol
        self._connect_tasks: set[asyncio.Task[None]] = set()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.create_server((host, port), family=family, backlog=BACKLOG_LENGTH)
        self.socket.setblocking(False)
        self._resume()

    def close(self) -> None:
        """Accept what the kernel holds, as far as there is capacity, then stop listening.

        Closing the socket resets every connection in its backlog, so those are accepted first.
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

    async def closed(self) -> None:
        """Wait, after ``close``, until every accepted connection has its protocol."""
        if self._connect_tasks:
            await asyncio.wait(self._connect_tasks)

    def _resume(self) -> None:
        self.resume_timer = None
        self.loop.add_reader(self.socket, self._accept)

    def _pause(self) -> None:
        self.loop.remove_reader(self.socket)
        self.resume_timer = self.loop.call_later(CAPACITY_POLL_INTERVAL_S, self._resume)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not readable(self.socket.fileno()):
                return
            if not self._has_capacity():
                self._pause()
                return
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError:  # no descriptor is left, for example
                self._pause()
                return
            protocol = self._make_protocol(connection)
            task = self.loop.create_task(self._connect(protocol, connection))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)

    async def _connect(self, protocol: asyncio.Protocol, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError as error:
            connection.close()
            protocol.connection_lost(error)

"""What asyncio does not offer for sockets: a look for unread bytes or the peer's end, a close that lets the
peer read what was written, and a listener that can wait for room.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Iterable
from typing import Any

ACCEPTED = 32  # connections accepted in one turn of the loop
BACKLOG = 512  # connections that the kernel holds until they are accepted
PAUSE = 0.01  # seconds until the next look for room


def unread(transport: asyncio.Transport) -> bool:
    """Something has come, or the end, that the loop has not read yet."""
    return readable(transport.get_extra_info("socket").fileno())


def gone(connection: socket.socket) -> bool:
    """The peer has closed or reset, whether or not the loop has heard of it; bytes behind a request are no
    end, but one behind them is seen too.
    """
    if connection.fileno() < 0:
        return True
    look = select.poll()
    look.register(connection, select.POLLIN | select.POLLRDHUP)
    for _, events in look.poll(0):
        if events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL):
            return True
        try:
            return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
    return False


def readable(descriptor: int) -> bool:
    look = select.poll()
    look.register(descriptor, select.POLLIN)
    return bool(look.poll(0))


class GracefulTransport(asyncio.Transport):
    """A transport whose close() shuts the sending side and reads on for some seconds before the socket goes.

    Guards the last answer: a socket that is closed over unread bytes resets the connection, and the peer may
    lose what it has not read yet. The protocol is to drop what comes once ``is_closing``.
    """

    def __init__(self, inner: asyncio.Transport, seconds: float, most: float) -> None:
        super().__init__()
        self.inner, self.seconds, self.most = inner, seconds, most  # ``most``: for what is not written yet
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        if self.is_closing():
            return
        self.timer = self.loop.call_later(self.seconds, self.end, self.loop.time() + self.most)
        try:
            self.inner.resume_reading()
            self.inner.write_eof()
        except OSError:  # the peer has reset it
            self.abort()

    def end(self, last: float) -> None:
        if self.get_write_buffer_size() and self.loop.time() < last:
            self.timer = self.loop.call_later(self.seconds, self.end, last)
        else:
            self.abort()

    def get_write_buffer_size(self) -> int:
        return self.inner.get_write_buffer_size()

    def abort(self) -> None:
        """At once; what has not been written is lost."""
        self.inner.abort()

    def lost(self) -> None:
        if self.timer:
            self.timer.cancel()

    def is_closing(self) -> bool:
        return self.timer is not None or self.inner.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.inner.get_extra_info(name, default)

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        self.inner.write(data)

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview[Any]]) -> None:
        self.inner.writelines(list_of_data)

    def is_reading(self) -> bool:
        return self.inner.is_reading()

    def pause_reading(self) -> None:
        self.inner.pause_reading()

    def resume_reading(self) -> None:
        self.inner.resume_reading()


class Listener:
    """Accepts a connection only when there is ``room`` for it; until then the kernel holds it.

    Guards the descriptors: asyncio's own listener accepts a backlog at a time before any is counted, and
    pauses for a second once there are none left.
    """

    def __init__(
        self, host: str, port: int, room: Callable[[], bool],
        make: Callable[[socket.socket], asyncio.Protocol],
    ) -> None:  # fmt: skip
        self.loop, self.room, self.make = asyncio.get_running_loop(), room, make
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self.socket.setblocking(False)
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.resume()

    def resume(self) -> None:
        self.timer = None
        self.loop.add_reader(self.socket, self.accept)

    def accept(self) -> None:
        for _ in range(ACCEPTED):
            if not readable(self.socket.fileno()):
                return None
            if not self.room():
                return self.wait()
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:
                return None
            except OSError:
                return self.wait()
            task = self.loop.create_task(self.connect(self.make(connection), connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return None

    def wait(self) -> None:
        self.loop.remove_reader(self.socket)
        self.timer = self.loop.call_later(PAUSE, self.resume)

    async def connect(self, protocol: asyncio.Protocol, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError as error:
            connection.close()
            protocol.connection_lost(error)

    def close(self) -> None:
        """Accept what the kernel holds, as far as there is room: closing the listener would reset it."""
        if self.timer:
            self.timer.cancel()
        if self.socket.fileno() < 0:
            return
        self.accept()
        if self.timer:
            self.timer.cancel()
        self.loop.remove_reader(self.socket)
        self.socket.close()

"""A transport whose close lets the peer read all written data before the socket closes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any


class GracefulTransport(asyncio.Transport):
    """Wraps a transport; ``close`` shuts down the sending side and keeps reading for the linger time.

    Closing a socket that has unread data resets the connection, and the peer may then lose the last response
    if it has not read it yet. The protocol must drop data that it receives while ``is_closing()``.

    Args:
        inner: the transport of the connection.
        linger_s: initial value of the attribute.
        max_flush_s: seconds after ``close`` at which buffered data is discarded that could not be sent.

    Attributes:
        linger_s: seconds that the peer has to read the last response and close; applies to a later close.
    """

    def __init__(self, inner: asyncio.Transport, linger_s: float, max_flush_s: float) -> None:
        super().__init__()
        self._inner = inner
        self.linger_s = linger_s
        self._max_flush_s = max_flush_s
        self._loop = asyncio.get_running_loop()
        self._linger_timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Shut down the sending side once all data is written; close the socket after the linger time."""
        if self.is_closing():
            return
        flush_deadline = self._loop.time() + self._max_flush_s
        self._linger_timer = self._loop.call_later(self.linger_s, self._end_linger, flush_deadline)
        try:
            self._inner.resume_reading()
            self._inner.write_eof()
        except OSError:  # the peer has reset the connection
            self.abort()

    def abort(self) -> None:
        """Close the socket immediately; buffered data is lost."""
        self._inner.abort()

    def connection_lost(self) -> None:
        """Cancel the linger timer; the protocol calls this when its connection has ended."""
        if self._linger_timer:
            self._linger_timer.cancel()

    def is_closing(self) -> bool:
        """Return whether the transport is closed or ``close`` was called."""
        return self._linger_timer is not None or self._inner.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a property of the wrapped transport, such as its socket."""
        return self._inner.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the number of buffered bytes that the kernel has not accepted yet."""
        return self._inner.get_write_buffer_size()

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        """Write to the wrapped transport."""
        self._inner.write(data)

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview[Any]]) -> None:
        """Write several buffers to the wrapped transport."""
        self._inner.writelines(list_of_data)

    def is_reading(self) -> bool:
        """Return whether the wrapped transport is reading."""
        return self._inner.is_reading()

    def pause_reading(self) -> None:
        """Pause reading from the wrapped transport."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the wrapped transport."""
        self._inner.resume_reading()

    def _end_linger(self, flush_deadline: float) -> None:
        if self.get_write_buffer_size() and self._loop.time() < flush_deadline:
            self._linger_timer = self._loop.call_later(self.linger_s, self._end_linger, flush_deadline)
        else:
            self.abort()

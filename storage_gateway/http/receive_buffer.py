"""Reading from sockets into one buffer that all connections share."""

from __future__ import annotations

import asyncio
from abc import abstractmethod

RECEIVE_BUFFER_BYTES = 16 * 1024  # read from one connection in one iteration of the event loop

# Each read is consumed before the next one begins, as all connections belong to one thread.
_shared_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol that reads at most ``RECEIVE_BUFFER_BYTES`` at once and passes them to ``data_received``.

    asyncio reads up to 256 KiB at once for other protocols. With hundreds of peers that send at full speed,
    that is more in one iteration of the event loop than a small process may hold.
    """

    __slots__ = ()

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Process received data."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into; called by asyncio."""
        return _shared_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the data that was read into the buffer; called by asyncio."""
        self.data_received(bytes(_shared_buffer[:nbytes]))

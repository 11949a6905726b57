"""What the kernel knows of a socket at this moment, which the event loop may not have read yet."""

from __future__ import annotations

import asyncio
import select
import socket

_PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def readable(descriptor: int) -> bool:
    """Whether a read of the descriptor would return at once: with data, an end of file or an error.

    For a listening socket: whether a connection waits to be accepted.
    """
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def has_unread_data(transport: asyncio.Transport) -> bool:
    """Whether data or the peer's end of file has arrived that the event loop has not read yet."""
    return readable(transport.get_extra_info("socket").fileno())


def peer_has_closed(connection: socket.socket) -> bool:
    """Whether the peer has closed or reset the connection, even if the event loop has not read that yet.

    Unread data is not an end, but an end behind unread data is reported too.

    Args:
        connection: a connected, non-blocking socket.
    """
    if connection.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(connection, select.POLLIN | select.POLLRDHUP)
    polled = poller.poll(0)
    if not polled:
        return False
    _, events = polled[0]
    if events & _PEER_CLOSED_EVENTS:
        return True
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True

"""Queries of the kernel's state of a socket, which may be ahead of what the event loop has read."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from asyncio.trsock import TransportSocket

# Offset and format of ``tcpi_last_data_recv`` in Linux's ``struct tcp_info``: milliseconds since the latest
# data arrived.
_LAST_DATA_OFFSET = 52
_LAST_DATA_FORMAT = "=I"
_LAST_DATA_END = _LAST_DATA_OFFSET + struct.calcsize(_LAST_DATA_FORMAT)


def is_readable(descriptor: int) -> bool:
    """Return whether a read would not block: there is data, an end of file or an error.

    For a listening socket, return whether a connection waits to be accepted.
    """
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def has_unread_data(transport: asyncio.Transport) -> bool:
    """Return whether data or an end of file has arrived that the event loop has not read yet."""
    return is_readable(transport.get_extra_info("socket").fileno())


def peer_has_closed(connected_socket: socket.socket | TransportSocket) -> bool:
    """Return whether the peer has closed or reset the connection, even if data before that has not been read.

    The kernel knows of a close once it has received all data before it. Unread data alone does not count. A
    socket that this side has closed counts as closed by the peer.
    """
    if connected_socket.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(connected_socket, select.POLLRDHUP)
    return bool(poller.poll(0))


def unread_data_age_s(connected_socket: socket.socket) -> float:
    """Return the seconds since the latest data arrived that has not been read; 0 if there is none.

    The kernel measures it with a resolution of some milliseconds. Where it does not say, the age counts as 0.
    """
    if not is_readable(connected_socket.fileno()):
        return 0.0
    try:
        info = connected_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_END)
    except OSError:
        return 0.0
    if len(info) < _LAST_DATA_END:
        return 0.0
    (age_ms,) = struct.unpack_from(_LAST_DATA_FORMAT, info, _LAST_DATA_OFFSET)
    return float(age_ms / 1000)

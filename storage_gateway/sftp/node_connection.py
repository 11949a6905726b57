"""A connection to the SFTP server of a storage node."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from storage_gateway.errors import PacketError
from storage_gateway.sftp.codec import decode_packet, encode_packet, read_packet
from storage_gateway.sftp.packets import PROTOCOL_VERSION, Init, Packet, Version


class SftpConnection:
    """One connection to a node; it carries one command at a time.

    Attributes:
        last_request_id: id of the most recently sent request; 0 before the first.
        idle_since: when the connection became idle, in seconds on the event loop's clock.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.last_request_id = 0
        self.idle_since = 0.0
        self._reader = reader
        self._writer = writer

    async def negotiate_version(self) -> None:
        """Exchange protocol versions, which must come before any request.

        Raises:
            PacketError: the server does not support version 3.
            OSError, EOFError: the connection broke.
        """
        response = await self.request(Init(PROTOCOL_VERSION))
        if not isinstance(response, Version) or response.version != PROTOCOL_VERSION:
            raise PacketError(f"expected protocol version {PROTOCOL_VERSION} in response to INIT")

    async def request(self, packet: Packet) -> Packet:
        """Send a request and return its response; raises the errors of ``send`` and ``receive``."""
        await self.send(packet)
        return await self.receive(self.last_request_id)

    async def send(self, packet: Packet) -> None:
        """Send a packet; its request id is replaced by the next one, except in INIT, which has none.

        Raises:
            OSError: the connection broke.
        """
        if not isinstance(packet, Init):
            self.last_request_id += 1
            packet = replace(packet, request_id=self.last_request_id)
        self._writer.write(encode_packet(packet))
        await self._writer.drain()

    async def receive(self, request_id: int) -> Packet:
        """Return the next packet, which must be the response to this request.

        Raises:
            PacketError: the packet is malformed or responds to another request.
            OSError, EOFError: the connection broke.
        """
        response = decode_packet(await read_packet(self._reader))
        if response.request_id != request_id and not isinstance(response, Version):
            raise PacketError(f"response has request id {response.request_id}, expected {request_id}")
        return response

    def is_usable(self) -> bool:
        """Return whether neither side is known to have closed the connection."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    def abort(self) -> None:
        """Close the connection immediately; unsent data is discarded."""
        self._writer.transport.abort()

"""A connection to the SFTP server of a storage node."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from storage_gateway.errors import PacketError
from storage_gateway.sftp.codec import decode_packet, encode_packet, read_packet
from storage_gateway.sftp.packets import PROTOCOL_VERSION, Init, Packet, Version


class SftpConnection:
    """One connection; it carries one command at a time.

    Attributes:
        last_request_id: the id of the request that was sent last; 0 before the first.
        idle_since: when it became idle, on the loop's clock.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.last_request_id = 0
        self.idle_since = 0.0
        self._reader = reader
        self._writer = writer

    async def negotiate_version(self) -> None:
        """Exchange versions; nothing else may be sent before.

        Raises:
            PacketError: the server does not speak version 3.
            OSError, EOFError: the connection broke.
        """
        reply = await self.request(Init(PROTOCOL_VERSION))
        if not isinstance(reply, Version) or reply.version != PROTOCOL_VERSION:
            raise PacketError("no version 3")

    async def request(self, packet: Packet) -> Packet:
        """Send a request and return its reply; the errors are those of ``send`` and ``receive``."""
        await self.send(packet)
        return await self.receive(self.last_request_id)

    async def send(self, packet: Packet) -> None:
        """Send a packet under the next request id, which its own one is replaced by.

        Raises:
            OSError: the connection broke.
        """
        if not isinstance(packet, Init):
            self.last_request_id += 1
            packet = replace(packet, request_id=self.last_request_id)
        self._writer.write(encode_packet(packet))
        await self._writer.drain()

    async def receive(self, request_id: int) -> Packet:
        """Return the next packet, which must be the reply to this request.

        Raises:
            PacketError: it is the reply to another request, or no packet.
            OSError, EOFError: the connection broke.
        """
        reply = decode_packet(await read_packet(self._reader))
        if reply.request_id != request_id and not isinstance(reply, Version):
            raise PacketError(f"an answer to {reply.request_id}, want one to {request_id}")
        return reply

    def is_usable(self) -> bool:
        """Return whether neither side has closed it, as far as is known."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    def abort(self) -> None:
        """Close it at once; what was not sent is dropped."""
        self._writer.transport.abort()

"""One client connection: reads request packets and responds to them in order."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from enum import Enum

import structlog

from storage_gateway.errors import PacketError
from storage_gateway.sftp.codec import decode_packet, encode_packet, read_packet_length
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import StatusCode
from storage_gateway.sftp.packets import PROTOCOL_VERSION, Init, Packet, Status, Version
from storage_gateway.sftp.request_handler import RequestHandler
from storage_gateway.sockets import peer_has_closed

MAX_QUEUED_PACKETS = 8  # requests that wait to be handled; the socket is not read while the queue is full
CLOSE_CHECK_INTERVAL_S = 0.04  # between checks for a close behind the requests that wait
TRANSFER_TIMEOUT_S = 30.0  # for a client to send the rest of a packet, and to receive a response
log = structlog.get_logger()


class _StreamEnd(Enum):
    """Why no further packet is read from the client."""

    CLOSED = "closed"  # by the client, or because a timeout expired
    INVALID = "invalid"  # invalid packet length; the client is still connected


class Session:
    """One client connection; ``run`` owns it and its two tasks: one reads packets, one responds to them."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: RequestHandler,
        idle_timeout_s: float,
    ) -> None:
        self.handler = handler
        self._reader = reader
        self._writer = writer
        self._idle_timeout_s = idle_timeout_s
        self._packets: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_PACKETS)
        self._worker: asyncio.Task[None] | None = None
        self._is_draining = False
        self._is_busy = False
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Serve the client until it disconnects, violates the protocol, or the session is shut down."""
        worker = self._worker = asyncio.create_task(self._process_packets())
        reading = asyncio.create_task(self._read_packets())
        try:
            done, _ = await asyncio.wait({reading, worker}, return_when=asyncio.FIRST_COMPLETED)
            if reading in done and reading.result() is _StreamEnd.INVALID:
                await self._packets.put(None)  # earlier requests still get their responses
                await worker
        finally:
            for task in (reading, worker):
                task.cancel()  # also cancels the command of a client that disconnected
            await asyncio.gather(reading, worker, return_exceptions=True)
            self._writer.close()
            self._ended.set()

    def begin_shutdown(self) -> None:
        """End the session after the current command, or immediately if there is none."""
        self._is_draining = True
        if not self._is_busy and self._worker:
            self._worker.cancel()

    async def wait_ended(self) -> None:
        """Wait until ``run`` has ended."""
        await self._ended.wait()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._writer.transport.abort()

    async def _read_packets(self) -> _StreamEnd:
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout_s):
                    length = await read_packet_length(self._reader)
                async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                    raw = await self._reader.readexactly(length)
                if not await self._queue_packet(raw):
                    return _StreamEnd.CLOSED
            except TimeoutError:
                log.info("sftp_session_timed_out")
                return _StreamEnd.CLOSED
            except (EOFError, OSError):
                return _StreamEnd.CLOSED
            except PacketError as error:
                log.warning("sftp_stream_rejected", reason=str(error))
                return _StreamEnd.INVALID

    async def _queue_packet(self, raw: bytes) -> bool:
        """Queue a packet; return False if the client closes the connection while the queue is full.

        Without the check, the commands of a client that has left would be executed as long as further ones
        are between them and the end of the stream.
        """
        while True:
            try:
                async with asyncio.timeout(CLOSE_CHECK_INTERVAL_S):
                    await self._packets.put(raw)
                return True
            except TimeoutError:
                if peer_has_closed(self._writer.get_extra_info("socket")):
                    return False

    async def _process_packets(self) -> None:
        is_first = True
        while (raw := await self._packets.get()) is not None and not self._is_draining:
            self._is_busy = True
            response = await self._respond(raw, is_first)
            is_first = False
            self._writer.write(encode_packet(response))
            try:
                async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                    await self._writer.drain()
            except OSError:  # includes TimeoutError
                return
            self._is_busy = False
            if _is_fatal(response):
                return

    async def _respond(self, raw: bytes, is_first: bool) -> Packet:
        try:
            packet = decode_packet(raw)
        except PacketError as error:
            return Status(error.request_id or 0, StatusCode.BAD_MESSAGE, str(error))
        if isinstance(packet, Init) != is_first:
            return Status(0, StatusCode.BAD_MESSAGE, "INIT must be the first packet and must not be repeated")
        if isinstance(packet, Init):
            return Version(PROTOCOL_VERSION)
        try:
            response = await self.handler.handle(packet)
        except CommandError as error:
            response = Status(0, error.status_code, error.message)
        except Exception:  # an unexpected error fails the command, not the session
            log.exception("sftp_command_failed")
            response = Status(0, StatusCode.FAILURE, "internal error")
        return replace(response, request_id=packet.request_id)


def _is_fatal(response: Packet) -> bool:
    """Return whether the client must be disconnected: it cannot match the response to a request."""
    return (
        isinstance(response, Status) and response.request_id == 0 and response.code == StatusCode.BAD_MESSAGE
    )

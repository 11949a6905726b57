"""One client's connection: reads its packets and answers them in turn."""

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

MAX_QUEUED_PACKETS = 8  # requests that wait for their turn; with as many, the socket is not read further
TRANSFER_TIMEOUT_S = 30.0  # for a client to send the rest of a packet, and to receive a reply
log = structlog.get_logger()


class _StreamEnd(Enum):
    """Why no further packet is read."""

    CLOSED = "closed"  # by the client, or for its idleness
    INVALID = "invalid"  # what came is no packet, but the client is there


class Session:
    """One client's connection; ``run`` owns it and its two tasks, which read and answer."""

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
        """Serve the client until it closes, breaks the protocol, or the session is ended."""
        worker = self._worker = asyncio.create_task(self._answer_packets())
        reading = asyncio.create_task(self._read_packets())
        try:
            done, _ = await asyncio.wait({reading, worker}, return_when=asyncio.FIRST_COMPLETED)
            if reading in done and reading.result() is _StreamEnd.INVALID:
                await self._packets.put(None)  # the requests that came before are still answered
                await worker
        finally:
            for task in (reading, worker):
                task.cancel()  # this also cancels the command of a client that has closed
            await asyncio.gather(reading, worker, return_exceptions=True)
            self._writer.close()
            self._ended.set()

    def begin_shutdown(self) -> None:
        """End after the command in hand, or at once where there is none."""
        self._is_draining = True
        if not self._is_busy and self._worker:
            self._worker.cancel()

    async def wait_ended(self) -> None:
        """Return once ``run`` is over."""
        await self._ended.wait()

    def abort(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    async def _read_packets(self) -> _StreamEnd:
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout_s):
                    length = await read_packet_length(self._reader)
                async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                    raw = await self._reader.readexactly(length)
                await self._packets.put(raw)
            except TimeoutError:
                log.info("sftp_session_timed_out")
                return _StreamEnd.CLOSED
            except (EOFError, OSError):
                return _StreamEnd.CLOSED
            except PacketError as error:
                log.warning("sftp_stream_rejected", reason=str(error))
                return _StreamEnd.INVALID

    async def _answer_packets(self) -> None:
        is_first = True
        while (raw := await self._packets.get()) is not None and not self._is_draining:
            self._is_busy = True
            reply = await self._answer(raw, is_first)
            is_first = False
            self._writer.write(encode_packet(reply))
            try:
                async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                    await self._writer.drain()
            except OSError:  # a time-out is one too
                return
            self._is_busy = False
            if _is_fatal(reply):
                return

    async def _answer(self, raw: bytes, is_first: bool) -> Packet:
        try:
            packet = decode_packet(raw)
        except PacketError as error:
            return Status(error.request_id or 0, StatusCode.BAD_MESSAGE, str(error))
        if isinstance(packet, Init) != is_first:
            return Status(0, StatusCode.BAD_MESSAGE, "INIT comes first, and once")
        if isinstance(packet, Init):
            return Version(PROTOCOL_VERSION)
        try:
            reply = await self.handler.handle(packet)
        except CommandError as error:
            reply = Status(0, error.status_code, error.message)
        except Exception:  # guards the session: a fault of one command is that command's failure
            log.exception("sftp_command_failed")
            reply = Status(0, StatusCode.FAILURE, "internal error")
        return replace(reply, request_id=packet.request_id)


def _is_fatal(reply: Packet) -> bool:
    """Return whether the client must be disconnected: the reply could not be paired with a request."""
    return isinstance(reply, Status) and reply.request_id == 0 and reply.code == StatusCode.BAD_MESSAGE

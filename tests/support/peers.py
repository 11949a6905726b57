"""Scripted peers on loopback: storage nodes over HTTP, and the discovery service."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Any, Self

REQUEST_TIMEOUT_S = 10.0  # for a request that a test waits for

Script = Callable[[str], Awaitable[bytes | None]]
"""Returns the whole response to the request with this trace id, or None to break the connection off."""


def make_response(status: int = 200, body: bytes = b"tile", *headers: str) -> bytes:
    """Return an HTTP response as it goes over the wire."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


async def respond_at_once(trace_id: str) -> bytes:
    """Script of a node that serves every request."""
    return make_response()


async def never_respond(trace_id: str) -> bytes:
    """Script of a node that reads requests and does no more."""
    await asyncio.Event().wait()
    raise AssertionError("nothing sets the event")


class FakePeer:
    """A listener whose connections are served by the subclass.

    Attributes:
        port: the port that it listens on, once it is started.
        open: connections that are open now.
        accepted: connections that were opened at any time.
    """

    def __init__(self) -> None:
        self.port = 0
        self.open = 0
        self.accepted = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Self:
        """Listen on a free port, and return the peer itself."""
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to its end."""
        self.accepted += 1
        self.open += 1
        self.writers.add(writer)
        try:
            await self.converse(reader, writer)
        except (EOFError, OSError):
            pass
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.transport.abort()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read what comes on a connection and respond to it; the connection ends when this returns."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening, and abort the connections."""
        if self.server:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class FakeHttpNode(FakePeer):
    """A storage node that responds as scripted.

    Attributes:
        heads: the head of each request that came whole.
        counts: how many requests came whole, by their trace id.
    """

    def __init__(self, script: Script) -> None:
        super().__init__()
        self.script = script
        self.heads: list[str] = []
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._arrived: defaultdict[str, asyncio.Event] = defaultdict(asyncio.Event)

    async def wait_for_request(self, trace_id: str) -> None:
        """Return once a request with this trace id has come whole."""
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await self._arrived[trace_id].wait()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to request after request, until the script or the client ends the connection."""
        while True:
            trace_id = await self._read_request(reader)
            response = await self._run_script(trace_id, reader)
            if response is None:
                return
            writer.write(response)

    async def _read_request(self, reader: asyncio.StreamReader) -> str:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        await reader.readexactly(int(fields.get("Content-Length", 0)))
        trace_id = fields["X-Trace-Id"]
        self.heads.append(head)
        self.counts[trace_id] += 1
        self._arrived[trace_id].set()
        return trace_id

    async def _run_script(self, trace_id: str, reader: asyncio.StreamReader) -> bytes | None:
        """Return the scripted response, or None where the client closes before it is there."""
        responding = asyncio.ensure_future(self.script(trace_id))
        closing = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({responding, closing}, return_when=asyncio.FIRST_COMPLETED)
        closing.cancel()
        await asyncio.gather(closing, return_exceptions=True)
        if not responding.done():
            responding.cancel()
            return None
        return responding.result()


class FakeDiscovery(FakePeer):
    """A discovery service.

    Args:
        whole: the endpoint list.
        rounds: the lines that each watch gets, one list for a watch; a further one gets none.

    Attributes:
        asked: the target of each request.
    """

    def __init__(self, whole: dict[str, Any], rounds: list[list[bytes]]) -> None:
        super().__init__()
        self.whole = whole
        self.rounds = rounds
        self.asked: list[str] = []

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond with the list, or stream the lines of the next watch until the client closes."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
            self.asked.append(target)
            if "watch" not in target:
                writer.write(make_response(200, json.dumps(self.whole).encode()))
                continue
            writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            for line in self.rounds.pop(0) if self.rounds else []:
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            await reader.read(1)  # until the client closes
            return

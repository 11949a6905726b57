"""Scripted servers on loopback: storage nodes over HTTP, and the discovery service."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Any, Self

REQUEST_TIMEOUT_S = 10.0  # for a request that a test waits for

Script = Callable[[str], Awaitable[bytes | None]]
"""Returns the complete response to the request with this trace id, or None to close the connection."""


def make_response(status: int = 200, body: bytes = b"tile", *headers: str) -> bytes:
    """Return an encoded HTTP response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


async def respond_at_once(trace_id: str) -> bytes:
    """Script of a node that serves every request."""
    return make_response()


async def never_respond(trace_id: str) -> bytes:
    """Script of a node that reads requests and never responds."""
    await asyncio.Event().wait()
    raise AssertionError("nothing sets the event")


class FakePeer:
    """A listener whose connections are served by the subclass.

    Attributes:
        port: the port that it listens on; 0 until it is started.
        open_connections: number of connections that are open now.
        accepted_connections: number of connections accepted since the start.
    """

    def __init__(self) -> None:
        self.port = 0
        self.open_connections = 0
        self.accepted_connections = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Self:
        """Listen on a free port, and return the peer itself."""
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Count a new connection, and serve it until it ends."""
        self.accepted_connections += 1
        self.open_connections += 1
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (EOFError, OSError):
            pass
        finally:
            self.open_connections -= 1
            self.writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests on a connection, which is aborted when this returns."""
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
        heads: the head of each complete request.
        request_counts: number of complete requests by trace id.
    """

    def __init__(self, script: Script) -> None:
        super().__init__()
        self.script = script
        self.heads: list[str] = []
        self.request_counts: defaultdict[str, int] = defaultdict(int)
        self._arrived: defaultdict[str, asyncio.Event] = defaultdict(asyncio.Event)

    async def wait_for_request(self, trace_id: str) -> None:
        """Return once a complete request with this trace id has arrived."""
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await self._arrived[trace_id].wait()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to requests in turn, until the script or the client ends the connection."""
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
        self.request_counts[trace_id] += 1
        self._arrived[trace_id].set()
        return trace_id

    async def _run_script(self, trace_id: str, reader: asyncio.StreamReader) -> bytes | None:
        """Return the scripted response, or None if the client closes the connection first."""
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
    """A discovery service with a fixed endpoint list and scripted watches.

    Args:
        endpoint_list: the complete list, as the service sends it.
        watch_lines: the lines that each watch receives, a list for each watch; further watches receive none.

    Attributes:
        targets: the target of each request, in order of arrival.
    """

    def __init__(self, endpoint_list: dict[str, Any], watch_lines: list[list[bytes]]) -> None:
        super().__init__()
        self.endpoint_list = endpoint_list
        self.watch_lines = watch_lines
        self.targets: list[str] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond with the list, or stream the lines of the next watch until the client closes."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
            self.targets.append(target)
            if "watch" not in target:
                writer.write(make_response(200, json.dumps(self.endpoint_list).encode()))
                continue
            writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            for line in self.watch_lines.pop(0) if self.watch_lines else []:
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            await reader.read(1)  # until the client closes
            return

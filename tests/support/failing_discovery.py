"""Discovery services that fail in scripted ways, and a condition to wait for."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from tests.support.peers import FakePeer, make_response

ENTRY = {"instanceId": "s-a", "hostPort": "127.0.0.1:9", "zone": "z", "cell": 0, "lifecycle": "SERVING"}
SNAPSHOT: dict[str, Any] = {"generation": 7, "reset": True, "instances": [ENTRY]}
DRAINING_ENTRY = {**ENTRY, "lifecycle": "DRAINING"}
DRAINING: dict[str, Any] = {"generation": 8, "reset": False, "instances": [DRAINING_ENTRY]}
WATCH_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"

POLL_INTERVAL_S = 0.005

Reply = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until the condition holds; what it reads, such as a watch's count of failures, sets no event."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)


class BusyDiscovery(FakePeer):
    """Rejects so many calls, then sends one empty message to each watch."""

    def __init__(self, failures: int) -> None:
        super().__init__()
        self.failures = failures

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.failures:
            self.failures -= 1
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        writer.write(WATCH_HEAD + make_chunk(b"\n") + b"0\r\n\r\n")


class ScriptedDiscovery(FakePeer):
    """Gives each call the next of the scripted replies; the last one goes to all calls that follow."""

    def __init__(self, *replies: Reply) -> None:
        super().__init__()
        self.replies = list(replies)
        self.targets = asyncio.Queue[str]()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.targets.put_nowait((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        await reply(writer)


def make_chunk(data: bytes) -> bytes:
    """Return the data as a chunk of HTTP's chunked coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def snapshot(writer: asyncio.StreamWriter) -> None:
    """The whole list."""
    writer.write(make_response(200, json.dumps(SNAPSHOT).encode(), "Connection: close"))


async def no_response(writer: asyncio.StreamWriter) -> None:
    """Nothing at all, on a connection that stays open."""
    await asyncio.Event().wait()


async def trickling_message(writer: asyncio.StreamWriter) -> None:
    """An empty message, then one that never ends, a byte now and then."""
    writer.write(WATCH_HEAD + make_chunk(b"\n"))
    while True:
        writer.write(make_chunk(b" "))
        await writer.drain()
        await asyncio.sleep(0.01)


async def endless_list(writer: asyncio.StreamWriter) -> None:
    """A list that never ends, a byte now and then."""
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 99999\r\n\r\n")
    while True:
        writer.write(b" ")
        await writer.drain()
        await asyncio.sleep(0.01)


async def cut_message(writer: asyncio.StreamWriter) -> None:
    """A change whose line is cut off before its newline, though what came can be decoded."""
    writer.write(WATCH_HEAD + make_chunk(json.dumps(DRAINING).encode()) + b"0\r\n\r\n")


async def indented_message(writer: asyncio.StreamWriter) -> None:
    """A change that is written over several lines."""
    writer.write(WATCH_HEAD)
    for line in (json.dumps(DRAINING, indent=2) + "\n\n").splitlines(keepends=True):
        writer.write(make_chunk(line.encode()))
    await asyncio.Event().wait()


async def malformed_message(writer: asyncio.StreamWriter) -> None:
    """A change over two lines that is no JSON."""
    writer.write(WATCH_HEAD + make_chunk(b'{"generation": 8,\n') + make_chunk(b"\n"))
    await asyncio.Event().wait()

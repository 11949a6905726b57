"""Discovery services that fail in scripted ways."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from storage_gateway.endpoints import call_schedule
from storage_gateway.endpoints.call_schedule import CallIntervals
from tests.support.peers import FakePeer, make_response

ENTRY = {"instanceId": "s-a", "hostPort": "127.0.0.1:9", "zone": "z", "cell": 0, "lifecycle": "SERVING"}
SNAPSHOT: dict[str, Any] = {"generation": 7, "reset": True, "instances": [ENTRY]}
DRAINING_ENTRY = {**ENTRY, "lifecycle": "DRAINING"}
DRAINING: dict[str, Any] = {"generation": 8, "reset": False, "instances": [DRAINING_ENTRY]}
WATCH_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"

Responder = Callable[[asyncio.StreamWriter], Awaitable[None]]
"""Writes the response to one call; the connection is closed when it returns."""


class BusyDiscovery(FakePeer):
    """Rejects the first ``failures`` calls with 503, then sends one empty message to each watch."""

    def __init__(self, failures: int) -> None:
        super().__init__()
        self.failures = failures

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.failures:
            self.failures -= 1
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        writer.write(WATCH_HEAD + make_chunk(b"\n") + b"0\r\n\r\n")


class ScriptedDiscovery(FakePeer):
    """Responds to each call with the next responder; the last one also serves all later calls."""

    def __init__(self, *responders: Responder) -> None:
        super().__init__()
        self.responders = list(responders)
        self.targets = asyncio.Queue[str]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.targets.put_nowait((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        responder = self.responders.pop(0) if len(self.responders) > 1 else self.responders[0]
        await responder(writer)


def patch_call_intervals(interval_s: float) -> AbstractContextManager[object]:
    """Replace the intervals between unanswered calls; a watch that falls silent is not replaced early."""
    intervals = CallIntervals(interval_s, interval_s, interval_s)
    return mock.patch.multiple(
        call_schedule, LOCAL_INTERVALS=intervals, SHARED_INTERVALS=intervals, QUIET_TIMEOUT_S=60.0
    )


def make_chunk(data: bytes) -> bytes:
    """Encode the data as one chunk of HTTP's chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def snapshot(writer: asyncio.StreamWriter) -> None:
    """Send the complete endpoint list."""
    writer.write(make_response(200, json.dumps(SNAPSHOT).encode(), "Connection: close"))


async def rejected_version(writer: asyncio.StreamWriter) -> None:
    """Reject the call, as a service does that does not know the version of a watch any more."""
    writer.write(make_response(410, b"", "Connection: close"))


async def busy(writer: asyncio.StreamWriter) -> None:
    """Reject the call because there are too many."""
    writer.write(make_response(503, b"", "Connection: close"))


async def no_response(writer: asyncio.StreamWriter) -> None:
    """Send nothing, and keep the connection open."""
    await asyncio.Event().wait()


async def trickling_message(writer: asyncio.StreamWriter) -> None:
    """Send an empty message, then one that never ends, byte by byte."""
    writer.write(WATCH_HEAD + make_chunk(b"\n"))
    while True:
        writer.write(make_chunk(b" "))
        await writer.drain()
        await asyncio.sleep(0.01)


async def endless_list(writer: asyncio.StreamWriter) -> None:
    """Send a list that never ends, byte by byte."""
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 99999\r\n\r\n")
    while True:
        writer.write(b" ")
        await writer.drain()
        await asyncio.sleep(0.01)


async def truncated_message(writer: asyncio.StreamWriter) -> None:
    """Send a change whose line lacks its newline, although the received part is valid JSON."""
    writer.write(WATCH_HEAD + make_chunk(json.dumps(DRAINING).encode()) + b"0\r\n\r\n")


async def indented_message(writer: asyncio.StreamWriter) -> None:
    """Send a change as indented JSON over several lines."""
    writer.write(WATCH_HEAD)
    for line in (json.dumps(DRAINING, indent=2) + "\n\n").splitlines(keepends=True):
        writer.write(make_chunk(line.encode()))
    await asyncio.Event().wait()


async def malformed_message(writer: asyncio.StreamWriter) -> None:
    """Send a change over two lines that is not valid JSON."""
    writer.write(WATCH_HEAD + make_chunk(b'{"generation": 8,\n') + make_chunk(b"\n"))
    await asyncio.Event().wait()

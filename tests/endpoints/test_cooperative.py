"""Reading of large messages in parts: lines, and the entries of an endpoint list."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable
from unittest import mock

import aiohttp
import pytest

from storage_gateway.endpoints import cooperative
from storage_gateway.endpoints.codec import read_endpoint_update
from storage_gateway.endpoints.cooperative import read_lines, read_update
from storage_gateway.errors import ProtocolError
from tests.support.endpoints import indented_snapshot, snapshot_of_fleet

MAX_LINE_BYTES = 1 << 20


def make_stream(*parts: bytes) -> aiohttp.StreamReader:
    """Return a stream on which these parts have arrived, and its end."""
    stream = aiohttp.StreamReader(mock.Mock(), 1 << 16, loop=asyncio.get_running_loop())
    for part in parts:
        stream.feed_data(part)
    stream.feed_eof()
    return stream


class IterationCounter:
    """Counts the iterations of the event loop from its creation on."""

    def __init__(self) -> None:
        self.count = 0
        asyncio.get_running_loop().call_soon(self._count)

    def _count(self) -> None:
        self.count += 1
        asyncio.get_running_loop().call_soon(self._count)


async def collect_lines(stream: aiohttp.StreamReader, max_line_bytes: int = MAX_LINE_BYTES) -> list[bytes]:
    async with asyncio.timeout(None) as timeout:
        return [line async for line in read_lines(stream, max_line_bytes, timeout)]


class SlowLoop:
    """Advances the clock of the event loop by a second in each iteration, as if other tasks took it."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._time = self._loop.time()
        self._advance()

    def time(self) -> float:
        """Return the time of the event loop, in seconds."""
        return self._time

    def _advance(self) -> None:
        self._time += 1.0
        self._loop.call_soon(self._advance)


class ReadLinesTest(unittest.IsolatedAsyncioTestCase):
    """Lines in parts of any size."""

    async def test_lines_are_the_same_however_the_stream_is_divided(self) -> None:
        text = b"\n{\n  1,\n\n2}\r\n" + b"x" * 100 + b"\nend"
        expected = text.splitlines(keepends=True)
        for size in range(1, len(text) + 1):
            parts = [text[start : start + size] for start in range(0, len(text), size)]
            with mock.patch.object(cooperative, "MAX_BYTES_PER_ITERATION", 1 + size % 7):
                assert await collect_lines(make_stream(*parts)) == expected

    async def test_line_without_end_is_an_error(self) -> None:
        with pytest.raises(ProtocolError, match="a line is longer than 8 bytes"):
            await collect_lines(make_stream(b"123456789"), max_line_bytes=8)

    async def test_other_tasks_run_while_a_list_is_read(self) -> None:
        """Guards against reading a list of any length in one iteration of the event loop."""
        text = indented_snapshot(node_count=3200)
        counter = IterationCounter()
        bytes_by_iteration: dict[int, int] = {}
        async with asyncio.timeout(None) as timeout:
            async for line in read_lines(make_stream(text), MAX_LINE_BYTES, timeout):
                bytes_by_iteration[counter.count] = bytes_by_iteration.get(counter.count, 0) + len(line)
        assert sum(bytes_by_iteration.values()) == len(text)
        longest_line = max(map(len, text.splitlines(keepends=True)))
        assert max(bytes_by_iteration.values()) <= cooperative.MAX_BYTES_PER_ITERATION + longest_line


class ReadUpdateTest(unittest.IsolatedAsyncioTestCase):
    """Validation of the entries in parts."""

    async def count_iterations(self, awaitable: Awaitable[object]) -> int:
        counter = IterationCounter()
        await awaitable
        return counter.count

    async def test_update_is_the_same_as_read_at_once(self) -> None:
        for node_count in (0, 1, 255, 256, 257, 1000):
            value = snapshot_of_fleet(node_count)
            assert await read_update(value) == read_endpoint_update(value)

    async def test_other_tasks_run_while_a_list_is_validated(self) -> None:
        """Guards against validating a list of any length in one iteration of the event loop."""
        count = await self.count_iterations(read_update(snapshot_of_fleet(3200)))
        assert count >= 3200 // cooperative.MAX_ENTRIES_PER_ITERATION

    async def test_invalid_last_entry_is_an_error(self) -> None:
        value = snapshot_of_fleet(600)
        value["instances"][-1]["cell"] = "3"
        with pytest.raises(ProtocolError, match="cell"):
            await read_update(value)


class TimeoutTest(unittest.IsolatedAsyncioTestCase):
    """A list that has arrived, in a gateway whose other tasks take long."""

    async def test_time_of_other_tasks_does_not_count_towards_the_timeout(self) -> None:
        """Guards against fetching a list again and again that arrives in time but is parsed for longer."""
        text = indented_snapshot(node_count=3200)
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "time", SlowLoop().time):
            started_at = loop.time()
            async with asyncio.timeout(3) as timeout:
                lines = [line async for line in read_lines(make_stream(text), MAX_LINE_BYTES, timeout)]
                await read_update(snapshot_of_fleet(3200), timeout)
            assert loop.time() - started_at > 10
        assert b"".join(lines) == text

    async def test_time_without_data_counts_towards_the_timeout(self) -> None:
        stream = aiohttp.StreamReader(mock.Mock(), 1 << 16, loop=asyncio.get_running_loop())
        stream.feed_data(indented_snapshot(node_count=3200)[:-2])
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "time", SlowLoop().time), pytest.raises(TimeoutError):
            async with asyncio.timeout(3) as timeout:
                [line async for line in read_lines(stream, MAX_LINE_BYTES, timeout)]

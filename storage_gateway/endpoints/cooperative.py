"""Reading of large messages in parts, between which the event loop runs other tasks.

A list of all nodes of a large fleet takes many milliseconds to parse and validate. Done at once, that would
delay the response to each request that is in progress, and the reading of new ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from storage_gateway.endpoints.codec import read_endpoints, read_raw_update
from storage_gateway.endpoints.message_assembler import ERROR_FIELD
from storage_gateway.endpoints.registry import Endpoint, EndpointUpdate
from storage_gateway.endpoints.transport import ByteStream
from storage_gateway.errors import ProtocolError

MAX_BYTES_PER_ITERATION = 32 * 1024  # parsed in one iteration of the event loop
MAX_ENTRIES_PER_ITERATION = 256  # validated in one iteration of the event loop


async def read_lines(
    stream: ByteStream, max_line_bytes: int, call_timeout: asyncio.Timeout
) -> AsyncIterator[bytes]:
    """Yield each line with its newline; a last line that the end of the stream cuts off has none.

    Args:
        stream: the stream to read.
        max_line_bytes: maximum length of a line without its newline.
        call_timeout: the timeout of the caller; the time for which other tasks run does not count towards it.

    Raises:
        ProtocolError: if a line is too long.
        aiohttp.ClientError: if the connection breaks.
    """
    line_start = bytearray()
    async for data in stream.iter_any():
        for position in range(0, len(data), MAX_BYTES_PER_ITERATION):
            if position:
                await _run_other_tasks(call_timeout)
            *ends_of_lines, rest = data[position : position + MAX_BYTES_PER_ITERATION].split(b"\n")
            for end_of_line in ends_of_lines:
                yield bytes(line_start) + end_of_line + b"\n"
                line_start.clear()
            line_start += rest
            if len(line_start) > max_line_bytes:
                raise ProtocolError(ERROR_FIELD, f"a line is longer than {max_line_bytes} bytes")
    if line_start:
        yield bytes(line_start)


async def read_update(value: Any, call_timeout: asyncio.Timeout | None = None) -> EndpointUpdate:
    """Validate an endpoint update whose JSON is already decoded.

    Args:
        value: the decoded JSON.
        call_timeout: the timeout of the caller, if it has one; the time for which other tasks run does not
            count towards it.

    Raises:
        ProtocolError: if a field is missing or invalid.
    """
    raw = read_raw_update(value)
    endpoints: list[Endpoint] = []
    for position in range(0, len(raw.entries), MAX_ENTRIES_PER_ITERATION):
        if position:
            await _run_other_tasks(call_timeout)
        endpoints += read_endpoints(raw.entries[position : position + MAX_ENTRIES_PER_ITERATION])
    return EndpointUpdate(raw.version, raw.is_snapshot, endpoints)


async def _run_other_tasks(call_timeout: asyncio.Timeout | None) -> None:
    """Let the event loop run other tasks for one iteration, and postpone the timeout by the time they take.

    Otherwise a busy gateway would time out on a list that has arrived already, fetch it again, and be busier.
    """
    due_at = call_timeout.when() if call_timeout else None
    if call_timeout is None or due_at is None:
        await asyncio.sleep(0)
        return
    loop = asyncio.get_running_loop()
    paused_at = loop.time()
    call_timeout.reschedule(None)
    await asyncio.sleep(0)
    call_timeout.reschedule(due_at + loop.time() - paused_at)

"""Clients that misbehave in one way each, run as a process of their own beside a gateway under test.

Run one kind: ``python -m tests.soak.bad_clients KIND PORT CONNECTIONS SECONDS SEED``. Each connection plays
it until the gateway closes the connection, and is then opened again, until the time is over.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

SLOW_WRITE_INTERVAL_S = 0.05
RECONNECT_DELAY_S = 0.02
READ_BYTES = 65536
WRITE_TIMEOUT_S = 4.0
MAX_HEAD_FIELDS = 63  # one less than the gateway accepts, with the field that follows them
LONG_FIELD_BYTES = 4000
BODY_BYTES = 64 * 1024
HUGE_BODY_BYTES = 60_000_000
PIPELINED_REQUESTS = 500


@dataclass(slots=True)
class BadClient:
    """A connection to the gateway and the random numbers of the client that uses it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    random: random.Random

    async def send(self, data: bytes) -> None:
        """Write data, and wait until the kernel has taken it.

        Raises:
            OSError: if the gateway has closed the connection.
            TimeoutError: if the gateway does not read.
        """
        self.writer.write(data)
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self.writer.drain()

    async def wait_for_close(self) -> None:
        """Read responses until the gateway closes the connection."""
        while await self.reader.read(READ_BYTES):
            pass

    def request(self, method: str = "GET", extra: str = "", *, is_valid: bool = True) -> bytes:
        """Return the head of a request under names that no other request has."""
        number = self.random.getrandbits(63)
        request_class = "tile-read" if method == "GET" else "record-write"
        lines = [
            f"{method} /api?block={number:016x} HTTP/1.1",
            "Host: gateway",
            f"X-Trace-Id: {number:x}",
            f"X-Qos: {request_class if is_valid else 'none'}",
            "X-Plan: public",
            "X-Expires-In-Ms: 900",
            f"X-IO: volume={number:016x},units=1,shard={number % 9},hosts=1",
        ]
        return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode()


Kind = Callable[[BadClient], Awaitable[None]]


async def silent(client: BadClient) -> None:
    """Say nothing."""
    await client.wait_for_close()


async def stopped_head_of_long_fields(client: BadClient) -> None:
    """Send a head of many long fields at once, stop before its end, and stay."""
    fields = [f"X-F{number}: {'v' * LONG_FIELD_BYTES}\r\n" for number in range(MAX_HEAD_FIELDS)]
    await client.send(b"GET /api HTTP/1.1\r\n" + "".join(fields).encode())
    await client.wait_for_close()


async def slow_head_of_long_fields(client: BadClient) -> None:
    """Send a head of many long fields, one field at a time."""
    await client.send(b"GET /api HTTP/1.1\r\n")
    for number in range(MAX_HEAD_FIELDS):
        await client.send(f"X-F{number}: {'v' * LONG_FIELD_BYTES}\r\n".encode())
        await asyncio.sleep(SLOW_WRITE_INTERVAL_S)
    await client.wait_for_close()


async def head_of_short_fields(client: BadClient) -> None:
    """Send a head of short fields that never ends."""
    await client.send(b"GET /api HTTP/1.1\r\n")
    while True:
        await client.send(b"a: b\r\n" * 2000)


async def head_of_empty_lines(client: BadClient) -> None:
    """Send line ends in place of a request, without end."""
    while True:
        await client.send(b"\r\n" * 8000)


async def field_without_end(client: BadClient) -> None:
    """Send a field whose value never ends."""
    await client.send(b"GET /api HTTP/1.1\r\nX-Long: ")
    while True:
        await client.send(b"v" * 16384)


async def folded_field_without_end(client: BadClient) -> None:
    """Send a field that goes on over line after line."""
    await client.send(b"GET /api HTTP/1.1\r\nX-Long: v\r\n")
    while True:
        await client.send(b" v\r\n" * 4000)


async def stopped_body(client: BadClient) -> None:
    """Send most of a body, and stay."""
    await client.send(client.request("PUT", f"Content-Length: {BODY_BYTES}\r\n"))
    await client.send(b"b" * (BODY_BYTES - 1))
    await client.wait_for_close()


async def slow_body(client: BadClient) -> None:
    """Send a body slowly, in small parts."""
    await client.send(client.request("PUT", f"Content-Length: {BODY_BYTES}\r\n"))
    for _ in range(BODY_BYTES // 2048):
        await client.send(b"b" * 2048)
        await asyncio.sleep(SLOW_WRITE_INTERVAL_S)


async def huge_body(client: BadClient) -> None:
    """Send 60 MB with their length."""
    await client.send(client.request("PUT", f"Content-Length: {HUGE_BODY_BYTES}\r\n"))
    for _ in range(HUGE_BODY_BYTES // READ_BYTES):
        await client.send(b"b" * READ_BYTES)


async def huge_body_unread(client: BadClient) -> None:
    """Send 60 MB to a path that has no body, and read nothing."""
    await client.send(f"PUT /up HTTP/1.1\r\nContent-Length: {HUGE_BODY_BYTES}\r\n\r\n".encode())
    for _ in range(HUGE_BODY_BYTES // READ_BYTES):
        await client.send(b"b" * READ_BYTES)


async def _chunked(client: BadClient, chunk_bytes: int) -> None:
    await client.send(client.request("PUT", "Transfer-Encoding: chunked\r\n"))
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"c" * chunk_bytes)
    chunks = chunk * max(1, 16384 // len(chunk))
    for _ in range(HUGE_BODY_BYTES // len(chunks)):
        await client.send(chunks)


async def chunks_of_1_byte(client: BadClient) -> None:
    """Send 60 MB in chunks of one byte."""
    await _chunked(client, 1)


async def chunks_of_32_bytes(client: BadClient) -> None:
    """Send 60 MB in chunks of 32 bytes."""
    await _chunked(client, 32)


async def chunk_extensions(client: BadClient) -> None:
    """Send a chunk whose extension never ends."""
    await client.send(client.request("PUT", "Transfer-Encoding: chunked\r\n") + b"1;")
    while True:
        await client.send(b"e" * 16384)


async def trailers(client: BadClient) -> None:
    """Send trailers without end."""
    await client.send(client.request("PUT", "Transfer-Encoding: chunked\r\n") + b"0\r\n")
    while True:
        await client.send(b"t: t\r\n" * 2000)


async def pipelined_small_requests(client: BadClient) -> None:
    """Send small requests without waiting for responses, and read them."""
    reading = asyncio.ensure_future(client.wait_for_close())
    try:
        while not reading.done():
            await client.send(b"GET /up HTTP/1.1\r\n\r\n" * PIPELINED_REQUESTS)
    finally:
        reading.cancel()


async def pipelined_bodies(client: BadClient) -> None:
    """Send unsound requests, each with a body, without waiting for responses."""
    while True:
        request = client.request("PUT", "Content-Length: 8\r\n", is_valid=False) + b"12345678"
        await client.send(request * 100)


async def upgrade_with_data(client: BadClient) -> None:
    """Ask for another protocol, and send data as if it had been granted."""
    await client.send(client.request("GET", "Connection: upgrade\r\nUpgrade: websocket\r\n"))
    while True:
        await client.send(b"u" * 16384)


async def connect_with_data(client: BadClient) -> None:
    """Ask for a tunnel, and send data through it."""
    await client.send(b"CONNECT gateway:1 HTTP/1.1\r\nHost: gateway\r\n\r\n")
    while True:
        await client.send(b"u" * 16384)


async def _one_at_a_time(client: BadClient, *, is_valid: bool) -> None:
    while True:
        await client.send(client.request(is_valid=is_valid))
        head = await client.reader.readuntil(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if line)
        await client.reader.readexactly(int(fields.get("Content-Length", 0)))


async def new_names(client: BadClient) -> None:
    """Send valid requests at full speed, each for a new volume and object under a new id."""
    await _one_at_a_time(client, is_valid=True)


async def new_names_unsound(client: BadClient) -> None:
    """Send requests of an unknown class at full speed, each under new names."""
    await _one_at_a_time(client, is_valid=False)


async def leaving(client: BadClient) -> None:
    """Send a valid request under new names, and leave."""
    await client.send(client.request())


KINDS: dict[str, Kind] = {
    kind.__name__: kind
    for kind in (
        silent,
        stopped_head_of_long_fields,
        slow_head_of_long_fields,
        head_of_short_fields,
        head_of_empty_lines,
        field_without_end,
        folded_field_without_end,
        stopped_body,
        slow_body,
        huge_body,
        huge_body_unread,
        chunks_of_1_byte,
        chunks_of_32_bytes,
        chunk_extensions,
        trailers,
        pipelined_small_requests,
        pipelined_bodies,
        upgrade_with_data,
        connect_with_data,
        new_names,
        new_names_unsound,
        leaving,
    )
}


async def _play(kind: Kind, port: int, seed: int) -> None:
    """Play the kind on one connection after the other, until this is cancelled."""
    numbers = random.Random(seed)
    while True:
        with contextlib.suppress(OSError, EOFError, ValueError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                await kind(BadClient(reader, writer, numbers))
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_DELAY_S)


async def play(kind: Kind, port: int, connections: int, seconds: float, seed: int) -> None:
    """Play the kind on this many connections at once for this many seconds."""
    clients = [_play(kind, port, seed * connections + number) for number in range(connections)]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*clients)


def main() -> None:
    """Play the kind of the command line."""
    name, port, connections, seconds, seed = sys.argv[1:]
    asyncio.run(play(KINDS[name], int(port), int(connections), float(seconds), int(seed)))


if __name__ == "__main__":
    main()

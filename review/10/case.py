"""A chunk server that is cold and fails its requests at once: is it sent more than it withstands?"""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import suppress
from pathlib import Path

from support_2 import (
    EXIT_BROKEN,
    EXIT_HELD,
    Agent,
    Arrived,
    CaseError,
    ChunkServer,
    Client,
    Front,
    Record,
    body_of,
    encode_request,
    make_settings,
    run_case,
    trouble_is_on,
    whole_answer,
)

SERVERS = 8  # one of them fails
WORK_S = 0.04  # of a request of mean size at a warm server, which works on one at a time
RATE = 15.0  # requests a second for each shard: 0.6 of what its server can do
WARM_UP_S = 12.0
COLD_S = 6.0  # of the load after the restart
DOWN_S = 0.3
TOLD_SLACK_S = 0.2  # 0.05 s for sockets, 0.15 s for a front that is held up
COLD_FROM, RAMP_TIME_S, TIP_MULTIPLE, TIP_AFTER_S = 0.15, 17.0, 2.0, 1.0  # as the settings say


class Server(ChunkServer):
    """A chunk server that works on one request at a time, more slowly while it is cold."""

    started_at: float | None = None  # None: long ago
    fails = False
    free_at = 0.0

    def capacity_share(self, now: float) -> float:
        """Return the share of its full capacity that it has now."""
        if self.started_at is None:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.started_at) / RAMP_TIME_S)

    async def work(
        self, request: Arrived, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve the request in turn of arrival, or fail it at once."""
        if self.fails:
            writer.write(whole_answer(b"", status="500 Internal Server Error"))
            await writer.drain()
            return True
        now = time.monotonic()
        self.free_at = max(self.free_at, now) + WORK_S / self.capacity_share(now)
        await asyncio.sleep(self.free_at - now)
        if writer.is_closing():
            return False
        writer.write(whole_answer(body_of(request)))
        await writer.drain()
        return True


async def send_read(front: Front, shard: int, number: int) -> None:
    """Send one read of mean size on a connection of its own."""
    with suppress(OSError, EOFError):
        client = await Client.connect(front.port)
        await client.ask(encode_request(f"r-{shard}-{number}", 100_000 * shard + number, shard=shard))
        client.close()


async def load(front: Front, seconds: float, first_number: int) -> None:
    """Send reads for each shard at an even rate."""
    start = time.monotonic()
    count = int(seconds * RATE)
    reads = []
    for number in range(count):
        for shard in range(SERVERS):
            due = start + (number + shard / SERVERS) / RATE
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            reads.append(asyncio.create_task(send_read(front, shard, first_number + number)))
    await asyncio.gather(*reads)


def limit_at(server: Server, now: float) -> float:
    """Return how many requests of mean work the server withstands in the time that the settings name."""
    allowed = TIP_MULTIPLE * TIP_AFTER_S * server.capacity_share(now) / WORK_S
    if allowed < 30:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


def worst_window(server: Server, told_at: float, record: Record) -> float:
    """Return the largest excess over the limit in a window after the front was told of the start."""
    times = [arrived.arrived_at for arrived in server.arrived if arrived.arrived_at > told_at + TOLD_SLACK_S]
    worst = -math.inf
    for now in times:
        count = sum(now - TIP_AFTER_S < earlier <= now for earlier in times)
        limit = limit_at(server, now)
        if count - limit > worst:
            worst = count - limit
            record.add(f"window to {now - told_at:.2f} s: {count} requests arrived, limit {limit:.1f}")
    return worst


async def main(record: Record, folder: Path) -> int:
    """Restart one server under an even load, and count what reaches it while it is cold."""
    servers = [Server(f"s-0000000{cell}", cell, record) for cell in range(SERVERS)]
    for server in servers:
        server.answer = server.work
        await server.start()
    agent = await Agent(record).start()
    agent.list_all(*[server.entry() for server in servers])
    front = await Front(
        "n0", folder, {"discovery": agent.address, "settings": make_settings()}, record
    ).start()
    cold = servers[0]
    try:
        await load(front, WARM_UP_S, 0)
        record.add(f"{cold.name} restarts")
        cold.stop()
        await asyncio.sleep(DOWN_S)
        cold.started_at, cold.free_at, cold.fails = time.monotonic(), 0.0, trouble_is_on()
        await cold.start()
        agent.change(cold.entry(started_at_ms=int(time.time() * 1000)))
        told_at = time.monotonic()
        await load(front, COLD_S, 50_000)
    finally:
        await front.kill()
        agent.stop()
        for server in servers:
            server.stop()
    after = [arrived.trace_id for arrived in cold.arrived if arrived.arrived_at > told_at]
    excess = worst_window(cold, told_at, record)
    record.add(f"{len(after)} attempts of {len(set(after))} requests reached the cold server")
    if not after:
        raise CaseError("no request reached the cold server")
    return EXIT_BROKEN if excess > 0 else EXIT_HELD


run_case(__file__, main)

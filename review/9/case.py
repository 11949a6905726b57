"""A chunk server that dies and comes back: do requests that waited for it keep the limit of their plan?"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from support_2 import (
    EXIT_BROKEN,
    EXIT_HELD,
    Agent,
    CaseError,
    ChunkServer,
    Client,
    Front,
    Record,
    encode_request,
    make_settings,
    run_case,
    trouble_is_on,
)

LIMIT = 30.0  # units a second
LIMIT_BURST = 48.0
CAP_SLACK = 6.0
SOCKET_SLACK_S = 0.15  # the slack grows by what the limit allows in this time
UNITS = 6
REQUESTS = 20
DOWN_S = 1.0
LIST_LATE_S = 2.0  # until discovery tells the new start
LIMITED_VOLUME = "00000003b4d60022"
WARM_CLIENTS, WARM_REQUESTS = 5, 60


async def warm_up(front: Front, client_number: int) -> None:
    """Send reads of another volume, whose plan has no limit, as an ordinary load before the trouble."""
    client = await Client.connect(front.port)
    for number in range(WARM_REQUESTS):
        if not client.is_reusable:
            client.close()
            client = await Client.connect(front.port)
        await client.ask(encode_request(f"w-{client_number}-{number}", 1000 * (client_number + 1) + number))
        await asyncio.sleep(0.05)
    client.close()


async def export(front: Front, number: int, record: Record) -> None:
    """Send one large read of the limited volume."""
    client = await Client.connect(front.port)
    request = encode_request(
        f"x-{number}",
        number,
        request_class="stock-export",
        expires_ms=5000,
        units=UNITS,
        plan="basico",
        volume=LIMITED_VOLUME,
    )
    record.add(f"client: x-{number} sent")
    status, _ = await client.ask(request)
    record.add(f"client: x-{number} got {status}")
    client.close()


def lowest_level(server: ChunkServer, started_at: float, record: Record) -> float:
    """Return the lowest level of the volume's store: full at first, lowered by each id's first arrival."""
    level = lowest = LIMIT_BURST
    refilled_at = started_at
    seen: set[str] = set()
    for arrived in server.arrived:
        if not arrived.trace_id.startswith("x-") or arrived.trace_id in seen:
            continue
        seen.add(arrived.trace_id)
        level = min(LIMIT_BURST, level + LIMIT * (arrived.arrived_at - refilled_at)) - UNITS
        refilled_at = arrived.arrived_at
        lowest = min(lowest, level)
        record.add(f"store: {arrived.trace_id} lowers it to {level:.1f}")
    return lowest


async def main(record: Record, folder: Path) -> int:
    """Stop the chunk server for a while, and send a burst of a limited volume meanwhile."""
    settings = make_settings()
    settings["Contracts"].append(
        {
            "Name": "basico",
            "BaseRate": 4.0,
            "FloorRate": 0.0,
            "Limit": LIMIT,
            "LimitBurst": LIMIT_BURST,
            "CapSlack": CAP_SLACK,
            "Proportion": 1.0,
            "WorthFactor": 0.8,
        }
    )
    server = await ChunkServer("s-5be2a07c", 0, record).start()
    agent = await Agent(record).start()
    agent.list_all(server.entry())
    front = await Front("n0", folder, {"discovery": agent.address, "settings": settings}, record).start()
    started_at = time.monotonic()
    try:
        await asyncio.gather(*[warm_up(front, number) for number in range(WARM_CLIENTS)])
        if trouble_is_on():
            record.add("the chunk server dies")
            server.stop()
        exports = [asyncio.create_task(export(front, number, record)) for number in range(REQUESTS)]
        await asyncio.sleep(DOWN_S)
        if trouble_is_on():
            await server.start()
            record.add("the chunk server is back")
            await asyncio.sleep(LIST_LATE_S)
            agent.change(server.entry(started_at_ms=int((time.time() - LIST_LATE_S) * 1000)))
        await asyncio.gather(*exports)
    finally:
        await front.kill()
        agent.stop()
        server.stop()
    lowest = lowest_level(server, started_at, record)
    least_allowed = -(CAP_SLACK + SOCKET_SLACK_S * LIMIT)
    record.add(f"lowest level {lowest:.1f}, allowed {least_allowed:.1f}")
    if not any(arrived.trace_id.startswith("x-") for arrived in server.arrived):
        raise CaseError("no request of the limited volume reached the chunk server")
    return EXIT_BROKEN if lowest < least_allowed else EXIT_HELD


run_case(__file__, main)

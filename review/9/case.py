"""A front restarts while discovery is down: does it send to a chunk server that drains since before?"""

from __future__ import annotations

import asyncio
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

FRONT_DOWN_S = 2.5
DISCOVERY_DOWN_S = 8.0  # from the start of the new process on
STOP_SENDING_WITHIN_S = 2.0  # as the settings say
SLACK_S = 0.2  # 0.05 s for sockets, 0.15 s for a front that is held up
REQUEST_EVERY_S = 0.1
WATCHED_S = 11.0  # after the start of the new process


class SilentAgent(Agent):
    """An agent that says nothing while discovery is down; what it was sent before, it has."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.discovery_is_up = asyncio.Event()
        self.discovery_is_up.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call at once, or when discovery is back."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            self.record.add(f"{self.name}: call {target}")
            await self.discovery_is_up.wait()
            if "watch=1" in target:
                await self.send_changes(writer, target)
                return
            await self.send_list(writer)


class Server(ChunkServer):
    """A chunk server that turns new work away once it drains."""

    drains = False

    async def work(
        self, request: Arrived, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve the request, or turn it away unrun."""
        if self.drains:
            writer.write(whole_answer(b"", "X-Never-Ran: 1", status="503 Draining"))
        else:
            writer.write(whole_answer(body_of(request)))
        await writer.drain()
        return True


async def send_requests(front: Front, record: Record, first_number: int, until: float) -> None:
    """Send a read for the shard every 0.1 s, as soon as the front is used."""
    number = first_number
    while time.monotonic() < until:
        number += 1
        with suppress(OSError, EOFError):
            client = await Client.connect(front.port)
            status, _ = await client.ask(encode_request(f"r-{number}", number))
            record.add(f"client: r-{number} got {status}")
            client.close()
        await asyncio.sleep(REQUEST_EVERY_S)


async def main(record: Record, folder: Path) -> int:
    """Kill the front, let a server drain, and start the front again with its last list."""
    old = await Server("s-5be2a07c", 0, record).start()
    new = await Server("s-77c1e90d", 0, record).start()
    old.answer, new.answer = old.work, new.work
    agent = SilentAgent(record)
    await agent.start()
    agent.list_all(old.entry())
    front = await Front(
        "n0", folder, {"discovery": agent.address, "settings": make_settings()}, record
    ).start()
    try:
        await send_requests(front, record, 0, time.monotonic() + 1.0)
        front.config["known"] = agent.whole_list()
        record.add("the front is killed")
        await front.kill()
        agent.change(new.entry(), old.entry("DRAINING"))
        old.drains = True
        await asyncio.sleep(FRONT_DOWN_S)
        started_at = time.monotonic()
        if trouble_is_on():
            record.add("discovery goes down")
            agent.discovery_is_up.clear()
            asyncio.get_running_loop().call_later(DISCOVERY_DOWN_S, agent.discovery_is_up.set)
        await front.start()
        record.add(f"the new process is used {time.monotonic() - started_at:.2f} s after its start")
        await send_requests(front, record, 1000, started_at + WATCHED_S)
    finally:
        await front.kill()
        for peer in (agent, old, new):
            peer.stop()
    delays = [arrived.arrived_at - started_at for arrived in old.arrived if arrived.arrived_at > started_at]
    late = [delay for delay in delays if delay > STOP_SENDING_WITHIN_S + SLACK_S]
    record.add(f"requests reached the draining server until {max(delays, default=0.0):.2f} s after the start")
    record.add(f"{len(late)} of them later than {STOP_SENDING_WITHIN_S + SLACK_S:.2f} s")
    if not new.arrived:
        raise CaseError("the front never sent to the new server, also with discovery up")
    return EXIT_BROKEN if late else EXIT_HELD


run_case(__file__, main)

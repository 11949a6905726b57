"""Discovery that is slow to answer: does the front stop sending to a chunk server that drains?"""

from __future__ import annotations

import asyncio
import time
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
    encode_request,
    make_settings,
    run_case,
    trouble_is_on,
    whole_answer,
)

ANSWER_AFTER_S = 2.0  # of each call to the slow discovery service
TOLD_WITHIN_S = 6.0  # after discovery had the change and could be reached
SOCKET_SLACK_S = 0.05
HELD_UP_S = 0.15  # between the front's clock and its write
STOP_SENDING_WITHIN_S = 2.0  # as the settings say
WATCHED_S = 13.0  # after the change
REQUEST_EVERY_S = 0.1


class Discovery(Agent):
    """A discovery service that the fronts have to ask; each call waits its turn before it is answered."""

    answer_after_s = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls for the list; a watch lasts until its connection ends."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            self.record.add(f"{self.name}: call {target}")
            await asyncio.sleep(self.answer_after_s)
            if "watch=1" in target:
                await self.send_changes(writer, target)
                return
            await self.send_list(writer)


class Server(ChunkServer):
    """A chunk server that turns new work away once it drains."""

    drains = False

    async def answer_or_turn_away(
        self, request: Arrived, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve the request, or turn it away unrun."""
        if self.drains:
            writer.write(whole_answer(b"", "X-Never-Ran: 1", status="503 Draining"))
        else:
            writer.write(whole_answer(b"the answer made for " + request.trace_id.encode()))
        await writer.drain()
        return True


async def patient_watch(discovery: Discovery, record: Record) -> None:
    """Record how long a caller that waits for its answer takes to hear of the change."""
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
    writer.write(b"GET /discovery/hosts?watch=1&after=40 HTTP/1.1\r\nHost: discovery\r\n\r\n")
    while b"DRAINING" not in await reader.readline():
        pass
    record.add(f"a patient watch heard of the change after {time.monotonic() - started_at:.2f} s")
    writer.transport.abort()


async def send_requests(front: Front, record: Record) -> None:
    """Send a read for the shard every 0.1 s."""
    until = time.monotonic() + WATCHED_S
    number = 0
    while time.monotonic() < until:
        number += 1
        client = await Client.connect(front.port)
        status, _ = await client.ask(encode_request(f"r-{number}", number))
        record.add(f"client: r-{number} got {status}")
        client.close()
        await asyncio.sleep(REQUEST_EVERY_S)


async def main(record: Record, folder: Path) -> int:
    """Let a chunk server drain, and see until when requests reach it."""
    old = await Server("s-5be2a07c", 0, record).start()
    new = await Server("s-77c1e90d", 0, record).start()
    old.answer, new.answer = old.answer_or_turn_away, new.answer_or_turn_away
    discovery = Discovery(record, "discovery")
    await discovery.start()
    discovery.list_all(old.entry())
    discovery.answer_after_s = ANSWER_AFTER_S if trouble_is_on() else 0.0
    settings = make_settings(Discovery="subscribe", Siblings=3)
    settings["Safety"]["AskEveryS"] = 10.0
    config = {"discovery": discovery.address, "settings": settings, "known": discovery.whole_list()}
    front = await Front("n0", folder, config, record).start()
    patient = None
    try:
        await asyncio.sleep(2.0)
        discovery.change(new.entry(), old.entry("DRAINING"))
        changed_at = time.monotonic()
        old.drains = True
        patient = asyncio.create_task(patient_watch(discovery, record))
        await send_requests(front, record)
    finally:
        if patient:
            patient.cancel()
        await front.kill()
        for peer in (discovery, old, new):
            peer.stop()
    last_allowed_s = TOLD_WITHIN_S + STOP_SENDING_WITHIN_S + SOCKET_SLACK_S + HELD_UP_S
    delays = [arrived.arrived_at - changed_at for arrived in old.arrived if arrived.arrived_at > changed_at]
    late = [delay for delay in delays if delay > last_allowed_s]
    record.add(
        f"requests reached the draining server until {max(delays, default=0.0):.2f} s after the change"
    )
    record.add(
        f"{len(late)} of them later than {last_allowed_s:.2f} s; the new server got {len(new.arrived)}"
    )
    if not old.arrived and not new.arrived:
        raise CaseError("no request reached a chunk server")
    return EXIT_BROKEN if late else EXIT_HELD


run_case(__file__, main)

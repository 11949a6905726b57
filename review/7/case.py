"""A planned restart of a front whose longest deadline is short: is each request that it took answered?"""

from __future__ import annotations

import asyncio
import signal
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
    body_of,
    encode_request,
    make_settings,
    run_case,
    trouble_is_on,
    whole_answer,
)

AIM_S, DEADLINE_S = 0.05, 0.15  # of all classes
WORK_S = 0.01
CLIENTS, PERIOD_S = 20, 0.1  # together 200 requests a second
SPREAD_S = 0.02  # of the requests of one period
NEW_CONNECTIONS_FOR_S = 0.4  # after SIGTERM
KILL_AFTER_S = DEADLINE_S + 0.7
SENDING_S = 2.0  # after SIGTERM, or as long as a connection stays open
NO_DOUBT_S = 0.005  # a request that ended so shortly before its connection may have crossed the close


async def answer(request: Arrived, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Serve the request after some work."""
    await asyncio.sleep(WORK_S)
    if writer.is_closing():
        return False
    writer.write(whole_answer(body_of(request)))
    await writer.drain()
    return True


class Results:
    """What the clients saw; times in seconds after SIGTERM."""

    def __init__(self, record: Record, restart_at: float) -> None:
        self.record = record
        self.restart_at = restart_at
        self.answered = 0
        self.lost = 0

    def add_end(self, trace_id: str, written_at: float, error: Exception) -> None:
        """Count a request that was written whole, and whose connection ended without an answer."""
        waited_s = time.monotonic() - written_at
        is_lost = waited_s > NO_DOUBT_S
        self.lost += is_lost
        self.record.add(
            f"{'LOST: ' if is_lost else ''}{trace_id}: last byte at {written_at - self.restart_at:.4f}, end"
            f" without an answer {waited_s:.4f} s later: {type(error).__name__}"
        )


async def send_reads(front: Front, number: int, results: Results) -> None:
    """Send a read in each period on one connection, one at a time, as long as it stays open."""
    client = await Client.connect(front.port)
    due = results.restart_at - 1.0 + SPREAD_S * number / CLIENTS
    count = 0
    while due < results.restart_at + SENDING_S:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        due += PERIOD_S
        if not client.is_reusable and time.monotonic() < results.restart_at + NEW_CONNECTIONS_FOR_S:
            client.close()
            client = await Client.connect(front.port)
        if not client.is_reusable or client.reader.at_eof() or client.reader.exception():
            return
        count += 1
        trace_id = f"r-{number}-{count}"
        client.writer.write(
            encode_request(trace_id, 1000 * number + count, expires_ms=int(1000 * DEADLINE_S))
        )
        written_at = time.monotonic()
        try:
            await client.read_answer()
            results.answered += 1
        except (OSError, EOFError) as error:
            results.add_end(trace_id, written_at, error)
            return
    client.close()


async def main(record: Record, folder: Path) -> int:
    """Restart the front under a steady load."""
    server = await ChunkServer("s-5be2a07c", 0, record, answer).start()
    agent = await Agent(record).start()
    agent.list_all(server.entry())
    settings = make_settings()
    for request_class in settings["Lanes"]:
        request_class.update(AimS=AIM_S, GiveUpS=DEADLINE_S)
    front = await Front("n0", folder, {"discovery": agent.address, "settings": settings}, record).start()
    assert front.process
    results = Results(record, time.monotonic() + 1.2)
    try:
        clients = [asyncio.create_task(send_reads(front, number, results)) for number in range(CLIENTS)]
        await asyncio.sleep(results.restart_at - time.monotonic())
        if trouble_is_on():
            front.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(KILL_AFTER_S):
                    await front.process.wait()
            except TimeoutError:
                front.send_signal(signal.SIGKILL)  # as the platform does
                await front.process.wait()
            record.add(f"the front ended {time.monotonic() - results.restart_at:.4f} s after SIGTERM")
        await asyncio.gather(*clients)
    finally:
        await front.kill()
        agent.stop()
        server.stop()
    record.add(f"{results.answered} requests answered, {results.lost} lost")
    if not results.answered:
        raise CaseError("no request was answered")
    return EXIT_BROKEN if results.lost else EXIT_HELD


run_case(__file__, main)

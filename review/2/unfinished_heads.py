"""Bad clients stop in the middle of a request and stay; meanwhile usual clients open new connections."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from review import support

DESCRIPTORS = int(
    os.environ.get("DESCRIPTORS", "256")
)  # "256 to 1,024 descriptors"; a third of them would be 85 connections for requests
BAD_CLIENTS = int(os.environ.get("BAD_CLIENTS", "200"))  # "by hundreds"
BAD_AT = 20  # number of the usual request before which they come
REQUESTS = 60
INTERVAL_S = 0.1
TIMEOUT_MS = 1200
MAX_USUAL_CONNECTIONS = DESCRIPTORS // 3  # "Clients hold at most a third of the descriptors for requests"
WAIT_S = 15.0  # the clients wait this long, to see when the answer comes
HALF_A_HEAD = b"GET /api?block=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: bad"


async def answer(request: support.NodeRequest) -> None:
    """Serve a request at once."""
    await asyncio.sleep(0.005)
    request.writer.write(support.length_answer(request.trace_id.encode()))


async def stop_midway(record: support.Record, port: int, number: int) -> None:
    """Send half a head, and stay until the front answers or closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    connected_at = time.monotonic()
    writer.write(HALF_A_HEAD)
    try:
        async with asyncio.timeout(WAIT_S):
            got = f"{len(await reader.read(65536))} bytes"
    except OSError as error:  # includes TimeoutError
        got = type(error).__name__
    record.line(f"bad client {number}: got {got} after {time.monotonic() - connected_at:.3f} s")
    writer.transport.abort()


async def play(record: support.Record, folder: Path) -> int:
    """Play the case and return the exit status."""
    node = support.Node("s-0", record, answer)
    await node.start()
    discovery = support.Discovery(record, [support.entry("s-0", node.address, 0)])
    await discovery.start()
    gateway = support.GatewayProcess("n0", record, folder)
    bad_clients: list[asyncio.Task[None]] = []
    try:
        await gateway.start(support.small_deployment(), discovery.address, DESCRIPTORS)
        await asyncio.sleep(1.0)
        clients = support.Clients(gateway.port, record, [node], WAIT_S)
        requests = []
        for number in range(REQUESTS):
            if support.TROUBLE and number == BAD_AT:
                record.line(f"{BAD_CLIENTS} bad clients connect, send half a head and stay")
                bad_clients += [
                    asyncio.create_task(stop_midway(record, gateway.port, index))
                    for index in range(BAD_CLIENTS)
                ]
                await asyncio.sleep(INTERVAL_S)
            asking = clients.ask("stock-read", f"r{number:04d}", 0, TIMEOUT_MS)
            requests.append(asyncio.create_task(asking))
            await asyncio.sleep(INTERVAL_S)
        kept = await asyncio.gather(*requests)
        await asyncio.gather(*bad_clients)
        clients.close()
    finally:
        await gateway.end()
        discovery.stop()
        node.stop()
    if not all(kept[: BAD_AT - 1]):
        raise support.NotRunError("requests were lost before the disruption")
    record.line(f"usual clients held {clients.most_open} connections at most")
    if clients.most_open > MAX_USUAL_CONNECTIONS:
        raise support.NotRunError("the usual clients held more connections than the pages allow")
    lost = kept.count(False)
    print(f"requests {len(kept)}, without a final answer in time {lost}")
    record.line(f"requests {len(kept)}, without a final answer in time {lost}")
    return support.BROKEN if lost else support.HELD


if __name__ == "__main__":
    sys.exit(support.run_case(play, Path(__file__).parent))

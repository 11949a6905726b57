"""A watch that is opened again brings the whole list, indented; meanwhile clients go on as before."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from review import support

LISTED_NODES = 1000  # the pages allow up to 3,200
USED_SHARDS = 9  # the nodes that the clients' requests need; they all answer
INDENT = int(os.environ.get("INDENT", "2"))  # 0 sends the same list on one line, which does no harm
RESET_AT_S = 5.0
TRAFFIC_S = 20.0
INTERVAL_S = 0.1
TIMEOUT_MS = 1200
WAIT_S = 40.0  # the clients wait this long, to see when the answer comes


async def answer(request: support.NodeRequest) -> None:
    """Serve a request at once."""
    await asyncio.sleep(0.005)
    request.writer.write(support.length_answer(request.trace_id.encode()))


async def play(record: support.Record, folder: Path) -> int:
    """Play the case and return the exit status."""
    nodes = [support.Node(f"s-{cell}", record, answer) for cell in range(USED_SHARDS)]
    for node in nodes:
        await node.start()
    entries = [support.entry(f"s-{cell:08x}", node.address, cell) for cell, node in enumerate(nodes)]
    entries += [
        support.entry(f"s-{cell:08x}", f"127.0.{1 + cell // 250}.{1 + cell % 250}:8081", cell)
        for cell in range(USED_SHARDS, LISTED_NODES)
    ]
    discovery = support.Discovery(record, entries)
    await discovery.start()
    gateway = support.GatewayProcess("n0", record, folder)
    try:
        await gateway.start(support.small_deployment(LISTED_NODES), discovery.address)
        await asyncio.sleep(1.0)
        clients = support.Clients(gateway.port, record, nodes, WAIT_S)
        requests = []
        for number in range(int(TRAFFIC_S / INTERVAL_S)):
            if support.TROUBLE and number == int(RESET_AT_S / INTERVAL_S):
                record.line("discovery: resets the open watch")
                discovery.indents_watch_list = INDENT
                discovery.reset_connections()
            asking = clients.ask("stock-read", f"r{number:04d}", number % USED_SHARDS, TIMEOUT_MS)
            requests.append(asyncio.create_task(asking))
            await asyncio.sleep(INTERVAL_S)
        in_time = await asyncio.gather(*requests)
        clients.close()
    finally:
        await gateway.end()
        discovery.stop()
        for node in nodes:
            node.stop()
    before = in_time[: int(RESET_AT_S / INTERVAL_S)]
    if not all(before[:-20]):
        raise support.NotRunError("requests were lost before the disruption")
    lost = in_time.count(False)
    print(f"requests {len(in_time)}, without a final answer in time {lost}")
    record.line(f"requests {len(in_time)}, without a final answer in time {lost}")
    return support.BROKEN if lost else support.HELD


if __name__ == "__main__":
    sys.exit(support.run_case(play, Path(__file__).parent))

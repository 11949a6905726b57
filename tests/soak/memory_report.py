"""Reports the peak memory of a gateway, and how usual clients fare, beside each kind of bad client.

Run by hand, alone on the machine: ``python -m tests.soak.memory_report MEMORY_MB``.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import unittest
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.soak.bad_clients import KINDS
from tests.support.configuration import SETTINGS
from tests.support.endpoints import discovery_entry, discovery_snapshot
from tests.support.http import make_target
from tests.support.peers import respond_at_once
from tests.support.process import GatewayProcessCase

DESCRIPTORS = 1024
CONNECTIONS = 600
SECONDS = 8.0
REQUEST_INTERVAL_S = 0.05
MAX_RESPONSE_TIME_S = 0.5  # the latency objective of the usual clients
# The usual clients stay within the reservation of their plan.
USUAL_SETTINGS = {
    **SETTINGS,
    "Contracts": [{**SETTINGS["Contracts"][0], "BaseRate": 200.0, "FloorRate": 200.0}],
}
KB_PER_MB = 1024


@dataclass(slots=True)
class Outcome:
    """What a run showed.

    Attributes:
        idle_mb: resident memory of the idle gateway before the run.
        peak_mb: peak of its resident memory.
        after_mb: resident memory at the end of the run.
        is_alive: whether the process still runs.
        times_s: seconds to the response of each usual request that was served.
        failures: number of usual requests that were not served, by status; 0 for no response.
    """

    idle_mb: float
    peak_mb: float = 0.0
    after_mb: float = 0.0
    is_alive: bool = True
    times_s: list[float] = field(default_factory=list)
    failures: Counter[int] = field(default_factory=Counter)

    @property
    def failed(self) -> int:
        """Number of usual requests that were not served."""
        return self.failures.total()

    @property
    def late(self) -> int:
        """Number of usual requests that were served later than their latency objective."""
        return sum(time_s > MAX_RESPONSE_TIME_S for time_s in self.times_s)


def read_memory_mb(pid: int, name: str) -> float:
    """Return a figure of the process's memory in MB, such as ``VmRSS`` or ``VmHWM``."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


class MemoryCase(GatewayProcessCase):
    """A gateway process with a storage node, and usual clients beside a kind of bad client."""

    async def start_with_limit(self, memory_mb: int, **changes: Any) -> None:
        """Start a gateway with this limit that serves from one node."""
        node = await self.start_node(respond_at_once)
        discovery = await self.start_discovery(
            discovery_snapshot(discovery_entry("SERVING", node.port)), *[[b""] * 1000] * 3
        )
        await self.start_gateway(
            discovery=f"127.0.0.1:{discovery.port}",
            limits={"memory_mb": memory_mb, "sockets": DESCRIPTORS},
            settings=USUAL_SETTINGS,
            **changes,
        )
        assert self.process.stderr
        self.log_lines: list[bytes] = []
        self._log_task = asyncio.ensure_future(self._read_log())
        await self.wait_until_served("warm")

    async def play(self, kind: str, seconds: float, connections: int, seed: int = 1) -> Outcome:
        """Play a kind of bad client beside usual ones, and return what was seen."""
        outcome = Outcome(read_memory_mb(self.process.pid, "VmRSS"))
        arguments = [kind, self.port, connections, seconds, seed]
        clients = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.soak.bad_clients", *map(str, arguments)
        )
        requests = []
        number = 0
        while clients.returncode is None:
            number += 1
            requests.append(asyncio.ensure_future(self._request(f"{kind}{number}", number, outcome)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*requests)
        outcome.is_alive = self.process.returncode is None
        if outcome.is_alive:
            outcome.peak_mb = read_memory_mb(self.process.pid, "VmHWM")
            outcome.after_mb = read_memory_mb(self.process.pid, "VmRSS")
        return outcome

    async def _end_process(self) -> None:
        log_task = getattr(self, "_log_task", None)
        if log_task:
            log_task.cancel()
            await asyncio.wait([log_task])
        await super()._end_process()

    async def _request(self, trace_id: str, number: int, outcome: Outcome) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            status = await self.get_status(make_target(number), **{"X-Trace-Id": trace_id})
        except Exception:
            status = 0
        if status == 200:
            outcome.times_s.append(loop.time() - sent_at)
        else:
            outcome.failures[status] += 1

    async def _read_log(self) -> None:
        assert self.process.stderr
        while line := await self.process.stderr.readline():
            self.log_lines.append(line)


class _ReportCase(MemoryCase):
    """Plays the kinds of bad client, each beside a new gateway."""

    options: argparse.Namespace

    async def test_report(self) -> None:
        options = self.options
        print(f"{'kind':30} {'idle':>6} {'peak':>7} {'after':>7}  {'slowest':>8} late failed of")
        for kind in options.kinds or KINDS:
            await self.start_with_limit(options.memory_mb)
            outcome = await self.play(kind, options.seconds, options.connections)
            slowest = max(outcome.times_s, default=0.0)
            total = len(outcome.times_s) + outcome.failed
            print(
                f"{kind:30} {outcome.idle_mb:6.1f} {outcome.peak_mb:7.1f} {outcome.after_mb:7.1f}  "
                f"{slowest:8.3f} {outcome.late:4} {outcome.failed:6} {total:3}"
                f"  {dict(outcome.failures) or ''}"
                f"{'' if outcome.is_alive else '  THE PROCESS ENDED'}",
                flush=True,
            )
            if options.log:
                print(*[line.decode() for line in self.log_lines[-options.log :]])
            await self._end_process()


def main() -> None:
    """Run the report with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("memory_mb", type=int, help="the memory limit in the configuration")
    parser.add_argument("kinds", nargs="*", help="kinds of bad client; all if there are none")
    parser.add_argument("--connections", type=int, default=CONNECTIONS)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--log", type=int, default=0, help="last lines of the log to print")
    _ReportCase.options = parser.parse_args()
    unittest.TextTestRunner().run(_ReportCase("test_report"))


if __name__ == "__main__":
    main()

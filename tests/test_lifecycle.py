"""The periodic line in the log: what the host did and why, with no line of a request."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from storage_gateway import lifecycle as core_module
from storage_gateway import policy_api as api
from storage_gateway.lifecycle import Core
from tests.support.policy import Host, entry, plan_spec, settings


def test_the_policy_counts_what_it_did_and_why() -> None:
    host = Host(settings(plans=[plan_spec(limit=0.1, limit_burst=0.2)]), [entry(1, 1), entry(2, 2)])
    host.ask("limited")
    host.ask("nowhere", cell=9)
    host.run_until(host.now + 0.6)
    figures = host.policy.figures()
    assert (figures["arrived"], figures["given_up_limit_due"], figures["given_up_no_node_due"]) == (2, 1, 1)
    assert (figures["nodes"], figures["held"], figures["out"], figures["cold"]) == (2, 0, 0, 0)
    assert "arrived" not in host.policy.figures(), "counts begin anew with each report"


def test_outcomes_are_counted_by_kind() -> None:
    host = Host(settings(), [entry(1, 1)])
    host.ask("a")
    host.end("a", api.Outcome.ERROR)
    host.end("a", api.Outcome.SERVED)
    figures = host.policy.figures()
    assert (figures["sent"], figures["error"], figures["served"]) == (2, 1, 1)


class Report(unittest.IsolatedAsyncioTestCase):
    async def test_a_line_every_few_seconds_with_the_figures_of_all_parts(self) -> None:
        lines: list[dict[str, Any]] = []
        done = asyncio.Event()

        def info(event: str, **figures: Any) -> None:
            lines.append({"event": event, **figures})
            if len(lines) == 2:
                done.set()

        with mock.patch.object(core_module, "REPORT", 0.01), mock.patch.object(core_module.log, "info", info):
            core = Core(settings())
            core.reports.append(lambda: {"connections": 3})
            core.watch_self()
            async with asyncio.timeout(5):
                await done.wait()
        self.assertEqual({line["event"] for line in lines}, {"status"})
        self.assertEqual([line["connections"] for line in lines[:2]], [3, 3])
        self.assertGreaterEqual(lines[0]["lag_ms"], 0.0)
        self.assertEqual(lines[0]["open"], 0)

"""The periodic line in the log: what the host did and why, with no line of a request."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from storage_gateway import lifecycle as lifecycle_module
from storage_gateway.lifecycle import RequestExecutor
from tests.support.policy import make_settings


class Report(unittest.IsolatedAsyncioTestCase):
    async def test_a_line_every_few_seconds_with_the_figures_of_all_parts(self) -> None:
        lines: list[dict[str, Any]] = []
        done = asyncio.Event()

        def info(event: str, **figures: Any) -> None:
            lines.append({"event": event, **figures})
            if len(lines) == 2:
                done.set()

        with (
            mock.patch.object(lifecycle_module, "REPORT", 0.01),
            mock.patch.object(lifecycle_module.log, "info", info),
        ):
            executor = RequestExecutor(make_settings())
            executor.status_sources.append(lambda: {"connections": 3})
            executor.start_status_log()
            async with asyncio.timeout(5):
                await done.wait()
        assert {line["event"] for line in lines} == {"status"}
        assert [line["connections"] for line in lines[:2]] == [3, 3]
        assert lines[0]["lag_ms"] >= 0.0
        assert lines[0]["open"] == 0

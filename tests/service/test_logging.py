"""The status line of the log, which reports on the whole process and never on a single request."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from storage_gateway import logging as logging_module
from storage_gateway.lifecycle import RequestExecutor
from tests.support.policy import make_settings


class StatusLogTest(unittest.IsolatedAsyncioTestCase):
    """The line is repeated and contains the fields of all components."""

    async def test_each_interval_logs_a_line_with_the_fields_of_all_components(self) -> None:
        lines: list[dict[str, Any]] = []
        two_lines_logged = asyncio.Event()

        def record_line(event: str, **fields: Any) -> None:
            lines.append({"event": event, **fields})
            if len(lines) == 2:
                two_lines_logged.set()

        with (
            mock.patch.object(logging_module, "STATUS_INTERVAL_S", 0.01),
            mock.patch.object(logging_module.log, "info", record_line),
        ):
            executor = RequestExecutor(make_settings())
            executor.status_sources.append(lambda: {"connections": 3})
            executor.start_status_log()
            async with asyncio.timeout(5):
                await two_lines_logged.wait()

        assert {line["event"] for line in lines} == {"status_reported"}
        assert [line["connections"] for line in lines[:2]] == [3, 3]
        assert lines[0]["lag_ms"] >= 0.0
        assert lines[0]["pending"] == 0

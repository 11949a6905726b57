"""SIGTERM to the whole process: every request has its response before the process ends."""

from __future__ import annotations

import asyncio
import signal

from tests.support.configuration import SETTINGS
from tests.support.endpoints import discovery_entry, discovery_snapshot
from tests.support.http import TARGET
from tests.support.peers import make_response, never_respond
from tests.support.process import GatewayProcessCase


class GracefulShutdownTest(GatewayProcessCase):
    """SIGTERM starts a graceful shutdown."""

    async def test_earlier_request_has_a_response_even_if_its_client_would_wait_longer(self) -> None:
        node = await self.start_node(never_respond)
        slow_classes = [{**lane, "GiveUpS": 30.0, "AimS": 9.0} for lane in SETTINGS["Lanes"]]
        discovery = await self.start_discovery(discovery_snapshot(discovery_entry("SERVING", node.port)))
        await self.start_gateway(
            settings={**SETTINGS, "Lanes": slow_classes}, discovery=f"127.0.0.1:{discovery.port}"
        )
        await self.wait_until_ready()
        requesting = asyncio.create_task(
            self.get_status(TARGET, **{"X-Trace-Id": "t", "X-Expires-In-Ms": "30000"})
        )
        await node.wait_for_request("t")

        self.process.send_signal(signal.SIGTERM)

        async with asyncio.timeout(10):  # the response comes before the process ends, at 3.7 s
            assert await requesting in (502, 503)
            assert await self.process.wait() == 0

    async def test_requests_accepted_before_and_after_sigterm_have_a_response(self) -> None:
        release = asyncio.Event()

        async def script(trace_id: str) -> bytes:
            if trace_id == "before":
                await release.wait()
            if trace_id == "no-response":
                await asyncio.sleep(60)
            return make_response()

        node = await self.start_node(script)
        known = discovery_snapshot(discovery_entry("SERVING", node.port))
        discovery = await self.start_discovery(known, [b""])
        await self.start_gateway(known=known, discovery=f"127.0.0.1:{discovery.port}")
        await self.wait_until_ready()
        earlier_request = asyncio.create_task(self.get_status(TARGET, **{"X-Trace-Id": "before"}))
        await node.wait_for_request("before")

        self.process.send_signal(signal.SIGTERM)
        await self.read_log_until(b"event='shutdown_started'")

        loop = asyncio.get_running_loop()
        shutdown_started_at = loop.time()
        later_response = await self.get_response(TARGET, **{"X-Trace-Id": "after"})
        # The connection stays open.
        assert (later_response.status, later_response.headers.get("Connection")) == (200, None)
        release.set()
        assert await earlier_request == 200
        while loop.time() < shutdown_started_at + 0.9:
            trace_id = str(node.accepted_connections + len(node.heads))
            assert await self.get_status(TARGET, **{"X-Trace-Id": trace_id}) == 200
            await asyncio.sleep(0.1)
        # Its deadline is later than the end of the process; idle connections are closed by then.
        assert await self.get_status(TARGET, **{"X-Trace-Id": "no-response"}) in (502, 503)
        assert loop.time() < shutdown_started_at + 2.2
        assert self.process.stderr
        async with asyncio.timeout(5):
            remaining_log = await self.process.stderr.read()
            assert await self.process.wait() == 0, remaining_log

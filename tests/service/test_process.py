"""The whole process on loopback: its end, its readiness and its descriptors."""

from __future__ import annotations

import asyncio
import json
import re
import resource
import signal
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from tests.support.http import HEADERS, TARGET
from tests.support.peers import SETTINGS, FakeDiscovery, FakeHttpNode, make_response
from tests.support.process import GatewayProcessCase, discovery_entry

SOCKETS = 112  # the least that the settings may allow


async def prompt(trace: str) -> bytes:
    return make_response()


async def silent(trace: str) -> bytes:
    await asyncio.Event().wait()
    raise AssertionError


class Process(GatewayProcessCase):
    async def begin(self, **changes: Any) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "config.json"
        self.daemon = await self.start(folder, **changes)
        self.addAsyncCleanup(self.finish)
        (port,) = re.findall(rb"port=(\d+)\)", await self.line(self.daemon, b"event='ready'"))
        self.port = int(port)
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)

    async def finish(self) -> None:
        if self.daemon.returncode is None:
            self.daemon.kill()
        await self.daemon.communicate()

    async def box(self, script: Any) -> FakeHttpNode:
        box: FakeHttpNode = await FakeHttpNode(script).start()
        self.addCleanup(box.stop)
        return box

    async def ask(self, target: str, **fields: str) -> int:
        url = f"http://127.0.0.1:{self.port}{target}"
        async with self.client.get(url, headers={**HEADERS, **fields}) as response:
            return response.status

    async def served(self, trace: str) -> None:
        """The request is served in the end, under a new id each time."""
        tries = 0
        async with asyncio.timeout(20):
            while await self.ask(TARGET, **{"X-Trace-Id": f"{trace}{tries}"}) != 200:
                tries += 1
                await asyncio.sleep(0.05)

    async def test_what_was_taken_before_sigterm_is_answered_though_its_client_waits_for_longer(self) -> None:
        box = await self.box(silent)
        lanes = [{**lane, "GiveUpS": 30.0, "AimS": 9.0} for lane in SETTINGS["Lanes"]]
        known = {"generation": 1, "reset": True, "instances": [discovery_entry("SERVING", box.port)]}
        await self.begin(settings={**SETTINGS, "Lanes": lanes}, known=known)
        asking = asyncio.create_task(self.ask(TARGET, **{"X-Trace-Id": "t", "X-Expires-In-Ms": "30000"}))
        while not box.counts["t"]:
            await asyncio.sleep(0.005)
        self.daemon.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10):  # the answer comes before the end, which is due after 3.7 s
            assert await asking in (502, 503)
            assert await self.daemon.wait() == 0

    async def test_a_bad_file_at_sighup_changes_nothing_and_is_logged_in_a_line(self) -> None:
        box = await self.box(prompt)
        whole = {"generation": 1, "reset": True, "instances": [discovery_entry("SERVING", box.port)]}
        agent = await FakeDiscovery(whole, []).start()
        self.addCleanup(agent.stop)
        await self.begin(discovery=f"127.0.0.1:{agent.port}")
        await self.served("before")
        good = json.loads(self.path.read_text())
        lanes = [{**SETTINGS["Lanes"][0], "AimS": 0}]
        for text in (
            "{", "[]", "[" * 200_000, json.dumps({**good, "settings": {**SETTINGS, "Lanes": lanes}}),
            json.dumps({**good, "discovery": "127.0.0.1:" + "9" * 5000}), "\x00",
        ):  # fmt: skip
            self.path.write_text(text)
            self.daemon.send_signal(signal.SIGHUP)
            assert b"event='reload_failed'" in await self.line(self.daemon, b"event='reload")
        self.path.unlink()
        self.daemon.send_signal(signal.SIGHUP)
        assert b"event='reload_failed'" in await self.line(self.daemon, b"event='reload")
        await self.served("after")
        self.daemon.send_signal(signal.SIGTERM)
        _, rest = await asyncio.wait_for(self.daemon.communicate(), 10)
        assert b"Traceback" not in rest

    async def test_it_is_ready_soon_though_discovery_is_silent(self) -> None:
        quiet = await asyncio.start_server(lambda reader, writer: asyncio.sleep(60), "127.0.0.1", 0)
        self.addCleanup(quiet.close)
        await self.begin(discovery=f"127.0.0.1:{quiet.sockets[0].getsockname()[1]}")
        async with asyncio.timeout(10):
            while await self.ask("/up") != 200:
                await asyncio.sleep(0.02)

    async def test_idle_clients_that_fill_the_descriptors_keep_it_from_neither_discovery_nor_nodes(
        self,
    ) -> None:
        box = await self.box(prompt)
        whole = {"generation": 1, "reset": True, "instances": [discovery_entry("SERVING", box.port)]}
        down = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        port = down.sockets[0].getsockname()[1]
        await self.begin(discovery=f"127.0.0.1:{port}", limits={"sockets": SOCKETS})
        resource.prlimit(self.daemon.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        idle = await asyncio.gather(
            *[asyncio.open_connection("127.0.0.1", self.port) for _ in range(2 * SOCKETS)]
        )
        assert await self.ask(TARGET, **{"X-Trace-Id": "early"}) != 200  # no list has come
        down.close()
        agent = FakeDiscovery(whole, [])
        agent.server = await asyncio.start_server(agent.connected, "127.0.0.1", port)
        self.addCleanup(agent.stop)
        await self.served("t")
        assert self.daemon.returncode is None
        self.daemon.send_signal(signal.SIGTERM)
        for _, writer in idle:
            writer.close()
        _, rest = await asyncio.wait_for(self.daemon.communicate(), 10)
        assert self.daemon.returncode == 0
        assert b"Traceback" not in rest
        assert rest.count(b"\n") < 1000, "a log that runs on is a loop that does"

"""SIGHUP to the whole process: what a reload changes, and that an invalid file changes nothing."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any

from tests.support.configuration import SETTINGS
from tests.support.endpoints import discovery_entry, discovery_snapshot
from tests.support.peers import respond_at_once
from tests.support.process import GatewayProcessCase


class ReloadTest(GatewayProcessCase):
    """SIGHUP makes the gateway reload its configuration file."""

    async def reload(self) -> bytes:
        """Make the gateway reload its configuration, and return the line that it logs."""
        self.process.send_signal(signal.SIGHUP)
        return await self.read_log_until(b"event='reload")

    async def test_invalid_file_changes_nothing_and_is_logged_on_one_line(self) -> None:
        node = await self.start_node(respond_at_once)
        discovery = await self.start_discovery(discovery_snapshot(discovery_entry("SERVING", node.port)))
        await self.start_gateway(discovery=f"127.0.0.1:{discovery.port}")
        await self.wait_until_served("before")

        valid = json.loads(self.config_path.read_text())
        invalid_class = {**SETTINGS["Lanes"][0], "AimS": 0}
        invalid_texts = [
            "{",
            "[]",
            "[" * 200_000,
            json.dumps({**valid, "settings": {**SETTINGS, "Lanes": [invalid_class]}}),
            json.dumps({**valid, "discovery": "127.0.0.1:" + "9" * 5000}),
            "\x00",
        ]
        for text in invalid_texts:
            self.config_path.write_text(text)
            assert b"event='reload_failed'" in await self.reload()
        self.config_path.unlink()
        assert b"event='reload_failed'" in await self.reload()

        await self.wait_until_served("after")
        self.process.send_signal(signal.SIGTERM)
        _, remaining_log = await asyncio.wait_for(self.process.communicate(), 10)
        assert b"Traceback" not in remaining_log

    async def test_reload_moves_discovery_but_not_to_an_invalid_address(self) -> None:
        node = await self.start_node(respond_at_once)
        first = await self.start_discovery(discovery_snapshot(generation=9))
        second = await self.start_discovery(discovery_snapshot(discovery_entry("SERVING", node.port)))
        first_address = f"127.0.0.1:{first.port}"
        second_address = f"127.0.0.1:{second.port}"
        await self.start_gateway({"RELAY_DISCOVERY": first_address}, discovery=first_address)

        valid = json.loads(self.config_path.read_text())
        changes: list[tuple[dict[str, Any], bytes]] = [
            ({"discovery": "nowhere"}, b"discovery: expected HOST:PORT"),
            (
                {"discovery": second_address, "listen": "127.0.0.1:9"},
                b"discovery_moved=True deferred_keys=['listen']",
            ),
            ({"discovery": second_address}, b"discovery_moved=False deferred_keys=[]"),
        ]
        for change, logged in changes:
            self.config_path.write_text(json.dumps({**valid, **change}))
            assert logged in await self.reload()

        async with asyncio.timeout(10):
            await self.wait_until_served("t")  # only the second service lists the node
        self.process.send_signal(signal.SIGHUP)
        self.process.send_signal(signal.SIGTERM)  # during a reload
        async with asyncio.timeout(5):
            assert await self.process.wait() == 0

"""Tests of VRRP over UDP on loopback."""

from __future__ import annotations

import asyncio
import unittest

from storage_gateway.config import Address, VrrpConfig
from storage_gateway.vrrp.router import RouterState
from storage_gateway.vrrp.transport import VrrpTransport


def make_config(host: str, priority: int) -> VrrpConfig:
    """Build the configuration of an instance of virtual router 1 without peers."""
    return VrrpConfig(Address(host, 0), [], 1, priority, 0.05, True, ["10.0.0.9"])


def is_master(transport: VrrpTransport) -> bool:
    """Return whether the transport's router is master."""
    return transport.router.state is RouterState.MASTER


class VrrpTransportTest(unittest.IsolatedAsyncioTestCase):
    """One or two instances."""

    async def test_backup_is_master_once_the_master_has_stopped(self) -> None:
        changes: list[asyncio.Queue[bool]] = [asyncio.Queue(), asyncio.Queue()]
        first = VrrpTransport(make_config("127.0.0.1", 200), changes[0].put)
        second = VrrpTransport(make_config("127.0.0.2", 100), changes[1].put)
        second.config.peers.append(await first.start())
        first.config.peers.append(await second.start())
        async with asyncio.timeout(5):
            while not await changes[0].get():
                pass
            while is_master(second):  # it may be master until the first instance's advertisement arrives
                await changes[1].get()
            await first.stop()
            while not await changes[1].get():
                pass
        assert is_master(second)
        await second.stop()

    async def test_stop_cancels_a_notification_in_progress(self) -> None:
        is_notified = asyncio.Event()
        is_cancelled = False

        async def on_mastership_change(_: bool) -> None:
            nonlocal is_cancelled
            is_notified.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                is_cancelled = True
                raise

        transport = VrrpTransport(make_config("127.0.0.1", 255), on_mastership_change)
        await transport.start()
        async with asyncio.timeout(5):
            await is_notified.wait()
            await transport.stop()
        assert is_cancelled

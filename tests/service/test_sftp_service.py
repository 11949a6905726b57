"""Tests that the SFTP service is open while enabled, and with VRRP only while this instance is master."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import unittest

from storage_gateway.config import Address, SftpConfig, VolumePath, VrrpConfig
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.lifecycle import RequestExecutor
from storage_gateway.sftp_service import SftpService
from tests.support.configuration import make_config, make_two_class_settings
from tests.support.project import ROOT

LOOPBACK = "127.0.0.1"
OWNER_PRIORITY = 255  # the address owner becomes master immediately (RFC 5798, section 6.4.1)
BACKUP_PRIORITY = 100
LONG_INTERVAL_S = 10.0  # a backup waits for three intervals before it becomes master


def find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port


def make_sftp_config() -> SftpConfig:
    return SftpConfig(
        listen=Address(LOOPBACK, find_free_port()),
        volumes=[VolumePath("/plats", 7, 0, 0, 1)],
        read_class=0,
        write_class=1,
        node_port=0,
        max_upload_bytes=1024,
        unit_bytes=1024,
        max_handles=4,
        idle_timeout_s=60.0,
        command_timeout_s=0.1,
    )


def make_vrrp_config(priority: int) -> VrrpConfig:
    return VrrpConfig(
        listen=Address(LOOPBACK, 0),
        peers=[Address(LOOPBACK, 9)],
        router_id=1,
        priority=priority,
        interval_s=LONG_INTERVAL_S,
        preempt=True,
        addresses=["192.0.2.1"],
    )


class SftpServiceTest(unittest.IsolatedAsyncioTestCase):
    """Each test starts the service and tries to connect to it."""

    def setUp(self) -> None:
        self.list_usable = asyncio.Event()
        self.list_usable.set()

    async def start(self, sftp: SftpConfig | None, vrrp: VrrpConfig | None = None) -> SftpService | None:
        config = make_config(sftp=sftp, vrrp=vrrp)
        executor = RequestExecutor(make_two_class_settings())
        return await SftpService.start(config, executor, EndpointRegistry({}), self.list_usable)

    async def accepts(self, address: Address) -> bool:
        try:
            _, writer = await asyncio.open_connection(address.host, address.port)
        except ConnectionRefusedError:
            return False
        writer.close()
        return True

    async def wait_until_accepted(self, address: Address) -> None:
        async with asyncio.timeout(5):
            is_open = False
            while not is_open:
                await asyncio.sleep(0.005)
                is_open = await self.accepts(address)

    async def test_start_returns_none_if_the_configuration_disables_the_service(self) -> None:
        assert await self.start(sftp=None) is None

    async def test_service_without_vrrp_is_open_until_it_is_closed(self) -> None:
        sftp = make_sftp_config()
        service = await self.start(sftp)
        assert service is not None
        assert await self.accepts(sftp.listen)

        await service.close(grace_s=1.0)

        assert not await self.accepts(sftp.listen)

    async def test_service_is_open_on_a_master_until_it_is_closed(self) -> None:
        sftp = make_sftp_config()
        service = await self.start(sftp, make_vrrp_config(OWNER_PRIORITY))
        assert service is not None
        await self.wait_until_accepted(sftp.listen)

        await service.close(grace_s=1.0)

        assert not await self.accepts(sftp.listen)

    async def test_instance_without_a_usable_endpoint_list_does_not_become_master(self) -> None:
        # Otherwise a restarted instance takes the clients of one that serves them, while discovery is silent.
        self.list_usable.clear()
        sftp = make_sftp_config()
        service = await self.start(sftp, make_vrrp_config(OWNER_PRIORITY))
        assert service is not None
        await asyncio.sleep(0.05)
        assert not await self.accepts(sftp.listen)

        self.list_usable.set()

        await self.wait_until_accepted(sftp.listen)
        await service.close(grace_s=1.0)

    async def test_service_is_closed_on_a_backup(self) -> None:
        sftp = make_sftp_config()
        service = await self.start(sftp, make_vrrp_config(BACKUP_PRIORITY))
        assert service is not None

        await asyncio.sleep(0.05)

        assert not await self.accepts(sftp.listen)
        await service.close(grace_s=1.0)


def test_process_without_the_service_loads_none_of_its_modules() -> None:
    program = (
        "import sys, storage_gateway.service;"
        "print([name for name in sys.modules if '.sftp' in name or '.vrrp' in name])"
    )
    result = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    assert result.stdout.strip() == "[]", result.stderr

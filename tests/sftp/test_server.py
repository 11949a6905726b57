"""Tests of the SFTP listener and its sessions."""

from __future__ import annotations

import asyncio

from storage_gateway.sftp import packets
from storage_gateway.sftp.codec import encode_packet
from storage_gateway.sftp.server import SftpServer
from tests.support.polling import wait_until
from tests.support.sftp import FakeSftpNode, SftpServerCase, make_sftp_config


class SftpServerTest(SftpServerCase):
    """Opening, closing and the session limit."""

    async def test_close_ends_idle_sessions_and_the_server_can_be_opened_again(self) -> None:
        client = await self.start()
        async with asyncio.timeout(5):
            await self.server.close(1.0)
            assert await client.reader.read() == b""
        assert self.server.listener is None
        await self.server.open()
        second = await self.connect()
        second.writer.write(encode_packet(packets.Init(packets.PROTOCOL_VERSION)))
        assert isinstance(await second.receive(), packets.Version)

    async def test_close_waits_for_the_current_command(self) -> None:
        node = FakeSftpNode()
        client = await self.start(node)
        node.files["/plats/t1"] = b"scan"
        node.may_respond.clear()
        client.writer.write(encode_packet(packets.Stat(1, "/plats/t1")))
        async with asyncio.timeout(5):
            await wait_until(lambda: bool(node.requests))
            closing = asyncio.create_task(self.server.close(1.0))
            await wait_until(lambda: self.server.listener is None)
            node.may_respond.set()
            await closing
            response = await client.receive()
            assert (response.request_id, response.attributes.size) == (1, 4)
            assert await client.reader.read() == b""

    async def test_close_aborts_the_current_command_after_the_grace_period(self) -> None:
        node = FakeSftpNode(never_responds=True)
        client = await self.start(node, command_timeout_s=5.0)
        client.writer.write(encode_packet(packets.Stat(1, "/plats/t1")))
        async with asyncio.timeout(3):
            await wait_until(lambda: bool(node.requests))
            await self.server.close(0.05)
            await wait_until(lambda: not self.server.sessions)
        assert not self.executor.pending

    async def test_client_beyond_the_session_limit_is_disconnected(self) -> None:
        await self.start()
        server = SftpServer(make_sftp_config(), self.executor, self.node_client, 0)
        await server.open()
        assert server.listener
        port = server.listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()
        await server.close()

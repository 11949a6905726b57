"""Tests of a client connection: malformed packets, unknown handles, disconnects and timeouts."""

from __future__ import annotations

import asyncio

from storage_gateway.sftp import packets
from storage_gateway.sftp.codec import encode_packet, pack_uint32
from storage_gateway.sftp.fields import OpenFlags, StatusCode
from tests.support.polling import wait_until
from tests.support.sftp import (
    NO_ATTRIBUTES,
    STORE_FLAGS,
    FakeSftpNode,
    SftpServerCase,
    assert_status,
)


class SessionTest(SftpServerCase):
    """One server with one or two clients."""

    async def test_invalid_packets_handles_and_commands_get_distinct_statuses(self) -> None:
        client = await self.start(FakeSftpNode())
        closed = await client.request(packets.Close(0, b"99"))
        assert_status(closed, StatusCode.FAILURE, "unknown handle")
        read = await client.request(packets.Read(0, b"99", 0, 1))
        assert_status(read, StatusCode.FAILURE, "unknown handle")
        both = packets.Open(0, "/plats/a", OpenFlags.READ | OpenFlags.WRITE, NO_ATTRIBUTES)
        assert_status(await client.request(both), StatusCode.OP_UNSUPPORTED, "not both")
        for number in range(4):
            await client.request(packets.Open(0, f"/plats/{number}", STORE_FLAGS, NO_ATTRIBUTES))
        fifth = await client.request(packets.Open(0, "/plats/a", STORE_FLAGS, NO_ATTRIBUTES))
        assert_status(fifth, StatusCode.FAILURE, "too many")
        extended = pack_uint32(9) + bytes([200]) + pack_uint32(77) + pack_uint32(0)  # SSH_FXP_EXTENDED
        client.writer.write(extended)
        response = await client.receive()
        assert (response.request_id, response.code) == (77, StatusCode.OP_UNSUPPORTED)
        beyond_packet = pack_uint32(9) + bytes([17]) + pack_uint32(78) + pack_uint32(500)
        client.writer.write(beyond_packet)  # the path is longer than the packet
        response = await client.receive()
        assert (response.request_id, response.code) == (78, StatusCode.BAD_MESSAGE)
        client.writer.write(pack_uint32(1 << 30))  # after an invalid length the next packet cannot be found
        assert await client.reader.read() == b""
        other = await self.connect()
        other.writer.write(encode_packet(packets.Stat(5, "/plats")))
        response = await other.receive()
        assert_status(response, StatusCode.BAD_MESSAGE, "INIT must be the first packet")
        assert await other.reader.read() == b""

    async def test_client_that_disconnects_cancels_its_command(self) -> None:
        node = FakeSftpNode(never_responds=True)
        client = await self.start(node)
        client.writer.write(encode_packet(packets.Stat(1, "/plats/t1")))
        async with asyncio.timeout(5):
            await wait_until(lambda: bool(node.requests))
            client.writer.close()
            await wait_until(
                lambda: not (node.open_connections or self.executor.pending or self.server.sessions)
            )

    async def test_no_command_of_a_client_that_left_is_executed_however_many_it_has_sent(self) -> None:
        """Guards against a close that is not noticed behind commands that wait to be read."""
        node = FakeSftpNode()
        node.may_respond.clear()
        client = await self.start(node)
        for request_id in range(1, 60):
            client.writer.write(encode_packet(packets.Stat(request_id, f"/plats/t{request_id}")))
        await client.writer.drain()
        async with asyncio.timeout(5):
            await wait_until(lambda: bool(node.requests))
            client.writer.close()
            await wait_until(lambda: not (self.executor.pending or self.server.sessions))
        node.may_respond.set()
        assert len(node.requests) == 1

    async def test_session_is_closed_after_the_idle_timeout(self) -> None:
        client = await self.start(idle_timeout_s=0.05)
        async with asyncio.timeout(5):
            assert await client.reader.read() == b""

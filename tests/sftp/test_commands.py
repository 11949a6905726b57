"""Tests of the packet exchange of each command, with scripted responses."""

from __future__ import annotations

import unittest
from unittest import mock

import pytest

from storage_gateway.errors import PacketError
from storage_gateway.sftp import packets
from storage_gateway.sftp.commands import Command, Extent, ListDirectory, ReadRange, Upload, run_command
from storage_gateway.sftp.fields import DirectoryEntry, StatusCode
from storage_gateway.sftp.node_connection import SftpConnection
from tests.support.sftp import NO_ATTRIBUTES, STORE_FLAGS

OK = packets.Status(0, StatusCode.OK)
END = packets.Status(0, StatusCode.EOF)
FAILURE = packets.Status(0, StatusCode.FAILURE, "disk full")
OPENED = packets.Handle(0, b"h")


class ScriptedConnection(SftpConnection):
    """A connection that records sent packets and returns scripted responses in order."""

    def __init__(self, *responses: packets.Packet) -> None:
        super().__init__(mock.Mock(), mock.Mock())
        self.sent: list[packets.Packet] = []
        self.responses = list(responses)

    async def send(self, packet: packets.Packet) -> None:
        """Record the packet."""
        self.last_request_id += 1
        self.sent.append(packet)

    async def receive(self, request_id: int) -> packets.Packet:
        """Return the next scripted response."""
        return self.responses.pop(0)


class RunCommandTest(unittest.IsolatedAsyncioTestCase):
    """The response that each command returns, and the packets that it sends."""

    async def run_with(
        self, command: Command, *responses: packets.Packet
    ) -> tuple[packets.Packet, list[packets.Packet]]:
        """Run a command against scripted responses, and check that every response was read."""
        connection = ScriptedConnection(*responses)
        response = await run_command(connection, command)
        assert connection.responses == []
        return response, connection.sent

    async def test_command_returns_the_status_of_a_failed_open(self) -> None:
        commands: tuple[Command, ...] = (
            ReadRange("/p", 0, 1),
            ListDirectory("/p"),
            Upload("/p", STORE_FLAGS, NO_ATTRIBUTES, []),
        )
        for command in commands:
            response, sent = await self.run_with(command, FAILURE)
            assert response is FAILURE
            assert len(sent) == 1

    async def test_read_closes_its_handle_and_returns_the_data_or_the_status(self) -> None:
        for result in (packets.Data(0, b"scan"), END):
            response, sent = await self.run_with(ReadRange("/p", 5, 4), OPENED, result, OK)
            assert response is result
            assert sent[1:] == [packets.Read(0, b"h", 5, 4), packets.Close(0, b"h")]

    async def test_read_rejects_an_unexpected_response(self) -> None:
        with pytest.raises(
            PacketError, match="expected DATA or STATUS in response to READ, got packet type 104"
        ):
            await self.run_with(ReadRange("/p", 0, 1), OPENED, packets.Name(0, []), OK)

    async def test_listing_is_read_to_its_end(self) -> None:
        entries = [DirectoryEntry(name, name, NO_ATTRIBUTES) for name in "abc"]
        for end in (END, packets.Name(0, [])):
            responses = (OPENED, packets.Name(0, entries[:2]), packets.Name(0, entries[2:]), end, OK)
            response, sent = await self.run_with(ListDirectory("/p"), *responses)
            assert response == packets.Name(0, entries)
            assert sent[-1] == packets.Close(0, b"h")

    async def test_listing_that_fails_midway_returns_the_failure(self) -> None:
        entry = DirectoryEntry("a", "a", NO_ATTRIBUTES)
        response, _ = await self.run_with(ListDirectory("/p"), OPENED, packets.Name(0, [entry]), FAILURE, OK)
        assert response is FAILURE

    async def test_listing_of_too_many_entries_is_rejected(self) -> None:
        entry = DirectoryEntry("a", "a", NO_ATTRIBUTES)
        limit = mock.patch("storage_gateway.sftp.commands.MAX_LISTING_ENTRIES", 1)
        with limit, pytest.raises(PacketError, match="directory listing has more than 1 entries"):
            await self.run_with(ListDirectory("/p"), OPENED, packets.Name(0, [entry, entry]))

    async def test_upload_is_sent_in_chunks_and_returns_the_status_of_close(self) -> None:
        extents = [Extent(10, bytes(40_000)), Extent(0, b"head")]
        command = Upload("/p", STORE_FLAGS, NO_ATTRIBUTES, extents)
        closed = packets.Status(0, StatusCode.OK, "stored")
        response, sent = await self.run_with(command, OPENED, OK, OK, OK, closed)
        assert response is closed
        assert sent[1:] == [
            packets.Write(0, b"h", 10, bytes(32_768)),
            packets.Write(0, b"h", 32_778, bytes(7_232)),
            packets.Write(0, b"h", 0, b"head"),
            packets.Close(0, b"h"),
        ]

    async def test_upload_returns_the_first_failure_status(self) -> None:
        extents = [Extent(0, b"a"), Extent(5, b"b"), Extent(9, b"c")]
        denied = packets.Status(0, StatusCode.PERMISSION_DENIED)
        command = Upload("/p", STORE_FLAGS, NO_ATTRIBUTES, extents)
        response, _ = await self.run_with(command, OPENED, OK, FAILURE, denied, OK)
        assert response is FAILURE

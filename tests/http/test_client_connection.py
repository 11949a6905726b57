"""Client connections: when the server closes them, and what a close must not interrupt."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

import pytest
from aiohttp import web

from storage_gateway.http import client_connection
from storage_gateway.http import server as server_module
from tests.support.http import HttpServerCase, encode_request
from tests.support.peers import make_response, never_respond, respond_at_once


class IncompleteRequestTest(HttpServerCase):
    """Requests that arrive late or never completely."""

    async def test_clients_without_a_complete_request_get_a_response_or_are_closed_in_time(self) -> None:
        await self.start_server(never_respond)
        empty = b""
        incomplete_head = encode_request("t")[:-2]
        endless_head = b"GET / HTTP/1.1\r\nX: " + bytes(100_000)
        incomplete_body = encode_request("t", "Content-Length: 9", method="PUT") + b"scan"
        oversized_body = encode_request("u", "Content-Length: 60000000", method="PUT")
        cases = [empty, incomplete_head, endless_head, incomplete_body, oversized_body]

        with (
            mock.patch.object(client_connection, "IDLE_TIMEOUT_S", 0.2),
            mock.patch.object(server_module, "BODY_TIMEOUT_S", 0.2),
        ):
            streams = [await self.open_stream(case) for case in cases]
            async with asyncio.timeout(2):
                received = [await reader.read() for reader, _ in streams]

        assert [response[9:12] for response in received] == [b"", b"", b"400", b"408", b"413"]
        for _, writer in streams:
            writer.close()

    async def test_idle_timeout_does_not_close_a_connection_with_an_incomplete_head(self) -> None:
        await self.start_server(respond_at_once)
        with mock.patch.object(client_connection, "IDLE_TIMEOUT_S", 0.2):
            reader, writer = await self.open_stream(encode_request("t")[:9])
            connection = await self.only_connection(lambda candidate: candidate.receiving_since)
            connection.receiving_since += 60  # as if it had just arrived, however slowly the event loop runs
            await asyncio.sleep(0.3)
            writer.write(encode_request("t")[9:])
            assert b" 200 " in await reader.readline()
        writer.close()

    async def test_idle_timeout_does_not_close_a_connection_with_an_unread_request(self) -> None:
        await self.start_server(respond_at_once)
        client = self.open_socket()
        client.sendall(encode_request("first"))
        await self.receive(client, b"tile")
        (connection,) = self.server.connections.open
        await self.wait_until(connection.is_waiting_for_request)

        client.sendall(encode_request("second"))
        connection._next_keepalive_close_time = self.executor.loop.time()
        connection._process_keepalive()

        assert (await self.receive(client, b"tile")).startswith(b"HTTP/1.1 200 ")


class LastResponseTest(HttpServerCase):
    """Connections that close after the response being written."""

    async def test_last_response_is_delivered_despite_a_request_that_crosses_the_close(self) -> None:
        await self.start_server(respond_at_once)
        self.server.is_closing = True
        client = self.open_socket()
        original_write_eof = web.Response.write_eof

        async def write_eof(response: web.Response, data: bytes = b"") -> None:
            await original_write_eof(response, data)
            client.sendall(encode_request("crossing"))  # unread when the server closes

        client.sendall(encode_request("t"))
        with mock.patch.object(web.Response, "write_eof", write_eof):
            received = await self.receive(client)

        assert received.startswith(b"HTTP/1.1 200 "), received
        assert received.endswith(b"tile"), received
        assert b"Connection: close" in received
        (connection,) = self.server.connections.open
        client.close()
        await self.wait_until(lambda: not self.server.connections.open)
        assert not connection.has_queued_requests(), "data received after the last response must be dropped"
        assert self.node.request_counts["crossing"] == 0

    async def test_client_that_keeps_sending_after_the_last_response_is_disconnected(self) -> None:
        await self.start_server(respond_at_once)
        self.server.is_closing = True
        client = self.open_socket()
        client.sendall(encode_request("t"))
        await self.receive(client)  # until the server shuts down its sending side
        client.setblocking(False)

        async def send_forever() -> None:
            async with asyncio.timeout(5):
                while True:
                    await asyncio.get_running_loop().sock_sendall(client, bytes(65536))

        with pytest.raises(ConnectionError):
            await send_forever()

    async def test_response_that_a_slow_client_is_still_reading_is_not_truncated(self) -> None:
        large = make_response(200, bytes(1_000_000))

        async def respond(trace_id: str) -> bytes:
            return large

        await self.start_server(respond)
        client = self.open_socket()
        await self.wait_until(lambda: self.server.connections.idle)
        (connection,) = self.server.connections.open
        connection.client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.sendall(encode_request("t"))
        transport = connection.graceful_transport
        assert transport is not None
        await self.wait_until(transport.get_write_buffer_size)
        assert connection in self.server.connections.idle  # handled, but its response is still being sent

        closing = asyncio.create_task(self.server.close())
        await asyncio.sleep(0)
        received = await self.receive(client)  # until the connection ends

        assert len(received.partition(b"\r\n\r\n")[2]) == 1000000
        client.close()
        await closing

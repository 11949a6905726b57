"""Shutdown of the server: each accepted request gets its response."""

from __future__ import annotations

import asyncio
from unittest import mock

from storage_gateway.lifecycle import ATTEMPT_MARGIN_S
from tests.support.http import HttpServerCase, encode_request
from tests.support.peers import never_respond, respond_at_once


class ShutdownTest(HttpServerCase):
    """Requests in progress, queued or arriving during the shutdown."""

    async def test_request_in_progress_gets_its_response_before_the_process_ends(self) -> None:
        await self.start_server(never_respond)
        self.server.config.client_timeouts_s[1] = 60.0  # far longer than the process may still run
        sending = asyncio.create_task(self.send_request("t", "PUT", b"scan", {"X-Expires-In-Ms": "60000"}))
        await self.wait_until(lambda: self.node.request_counts["t"])

        self.executor.begin_shutdown(0.2)

        async with asyncio.timeout(5):
            assert (await sending)[0] == 502  # the node may have executed it
        await self.wait_until(lambda: self.node.open_connections == 0 and not self.executor.pending)

    async def test_request_that_is_queued_at_shutdown_is_rejected_and_not_sent(self) -> None:
        await self.start_server(never_respond)
        self.server.config.client_timeouts_s[0] = 60.0
        with mock.patch.object(self.executor.policy, "step", return_value=[]):
            sending = asyncio.create_task(self.send_request("t", changes={"X-Expires-In-Ms": "60000"}))
            await self.wait_until(lambda: self.executor.pending)

            self.executor.begin_shutdown(0.1)

            async with asyncio.timeout(5):
                assert (await sending)[0] == 503
        assert self.node.accepted_connections == 0

    async def test_no_attempt_begins_after_the_response_deadline(self) -> None:
        await self.start_server(respond_at_once)

        with self.after_dial(lambda: self.executor.begin_shutdown(ATTEMPT_MARGIN_S / 2)):
            status, _ = await self.send_request("t")

        assert status in (502, 503)
        assert self.node.request_counts["t"] == 0

    async def test_request_in_the_backlog_of_the_closing_listener_is_served(self) -> None:
        await self.start_server(respond_at_once)
        client = self.open_socket()
        client.sendall(encode_request("t"))

        closing = asyncio.create_task(self.server.close())
        assert self.server.listener
        # Without its reader, the loop accepts no connection: close() must accept this one.
        self.server.listener.loop.remove_reader(self.server.listener.socket)

        assert (await self.receive(client)).startswith(b"HTTP/1.1 200 ")
        await closing

    async def test_request_that_is_partly_received_as_the_server_closes_is_served(self) -> None:
        await self.start_server(respond_at_once)
        client = self.open_socket()
        client.sendall(encode_request("t")[:40])
        await self.wait_until(
            lambda: any(connection.receiving_since for connection in self.server.connections.open)
        )

        closing = asyncio.create_task(self.server.close())
        await asyncio.sleep(0)
        client.sendall(encode_request("t")[40:])

        assert (await self.receive(client)).startswith(b"HTTP/1.1 200 ")
        await closing

    async def test_request_that_stays_incomplete_is_rejected_before_the_connection_closes(self) -> None:
        await self.start_server(respond_at_once)
        client = self.open_socket()
        client.sendall(encode_request("t")[:40])
        await self.only_connection(lambda connection: connection.receiving_since)

        closing = asyncio.create_task(self.server.close(self.executor.loop.time() + 0.05, linger_s=0.1))

        response = await self.receive(client)
        assert response.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in response
        async with asyncio.timeout(5):  # the client does not close: the connection is aborted
            await closing
        assert not self.server.connections.open

    async def test_requests_have_their_responses_even_if_the_server_was_held_up_past_the_end(self) -> None:
        # Guards against an end that closes connections whose requests have arrived and are not read yet.
        await self.start_server(respond_at_once)
        clients = [self.open_socket() for _ in range(3)]
        await self.wait_until(lambda: len(self.server.connections.open) == len(clients))
        for number, client in enumerate(clients):
            client.sendall(encode_request(f"t{number}"))

        await self.server.close(self.executor.loop.time() - 1.0, linger_s=0.0)

        for client in clients:
            assert (await self.receive(client)).startswith(b"HTTP/1.1 ")

    async def test_requests_at_a_node_that_hangs_have_their_responses_before_the_server_closes(self) -> None:
        await self.start_server(never_respond)
        clients = [self.open_socket() for _ in range(3)]
        for number, client in enumerate(clients):
            client.sendall(encode_request(f"t{number}"))
        await self.wait_until(lambda: len(self.node.request_counts) == len(clients))

        self.executor.begin_shutdown(0.1)
        await self.server.close(self.executor.loop.time() + 0.1, linger_s=0.05)

        for client in clients:
            assert (await self.receive(client)).startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 503 "))
        assert not self.server.connections.open

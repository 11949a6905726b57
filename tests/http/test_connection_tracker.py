"""Which client connections are evicted or closed at the connection limits."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from unittest import mock

from storage_gateway.http import client_connection, connection_tracker
from storage_gateway.http import server as server_module
from storage_gateway.http.client_connection import ClientConnection
from storage_gateway.http.response_codec import encode_incomplete_rejection
from tests.support.http import HttpServerCase, encode_request
from tests.support.peers import never_respond, respond_at_once

INCOMPLETE_HEAD = encode_request("stopped")[:-9]
INCOMPLETE_BODY = (
    encode_request("stopped", "Content-Length: 9", method="PUT", changes={"X-Qos": "record-write"}) + b"scan"
)


class ConnectionTrackerTest(HttpServerCase):
    """A server at its connection limits."""

    async def test_never_used_connections_are_evicted_for_clients_that_send_requests(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        tracker.max_connections = 3
        never_used = [await self.open_stream() for _ in range(3)]
        await self.wait_until(lambda: len(tracker.open) == 3)

        assert (await self.send_request("t"))[0] == 200
        assert await never_used[0][0].read() == b""  # the oldest was evicted

        more = [await self.open_stream() for _ in range(3)]  # the used idle connection of self.client stays
        assert await more[0][0].read() == b""
        assert (await self.send_request("u"))[0] == 200
        assert len(tracker.open) <= 3
        for _, writer in [*never_used, *more]:
            writer.close()

    async def test_beyond_the_idle_limit_each_connection_closes_after_its_response(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        tracker.max_idle_connections = 2
        streams = []
        for trace_id in "abc":
            streams.append(await self.open_stream(encode_request(trace_id)))
            assert b" 200 " in await streams[-1][0].readuntil(b"tile")

        assert await streams[2][0].read() == b""
        await self.wait_until(lambda: len(tracker.open) == 2)
        streams[0][1].write(encode_request("d"))
        assert b" 200 " in await streams[0][0].readuntil(b"tile")  # earlier connections are kept
        assert len(tracker.open) == 2
        for _, writer in streams:
            writer.close()

    async def test_connection_of_a_client_that_left_within_its_request_is_forgotten(self) -> None:
        """Guards against ended connections that count as idle, so that responses close theirs."""
        await self.start_server(never_respond)
        client = self.open_socket()
        client.sendall(encode_request("t"))
        await self.wait_until(lambda: self.node.request_counts["t"])
        client.close()
        await self.wait_until(lambda: not self.executor.pending)
        tracker = self.server.connections
        assert not tracker.open
        assert not tracker.idle

    async def test_flood_evicts_no_connection_whose_request_may_be_in_transit(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        tracker.max_connections = 2
        self.enterContext(mock.patch.object(client_connection, "STALL_TIMEOUT_S", 60))
        self.enterContext(mock.patch.object(client_connection, "SLOW_REQUEST_TIMEOUT_S", 60))
        with mock.patch.object(connection_tracker, "MIN_EVICTION_AGE_S", 60):
            young = [await self.open_stream() for _ in range(2)]
            await self.wait_until(lambda: len(tracker.open) == 2)
            waiting_reader, waiting_writer = await self.open_stream(encode_request("t"))
            await self.wait_until(lambda: self.server.listener and self.server.listener.resume_timer)
        for connection in tracker.never_used:
            connection.accepted_at = 0.0

        young[0][1].write(encode_request("y0"))
        young[1][1].write(encode_request("y1")[:9])

        assert b" 200 " in await waiting_reader.readline()  # in place of the one whose response was sent
        assert b" 200 " in await young[0][0].readline()
        young[1][1].write(encode_request("y1")[9:])
        assert b" 200 " in await young[1][0].readline()
        for writer in (young[0][1], young[1][1], waiting_writer):
            writer.close()


class IncompleteRequestAtTheLimitTest(HttpServerCase):
    """A server whose connections are all held by clients that have sent part of a request.

    The timeouts that apply below the limit are too long to end such a connection within a test.
    """

    async def start_full_server(self, *parts: bytes) -> list[socket.socket]:
        """Start a server with as many connections as it may have, on each of which such a part was sent."""
        self.enterContext(mock.patch.object(client_connection, "IDLE_TIMEOUT_S", 60))
        self.enterContext(mock.patch.object(server_module, "BODY_TIMEOUT_S", 60))
        await self.start_server(respond_at_once)
        self.server.connections.max_connections = len(parts)
        clients = []
        for part in parts:
            clients.append(self.open_socket())
            clients[-1].sendall(part)
            await self.wait_until(lambda: len(self.server.connections.open) == len(clients))
        partly_sent = sum(bool(part) for part in parts)
        await self.wait_until(lambda: len(self.server.connections.receiving) == partly_sent)
        return clients

    def set_stall_timeouts(self, stall_s: float, slow_request_s: float) -> None:
        """Replace the timeouts of an incomplete request at the limit."""
        self.enterContext(mock.patch.object(client_connection, "STALL_TIMEOUT_S", stall_s))
        self.enterContext(mock.patch.object(client_connection, "SLOW_REQUEST_TIMEOUT_S", slow_request_s))

    async def test_clients_that_stop_within_a_head_do_not_keep_others_waiting(self) -> None:
        """Guards against new connections that stay unread while stopped clients hold all connections."""
        await self.start_full_server(*[INCOMPLETE_HEAD] * 3)
        async with asyncio.timeout(5):
            for trace_id in "abcd":
                assert (await self.send_request(trace_id))[0] == 200

    async def test_clients_that_stop_within_a_body_do_not_keep_others_waiting(self) -> None:
        """Guards against the same wait where the clients stop at a later stage of their requests."""
        await self.start_full_server(*[INCOMPLETE_BODY] * 3)
        async with asyncio.timeout(5):
            for trace_id in "abcd":
                assert (await self.send_request(trace_id))[0] == 200

    async def test_clients_that_send_byte_by_byte_do_not_keep_others_waiting(self) -> None:
        """Guards against the same wait where every connection makes progress, but no request."""
        self.set_stall_timeouts(stall_s=60, slow_request_s=0.1)
        clients = await self.start_full_server(INCOMPLETE_HEAD, INCOMPLETE_BODY)
        waiting = asyncio.create_task(self.send_request("t"))
        async with asyncio.timeout(5):
            while not waiting.done():
                for client in clients:
                    with contextlib.suppress(OSError):  # the one that has been closed
                        client.send(b"x")
                await asyncio.sleep(0.01)
        assert (await waiting)[0] == 200

    async def test_stopped_client_is_told_that_its_request_was_not_executed(self) -> None:
        stopped, _ = await self.start_full_server(INCOMPLETE_HEAD, INCOMPLETE_BODY)
        assert (await self.send_request("t"))[0] == 200
        response = await self.receive(stopped)  # until the connection ends
        assert response.startswith(b"HTTP/1.1 503 Service Unavailable\r\n")
        assert response == encode_incomplete_rejection(0.0)
        assert self.server.connections.status_fields()["incomplete_rejected"] == 1
        assert len(self.server.connections.receiving) == 1
        assert self.node.request_counts["stopped"] == 0

    async def test_request_that_is_still_arriving_is_not_rejected(self) -> None:
        self.set_stall_timeouts(stall_s=60, slow_request_s=60)
        head, body = await self.start_full_server(INCOMPLETE_HEAD, INCOMPLETE_BODY)
        waiting = self.open_socket()
        waiting.sendall(encode_request("waiting"))
        await self.wait_until(lambda: self.server.listener and self.server.listener.resume_timer)
        head.sendall(encode_request("stopped")[-9:])
        assert (await self.receive(head, b"tile")).startswith(b"HTTP/1.1 200 ")
        assert (await self.receive(waiting, b"tile")).startswith(b"HTTP/1.1 200 "), "head is idle now"
        body.sendall(b"rest!")
        assert (await self.receive(body, b"in progress")).startswith(b"HTTP/1.1 400 "), (
            "its trace id is that of the other"
        )

    async def test_bytes_that_the_event_loop_has_not_read_count_as_progress(self) -> None:
        (client,) = await self.start_full_server(INCOMPLETE_HEAD)
        (connection,) = self.server.connections.receiving
        self.set_stall_timeouts(stall_s=0, slow_request_s=0)
        assert connection.is_stalled()
        client.sendall(encode_request("stopped")[-9:])
        assert not connection.is_stalled()
        assert not self.server.connections.ensure_capacity()
        assert (await self.receive(client, b"tile")).startswith(b"HTTP/1.1 200 ")

    async def test_request_that_the_event_loop_has_read_but_not_handled_is_not_stalled(self) -> None:
        """Guards against rejecting a complete request because the gateway itself was held up."""
        head, body = await self.start_full_server(INCOMPLETE_HEAD, INCOMPLETE_BODY)
        self.set_stall_timeouts(stall_s=0, slow_request_s=0)
        stalled_after_reading: list[bool] = []
        data_received = ClientConnection.data_received

        def read_and_check(connection: ClientConnection, data: bytes) -> None:
            data_received(connection, data)  # the task that handles the request runs in a later iteration
            stalled_after_reading.append(connection.is_stalled())

        with mock.patch.object(ClientConnection, "data_received", read_and_check):
            for client, rest in ((body, b"rest!"), (head, encode_request("stopped")[-9:])):
                client.sendall(rest)
                await self.receive(client, b"HTTP/1.1 ")
        assert set(stalled_after_reading) == {False}

    async def test_request_in_progress_is_not_rejected_however_long_it_takes(self) -> None:
        self.set_stall_timeouts(stall_s=0, slow_request_s=0)
        await self.start_server(never_respond)
        self.server.connections.max_connections = 1
        client = self.open_socket()
        client.sendall(encode_request("t"))
        await self.wait_until(lambda: self.node.request_counts["t"])
        assert not self.server.connections.ensure_capacity()
        assert not self.server.connections.receiving

    async def test_unused_connection_is_evicted_unless_a_stalled_one_was_silent_for_longer(self) -> None:
        await self.start_full_server(INCOMPLETE_HEAD, b"")
        tracker = self.server.connections
        (receiving,) = tracker.receiving
        (unused,) = tracker.never_used
        self.set_stall_timeouts(stall_s=0, slow_request_s=60)
        for last_received_at, expected in ((unused.accepted_at - 1, receiving), (unused.accepted_at, unused)):
            receiving.last_received_at = last_received_at
            with (
                mock.patch.object(ClientConnection, "evict", autospec=True) as evict,
                mock.patch.object(connection_tracker, "MIN_EVICTION_AGE_S", 0),
            ):
                assert tracker.ensure_capacity()
            evict.assert_called_once_with(expected)

    async def test_connection_that_is_closed_within_a_body_is_forgotten(self) -> None:
        """Guards against ended connections that count as idle and are looked through at each accept."""
        await self.start_full_server(*[INCOMPLETE_BODY] * 3)
        for trace_id in "abcd":
            assert (await self.send_request(trace_id))[0] == 200
        tracker = self.server.connections
        await self.wait_until(lambda: {*tracker.idle, *tracker.receiving} <= tracker.open)

    async def test_retry_hint_is_given_where_clients_follow_it(self) -> None:
        assert b"\r\nRetry-After: 0.500\r\n" in encode_incomplete_rejection(0.5)
        assert b"Retry-After" not in encode_incomplete_rejection(0.0)

"""Clients that disconnect before their response: no attempt begins for them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any
from unittest import mock

from storage_gateway import policy_api as api
from storage_gateway.sockets import is_readable, peer_has_closed
from tests.support.http import HttpServerCase, encode_request
from tests.support.peers import make_response, respond_at_once


def reset_connection(client: socket.socket) -> None:
    """Close the socket so that the kernel sends a reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


class DisconnectBeforeAttemptTest(HttpServerCase):
    """The client disconnects between the decision to send an attempt and its first byte."""

    async def disconnect_after_dial(self, disconnect: Callable[[socket.socket], Any]) -> None:
        await self.start_server(respond_at_once)
        client = self.open_socket()
        with self.after_dial(lambda: disconnect(client)):
            client.sendall(encode_request("t"))
            await self.wait_until(lambda: self.node_client.dials and not self.executor.pending)
        assert self.node.request_counts["t"] == 0

    async def test_no_attempt_begins_after_the_client_closes_its_connection(self) -> None:
        await self.disconnect_after_dial(socket.socket.close)

    async def test_no_attempt_begins_after_the_client_resets_its_connection(self) -> None:
        await self.disconnect_after_dial(reset_connection)

    async def test_no_attempt_begins_after_the_client_shuts_down_its_sending_side(self) -> None:
        await self.disconnect_after_dial(lambda client: client.shutdown(socket.SHUT_WR))

    async def test_no_attempt_begins_after_a_close_that_much_unread_data_hides(self) -> None:
        """Guards against a close that the kernel reports only once all data before it has been read."""

        def send_much_and_close(client: socket.socket) -> None:
            client.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    client.send(bytes(1 << 20))
            client.close()

        await self.disconnect_after_dial(send_much_and_close)

    async def test_no_retry_begins_after_the_client_closes_its_connection(self) -> None:
        async def respond(trace_id: str) -> bytes:
            client.close()
            return make_response(503, b"", "X-Never-Ran: 1", "Connection: close")

        await self.start_server(respond)
        client = self.open_socket()
        with mock.patch.object(self.executor.policy.health, "update"):  # so that the retry is due at once
            client.sendall(encode_request("t"))
            await self.wait_until(lambda: self.node.request_counts["t"] and not self.executor.pending)
        assert self.node.request_counts["t"] == 1


class ReturningTraceIdTest(HttpServerCase):
    """Guards against a request that runs twice: its id comes again after its client has left."""

    async def run_and_leave(self, leave: Callable[[socket.socket], Any]) -> None:
        """Have a client leave while a node executes its request."""
        executing = asyncio.Event()

        async def respond(trace_id: str) -> bytes:
            executing.set()
            await asyncio.Event().wait()
            raise AssertionError("nothing sets the event")

        await self.start_server(respond)
        client = self.open_socket()
        client.sendall(encode_request("t", method="PUT", changes={"X-Qos": "record-write"}))
        async with asyncio.timeout(5):
            await executing.wait()
        leave(client)
        await self.wait_until(lambda: not self.executor.pending)

    async def test_id_is_rejected_however_long_its_client_has_left(self) -> None:
        for leave in (socket.socket.close, reset_connection):
            await self.run_and_leave(leave)
            for seconds in (0.0, 3.0, 30.0):
                self.advance_clock(seconds)
                status, _ = await self.send_request("t", "PUT")
                assert (status, self.node.request_counts["t"]) == (400, 1), seconds
            await self.stop_server()

    async def test_id_is_rejected_after_its_request_was_served(self) -> None:
        await self.start_server(respond_at_once)
        assert (await self.send_request("t", "PUT"))[0] == 200
        self.advance_clock(30.0)
        assert (await self.send_request("t", "PUT"))[0] == 400
        assert self.node.request_counts["t"] == 1


class DisconnectWhileQueuedTest(HttpServerCase):
    """The client disconnects while the policy queues its request."""

    async def test_client_that_disconnects_while_its_request_is_queued_cancels_it(self) -> None:
        await self.start_server(respond_at_once)
        self.server.config.client_timeouts_s[0] = 60.0
        client = self.open_socket()
        events: list[api.Event] = []

        def step(now: float, new_events: list[api.Event]) -> list[api.Action]:
            events.extend(new_events)
            return []

        with mock.patch.object(self.executor.policy, "step", step):
            client.sendall(encode_request("t", changes={"X-Expires-In-Ms": "60000"}))
            await self.wait_until(lambda: self.executor.pending)
            client.close()
            await self.wait_until(lambda: any(isinstance(event, api.ClientCancelled) for event in events))
        assert self.executor.pending == {}
        assert self.node.accepted_connections == 0

    async def test_disconnect_in_the_loop_iteration_of_the_send_action_frees_the_slot(self) -> None:
        await self.start_server(respond_at_once)
        arrival = api.RequestArrived("t", 0, 0, 1, 1, 0, 1.0, self.executor.now() + 60, 1)
        executing = asyncio.create_task(self.executor.execute(arrival, mock.AsyncMock()))
        original_step = self.executor.step
        cancelled: list[bool] = []

        def step() -> None:
            original_step()
            if "t" in self.executor.pending and not self.executor.pending["t"].actions.empty():
                cancelled.append(executing.cancel())

        with mock.patch.object(self.executor, "step", step):
            await self.wait_until(
                lambda: (
                    cancelled and not self.executor.pending and not self.executor.policy.state.requests.by_id
                )
            )
        assert cancelled == [True]
        assert sum(node.in_flight_count for node in self.executor.policy.state.nodes.by_id.values()) == 0


class PeerHasClosedTest(HttpServerCase):
    """``peer_has_closed`` on a socket with unread data."""

    async def test_unread_data_alone_is_no_close_but_a_close_after_it_is_detected(self) -> None:
        local_socket, peer_socket = socket.socketpair(socket.AF_UNIX)
        local_socket.setblocking(False)
        self.addCleanup(local_socket.close)
        assert not peer_has_closed(local_socket)
        peer_socket.sendall(b"more")
        assert not peer_has_closed(local_socket)
        peer_socket.close()
        assert peer_has_closed(local_socket)

    async def test_socket_that_this_side_has_closed_counts_as_closed(self) -> None:
        local_socket, peer_socket = socket.socketpair(socket.AF_UNIX)
        self.addCleanup(peer_socket.close)
        local_socket.close()
        assert peer_has_closed(local_socket)


class ReadableSocketTest(HttpServerCase):
    """``is_readable`` on the socket of a client whose request is in progress."""

    async def test_data_and_a_close_are_each_detected_without_reading_them(self) -> None:
        local_socket, peer_socket = socket.socketpair(socket.AF_UNIX)
        local_socket.setblocking(False)
        self.addCleanup(local_socket.close)
        assert not is_readable(local_socket.fileno())
        peer_socket.sendall(b"more")
        assert is_readable(local_socket.fileno())
        assert local_socket.recv(64) == b"more"
        assert not is_readable(local_socket.fileno())
        peer_socket.close()
        assert is_readable(local_socket.fileno())

    async def test_reset_is_detected(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        assert not is_readable(accepted.fileno())
        reset_connection(client)
        await self.wait_until(lambda: is_readable(accepted.fileno()))

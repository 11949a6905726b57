"""The listener: connections that wait for capacity, and the time for which they waited."""

from __future__ import annotations

import asyncio
import re
import socket
import unittest
from unittest import mock

from storage_gateway.http import listener as listener_module
from storage_gateway.http.listener import Listener
from storage_gateway.sockets import unread_data_age_s
from tests.support.http import HttpServerCase, encode_request
from tests.support.peers import make_response
from tests.support.polling import wait_until


class WaitingTimeTest(unittest.IsolatedAsyncioTestCase):
    """The waiting time that the listener reports for each connection."""

    async def asyncSetUp(self) -> None:
        self.has_capacity = False
        self.waiting_times_s = asyncio.Queue[float]()
        self.loop = asyncio.get_running_loop()
        self.listener = Listener("127.0.0.1", 0, lambda: self.has_capacity, self.make_protocol)
        self.addCleanup(self.listener.close)
        self.enterContext(mock.patch.object(listener_module, "unread_data_age_s", return_value=100.0))

    def make_protocol(self, client: socket.socket, waited_s: float) -> asyncio.Protocol:
        self.waiting_times_s.put_nowait(waited_s)
        return asyncio.Protocol()

    async def next_waiting_time(self) -> float:
        async with asyncio.timeout(5):
            return await self.waiting_times_s.get()

    def connect(self) -> None:
        self.addCleanup(socket.create_connection(self.listener.socket.getsockname()).close)

    async def test_connection_that_is_accepted_at_once_has_not_waited(self) -> None:
        self.has_capacity = True
        self.connect()
        assert await self.next_waiting_time() == 0.0

    async def test_waiting_time_is_at_most_that_for_which_accepting_was_held_back(self) -> None:
        started_at = self.loop.time()
        self.connect()
        async with asyncio.timeout(5):
            await wait_until(lambda: self.listener.resume_timer is not None)
        self.has_capacity = True
        waited_s = await self.next_waiting_time()
        assert 0.0 < waited_s <= self.loop.time() - started_at
        self.connect()
        assert await self.next_waiting_time() == 0.0, "the backlog was empty in between"


class UnreadDataAgeTest(unittest.IsolatedAsyncioTestCase):
    """What the kernel reports of a socket's unread data."""

    async def test_age_counts_from_the_arrival_of_unread_data(self) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        client = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
        for opened in (server, client, accepted):
            self.addCleanup(opened.close)
        assert unread_data_age_s(accepted) == 0.0
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        client.sendall(b"request")
        async with asyncio.timeout(5):
            await wait_until(lambda: unread_data_age_s(accepted) >= 0.02)
        assert loop.time() - started_at >= 0.01, "an age of 20 ms, in the kernel's resolution of up to 10 ms"
        assert accepted.recv(64) == b"request"
        assert unread_data_age_s(accepted) == 0.0

    async def test_age_is_unknown_where_the_kernel_does_not_say(self) -> None:
        left, right = socket.socketpair()
        right.sendall(b"request")
        assert unread_data_age_s(left) == 0.0
        left.close()
        right.close()


class BacklogTest(HttpServerCase):
    """Requests that have waited in the backlog for a connection to become free."""

    async def forwarded_timeout_ms(self, unread_age_s: float, timeout_ms: int) -> int | None:
        """Return the timeout that the node receives for a request that waited; None if it gets none."""
        release = asyncio.Event()

        async def respond(trace_id: str) -> bytes:
            if trace_id == "holds":
                await release.wait()
            return make_response()

        await self.start_server(respond)
        self.server.connections.max_connections = 1
        holder = self.open_socket()
        holder.sendall(encode_request("holds"))
        await self.wait_until(lambda: self.node.request_counts["holds"])
        waiting = self.open_socket()
        waiting.sendall(encode_request("waits", changes={"X-Expires-In-Ms": str(timeout_ms)}))
        await self.wait_until(lambda: self.server.listener and self.server.listener.resume_timer)
        assert self.server.listener
        self.server.listener.waiting_since = self.executor.loop.time() - 60
        with mock.patch.object(listener_module, "unread_data_age_s", return_value=unread_age_s):
            release.set()
            self.response = await self.receive(waiting, b"\r\n\r\n")
        timeouts = [re.search(r"X-Expires-In-Ms: (\d+)", head) for head in self.node.heads if "waits" in head]
        return int(timeouts[0][1]) if timeouts and timeouts[0] else None

    async def test_time_in_the_backlog_counts_against_the_timeout_of_the_client(self) -> None:
        """Guards against execution for clients that have left, after they waited for a free connection."""
        forwarded_ms = await self.forwarded_timeout_ms(unread_age_s=1.0, timeout_ms=1500)
        assert self.response.startswith(b"HTTP/1.1 200 ")
        assert forwarded_ms is not None
        assert 0 < forwarded_ms <= 500

    async def test_request_whose_time_is_over_in_the_backlog_is_rejected_unsent(self) -> None:
        assert await self.forwarded_timeout_ms(unread_age_s=2.0, timeout_ms=1500) is None
        assert self.response.startswith(b"HTTP/1.1 503 ")

    async def test_only_the_first_request_of_a_connection_has_waited(self) -> None:
        await self.forwarded_timeout_ms(unread_age_s=1.0, timeout_ms=1500)
        (connection,) = self.server.connections.open
        assert connection.waiting_time_s() == 0.0

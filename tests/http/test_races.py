"""Crossings on loopback sockets: what comes between two lines of a front; each is forced."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any
from unittest import mock

import pytest
from aiohttp import web

from storage_gateway import policy_api as api
from storage_gateway.http.sockets import peer_has_closed
from storage_gateway.lifecycle import ATTEMPT_MARGIN_S, AttemptResult
from tests.support.http import HttpServerCase
from tests.support.peers import make_response

FIELDS = {
    "Host": "h",
    "X-Qos": "tile-read",
    "X-Plan": "public",
    "X-Expires-In-Ms": "1500",
    "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
}


def request(trace: str, **fields: str) -> bytes:
    """A read as its client writes it."""
    every = {**FIELDS, "X-Trace-Id": trace, **{name.replace("_", "-"): text for name, text in fields.items()}}
    lines = ["GET /api?block=7f3a9c21e0b4d655 HTTP/1.1", *(f"{name}: {text}" for name, text in every.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


async def silent(trace: str) -> bytes:
    await asyncio.Event().wait()
    raise AssertionError


async def prompt(trace: str) -> bytes:
    return make_response()


class CrossingCase(HttpServerCase):
    def connect(self) -> socket.socket:
        """A client's socket without the loop: what it sends or ends is in the kernel at once."""
        client = socket.create_connection(("127.0.0.1", self.front.address.port))
        self.addCleanup(client.close)
        return client

    async def received(self, client: socket.socket, enough: bytes | None = None) -> bytes:
        """All that comes, up to the end or to ``enough``; a reset raises."""
        client.setblocking(False)
        found, loop = b"", asyncio.get_running_loop()
        async with asyncio.timeout(5):
            while part := await loop.sock_recv(client, 65536):
                found += part
                if enough and enough in found:
                    break
        return found

    def after_dial(self, then: Any) -> Any:
        """What happens once a connection to a box is up, before another line of the front runs."""
        real = self.boxes.dial

        async def dial(pool: Any) -> Any:
            connection = await real(pool)
            then()
            return connection

        return mock.patch.object(self.boxes, "dial", dial)


class Draining(CrossingCase):
    async def test_what_was_taken_before_has_its_answer_before_the_process_ends(self) -> None:
        await self.begin(silent)
        self.front.config.client_timeouts_s[1] = 60.0  # its client waits far longer than the process may live
        asking = asyncio.create_task(self.ask("t", "PUT", b"scan", X_Expires_In_Ms="60000"))
        await self.until(lambda: self.box.counts["t"])
        self.executor.begin_shutdown(0.2)
        async with asyncio.timeout(5):
            assert (await asking)[0] == 502  # it may have run
        await self.until(lambda: self.box.open == 0 and not self.executor.pending)

    async def test_what_is_held_as_the_process_ends_is_refused_and_not_sent(self) -> None:
        await self.begin(silent)
        self.front.config.client_timeouts_s[0] = 60.0
        with mock.patch.object(self.executor.policy, "step", lambda now, events: []):
            asking = asyncio.create_task(self.ask("t", X_Expires_In_Ms="60000"))
            await self.until(lambda: self.executor.pending)
            self.executor.begin_shutdown(0.1)
            async with asyncio.timeout(5):
                assert (await asking)[0] == 503
        assert self.box.accepted == 0

    async def test_no_attempt_begins_past_the_last_answer(self) -> None:
        await self.begin(prompt)
        with self.after_dial(lambda: self.executor.begin_shutdown(ATTEMPT_MARGIN_S / 2)):
            status, _ = await self.ask("t")
        assert status in (502, 503)
        assert self.box.counts["t"] == 0

    async def test_the_last_answer_outlives_a_request_that_comes_as_its_connection_ends(self) -> None:
        await self.begin(prompt)
        self.front.is_closing = True
        client = self.connect()
        real = web.Response.write_eof

        async def write_eof(response: web.Response, data: bytes = b"") -> None:
            await real(response, data)
            client.sendall(request("crossing"))  # unread as the front closes

        client.sendall(request("t"))
        with mock.patch.object(web.Response, "write_eof", write_eof):
            found = await self.received(client)
        assert found.startswith(b"HTTP/1.1 200 ") and found.endswith(b"tile"), found
        assert b"Connection: close" in found
        (one,) = self.front.connections.open
        client.close()
        await self.until(lambda: not self.front.connections.open)
        assert not one._messages, "what is read after the last answer is dropped"
        assert self.box.counts["crossing"] == 0

    async def test_a_client_that_sends_on_for_ever_is_cut_off_in_the_end(self) -> None:
        await self.begin(prompt)
        self.front.is_closing = True
        client = self.connect()
        client.sendall(request("t"))
        await self.received(client)  # up to the end of the front's sending
        client.setblocking(False)
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(5):
                while True:
                    await asyncio.get_running_loop().sock_sendall(client, bytes(65536))

    async def test_a_request_in_the_backlog_of_the_closing_listener_is_answered(self) -> None:
        await self.begin(prompt)
        client = self.connect()
        client.sendall(request("t"))
        closing = asyncio.create_task(self.front.close())  # its first step comes before the next accept
        assert self.front.listener
        self.front.listener.loop.remove_reader(self.front.listener.socket)
        assert (await self.received(client)).startswith(b"HTTP/1.1 200 ")
        await closing

    async def test_a_request_that_has_half_come_as_the_front_closes_is_answered(self) -> None:
        await self.begin(prompt)
        client = self.connect()
        client.sendall(request("t")[:40])
        await self.until(lambda: any(one.head_started_at for one in self.front.connections.open))
        closing = asyncio.create_task(self.front.close())
        await asyncio.sleep(0)
        client.sendall(request("t")[40:])
        assert (await self.received(client)).startswith(b"HTTP/1.1 200 ")
        await closing

    async def test_an_answer_that_a_slow_client_is_still_reading_is_not_cut(self) -> None:
        large = make_response(200, bytes(1_000_000))

        async def script(trace: str) -> bytes:
            return large

        await self.begin(script)
        client = self.connect()
        await self.until(lambda: self.front.connections.idle)
        (one,) = self.front.connections.open
        one.connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.sendall(request("t"))
        await self.until(lambda: one.graceful_transport and one.graceful_transport.get_write_buffer_size())
        assert one in self.front.connections.idle  # its request is over, its answer is not
        closing = asyncio.create_task(self.front.close())
        await asyncio.sleep(0)
        found = await self.received(client)  # up to the end of the connection
        assert len(found.partition(b"\r\n\r\n")[2]) == 1000000
        client.close()
        await closing

    async def test_a_request_that_has_come_unread_is_not_closed_over_at_the_idle_limit(self) -> None:
        await self.begin(prompt)
        client = self.connect()
        client.sendall(request("first"))
        await self.received(client, b"tile")
        (one,) = self.front.connections.open
        await self.until(one.is_waiting_for_request)
        client.sendall(request("second"))
        one._next_keepalive_close_time = self.executor.loop.time()
        one._process_keepalive()
        assert (await self.received(client, b"tile")).startswith(b"HTTP/1.1 200 ")


class ClientGone(CrossingCase):
    async def leave_after_dial(self, leave: Any) -> None:
        await self.begin(prompt)
        client = self.connect()
        with self.after_dial(lambda: leave(client)):
            client.sendall(request("t"))
            await self.until(lambda: self.boxes.dials and not self.executor.pending)
        assert self.box.counts["t"] == 0

    async def test_an_attempt_does_not_begin_for_a_client_that_has_just_closed(self) -> None:
        await self.leave_after_dial(socket.socket.close)

    async def test_nor_for_one_that_has_just_reset_its_connection(self) -> None:
        await self.leave_after_dial(reset)

    async def test_nor_for_one_that_has_just_ended_its_sending(self) -> None:
        await self.leave_after_dial(lambda client: client.shutdown(socket.SHUT_WR))

    async def test_nor_a_further_attempt(self) -> None:
        async def script(trace: str) -> bytes:
            client.close()
            return make_response(503, b"", "X-Never-Ran: 1", "Connection: close")

        await self.begin(script)
        client = self.connect()
        with mock.patch.object(self.executor.policy, "judge_node"):  # the next attempt is due at once
            client.sendall(request("t"))
            await self.until(lambda: self.box.counts["t"] and not self.executor.pending)
        assert self.box.counts["t"] == 1

    async def test_a_client_that_leaves_while_its_request_is_held_is_withdrawn_at_once(self) -> None:
        await self.begin(prompt)
        self.front.config.client_timeouts_s[0] = 60.0
        client = self.connect()
        told: list[api.Event] = []
        with mock.patch.object(self.executor.policy, "step", lambda now, events: told.extend(events) or []):
            client.sendall(request("t", X_Expires_In_Ms="60000"))
            await self.until(lambda: self.executor.pending)
            client.close()
            await self.until(lambda: any(isinstance(event, api.ClientCancelled) for event in told))
        assert (self.executor.pending, self.box.accepted) == ({}, 0)

    async def test_bytes_behind_a_request_are_no_end_but_an_end_behind_them_is_seen(self) -> None:
        ours, theirs = socket.socketpair(socket.AF_UNIX)
        ours.setblocking(False)
        self.addCleanup(ours.close)
        assert not peer_has_closed(ours)
        theirs.sendall(b"more")
        assert not peer_has_closed(ours)
        theirs.close()
        assert peer_has_closed(ours)


class Attempts(CrossingCase):
    async def test_an_attempt_tells_its_box_what_is_left_after_the_connection_came_up_late(self) -> None:
        await self.begin(prompt)
        with self.after_dial(
            lambda: setattr(self.executor, "clock_offset_s", self.executor.clock_offset_s + 1.0)
        ):
            await self.ask("t")
        (head,) = self.box.heads
        told = int(head.split("X-Expires-In-Ms: ")[1].split("\r\n")[0])
        assert told < 500

    async def test_an_attempt_does_not_begin_past_its_client_s_time(self) -> None:
        await self.begin(prompt)
        with self.after_dial(
            lambda: setattr(self.executor, "clock_offset_s", self.executor.clock_offset_s + 2.0)
        ):
            status, _ = await self.ask("t")
        assert status != 200
        assert self.box.counts["t"] == 0

    async def test_a_keyed_request_is_not_repeated_once_nobody_remembers_it(self) -> None:
        """Its second attempt is decided inside the window, but its connection comes up past it."""

        async def script(trace: str) -> bytes | None:
            return None  # it may have run

        await self.begin(script)
        kind = self.executor.policy.settings.classes[0]
        kind.repeatability, kind.idempotency_window_s = api.Repeatability.IDEMPOTENT_WITH_KEY, 0.5
        dials = []

        def late() -> None:
            dials.append(self.executor.now())
            if len(dials) == 2:
                self.executor.clock_offset_s += 0.6

        with self.after_dial(late):
            status, _ = await self.ask("t")
        assert status != 200
        assert (self.box.counts["t"], len(dials)) == (1, 2)

    async def test_a_connection_that_was_not_needed_in_the_end_is_kept(self) -> None:
        await self.begin(prompt)
        found = await self.boxes.attempt(1, mock.Mock(), lambda: 0.0)
        assert found == AttemptResult(api.AttemptOutcome.NOT_SENT)
        assert (self.boxes.open_connections, len(self.boxes.pools[1].idle)) == (1, 1)

    async def test_a_call_off_that_meets_the_attempt_s_own_timer_harms_no_other_request(self) -> None:
        await self.begin(prompt)
        arrival = api.RequestArrived("t", 0, 0, 1, 1, 0, 1.0, self.executor.now() + 60, 1)
        other: asyncio.Queue[Any] = asyncio.Queue()

        async def attempt(node: int) -> AttemptResult[bytes]:
            call = self.executor.pending["t"]
            assert call.attempt_timer
            call.attempt_timer.reschedule(0.0)  # it fires; the policy speaks before this task hears of it
            asyncio.get_running_loop().call_soon(self.executor.step)
            await asyncio.sleep(60)
            raise AssertionError

        def step(now: float, events: list[api.Event]) -> list[api.Action]:
            if not events:
                return [api.CancelAttempt("t", 0), api.RejectRequest("other")]
            if isinstance(events[0], api.AttemptEnded):
                return [api.FailRequest("t")]
            return [api.SendAttempt("t", 1)]

        self.executor.pending["other"] = mock.Mock(actions=other)
        with mock.patch.object(self.executor.policy, "step", step):
            async with asyncio.timeout(5):
                await self.executor.execute(arrival, attempt)
                assert await other.get() == api.RejectRequest("other")
        del self.executor.pending["other"]

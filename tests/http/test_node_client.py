"""Attempts over HTTP: what each ending proves, and which connection is used again."""

from __future__ import annotations

from typing import Any
from unittest import mock

from storage_gateway.http import node_connection, pool
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.policy_api import AttemptOutcome, EndpointState
from tests.support.http import HttpServerCase, make_client_request
from tests.support.peers import apply_endpoints, make_endpoint, make_response


class BoxStories(HttpServerCase):
    async def test_a_box_that_drains_while_the_connection_comes_up_is_sent_nothing(self) -> None:
        async def script(trace: str) -> bytes:
            return make_response()

        await self.begin(script)
        real = self.boxes.dial

        async def late(pool_: Any) -> Any:
            connection = await real(pool_)
            apply_endpoints(self.registry, make_endpoint("s-a", self.box.port, EndpointState.DRAINING))
            return connection

        with mock.patch.object(self.boxes, "dial", late):
            outcome = (await self.boxes.attempt(1, make_client_request("t"), lambda: 1.0)).outcome
        assert (outcome, self.box.counts["t"]) == (AttemptOutcome.NOT_SENT, 0)

    async def test_a_refused_connection_never_ran_and_pools_of_a_draining_box_are_closed(self) -> None:
        async def script(trace: str) -> bytes:
            return make_response()

        await self.begin(script)
        await self.boxes.attempt(1, make_client_request("t"), lambda: 1.0)
        assert self.box.open == 1
        apply_endpoints(self.registry, make_endpoint("s-a", self.box.port, EndpointState.DRAINING))
        await self.until(lambda: self.box.open == 0)
        self.box.stop()
        apply_endpoints(self.registry, make_endpoint("s-a", self.box.port))
        outcome = (await self.boxes.attempt(1, make_client_request("t"), lambda: 1.0)).outcome
        assert outcome == AttemptOutcome.CONNECT_FAILED

    async def test_a_connection_that_ends_as_it_comes_up_never_ran_anything(self) -> None:
        async def script(trace: str) -> bytes:
            return make_response()

        await self.begin(script)
        real = self.boxes.dial

        async def short(pool_: Any) -> Any:
            connection = await real(pool_)
            connection.abort()
            return connection

        with mock.patch.object(self.boxes, "dial", short):
            found = await self.boxes.attempt(1, make_client_request("t", "PUT", b"scan"), lambda: 1.0)
        assert found == AttemptResult(AttemptOutcome.CONNECT_FAILED)
        assert (self.box.counts["t"], self.boxes.open_connections) == (0, 0)

    async def test_a_spoilt_answer_is_a_reset_that_may_have_run_and_ends_its_connection(self) -> None:
        good = make_response()
        spoilt = [
            b"\x00\xffnoise", b"HTTP/1.1 tea\r\n\r\n", good.replace(b"/1.1", b"/2.0"),
            b"HTTP/1.1 200 X\r\n" + b"X: tea\r\n" * 9000, make_response(200, b"", "X: tea")[:-2],
            make_response(200, b"", "Content-Length: 4"), b"HTTP/1.1 200 X\r\n\r\ntile", good[:-1],
            *(good.replace(b": 4", one) for one in (b": -4", b": +4", b": 3000000000", b" : 4")),
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntile\r\nzz\r\n",
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\ntile",
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + b"fff0\r\n%s\r\n" % bytes(65520) * 20,
            b"HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n" + good,
            b"HTTP/1.1 100 X\r\n\r\n" * 9 + good,
        ]  # fmt: skip

        async def script(trace: str) -> bytes:
            return spoilt[int(trace)]

        await self.begin(script)
        with mock.patch.object(node_connection, "INTER_READ_TIMEOUT_S", 0.05):
            for place, text in enumerate(spoilt):
                found = await self.boxes.attempt(
                    1, make_client_request(str(place), "PUT", b"scan"), lambda: 1.0
                )
                assert found == AttemptResult(AttemptOutcome.CONNECTION_RESET), text[:80]
        assert set(self.box.counts.values()) == {1}
        assert (self.box.accepted, self.boxes.open_connections) == (len(spoilt), 0)

    async def test_a_good_answer_is_served_whatever_comes_with_it_and_only_that(self) -> None:
        good = make_response(
            200, b"tile", "Endpoint-Load-Metrics: \x01 queue=\x7f", "X-Served-Elsewhere: -1e999"
        )
        chunked = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nti\r\n2\r\nle\r\n0\r\n\r\n"
        early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: tea\r\n\r\n"
        noise = b"\x00noise"
        large = make_response(200, b"tile" * 70_000)  # boxes send more than a request may hold
        cases = [early + good, chunked, large, good + good, good + noise, chunked + noise, chunked + good]

        async def script(trace: str) -> bytes:
            return cases[int(trace)]

        await self.begin(script)
        with mock.patch.object(pool, "SETTLE_TIME_S", 0.0):
            for place in range(len(cases)):
                found = await self.boxes.attempt(1, make_client_request(str(place)), lambda: 1.0)
                assert found == AttemptResult(AttemptOutcome.SERVED, b"tile" * (70000 if place == 2 else 1))
                assert self.boxes.open_connections == int(place < 3), "what brought more is not used again"

    async def test_bytes_that_come_while_a_connection_is_pooled_are_not_the_next_answer(self) -> None:
        async def script(trace: str) -> bytes:
            return make_response(200, trace.encode())

        await self.begin(script)
        for trace, read in (("first", True), ("second", False), ("third", True)):
            found = await self.boxes.attempt(1, make_client_request(trace), lambda: 1.0)
            assert found == AttemptResult(AttemptOutcome.SERVED, trace.encode())
            (line,) = self.boxes.pools[1].idle
            line.settled_at = 0.0
            (writer,) = self.box.writers
            # It goes to the kernel at once; without a turn of the loop, nobody has read it yet.
            writer.write(make_response(200, b"stale"))
            if read:
                await self.until(lambda: self.boxes.open_connections == 0)
            else:
                assert not line.is_usable()
        assert self.box.accepted == 3

    async def test_a_connection_rests_after_an_answer_and_idle_ones_make_room_at_the_bound(self) -> None:
        async def script(trace: str) -> bytes:
            return make_response()

        await self.begin(script, most=2)
        apply_endpoints(
            self.registry, make_endpoint("s-a", self.box.port), make_endpoint("s-b", self.box.port, shard=1)
        )
        with mock.patch.object(pool, "SETTLE_TIME_S", 60):
            for trace in "ab":  # the first one rests, so that the second takes another
                await self.boxes.attempt(1, make_client_request(trace), lambda: 1.0)
            assert (self.box.accepted, self.boxes.open_connections) == (2, 2)
            await self.boxes.attempt(2, make_client_request("c"), lambda: 1.0)
            assert (self.boxes.open_connections, len(self.boxes.pools[1].idle)) == (2, 1)
        self.boxes.pools[1].idle[0].settled_at = 0.0
        await self.boxes.attempt(1, make_client_request("d"), lambda: 1.0)
        assert (self.box.accepted, self.boxes.open_connections) == (3, 2)
        self.box.stop()  # the boxes close their idle connections
        await self.until(lambda: self.boxes.open_connections == 0)

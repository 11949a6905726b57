"""Requests through the HTTP server to a scripted node."""

from __future__ import annotations

import asyncio
from unittest import mock

from storage_gateway.policy_api import EndpointState
from tests.support.endpoints import apply_endpoints, make_endpoint
from tests.support.http import NODE_ID, TARGET, HttpServerCase
from tests.support.peers import make_response, never_respond, respond_at_once


class HttpServerTest(HttpServerCase):
    """Requests and their responses."""

    async def test_request_and_response_are_forwarded_unchanged(self) -> None:
        async def respond(trace_id: str) -> bytes:
            return make_response(200, b"\x00tile of " + trace_id.encode())

        await self.start_server(respond)

        assert await self.send_request("t1", "PUT", b"scan") == (200, b"\x00tile of t1")

        (head,) = self.node.heads
        assert head.startswith(f"PUT {TARGET} HTTP/1.1\r\n"), head
        assert "X-Trace-Id: t1\r\n" in head
        assert "Accept-Encoding" not in head

    async def test_request_on_a_pooled_connection_that_breaks_is_not_resent_by_the_http_client(self) -> None:
        async def respond(trace_id: str) -> bytes | None:
            return None if trace_id == "broken" else make_response()

        await self.start_server(respond)
        await self.send_request("warm")
        self.node_client.pools[NODE_ID].idle[0].reusable_at = 0.0

        status, _ = await self.send_request("broken", "PUT", b"scan")

        assert status == 502
        assert self.node.request_counts["broken"] == 1
        assert self.node.accepted_connections == 1, "the request must use the pooled connection"

    async def test_write_that_the_node_rejected_unexecuted_is_retried(self) -> None:
        async def respond(trace_id: str) -> bytes:
            if self.node.request_counts[trace_id] > 1:
                return make_response()
            return make_response(503, b"", "X-Never-Ran: 1")

        await self.start_server(respond)

        assert (await self.send_request("t", "PUT", b"scan"))[0] == 200
        assert self.node.request_counts["t"] == 2

    async def test_503_without_never_ran_header_is_no_rejection_of_a_write(self) -> None:
        async def respond(trace_id: str) -> bytes:
            return make_response(503, b"")

        await self.start_server(respond)

        assert (await self.send_request("t", "PUT", b"scan"))[0] == 502
        assert self.node.request_counts["t"] == 1

    async def test_unresponsive_node_gets_one_attempt_and_the_client_a_response_in_time(self) -> None:
        await self.start_server(never_respond)
        started_at = self.executor.now()

        status, _ = await self.send_request("t", "PUT", b"scan", {"X-Expires-In-Ms": "300"})

        assert self.executor.now() - started_at < 2.0  # the node would never respond
        assert status == 502
        assert self.node.request_counts["t"] == 1
        await self.wait_until(
            lambda: self.node.open_connections == 0
        )  # the cancelled attempt's connection is closed

    async def test_request_with_almost_no_time_left_is_rejected_without_an_attempt(self) -> None:
        await self.start_server(never_respond)

        assert (await self.send_request("t", "PUT", b"scan", {"X-Expires-In-Ms": "1"}))[0] == 503
        assert self.node.accepted_connections == 0

    async def test_client_timeout_is_capped_by_that_of_the_request_class(self) -> None:
        await self.start_server(never_respond)
        self.server.config.client_timeouts_s[1] = 0.3

        async with asyncio.timeout(5):  # the node would never respond
            status, _ = await self.send_request("t", "PUT", b"scan", {"X-Expires-In-Ms": "600000"})

        assert status == 502

    async def test_client_that_disconnects_cancels_its_attempt(self) -> None:
        await self.start_server(never_respond)
        sending = asyncio.create_task(self.send_request("t", changes={"X-Expires-In-Ms": "60000"}))
        await self.wait_until(lambda: self.node.request_counts["t"])

        sending.cancel()

        await self.wait_until(lambda: self.node.open_connections == 0 and not self.executor.pending)
        assert sum(node.in_flight_count for node in self.executor.policy.state.nodes.by_id.values()) == 0

    async def test_request_without_a_serving_node_is_rejected_at_once(self) -> None:
        await self.start_server(never_respond)
        draining = make_endpoint("s-a", self.node.port, EndpointState.DRAINING)
        self.executor.post(apply_endpoints(self.registry, draining))
        started_at = self.executor.now()

        assert (await self.send_request("t"))[0] == 503

        assert self.executor.now() - started_at < 1.4  # not queued until the deadline
        assert self.node.accepted_connections == 0

    async def test_trace_id_in_use_is_rejected_without_affecting_the_first_request(self) -> None:
        release = asyncio.Event()

        async def respond(trace_id: str) -> bytes:
            await release.wait()
            return make_response()

        await self.start_server(respond)
        first = asyncio.create_task(self.send_request("t"))
        await self.wait_until(lambda: self.node.request_counts["t"])
        assert (await self.send_request("t"))[0] == 400

        release.set()
        assert (await first)[0] == 200
        assert (await self.send_request("t"))[0] == 400, "the id is still in use just after its request"
        assert self.node.request_counts["t"] == 1

        with mock.patch.object(self.executor, "clock_offset_s", self.executor.clock_offset_s + 60):
            await self.send_request("u")
        assert self.server.trace_ids.in_use == {"u"}, "the id of the ended request must expire"

    async def test_readiness_path_reports_whether_the_gateway_is_ready(self) -> None:
        await self.start_server(respond_at_once)
        for is_ready, status in ((False, 503), (True, 200)):
            self.is_ready = is_ready
            async with self.client.get(self.url + "/up") as response:
                assert response.status == status

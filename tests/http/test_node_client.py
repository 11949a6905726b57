"""Attempts over HTTP and the outcome of each."""

from __future__ import annotations

from unittest import mock

from storage_gateway import policy_api as api
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.policy_api import AttemptOutcome, EndpointState
from tests.support.endpoints import apply_endpoints, make_endpoint
from tests.support.http import NODE_ID, HttpServerCase, make_client_request
from tests.support.peers import make_response, respond_at_once


class NodeClientTest(HttpServerCase):
    """Single attempts at a scripted node."""

    async def test_node_that_drains_while_the_connection_opens_is_sent_nothing(self) -> None:
        await self.start_server(respond_at_once)
        draining = make_endpoint("s-a", self.node.port, EndpointState.DRAINING)

        with self.after_dial(lambda: apply_endpoints(self.registry, draining)):
            result = await self.node_client.attempt(NODE_ID, make_client_request("t"), lambda: 1.0)

        assert result.outcome == AttemptOutcome.NOT_SENT
        assert self.node.request_counts["t"] == 0

    async def test_drain_closes_the_pool_and_a_refused_connection_is_a_connect_failure(self) -> None:
        await self.start_server(respond_at_once)
        await self.node_client.attempt(NODE_ID, make_client_request("t"), lambda: 1.0)
        assert self.node.open_connections == 1

        apply_endpoints(self.registry, make_endpoint("s-a", self.node.port, EndpointState.DRAINING))
        await self.wait_until(lambda: self.node.open_connections == 0)

        self.node.stop()
        apply_endpoints(self.registry, make_endpoint("s-a", self.node.port))
        result = await self.node_client.attempt(NODE_ID, make_client_request("t"), lambda: 1.0)
        assert result.outcome == AttemptOutcome.CONNECT_FAILED

    async def test_connection_that_ends_right_after_opening_is_a_connect_failure(self) -> None:
        await self.start_server(respond_at_once)

        with self.patch_dial(lambda connection: connection.abort()):
            request = make_client_request("t", "PUT", b"scan")
            result = await self.node_client.attempt(NODE_ID, request, lambda: 1.0)

        assert result == AttemptResult(AttemptOutcome.CONNECT_FAILED)
        assert self.node.request_counts["t"] == 0
        assert self.node_client.open_connections == 0

    async def test_connection_whose_attempt_has_no_time_left_is_pooled(self) -> None:
        await self.start_server(respond_at_once)

        result = await self.node_client.attempt(NODE_ID, mock.Mock(), lambda: 0.0)

        assert result == AttemptResult(api.AttemptOutcome.NOT_SENT)
        assert self.node_client.open_connections == 1
        assert len(self.node_client.pools[NODE_ID].idle) == 1

    async def test_large_response_is_given_up_while_responses_hold_too_much_memory(self) -> None:
        """Guards against nodes that send responses without end, each within its own limit."""
        bodies = {"usual": bytes(64 * 1024), "large": bytes(200_000)}

        async def respond(trace_id: str) -> bytes:
            return make_response(200, bodies[trace_id])

        await self.start_server(respond)
        count = self.node_client._response_bytes
        for max_bytes, outcome in ((0, AttemptOutcome.SERVED), (1000, AttemptOutcome.CONNECTION_RESET)):
            count.max_bytes = max_bytes
            usual = await self.node_client.attempt(NODE_ID, make_client_request("usual"), lambda: 1.0)
            large = await self.node_client.attempt(NODE_ID, make_client_request("large"), lambda: 1.0)
            assert (usual.outcome, large.outcome) == (AttemptOutcome.SERVED, outcome)
            assert count.used_bytes == 0

    async def test_attempt_sends_the_time_left_after_a_slow_connect(self) -> None:
        await self.start_server(respond_at_once)

        with self.after_dial(lambda: self.advance_clock(1.0)):
            await self.send_request("t")

        (head,) = self.node.heads
        time_left_ms = int(head.split("X-Expires-In-Ms: ")[1].split("\r\n")[0])
        assert time_left_ms < 500

"""Attempts over HTTP: what the result of each proves."""

from __future__ import annotations

from unittest import mock

from storage_gateway import policy_api as api
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.policy_api import AttemptOutcome, EndpointState
from tests.support.endpoints import apply_endpoints, make_endpoint
from tests.support.http import NODE, HttpServerCase, make_client_request
from tests.support.peers import respond_at_once


class NodeClientTest(HttpServerCase):
    """One attempt."""

    async def test_node_that_drains_while_the_connection_comes_up_is_sent_nothing(self) -> None:
        await self.start_server(respond_at_once)
        draining = make_endpoint("s-a", self.node.port, EndpointState.DRAINING)

        with self.after_dial(lambda: apply_endpoints(self.registry, draining)):
            result = await self.node_client.attempt(NODE, make_client_request("t"), lambda: 1.0)

        assert result.outcome == AttemptOutcome.NOT_SENT
        assert self.node.counts["t"] == 0

    async def test_refused_connection_never_ran_and_the_pool_of_a_draining_node_is_closed(self) -> None:
        await self.start_server(respond_at_once)
        await self.node_client.attempt(NODE, make_client_request("t"), lambda: 1.0)
        assert self.node.open == 1

        apply_endpoints(self.registry, make_endpoint("s-a", self.node.port, EndpointState.DRAINING))
        await self.wait_until(lambda: self.node.open == 0)

        self.node.stop()
        apply_endpoints(self.registry, make_endpoint("s-a", self.node.port))
        result = await self.node_client.attempt(NODE, make_client_request("t"), lambda: 1.0)
        assert result.outcome == AttemptOutcome.CONNECT_FAILED

    async def test_connection_that_ends_as_it_comes_up_never_ran_anything(self) -> None:
        await self.start_server(respond_at_once)

        with self.patch_dial(lambda connection: connection.abort()):
            request = make_client_request("t", "PUT", b"scan")
            result = await self.node_client.attempt(NODE, request, lambda: 1.0)

        assert result == AttemptResult(AttemptOutcome.CONNECT_FAILED)
        assert self.node.counts["t"] == 0
        assert self.node_client.open_connections == 0

    async def test_connection_that_was_not_needed_in_the_end_is_kept(self) -> None:
        await self.start_server(respond_at_once)

        result = await self.node_client.attempt(NODE, mock.Mock(), lambda: 0.0)

        assert result == AttemptResult(api.AttemptOutcome.NOT_SENT)
        assert self.node_client.open_connections == 1
        assert len(self.node_client.pools[NODE].idle) == 1

    async def test_attempt_sends_the_time_left_after_the_connection_came_up_late(self) -> None:
        await self.start_server(respond_at_once)

        with self.after_dial(lambda: self.advance_clock(1.0)):
            await self.send_request("t")

        (head,) = self.node.heads
        time_left_ms = int(head.split("X-Expires-In-Ms: ")[1].split("\r\n")[0])
        assert time_left_ms < 500

"""Which pooled connections are reused, and which are closed."""

from __future__ import annotations

from unittest import mock

from storage_gateway.http import pool
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.policy_api import AttemptOutcome
from tests.support.endpoints import apply_endpoints, make_endpoint
from tests.support.http import NODE_ID, HttpServerCase, make_client_request
from tests.support.peers import make_response, respond_at_once

OTHER_NODE = 2


class ConnectionPoolTest(HttpServerCase):
    """The connection pools of the node client."""

    async def test_data_received_while_a_connection_is_pooled_is_not_the_next_response(self) -> None:
        async def respond(trace_id: str) -> bytes:
            return make_response(200, trace_id.encode())

        await self.start_server(respond)
        for trace_id, loop_reads_data in (("first", True), ("second", False), ("third", True)):
            result = await self.node_client.attempt(NODE_ID, make_client_request(trace_id), lambda: 1.0)
            assert result == AttemptResult(AttemptOutcome.SERVED, trace_id.encode())
            (connection,) = self.node_client.pools[NODE_ID].idle
            connection.reusable_at = 0.0
            (writer,) = self.node.writers
            # This writes to the kernel at once; the event loop reads it in its next iteration.
            writer.write(make_response(200, b"stale"))
            if loop_reads_data:
                await self.wait_until(lambda: self.node_client.open_connections == 0)
            else:
                assert not connection.is_usable()
        assert self.node.accepted_connections == 3

    async def test_reuse_is_delayed_after_a_response_and_the_limit_closes_idle_connections(self) -> None:
        await self.start_server(respond_at_once, max_connections=2)
        apply_endpoints(
            self.registry,
            make_endpoint("s-a", self.node.port),
            make_endpoint("s-b", self.node.port, shard=1),
        )
        with mock.patch.object(pool, "REUSE_DELAY_S", 60):
            for trace_id in "ab":  # the second request cannot reuse the first connection yet
                await self.node_client.attempt(NODE_ID, make_client_request(trace_id), lambda: 1.0)
            assert self.node.accepted_connections == 2
            assert self.node_client.open_connections == 2
            await self.node_client.attempt(OTHER_NODE, make_client_request("c"), lambda: 1.0)
            assert self.node_client.open_connections == 2
            assert len(self.node_client.pools[NODE_ID].idle) == 1

        self.node_client.pools[NODE_ID].idle[0].reusable_at = 0.0
        await self.node_client.attempt(NODE_ID, make_client_request("d"), lambda: 1.0)
        assert self.node.accepted_connections == 3
        assert self.node_client.open_connections == 2

        self.node.stop()  # the node closes its idle connections
        await self.wait_until(lambda: self.node_client.open_connections == 0)

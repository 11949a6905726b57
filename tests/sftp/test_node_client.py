"""Tests of attempts at a node that disconnects, drains or never responds."""

from __future__ import annotations

from storage_gateway.policy_api import EndpointState
from storage_gateway.sftp.fields import StatusCode
from tests.support.endpoints import apply_endpoints, make_endpoint
from tests.support.sftp import FakeSftpNode, SftpServerCase, assert_status


class SftpNodeClientTest(SftpServerCase):
    """Attempts as a client observes them through a server."""

    async def test_upload_that_may_have_been_stored_is_not_retried_after_a_reset(self) -> None:
        node = FakeSftpNode(breaks_after_store=True)
        client = await self.start(node)
        status = await client.upload("/plats/t1", b"scan")
        assert_status(status, StatusCode.FAILURE, "the change may have been made")
        assert (node.store_counts["/plats/t1"], node.requests.count("Open"), node.accepted_connections) == (
            1,
            1,
            1,
        )

    async def test_repeated_listing_does_not_reach_a_draining_node(self) -> None:
        draining = FakeSftpNode()
        serving = FakeSftpNode()
        client = await self.start(draining, serving)
        draining.files["/plats/t1"] = b"scan"
        serving.files["/plats/t1"] = b"scan"
        assert await client.list_directory("/plats") == ["/plats/t1"]
        requests_before = list(draining.requests)
        self.executor.post(
            apply_endpoints(
                self.registry,
                make_endpoint("s-0", draining.port, EndpointState.DRAINING),
                make_endpoint("s-1", serving.port),
            )
        )
        assert await client.list_directory("/plats") == ["/plats/t1"]
        assert (draining.requests, serving.requests) == (requests_before, requests_before)

    async def test_node_that_drains_during_connection_setup_gets_no_command(self) -> None:
        node = FakeSftpNode()
        client = await self.start(node)

        def drain() -> None:
            endpoint = make_endpoint("s-0", node.port, EndpointState.DRAINING)
            self.executor.post(apply_endpoints(self.registry, endpoint))

        node.on_handshake = drain
        assert_status(
            await client.upload("/plats/t1", b"scan"), StatusCode.FAILURE, "rejected, nothing was done"
        )
        assert node.requests == []

    async def test_idle_connection_is_reused_by_a_read_and_not_by_a_write(self) -> None:
        node = FakeSftpNode()
        client = await self.start(node)
        await client.list_directory("/plats")
        await client.list_directory("/plats")
        assert node.accepted_connections == 1
        await client.upload("/plats/t1", b"scan")
        assert node.accepted_connections == 2

    async def test_attempt_without_a_response_is_cancelled_at_the_deadline(self) -> None:
        node = FakeSftpNode(never_responds=True)
        client = await self.start(node, command_timeout_s=0.3)
        started_at = self.executor.now()
        status = await client.upload("/plats/t1", b"scan")
        assert_status(status, StatusCode.FAILURE, "the change may have been made")
        assert self.executor.now() - started_at < 2.0
        assert node.requests == ["Open"]

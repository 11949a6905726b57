"""Tests of commands as requests to the policy: rejections and limits."""

from __future__ import annotations

from dataclasses import replace

from storage_gateway.sftp.fields import StatusCode
from storage_gateway.sftp.scheduler import object_key
from tests.support.sftp import PUBLIC_PLAN, FakeSftpNode, SftpServerCase, assert_status


class CommandSchedulerTest(SftpServerCase):
    """Rejections as a client observes them through a server."""

    async def test_command_is_rejected_if_there_is_no_node(self) -> None:
        client = await self.start()
        assert_status(await client.upload("/plats/t1", b"scan"), StatusCode.FAILURE, "nothing was done")

    async def test_uploads_beyond_the_rate_limit_of_the_plan_are_rejected(self) -> None:
        # The rate limit's token bucket is empty when an instance starts.
        plan = replace(PUBLIC_PLAN, rate_limit=0.01, rate_limit_burst=8.0)
        node = FakeSftpNode()
        client = await self.start(node, plan=plan, command_timeout_s=0.4)
        assert_status(
            await client.upload("/plats/t1", b"scan"), StatusCode.FAILURE, "rejected, nothing was done"
        )
        self.executor.policy.state.volumes.by_id[7].rate_limit.level = 2.0
        codes = [(await client.upload(f"/plats/u{number}", b"scan")).code for number in range(4)]
        assert (codes.count(StatusCode.OK), sum(node.store_counts.values())) == (2, 2)

    async def test_object_key_is_the_same_in_every_process(self) -> None:
        assert object_key("/plats/t1") == 172289668550216
        assert object_key("/plats/\udcff") != object_key("/plats/t1")

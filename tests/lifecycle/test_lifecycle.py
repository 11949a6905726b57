"""The executor's results, with and without a decision of the policy."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from storage_gateway import policy_api as api
from storage_gateway.lifecycle import AttemptResult, Failed, Rejected, RequestExecutor, Served
from tests.support.configuration import make_two_class_settings

MAX_RETRY_AFTER_S = 0.7
TIMEOUT_S = 0.1


def send_to_first_node(now: float, events: list[api.Event]) -> list[api.Action]:
    """Policy step that sends each request to one node and decides nothing more about it."""
    arrivals = [event for event in events if isinstance(event, api.RequestArrived)]
    return [api.SendAttempt(arrival.request_id, 1) for arrival in arrivals]


class RequestExecutorTest(unittest.IsolatedAsyncioTestCase):
    """An executor whose policy step is replaced by each test."""

    async def asyncSetUp(self) -> None:
        self.executor = RequestExecutor(make_two_class_settings(max_retry_after_s=MAX_RETRY_AFTER_S))

    def make_request(self) -> api.RequestArrived:
        return api.RequestArrived(
            request_id=self.executor.new_request_id(),
            class_index=0,
            plan_index=0,
            volume_id=1,
            object_key=1,
            shard=0,
            units=1.0,
            deadline=self.executor.now() + TIMEOUT_S,
            gateway_count=1,
        )

    async def execute(self, *, serve: bool) -> Served[str] | Rejected | Failed:
        """Execute one request on a node that serves it or never responds."""

        async def make_attempt(node_id: int) -> AttemptResult[str]:
            if not serve:
                await asyncio.Event().wait()
            return AttemptResult(api.AttemptOutcome.SERVED, "body")

        async with asyncio.timeout(5):
            return await self.executor.execute(self.make_request(), make_attempt)

    async def test_policy_exception_leaves_requests_rejected_in_time(self) -> None:
        with mock.patch.object(self.executor.policy, "step", side_effect=RuntimeError("policy error")):
            result = await self.execute(serve=True)

        assert result == Rejected(MAX_RETRY_AFTER_S)
        assert self.executor.pending == {}

    async def test_request_that_may_have_been_executed_fails_without_a_policy_decision(self) -> None:
        with mock.patch.object(self.executor.policy, "step", send_to_first_node):
            result = await self.execute(serve=False)

        assert result == Failed()

    async def test_served_attempt_gives_the_response(self) -> None:
        with mock.patch.object(self.executor.policy, "step", send_to_first_node):
            result = await self.execute(serve=True)

        assert result == Served("body")

"""Attempts whose deadline passes before they begin or just as they end."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from storage_gateway import policy_api as api
from storage_gateway.lifecycle import AttemptResult
from tests.support.http import HttpServerCase
from tests.support.peers import respond_at_once


class AttemptDeadlineTest(HttpServerCase):
    """Deadlines that pass while an attempt is opening its connection or in progress."""

    async def test_attempt_does_not_begin_after_the_client_deadline(self) -> None:
        await self.start_server(respond_at_once)

        with self.after_dial(lambda: self.advance_clock(2.0)):
            status, _ = await self.send_request("t")

        assert status != 200
        assert self.node.request_counts["t"] == 0

    async def test_request_with_a_key_is_not_retried_after_its_idempotency_window(self) -> None:
        """The second attempt is decided within the window, but its connection opens after it."""

        async def close_connection(trace_id: str) -> bytes | None:
            return None  # the node may have executed the request

        await self.start_server(close_connection)
        request_class = self.executor.policy.settings.classes[0]
        request_class.repeatability = api.Repeatability.IDEMPOTENT_WITH_KEY
        request_class.idempotency_window_s = 0.5
        dial_times = []

        def delay_second_dial() -> None:
            dial_times.append(self.executor.now())
            if len(dial_times) == 2:
                self.advance_clock(0.6)

        with self.after_dial(delay_second_dial):
            status, _ = await self.send_request("t")

        assert status != 200
        assert self.node.request_counts["t"] == 1
        assert len(dial_times) == 2

    async def test_cancellation_at_the_attempt_timeout_does_not_affect_other_requests(self) -> None:
        await self.start_server(respond_at_once)
        arrival = api.RequestArrived("t", 0, 0, 1, 1, 0, 1.0, self.executor.now() + 60, 1)
        other_actions: asyncio.Queue[Any] = asyncio.Queue()

        async def attempt(node_id: int) -> AttemptResult[bytes]:
            pending_request = self.executor.pending["t"]
            assert pending_request.attempt_timer
            # The timer fires, and the policy cancels the attempt before the timer wakes this task.
            pending_request.attempt_timer.reschedule(0.0)
            asyncio.get_running_loop().call_soon(self.executor.step)
            await asyncio.sleep(60)
            raise AssertionError

        def step(now: float, events: list[api.Event]) -> list[api.Action]:
            if not events:
                return [api.CancelAttempt("t", 0), api.RejectRequest("other")]
            if isinstance(events[0], api.AttemptEnded):
                return [api.FailRequest("t")]
            return [api.SendAttempt("t", 1)]

        self.executor.pending["other"] = mock.Mock(actions=other_actions)
        with mock.patch.object(self.executor.policy, "step", step):
            async with asyncio.timeout(5):
                await self.executor.execute(arrival, attempt)
                assert await other_actions.get() == api.RejectRequest("other")
        del self.executor.pending["other"]

"""The steps of a shutdown fit into any grace period, in the schedule and in the gateway that follows it.

Guards against steps that are longer than a short grace period: the process then ends with all connections
open, and the requests in them are lost. The bounds are those of the platform, not of the code.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field, replace
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from storage_gateway.config import GatewayConfig
from storage_gateway.http.server import HttpServer
from storage_gateway.service import Gateway
from storage_gateway.sftp_service import SftpService
from storage_gateway.shutdown_schedule import ShutdownSchedule
from tests.support.configuration import make_config
from tests.support.simulated_time import run_in_simulated_time

MAX_DEADLINE_S = 3.0  # longer ones do not extend the grace period
KILL_AFTER_DEADLINE_S = 0.7
NEW_CONNECTIONS_S = 0.4
CLIENT_READS_WITHIN_S = 0.04  # with both of its directions, a usual client in the same network
EXIT_S = 0.15

times = st.one_of(
    st.sampled_from([1e-9, 0.001, 0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.55, 1.2, 3.0, 30.0, math.inf]),
    st.floats(0.001, 10.0),
)
classes = st.lists(st.tuples(times, times), min_size=1, max_size=4)  # deadline and objective of each


def grace_period_s(deadlines_s: list[float]) -> float:
    return min(MAX_DEADLINE_S, max(deadlines_s)) + KILL_AFTER_DEADLINE_S


@given(classes)
def test_steps_are_in_order_and_leave_time_for_each_other(classes: list[tuple[float, float]]) -> None:
    deadlines_s, objectives_s = zip(*classes, strict=True)
    grace_s = grace_period_s(list(deadlines_s))

    schedule = ShutdownSchedule.fit(grace_s, list(objectives_s))

    assert schedule.accept_time_s > NEW_CONNECTIONS_S
    assert schedule.response_time_s - schedule.accept_time_s >= CLIENT_READS_WITHIN_S
    assert schedule.linger_s >= CLIENT_READS_WITHIN_S
    assert schedule.close_time_s <= grace_s - EXIT_S


@pytest.mark.parametrize(
    ("grace_s", "objectives_s", "accept_time_s", "linger_s"),
    [
        (3.7, [0.2, 0.3, 1.5], 3.15, 0.25),
        (3.7, [6.0, 0.8], 1.95, 0.25),
        (1.9, [0.3], 1.15, 0.25),
        (1.9, [2.0], 0.75, 0.25),  # the least time for clients, if there is room for it
        (1.9, [0.001], 1.4, 0.25),  # the last requests have some time, however short the objective is
        (0.85, [0.05], 0.45, 0.15),
        (0.7, [0.05], 0.45, 0.05),
    ],
)
def test_requests_are_accepted_for_as_long_as_the_shortest_objective_allows(
    grace_s: float, objectives_s: list[float], accept_time_s: float, linger_s: float
) -> None:
    schedule = ShutdownSchedule.fit(grace_s, objectives_s)

    assert schedule.accept_time_s == pytest.approx(accept_time_s)
    assert schedule.linger_s == pytest.approx(linger_s)


@dataclass(slots=True)
class ClosingTimes:
    """When the parts of a gateway were closed, in seconds after the start of the shutdown."""

    http_close_began: float = math.inf
    http_close_ended: float = math.inf
    sftp_close_began: float = math.inf
    sftp_close_ended: float = math.inf
    ended: float = math.inf
    started_at: float = field(default_factory=lambda: asyncio.get_running_loop().time())

    def now(self) -> float:
        return asyncio.get_running_loop().time() - self.started_at


async def shut_down(config: GatewayConfig) -> ClosingTimes:
    """Shut down a gateway whose clients keep each connection open for as long as they can."""
    gateway = Gateway(config)
    times = ClosingTimes()

    async def close_http(response_due: float, linger_s: float) -> None:
        times.http_close_began = times.now()
        await asyncio.sleep(response_due + linger_s - asyncio.get_running_loop().time())
        times.http_close_ended = times.now()

    async def close_sftp(grace_s: float) -> None:
        times.sftp_close_began = times.now()
        assert grace_s > 0
        await asyncio.sleep(grace_s)
        times.sftp_close_ended = times.now()

    gateway._http_server = mock.Mock(HttpServer, close=close_http)
    gateway._sftp_service = mock.Mock(SftpService, close=close_sftp)
    await gateway.shut_down()
    times.ended = times.now()
    return times


@pytest.mark.parametrize("deadline_s", [1e-9, 0.05, 0.15, 0.2, 0.25, 0.4, 0.55, 0.8, 1.2, 3.0, math.inf])
@pytest.mark.parametrize("objective_share", [0.01, 0.33, 0.67, 1.0])
@pytest.mark.parametrize("second_deadline_s", [0.0, 1.0])
def test_gateway_closes_all_parts_within_the_grace_period(
    deadline_s: float, objective_share: float, second_deadline_s: float
) -> None:
    base = make_config()
    objective_s = objective_share * min(deadline_s, MAX_DEADLINE_S)
    request_classes = [replace(one, latency_objective_s=objective_s) for one in base.settings.classes]
    config = replace(
        base,
        client_timeouts_s=[deadline_s, max(second_deadline_s, deadline_s)],
        settings=replace(base.settings, classes=request_classes),
    )
    kill_at = grace_period_s(config.client_timeouts_s)

    times = run_in_simulated_time(shut_down(config))

    for began, ended in (
        (times.http_close_began, times.http_close_ended),
        (times.sftp_close_began, times.sftp_close_ended),
    ):
        assert NEW_CONNECTIONS_S < began < ended <= kill_at - EXIT_S + 1e-6
    assert times.ended < kill_at

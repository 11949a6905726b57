"""The reconnect backoff: delays grow with the instances and with failures, within the propagation bound."""

from __future__ import annotations

from storage_gateway.config import Address
from storage_gateway.endpoints.backoff import (
    MAX_BACKOFF_S,
    MAX_LOCAL_BACKOFF_S,
    MAX_MOVE_BACKOFF_S,
    MIN_BACKOFF_S,
    max_delay_s,
)
from storage_gateway.endpoints.call_schedule import (
    LOCAL_INTERVALS,
    MAX_BACKOFF_AND_FIRST_INTERVAL_S,
    MAX_MOVE_INTERVAL_S,
    PROPAGATION_BOUND_S,
    QUIET_TIMEOUT_S,
    SHARED_INTERVALS,
    TOLERATED_RESPONSE_TIME_S,
)
from storage_gateway.endpoints.discovery import DiscoveryClient
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.endpoints.watch import IDLE_TIMEOUT_S

MOVE_BOUND_S = 4.0  # from a change of the discovery address to the list from the new one


def make_client(gateway_count: int, seed: int) -> DiscoveryClient:
    address = Address("127.0.0.1", 1)
    return DiscoveryClient(address, EndpointRegistry({}), lambda event: None, gateway_count, seed)


def test_delay_grows_with_instances_and_failures_up_to_a_bound() -> None:
    assert max_delay_s(0, 1) == MIN_BACKOFF_S
    assert max_delay_s(0, 40) > 10 * max_delay_s(0, 1)
    assert max_delay_s(1, 8) == 2 * max_delay_s(0, 8)
    assert max_delay_s(10**6, 10**6) == MAX_BACKOFF_S


def test_delay_for_a_local_agent_stays_short_after_any_number_of_failures() -> None:
    assert max_delay_s(10**6, 1) == MAX_LOCAL_BACKOFF_S <= 1.0


def test_detection_delay_and_next_call_fit_into_the_propagation_bound() -> None:
    for gateway_count in (1, 2, 40, 10**6):
        intervals = SHARED_INTERVALS if gateway_count > 1 else LOCAL_INTERVALS
        detection_s = min(QUIET_TIMEOUT_S, IDLE_TIMEOUT_S) + max_delay_s(0, gateway_count)
        assert detection_s + intervals.first_s < PROPAGATION_BOUND_S
        assert (
            detection_s + MAX_BACKOFF_AND_FIRST_INTERVAL_S - max_delay_s(0, gateway_count)
            < PROPAGATION_BOUND_S
        )
        assert intervals.max_s + TOLERATED_RESPONSE_TIME_S < PROPAGATION_BOUND_S
        for failures in (1, 2, 5, 10**6):
            delay_s = max_delay_s(failures, gateway_count)
            assert delay_s + TOLERATED_RESPONSE_TIME_S < PROPAGATION_BOUND_S
            assert intervals.first_s + min(MAX_MOVE_BACKOFF_S, delay_s) + intervals.first_s < MOVE_BOUND_S
            assert intervals.first_s + min(MAX_MOVE_INTERVAL_S, intervals.max_s) < MOVE_BOUND_S


def test_reconnects_of_instances_that_lose_their_watch_together_are_spread_out() -> None:
    delays = sorted(make_client(40, seed).backoff.delay_s(0) for seed in range(40))
    range_s = max_delay_s(0, 40)
    for quarter in range(4):  # each quarter of the range has some of the 40 instances
        start, end = quarter * range_s / 4, (quarter + 1) * range_s / 4
        assert sum(start <= delay < end for delay in delays) >= 4

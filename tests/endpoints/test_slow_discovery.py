"""A change reaches the policy in time however slowly discovery answers, in simulated time.

Guards against calls that are given up before a slow service has answered them: the list then never changes,
and requests go to nodes that drain. The bounds are those of the platform, not of the code.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.discovery import CACHED_LIST_TIMEOUT_S, DiscoveryClient
from storage_gateway.endpoints.registry import EndpointRegistry, EndpointUpdate
from tests.support.endpoints import make_endpoint
from tests.support.simulated_discovery import EMPTY_MESSAGE_INTERVAL_S, FIRST_VERSION, SimulatedDiscovery
from tests.support.simulated_time import run_in_simulated_time

ADDRESS = Address("127.0.0.1", 1)
PROPAGATION_BOUND_S = 6.0  # after discovery had the change and could be reached
MOVE_BOUND_S = 4.0  # after SIGHUP
READY_BOUND_S = 10.0  # after a restart
BREAK_AT_S = 20.0
QUIET_PERIODS = 5  # empty messages of a watch before it is disrupted
GIVE_UP_S = 100.0
SLOWEST_S = {1: 2.8, 3: 2.8, 30: 2.3, 200: 2.3}  # response time that the bound leaves beside a silent watch

Disruption = Callable[[SimulatedDiscovery], None]


def reset(service: SimulatedDiscovery) -> None:
    service.reset_watches()


def silence(service: SimulatedDiscovery) -> None:
    service.silence_watches()


def reset_and_lose_a_call(service: SimulatedDiscovery) -> None:
    service.reset_watches()
    service.lost_calls = 1


def silence_and_lose_a_call(service: SimulatedDiscovery) -> None:
    service.silence_watches()
    service.lost_calls = 1


def reject_all_versions(service: SimulatedDiscovery) -> None:
    service.reset_watches()
    service.oldest_version = service.version + 1


@dataclass(slots=True, eq=False)
class Instance:
    """A gateway instance's discovery client, and when it had which version of the list."""

    client: DiscoveryClient
    arrivals: defaultdict[int, asyncio.Future[float]]

    @classmethod
    def start(
        cls, service: SimulatedDiscovery, gateway_count: int = 1, seed: int = 0, *, is_cached: bool = True
    ) -> Instance:
        registry = EndpointRegistry({})
        loop = asyncio.get_running_loop()
        arrivals = defaultdict[int, asyncio.Future[float]](loop.create_future)

        def record(event: api.Event) -> None:
            assert registry.version is not None
            if not arrivals[registry.version].done():
                arrivals[registry.version].set_result(loop.time())

        client = DiscoveryClient(ADDRESS, registry, record, gateway_count, seed, service.connect)
        client.start(EndpointUpdate(FIRST_VERSION, True, [make_endpoint("s-a", 9)]) if is_cached else None)
        return cls(client, arrivals)

    async def wait_for_version(self, version: int) -> float:
        """Return the time at which the policy had a version of the list."""
        async with asyncio.timeout(GIVE_UP_S):
            return await self.arrivals[version]


async def measure_propagation(
    disruption: Disruption,
    response_time_s: float,
    gateway_count: int,
    seed: int,
    change_after_s: float = 0.0,
    earlier_response_time_s: float = 0.0,
) -> float:
    """Return how late a change is whose watch has been disrupted, while discovery answers slowly."""
    service = SimulatedDiscovery(earlier_response_time_s)
    instance = Instance.start(service, gateway_count, seed)
    await instance.wait_for_version(FIRST_VERSION)
    await asyncio.sleep(QUIET_PERIODS * EMPTY_MESSAGE_INTERVAL_S + 0.001)  # just after a message
    service.response_time_s = response_time_s
    disruption(service)
    await asyncio.sleep(change_after_s)
    changed_at = asyncio.get_running_loop().time()
    service.change()
    return await instance.wait_for_version(service.version) - changed_at


@pytest.mark.parametrize("disruption", [reset, silence])
@given(
    gateway_count=st.sampled_from(sorted(SLOWEST_S)),
    share=st.floats(0, 1),
    seed=st.integers(0, 999),
    change_after_s=st.floats(0, 12),
)
@settings(deadline=None, max_examples=60, derandomize=True)
def test_change_arrives_in_time_after_a_watch_is_disrupted_while_discovery_is_slow(
    disruption: Disruption, gateway_count: int, share: float, seed: int, change_after_s: float
) -> None:
    response_time_s = share * SLOWEST_S[gateway_count]
    delay_s = run_in_simulated_time(
        measure_propagation(disruption, response_time_s, gateway_count, seed, change_after_s)
    )
    assert delay_s <= PROPAGATION_BOUND_S


@pytest.mark.parametrize("gateway_count", sorted(SLOWEST_S))
@pytest.mark.parametrize(
    ("disruption", "response_time_s"),
    [
        (reset, 4.5),
        (silence, SLOWEST_S),
        (reset_and_lose_a_call, 0.0),
        (reset_and_lose_a_call, 2.8),
        (silence_and_lose_a_call, 0.2),
        (reject_all_versions, 2.3),
    ],
)
@pytest.mark.parametrize("was_slow", [False, True])
def test_change_arrives_in_time_in_the_longest_cases(
    gateway_count: int, disruption: Disruption, response_time_s: float | dict[int, float], was_slow: bool
) -> None:
    """Guards also against waiting too long for a lost call, which pulls the other way."""
    if isinstance(response_time_s, dict):
        response_time_s = response_time_s[gateway_count]
    earlier_s = 2.8 if was_slow else 0.0
    for seed in range(20):
        measurement = measure_propagation(
            disruption, response_time_s, gateway_count, seed, earlier_response_time_s=earlier_s
        )
        assert run_in_simulated_time(measurement) <= PROPAGATION_BOUND_S, seed


@pytest.mark.parametrize("gateway_count", [1, 3, 200])
@pytest.mark.parametrize("response_time_s", [0.0, 1.2, 2.0, 2.8])
@pytest.mark.parametrize("outage_s", [5.0, 8.0, 45.0])
def test_change_arrives_in_time_after_an_outage(
    gateway_count: int, response_time_s: float, outage_s: float
) -> None:
    async def measure(seed: int) -> float:
        service = SimulatedDiscovery()
        instance = Instance.start(service, gateway_count, seed)
        await asyncio.sleep(BREAK_AT_S)
        service.silence_watches()
        service.lost_calls = 1000
        service.response_time_s = response_time_s
        await asyncio.sleep(outage_s)
        service.lost_calls = 0
        returned_at = asyncio.get_running_loop().time()
        service.change()
        return await instance.wait_for_version(service.version) - returned_at

    for seed in range(10):
        assert run_in_simulated_time(measure(seed)) <= PROPAGATION_BOUND_S, seed


@pytest.mark.parametrize("gateway_count", [1, 3, 200])
@pytest.mark.parametrize("response_time_s", [1.2, 2.0, 2.8, 4.5, 8.0])
@pytest.mark.parametrize("is_cached", [True, False])
def test_new_process_has_a_list_while_discovery_is_slow(
    gateway_count: int, response_time_s: float, is_cached: bool
) -> None:
    async def measure() -> float:
        instance = Instance.start(SimulatedDiscovery(response_time_s), gateway_count, is_cached=is_cached)
        return await instance.wait_for_version(FIRST_VERSION)

    assert run_in_simulated_time(measure()) <= READY_BOUND_S


@pytest.mark.parametrize("gateway_count", [1, 3, 200])
@pytest.mark.parametrize(
    ("response_time_s", "lost_calls"), [(2.0, 0), (2.8, 0), (3.9, 0), (2.4, 1), (0.0, 2)]
)
def test_move_to_a_slow_address_takes_no_longer_than_the_platform_allows(
    gateway_count: int, response_time_s: float, lost_calls: int
) -> None:
    async def measure(seed: int) -> float:
        instance = Instance.start(SimulatedDiscovery(), gateway_count, seed)
        await asyncio.sleep(BREAK_AT_S)
        new = SimulatedDiscovery(response_time_s)
        new.lost_calls = lost_calls
        new.change()
        instance.client._open_transport = new.connect
        instance.client.move(ADDRESS)
        return await instance.wait_for_version(new.version) - BREAK_AT_S

    for seed in range(10):
        assert run_in_simulated_time(measure(seed)) <= MOVE_BOUND_S, seed


@pytest.mark.parametrize(
    ("gateway_count", "response_time_s", "bound_s"),
    [(3, 1.7, PROPAGATION_BOUND_S), (30, 0.15, PROPAGATION_BOUND_S), (30, 1.0, 1.25 + 30 * 1.0)],
)
def test_instances_that_reconnect_together_do_not_use_up_a_service_that_answers_in_turn(
    gateway_count: int, response_time_s: float, bound_s: float
) -> None:
    """Guards against calls that are given up in the queue and still take their turn.

    The bound is that of the platform, or the time in which the service can answer one call of each instance.
    """

    async def measure() -> float:
        service = SimulatedDiscovery(answers_in_turn=True)
        instances = [Instance.start(service, gateway_count, seed) for seed in range(gateway_count)]
        await asyncio.sleep(BREAK_AT_S)
        service.response_time_s = response_time_s
        service.reset_watches()
        service.change()
        times = await asyncio.gather(*(one.wait_for_version(service.version) for one in instances))
        return max(times) - BREAK_AT_S

    assert run_in_simulated_time(measure()) <= bound_s


async def count_calls(
    disruption: Disruption, gateway_count: int, response_time_s: float, watched_s: float
) -> int:
    """Return how many calls an instance makes after its watch has been disrupted."""
    service = SimulatedDiscovery(response_time_s)
    instance = Instance.start(service, gateway_count)
    await asyncio.sleep(BREAK_AT_S)
    disruption(service)
    await asyncio.sleep(watched_s)
    instance.client.stop()
    return sum(time >= BREAK_AT_S for time in service.call_times)


@pytest.mark.parametrize(("gateway_count", "interval_s"), [(1, 1.0), (3, 2.5), (200, 2.5)])
def test_silent_service_gets_a_call_only_in_each_interval(gateway_count: int, interval_s: float) -> None:
    def go_silent(service: SimulatedDiscovery) -> None:
        service.silence_watches()
        service.lost_calls = 1000

    assert run_in_simulated_time(count_calls(go_silent, gateway_count, 0.0, 100.0)) <= 100.0 / interval_s


@pytest.mark.parametrize("gateway_count", [1, 3])
def test_calls_to_a_silent_service_are_given_up_before_they_use_up_the_descriptors(
    gateway_count: int,
) -> None:
    async def count_pending_calls() -> int:
        service = SimulatedDiscovery()
        service.lost_calls = 1000
        instance = Instance.start(service, gateway_count)
        await asyncio.sleep(300.0)
        pending_calls = service.pending_calls
        instance.client.stop()
        return pending_calls

    assert run_in_simulated_time(count_pending_calls()) <= 8


@pytest.mark.parametrize("response_time_s", [1.2, 2.0, 2.2])
def test_service_that_is_known_to_be_slow_gets_one_call_for_each_watch(response_time_s: float) -> None:
    """Guards against a second call for each watch, which would double the load of a slow service."""
    assert run_in_simulated_time(count_calls(reset, 3, response_time_s, 10.0)) == 1


def test_unconfirmed_list_is_used_no_earlier_while_discovery_is_slow() -> None:
    async def measure() -> float:
        instance = Instance.start(SimulatedDiscovery(CACHED_LIST_TIMEOUT_S - 1.0), gateway_count=3)
        confirmed_at = await instance.wait_for_version(FIRST_VERSION)
        assert instance.client.connected.is_set()
        return confirmed_at

    assert run_in_simulated_time(measure()) < CACHED_LIST_TIMEOUT_S

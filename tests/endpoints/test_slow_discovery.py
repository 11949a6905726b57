"""A change reaches the policy in time however slowly discovery answers, in simulated time.

Guards against calls that are given up before a slow service has answered them: the list then never changes,
and requests go to nodes that drain. The bounds are those of the platform, not of the code.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from itertools import product

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
QUIET_PERIODS = 5  # empty messages of a watch before it ends
SEEDS = 20
GIVE_UP_S = 100.0  # a change that takes longer never arrives
SLOWEST_S = {1: 2.8, 3: 2.8, 30: 2.3, 200: 2.3}  # response time that the bound leaves beside a silent watch
COUNTS = tuple(SLOWEST_S)
ALL_CALLS = 10**6


class WatchEnd(Enum):
    """What happens to the watch of each instance before the list changes."""

    NOT_STARTED = auto()
    RESET = auto()
    SILENT = auto()
    MOVED = auto()


@dataclass(slots=True, frozen=True)
class Scenario:
    """A change of the list that instances learn of by new calls.

    Attributes:
        watch_end: why they have to call.
        response_time_s: of each call from then on.
        gateway_counts: numbers of instances for which the bound has to hold.
        bound_s: seconds from the change, or from the end of the outage, to the list at the last instance.
        lost_calls: number of the next calls that are never answered.
        outage_s: time for which all calls are lost before the change.
        change_after_s: time from the end of the watch to the change.
        earlier_response_time_s: of each call before.
        rejects_version: whether a watch after the version held is rejected.
        is_cached: whether the instances start with a cached list.
        all_call: whether all instances are simulated, and the service answers one call at a time.
    """

    watch_end: WatchEnd
    response_time_s: float
    gateway_counts: Sequence[int] = COUNTS
    bound_s: float = PROPAGATION_BOUND_S
    lost_calls: int = 0
    outage_s: float = 0.0
    change_after_s: float = 0.0
    earlier_response_time_s: float = 0.0
    rejects_version: bool = False
    is_cached: bool = True
    all_call: bool = False


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

    def move(self, service: SimulatedDiscovery) -> None:
        self.client._open_transport = service.connect
        self.client.move(ADDRESS)


async def wait_for_version(instances: list[Instance], version: int) -> float:
    """Return the time at which the last of the instances had a version of the list."""
    async with asyncio.timeout(GIVE_UP_S):
        return max([await instance.arrivals[version] for instance in instances])


async def play(scenario: Scenario, gateway_count: int, seed: int) -> float:
    """Return how late the change is at the last instance."""
    service = SimulatedDiscovery(scenario.earlier_response_time_s, answers_in_turn=scenario.all_call)
    if scenario.watch_end is WatchEnd.NOT_STARTED:
        service.response_time_s = scenario.response_time_s
    instances = [
        Instance.start(service, gateway_count, seed + number, is_cached=scenario.is_cached)
        for number in range(gateway_count if scenario.all_call else 1)
    ]
    connected_at = await wait_for_version(instances, FIRST_VERSION)
    if scenario.watch_end is WatchEnd.NOT_STARTED:
        return connected_at
    await asyncio.sleep(QUIET_PERIODS * EMPTY_MESSAGE_INTERVAL_S + 0.001)  # just after an empty message
    if scenario.watch_end is WatchEnd.MOVED:
        service = SimulatedDiscovery()
    service.response_time_s = scenario.response_time_s
    service.lost_calls = ALL_CALLS if scenario.outage_s else scenario.lost_calls
    if scenario.rejects_version:
        service.oldest_version = FIRST_VERSION + 1
    match scenario.watch_end:
        case WatchEnd.RESET:
            service.reset_watches()
        case WatchEnd.SILENT:
            service.silence_watches()
        case WatchEnd.MOVED:
            instances[0].move(service)
    await asyncio.sleep(scenario.outage_s + scenario.change_after_s)
    service.lost_calls = scenario.lost_calls if not scenario.outage_s else 0
    changed_at = asyncio.get_running_loop().time()
    service.change()
    return await wait_for_version(instances, service.version) - changed_at


RESET, SILENT, MOVED, NEW = WatchEnd.RESET, WatchEnd.SILENT, WatchEnd.MOVED, WatchEnd.NOT_STARTED
SCENARIOS = [
    *(
        Scenario(RESET, slow_s, earlier_response_time_s=earlier)
        for slow_s, earlier in product((2, 4.5), (0, 2.8))
    ),
    *(Scenario(RESET, slow_s, lost_calls=1, earlier_response_time_s=2.8) for slow_s in (0.0, 2.8)),
    *(Scenario(RESET, slow_s, lost_calls=1) for slow_s in (0.0, 2.8)),
    Scenario(RESET, 2.3, rejects_version=True),
    *(Scenario(SILENT, SLOWEST_S[count], (count,)) for count in COUNTS),
    *(Scenario(SILENT, 0.2, lost_calls=1, earlier_response_time_s=earlier) for earlier in (0.0, 2.8)),
    *(Scenario(SILENT, slow_s, outage_s=long_s) for slow_s, long_s in product((0, 1.2, 2, 2.8), (5, 8, 45))),
    *(Scenario(MOVED, slow_s, bound_s=MOVE_BOUND_S) for slow_s in (2.0, 2.8, 3.9)),
    *(
        Scenario(MOVED, slow_s, bound_s=MOVE_BOUND_S, lost_calls=lost)
        for slow_s, lost in ((2.4, 1), (0.0, 2))
    ),
    *(Scenario(NEW, slow_s, bound_s=READY_BOUND_S) for slow_s in (1.2, 2.0, 2.8, 4.5, 8.0)),
    *(Scenario(NEW, slow_s, bound_s=READY_BOUND_S, is_cached=False) for slow_s in (1.2, 2.0, 2.8, 4.5, 8.0)),
    Scenario(NEW, CACHED_LIST_TIMEOUT_S - 1.3, bound_s=CACHED_LIST_TIMEOUT_S),
    Scenario(RESET, 1.7, (3,), all_call=True),
    Scenario(RESET, 0.15, (30,), all_call=True),
    Scenario(
        RESET, 1.0, (30,), all_call=True, bound_s=1.25 + 30 * 1.0
    ),  # one call of each, after its backoff
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=str)
def test_change_arrives_in_time_while_discovery_is_slow(scenario: Scenario) -> None:
    """Guards also against waiting too long for a lost call, which pulls the other way."""
    for gateway_count, seed in product(scenario.gateway_counts, range(1 if scenario.all_call else SEEDS)):
        delay_s = run_in_simulated_time(play(scenario, gateway_count, seed))
        assert delay_s <= scenario.bound_s, (gateway_count, seed)


@given(
    watch_end=st.sampled_from([RESET, SILENT]),
    gateway_count=st.sampled_from(COUNTS),
    share=st.floats(0, 1),
    seed=st.integers(0, 999),
    change_after_s=st.floats(0, 12),
)
@settings(deadline=None, max_examples=100, derandomize=True)
def test_change_at_any_time_arrives_in_time_while_discovery_is_slow(
    watch_end: WatchEnd, gateway_count: int, share: float, seed: int, change_after_s: float
) -> None:
    scenario = Scenario(watch_end, share * SLOWEST_S[gateway_count], change_after_s=change_after_s)
    assert run_in_simulated_time(play(scenario, gateway_count, seed)) <= PROPAGATION_BOUND_S


async def count_calls(service: SimulatedDiscovery, gateway_count: int, lost_calls: int) -> tuple[int, int]:
    """Return how many calls an instance makes within 100 s after a reset, and how many are then pending."""
    instance = Instance.start(service, gateway_count)
    await wait_for_version([instance], FIRST_VERSION)
    earlier_calls = len(service.call_times)
    service.lost_calls = lost_calls
    service.reset_watches()
    await asyncio.sleep(100.0)
    counts = len(service.call_times) - earlier_calls, service.pending_calls
    instance.client.stop()
    return counts


@pytest.mark.parametrize(("gateway_count", "interval_s"), [(1, 1.0), (3, 2.5), (200, 2.5)])
def test_silent_service_gets_few_calls_and_few_of_them_stay_pending(
    gateway_count: int, interval_s: float
) -> None:
    """Guards against pending calls that use up the descriptors."""
    counts = run_in_simulated_time(count_calls(SimulatedDiscovery(), gateway_count, ALL_CALLS))
    assert counts[0] <= 100.0 / interval_s
    assert counts[1] <= 8


@pytest.mark.parametrize("response_time_s", [1.2, 2.0, 2.2])
def test_service_that_is_known_to_be_slow_gets_one_call_for_each_watch(response_time_s: float) -> None:
    """Guards against a second call for each watch, which would double the load of a slow service."""
    counts = run_in_simulated_time(count_calls(SimulatedDiscovery(response_time_s), 3, 0))
    assert counts == (1, 0)


def test_message_that_arrives_as_the_watch_is_cancelled_is_not_published() -> None:
    """Guards against updates of a watch that has been superseded, which would replace newer ones."""

    async def change_and_stop() -> bool:
        service = SimulatedDiscovery()
        instance = Instance.start(service)
        await wait_for_version([instance], FIRST_VERSION)
        await asyncio.sleep(1.0)  # the watch waits for its next message
        service.change()
        instance.client.stop()
        await instance.client.wait_closed()
        return instance.arrivals[service.version].done()

    assert not run_in_simulated_time(change_and_stop())

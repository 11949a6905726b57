"""Tests with random events and all kinds of failures; the seven rules are checked by the actions alone."""

from __future__ import annotations

import math
import random
from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from storage_gateway import policy_api as api
from storage_gateway.policy_api import AttemptOutcome, EndpointState, IdempotencyScope, Repeatability
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)

CLASSES = [
    make_request_class(latency_objective_s=0.3),
    make_request_class(repeatability=Repeatability.NON_IDEMPOTENT, ordered_by_key=True),
    make_request_class(
        repeatability=Repeatability.IDEMPOTENT_WITH_KEY,
        idempotency_scope=IdempotencyScope.SHARD,
        idempotency_window_s=0.8,
        ordered_by_key=True,
    ),
    make_request_class(
        repeatability=Repeatability.IDEMPOTENT_WITH_KEY,
        idempotency_scope=IdempotencyScope.ALL,
        idempotency_window_s=0.8,
    ),
]
PLANS = [make_plan(), make_plan(rate_limit=6.0, rate_limit_burst=24.0)]
SAFETY = {
    "retry_budget_base": 2.0,
    "retry_budget_ratio": 0.2,
    "retry_budget_window_s": 1.0,
    "endpoint_poll_interval_s": 10.0,
    "key_cooldown_s": 0.1,
}
NEVER_EXECUTED = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
SHARDS = 3


class SimulatedDeployment:
    """Simulates clients, nodes and discovery, and records what the rules need to be checked."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        config = make_settings(CLASSES, PLANS, SAFETY, must_watch_endpoints=True, gateway_count=2)
        self.driver = PolicyDriver(
            config, [make_endpoint_entry(shard, shard) for shard in range(SHARDS)], now=50.0
        )
        self.safety = config.safety
        self.config = config
        self.state = dict.fromkeys(range(SHARDS), EndpointState.SERVING)
        self.started_at = dict.fromkeys(range(SHARDS), 0.0)
        self.arrivals: dict[str, api.RequestArrived] = {}
        self.open_requests: set[str] = set()
        self.in_flight: dict[str, tuple[int, int, float, float]] = {}  # attempt, node, sent at, ends at
        self.attempt_counts: dict[str, int] = defaultdict(int)
        self.possible_executions: dict[str, tuple[float, int]] = {}  # first attempt: sent at, node
        self.key_queues: dict[int, list[str]] = defaultdict(list)
        self.key_ready_at: dict[int, float] = defaultdict(float)
        self.accepted_at: list[float] = []
        self.retried_at: list[float] = []
        self.sent_to_node: dict[int, list[tuple[float, float]]] = defaultdict(list)  # time, units
        self.limit_draws: dict[int, list[tuple[float, float]]] = defaultdict(list)  # time, units by volume
        self.unit_time_s = math.inf  # least service time for a unit that the policy has estimated

    def request_class(self, name: str) -> api.RequestClass:
        return CLASSES[self.arrivals[name].class_index]

    def arrive(self) -> api.Event:
        now, rng = self.driver.now, self.rng
        volume = rng.randrange(6)
        event = self.driver.arrival(
            f"q{len(self.arrivals)}",
            class_index=rng.randrange(len(CLASSES)),
            plan_index=volume % 2,
            volume_id=volume,
            object_key=rng.randrange(4) if rng.random() < 0.8 else None,
            shard=rng.choice([-1, 0, 1, 2]),
            units=float(rng.randint(1, 6)),
            deadline=now + rng.choice([0.0, 0.01, 0.5, 2.0]),
            gateway_count=2,
        )
        self.arrivals[event.request_id] = event
        self.open_requests.add(event.request_id)
        self.accepted_at.append(now)
        if self.request_class(event.request_id).ordered_by_key and event.object_key is not None:
            self.key_queues[event.object_key].append(event.request_id)
        return event

    def finish(self, name: str, outcome: AttemptOutcome) -> api.Event:
        attempt, node, sent, _ = self.in_flight.pop(name)
        if outcome not in NEVER_EXECUTED and outcome is not AttemptOutcome.SERVED:
            self.possible_executions.setdefault(name, (sent, node))
        if outcome is AttemptOutcome.SERVED:
            self.open_requests.discard(name)
        key = self.arrivals[name].object_key
        may_be_executed = outcome in (
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.CONNECTION_RESET,
            AttemptOutcome.CANCELLED,
        )
        if may_be_executed and self.request_class(name).ordered_by_key and key is not None:
            self.key_ready_at[key] = self.driver.now + self.safety.key_cooldown_s
        self.leave_key_queue(name)
        return api.AttemptEnded(
            name, attempt, node, outcome, self.driver.now - sent, name not in self.open_requests
        )

    def leave_key_queue(self, name: str) -> None:
        key = self.arrivals[name].object_key
        is_over = name not in self.open_requests and name not in self.in_flight
        if is_over and key is not None and name in self.key_queues[key]:
            self.key_queues[key].remove(name)

    def change_endpoints(self) -> api.Event:
        if self.rng.random() < 0.2:
            return api.EndpointsChanged(api.EndpointUpdateKind.UNAVAILABLE, [])
        shard = self.rng.randrange(SHARDS)
        if self.state[shard] is EndpointState.SERVING:
            self.state[shard] = self.rng.choice([EndpointState.DRAINING, EndpointState.REMOVED])
        else:
            self.state[shard] = EndpointState.SERVING
            self.started_at[shard] = self.driver.now - self.rng.choice([0.0, 5.0, 50.0])
            self.sent_to_node[shard].clear()
        changed = make_endpoint_entry(shard, shard, self.state[shard], self.started_at[shard])
        return api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [changed])

    def step(self) -> None:
        driver, rng = self.driver, self.rng
        driver.now += rng.choice([0.0, 0.005, 0.02, 0.02])
        events: list[api.Event] = [api.TimerFired(0)]
        if rng.random() < 0.05:
            events.append(self.change_endpoints())
        for name, (_, _, _, ends_at) in list(self.in_flight.items()):
            if driver.now >= self.arrivals[name].deadline:
                events.append(self.finish(name, AttemptOutcome.TIMEOUT))
            elif driver.now >= ends_at:
                fails = rng.random() < 0.4
                events.append(
                    self.finish(name, rng.choice(list(AttemptOutcome)) if fails else AttemptOutcome.SERVED)
                )
        ended_requests = {event.request_id for event in events if isinstance(event, api.AttemptEnded)}
        if (cancellable := sorted(self.open_requests - ended_requests)) and rng.random() < 0.03:
            name = rng.choice(cancellable)
            self.open_requests.discard(name)
            self.leave_key_queue(name)
            events.append(api.ClientCancelled(name))
        events += [self.arrive() for _ in range(rng.choice([0, 0, 1, 3]))]
        checker = RuleChecker(self)
        for action in driver.step(*events):
            checker.check(action)
        overdue = [
            name
            for name in self.open_requests
            if self.arrivals[name].deadline < driver.now and name not in self.in_flight
        ]
        assert not overdue, f"requests past their deadline without a final response: {overdue}"


class RuleChecker:
    """Checks each action of the policy against the records of the deployment."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self.deployment = deployment

    def check(self, action: api.Action) -> None:
        now = self.deployment.driver.now
        if isinstance(action, api.SendAttempt):
            self.check_send(action.request_id, action.node_id, now)
        elif isinstance(action, api.RejectRequest | api.FailRequest):
            name = action.request_id
            assert name in self.deployment.open_requests, "more than one final response"
            assert name not in self.deployment.in_flight, "more than one final response"
            if isinstance(action, api.RejectRequest) and name in self.deployment.possible_executions:
                request_class = self.deployment.request_class(name)
                assert request_class.repeatability is Repeatability.REPEATABLE or (
                    request_class.repeatability is Repeatability.IDEMPOTENT_WITH_KEY
                    and request_class.idempotency_scope is IdempotencyScope.ALL
                )
            self.deployment.open_requests.discard(name)
            self.deployment.leave_key_queue(name)

    def check_send(self, name: str, node: int, now: float) -> None:
        arrival, request_class = self.deployment.arrivals[name], self.deployment.request_class(name)
        self.deployment.unit_time_s = min(
            self.deployment.unit_time_s, self.deployment.driver.policy.state.nodes.unit_time_s or math.inf
        )
        assert name in self.deployment.open_requests, "attempt of a request that is over"
        assert name not in self.deployment.in_flight, "two attempts of a request at once"
        assert self.deployment.attempt_counts[name] < self.deployment.config.max_attempts
        assert arrival.shard in (-1, node), "node does not own the shard"
        assert self.deployment.state[node] is EndpointState.SERVING, "node is draining or removed"
        self.check_effect(name, node, now)
        if request_class.ordered_by_key and arrival.object_key is not None:
            assert self.deployment.key_queues[arrival.object_key][0] == name, (
                "not the oldest request of its key"
            )
            assert now >= self.deployment.key_ready_at[arrival.object_key], "key cooldown"
        if self.deployment.attempt_counts[name]:
            self.check_retry_budget(now)
        else:
            self.check_rate_limit(arrival, now)
        self.deployment.sent_to_node[node].append((now, arrival.units))
        self.check_slow_start(node, now)
        ends_at = now + self.deployment.rng.choice([0.01, 0.05, 0.2, 1.0, 9.0])
        self.deployment.in_flight[name] = (self.deployment.attempt_counts[name], node, now, ends_at)
        self.deployment.attempt_counts[name] += 1

    def check_effect(self, name: str, node: int, now: float) -> None:
        if name not in self.deployment.possible_executions:
            return
        request_class = self.deployment.request_class(name)
        sent, first_node = self.deployment.possible_executions[name]
        assert request_class.repeatability is not Repeatability.NON_IDEMPOTENT, "possible second execution"
        if request_class.repeatability is Repeatability.IDEMPOTENT_WITH_KEY:
            assert now <= sent + request_class.idempotency_window_s
            assert request_class.idempotency_scope is IdempotencyScope.ALL or node == first_node

    def check_retry_budget(self, now: float) -> None:
        window = self.deployment.safety.retry_budget_window_s
        base = self.deployment.safety.retry_budget_base
        ratio = self.deployment.safety.retry_budget_ratio
        assert window is not None
        assert base is not None
        assert ratio is not None
        self.deployment.retried_at.append(now)
        recent = sum(time > now - window for time in self.deployment.accepted_at)
        used = sum(time > now - window for time in self.deployment.retried_at)
        assert used <= base + ratio * recent, "retry budget"

    def check_rate_limit(self, arrival: api.RequestArrived, now: float) -> None:
        plan = PLANS[arrival.plan_index]
        if not plan.rate_limit:
            return
        draws = self.deployment.limit_draws[arrival.volume_id]
        draws.append((now, arrival.units))
        for index, (start, _) in enumerate(draws):
            drawn = sum(units for _, units in draws[index:])
            allowed = (plan.rate_limit_burst + plan.rate_limit * (now - start)) / 2
            assert drawn <= allowed + 1e-6, "rate limit"

    def check_slow_start(self, node: int, now: float) -> None:
        safety = self.deployment.safety
        if (
            not self.deployment.started_at[node]
            or now - self.deployment.started_at[node] >= safety.slow_start_window_s
        ):
            return
        window = safety.overload_window_s
        sent = sum(units for time, units in self.deployment.sent_to_node[node] if time > now - window)
        usual_rate = (
            self.deployment.driver.policy.state.nodes.shard_rates.get(node, 0.0) * safety.overload_multiple
        )
        core_units = 2 * safety.overload_multiple / self.deployment.unit_time_s * window
        equal_share = (
            max(self.deployment.config.slow_start_units, core_units) / self.deployment.config.gateway_count
        )
        allowed = max(equal_share, usual_rate * window) + self.deployment.config.max_request_units
        assert sent <= allowed + 1e-6, "slow start"


@settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(st.integers(min_value=0, max_value=2**32))
def test_rules_hold_over_random_events(seed: int) -> None:
    deployment = SimulatedDeployment(seed)
    for _ in range(400):
        deployment.step()
    assert deployment.attempt_counts, "no attempt was sent"


def test_same_events_lead_to_same_actions() -> None:
    logs = []
    for _ in range(2):
        deployment = SimulatedDeployment(3)
        for _ in range(300):
            deployment.step()
        logs.append(deployment.driver.actions)
    assert logs[0] == logs[1]

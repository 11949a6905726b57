"""Tests of idempotency and attempt timeouts."""

from __future__ import annotations

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy.retries import LOST_RESPONSE_SHARE
from storage_gateway.policy_api import AttemptOutcome, IdempotencyScope, Repeatability
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)

NON_IDEMPOTENT = make_request_class(repeatability=Repeatability.NON_IDEMPOTENT)


ORDERED = make_request_class(ordered_by_key=True)


def final_responses(actions: list[api.Action], name: str) -> list[type]:
    """Return the types of the actions that give this request its final response."""
    types = (api.RejectRequest, api.FailRequest)
    return [type(action) for action in actions if isinstance(action, types) and action.request_id == name]


def test_timeout_at_the_deadline_fails_the_request_in_the_same_step() -> None:
    driver = PolicyDriver(make_settings([NON_IDEMPOTENT]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.now += 2.0
    assert final_responses(driver.end_attempt("a", AttemptOutcome.TIMEOUT), "a") == [api.FailRequest]


def test_outcome_after_the_client_cancelled_gets_no_response() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    assert driver.step(api.ClientCancelled("a")) == [api.CancelAttempt("a", 0)]
    assert driver.end_attempt("a", AttemptOutcome.CANCELLED, request_settled=True) == []
    assert driver.step(api.ClientCancelled("a")) == []


def test_an_overdue_attempt_is_cancelled_and_its_request_shed() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    driver.submit("lost")
    assert driver.run_until(driver.now + 0.52) == [api.CancelAttempt("lost", 0)]
    assert driver.end_attempt("lost", AttemptOutcome.CANCELLED, elapsed_s=0.52) == [api.RejectRequest("lost")]
    assert driver.submit("next") == [api.SendAttempt("next", 1)]


def test_an_attempt_at_a_slow_node_has_three_times_its_usual_time() -> None:
    driver = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    driver.nodes[1].unit_time_s = 0.5
    driver.submit("slow")
    assert driver.run_until(driver.now + 1.4) == []
    assert driver.run_until(driver.now + 0.3) == [api.CancelAttempt("slow", 0)]


def test_non_idempotent_attempt_is_not_cancelled_by_a_timeout_alone() -> None:
    driver = PolicyDriver(make_settings([NON_IDEMPOTENT]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    assert driver.run_until(driver.now + 1.9) == []


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_RESET]
)
def test_a_non_idempotent_request_that_may_have_been_executed_fails(outcome: AttemptOutcome) -> None:
    driver = PolicyDriver(make_settings([NON_IDEMPOTENT]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    assert final_responses(driver.end_attempt("a", outcome), "a") == [api.FailRequest]
    driver.run_until(103.0)
    assert driver.sent_request_ids() == ["a"]


def test_non_idempotent_request_is_retried_after_a_rejection() -> None:
    driver = PolicyDriver(make_settings([NON_IDEMPOTENT]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.end_attempt("a", AttemptOutcome.REJECTED)
    driver.run_until(101.0)
    assert driver.sent_request_ids() == ["a", "a"]


def test_repeatable_request_is_retried_up_to_the_maximum_of_attempts() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a", deadline=130.0)
    for _ in range(3):
        assert driver.requests["a"].in_flight
        actions = driver.end_attempt("a", AttemptOutcome.ERROR)
    assert final_responses(actions, "a") == [api.RejectRequest]
    assert driver.sent_request_ids() == ["a"] * 3


def test_a_keyed_request_is_attempted_again_only_within_its_idempotency_window() -> None:
    keyed = make_request_class(repeatability=Repeatability.IDEMPOTENT_WITH_KEY, idempotency_window_s=0.5)
    driver = PolicyDriver(make_settings([keyed]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.now += 0.6
    driver.end_attempt("a", AttemptOutcome.CONNECTION_RESET, elapsed_s=0.6)
    driver.run_until(101.9)
    assert driver.sent_request_ids() == ["a"]


def test_a_keyed_request_stays_in_its_zone_or_shard() -> None:
    for scope, retry_node in ((IdempotencyScope.ZONE, 3), (IdempotencyScope.SHARD, 1)):
        keyed = make_request_class(
            latency_objective_s=2.0, repeatability=Repeatability.IDEMPOTENT_WITH_KEY, idempotency_scope=scope
        )
        driver = PolicyDriver(
            make_settings([keyed]),
            [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2), make_endpoint_entry(3, 3)],
        )
        driver.nodes[1].queueing_delay_s = 0.001
        for node in (2, 3):
            driver.nodes[node].backoff_until = 101.0
        driver.submit("a", shard=-1)
        assert driver.actions[-1] == api.SendAttempt("a", 1)
        driver.nodes[1].backoff_until = 110.0 if scope is IdempotencyScope.ZONE else 101.0
        driver.end_attempt("a", AttemptOutcome.CONNECTION_RESET)
        driver.run_until(101.2)
        assert driver.actions[-1] == api.SendAttempt("a", retry_node)


def test_never_two_attempts_at_once() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.run_until(101.9)
    assert driver.sent_request_ids() == ["a"]


def driver_with_lost_response(class_repeatability: api.Repeatability) -> PolicyDriver:
    """Return a driver with ``a`` in flight at a node that has served ``b``, which was sent later."""
    driver = PolicyDriver(
        make_settings(
            [make_request_class(repeatability=class_repeatability)],
            [make_plan(expected_rate=80.0, reserved_rate=80.0)],
        ),
        [make_endpoint_entry(1, 1)],
    )
    driver.submit("a")
    driver.step(at=driver.now + 0.01)
    driver.submit("b")
    driver.step(at=driver.now + 0.01)
    driver.end_attempt("b", AttemptOutcome.SERVED, elapsed_s=0.01)
    return driver


def test_read_with_a_lost_response_is_cancelled_in_time_for_a_retry() -> None:
    driver = driver_with_lost_response(api.Repeatability.REPEATABLE)
    limit = driver.nodes[1].concurrency_limit
    assert api.CancelAttempt("a", 0) in driver.step(at=driver.now + LOST_RESPONSE_SHARE * 0.5)
    driver.end_attempt("a", AttemptOutcome.CANCELLED, elapsed_s=0.5)
    assert driver.nodes[1].concurrency_limit == limit, "a lost response is no failure of its node"
    assert driver.actions[-1] == api.SendAttempt("a", 1)


def test_write_with_a_lost_response_frees_its_slot_after_its_objective_and_is_not_retried() -> None:
    driver = driver_with_lost_response(api.Repeatability.NON_IDEMPOTENT)
    assert driver.step(at=driver.now + LOST_RESPONSE_SHARE * 0.5) == []
    assert api.CancelAttempt("a", 0) in driver.step(at=driver.now + 0.5)
    driver.end_attempt("a", AttemptOutcome.CANCELLED, elapsed_s=0.8)
    assert driver.actions[-1] == api.FailRequest("a")

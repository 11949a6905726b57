"""Idempotency, order by key, the retry budget, and attempts that take too long."""

from __future__ import annotations

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy.retries import LOST_ANSWER_SHARE
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


def answers(actions: list[api.Action], request: str) -> list[type]:
    finals = (api.RejectRequest, api.FailRequest)
    return [type(action) for action in actions if isinstance(action, finals) and action.request_id == request]


def test_timeout_at_the_deadline_is_answered_in_the_same_batch() -> None:
    driver = PolicyDriver(make_settings([NON_IDEMPOTENT]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.now += 2.0
    assert answers(driver.end_attempt("a", AttemptOutcome.TIMEOUT), "a") == [api.FailRequest]


def test_a_late_outcome_after_the_client_left_is_not_answered_again() -> None:
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


def test_no_non_idempotent_attempt_is_cancelled_on_time_alone() -> None:
    driver = PolicyDriver(make_settings([NON_IDEMPOTENT]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    assert driver.run_until(driver.now + 1.9) == []


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_RESET]
)
def test_a_non_idempotent_request_that_may_have_been_executed_fails(outcome: AttemptOutcome) -> None:
    driver = PolicyDriver(make_settings([NON_IDEMPOTENT]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    assert answers(driver.end_attempt("a", outcome), "a") == [api.FailRequest]
    driver.run_until(103.0)
    assert driver.sent() == ["a"]


def test_a_non_idempotent_request_rejected_unseen_is_tried_again() -> None:
    driver = PolicyDriver(make_settings([NON_IDEMPOTENT]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.end_attempt("a", AttemptOutcome.REJECTED)
    driver.run_until(101.0)
    assert driver.sent() == ["a", "a"]


def test_a_repeatable_request_is_tried_again_up_to_the_maximum_of_attempts() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a", deadline=130.0)
    for _ in range(3):
        assert driver.requests["a"].in_flight
        last = driver.end_attempt("a", AttemptOutcome.ERROR)
    assert answers(last, "a") == [api.RejectRequest]
    assert driver.sent() == ["a"] * 3


def test_a_keyed_request_is_attempted_again_only_within_its_idempotency_window() -> None:
    keyed = make_request_class(repeatability=Repeatability.IDEMPOTENT_WITH_KEY, idempotency_window_s=0.5)
    driver = PolicyDriver(make_settings([keyed]), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.now += 0.6
    driver.end_attempt("a", AttemptOutcome.CONNECTION_RESET, elapsed_s=0.6)
    driver.run_until(101.9)
    assert driver.sent() == ["a"]


def test_a_keyed_request_stays_in_its_zone_or_shard() -> None:
    for scope, fresh in ((IdempotencyScope.ZONE, 3), (IdempotencyScope.SHARD, 1)):
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
        assert driver.actions[-1] == api.SendAttempt("a", fresh)


def test_never_two_attempts_at_once() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.run_until(101.9)
    assert driver.sent() == ["a"]


def driver_with_lost_answer(repeat: api.Repeatability) -> PolicyDriver:
    """``a`` is in flight at a node that has answered ``b``, which was sent later."""
    driver = PolicyDriver(
        make_settings(
            [make_request_class(repeatability=repeat)], [make_plan(expected_rate=80.0, reserved_rate=80.0)]
        ),
        [make_endpoint_entry(1, 1)],
    )
    driver.submit("a")
    driver.step(at=driver.now + 0.01)
    driver.submit("b")
    driver.step(at=driver.now + 0.01)
    driver.end_attempt("b", AttemptOutcome.SERVED, elapsed_s=0.01)
    return driver


def test_a_read_whose_answer_is_lost_is_cancelled_in_time_for_another_attempt() -> None:
    driver = driver_with_lost_answer(api.Repeatability.REPEATABLE)
    limit = driver.nodes[1].concurrency_limit
    assert api.CancelAttempt("a", 0) in driver.step(at=driver.now + LOST_ANSWER_SHARE * 0.5)
    driver.end_attempt("a", AttemptOutcome.CANCELLED, elapsed_s=0.5)
    assert driver.nodes[1].concurrency_limit == limit, "a lost answer is no failure of its node"
    assert driver.actions[-1] == api.SendAttempt("a", 1)


def test_a_write_whose_answer_is_lost_gives_its_slot_back_past_its_objective_and_is_not_sent_again() -> None:
    driver = driver_with_lost_answer(api.Repeatability.NON_IDEMPOTENT)
    assert driver.step(at=driver.now + LOST_ANSWER_SHARE * 0.5) == []
    assert api.CancelAttempt("a", 0) in driver.step(at=driver.now + 0.5)
    driver.end_attempt("a", AttemptOutcome.CANCELLED, elapsed_s=0.8)
    assert driver.actions[-1] == api.FailRequest("a")

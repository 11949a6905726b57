"""Tests of the order by key and the retry budget."""

from __future__ import annotations

from storage_gateway import policy_api as api
from storage_gateway.policy_api import AttemptOutcome, Repeatability
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_request_class,
    make_settings,
)

ORDERED = make_request_class(ordered_by_key=True)


def test_requests_of_one_key_run_one_at_a_time_in_order() -> None:
    driver = PolicyDriver(make_settings([ORDERED, ORDERED]), [make_endpoint_entry(1, 1)])
    driver.step(
        driver.arrival("a", object_key=5),
        driver.arrival("b", object_key=5, class_index=1),
        driver.arrival("c", object_key=6),
    )
    assert sorted(driver.sent_request_ids()) == ["a", "c"]
    driver.end_attempt("a", AttemptOutcome.SERVED)
    assert driver.sent_request_ids()[-1] == "b"


def test_a_key_cools_down_after_an_attempt_that_may_still_be_executed() -> None:
    driver = PolicyDriver(
        make_settings([make_request_class(ordered_by_key=True, repeatability=Repeatability.NON_IDEMPOTENT)]),
        [make_endpoint_entry(1, 1)],
    )
    driver.step(driver.arrival("a", object_key=5), driver.arrival("b", object_key=5))
    driver.end_attempt("a", AttemptOutcome.TIMEOUT)
    driver.run_until(100.08)
    assert driver.sent_request_ids() == ["a"]
    driver.run_until(100.2)
    assert driver.sent_request_ids() == ["a", "b"]


def test_a_cancelled_request_blocks_its_key_while_its_attempt_is_in_flight() -> None:
    driver = PolicyDriver(make_settings([ORDERED]), [make_endpoint_entry(1, 1)])
    driver.step(driver.arrival("a", object_key=5), driver.arrival("b", object_key=5))
    driver.step(api.ClientCancelled("a"))
    assert driver.sent_request_ids() == ["a"]
    driver.end_attempt("a", AttemptOutcome.CANCELLED, request_settled=True)
    driver.run_until(100.2)
    assert driver.sent_request_ids() == ["a", "b"]


def test_retries_stay_within_the_retry_budget() -> None:
    budget = {"retry_budget_base": 1.0, "retry_budget_ratio": 0.0, "retry_budget_window_s": 1.0}
    driver = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=2.0)], safety=budget),
        [make_endpoint_entry(1, 1)],
    )
    driver.step(driver.arrival("a"), driver.arrival("b"))
    driver.end_attempt("a", AttemptOutcome.ERROR)
    driver.end_attempt("b", AttemptOutcome.ERROR)
    assert driver.sent_request_ids() == ["a", "b", "a"]
    driver.run_until(101.05)
    assert driver.sent_request_ids() == ["a", "b", "a", "b"]


def test_retry_budget_grows_with_accepted_requests() -> None:
    budget = {"retry_budget_base": 0.0, "retry_budget_ratio": 0.5, "retry_budget_window_s": 1.0}
    driver = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=2.0)], safety=budget),
        [make_endpoint_entry(1, 1)],
    )
    driver.submit("a")
    driver.end_attempt("a", AttemptOutcome.ERROR)
    assert driver.sent_request_ids() == ["a"]
    driver.submit("b", shard=9)
    assert driver.sent_request_ids() == ["a", "a"]

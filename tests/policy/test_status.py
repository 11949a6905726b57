"""Tests of the policy's fields of the periodic status line."""

from storage_gateway import policy_api as api
from tests.support.policy import PolicyDriver, make_endpoint_entry, make_plan, make_settings


def test_status_fields_count_arrivals_and_rejections_by_reason() -> None:
    driver = PolicyDriver(
        make_settings(plans=[make_plan(rate_limit=0.1, rate_limit_burst=0.2)]),
        [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2)],
    )
    driver.submit("limited")
    driver.submit("no endpoint", shard=9)
    driver.run_until(driver.now + 0.6)
    fields = driver.policy.status_fields()
    assert fields["arrived"] == 2
    assert (fields["rejected_rate_limit_reserved"], fields["rejected_no_endpoint_reserved"]) == (1, 1)
    assert (fields["nodes"], fields["queued"], fields["in_flight"], fields["warming_up"]) == (2, 0, 0, 0)
    assert "arrived" not in driver.policy.status_fields(), "counters are reset by each report"


def test_status_fields_count_attempts_and_outcomes() -> None:
    driver = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    driver.submit("a")
    driver.end_attempt("a", api.AttemptOutcome.ERROR)
    driver.end_attempt("a", api.AttemptOutcome.SERVED)
    fields = driver.policy.status_fields()
    assert (fields["sent_reserved"], fields["error"], fields["served"]) == (2, 1, 1)

"""The counters that the policy gives to the periodic status line."""

from storage_gateway import policy_api as api
from tests.support.policy import PolicyDriver, make_endpoint_entry, make_plan, make_settings


def test_the_policy_counts_what_it_did_and_why() -> None:
    host = PolicyDriver(
        make_settings(plans=[make_plan(rate_limit=0.1, rate_limit_burst=0.2)]),
        [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2)],
    )
    host.ask("limited")
    host.ask("nowhere", shard=9)
    host.run_until(host.now + 0.6)
    figures = host.policy.status_fields()
    assert (figures["arrived"], figures["given_up_limit_due"], figures["given_up_no_node_due"]) == (2, 1, 1)
    assert (figures["nodes"], figures["held"], figures["out"], figures["cold"]) == (2, 0, 0, 0)
    assert "arrived" not in host.policy.status_fields(), "counts begin anew with each report"


def test_outcomes_are_counted_by_kind() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.ask("a")
    host.end("a", api.AttemptOutcome.ERROR)
    host.end("a", api.AttemptOutcome.SERVED)
    figures = host.policy.status_fields()
    assert (figures["sent"], figures["error"], figures["served"]) == (2, 1, 1)

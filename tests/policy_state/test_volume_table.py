"""Tests of this instance's share of a reservation."""

from __future__ import annotations

from storage_gateway.policy_api import AttemptOutcome
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_settings,
)


def test_instance_uses_what_others_leave_of_a_reservation_by_the_reports_of_nodes() -> None:
    def reserved_rate(nodes_report: bool, other_units: float) -> float:
        """Return the final share of one of two instances of 8 reserved units a second."""
        driver = PolicyDriver(
            make_settings(plans=[make_plan(reserved_rate=8.0)], nodes_report_other_usage=nodes_report),
            [make_endpoint_entry(1, 1)],
        )
        for number in range(40):
            driver.submit(f"r{number}", gateway_count=2)
            driver.step(at=driver.now + 0.1)
            driver.end_attempt(
                f"r{number}", AttemptOutcome.SERVED, elapsed_s=0.1, units_elsewhere=other_units
            )
        return driver.policy.state.volumes.local_reserved_rate(1, 8.0, 2)

    assert reserved_rate(False, 0.0) == 4.0
    assert 7.5 < reserved_rate(True, 0.0) <= 8.0  # the other instance is idle
    assert 5.5 < reserved_rate(True, 0.2) < 6.5  # the other instance uses 2 units a second
    assert reserved_rate(True, 2.0) == 4.0  # the other instance uses more than its share

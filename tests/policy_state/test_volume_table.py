"""This instance's part of a reservation."""

from __future__ import annotations

from storage_gateway.policy_api import AttemptOutcome
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_settings,
)


def test_an_instance_has_what_the_others_leave_of_a_reservation_as_nodes_report() -> None:
    def reserved_rate(reports: bool, elsewhere: float) -> float:
        """Return what one of two instances takes for its part of 8 reserved units a second in the end."""
        driver = PolicyDriver(
            make_settings(plans=[make_plan(reserved_rate=8.0)], nodes_report_other_usage=reports),
            [make_endpoint_entry(1, 1)],
        )
        for number in range(40):
            driver.submit(f"r{number}", gateway_count=2)
            driver.step(at=driver.now + 0.1)
            driver.end_attempt(f"r{number}", AttemptOutcome.SERVED, elapsed_s=0.1, units_elsewhere=elsewhere)
        return driver.policy.state.volumes.reserved_rate_here(1, 8.0, 2)

    assert reserved_rate(False, 0.0) == 4.0
    assert 7.5 < reserved_rate(True, 0.0) <= 8.0  # the other one is idle
    assert 5.5 < reserved_rate(True, 0.2) < 6.5  # it takes two a second
    assert reserved_rate(True, 2.0) == 4.0  # it takes more than its part: an even one is this instance's

"""How long a front that was told to leave goes on taking requests."""

import pytest

from storage_gateway.service import LEAST_ACCEPTING, accepting_time


def test_a_leaving_front_takes_requests_while_the_quickest_class_can_be_served() -> None:
    assert accepting_time(3.55, [0.2, 0.3, 1.5]) == pytest.approx(3.15)
    assert accepting_time(3.55, [6.0, 0.8]) == pytest.approx(1.95)


def test_it_takes_what_clients_send_before_they_know_in_any_case() -> None:
    assert accepting_time(1.0, [2.0]) == LEAST_ACCEPTING

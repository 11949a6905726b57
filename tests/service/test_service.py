"""How long a gateway that shuts down goes on accepting requests."""

import unittest

import pytest

from storage_gateway.service import MIN_ACCEPT_TIME_S, accept_time_s


class AcceptTimeTest(unittest.TestCase):
    """The time follows from the shortest latency objective, and has a minimum."""

    def test_requests_are_accepted_while_the_quickest_class_can_be_served(self) -> None:
        assert accept_time_s(3.55, [0.2, 0.3, 1.5]) == pytest.approx(3.15)
        assert accept_time_s(3.55, [6.0, 0.8]) == pytest.approx(1.95)

    def test_requests_sent_before_clients_know_are_accepted_in_any_case(self) -> None:
        assert accept_time_s(1.0, [2.0]) == MIN_ACCEPT_TIME_S

"""Tests of the estimators, with expected values computed by hand."""

from __future__ import annotations

import pytest

from storage_gateway.policy_state.estimators import slope_through_origin


def test_fit_returns_slope_of_exactly_linear_points() -> None:
    assert slope_through_origin([(10.0, 0.5), (12.0, 0.6), (11.0, 0.55)]) == pytest.approx(0.05)


def test_fit_weights_larger_steps_more() -> None:
    # steps (1, 0.1) and (2, 0.1): (0.1 + 0.2) / (1 + 4)
    assert slope_through_origin([(1.0, 0.1), (2.0, 0.2), (4.0, 0.3)]) == pytest.approx(0.06)


@pytest.mark.parametrize("history", [[], [(5.0, 0.5)], [(5.0, 0.5), (5.0, 0.9)], [(5.0, 0.5), (6.0, 0.4)]])
def test_fit_is_none_without_a_positive_slope(history: list[tuple[float, float]]) -> None:
    assert slope_through_origin(history) is None

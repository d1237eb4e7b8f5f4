"""When refused callers are told to return."""

import pytest

from roadpass.return_schedule import MAX_INTERVAL_S, SPREAD_S, ReturnSchedule


def test_a_single_caller_returns_as_early_as_possible() -> None:
    """Nobody else was told to return."""
    schedule = ReturnSchedule()
    assert schedule.wait_s(0.0, "s", 0.5, 2.0) == 0.5
    assert schedule.wait_s(60.0, "s", 0.5, 2.0) == 0.5


def test_callers_return_one_after_the_other() -> None:
    """At the rate that the service accepts; services do not affect each other."""
    schedule = ReturnSchedule()
    waits = [schedule.wait_s(0.0, "s", 0.5, 0.1) for _ in range(5)]
    assert waits == pytest.approx([0.5, 0.6, 0.7, 0.8, 0.9])
    assert schedule.wait_s(0.0, "other", 0.5, 0.1) == 0.5


def test_many_callers_are_spread_over_a_bounded_time() -> None:
    """However low the rate is: none waits much longer than the first."""
    schedule = ReturnSchedule()
    waits = [schedule.wait_s(0.0, "s", 8.0, 90.0) for _ in range(100)]
    assert min(waits) == 8.0
    assert max(waits) <= 8.0 + SPREAD_S
    for moment in range(8, 13):
        together = sum(moment <= wait < moment + 1 for wait in waits)
        assert together <= 100 / (SPREAD_S / MAX_INTERVAL_S) * 2.5

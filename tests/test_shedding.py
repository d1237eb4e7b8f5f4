"""Cost of a target's shedding: proportional, learned and forgotten quickly."""

import pytest

from roadpass.outcome import Answered, NotRun, Reason, Unknown
from roadpass.shedding import FORGET_S, SHED_COST, Shedding

SHED = NotRun(Reason.SHED)
ANSWER = Answered(200, [], b"")
NOW = 100.0


def test_there_is_no_cost_where_nothing_was_shed() -> None:
    """Nor after outcomes that say nothing about shedding."""
    one = Shedding()
    assert one.cost(NOW) == 0.0
    for outcome in (ANSWER, NotRun(Reason.REFUSED), Unknown(Reason.TIMEOUT)):
        one.record(NOW, outcome)
        assert one.cost(NOW) == 0.0


def test_the_cost_is_proportional_to_the_share_that_is_shed() -> None:
    """Shedding half of the requests costs half as much as all of them, which costs one retry."""
    half, full = Shedding(), Shedding()
    for number in range(200):
        half.record(NOW, SHED if number % 2 else ANSWER)
        full.record(NOW, SHED)
    assert full.cost(NOW) == pytest.approx(SHED_COST)
    assert half.cost(NOW) == pytest.approx(SHED_COST / 2, rel=0.2)


def test_four_shed_requests_in_a_row_reach_most_of_the_cost() -> None:
    """An overloaded target is recognised before it has used up many retries."""
    one = Shedding()
    for _ in range(4):
        one.record(NOW, SHED)
    assert one.cost(NOW) > 0.7 * SHED_COST


def test_the_cost_decays_within_seconds() -> None:
    """So a target that is not selected meanwhile is tried again."""
    one = Shedding()
    for _ in range(9):
        one.record(NOW, SHED)
    losses = [one.cost(NOW + seconds) for seconds in (0.0, FORGET_S, 4.0 * FORGET_S)]
    assert losses == sorted(losses, reverse=True)
    assert losses[2] < 0.02 * losses[0]
    assert one.cost(NOW - 1.0) == losses[0]

"""What a target's shedding costs: graded, soon learnt, soon forgotten, and never a bar."""

import pytest

from roadpass.outcome import Answered, NotRun, Reason, Unknown
from roadpass.shedding import FORGET_S, SHED_COST, Shedding

SHED = NotRun(Reason.SHED)
ANSWER = Answered(200, [], b"")
NOW = 100.0


def test_nothing_is_lost_where_nothing_was_shed() -> None:
    """Nor after outcomes that tell nothing of it."""
    one = Shedding()
    assert one.cost(NOW) == 0.0
    for outcome in (ANSWER, NotRun(Reason.REFUSED), Unknown(Reason.TIMEOUT)):
        one.record(NOW, outcome)
        assert one.cost(NOW) == 0.0


def test_the_loss_follows_the_share_that_is_shed() -> None:
    """Half of all costs half of what all costs, which is no more than a repeat."""
    half, full = Shedding(), Shedding()
    for number in range(200):
        half.record(NOW, SHED if number % 2 else ANSWER)
        full.record(NOW, SHED)
    assert full.cost(NOW) == pytest.approx(SHED_COST)
    assert half.cost(NOW) == pytest.approx(SHED_COST / 2, rel=0.2)


def test_four_sheddings_in_a_row_tell_most() -> None:
    """A full target is known as such before it has cost many repeats."""
    one = Shedding()
    for _ in range(4):
        one.record(NOW, SHED)
    assert one.cost(NOW) > 0.7 * SHED_COST


def test_it_is_forgotten_in_seconds() -> None:
    """A target that nobody takes meanwhile is asked again."""
    one = Shedding()
    for _ in range(9):
        one.record(NOW, SHED)
    losses = [one.cost(NOW + seconds) for seconds in (0.0, FORGET_S, 4.0 * FORGET_S)]
    assert losses == sorted(losses, reverse=True)
    assert losses[2] < 0.02 * losses[0]
    assert one.cost(NOW - 1.0) == losses[0]

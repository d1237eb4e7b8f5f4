"""The hold of a target that sheds."""

from roadpass.outcome import Answered, NotRun, Reason, Unknown
from roadpass.shed_hold import SHED_HOLD_MAX_S, SHED_HOLD_S, ShedHold

SHED = NotRun(Reason.SHED)
NOW = 100.0


def test_new_work_is_taken_before_anything_was_shed() -> None:
    """Nothing is held at first, nor after outcomes that are no shedding."""
    hold = ShedHold()
    assert hold.refusal(NOW) is None
    for outcome in (Answered(500, [], b""), NotRun(Reason.REFUSED), Unknown(Reason.TIMEOUT)):
        hold.note(NOW, outcome)
        assert hold.refusal(NOW) is None


def test_shedding_holds_new_work_for_a_time() -> None:
    """The refusal says when to ask again."""
    hold = ShedHold()
    hold.note(NOW, SHED)
    assert hold.refusal(NOW + 0.1) == NotRun(Reason.SHED_LATELY, 101)
    assert hold.refusal(NOW + SHED_HOLD_S + 0.001) is None


def test_holds_grow_up_to_a_limit() -> None:
    """Each shedding doubles the next hold."""
    hold = ShedHold()
    now = NOW
    for held_s in (0.2, 0.4, 0.8, SHED_HOLD_MAX_S, SHED_HOLD_MAX_S):
        hold.note(now, SHED)
        assert hold.refusal(now + held_s - 0.01) is not None
        assert hold.refusal(now + held_s + 0.01) is None
        now += 10.0


def test_an_answer_makes_the_next_hold_short_again() -> None:
    """An answer ends the growth, but not the hold under way; a loss ends neither."""
    hold = ShedHold()
    hold.note(NOW, SHED)
    hold.note(NOW, SHED)
    hold.note(NOW, Unknown(Reason.TARGET_LOST))
    hold.note(NOW, Answered(200, [], b""))
    assert hold.refusal(NOW + 0.39) is not None
    hold.note(NOW + 1.0, SHED)
    assert hold.refusal(NOW + 1.0 + SHED_HOLD_S + 0.01) is None

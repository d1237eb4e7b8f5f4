"""The door: shut by one loss, opened by trials with repeatable work, never by luck alone."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.door import (
    GOODS_TO_OPEN,
    HOLD_MAX_S,
    HOLD_S,
    LATE_S,
    LONG_SHUT_S,
    STARVED_S,
    SURVIVED_S,
    Door,
)


def lose(door: Door, now: float) -> None:
    """Have a request lost."""
    assert door.end(now, door.begin(now), good=False, lost=True)


def succeed(door: Door, now: float) -> None:
    """Have a trial answered."""
    assert door.admits(now, repeatable=True)
    door.end(now, door.begin(now), good=True, lost=False)


def test_one_loss_shuts_it_and_work_that_must_not_repeat_stays_out() -> None:
    """Until trials have opened it again."""
    door = Door()
    assert door.admits(0.0, repeatable=False)
    lose(door, 0.0)
    assert not door.admits(0.01, repeatable=True)
    now = HOLD_S + 0.01
    for _ in range(GOODS_TO_OPEN):
        assert not door.admits(now, repeatable=False)
        succeed(door, now)
    assert door.admits(now, repeatable=False)


def test_one_good_trial_is_not_enough() -> None:
    """In a spell one in seven is good by luck."""
    door = Door()
    lose(door, 0.0)
    succeed(door, 1.0)
    assert door.shut


def test_one_trial_at_a_time_but_for_what_presses() -> None:
    """A request that nobody else would take need not wait for its turn."""
    door = Door()
    lose(door, 0.0)
    assert door.begin(1.0).trial
    assert not door.admits(1.0, repeatable=True)
    assert door.admits(1.0, repeatable=True, pressing=True)
    assert not door.admits(1.0, repeatable=False, pressing=True)


def test_trials_that_the_target_keeps_open_it_before_they_are_answered() -> None:
    """Resets come at once: what was kept for a moment shows that the spell is over."""
    door = Door()
    lose(door, 0.0)
    now = HOLD_S + 0.01
    first = door.begin(now)
    assert not door.admits(now + SURVIVED_S / 2, repeatable=True)
    now += SURVIVED_S
    assert door.admits(now, repeatable=True)
    assert not door.admits(now, repeatable=False)
    second = door.begin(now)
    now += SURVIVED_S
    assert door.admits(now, repeatable=False)
    door.end(now + 0.2, first, good=True, lost=False)
    door.end(now + 0.2, second, good=True, lost=False)
    assert not door.shut


def test_a_loss_that_is_noticed_a_little_late_shuts_it() -> None:
    """A busy node does not see at once what was lost at once."""
    door = Door()
    visit = door.begin(1.0)
    assert door.admits(1.0 + 2 * SURVIVED_S, repeatable=False)
    assert door.end(1.0 + 2 * SURVIVED_S, visit, good=False, lost=True)
    assert not door.admits(1.0 + 2 * SURVIVED_S, repeatable=False)


def test_what_would_be_lost_is_tried_only_after_a_long_time() -> None:
    """Then it is better than nothing: without any trial the door would stay shut."""
    door = Door()
    lose(door, 0.0)
    assert door.admits(HOLD_S, repeatable=True)
    assert not door.admits(HOLD_S, repeatable=True, spare=False)
    assert not door.admits(LONG_SHUT_S - 0.01, repeatable=True, spare=False)
    assert not door.admits(LONG_SHUT_S, repeatable=False, spare=False)
    assert door.admits(LONG_SHUT_S, repeatable=True, spare=False)
    door.end(LONG_SHUT_S, door.begin(LONG_SHUT_S), good=False, lost=True)
    assert not door.admits(LONG_SHUT_S + HOLD_MAX_S - 0.1, repeatable=True, spare=False)


def test_a_request_proves_the_moment_at_which_it_came() -> None:
    """Not before it was kept for a while, and nothing proves anything once one was lost."""
    door = Door()
    assert door.proven_age_s(0.0) == float("inf")
    kept = door.begin(1.0)
    assert door.proven_age_s(1.0 + SURVIVED_S / 2) == float("inf")
    assert door.proven_age_s(1.5) == 0.5
    door.end(2.0, kept, good=True, lost=False)
    assert door.proven_age_s(2.0) == 1.0
    lose(door, 2.0)
    assert door.proven_age_s(2.0) == float("inf")


def test_an_answer_lost_late_does_not_shut_it() -> None:
    """The target took the request: its answers may be lost, but not the next request at once."""
    door = Door()
    late = door.begin(1.0)
    assert not door.end(1.0 + LATE_S, late, good=False, lost=True)
    assert door.admits(1.5, repeatable=False)
    assert door.proven_age_s(1.5) == 0.5


def test_lost_trials_wait_longer_and_longer() -> None:
    """Up to a bound."""
    door = Door()
    now = 0.0
    lose(door, now)
    waits = []
    for _ in range(8):
        wait = door.wait_s(now)
        waits.append(round(wait, 6))
        now += wait + 0.001
        assert door.admits(now, repeatable=True)
        door.end(now, door.begin(now), good=False, lost=True)
    assert waits == sorted(waits)
    assert waits[0] < waits[1]
    assert waits[-1] == HOLD_MAX_S


def test_a_late_loss_does_not_shorten_the_waits() -> None:
    """A request that began before the door shut says nothing new."""
    door = Door()
    early = door.begin(0.0)
    lose(door, 0.0)
    for now in (2.0, 4.0, 6.0):
        door.end(now, door.begin(now), good=False, lost=True)
    door.end(6.0, early, good=False, lost=True)
    assert door.wait_s(6.0) > 2 * HOLD_S


def test_without_repeatable_work_it_opens_by_time() -> None:
    """A service whose routes must all not repeat has no trials."""
    door = Door()
    lose(door, 0.0)
    assert not door.admits(STARVED_S - 0.1, repeatable=False)
    assert door.admits(STARVED_S, repeatable=False)


@given(
    steps=st.lists(
        st.tuples(st.floats(0.0, 1.0), st.booleans(), st.sampled_from(["good", "lost", "other"]))
    )
)
def test_what_is_let_in_while_shut_may_always_repeat(
    steps: list[tuple[float, bool, str]],
) -> None:
    """Whatever happens, but for the time without any trial; and trials never count below zero."""
    door = Door()
    now, tried_at = 0.0, float("-inf")
    for wait, repeatable, end in steps:
        now += wait
        shut, starved = door.shut, now - tried_at >= STARVED_S
        if not door.admits(now, repeatable=repeatable):
            continue
        if shut and not starved:
            assert repeatable
        visit = door.begin(now)
        if visit.trial or end == "lost":
            tried_at = now
        door.end(now, visit, good=end == "good", lost=end == "lost")

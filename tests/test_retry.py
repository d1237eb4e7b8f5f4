"""The repeats that one target is given: never more in any window than its part of the slack."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.retry import RepeatAllowance

WINDOW_S = 10.0
SLACK = 6.0
RATIO = 0.2


def allowance() -> RepeatAllowance:
    """Return one with its slack."""
    return RepeatAllowance(RATIO, slack=SLACK, window_s=WINDOW_S)


def test_the_slack_is_spent_and_comes_back_with_first_arrivals_and_a_window_later() -> None:
    """A moment of losses gets the slack, and then what its traffic earns."""
    one = allowance()
    for _ in range(int(SLACK)):
        assert one.has_repeat_left(0.0)
        one.record_arrival(0.0, repeat=True)
    assert not one.has_repeat_left(0.0)
    for _ in range(5):
        one.record_arrival(5.0, repeat=False)
    assert one.has_repeat_left(5.0)
    one.record_arrival(5.0, repeat=True)
    assert not one.has_repeat_left(WINDOW_S - 0.1)
    assert one.has_repeat_left(WINDOW_S + 0.1)


def test_a_moment_of_losses_has_the_repeats_of_the_quiet_while_before_it() -> None:
    """All that the window's first arrivals earn, not only what a bucket would have held."""
    one = allowance()
    for number in range(40):
        one.record_arrival(0.2 * number, repeat=False)
    given = 0
    while one.has_repeat_left(8.0):
        one.record_arrival(8.0, repeat=True)
        given += 1
    assert given == RATIO * 40 + SLACK


def test_changed_settings_keep_what_was_spent() -> None:
    """A smaller fleet does not bring it back."""
    one = allowance()
    for _ in range(int(SLACK)):
        one.record_arrival(0.0, repeat=True)
    one.configure(RATIO, slack=SLACK, window_s=2 * WINDOW_S)
    assert not one.has_repeat_left(1.5 * WINDOW_S)
    one.configure(RATIO, slack=2 * SLACK, window_s=2 * WINDOW_S)
    assert one.has_repeat_left(1.5 * WINDOW_S)


def test_what_is_kept_is_bounded_by_a_window() -> None:
    """However long it lives, and whether or not anybody asks."""
    one = allowance()
    for number in range(10_000):
        one.record_arrival(0.1 * number, repeat=number % 7 == 0)
    assert len(one._firsts) + len(one._repeats) <= 101


@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=200))
def test_no_window_has_more_repeats_than_the_slack_and_the_share_of_first_arrivals(
    steps: list[tuple[float, bool]],
) -> None:
    """Whatever comes when."""
    one, now = allowance(), 0.0
    arrivals: list[tuple[float, bool]] = []
    for wait_s, repeat in steps:
        now += wait_s
        if repeat and not one.has_repeat_left(now):
            continue
        one.record_arrival(now, repeat=repeat)
        arrivals.append((now, repeat))
    for end, _ in arrivals:
        window = [repeat for at, repeat in arrivals if end - WINDOW_S < at <= end]
        repeats = sum(window)
        firsts = len(window) - repeats
        assert repeats <= SLACK + RATIO * firsts + 1e-6

"""The repeats that one target is given: never more in any window than its part of the slack."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.retry import RepeatAllowance

WINDOW_S = 10.0
SLACK = 6.0
RATIO = 0.2


def allowance() -> RepeatAllowance:
    """Return one that has half of its slack at once, and the other half over a window."""
    return RepeatAllowance(RATIO, burst=SLACK / 2, per_s=SLACK / 2 / WINDOW_S, now=0.0)


def test_the_burst_is_spent_and_comes_back_with_time_and_with_first_arrivals() -> None:
    """A moment of losses gets the burst, and then what its traffic earns."""
    one = allowance()
    for _ in range(3):
        assert one.has_one(0.0)
        one.arrive(0.0, repeat=True)
    assert not one.has_one(0.0)
    for _ in range(5):
        one.arrive(0.0, repeat=False)
    assert one.has_one(0.0)
    one.arrive(0.0, repeat=True)
    assert not one.has_one(1.0)
    assert one.has_one(WINDOW_S)


def test_changed_settings_keep_what_is_left() -> None:
    """A smaller fleet does not bring back what was spent."""
    one = allowance()
    for _ in range(3):
        one.arrive(0.0, repeat=True)
    one.configure(RATIO, burst=2 * SLACK, per_s=0.0)
    assert not one.has_one(100.0)


@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=200))
def test_no_window_has_more_repeats_than_the_slack_and_the_share_of_first_arrivals(
    steps: list[tuple[float, bool]],
) -> None:
    """Whatever comes when; first arrivals of the window before count, as they may be saved up."""
    one, now = allowance(), 0.0
    arrivals: list[tuple[float, bool]] = []
    for wait_s, repeat in steps:
        now += wait_s
        if repeat and not one.has_one(now):
            continue
        one.arrive(now, repeat=repeat)
        arrivals.append((now, repeat))
    for end, _ in arrivals:
        window = [repeat for at, repeat in arrivals if end - WINDOW_S < at <= end]
        repeats = sum(window)
        firsts = len(window) - repeats
        assert repeats <= SLACK + RATIO * firsts + 1e-6

"""The limit on repeats at one target, in every window."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.retry import RepeatAllowance

WINDOW_S = 10.0
SLACK = 6.0
RATIO = 0.2


def allowance() -> RepeatAllowance:
    """Return a new allowance."""
    return RepeatAllowance(RATIO, slack=SLACK, window_s=WINDOW_S)


def test_the_slack_is_spent_and_recovers_with_first_arrivals_and_after_a_window() -> None:
    """A burst of losses can use the slack, and then the share of first arrivals."""
    budget = allowance()
    for _ in range(int(SLACK)):
        assert budget.has_repeat_left(0.0)
        budget.record_arrival(0.0, repeat=True)
    assert not budget.has_repeat_left(0.0)
    for _ in range(5):
        budget.record_arrival(5.0, repeat=False)
    assert budget.has_repeat_left(5.0)
    budget.record_arrival(5.0, repeat=True)
    assert not budget.has_repeat_left(WINDOW_S - 0.1)
    assert budget.has_repeat_left(WINDOW_S + 0.1)


def test_a_burst_of_losses_has_the_repeats_of_the_quiet_period_before_it() -> None:
    """All that the first arrivals of the window allow, not only what a token bucket would hold."""
    budget = allowance()
    for number in range(40):
        budget.record_arrival(0.2 * number, repeat=False)
    granted = 0
    while budget.has_repeat_left(8.0):
        budget.record_arrival(8.0, repeat=True)
        granted += 1
    assert granted == RATIO * 40 + SLACK


def test_repeats_before_a_change_of_settings_still_count() -> None:
    """A new limit does not make spent repeats available again."""
    budget = allowance()
    for _ in range(int(SLACK)):
        budget.record_arrival(0.0, repeat=True)
    budget.configure(RATIO, slack=SLACK, window_s=2 * WINDOW_S)
    assert not budget.has_repeat_left(1.5 * WINDOW_S)
    budget.configure(RATIO, slack=2 * SLACK, window_s=2 * WINDOW_S)
    assert budget.has_repeat_left(1.5 * WINDOW_S)


def test_memory_is_bounded_by_the_window() -> None:
    """However long it is used, and even if it is never queried."""
    budget = allowance()
    for number in range(10_000):
        budget.record_arrival(0.1 * number, repeat=number % 7 == 0)
    assert len(budget._firsts) + len(budget._repeats) <= 101


@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=200))
def test_no_window_has_more_repeats_than_the_slack_and_the_share_of_first_arrivals(
    steps: list[tuple[float, bool]],
) -> None:
    """For any sequence of arrivals."""
    budget, now = allowance(), 0.0
    arrivals: list[tuple[float, bool]] = []
    for wait_s, repeat in steps:
        now += wait_s
        if repeat and not budget.has_repeat_left(now):
            continue
        budget.record_arrival(now, repeat=repeat)
        arrivals.append((now, repeat))
    for end, _ in arrivals:
        window = [repeat for at, repeat in arrivals if end - WINDOW_S < at <= end]
        repeats = sum(window)
        firsts = len(window) - repeats
        assert repeats <= SLACK + RATIO * firsts + 1e-6

"""The limit of a target's starts: rate, allowance, changes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.start_limit import ALLOWANCE_S, MIN_RATE_PER_S, StartLimit

WINDOW_S, TOLERANCE, EXCESS_REQUESTS = 4.0, 1.5, 5
"""Requests that a target may receive in a window: this multiple of its limit, and some more."""


def starts(limit: StartLimit, times: list[float]) -> list[float]:
    """Return the times at which a start could be taken."""
    return [now for now in times if limit.take(now)]


def test_without_a_limit_everything_starts() -> None:
    """At once."""
    limit = StartLimit()
    assert len(starts(limit, [0.0] * 100)) == 100
    assert limit.wait_s(0.0, 50) == 0.0


@pytest.mark.parametrize("rate_per_s", [0.2, 1.1, 2.0, 20.0])
def test_starts_follow_the_rate(rate_per_s: float) -> None:
    """A first limit has no allowance: its target has earlier requests to finish."""
    limit = StartLimit()
    limit.set_rate(10.0, rate_per_s)
    times = [10.0 + n / 1000.0 for n in range(40_001)]
    taken = starts(limit, times)
    assert taken[0] == pytest.approx(10.0 + 1.0 / rate_per_s, abs=0.002)
    assert len(taken) == pytest.approx(40.0 * rate_per_s, abs=1.0)


def test_the_wait_grows_with_the_requests_ahead() -> None:
    """And is over once the start can be taken."""
    limit = StartLimit()
    limit.set_rate(0.0, 2.0)
    assert limit.wait_s(0.0) == pytest.approx(0.5)
    assert limit.wait_s(0.1, 3) == pytest.approx(1.9)
    assert limit.wait_s(0.5) == 0.0
    assert limit.take(0.5)
    assert limit.wait_s(0.5) == pytest.approx(0.5)


def test_a_start_that_is_given_back_can_be_taken_again() -> None:
    """It was not used."""
    limit = StartLimit()
    limit.set_rate(0.0, 0.5)
    assert limit.take(2.0)
    assert not limit.take(2.0)
    limit.give_back()
    assert limit.take(2.0)


@pytest.mark.parametrize("rate_per_s", [0.0, 0.01])
def test_no_limit_stops_all_requests(rate_per_s: float) -> None:
    """Without a response nobody would learn of its end."""
    limit = StartLimit()
    limit.set_rate(0.0, rate_per_s)
    assert limit.wait_s(0.0) == pytest.approx(1.0 / MIN_RATE_PER_S)


def test_the_end_of_a_limit_lets_everything_start() -> None:
    """A later one begins without allowance again."""
    limit = StartLimit()
    limit.set_rate(0.0, 1.0)
    limit.set_rate(1.0, None)
    assert len(starts(limit, [1.0] * 50)) == 50
    limit.set_rate(90.0, 1.0)
    assert not limit.take(90.0)


# Guards against an allowance, a change of the limit or a start given back that adds up to more.
@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.7), st.sampled_from(["take", "use", "burst", "return", "same"])),
        max_size=300,
    ),
    st.floats(0.0, 50.0),
)
def test_no_window_has_more_than_the_rule_tolerates(
    steps: list[tuple[float, str]], rate_per_s: float
) -> None:
    """Whatever the order of waits, bursts, returned starts and repeated limits."""
    limit = StartLimit()
    limit.set_rate(0.0, rate_per_s)
    now, used = 0.0, []
    for wait_s, action in steps:
        now += wait_s
        match action:
            case "return" if limit.take(now):
                limit.give_back()
            case "same":
                limit.set_rate(now, rate_per_s)
            case "burst":
                used += starts(limit, [now] * 60)
            case _:
                used += starts(limit, [now])
    kept = max(rate_per_s, MIN_RATE_PER_S)
    for begin in used:
        count = sum(begin <= at < begin + WINDOW_S for at in used)
        assert count <= kept * (WINDOW_S + ALLOWANCE_S) + 1.0
        assert count <= TOLERANCE * WINDOW_S * rate_per_s + EXCESS_REQUESTS

"""Usual times: learnt from few answers, never so sure that one slow request settles anything."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from roadpass.usual import KNOWN_FROM, TAIL, UsualTime


def learnt(times_ms: list[float]) -> UsualTime:
    """Return an estimate from answers."""
    usual = UsualTime()
    for time_ms in times_ms:
        usual.add(time_ms)
    return usual


def test_what_was_not_seen_often_enough_is_unknown() -> None:
    """Then no time is too long."""
    usual = learnt([100.0] * (KNOWN_FROM - 1))
    assert not usual.known
    assert usual.typical_ms == usual.most_ms(2.0) == 0.0
    assert usual.longer(1e6) == 1.0


def test_it_finds_the_times_of_lognormal_work() -> None:
    """The typical time, and the share that takes longer than two spreads more."""
    rng = random.Random(1)
    usual = learnt([math.exp(rng.gauss(math.log(200.0), 0.6)) for _ in range(400)])
    assert 150.0 < usual.typical_ms < 260.0
    assert 0.4 < usual.longer(200.0) < 0.65
    assert usual.longer(usual.most_ms(3.0)) < 2.0 * TAIL


def test_it_follows_a_target_that_changes_its_speed() -> None:
    """What was seen long ago is forgotten."""
    usual = learnt([50.0] * 200 + [500.0] * 200)
    assert 400.0 < usual.typical_ms < 600.0


@given(
    st.lists(st.floats(0.1, 60_000.0), max_size=60),
    st.floats(0.0, 1e6),
    st.floats(0.0, 1e6),
)
def test_longer_is_a_share_that_falls_with_time_and_keeps_a_tail(
    times_ms: list[float], one_ms: float, other_ms: float
) -> None:
    """Whatever was seen."""
    usual = learnt(times_ms)
    sooner, later = sorted((one_ms, other_ms))
    assert TAIL <= usual.longer(later) <= usual.longer(sooner) <= 1.0

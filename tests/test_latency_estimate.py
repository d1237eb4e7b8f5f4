"""Latency estimates: learned from few responses, never so narrow that one slow request decides."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from roadpass.latency_estimate import MIN_SAMPLES, TAIL_SHARE, LatencyEstimate


def learned(times_ms: list[float]) -> LatencyEstimate:
    """Return an estimate from latencies in milliseconds."""
    estimate = LatencyEstimate()
    for time_ms in times_ms:
        estimate.add(time_ms)
    return estimate


def test_too_few_samples_give_no_estimate() -> None:
    """No latency counts as too long then."""
    estimate = learned([100.0] * (MIN_SAMPLES - 1))
    assert not estimate.known
    assert estimate.typical_ms == estimate.upper_ms(2.0) == 0.0
    assert estimate.share_longer(1e6) == 1.0


def test_it_fits_lognormal_latencies() -> None:
    """The median, and the share beyond three standard deviations."""
    rng = random.Random(1)
    estimate = learned([math.exp(rng.gauss(math.log(200.0), 0.6)) for _ in range(400)])
    assert 150.0 < estimate.typical_ms < 260.0
    assert 0.4 < estimate.share_longer(200.0) < 0.65
    assert estimate.share_longer(estimate.upper_ms(3.0)) < 2.0 * TAIL_SHARE


def test_it_follows_a_target_that_changes_its_speed() -> None:
    """Old latencies lose their weight."""
    estimate = learned([50.0] * 200 + [500.0] * 200)
    assert 400.0 < estimate.typical_ms < 600.0


@given(
    st.lists(st.floats(0.1, 60_000.0), max_size=60),
    st.floats(0.0, 1e6),
    st.floats(0.0, 1e6),
)
def test_longer_is_a_share_that_falls_with_time_and_keeps_a_tail(
    times_ms: list[float], one_ms: float, other_ms: float
) -> None:
    """For any latencies."""
    estimate = learned(times_ms)
    sooner, later = sorted((one_ms, other_ms))
    assert TAIL_SHARE <= estimate.share_longer(later) <= estimate.share_longer(sooner) <= 1.0

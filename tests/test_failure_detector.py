"""Sequential tests on targets that are faulty, healthy, or as slow as all others."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.adaptive_limit import AdaptiveLimit
from roadpass.ejector import State
from roadpass.failure_detector import (
    FAILURE_BASE,
    FULL_FAILURE,
    PARTIAL_FAILURE,
    Detector,
    Sample,
    threshold,
    wald_samples,
)
from roadpass.fleet import Service, TrafficClass
from roadpass.health import Presence, ServiceHealth
from tests import naive

WEEKLY = 0.1


def samples_until_fired(failing: float, seed: int) -> int:
    """Return the number of samples until a target with this failure rate is detected."""
    rng = random.Random(seed)
    detector = Detector(threshold(WEEKLY))
    while detector.scores.worst < 1.0:
        detector.observe(Sample(rng.random() < failing, 5.0))
    return detector.samples


@pytest.mark.parametrize("failing", [0.3, 0.5, 1.0])
def test_samples_stay_near_walds_bound(failing: float) -> None:
    """Detection must not be much slower than the theoretical minimum, as a mean of seeded runs."""
    runs = [samples_until_fired(failing, seed) for seed in range(200)]
    bound = wald_samples(threshold(WEEKLY), 0.005, failing)
    assert sum(runs) / len(runs) <= 1.5 * bound + 1.0


def test_a_dead_target_is_detected_after_five_failures() -> None:
    """No slower than a simple failure count, even with a low rate of false ejections."""
    detector = Detector(threshold(0.01))
    for _ in range(5):
        detector.observe(Sample(True, 5.0))
    assert detector.scores.worst >= 1.0


def test_healthy_target_is_not_ejected_in_many_samples() -> None:
    """Guards against false ejections at the base failure rate with long-tailed service times."""
    rng = random.Random(7)
    detector = Detector(threshold(WEEKLY))
    worst = 0.0
    for _ in range(300_000):
        sample = Sample(rng.random() < 0.003, rng.lognormvariate(1.5, 0.4))
        detector.observe(sample, slow_ms=13.0)
        worst = max(worst, detector.scores.worst)
    assert worst < 1.0


def service_health(floor: int = 10) -> ServiceHealth:
    """Return the health of a service with four targets that have ramped up."""
    service = Service(
        "s", floor, WEEKLY, 1000, 500, 10, 10, 0.1, 10.0, 0.0, None, (TrafficClass("c", 0.0),)
    )
    health = ServiceHealth(service)
    for now in (0.0, 1.0):
        health.step(now, present())
    return health


def present() -> dict[str, Presence]:
    """Return four available targets."""
    return {name: Presence(10) for name in "abcd"}


def feed(health: ServiceHealth, rng: random.Random, slow: str, factor: float, rounds: int) -> None:
    """Record equally many samples for each target, longer by a factor for those in `slow`."""
    for n in range(rounds):
        for name in "abcd":
            scale = factor if name in slow else 1.0
            health.record(name, Sample(False, rng.lognormvariate(1.5, 0.3) * scale))
        health.step(2.0 + n / 20.0, present())


def test_one_slow_target_is_ejected_and_a_common_slowdown_ejects_none() -> None:
    """Slowness counts relative to the other targets of the service."""
    rng = random.Random(3)
    one, all_ = service_health(), service_health()
    feed(one, rng, "", 1.0, 200)
    feed(one, rng, "b", 5.0, 30)
    assert one.state("b") is State.EJECTED
    feed(all_, rng, "", 1.0, 200)
    feed(all_, rng, "abcd", 5.0, 300)
    assert {all_.state(name) for name in "abcd"} == {State.IN_SERVICE}


def test_one_short_stall_ejects_no_target() -> None:
    """Ten concurrent slow requests are one event, not ten."""
    detector = Detector(threshold(1.0))
    for second in range(200):
        detector.observe(Sample(False, 5.0), slow_ms=20.0, at=float(second))
    for _ in range(10):
        detector.observe(Sample(False, 120.0), slow_ms=20.0, at=200.1)
    assert detector.scores.slow < 1.0
    for second in range(10):
        detector.observe(Sample(False, 120.0), slow_ms=20.0, at=201.0 + second)
    assert detector.scores.slow >= 1.0


def test_pending_requests_count_before_they_time_out() -> None:
    """A hanging target is ejected without a single finished request."""
    health = service_health()
    feed(health, random.Random(1), "", 1.0, 100)
    for _ in range(12):
        health.record_pending("c")
    health.step(50.0, present())
    assert health.state("c") is State.EJECTED


@given(st.lists(st.booleans(), max_size=40))
def test_scores_agree_with_the_reference_model(outcomes: list[bool]) -> None:
    """The running sums equal the maximum over all suffixes, as long as no cap is reached."""
    detector = Detector(1000.0)
    for failed in outcomes:
        detector.observe(Sample(failed, 5.0))
    partial = naive.cusum(outcomes, FAILURE_BASE, PARTIAL_FAILURE)
    full = naive.cusum(outcomes, FAILURE_BASE, FULL_FAILURE)
    assert detector.scores.failure * 1000.0 == pytest.approx(max(partial, full))


@given(st.lists(st.tuples(st.floats(0.1, 500.0), st.integers(1, 20)), max_size=60))
def test_adaptive_limit_stays_between_one_and_the_slots(samples: list[tuple[float, int]]) -> None:
    """For any samples; a target that is no longer slow gets its full limit back."""
    limit = AdaptiveLimit(10)
    for second, (service_ms, in_use) in enumerate(samples):
        limit.observe(float(second), service_ms, 50.0, in_use)
        assert 1 <= limit.value <= 10
    for second in range(200):
        limit.observe(100.0 + second, 1.0, 50.0, limit.value)
    assert limit.value == 10

"""Passive detection of failing targets by sequential tests on the outcomes of real requests.

For each target, cumulative-sum tests (Page, 1954) of a log-likelihood ratio: how much better
"faulty" explains the latest run of outcomes than "healthy". A test fires at a threshold `h`; at a
healthy target that takes at least e^h samples on average (Lorden, 1971), so `h` follows from the
accepted rate of false ejections.
"""

import math
from typing import NamedTuple

FAILURE_BASE = 0.005
FAILURE_BASE_MAX = 0.2
PARTIAL_FAILURE = 0.25
FULL_FAILURE = 0.9
SLOW_BASE = 0.05
SLOW_FAULTY = 0.5
NOMINAL_SAMPLES_PER_SECOND = 50.0
SECONDS_PER_WEEK = 7 * 24 * 3600
TESTS = 3
"""Tests run in parallel: partial failure, full failure, slowness."""
QUANTILE = 0.95
QUANTILE_STEP = 0.05
QUANTILE_MIN_SAMPLES = 30
"""Minimum number of values before the estimate is used."""
RATE_SMOOTHING = 0.002
OVERLAP_WEIGHT = 0.25
"""Weight of a slow sample that overlapped another one: both may share a cause, such as one short
stall."""
SCORE_CAP = 1.5
"""Scores are capped at this multiple of the threshold, so that a recovery shows soon."""


class Sample(NamedTuple):
    """Outcome of one request at one target, with its service time in milliseconds."""

    failed: bool
    service_ms: float


class Scores(NamedTuple):
    """Evidence against a target relative to the threshold: a test fires at 1.0."""

    failure: float
    slow: float

    @property
    def worst(self) -> float:
        """The higher of the two scores."""
        return max(self.failure, self.slow)


def threshold(
    false_ejections_per_week: float,
    samples_per_second: float = NOMINAL_SAMPLES_PER_SECOND,
) -> float:
    """Return the threshold `h` in nats that limits false ejections to a given rate.

    Args:
        false_ejections_per_week: Maximum rate for one target.
        samples_per_second: Requests per second that the target serves.
    """
    samples = samples_per_second * SECONDS_PER_WEEK
    return math.log(TESTS * samples / false_ejections_per_week)


def wald_samples(h: float, base: float, faulty: float) -> float:
    """Return Wald's bound: the lowest mean number of samples of any test with threshold `h`.

    Args:
        h: Threshold in nats.
        base: Probability of a bad outcome at a healthy target.
        faulty: Actual probability of a bad outcome.
    """
    divergence = faulty * math.log(faulty / base)
    if faulty < 1.0:
        divergence += (1.0 - faulty) * math.log((1.0 - faulty) / (1.0 - base))
    return h / divergence


class Quantile:
    """Running estimate of a quantile of positive values, adjusted in multiplicative steps."""

    def __init__(self, quantile: float = QUANTILE, *, step: float = QUANTILE_STEP) -> None:
        self._up = 1.0 + step * quantile
        self._down = 1.0 - step * (1.0 - quantile)
        self._value = 0.0
        self._count = 0

    @property
    def value(self) -> float:
        """The estimate, 0 while there are too few values."""
        return self._value if self._count >= QUANTILE_MIN_SAMPLES else 0.0

    def add(self, value: float) -> None:
        """Update the estimate with one value."""
        self._count += 1
        if self._value == 0.0:
            self._value = 2.0 * value
        self._value *= self._up if value > self._value else self._down


class _Cusum:
    """One cumulative-sum test of a Bernoulli outcome."""

    __slots__ = ("_bad", "_base", "_cap", "_faulty", "_good", "score")

    def __init__(self, base: float, faulty: float, cap: float) -> None:
        self._faulty = faulty
        self._cap = cap
        self.score = 0.0
        self._set(base)

    def rebase(self, base: float) -> None:
        if abs(base - self._base) > 0.1 * self._base:
            self._set(base)

    def add(self, bad: bool, *, weight: float = 1.0) -> None:
        score = self.score + weight * (self._bad if bad else self._good)
        self.score = min(self._cap, max(0.0, score))

    def _set(self, base: float) -> None:
        faulty = max(self._faulty, min(0.95, 2.0 * base))
        self._base = base
        self._bad = math.log(faulty / base)
        self._good = math.log((1.0 - faulty) / (1.0 - base))


class Detector:
    """Collects the evidence against one target; not thread-safe.

    Args:
        h: Threshold in nats, see `threshold`.
    """

    def __init__(self, h: float) -> None:
        self._h = h
        cap = SCORE_CAP * h
        self._partial = _Cusum(FAILURE_BASE, PARTIAL_FAILURE, cap)
        self._full = _Cusum(FAILURE_BASE, FULL_FAILURE, cap)
        self._slow = _Cusum(SLOW_BASE, SLOW_FAULTY, cap)
        self._failure_rate = 0.0
        self._latency = Quantile()
        self._samples = 0
        self._good_run = 0
        self._slow_until = float("-inf")

    @property
    def scores(self) -> Scores:
        """Current evidence relative to the threshold."""
        failure = max(self._partial.score, self._full.score)
        return Scores(failure / self._h, self._slow.score / self._h)

    @property
    def samples(self) -> int:
        """Number of samples since the last reset."""
        return self._samples

    @property
    def good_run(self) -> int:
        """Number of consecutive latest samples that were neither failed nor slow."""
        return self._good_run

    @property
    def failure_rate(self) -> float:
        """Exponentially smoothed failure rate."""
        return self._failure_rate

    @property
    def latency_ms(self) -> float:
        """95th percentile of the service time of successes, 0 if unknown."""
        return self._latency.value

    def observe(
        self,
        sample: Sample,
        *,
        slow_ms: float = 0.0,
        base_failure: float = FAILURE_BASE,
        counted_slow: bool = False,
        at: float | None = None,
    ) -> None:
        """Update the tests with one finished request.

        Args:
            sample: Its outcome.
            slow_ms: Service time that counts as slow for this service, 0 if unknown.
            base_failure: Failure rate of the service's other targets.
            counted_slow: Whether `observe_pending` already counted it as slow.
            at: When it ended, in seconds; `None` to ignore overlaps between slow samples.
        """
        base = min(FAILURE_BASE_MAX, max(FAILURE_BASE, base_failure))
        self._partial.rebase(base)
        self._full.rebase(base)
        self._samples += 1
        self._partial.add(sample.failed)
        self._full.add(sample.failed)
        self._failure_rate += RATE_SMOOTHING * (float(sample.failed) - self._failure_rate)
        slow = 0.0 < slow_ms < sample.service_ms
        self._good_run = 0 if sample.failed or slow else self._good_run + 1
        if sample.failed:
            return
        self._latency.add(sample.service_ms)
        if slow_ms > 0.0 and not counted_slow:
            self._slow.add(slow, weight=self._slow_weight(sample, at) if slow else 1.0)

    def observe_pending(self) -> None:
        """Count a request as slow that is pending for far longer than slow ones take."""
        self._slow.add(True)
        self._good_run = 0

    def _slow_weight(self, sample: Sample, at: float | None) -> float:
        """Return the weight of a slow sample, reduced if it overlapped another slow one."""
        if at is None:
            return 1.0
        if at - sample.service_ms / 1000.0 < self._slow_until:
            return OVERLAP_WEIGHT
        self._slow_until = at
        return 1.0

    def reset(self) -> None:
        """Clear the evidence but keep the estimates of latency and failure rate."""
        for test in (self._partial, self._full, self._slow):
            test.score = 0.0
        self._samples = 0
        self._good_run = 0

"""Latency estimate of one kind of request, learned from the requests that succeeded."""

import math

MIN_SAMPLES = 2
"""Responses from which on the typical latency counts as known; the prior spread has the weight of a
few more."""
MEMORY = 40
"""Responses to average over: about ten seconds of one target, so that the estimate follows changes
in its speed."""
SPREAD = 0.5
"""Prior standard deviation of the logarithm, its weight in responses, and the minimum: a few
similar responses do not make the next one late."""
SPREAD_WEIGHT = 4.0
SPREAD_MIN = 0.3
TAIL_SHARE = 0.02
"""Share of requests at healthy targets that may take any time: some take many times the typical
latency, so that no wait, however long, is proof of a failure."""


class LatencyEstimate:
    """Lognormal latency estimate of one kind of request at healthy targets; not thread-safe."""

    __slots__ = ("_count", "_mean", "_variance")

    def __init__(self) -> None:
        self._count = 0
        self._mean = 0.0
        self._variance = 0.0

    @property
    def known(self) -> bool:
        """Whether there were enough responses for an estimate."""
        return self._count >= MIN_SAMPLES

    @property
    def typical_ms(self) -> float:
        """Median in milliseconds, 0 while unknown."""
        return math.exp(self._mean) if self.known else 0.0

    def add(self, took_ms: float) -> None:
        """Add the latency of a successful request, in milliseconds."""
        self._count = min(MEMORY, self._count + 1)
        step = 1.0 / self._count
        off = math.log(max(1.0, took_ms)) - self._mean
        self._mean += step * off
        self._variance = (1.0 - step) * (self._variance + step * off * off)

    def share_longer(self, ms: float, expected_ms: float = 0.0) -> float:
        """Return the share of requests at a healthy target that take longer, 1 while unknown.

        Args:
            ms: Milliseconds.
            expected_ms: Median to assume while the estimate is unknown here, 0 for none.
        """
        if ms <= 1.0 or not (self.known or expected_ms > 1.0):
            return 1.0
        mean = self._mean if self.known else math.log(expected_ms)
        z = (math.log(ms) - mean) / (self._spread() * math.sqrt(2.0))
        return TAIL_SHARE + (1.0 - TAIL_SHARE) * 0.5 * math.erfc(z)

    def upper_ms(self, spreads: float) -> float:
        """Return the milliseconds that many standard deviations above the median, 0 if unknown."""
        return math.exp(self._mean + spreads * self._spread()) if self.known else 0.0

    def _spread(self) -> float:
        weight = self._count + SPREAD_WEIGHT
        variance = (self._count * self._variance + SPREAD_WEIGHT * SPREAD**2) / weight
        return max(SPREAD_MIN, math.sqrt(variance))

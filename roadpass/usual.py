"""How long requests of one kind usually take, learnt from those that were answered."""

import math

MIN_SAMPLES = 2
"""Answers from which on the usual time is taken as known; what is expected of its spread has the
weight of some more."""
MEMORY = 40
"""Answers over which is averaged: some ten seconds of one target, so that it follows its speed."""
SPREAD = 0.5
"""Spread of the logarithm expected before there are answers, the weight of that, in answers, and
the least that is believed: a few answers alike do not make the next one late."""
SPREAD_WEIGHT = 4.0
SPREAD_MIN = 0.3
TAIL_SHARE = 0.02
"""Share of sound requests of which nothing is expected: some take many times as long as usual, so
that silence, however long, is no proof."""


class LatencyEstimate:
    """A lognormal estimate of the time that sound requests of one kind take."""

    __slots__ = ("_count", "_mean", "_variance")

    def __init__(self) -> None:
        self._count = 0
        self._mean = 0.0
        self._variance = 0.0

    @property
    def known(self) -> bool:
        """Whether enough were answered to tell."""
        return self._count >= MIN_SAMPLES

    @property
    def typical_ms(self) -> float:
        """Milliseconds that half of them take at most, 0 while unknown."""
        return math.exp(self._mean) if self.known else 0.0

    def add(self, took_ms: float) -> None:
        """Take in the time of one that was answered, in milliseconds."""
        self._count = min(MEMORY, self._count + 1)
        step = 1.0 / self._count
        off = math.log(max(1.0, took_ms)) - self._mean
        self._mean += step * off
        self._variance = (1.0 - step) * (self._variance + step * off * off)

    def share_longer(self, ms: float, expected_ms: float = 0.0) -> float:
        """Return the share of sound requests that take longer, 1 while unknown.

        Args:
            ms: Milliseconds.
            expected_ms: What others say is typical, 0 for nothing; taken while it is unknown here.
        """
        if ms <= 1.0 or not (self.known or expected_ms > 1.0):
            return 1.0
        mean = self._mean if self.known else math.log(expected_ms)
        z = (math.log(ms) - mean) / (self._spread() * math.sqrt(2.0))
        return TAIL_SHARE + (1.0 - TAIL_SHARE) * 0.5 * math.erfc(z)

    def upper_ms(self, spreads: float) -> float:
        """Return the time that many spreads above the typical one, 0 while unknown."""
        return math.exp(self._mean + spreads * self._spread()) if self.known else 0.0

    def _spread(self) -> float:
        weight = self._count + SPREAD_WEIGHT
        variance = (self._count * self._variance + SPREAD_WEIGHT * SPREAD**2) / weight
        return max(SPREAD_MIN, math.sqrt(variance))

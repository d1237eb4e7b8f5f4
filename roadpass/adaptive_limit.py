"""An adaptive concurrency limit for targets that cannot use all their slots."""

DECREASE = 0.85
SMOOTHING = 0.1
FULL_SHARE = 0.8
MIN_LIMIT = 1.0
SUSTAINED_S = 3.0
"""Seconds of slowness before the limit is reduced: the threshold for slow requests follows the
latency of the other targets with a lag."""


class AdaptiveLimit:
    """Additive increase, multiplicative decrease between 1 and the configured slots.

    Args:
        slots: Slots of the target, the upper bound of the limit.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._service_ms = 0.0
        self._slowness = 0.0
        self._next_decrease = 0.0
        self._slow_since: float | None = None
        self._observed_at = float("-inf")

    @property
    def value(self) -> int:
        """Number of requests that may run at once."""
        return int(self._limit)

    @property
    def service_ms(self) -> float:
        """Smoothed service time, 0 before the first sample."""
        return self._service_ms

    def resize(self, slots: int) -> None:
        """Apply a new number of slots; the limit grows with it, and never exceeds it."""
        grown = slots > self._slots
        self._slots = slots
        self._limit = float(slots) if grown else min(self._limit, float(slots))

    def observe(self, now: float, service_ms: float, slow_ms: float, in_use: int) -> None:
        """Adjust the limit after one finished request.

        Args:
            now: Clock seconds.
            service_ms: Milliseconds since the target received the request.
            slow_ms: Milliseconds above which a request of its kind is slow, 0 if unknown. As it
                depends on the kind, neither kind seems slow in a mix of short and long requests.
            in_use: Requests in flight at that time, this one included.
        """
        if self._service_ms == 0.0:
            self._service_ms = service_ms
        self._service_ms += SMOOTHING * (service_ms - self._service_ms)
        if now - self._observed_at > SUSTAINED_S:
            self._slow_since = None
        self._observed_at = now
        if slow_ms > 0.0:
            self._slowness += SMOOTHING * (service_ms / slow_ms - self._slowness)
        if self._slowness > 1.0:
            self._decrease(now)
            return
        self._slow_since = None
        if in_use >= self.value * FULL_SHARE:
            self._limit = min(float(self._slots), self._limit + 1.0 / self._limit)

    def _decrease(self, now: float) -> None:
        if self._slow_since is None:
            self._slow_since = now
        if now - self._slow_since < SUSTAINED_S or now < self._next_decrease:
            return
        self._limit = max(MIN_LIMIT, self._limit * DECREASE)
        self._next_decrease = now + self._service_ms / 1000.0

"""An adaptive limit of concurrent requests for targets that cannot use all their slots."""

DECREASE = 0.85
SMOOTHING = 0.1
FULL_SHARE = 0.8
MIN_LIMIT = 1.0
SUSTAINED_S = 3.0
"""Slowness shorter than this cuts nothing: what counts as slow follows the others with a lag."""


class AdaptiveLimit:
    """Additive increase, multiplicative decrease between 1 and the configured slots.

    Args:
        slots: Slots of the target, the most it is ever given.
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
        """Requests that may run at once."""
        return int(self._limit)

    @property
    def service_ms(self) -> float:
        """Smoothed service time, 0 before the first sample."""
        return self._service_ms

    def resize(self, slots: int) -> None:
        """Take over a new number of slots."""
        grown = slots > self._slots
        self._slots = slots
        self._limit = float(slots) if grown else min(self._limit, float(slots))

    def observe(self, now: float, service_ms: float, slow_ms: float, in_use: int) -> None:
        """Learn from one finished request.

        Args:
            now: Seconds.
            service_ms: Time from when the target got the request.
            slow_ms: What counts as slow for a request of its kind, 0 if unknown: short requests
                that come beside long ones make neither slow.
            in_use: Requests that ran at the time, this one included.
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

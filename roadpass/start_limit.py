"""The rate at which one target accepts new requests, kept by its sidecar as a token bucket."""

import math
import threading

ALLOWANCE_S = 1.0
"""Seconds of the rate that may start at once after a quiet time. At least one request may."""
MIN_RATE_PER_S = 0.1
"""Lowest rate that is kept, in requests a second: only a response can end a limit, so a target
without any request would keep its limit for ever."""
_ROUNDING = 1e-9


class StartLimit:
    """Starts that a target accepts; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rate_per_s = math.inf
        self._tokens = 0.0
        self._counted_at = -math.inf

    @property
    def limited(self) -> bool:
        """Whether there is a limit."""
        return self._rate_per_s < math.inf

    def set_rate(self, now: float, rate_per_s: float | None) -> None:
        """Set the limit in requests a second, `None` for none.

        The first limit begins without allowance, as the target has earlier requests to finish.
        """
        with self._lock:
            self._count(now)
            if rate_per_s is None:
                self._rate_per_s, self._tokens = math.inf, 0.0
            else:
                self._rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
                self._tokens = min(self._tokens, self._depth)

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a request may start, with others that start before it.

        Args:
            now: Clock seconds.
            ahead: Requests that start before it.
        """
        with self._lock:
            if not self.limited:
                return 0.0
            self._count(now)
            missing = ahead + 1 - self._tokens
            return missing / self._rate_per_s if missing > _ROUNDING else 0.0

    def take(self, now: float) -> bool:
        """Take a start; return whether there was one."""
        with self._lock:
            if not self.limited:
                return True
            self._count(now)
            if self._tokens < 1.0 - _ROUNDING:
                return False
            self._tokens -= 1.0
            return True

    def give_back(self) -> None:
        """Return a start that was taken and not used."""
        with self._lock:
            if self.limited:
                self._tokens = min(self._tokens + 1.0, self._depth)

    @property
    def _depth(self) -> float:
        return max(1.0, ALLOWANCE_S * self._rate_per_s)

    def _count(self, now: float) -> None:
        """Add the tokens of the time since the last count."""
        if self.limited and now > self._counted_at:
            earned = self._rate_per_s * (now - self._counted_at)
            self._tokens = min(self._tokens + earned, self._depth)
        self._counted_at = max(self._counted_at, now)

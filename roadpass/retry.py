"""Retry budgets: of a service at one ingress, and of one target at its sidecar."""

import math
from collections import deque

BURST = 10.0
"""Default of the largest burst of retries: about as many as one node handles at a time."""
WINDOW_S = 10.0
"""Default length in seconds of the window in which repeats are counted."""
ROUNDING = 1e-9
"""Tolerance in repeats, as sums of fractions are not exact."""


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    Args:
        ratio: Tokens that a first attempt adds, and so the long-term limit of retries per first
            attempt.
        burst: Most tokens held; infinite where the targets' sidecars limit the retries of all
            ingresses instead (`RepeatAllowance`).
    """

    def __init__(self, ratio: float, *, burst: float = BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst if math.isinf(burst) else 1.0

    def has_settings(self, ratio: float, burst: float) -> bool:
        """Return whether the budget has these settings."""
        return (ratio, burst) == (self._ratio, self._burst)

    @property
    def tokens(self) -> float:
        """Retries that may be sent now."""
        return self._tokens

    def on_first_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one token for a retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RepeatAllowance:
    """Limits the repeats at one target to a share of its first arrivals plus a fixed part.

    All repeats of a service arrive at its few targets, so a limit there wastes less of the fleet's
    retry budget than one at its many ingresses. Each of those would hold one or two repeats: a
    burst of losses at one VM would use them up while those of the other VMs are left over.

    Arrivals are counted in a sliding window that ends now, as in the limit on the whole service. So
    a burst of losses after a quiet period can use the repeats of that period at once; a token
    bucket would lose those that it cannot hold.

    Args:
        ratio: Repeats allowed for each first arrival in the window.
        slack: Repeats allowed in a window in addition.
        window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, *, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def configure(self, ratio: float, *, slack: float, window_s: float) -> None:
        """Apply changed settings; repeats that arrived in the window still count."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def has_repeat_left(self, now: float) -> bool:
        """Return whether a repeat may arrive now.

        Args:
            now: Clock seconds.
        """
        self._forget(now)
        allowed = self._ratio * len(self._firsts) + self._slack
        return len(self._repeats) + 1 <= allowed + ROUNDING

    def record_arrival(self, now: float, *, repeat: bool) -> None:
        """Count a request that arrived at the target.

        Args:
            now: Clock seconds.
            repeat: Whether it is a repeated attempt.
        """
        (self._repeats if repeat else self._firsts).append(now)
        self._forget(now)

    def _forget(self, now: float) -> None:
        """Drop arrivals that are older than the window."""
        begin = now - self._window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] <= begin:
                times.popleft()

"""The budgets of repeats: of a service at one ingress, and of one target at its sidecar."""

import math
from collections import deque

BURST = 10.0
"""Most repeats at once where nobody sets it: a moment's work of one node."""
WINDOW_S = 10.0
"""Seconds of a window in which repeats are counted where nobody sets it."""
ROUNDING = 1e-9
"""Of a repeat: sums of shares are not exact."""


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    Args:
        ratio: Tokens a first attempt adds: the most retries per first attempt in the long run.
        burst: Most tokens held; infinite where this ingress sets no limit of its own, as the
            targets' sidecars keep the sum of all ingresses (`RepeatAllowance`).
    """

    def __init__(self, ratio: float, *, burst: float = BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst if math.isinf(burst) else 1.0

    def has_settings(self, ratio: float, burst: float) -> bool:
        """Tell whether the budget has these settings."""
        return (ratio, burst) == (self._ratio, self._burst)

    @property
    def tokens(self) -> float:
        """Retries that may be sent now."""
        return self._tokens

    def on_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one retry, if the budget allows it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RepeatAllowance:
    """The repeats that one target is given: a share of its first arrivals, and a part of a slack.

    All repeats of a service pass the doors of its few targets, so they share out what the fleet
    may repeat with less waste than its many ingresses would: each of those would hold one or two
    repeats, which a moment of losses at one VM uses up while the others' are left over.

    It counts what came in the window that ends now, as the bound on the whole service does: so a
    moment of losses after a quiet while has the repeats of that while at once. A bucket that first
    arrivals fill would lose what it cannot hold.

    Args:
        ratio: Repeats for each first arrival of a window.
        slack: Repeats of a window beyond that.
        window_s: Seconds of a window.
    """

    def __init__(self, ratio: float, *, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def configure(self, ratio: float, *, slack: float, window_s: float) -> None:
        """Take over changed settings; what was spent in the window stays spent."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def has_repeat_left(self, now: float) -> bool:
        """Tell whether a repeat may arrive now.

        Args:
            now: Clock seconds.
        """
        self._forget(now)
        allowed = self._ratio * len(self._firsts) + self._slack
        return len(self._repeats) + 1 <= allowed + ROUNDING

    def record_arrival(self, now: float, *, repeat: bool) -> None:
        """Count an arrival at the target.

        Args:
            now: Clock seconds.
            repeat: Whether it is not the first of its request.
        """
        (self._repeats if repeat else self._firsts).append(now)
        self._forget(now)

    def _forget(self, now: float) -> None:
        """Drop what came before the window that ends now."""
        begin = now - self._window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] <= begin:
                times.popleft()

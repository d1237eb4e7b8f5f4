"""The budgets of repeats: of a service at one ingress, and of one target at its sidecar."""

BURST = 10.0
"""Most repeats at once where nobody sets it: a moment's work of one node."""


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    Args:
        ratio: Tokens a first attempt adds: the most retries per first attempt in the long run.
        burst: Most tokens held.
    """

    def __init__(self, ratio: float, *, burst: float = BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = 1.0

    def allows_as(self, ratio: float, burst: float) -> bool:
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

    Args:
        ratio: Repeats a first arrival adds.
        burst: Most repeats at once.
        per_s: Repeats a second adds.
        now: Monotonic seconds.
    """

    def __init__(self, ratio: float, *, burst: float, per_s: float, now: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._per_s = per_s
        self._left = burst
        self._at = now

    def configure(self, ratio: float, *, burst: float, per_s: float) -> None:
        """Take over changed settings; what is left stays, up to the new burst."""
        self._ratio = ratio
        self._burst = burst
        self._per_s = per_s
        self._left = min(burst, self._left)

    def has_one(self, now: float) -> bool:
        """Tell whether a repeat may arrive now."""
        self._refill(now)
        return self._left >= 1.0

    def arrive(self, now: float, *, repeat: bool) -> None:
        """Count an arrival at the target."""
        self._refill(now)
        change = -1.0 if repeat else self._ratio
        self._left = min(self._burst, self._left + change)

    def _refill(self, now: float) -> None:
        passed_s = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._left = min(self._burst, self._left + passed_s * self._per_s)

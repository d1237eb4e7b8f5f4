"""The retry budget of a service at one ingress."""

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

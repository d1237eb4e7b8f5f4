"""The retry budget of a service at one ingress."""

BURST = 10.0


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

    @property
    def ratio(self) -> float:
        """Tokens a first attempt adds."""
        return self._ratio

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

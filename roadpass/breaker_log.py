"""Decision log lines of one target's circuit breaker: `door-shut` and `door-open`."""

import threading

from roadpass.circuit_breaker import CircuitBreaker
from roadpass.decision import decided
from roadpass.failure_estimator import FailureEstimator
from roadpass.message import Attempt


class BreakerLog:
    """Logs each state change of a circuit breaker once; thread-safe.

    Args:
        target: Name of the target.
        breaker: The target's circuit breaker.
        estimator: Estimates the target's failure probability.
        lock: Guards the breaker and the estimator.
    """

    def __init__(
        self,
        target: str,
        breaker: CircuitBreaker,
        estimator: FailureEstimator,
        lock: threading.Lock,
    ) -> None:
        self._target = target
        self._breaker = breaker
        self._estimator = estimator
        self._lock = lock
        self._logged_tripped = False

    def log_change(self, now: float, attempt: Attempt | None = None) -> None:
        """Log that the breaker has tripped or recovered since the last line.

        Args:
            now: Clock seconds.
            attempt: The attempt that caused it, `None` if only time has passed.
        """
        with self._lock:
            tripped = self._breaker.tripped(now)
            if tripped is self._logged_tripped:
                return
            self._logged_tripped = tripped
            bad = self._estimator.bad(now)
        decided(
            "sidecar",
            "door-shut" if tripped else "door-open",
            request=attempt.request_id if attempt else "",
            attempt=attempt.id if attempt else None,
            target=self._target,
            bad=round(bad, 3),
        )

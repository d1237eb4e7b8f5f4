"""The decision lines of one target's door: that it has opened, or shut."""

import threading

from roadpass.belief import FailureEstimator
from roadpass.decision import decided
from roadpass.door import CircuitBreaker
from roadpass.message import Attempt


class BreakerLog:
    """Logs each turn of a door once; any thread may use it.

    Args:
        target: Its name.
        breaker: Of the target.
        estimator: Of the target.
        lock: Guards the two.
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
        """Log that the door has opened or shut since the last line.

        Args:
            now: Clock seconds.
            attempt: By which it did, `None` if by time.
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

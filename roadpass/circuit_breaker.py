"""Circuit breaker of one target: admits new requests by the target's estimated failure probability.

The sidecar on the target's VM sees all requests to it, so a request that it refuses has provably
not run, and the ingress can send it to another target at once. While the target is probably
failing, the breaker is tripped and admits only trials: retryable requests that have a retry left,
one at a time, until the estimate recovers. Otherwise the breaker refuses nothing on its own: each
request states the highest failure probability that it accepts.

The log events name the two states: `door-shut` for tripped, `door-open` for not tripped.
"""

from roadpass.failure_estimator import End, FailureEstimator, TrackedRequest

TRIP_THRESHOLD = 0.6
"""Failure probability at which the breaker trips: two successful trials bring the highest estimate
below it."""
TRIAL_THRESHOLD = 0.4
"""Failure probability from which a request counts as a trial, even while the breaker is not
tripped: otherwise a target that no ingress selects would never be seen to be healthy again."""
IDLE_S = 1.5
"""Seconds without a request after which a breaker that is not tripped accepts any one request as a
trial: most healthy targets of a service must get some requests in any two seconds."""
BACKOFF_S = 0.2
"""Seconds after a failure during which no trial starts."""
BACKOFF_GROWTH = 1.8
BACKOFF_MAX_S = 1.5
"""Factor by which each failed trial extends the back-off, and its maximum in seconds. Failure
periods last for seconds, and a trial during one costs a retry; trials that used up the whole retry
allowance would leave no retry for the trial that lets the breaker recover."""
DECISIVE_RATIO = 3.0
"""Likelihood ratio at which a running trial is decided, either way (this or its inverse), so that
it no longer blocks the next one."""


class CircuitBreaker:
    """Decides which new requests one target gets; not thread-safe, the caller holds a lock.

    Args:
        estimator: Estimates the target's failure probability.
    """

    def __init__(self, estimator: FailureEstimator) -> None:
        self._estimator = estimator
        self._backoff_s = BACKOFF_S
        self._backoff_until = float("-inf")
        self._losses_seen: set[TrackedRequest] = set()
        self._last_started_at = float("-inf")

    def tripped(self, now: float) -> bool:
        """Return whether only trials are admitted."""
        return self._estimator.bad(now) >= TRIP_THRESHOLD

    def wait_s(self, now: float) -> float:
        """Return the remaining back-off in seconds, 0 if the next trial may start."""
        return max(0.0, self._backoff_until - now)

    def admits(self, now: float, *, trial: bool, pressing: bool = False) -> bool:
        """Return whether a request may start now.

        Args:
            now: Clock seconds.
            trial: Whether it may serve as a trial: it can be retried, and would be.
            pressing: Whether no other target would accept it: then it does not wait for the
                back-off or for the current trial.
        """
        if not self.tripped(now):
            return True
        if not trial:
            return False
        return pressing or (not self._trial_undecided(now) and now >= self._backoff_until)

    def admits_as_trial(self, now: float, *, trial: bool) -> bool:
        """Return whether to accept a request although the estimate exceeds the request's limit.

        Args:
            now: Clock seconds.
            trial: Whether it may serve as a trial: it can be retried, and would be.
        """
        if not trial and (self.tripped(now) or now - self._last_started_at < IDLE_S):
            return False
        return not self._trial_undecided(now) and now >= self._backoff_until

    def begin(
        self, now: float, kind: str, *, expected_ms: float = 0.0, customer: str = ""
    ) -> TrackedRequest:
        """Record that an admitted request of a kind starts; see `FailureEstimator.begin`."""
        self._last_started_at = now
        trial = self._estimator.bad(now) >= TRIAL_THRESHOLD
        return self._estimator.begin(
            now, kind, trial=trial, expected_ms=expected_ms, customer=customer
        )

    def end(
        self, now: float, tracked: TrackedRequest, end: End, *, stalled_at: float = float("-inf")
    ) -> None:
        """Record how a request ended, and back off if it failed; see `FailureEstimator.end`."""
        self._estimator.end(now, tracked, end, stalled_at=stalled_at)
        if (
            end in (End.LOST, End.NO_RESPONSE, End.FAILED)
            and self._estimator.likelihood_ratio(now, tracked) >= DECISIVE_RATIO
        ):
            self._back_off(now, tracked)
        self._losses_seen.discard(tracked)

    def _trial_undecided(self, now: float) -> bool:
        """Return whether a trial in flight is undecided, see `DECISIVE_RATIO`."""
        undecided = False
        for tracked in self._estimator.running:
            if not tracked.trial:
                continue
            likelihood_ratio = self._estimator.likelihood_ratio(now, tracked)
            if likelihood_ratio >= DECISIVE_RATIO:
                self._back_off(now, tracked)
            elif likelihood_ratio > 1.0 / DECISIVE_RATIO:
                undecided = True
        return undecided

    def _back_off(self, now: float, tracked: TrackedRequest) -> None:
        """Delay the next trial, longer after each failed one; counts each request once."""
        if tracked in self._losses_seen:
            return
        self._losses_seen.add(tracked)
        if tracked.trial:
            self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * BACKOFF_GROWTH)
        elif now >= self._backoff_until + BACKOFF_MAX_S:
            self._backoff_s = BACKOFF_S
        self._backoff_until = now + self._backoff_s

"""The door of one target: whether new work may go to it, by how bad it is believed to be.

The sidecar beside a target sees all its work, so what it refuses has provably not run, and the
ingress takes it elsewhere at once. A target that is probably in a bad spell gets only trials: work
that may be repeated and has a repeat left, one at a time, until the belief has turned. Short of
that the door refuses nothing by itself: who asks says how bad a target it would take.
"""

from roadpass.belief import End, FailureEstimator, TrackedRequest

TRIP_THRESHOLD = 0.6
"""Belief from which on only trials are let in: two good ones turn the worst belief."""
TRIAL_THRESHOLD = 0.4
"""Belief from which on what may be repeated comes as a trial, also while the door is open: else a
target that nobody takes would never be known again to be sound."""
IDLE_S = 1.5
"""Seconds without any work after which an open door takes one request of whatever kind as a trial:
most sound targets of a service must get some work in any two seconds."""
BACKOFF_S = 0.2
"""Seconds after a loss in which nothing is tried."""
BACKOFF_GROWTH = 1.8
BACKOFF_MAX_S = 1.5
"""A lost trial makes the next wait so many times longer, up to so many seconds: spells last for
seconds and a trial in one costs a repeat. Trials that spent all repeats would leave none to open
the doors with."""
DECISIVE_RATIO = 3.0
"""A trial that makes its target so many times more or less probably bad no longer bars the next."""


class CircuitBreaker:
    """Decides on one target's new work; the caller's lock guards it.

    Args:
        estimator: Of the target.
    """

    def __init__(self, estimator: FailureEstimator) -> None:
        self._estimator = estimator
        self._backoff_s = BACKOFF_S
        self._backoff_until = float("-inf")
        self._losses_seen: set[TrackedRequest] = set()
        self._last_started_at = float("-inf")

    def tripped(self, now: float) -> bool:
        """Tell whether only trials are let in."""
        return self._estimator.bad(now) >= TRIP_THRESHOLD

    def wait_s(self, now: float) -> float:
        """Return the seconds until another trial may start."""
        return max(0.0, self._backoff_until - now)

    def admits(self, now: float, *, trial: bool, pressing: bool = False) -> bool:
        """Tell whether a request may start now.

        Args:
            now: Clock seconds.
            trial: Whether it may serve as a trial: it can be repeated, and would be.
            pressing: Whether no other target would take it: it need not wait for its turn.
        """
        if not self.tripped(now):
            return True
        if not trial:
            return False
        return pressing or (not self._trial_undecided(now) and now >= self._backoff_until)

    def admits_as_trial(self, now: float, *, trial: bool) -> bool:
        """Tell whether a request is taken though its target is more doubtful than it wants.

        Args:
            now: Clock seconds.
            trial: Whether it may serve as a trial: it can be repeated, and would be.
        """
        if not trial and (self.tripped(now) or now - self._last_started_at < IDLE_S):
            return False
        return not self._trial_undecided(now) and now >= self._backoff_until

    def begin(
        self, now: float, kind: str, *, expected_ms: float = 0.0, customer: str = ""
    ) -> TrackedRequest:
        """Note that an admitted request of a kind starts; see `FailureEstimator.begin`."""
        self._last_started_at = now
        trial = self._estimator.bad(now) >= TRIAL_THRESHOLD
        return self._estimator.begin(
            now, kind, trial=trial, expected_ms=expected_ms, customer=customer
        )

    def end(
        self, now: float, tracked: TrackedRequest, end: End, *, stalled_at: float = float("-inf")
    ) -> None:
        """Note how a request ended; see `FailureEstimator.end`."""
        self._estimator.end(now, tracked, end, stalled_at=stalled_at)
        if (
            end in (End.LOST, End.NO_RESPONSE, End.FAILED)
            and self._estimator.likelihood_ratio(now, tracked) >= DECISIVE_RATIO
        ):
            self._back_off(now, tracked)
        self._losses_seen.discard(tracked)

    def _trial_undecided(self, now: float) -> bool:
        """Tell whether a trial runs of which nothing is known yet."""
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
        """Wait before the next trial, longer after each trial that failed."""
        if tracked in self._losses_seen:
            return
        self._losses_seen.add(tracked)
        if tracked.trial:
            self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * BACKOFF_GROWTH)
        elif now >= self._backoff_until + BACKOFF_MAX_S:
            self._backoff_s = BACKOFF_S
        self._backoff_until = now + self._backoff_s

"""Evidence against one target from all requests to it, collected by its sidecar.

Callers pass in the time. They hold a lock when they update what is learned; the requests in flight
are recorded and read without one.
"""

from dataclasses import dataclass

from roadpass.failure_detector import Detector, Sample, Scores, threshold
from roadpass.failure_estimator import End
from roadpass.health import pending_limit_ms
from roadpass.outcome import SERVER_ERROR, Answered, NotRun, Outcome, Reason, Unknown

EVIDENCE_TTL_S = 2.0
"""Seconds without new requests after which the evidence against a target is dropped."""
GATEWAY_TIMEOUT = 504
"""Status that a target returns at the end of its time limit; it counts as no response then."""
TIMED_OUT_SHARE = 0.9
"""Share of the time limit after which `GATEWAY_TIMEOUT` means that the deadline has passed."""
HANGING_FACTOR = 3.0
"""Multiple of the typical service time after which a request is not expected to end soon."""
HANGING_WAIT_MS = 1000.0
"""Minimum expected wait, in milliseconds, while all requests at a target are hanging like that."""


@dataclass(slots=True)
class Running:
    """A request in flight; `times_overdue` counts how often it passed a pending limit."""

    started: float
    slow_ms: float
    times_overdue: int = 0


class Evidence:
    """Evidence against one target.

    Args:
        false_ejections: Maximum number of false ejections per target and week.
        now: Clock seconds.
    """

    def __init__(self, false_ejections: float, now: float) -> None:
        self._detector = Detector(threshold(false_ejections))
        self._running: dict[str, Running] = {}
        self._learned_at = now

    @property
    def scores(self) -> Scores:
        """Scores over all the target's traffic."""
        return self._detector.scores

    @property
    def latency_ms(self) -> float:
        """95th percentile of the service time of successes, 0 if unknown."""
        return self._detector.latency_ms

    def begin(self, attempt_id: str, started: float, slow_ms: float) -> Running:
        """Record that the target gets a request.

        Args:
            attempt_id: Id of the attempt.
            started: Clock seconds.
            slow_ms: Service time that counts as slow, 0 if unknown.
        """
        running = self._running[attempt_id] = Running(started, slow_ms)
        return running

    def end(self, attempt_id: str) -> None:
        """Record that a request is no longer in flight."""
        del self._running[attempt_id]

    def stretched_wait_ms(self, now: float, wait_ms: float, service_ms: float) -> float:
        """Return the expected wait for a slot, extended while requests in the slots hang.

        Args:
            now: Clock seconds.
            wait_ms: Expected wait if no request hangs.
            service_ms: Typical service time.
        """
        long_s = HANGING_FACTOR * service_ms / 1000.0
        running = self._running.copy().values()
        moving = sum(now - one.started < long_s for one in running)
        return wait_ms * len(running) / moving if moving else max(wait_ms, HANGING_WAIT_MS)

    def find_overdue(self, now: float, last_stall: float) -> int:
        """Return how many requests have newly passed a pending limit, see `pending_limit_ms`.

        Args:
            now: Clock seconds.
            last_stall: Clock seconds at which this process last resumed after a stall.
        """
        found = 0
        for running in self._running.copy().values():
            limit_ms = pending_limit_ms(running.slow_ms, running.times_overdue)
            seen_since = max(running.started, last_stall)
            if limit_ms and (now - seen_since) * 1000.0 > limit_ms:
                running.times_overdue += 1
                found += 1
        return found

    def learn_pending(self) -> None:
        """Count an overdue request against the target."""
        self._detector.observe_pending()

    def learn(self, now: float, running: Running, service_ms: float, *, failed: bool) -> None:
        """Learn from a request's end.

        Args:
            now: Clock seconds.
            running: The request.
            service_ms: Time that the target had it.
            failed: Whether it counts as a failure of the target.
        """
        self._learned_at = now
        self._detector.observe(
            Sample(failed, service_ms),
            slow_ms=running.slow_ms,
            counted_slow=running.times_overdue > 0,
            at=now,
        )

    def forget_old(self, now: float) -> None:
        """Drop old evidence while idle, so that a target that gets requests again starts afresh."""
        if now - self._learned_at > EVIDENCE_TTL_S and self._detector.samples:
            self._detector.reset()


def classify_end(outcome: Outcome, took_s: float, given_s: float) -> End:
    """Classify an outcome for the failure estimate of its target.

    Args:
        outcome: Outcome of the attempt.
        took_s: Seconds that the target had the request.
        given_s: Time limit of the request in seconds.
    """
    match outcome:
        case Answered(status=status) if status == GATEWAY_TIMEOUT:
            return End.NO_RESPONSE if took_s >= TIMED_OUT_SHARE * given_s else End.FAILED
        case Answered(status=status):
            return End.FAILED if status >= SERVER_ERROR else End.ANSWERED
        case _:
            return End.INCONCLUSIVE


def counts_against(outcome: Outcome, *, late: bool) -> bool | None:
    """Return whether an outcome is a failure of its target, `None` if it is no evidence.

    Args:
        outcome: Outcome of the attempt.
        late: Whether a loss came late; immediate losses count for the circuit breaker only.
    """
    match outcome:
        case Answered(status=status):
            return status >= SERVER_ERROR
        case NotRun(reason=Reason.SHED) | Unknown(reason=Reason.CANCELLED):
            return None
        case Unknown(reason=Reason.TARGET_LOST) if not late:
            return None
        case _:
            return True

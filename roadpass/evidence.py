"""Evidence against one target from the work it has and had, as its sidecar sees all of it.

It takes the time from its caller. The caller's lock guards what is learnt; which requests run is
noted and looked at without one.
"""

from dataclasses import dataclass

from roadpass.belief import End
from roadpass.detect import Detector, Sample, Scores, threshold
from roadpass.health import pending_limit_ms
from roadpass.outcome import SERVER_ERROR, Answered, NotRun, Outcome, Reason, Unknown

EVIDENCE_KEPT_S = 2.0
"""Seconds without new work after which the evidence against a target is dropped."""
GATEWAY_TIMEOUT = 504
"""What a target answers at the end of the time it was given: it was silent until then."""
GIVEN_UP_SHARE = 0.9
"""Share of the given time after which such an answer means that the time was over."""
HANGS_FACTOR = 3.0
"""A request that runs for so many times the usual one's time is not expected to end soon."""
HANGING_MS = 1000.0
"""Milliseconds to expect where all of a target's requests are such."""


@dataclass(slots=True)
class Running:
    """A request in flight; `times_overdue` counts how often it passed a pending limit."""

    started: float
    slow_ms: float
    times_overdue: int = 0


class Evidence:
    """What speaks against a target.

    Args:
        false_ejections: Wanted at the most, a target and week.
        now: Clock seconds.
    """

    def __init__(self, false_ejections: float, now: float) -> None:
        self._detector = Detector(threshold(false_ejections))
        self._running: dict[str, Running] = {}
        self._learnt_at = now

    @property
    def scores(self) -> Scores:
        """Evidence over all the target's traffic."""
        return self._detector.scores

    @property
    def latency_ms(self) -> float:
        """Running 95th percentile of the service time of successes, 0 if unknown."""
        return self._detector.latency_ms

    def begin(self, attempt_id: str, started: float, slow_ms: float) -> Running:
        """Note that the target gets a request.

        Args:
            attempt_id: Of the attempt.
            started: Clock seconds.
            slow_ms: From where on its answer counts as slow, zero if unknown.
        """
        running = self._running[attempt_id] = Running(started, slow_ms)
        return running

    def end(self, attempt_id: str) -> None:
        """Note that the target has a request no more."""
        del self._running[attempt_id]

    def stretched_wait_ms(self, now: float, wait_ms: float, service_ms: float) -> float:
        """Return how long a wait for a slot will be: long where the slots' requests hang.

        Args:
            now: Clock seconds.
            wait_ms: Expected wait by the usual time.
            service_ms: The usual time.
        """
        long_s = HANGS_FACTOR * service_ms / 1000.0
        running = self._running.copy().values()
        moving = sum(now - one.started < long_s for one in running)
        return wait_ms * len(running) / moving if moving else max(wait_ms, HANGING_MS)

    def find_overdue(self, now: float, last_stall: float) -> int:
        """Count the requests that the target has had for far too long, once at each limit.

        Args:
            now: Clock seconds.
            last_stall: At which this process last stood still.
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
            failed: Whether that speaks against the target.
        """
        self._learnt_at = now
        self._detector.observe(
            Sample(failed, service_ms),
            slow_ms=running.slow_ms,
            counted_slow=running.times_overdue > 0,
            at=now,
        )

    def forget_old(self, now: float) -> None:
        """Drop evidence once no work has come for a while: who returns is judged anew."""
        if now - self._learnt_at > EVIDENCE_KEPT_S and self._detector.samples:
            self._detector.reset()


def classify_end(outcome: Outcome, took_s: float, given_s: float) -> End:
    """Tell what an answer shows of its target, for the belief of it.

    Args:
        outcome: Its end.
        took_s: Seconds that the target had the request.
        given_s: Seconds that it was given.
    """
    match outcome:
        case Answered(status=status) if status == GATEWAY_TIMEOUT:
            return End.NO_RESPONSE if took_s >= GIVEN_UP_SHARE * given_s else End.FAILED
        case Answered(status=status):
            return End.FAILED if status >= SERVER_ERROR else End.ANSWERED
        case _:
            return End.INCONCLUSIVE


def counts_against(outcome: Outcome, *, late: bool) -> bool | None:
    """Tell whether an attempt's end is a failure of its target, `None` if it says nothing.

    Args:
        outcome: Its end.
        late: Whether the target kept it for a moment; losses at once are the door's to judge.
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

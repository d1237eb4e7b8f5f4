"""Which new requests one target gets, and why it refuses the others."""

import threading

from roadpass import clock
from roadpass.admission import ExpectedWait
from roadpass.breaker_log import BreakerLog
from roadpass.circuit_breaker import CircuitBreaker
from roadpass.crash_guard import CrashGuard
from roadpass.evidence import Evidence
from roadpass.failure_estimator import FailureEstimator
from roadpass.message import AdmissionCheck, Attempt
from roadpass.outcome import RETRY_SOON_MS, NotRun, Reason
from roadpass.shedding import Shedding
from roadpass.slots import Slots
from roadpass.standing import FRESH
from roadpass.target_repeats import TargetRepeats

MAX_WORSENING = 0.15
"""Maximum rise of a target's failure probability during the wait of a request that cannot be
retried: about the cost of sending it to another target."""
BREAKER_RETRY_MS = 600
"""Minimum retry-after of a tripped circuit breaker, in milliseconds. It is not shorter, since every
ingress asks again and failure periods last seconds, and not longer, since the breaker recovers only
through requests."""


class TargetAdmission:
    """Compares what is known of one target with what each request accepts; thread-safe.

    Args:
        slots: The target's slots, with the limit of its starts.
        estimator: Estimates its failure probability.
        breaker: Its circuit breaker.
        breaker_log: Logs changes of the circuit breaker.
        shedding: Share of the requests that it sheds.
        repeats: Repeats that it may receive.
        evidence: Evidence of all its traffic.
        guard: Knows when its process has exited.
        lock: Guards the state of the above.
    """

    def __init__(
        self,
        *,
        slots: Slots,
        estimator: FailureEstimator,
        breaker: CircuitBreaker,
        breaker_log: BreakerLog,
        shedding: Shedding,
        repeats: TargetRepeats,
        evidence: Evidence,
        guard: CrashGuard,
        lock: threading.Lock,
    ) -> None:
        self._slots = slots
        self._estimator = estimator
        self._breaker = breaker
        self._breaker_log = breaker_log
        self._shedding = shedding
        self._repeats = repeats
        self._evidence = evidence
        self._guard = guard
        self._lock = lock

    def refusal(self, check: AdmissionCheck, *, held: bool = False) -> NotRun | None:
        """Return why an attempt would be refused now, `None` if it would be accepted.

        Args:
            check: The check of the attempt.
            held: Whether a slot is held for it.
        """
        refusal = self.new_work_refusal(check)
        if refusal is not None:
            return refusal
        now = clock.now()
        with self._lock:
            wait = self.expected_wait(now, check.traffic_class, check.route, check.standing)
            bad = self._estimator.bad(now)
            shed_cost = self._shedding.cost(now)
            admits_as_trial = self._breaker.admits_as_trial(
                now, trial=check.may_be_trial and check.spare
            )
        if not held and wait.ms > (check.most_wait_ms if check.may_wait else 0.0):
            return NotRun(wait.reason, int(wait.ms))
        if shed_cost > self._repeats.most_shed_cost(check.most_bad) or (
            bad > check.most_bad and not admits_as_trial
        ):
            return NotRun(Reason.DOUBTFUL, 0)
        return None

    def expected_wait(
        self, now: float, traffic_class: str, route: str, standing: int = FRESH
    ) -> ExpectedWait:
        """Return the expected wait of a new request; one for a slot is longer if requests hang.

        The caller must hold the lock.

        Args:
            now: Clock seconds.
            traffic_class: Class of the request.
            route: Its route, empty if unknown.
            standing: Its order within the class, see `roadpass.standing`.
        """
        typical_ms = self._estimator.latency(route).typical_ms if route else 0.0
        wait = self._slots.expected_wait(now, traffic_class, typical_ms, standing)
        if wait.ms <= 0.0 or wait.reason is Reason.LIMITED:
            return wait
        stretched_ms = self._evidence.stretched_wait_ms(now, wait.ms, self._slots.service_ms)
        return wait._replace(ms=stretched_ms)

    def expected_cost(self, now: float) -> float:
        """Return the expected cost of sending a request here, relative to a lost request.

        The caller must hold the lock.
        """
        bad = self._estimator.bad(now)
        return bad + (1.0 - bad) * self._shedding.cost(now)

    def free_slots(self, now: float) -> int:
        """Return the slots that new requests would get now, 0 if they are refused anyway.

        While the circuit breaker is tripped, one slot counts if a trial may start.

        Args:
            now: Clock seconds.
        """
        if self._guard.refusal_while_down() is not None:
            return 0
        with self._lock:
            free = self._slots.free(now)
            if not self._breaker.tripped(now):
                return free
            return min(free, int(self._breaker.admits(now, trial=True)))

    def may_grant(self) -> bool:
        """Return whether a free slot may be granted to any waiting request."""
        with self._lock:
            tripped = self._breaker.tripped(clock.now())
        return not tripped and self._guard.refusal_while_down() is None

    def new_work_refusal(self, check: AdmissionCheck) -> NotRun | None:
        """Return why the target gets no new request now, `None` if it may; ignores the queue."""
        return (
            self._breaker_refusal(check)
            or self._guard.refusal_while_down()
            or self._repeat_refusal(check)
        )

    def _repeat_refusal(self, check: AdmissionCheck) -> NotRun | None:
        with self._lock:
            allowed = self._repeats.admits(clock.now(), check)
        return None if allowed else NotRun(Reason.REPEATS_SPENT, RETRY_SOON_MS)

    def _breaker_refusal(self, check: AdmissionCheck) -> NotRun | None:
        if self._slots.leaving:
            return NotRun(Reason.LEAVING, RETRY_SOON_MS)
        now = clock.now()
        with self._lock:
            admitted = self._breaker.admits(
                now,
                trial=check.may_be_trial and check.spare,
                pressing=check.pressing,
            )
            wait_s = self._breaker.wait_s(now)
        self._breaker_log.log_change(now)
        if admitted:
            return None
        return NotRun(Reason.FAILING, max(BREAKER_RETRY_MS, int(wait_s * 1000.0)))

    def worsened(self, attempt: Attempt, bad: float) -> NotRun | None:
        """Refuse an attempt whose target became much more likely to fail while it waited.

        Args:
            attempt: The attempt, which has a slot now.
            bad: Failure probability of the target when it began to wait.
        """
        with self._lock:
            now_bad = self._estimator.bad(clock.now())
        if not attempt.last or attempt.pressing or now_bad < bad + MAX_WORSENING:
            return None
        return NotRun(Reason.DOUBTFUL, 0)

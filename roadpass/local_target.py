"""A target on this node's VM: admission, start and health; `exchange` then talks to it."""

import math
import threading

from roadpass import clock
from roadpass.body_source import streamed
from roadpass.breaker_log import BreakerLog
from roadpass.circuit_breaker import CircuitBreaker
from roadpass.dialect import OWN, Dialect
from roadpass.evidence import GATEWAY_TIMEOUT, Evidence, Running, counts_against
from roadpass.exchange import Exchange
from roadpass.failed_calls import CallLog
from roadpass.failure_detector import Scores
from roadpass.failure_estimator import LATE_LOSS_S, End, FailureEstimator, TrackedRequest
from roadpass.fence import FenceTable
from roadpass.fleet import Service, Target
from roadpass.fleet_repeats import FleetRepeats
from roadpass.message import AdmissionCheck, Attempt, LoadReport
from roadpass.notice_table import NoticeTable
from roadpass.outcome import (
    RETRY_SOON_MS,
    SERVER_ERROR,
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from roadpass.parent_requests import ParentRequests
from roadpass.pause import PauseWatch
from roadpass.quarantine import Quarantine
from roadpass.request import CallerWatch
from roadpass.room import TRIPPED_RISK, RoomReport
from roadpass.shedding import Shedding
from roadpass.shutdown import Shutdown
from roadpass.slots import Slots
from roadpass.start_limit import StartLimit
from roadpass.target import announced_timeout_s
from roadpass.target_admission import TargetAdmission
from roadpass.target_repeats import TargetRepeats
from roadpass.warm_up import WarmUps

MIN_START_MS = 2.0
"""Minimum time left, in milliseconds, to start an attempt."""


class LocalTarget:
    """Admission, at-most-once start, concurrency limit and health of one target; thread-safe.

    Args:
        target: Configuration of the target.
        service: Configuration of its service.
        fences: The sidecar's at-most-once table.
        pause: Detects pauses of this process.
        quarantine: The node's record of requests during which targets exited.
        calls: Outcomes of the requests that targets of this VM may have made.
        notices: What targets state about themselves.
        starts: Limit of the target's starts; it outlives this object.
        shutdown: When this process ends.
        repeats: The sidecar's accounts of repeats.
        dialect: Header names and rules to talk to the target.
        parents: The requests that run at the targets of this VM, `None` for new records.
        warm_ups: What targets state about their warm-up; `None` for a new table.
    """

    def __init__(
        self,
        target: Target,
        service: Service,
        fences: FenceTable,
        pause: PauseWatch,
        quarantine: Quarantine,
        calls: CallLog,
        notices: NoticeTable,
        starts: StartLimit,
        shutdown: Shutdown,
        repeats: FleetRepeats,
        *,
        dialect: Dialect = OWN,
        parents: ParentRequests | None = None,
        warm_ups: WarmUps | None = None,
    ) -> None:
        self._parents = parents or ParentRequests()
        self.target = target
        self._warm_ups = warm_ups or WarmUps()
        self._was_cold = False
        self._service = service
        self._notices = notices
        self._notice_lock = threading.Lock()
        self._shutdown = shutdown
        self._fences = fences
        self._pause = pause
        self._estimator = FailureEstimator(clock.now())
        self._breaker = CircuitBreaker(self._estimator)
        self._shedding = Shedding()
        self._repeats = TargetRepeats(service, repeats)
        self._lock = threading.Lock()
        self._breaker_log = BreakerLog(target.name, self._breaker, self._estimator, self._lock)
        self._slots = Slots(
            service.classes,
            slots=target.slots,
            queue_limit=service.queue_limit,
            lock=self._lock,
            shutdown=shutdown,
            starts=starts,
            bearable=self._bearable,
        )
        self._exchange = Exchange(
            target,
            service,
            self._slots,
            quarantine,
            calls,
            notices,
            dialect=dialect,
            warm_ups=self._warm_ups,
        )
        self._guard = self._exchange.guard
        self._evidence = Evidence(service.false_ejections_per_target_week, clock.now())
        self._admission = TargetAdmission(
            slots=self._slots,
            estimator=self._estimator,
            breaker=self._breaker,
            breaker_log=self._breaker_log,
            shedding=self._shedding,
            repeats=self._repeats,
            evidence=self._evidence,
            guard=self._guard,
            lock=self._lock,
        )
        self.leaving = target.leaving
        self.apply_notice()

    @property
    def leaving(self) -> bool:
        """Whether the target is shutting down or has been replaced."""
        return self._slots.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self._slots.leaving = leaving

    @property
    def in_flight(self) -> int:
        """Number of attempts that run or wait."""
        return self._slots.in_use + self._slots.waiting

    @property
    def scores(self) -> Scores:
        """Evidence against the target from all its traffic."""
        return self._evidence.scores

    def configure(self, target: Target, service: Service) -> bool:
        """Apply changed settings.

        Returns:
            Whether this object can go on; otherwise it must be replaced.
        """
        if target.instance != self.target.instance:
            return False
        if target.address != self.target.address or service.classes != self._service.classes:
            return False
        if service.queue_limit != self._service.queue_limit:
            return False
        with self._lock:
            self.target = target
            self._service = service
            self._exchange.configure(target, service)
            self._slots.resize(target.slots)
            self._repeats.configure(service)
            self.leaving = target.leaving or self._notices.is_leaving(target.name)
        return True

    def apply_notice(self) -> None:
        """Apply what the target has stated about itself: its limit, or that it leaves."""
        with self._notice_lock:  # of two threads the later one applies the latest limit
            self._slots.set_rate(clock.now(), self._notices.rate_per_s(self.target.name))
        if self._notices.is_leaving(self.target.name):
            self.leaving = True

    def report(self, revision: int, traffic_class: str = "", route: str = "") -> LoadReport:
        """Return the load report that goes with every response.

        Args:
            revision: Revision of the configuration in force here.
            traffic_class: Class for which the expected wait is reported.
            route: Route for which the expected wait is reported, empty if unknown.
        """
        scores = self._evidence.scores
        now = clock.now()
        with self._lock:
            bad = self._admission.expected_cost(now)
            wait = self._admission.expected_wait(now, traffic_class, route)
        return LoadReport(
            in_flight=self._slots.in_use,
            queued=self._slots.waiting,
            limit=self._slots.limit,
            failure_score=round(scores.failure, 3),
            slow_score=round(scores.slow, 3),
            latency_ms=round(self._evidence.latency_ms, 1),
            revision=revision,
            bad=round(bad, 3),
            wait_ms=round(wait.ms),
        )

    def room(self, queued: int = 0) -> RoomReport:
        """Return the report on the target's free capacity.

        Args:
            queued: Requests that wait for a slot elsewhere and were announced here.
        """
        now = clock.now()
        free = self._admission.free_slots(now)
        with self._lock:
            risk = self._admission.expected_cost(now)
            if self._breaker.tripped(now):
                risk = max(risk, TRIPPED_RISK)
        waiting = self._slots.waiting + queued
        return RoomReport(self.target.name, free, waiting, self._slots.service_ms, risk)

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.target.name

    @property
    def service_name(self) -> str:
        """Name of the target's service."""
        return self.target.service

    def hold_slot(self, rank: int) -> str | None:
        """Hold a free slot for a class by its rank; return the class, `None` if none is free."""
        return self._slots.hold(rank) if self._admission.may_grant() else None

    def release_hold(self, traffic_class: str) -> None:
        """Release a held slot that was not used."""
        self._slots.release(traffic_class, started=False)

    def refusal(self, check: AdmissionCheck, *, held: bool = False) -> NotRun | None:
        """Return why an attempt would be refused now, `None` if it would be accepted.

        Args:
            check: The check of the attempt.
            held: Whether a slot is held for it.
        """
        return self._admission.refusal(check, held=held) or _held_back(
            self._parents.held.wait_s(clock.now(), check.route)
        )

    def _record_shedding(self, outcome: Outcome) -> None:
        with self._lock:
            self._shedding.record(clock.now(), outcome)

    def run(
        self,
        attempt: Attempt,
        deadline: float,
        watch: CallerWatch | None = None,
        held: str | None = None,
    ) -> Outcome:
        """Run one attempt: admit it, start it at most once, and wait for its outcome.

        Args:
            attempt: The attempt.
            deadline: Clock seconds.
            watch: Detects that the caller has disconnected, if this node is also its ingress.
            held: Class under which a slot is held for it, `None` if there is none.
        """
        check = AdmissionCheck.of(attempt)
        refusal = self._guard.refusal(attempt) or self.refusal(check, held=held is not None)
        if refusal is not None:
            if held is not None:
                self.release_hold(held)
            return refusal
        with self._lock:
            typical_ms = self._estimator.latency(attempt.route).typical_ms
            bad = self._estimator.bad(clock.now())
        if held is not None:
            refusal = self._slots.use_hold(held, attempt)
        else:
            refusal = self._slots.acquire(attempt, deadline, typical_ms)
        if refusal is not None:
            return refusal
        started = False
        try:
            self._pause.settle()
            unclaimed = self._admission.worsened(attempt, bad) or self._claim(
                attempt, deadline, watch
            )
            if unclaimed is not None:
                return unclaimed
            started = True
            return self._execute(attempt, deadline, watch)
        finally:
            self._slots.release(attempt.traffic_class, started=started)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt that waits or runs here; does nothing for an unknown id."""
        if not self.cancel_wait(attempt_id):
            self._exchange.cancel(attempt_id)

    def extend_deadline(self, attempt_id: str, until: float) -> bool:
        """Extend the deadline of a running attempt; return whether it runs here."""
        return self._exchange.extend_deadline(attempt_id, until)

    def cancel_wait(self, attempt_id: str) -> bool:
        """End the wait of a queued attempt; return whether it was waiting."""
        return self._slots.cancel(attempt_id)

    def scan_running(self, now: float) -> None:
        """Count overdue requests in flight as evidence against the target; called regularly.

        Also applies the limit of a target that warms up.
        """
        cold = self._warm_ups.is_cold(now, self.target.name)
        if cold or self._was_cold:
            self._slots.apply_limit(now)
        self._was_cold = cold
        excused_until = self._excused_until(now)
        with self._lock:
            self._estimator.discount_stall(excused_until)
            self._estimator.count_unanswered(now)
        for _ in range(self._evidence.find_overdue(now, excused_until)):
            with self._lock:
                self._evidence.learn_pending()

    def forget_old_evidence(self, now: float) -> None:
        """Drop old evidence while idle, so that a target that gets requests again starts afresh."""
        with self._lock:
            self._evidence.forget_old(now)

    def _bearable(self, now: float) -> int:
        """Return how many requests the target bears at once."""
        return self._warm_ups.limit(now, self.target.name, self.target.slots)

    def _excused_until(self, now: float) -> float:
        """Return the clock seconds up to which slowness is no evidence against the target.

        This process was stalled then, or the target was cold.
        """
        return max(self._pause.last_stall, self._warm_ups.cold_at(now, self.target.name))

    def _claim(
        self, attempt: Attempt, deadline: float, watch: CallerWatch | None
    ) -> Outcome | None:
        now = clock.now()
        if watch is not None and watch.watchable and watch.gone():
            return NotRun(Reason.CANCELLED, RETRY_SOON_MS)
        if (deadline - now) * 1000.0 < MIN_START_MS:
            return NotRun(Reason.EXPIRED, RETRY_SOON_MS)
        if now >= self._shutdown.last_start(attempt.usual_ms):  # reached late for lack of CPU time
            return NotRun(Reason.LEAVING, RETRY_SOON_MS)
        refusal = self._admission.new_work_refusal(
            AdmissionCheck.of(attempt)
        ) or self._guard.refusal(attempt)
        refusal = refusal or _held_back(self._parents.held.take(now, attempt.route))
        if refusal is not None:
            return refusal
        with self._lock:  # of two repeats that were admitted by the last one left, one may start
            if not self._repeats.take(now, attempt):
                return NotRun(Reason.REPEATS_SPENT, RETRY_SOON_MS)
        reason = self._fences.claim(now, attempt.id, attempt.key, repeat=attempt.repeat)
        match reason:
            case None:
                return None
            case Reason.FENCED:
                return NotRun(Reason.FENCED, RETRY_SOON_MS)
            case _:
                return Unknown(reason)

    def _execute(self, attempt: Attempt, deadline: float, watch: CallerWatch | None) -> Outcome:
        """Send an attempt to the target and learn from its outcome."""
        started = clock.now()
        running = self._evidence.begin(attempt.id, started, attempt.slow_ms)
        tracked, bad = self._record_start(attempt, started)
        if (source := streamed(watch)) is not None:

            def discount_wait(now: float) -> None:
                running.started = tracked.observed_from = now

            source.add_listener(discount_wait)
        outcome: Outcome = Unknown(Reason.TARGET_LOST)
        end = End.INCONCLUSIVE
        told = started + announced_timeout_s(deadline - started)
        self._parents.begin(started, attempt, self._service, deadline=deadline, told=told)
        try:
            outcome, end = self._exchange.run(
                attempt, started, deadline, watch, bad=bad, trial=tracked.trial
            )
        finally:
            answered = isinstance(outcome, Answered | NotRun)
            self._parents.end(clock.now(), attempt.id, answered=answered)
            self._evidence.end(attempt.id)
            self._record_shedding(outcome)
            self._record_end(attempt, tracked, end)
        cold = self._warm_ups.cold_at(clock.now(), self.target.name) >= started
        if end is not End.DEPENDENCY_FAILED and not (cold and end is End.NO_RESPONSE):
            self._learn(attempt, outcome, running, cold=cold)
        return outcome

    def _record_start(self, attempt: Attempt, started: float) -> tuple[TrackedRequest, float]:
        """Record the start of an attempt; also return the failure probability before it."""
        with self._lock:
            bad = self._estimator.bad(started)
            tracked = self._breaker.begin(
                started, attempt.route, expected_ms=attempt.usual_ms, customer=attempt.customer
            )
            self._repeats.record_arrival(started, attempt)
        return tracked, bad

    def _record_end(self, attempt: Attempt, tracked: TrackedRequest, end: End) -> None:
        now = clock.now()
        with self._lock:
            self._breaker.end(now, tracked, end, stalled_at=self._excused_until(now))
        self._breaker_log.log_change(now, attempt)

    def _learn(self, attempt: Attempt, outcome: Outcome, running: Running, *, cold: bool) -> None:
        """Update scores and limit by an outcome; immediate losses count for the breaker only.

        The slowness of a target that was cold meanwhile is no evidence.
        """
        if cold:
            running.slow_ms = 0.0
        if isinstance(outcome, Answered) and outcome.status < SERVER_ERROR:
            self._guard.answered(attempt)
        service_ms = (clock.now() - running.started) * 1000.0
        failed = counts_against(outcome, late=service_ms >= LATE_LOSS_S * 1000.0)
        if failed is None:
            return
        if self._pause.last_stall >= running.started:
            return
        with self._lock:
            self._evidence.learn(clock.now(), running, service_ms, failed=failed)
            if isinstance(outcome, Answered) and outcome.status != GATEWAY_TIMEOUT:
                self._slots.learn(service_ms, running.slow_ms)


def _held_back(wait_s: float) -> NotRun | None:
    """Return the refusal of a request whose route is held back for some seconds, if it is."""
    return NotRun(Reason.HELD_BACK, math.ceil(wait_s * 1000.0)) if wait_s > 0.0 else None

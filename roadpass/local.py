"""A target on this node's own VM: what is decided beside it; `exchange` then speaks with it."""

import threading

from roadpass import clock
from roadpass.belief import LATE_S, Belief, End, Visit
from roadpass.call_log import CallLog
from roadpass.detect import Scores
from roadpass.dialect import OWN, Dialect
from roadpass.door import Door
from roadpass.door_log import DoorLog
from roadpass.ending import Ending
from roadpass.evidence import GATEWAY_TIMEOUT, Evidence, Running, speaks_against
from roadpass.exchange import Exchange
from roadpass.fence import FenceTable
from roadpass.fleet import Service, Target
from roadpass.message import AdmissionCheck, Attempt, LoadReport
from roadpass.outcome import (
    RETRY_SOON_MS,
    SERVER_ERROR,
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from roadpass.pause import PauseWatch
from roadpass.quarantine import Quarantine
from roadpass.request import CallerWatch
from roadpass.retry import RepeatAllowance
from roadpass.shedding import Shedding
from roadpass.slots import Slots

MIN_START_MS = 2.0
"""Milliseconds; with less time left an attempt is not started."""
WORSE_BY = 0.15
"""How much more probably bad a target may have become while a request waited that is lost if it
fails: about what the way to another costs."""
SICK_RETRY_MS = 600
"""Milliseconds after which to ask again at a shut door, at the least: every ingress asks, and
spells last seconds, but a door opens only to who asks."""


class LocalTarget:
    """Admission, at-most-once start, limit and health of one target.

    Args:
        target: As configured.
        service: As configured.
        fences: The sidecar's table.
        pause: The node's pause watch.
        quarantine: What the node knows of requests under which targets ended.
        calls: What became of the requests that the target may have made.
        ending: When this process ends.
        dialect: How the target is spoken to.
    """

    def __init__(
        self,
        target: Target,
        service: Service,
        fences: FenceTable,
        pause: PauseWatch,
        quarantine: Quarantine,
        calls: CallLog,
        ending: Ending,
        *,
        dialect: Dialect = OWN,
    ) -> None:
        self.target = target
        self._service = service
        self._ending = ending
        self._fences = fences
        self._pause = pause
        self._belief = Belief(clock.now())
        self._door = Door(self._belief)
        self._shedding = Shedding()
        self._repeats = RepeatAllowance(
            service.retry_ratio,
            slack=service.target_repeats,
            window_s=service.retry_window_s,
        )
        self._lock = threading.Lock()
        self._door_log = DoorLog(target.name, self._door, self._belief, self._lock)
        self._slots = Slots(
            service.classes,
            slots=target.slots,
            queue_limit=service.queue_limit,
            lock=self._lock,
            ending=ending,
        )
        self._exchange = Exchange(target, service, self._slots, quarantine, calls, dialect=dialect)
        self._guard = self._exchange.guard
        self._evidence = Evidence(service.false_ejections_per_target_week, clock.now())
        self.leaving = target.leaving

    @property
    def leaving(self) -> bool:
        """Whether the target leaves, or has been replaced."""
        return self._slots.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self._slots.leaving = leaving

    @property
    def in_flight(self) -> int:
        """Attempts that run or wait."""
        return self._slots.in_use + self._slots.waiting

    @property
    def scores(self) -> Scores:
        """Evidence against the target, seen over all its traffic."""
        return self._evidence.scores

    def configure(self, target: Target, service: Service) -> bool:
        """Take over changed settings.

        Returns:
            Whether this object can serve on; otherwise it must be replaced.
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
            self._repeats.configure(
                service.retry_ratio,
                slack=service.target_repeats,
                window_s=service.retry_window_s,
            )
            self.leaving = target.leaving
        return True

    def report(self, revision: int, traffic_class: str = "", route: str = "") -> LoadReport:
        """Return the load report that goes with every answer.

        Args:
            revision: Of the configuration in force here.
            traffic_class: Whose wait for a slot is told,
            route: and of which route.
        """
        scores = self._evidence.scores
        now = clock.now()
        with self._lock:
            bad = self._doubt(now)
            wait_ms = self._expected_wait_ms(now, traffic_class, route)
        return LoadReport(
            in_flight=self._slots.in_use,
            queued=self._slots.waiting,
            limit=self._slots.limit,
            failure_score=round(scores.failure, 3),
            slow_score=round(scores.slow, 3),
            latency_ms=round(self._evidence.latency_ms, 1),
            revision=revision,
            bad=round(bad, 3),
            wait_ms=round(wait_ms),
        )

    def refusal(self, question: AdmissionCheck) -> NotRun | None:
        """Return why an attempt would be refused now, `None` if it would be taken."""
        refusal = self._new_work_refusal(question)
        if refusal is not None:
            return refusal
        now = clock.now()
        with self._lock:
            wait_ms = self._expected_wait_ms(now, question.traffic_class, question.route)
            bad = self._belief.bad(now)
            shed_loss = self._shedding.loss(now)
            tries = self._door.tries(now, trial=question.may_be_trial and question.spare)
        if wait_ms > (question.most_wait_ms if question.may_wait else 0.0):
            return NotRun(Reason.BUSY, int(wait_ms))
        if shed_loss > question.most_bad or (bad > question.most_bad and not tries):
            return NotRun(Reason.DOUBTFUL, 0)
        return None

    def _expected_wait_ms(self, now: float, traffic_class: str, route: str) -> float:
        """Return how long a new request would wait: long where the slots' requests hang."""
        own_ms = self._belief.usual(route).typical_ms if route else 0.0
        wait_ms = self._slots.expected_wait_ms(traffic_class, own_ms)
        if wait_ms <= 0.0:
            return 0.0
        return self._evidence.stretched_wait_ms(now, wait_ms, self._slots.service_ms)

    def _doubt(self, now: float) -> float:
        """Return what going there probably costs, as a share of a lost request."""
        bad = self._belief.bad(now)
        return bad + (1.0 - bad) * self._shedding.loss(now)

    def _note_shedding(self, outcome: Outcome) -> None:
        with self._lock:
            self._shedding.note(clock.now(), outcome)

    def _new_work_refusal(self, question: AdmissionCheck) -> NotRun | None:
        """Return why the target is given no new work now, `None` if it is, whatever its queue."""
        return self._door_refusal(question) or self._guard.away() or self._repeat_refusal(question)

    def _repeat_refusal(self, question: AdmissionCheck) -> NotRun | None:
        with self._lock:
            allowed = not question.repeat or self._repeats.has_one(clock.now())
        return None if allowed else NotRun(Reason.REPEATS_SPENT, RETRY_SOON_MS)

    def _door_refusal(self, question: AdmissionCheck) -> NotRun | None:
        if self.leaving:
            return NotRun(Reason.LEAVING, RETRY_SOON_MS)
        now = clock.now()
        with self._lock:
            admitted = self._door.admits(
                now,
                trial=question.may_be_trial and question.spare,
                pressing=question.pressing,
            )
            wait_s = self._door.wait_s(now)
        self._door_log.tell(now)
        if admitted:
            return None
        return NotRun(Reason.SICK, max(SICK_RETRY_MS, int(wait_s * 1000.0)))

    def run(self, attempt: Attempt, deadline: float, watch: CallerWatch | None = None) -> Outcome:
        """Admit, start at most once, and see to the end of one attempt.

        Args:
            attempt: What to run.
            deadline: Clock seconds.
            watch: Tells when the caller has left, where this node is also its ingress.
        """
        refusal = self._guard.refusal(attempt) or self.refusal(AdmissionCheck.of(attempt))
        if refusal is not None:
            return refusal
        with self._lock:
            own_ms = self._belief.usual(attempt.route).typical_ms
            bad = self._belief.bad(clock.now())
        refusal = self._slots.take(attempt, deadline, own_ms)
        if refusal is not None:
            return refusal
        try:
            self._pause.settle()
            unclaimed = self._worsened(attempt, bad) or self._claim(attempt, deadline, watch)
            if unclaimed is not None:
                return unclaimed
            return self._put(attempt, deadline, watch)
        finally:
            self._slots.release(attempt.traffic_class)

    def cancel(self, attempt_id: str) -> None:
        """Pass a cancellation on to an attempt that waits or runs here."""
        if not self.send_back(attempt_id):
            self._exchange.cancel(attempt_id)

    def keep(self, attempt_id: str, until: float) -> bool:
        """Give an attempt that runs time until a moment; return whether it runs."""
        return self._exchange.keep(attempt_id, until)

    def send_back(self, attempt_id: str) -> bool:
        """End the wait of an attempt; return whether it waited."""
        return self._slots.cancel(attempt_id)

    def scan_running(self, now: float) -> None:
        """Count requests that the target has had for far too long as evidence against it."""
        with self._lock:
            self._belief.stall(self._pause.last_stall)
            self._belief.watch(now)
        for _ in range(self._evidence.find_overdue(now, self._pause.last_stall)):
            with self._lock:
                self._evidence.learn_pending()

    def forget_old_evidence(self, now: float) -> None:
        """Drop evidence once no work has come for a while: who returns is judged anew."""
        with self._lock:
            self._evidence.forget_old(now)

    def _worsened(self, attempt: Attempt, bad: float) -> NotRun | None:
        """Return why an attempt goes elsewhere whose target fell silent while it waited."""
        with self._lock:
            now_bad = self._belief.bad(clock.now())
        if not attempt.last or attempt.pressing or now_bad < bad + WORSE_BY:
            return None
        return NotRun(Reason.DOUBTFUL, 0)

    def _claim(
        self, attempt: Attempt, deadline: float, watch: CallerWatch | None
    ) -> Outcome | None:
        now = clock.now()
        if watch is not None and watch.watchable and watch.gone():
            return NotRun(Reason.CANCELLED, RETRY_SOON_MS)
        if (deadline - now) * 1000.0 < MIN_START_MS:
            return NotRun(Reason.EXPIRED, RETRY_SOON_MS)
        if now >= self._ending.last_start(attempt.usual_ms):  # a node short of time came here late
            return NotRun(Reason.LEAVING, RETRY_SOON_MS)
        refusal = self._new_work_refusal(AdmissionCheck.of(attempt)) or self._guard.refusal(attempt)
        if refusal is not None:
            return refusal
        reason = self._fences.claim(now, attempt.id, attempt.key, repeat=attempt.repeat)
        match reason:
            case None:
                return None
            case Reason.FENCED:
                return NotRun(Reason.FENCED, RETRY_SOON_MS)
            case _:
                return Unknown(reason)

    def _put(self, attempt: Attempt, deadline: float, watch: CallerWatch | None) -> Outcome:
        """Put an attempt to the target, and note what that shows of it."""
        started = clock.now()
        running = self._evidence.begin(attempt.id, started, attempt.slow_ms)
        visit, bad = self._note_start(attempt, started)
        outcome: Outcome = Unknown(Reason.TARGET_LOST)
        end = End.NOTHING
        try:
            outcome, end = self._exchange.run(
                attempt, started, deadline, watch, bad=bad, trial=visit.trial
            )
        finally:
            self._evidence.end(attempt.id)
            self._note_shedding(outcome)
            self._note_end(attempt, visit, end)
        if end is not End.EXCUSED:
            self._learn(attempt, outcome, running)
        return outcome

    def _note_start(self, attempt: Attempt, started: float) -> tuple[Visit, float]:
        """Count that the target gets an attempt; return also how bad it was believed to be."""
        with self._lock:
            bad = self._belief.bad(started)
            visit = self._door.begin(
                started, attempt.route, told_ms=attempt.usual_ms, customer=attempt.customer
            )
            self._repeats.arrive(started, repeat=attempt.retry)
        return visit, bad

    def _note_end(self, attempt: Attempt, visit: Visit, end: End) -> None:
        now = clock.now()
        with self._lock:
            self._door.end(now, visit, end, stalled_at=self._pause.last_stall)
        self._door_log.tell(now, attempt)

    def _learn(self, attempt: Attempt, outcome: Outcome, running: Running) -> None:
        """Take an attempt's end as evidence; losses at once are the door's, late ones count."""
        if isinstance(outcome, Answered) and outcome.status < SERVER_ERROR:
            self._guard.answered(attempt)
        service_ms = (clock.now() - running.started) * 1000.0
        failed = speaks_against(outcome, kept=service_ms >= LATE_S * 1000.0)
        if failed is None:
            return
        if self._pause.last_stall >= running.started:
            return
        with self._lock:
            self._evidence.learn(clock.now(), running, service_ms, failed=failed)
            if isinstance(outcome, Answered) and outcome.status != GATEWAY_TIMEOUT:
                self._slots.learn(service_ms, attempt.slow_ms)

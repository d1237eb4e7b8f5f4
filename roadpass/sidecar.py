"""The sidecar: every request to a target of this VM passes through it."""

import random
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

from roadpass import clock
from roadpass._generated.message_types import Fenced, Hello, Recalled
from roadpass.active_count import ActiveCount
from roadpass.dialect import OWN, Dialect
from roadpass.errors import StreamError
from roadpass.failed_calls import CallLog
from roadpass.fence import FenceTable, Verdict
from roadpass.fleet import Fleet
from roadpass.fleet_repeats import FleetRepeats
from roadpass.local_target import LocalTarget
from roadpass.message import AdmissionCheck, Attempt, LoadReport, Message, Reply
from roadpass.metric import Gauge, Metrics
from roadpass.notice_table import NoticeTable
from roadpass.outcome import RETRY_SOON_MS, NotRun, Outcome, Reason, Unknown
from roadpass.parent_requests import ParentRequests
from roadpass.pause import PauseWatch
from roadpass.quarantine import Quarantine
from roadpass.request import CallerWatch
from roadpass.shutdown import Shutdown
from roadpass.slot_offers import SlotOffers
from roadpass.start_limit import StartLimit
from roadpass.warm_up import WarmUps

MAX_FIRST_SLOT = 1 << 31
"""Bound of the number of a process's first slot: messages hold the following numbers, too."""
CLOCK_TOLERANCE_S = 5.0
"""Seconds by which a selector's time window is extended here, for clock differences between VMs."""


class Sidecar:
    """Serves attempts, fences and pulls; called by the stream threads and the local ingress.

    Args:
        vm: Name of this VM.
        incarnation: Number of this process, higher than that of earlier ones on the VM.
        pause: Detects pauses of this process.
        pull: Replies to a peer that requests the configuration or source updates.
        behind: Called with an ingress's VM and its revision if that is newer than the one here.
        dialect: Header names and rules to talk to the targets.
        shutdown: When this process ends, `None` if it has no planned shutdown.
        notices: What targets state about themselves, as this node knows it; `None` for a new table.
        metrics: Counts refusals by limits of targets; `None` to discard the counts.
        repeats: Accounts of repeats; `None` for new ones.
        warm_ups: What targets state about their warm-up; `None` for a new table.

    Attributes:
        calls: Outcomes of the requests that targets of this VM may have made.
        slot_offers: Grants free slots to ingresses whose requests wait.
        parents: The requests that run at the targets of this VM.
        replies: Counts outcomes of attempts that are being sent back to peers.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        pause: PauseWatch,
        *,
        pull: Callable[[Message], Message],
        behind: Callable[[str, int], None],
        dialect: Dialect = OWN,
        shutdown: Shutdown | None = None,
        notices: NoticeTable | None = None,
        metrics: Metrics | None = None,
        repeats: FleetRepeats | None = None,
        warm_ups: WarmUps | None = None,
    ) -> None:
        self._warm_ups = warm_ups or WarmUps()
        self._ending = shutdown or Shutdown()
        self._dialect = dialect
        self._vm = vm
        self._incarnation = incarnation
        self._pause = pause
        self._pull = pull
        self._behind = behind
        self._fences = FenceTable(started_at=clock.now())
        self._quarantine = Quarantine()
        self._notices = notices or NoticeTable()
        self._metrics = metrics or Metrics()
        self._repeats = repeats or FleetRepeats(vm, incarnation, random.Random())
        self.calls = CallLog()
        self.slot_offers = SlotOffers(incarnation % MAX_FIRST_SLOT, self._metrics)
        self.parents = ParentRequests()
        self._metrics.add_gauge(Gauge("held_back_routes", "route", self.parents.held.held))
        self._fleet = Fleet.empty()
        self._targets: dict[str, LocalTarget] = {}
        self._start_limits: dict[str, StartLimit] = {}
        self._retired: list[LocalTarget] = []
        self._lock = threading.Lock()
        self._notices.on_target = self._apply_notice
        self.leaving = False
        self.refused = 0
        self.replies = ActiveCount()

    @property
    def in_flight(self) -> int:
        """Attempts that run or wait at all targets, and outcomes being sent to peers."""
        return sum(local.in_flight for local in self._known_targets()) + self.replies.value

    @property
    def targets(self) -> dict[str, LocalTarget]:
        """The targets of this VM by name."""
        return self._targets

    @property
    def repeats(self) -> FleetRepeats:
        """The accounts of repeats of this sidecar."""
        return self._repeats

    @property
    def quarantine(self) -> Quarantine:
        """The node's record of requests during which targets exited."""
        return self._quarantine

    @property
    def notices(self) -> NoticeTable:
        """What targets state about themselves, as this node knows it."""
        return self._notices

    def configure(self, fleet: Fleet) -> None:
        """Apply a revision of the configuration to the targets of this VM."""
        self._notices.configure(clock.now(), fleet.targets)
        self.slot_offers.enabled = fleet.sharing.queue
        self._repeats.configure(clock.now(), fleet)
        self.parents.enabled = fleet.sharing.parents
        targets: dict[str, LocalTarget] = {}
        for target in fleet.targets_on(self._vm):
            service = fleet.services[target.service]
            local = self._targets.get(target.name)
            if local is None or not local.configure(target, service):
                local = LocalTarget(
                    target,
                    service,
                    self._fences,
                    self._pause,
                    self._quarantine,
                    self.calls,
                    self._notices,
                    self._start_limits.setdefault(target.name, StartLimit()),
                    self._ending,
                    self._repeats,
                    dialect=self._dialect,
                    parents=self.parents,
                    warm_ups=self._warm_ups,
                )
            targets[target.name] = local
        gone = [t for name, t in self._targets.items() if targets.get(name) is not t]
        for local in gone:
            local.leaving = True
        with self._lock:
            self._retired = [t for t in (*self._retired, *gone) if t.in_flight]
            self._targets = targets
            self._fleet = fleet

    def _known_targets(self) -> list[LocalTarget]:
        """Return all targets, including replaced ones that still have attempts in flight."""
        return [*self._targets.values(), *self._retired]

    def expire(self) -> None:
        """Drop expired fences and statements of targets; called regularly."""
        now = clock.now()
        self._fences.expire(now)
        self._notices.expire(now)
        for name in list(self._start_limits):
            if name not in self._targets and self._notices.rate_per_s(name) is None:
                self._start_limits.pop(name, None)

    def check(self, check: AdmissionCheck) -> Message:
        """Return whether an attempt would be accepted, without running it."""
        local = self._targets.get(check.target)
        if local is None:
            return Reply(NotRun(Reason.STALE_ROUTE, RETRY_SOON_MS)).to_message()
        self._merge_notice(check.target, check.notice)
        refusal = self._check_refusal(check, local)
        self._count_limited(refusal)
        notice = self._notices.row(clock.now(), check.target)
        match refusal:
            case None:
                return {"t": "accepted", "takes_parts": True}
            case NotRun(reason=Reason.BUSY | Reason.DOUBTFUL | Reason.LIMITED):
                report = local.report(self._fleet.revision, check.traffic_class, check.route)
                return Reply(refusal, report, notice=notice).to_message()
            case _:
                return Reply(refusal, notice=notice).to_message()

    def _check_refusal(self, check: AdmissionCheck, local: LocalTarget) -> NotRun | None:
        """Return why an attempt would be refused; then the slot held for it is released."""
        offers = self.slot_offers
        if check.slot is not None and offers.extend(check.target, check.slot):
            refusal = local.refusal(check, held=True)
            if refusal is not None:
                offers.give_back(check.target, check.slot)
            return refusal
        if offers.is_behind(local.service_name, check.wait):
            return NotRun(Reason.BUSY, RETRY_SOON_MS)
        return local.refusal(check)

    def _take_slot(self, attempt: Attempt, local: LocalTarget) -> str | None:
        """Return the class under which a slot is held for an attempt, `None` if there is none."""
        if attempt.slot is None:
            return None
        hold = self.slot_offers.take(attempt.target, attempt.slot)
        if hold is not None and hold.owner is not local:  # the target was replaced meanwhile
            self.slot_offers.release(hold)
            return None
        return hold.traffic_class if hold is not None else None

    def assign_slots(self) -> None:
        """Release holds that have passed, and grant free slots; called regularly."""
        self.slot_offers.expire()
        if not self.leaving:
            for local in self._targets.values():
                self.slot_offers.assign(local)

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        """Run one attempt and return its outcome with a load report.

        Args:
            attempt: The attempt.
            age_s: Seconds that its frame was in transit or waited to be read.
            watch: Detects that the caller has disconnected, if this node is also its ingress.
        """
        deadline = clock.now() + attempt.remaining_ms / 1000.0 - age_s
        local = self._targets.get(attempt.target)
        if local is not None:
            self._merge_notice(attempt.target, attempt.notice)
        refusal = self._refusal(attempt, local, deadline)
        if refusal is not None or local is None:
            if attempt.slot is not None:
                self.slot_offers.give_back(attempt.target, attempt.slot)
            self.refused += 1
            outcome: Outcome = refusal or NotRun(Reason.STALE_ROUTE, RETRY_SOON_MS)
            return self._reply(outcome, local, attempt)
        held = self._take_slot(attempt, local)
        outcome = local.run(attempt, deadline, watch, held)
        if not self.leaving:
            self.slot_offers.assign(local)
        self._count_limited(outcome)
        return self._reply(outcome, local, attempt)

    def _reply(self, outcome: Outcome, local: LocalTarget | None, attempt: Attempt) -> Reply:
        """Return the reply to an attempt, with what is known of its target and of its request."""
        return Reply(
            outcome,
            self._report(local, attempt) if local is not None else None,
            self._quarantine_row(outcome, attempt),
            self._notices.row(clock.now(), attempt.target),
        )

    def _count_limited(self, outcome: Outcome | None) -> None:
        match outcome:
            case NotRun(reason=Reason.LIMITED):
                self._metrics.count("limit_refusals")
            case NotRun(reason=Reason.HELD_BACK):
                self._metrics.count("held_back_refusals")
            case _:
                pass

    def _merge_notice(self, target: str, notice: list[Any] | None) -> None:
        """Learn from an ingress what a target of this VM stated before this process started."""
        if notice is not None:
            self._notices.merge(clock.now(), target, notice, "ingress")

    def _apply_notice(self, target: str) -> None:
        """Apply a changed statement, if it is of a target of this VM."""
        local = self._targets.get(target)
        if local is not None:
            local.apply_notice()

    def _report(self, local: LocalTarget, attempt: Attempt) -> LoadReport:
        return local.report(self._fleet.revision, attempt.traffic_class, attempt.route)

    def _quarantine_row(self, outcome: Outcome, attempt: Attempt) -> list[Any] | None:
        """Return the quarantine entry of a request that was lost or is quarantined."""
        match outcome:
            case Unknown(reason=Reason.TARGET_LOST) | NotRun(reason=Reason.QUARANTINED):
                return self._quarantine.row(clock.now(), attempt.fingerprint)
            case _:
                return None

    def fence(self, attempt_id: str) -> Verdict:
        """Guarantee that an attempt never starts here; if it has started, cancel it."""
        verdict = self._fences.fence(clock.now(), attempt_id)
        for local in self._known_targets():
            local.cancel(attempt_id)
        return verdict

    def keep(self, deadlines: Mapping[str, float]) -> list[str]:
        """Extend the deadlines of running attempts; the argument maps ids to clock seconds.

        Returns:
            Ids of the attempts that run here.
        """
        known = self._known_targets()
        return [
            name
            for name, until in deadlines.items()
            if any(one.extend_deadline(name, until) for one in known)
        ]

    def recall(self, attempt_ids: list[str]) -> list[str]:
        """Guarantee that attempts never start here; those that have started go on.

        Returns:
            Ids of the attempts that never start.
        """
        now = clock.now()
        verdicts = {name: self._fences.fence(now, name) for name in attempt_ids}
        kept = [name for name, verdict in verdicts.items() if verdict is Verdict.NEVER_STARTS]
        for name in kept:
            for local in self._known_targets():
                local.cancel_wait(name)
        return kept

    def fence_key(self, key: str, token: str) -> Verdict:
        """Guarantee that only the attempt with the id `token` may still start with a key."""
        return self._fences.fence_key(clock.now(), key, token)

    def hello(self) -> Hello:
        """Return the first message of a peer stream, which identifies this process."""
        return {"t": "hello", "vm": self._vm, "incarnation": self._incarnation}

    def answer(self, message: Message, age_s: float) -> Message:
        """Return the reply to one message of a peer stream.

        Args:
            message: The request, already validated.
            age_s: Seconds that its frame was in transit or waited to be read.

        Raises:
            StreamError: The message is not a request.
        """
        match message["t"]:
            case "attempt":
                return self.run(Attempt.from_message(message), age_s).to_message()
            case "check":
                return self.check(AdmissionCheck.from_message(message))
            case "fence":
                return self._fenced(self.fence(message["id"]))
            case "keep":
                until = (clock.now() + left_ms / 1000.0 for left_ms in message["left_ms"])
                return {
                    "t": "kept",
                    "ids": self.keep(dict(zip(message["ids"], until, strict=False))),
                }
            case "recall":
                return self._recalled(self.recall(message["ids"]))
            case "fence_key":
                return self._fenced(self.fence_key(message["key"], message["id"]))
            case "pull" | "catch_up":
                return self._pull(message)
            case other:
                raise StreamError(f"The peer sent a message of type '{other}', not a request.")

    def _recalled(self, never_start: list[str]) -> Recalled:
        return {"t": "recalled", "ids": never_start, "incarnation": self._incarnation}

    def _fenced(self, verdict: Verdict) -> Fenced:
        return {"t": "fenced", "verdict": verdict.value, "incarnation": self._incarnation}

    def _refusal(
        self, attempt: Attempt, local: LocalTarget | None, deadline: float
    ) -> NotRun | None:
        if clock.now() >= deadline:
            return NotRun(Reason.EXPIRED, RETRY_SOON_MS)
        if self.leaving or (local is not None and local.leaving):
            return NotRun(Reason.LEAVING, RETRY_SOON_MS)
        fleet = self._fleet
        if attempt.revision > fleet.revision:
            self._behind(attempt.ingress, attempt.revision)
            return None if local is not None else NotRun(Reason.STALE_ROUTE, RETRY_SOON_MS)
        if local is None or not self._selected(fleet, attempt):
            return NotRun(Reason.STALE_ROUTE, RETRY_SOON_MS)
        return None

    @staticmethod
    def _selected(fleet: Fleet, attempt: Attempt) -> bool:
        now = time.time()
        if fleet.may_serve(attempt.route, attempt.target, now):
            return True
        earlier, later = now - CLOCK_TOLERANCE_S, now + CLOCK_TOLERANCE_S
        return fleet.may_serve(attempt.route, attempt.target, earlier) or fleet.may_serve(
            attempt.route, attempt.target, later
        )

"""The sidecar: the only way to the targets of this VM."""

import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

from roadpass import clock
from roadpass._generated.message_types import Fenced, Hello, Recalled
from roadpass.active_count import ActiveCount
from roadpass.call_log import CallLog
from roadpass.dialect import OWN, Dialect
from roadpass.ending import Ending
from roadpass.errors import StreamError
from roadpass.fence import FenceTable, Verdict
from roadpass.fleet import Fleet
from roadpass.local import LocalTarget
from roadpass.message import AdmissionCheck, Attempt, LoadReport, Message, Reply
from roadpass.outcome import RETRY_SOON_MS, NotRun, Outcome, Reason, Unknown
from roadpass.pause import PauseWatch
from roadpass.quarantine import Quarantine
from roadpass.request import CallerWatch

CLOCK_TOLERANCE_S = 5.0
"""A selector that ended this short a time ago still counts at the target's side."""


class Sidecar:
    """Serves attempts, fences and pulls; called by the stream threads and the own ingress.

    Args:
        vm: Name of this VM.
        incarnation: Number of this process, higher than those before it on the VM.
        pause: The node's pause watch.
        pull: Answers a peer that asks for the configuration or for news of the source.
        behind: Called with an ingress's VM and its revision when that is newer than the own one.
        dialect: How the targets are spoken to.
        ending: When this process ends, `None` for one that is not told to stop.

    Attributes:
        calls: What became of the requests that this VM's targets may have made.
        replies: Counts outcomes of attempts on their way back to peers.
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
        ending: Ending | None = None,
    ) -> None:
        self._ending = ending or Ending()
        self._dialect = dialect
        self._vm = vm
        self._incarnation = incarnation
        self._pause = pause
        self._pull = pull
        self._behind = behind
        self._fences = FenceTable(started_at=clock.now())
        self._quarantine = Quarantine()
        self.calls = CallLog()
        self._fleet = Fleet.empty()
        self._targets: dict[str, LocalTarget] = {}
        self._retired: list[LocalTarget] = []
        self._lock = threading.Lock()
        self.leaving = False
        self.refused = 0
        self.replies = ActiveCount()

    @property
    def in_flight(self) -> int:
        """Attempts that run or wait at all targets, and outcomes on their way to peers."""
        return sum(local.in_flight for local in self._known()) + self.replies.value

    @property
    def targets(self) -> dict[str, LocalTarget]:
        """The targets of this VM by name."""
        return self._targets

    @property
    def quarantine(self) -> Quarantine:
        """What this node knows of requests under which targets ended."""
        return self._quarantine

    def configure(self, fleet: Fleet) -> None:
        """Put a revision in force at the targets of this VM."""
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
                    self._ending,
                    dialect=self._dialect,
                )
            targets[target.name] = local
        gone = [t for name, t in self._targets.items() if targets.get(name) is not t]
        for local in gone:
            local.leaving = True
        with self._lock:
            self._retired = [t for t in (*self._retired, *gone) if t.in_flight]
            self._targets = targets
            self._fleet = fleet

    def _known(self) -> list[LocalTarget]:
        """Return the targets with those that were replaced and still have attempts."""
        return [*self._targets.values(), *self._retired]

    def expire(self) -> None:
        """Drop old fences."""
        self._fences.expire(clock.now())

    def check(self, question: AdmissionCheck) -> Message:
        """Tell whether an attempt would be taken; nothing runs."""
        local = self._targets.get(question.target)
        if local is None:
            return Reply(NotRun(Reason.STALE_ROUTE, RETRY_SOON_MS)).to_message()
        refusal = local.refusal(question)
        match refusal:
            case None:
                return {"t": "accepted"}
            case NotRun(reason=Reason.BUSY | Reason.DOUBTFUL):
                report = local.report(self._fleet.revision, question.traffic_class, question.route)
                return Reply(refusal, report).to_message()
            case _:
                return Reply(refusal).to_message()

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        """See one attempt to its end.

        Args:
            attempt: What to run.
            age_s: How long its frame was under way or lay unread.
            watch: Tells when the caller has left, where this node is also its ingress.
        """
        deadline = clock.now() + attempt.remaining_ms / 1000.0 - age_s
        local = self._targets.get(attempt.target)
        refusal = self._refusal(attempt, local, deadline)
        if refusal is not None or local is None:
            self.refused += 1
            outcome: Outcome = refusal or NotRun(Reason.STALE_ROUTE, RETRY_SOON_MS)
            return Reply(outcome, self._report(local, attempt) if local else None)
        outcome = local.run(attempt, deadline, watch)
        return Reply(outcome, self._report(local, attempt), self._crash(outcome, attempt))

    def _report(self, local: LocalTarget, attempt: Attempt) -> LoadReport:
        return local.report(self._fleet.revision, attempt.traffic_class, attempt.route)

    def _crash(self, outcome: Outcome, attempt: Attempt) -> list[Any] | None:
        """Return what the ingress should know of a request that was lost, or not let through."""
        match outcome:
            case Unknown(reason=Reason.TARGET_LOST) | NotRun(reason=Reason.QUARANTINED):
                return self._quarantine.row(clock.now(), attempt.fingerprint)
            case _:
                return None

    def fence(self, attempt_id: str) -> Verdict:
        """Promise that an attempt never starts here, or cancel it if it runs."""
        verdict = self._fences.fence(clock.now(), attempt_id)
        for local in self._targets.values():
            local.cancel(attempt_id)
        return verdict

    def keep(self, deadlines: Mapping[str, float]) -> list[str]:
        """Give attempts that run time until a moment each, in clock seconds.

        Returns:
            Those that run.
        """
        known = self._known()
        return [
            name for name, until in deadlines.items() if any(one.keep(name, until) for one in known)
        ]

    def recall(self, attempt_ids: list[str]) -> list[str]:
        """Promise that attempts never start here, but leave those alone that have.

        Returns:
            Those that never start.
        """
        now = clock.now()
        verdicts = {name: self._fences.fence(now, name) for name in attempt_ids}
        kept = [name for name, verdict in verdicts.items() if verdict is Verdict.NEVER_STARTS]
        for name in kept:
            for local in self._known():
                local.send_back(name)
        return kept

    def fence_key(self, key: str, token: str) -> Verdict:
        """Promise that only the attempt `token` may still start with a key."""
        return self._fences.fence_key(clock.now(), key, token)

    def hello(self) -> Hello:
        """Return this node's hello message."""
        return {"t": "hello", "vm": self._vm, "incarnation": self._incarnation}

    def answer(self, message: Message, age_s: float) -> Message:
        """Return the reply to one message of a peer stream."""
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
                raise StreamError(f"The peer sent '{other}', which is no request.")

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

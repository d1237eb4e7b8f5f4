"""Targets with gray failures, their callers, and a ledger of runs and reported outcomes."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from roadpass.errors import TargetRefusedError
from roadpass.outcome import Answered, NotRun, Outcome
from roadpass.request import CallerWatch
from roadpass.target import (
    CallerLeftError,
    OnNotice,
    TargetAnswer,
    TargetClient,
    TargetLostError,
    TargetProtocolError,
    TargetTimeoutError,
)
from tests.virtual import Process, World

MAX_ATTEMPTS = 2
"""Limit of targets to which one repeatable request is sent."""


class TargetMode(StrEnum):
    """What a target does with the requests that it receives."""

    RUN = "run"
    FAIL = "fail"
    GARBLE = "garble"
    SHED = "shed"
    REFUSE = "refuse"
    LOSE_BEFORE = "lose before it runs"
    LOSE_AFTER = "lose after it ran"
    HANG = "hang"


@dataclass
class SentRequest:
    """One request of a caller.

    Attributes:
        work: Id of the work that must run at most once; declared repeats of a key share it.
        at: Virtual time at which it was sent.
        arrived: Targets that received it, in order.
        runs: How often it ran.
        outcome: Outcome that the caller received, `None` until then.
        ran_attempts: How often each of its attempts ran.
    """

    id: str
    work: str
    repeatable: bool
    process: Process
    at: float
    key: str = ""
    arrived: list[str] = field(default_factory=list)
    runs: int = 0
    outcome: Outcome | None = None
    ran_attempts: Counter[str] = field(default_factory=Counter)


class Ledger:
    """Records what was sent, what ran and what callers were told; checks the guarantees."""

    def __init__(self) -> None:
        self.sent: dict[str, SentRequest] = {}

    def run(self, request_id: str, attempt_id: str) -> None:
        """Record that a target ran an attempt."""
        one = self.sent[request_id]
        one.runs += 1
        one.ran_attempts[attempt_id] += 1

    def check(self) -> None:
        """Assert that every guarantee has held so far."""
        runs: Counter[str] = Counter()
        for one in self.sent.values():
            runs[one.work] += one.runs
            if one.repeatable:
                assert len(one.arrived) <= MAX_ATTEMPTS, f"{one.id} was sent to {one.arrived}"
            else:
                assert runs[one.work] <= 1, f"{one.work} ran {runs[one.work]} times"
            assert all(count == 1 for count in one.ran_attempts.values()), one.ran_attempts
            match one.outcome:
                case NotRun(reason=reason):
                    assert one.runs == 0, f"{one.id} was reported as not run ({reason}), but it ran"
                case Answered(body=body):
                    assert body == one.id.encode(), f"{one.id} got the answer of {body!r}"
                    assert one.runs > 0, f"{one.id} was answered without a run"
                case _:
                    pass


class Watch:
    """Watches a caller's connection; implements `CallerWatch`."""

    watchable = True

    def __init__(self, world: World) -> None:
        self._number = next(world.numbers)
        self.left = False
        world.readable[self._number] = self.gone

    def fileno(self) -> int:
        return self._number

    def gone(self) -> bool:
        return self.left


@dataclass
class ReceivedAttempt:
    """An attempt that a target has received; it may run even if nobody waits for it any more."""

    request_id: str
    attempt_id: str
    ended: TargetMode | None = None
    cancelled: bool = False


class ModelTarget:
    """A target: its own process, so the requests that it holds outlive the node on its VM."""

    def __init__(self, name: str, ledger: Ledger) -> None:
        self.name = name
        self.mode = TargetMode.RUN
        self.held: list[ReceivedAttempt] = []
        self._ledger = ledger

    def take(self, arrival: ReceivedAttempt) -> None:
        """Receive a request and treat it according to the mood."""
        if self.mode is not TargetMode.SHED:
            self._ledger.sent[arrival.request_id].arrived.append(self.name)
        if self.mode is TargetMode.HANG:
            self.held.append(arrival)
        else:
            self.end(arrival, self.mode)

    def end(self, arrival: ReceivedAttempt, how: TargetMode) -> None:
        """End a request: run it or lose it."""
        arrival.ended = how
        if how in (TargetMode.RUN, TargetMode.FAIL, TargetMode.GARBLE, TargetMode.LOSE_AFTER):
            self._ledger.run(arrival.request_id, arrival.attempt_id)


class ModelClient(TargetClient):
    """The sidecar's client of a model target."""

    def __init__(self, world: World, target: ModelTarget) -> None:
        self._world = world
        self._target = target
        self._running: dict[str, ReceivedAttempt] = {}

    def send(
        self,
        attempt_id: str,
        *_request: Any,
        timeout_s: float,
        fresh: bool,
        request_id: str = "",
        instance: str = "",
        origin: str = "",
        customer: str = "",
        watch: CallerWatch | None = None,
        on_notice: OnNotice | None = None,
    ) -> TargetAnswer:
        if self._target.mode is TargetMode.REFUSE:
            raise TargetRefusedError("The target refuses connections.")
        arrival = ReceivedAttempt(request_id, attempt_id)
        self._running[attempt_id] = arrival
        self._target.take(arrival)

        def over() -> bool:
            left = watch is not None and watch.gone()
            return arrival.ended is not None or arrival.cancelled or left

        try:
            self._world.park(over, timeout_s)
        finally:
            del self._running[attempt_id]
        return _answer(arrival, over())

    def refuses_connections(self) -> bool:
        return False

    def cancel(self, attempt_id: str) -> bool:
        arrival = self._running.get(attempt_id)
        if arrival is None:
            return False
        arrival.cancelled = True
        return True


def _answer(arrival: ReceivedAttempt, over: bool) -> TargetAnswer:
    body = arrival.request_id.encode()
    match arrival.ended:
        case TargetMode.RUN:
            return TargetAnswer(Answered(200, [], body, 1.0), False, "", None)
        case TargetMode.FAIL:
            return TargetAnswer(Answered(500, [], body, 1.0), False, "", None)
        case TargetMode.SHED:
            return TargetAnswer(Answered(503, [], b"", 1.0), True, "", None)
        case TargetMode.GARBLE:
            raise TargetProtocolError("The response is malformed.")
        case None if over:
            raise CallerLeftError("The caller left or the attempt was cancelled.")
        case None:
            raise TargetTimeoutError("No answer in time.")
        case _:
            raise TargetLostError("The connection was lost.")

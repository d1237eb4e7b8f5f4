"""Targets that fail gray, their callers, and a ledger of what ran and what was told."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from roadpass.errors import TargetRefusedError
from roadpass.outcome import Answered, NotRun, Outcome
from roadpass.request import CallerWatch
from roadpass.target import (
    CallerLeftError,
    TargetAnswer,
    TargetClient,
    TargetLostError,
    TargetProtocolError,
    TargetTimeoutError,
)
from tests.virtual import Process, World

MAX_ATTEMPTS = 2
"""Targets that one repeatable request may be sent to."""


class Mood(StrEnum):
    """What a target does with a request that reaches it."""

    RUN = "run"
    FAIL = "fail"
    GARBLE = "garble"
    SHED = "shed"
    REFUSE = "refuse"
    LOSE_BEFORE = "lose before it runs"
    LOSE_AFTER = "lose after it ran"
    HANG = "hang"


@dataclass
class Sent:
    """One request of a caller.

    Attributes:
        work: What must run once, shared by the declared repeats of a key.
        arrived: Targets that it was sent to, in order.
        runs: How often it ran.
        told: What the caller was told, `None` until then.
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
    told: Outcome | None = None
    ran_attempts: Counter[str] = field(default_factory=Counter)


class Ledger:
    """What was sent, what ran and what was told: the truth that promises are held against."""

    def __init__(self) -> None:
        self.sent: dict[str, Sent] = {}

    def run(self, request_id: str, attempt_id: str) -> None:
        """Note that a target ran an attempt."""
        one = self.sent[request_id]
        one.runs += 1
        one.ran_attempts[attempt_id] += 1

    def check(self) -> None:
        """Hold every promise against what happened so far."""
        runs: Counter[str] = Counter()
        for one in self.sent.values():
            runs[one.work] += one.runs
            if one.repeatable:
                assert len(one.arrived) <= MAX_ATTEMPTS, f"{one.id} was sent to {one.arrived}"
            else:
                assert runs[one.work] <= 1, f"{one.work} ran {runs[one.work]} times"
            assert all(count == 1 for count in one.ran_attempts.values()), one.ran_attempts
            match one.told:
                case NotRun(reason=reason):
                    assert one.runs == 0, f"{one.id} was told not run ({reason}), but it ran"
                case Answered(body=body):
                    assert body == one.id.encode(), f"{one.id} got the answer of {body!r}"
                    assert one.runs > 0, f"{one.id} was answered without a run"
                case _:
                    pass


class Watch:
    """A caller's connection; implements `CallerWatch`."""

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
class Arrival:
    """A request that a target holds; it may run it, whoever still waits for that."""

    request_id: str
    attempt_id: str
    ended: Mood | None = None
    cancelled: bool = False


class ModelTarget:
    """A target: it is a process of its own, so what it holds outlives the node beside it."""

    def __init__(self, name: str, ledger: Ledger) -> None:
        self.name = name
        self.mood = Mood.RUN
        self.held: list[Arrival] = []
        self._ledger = ledger

    def take(self, arrival: Arrival) -> None:
        """Get a request and act by the mood."""
        if self.mood is not Mood.SHED:
            self._ledger.sent[arrival.request_id].arrived.append(self.name)
        if self.mood is Mood.HANG:
            self.held.append(arrival)
        else:
            self.end(arrival, self.mood)

    def end(self, arrival: Arrival, how: Mood) -> None:
        """Run a request or lose it."""
        arrival.ended = how
        if how in (Mood.RUN, Mood.FAIL, Mood.GARBLE, Mood.LOSE_AFTER):
            self._ledger.run(arrival.request_id, arrival.attempt_id)


class ModelClient(TargetClient):
    """What a sidecar speaks to a target through."""

    def __init__(self, world: World, target: ModelTarget) -> None:
        self._world = world
        self._target = target
        self._running: dict[str, Arrival] = {}

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
    ) -> TargetAnswer:
        if self._target.mood is Mood.REFUSE:
            raise TargetRefusedError("The target refuses.")
        arrival = Arrival(request_id, attempt_id)
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

    def gone(self) -> bool:
        return False

    def cancel(self, attempt_id: str) -> bool:
        arrival = self._running.get(attempt_id)
        if arrival is None:
            return False
        arrival.cancelled = True
        return True


def _answer(arrival: Arrival, over: bool) -> TargetAnswer:
    body = arrival.request_id.encode()
    match arrival.ended:
        case Mood.RUN:
            return TargetAnswer(Answered(200, [], body, 1.0), False, "", None)
        case Mood.FAIL:
            return TargetAnswer(Answered(500, [], body, 1.0), False, "", None)
        case Mood.SHED:
            return TargetAnswer(Answered(503, [], b"", 1.0), True, "", None)
        case Mood.GARBLE:
            raise TargetProtocolError("That is no answer.")
        case None if over:
            raise CallerLeftError("The caller left or cancelled.")
        case None:
            raise TargetTimeoutError("No answer in time.")
        case _:
            raise TargetLostError("The connection was lost.")

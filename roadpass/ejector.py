"""Ejects the targets of one service and returns them, keeping its minimum capacity (the floor)."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

EJECTION_S = 5.0
EJECTION_MAX_S = 300.0
DECAY_S = 600.0
"""Seconds in service after which one earlier ejection no longer lengthens the next."""
TRIAL_WEIGHT = 0.02
TRIAL_SUCCESSES = 8
RAMP_START = 0.1
BOUND_WEIGHT = 0.3
"""Traffic of a faulty target that the floor keeps in service, relative to a healthy one."""


class State(StrEnum):
    """State of a target as one ingress sees it; the values appear in the log and the API."""

    IN_SERVICE = "in-service"
    RAMPING = "ramping"
    EJECTED = "ejected"
    TRIAL = "trial"
    LEAVING = "leaving"


SERVING = (State.IN_SERVICE, State.RAMPING)


class Fact(NamedTuple):
    """Current input on one target.

    Args:
        slots: Its slots.
        leaving: Whether it or its VM is shutting down.
        score: Evidence against it; 1.0 and above asks for ejection.
        good_run: Consecutive good outcomes since its last reset.
        bad: Whether an outcome since the last step was bad.
        node_dead: Whether its node is considered dead: it is ejected, as far as the floor allows,
            until the node is back.
        evidence: Text for the audit trail.
    """

    slots: int
    leaving: bool = False
    score: float = 0.0
    good_run: int = 0
    bad: bool = False
    node_dead: bool = False
    evidence: str = ""


class Change(NamedTuple):
    """A state change of a target, for the audit trail; `old` is `None` for a new target."""

    target: str
    old: State | None
    new: State
    evidence: str


class FloorBound(NamedTuple):
    """A target that the evidence would eject but the floor keeps in service."""

    target: str
    evidence: str


class Step(NamedTuple):
    """Result of one step of the ejector; `bound` lists only targets newly kept by the floor."""

    changes: tuple[Change, ...]
    bound: tuple[FloorBound, ...]


@dataclass(slots=True)
class _Record:
    state: State
    since: float
    ejections: int = 0
    until: float = 0.0
    bound: bool = False
    node_dead: bool = False


class Ejector:
    """State machine of each target of a service, as seen by one node; not thread-safe.

    Args:
        floor_slots: Slots that stay in service whatever the evidence.
        slow_start_s: Seconds over which a new or returning target ramps up.
        trial_weight: Relative traffic of a target on trial.
        trial_successes: Consecutive good outcomes that end a trial.
    """

    def __init__(
        self,
        *,
        floor_slots: int,
        slow_start_s: float,
        trial_weight: float = TRIAL_WEIGHT,
        trial_successes: int = TRIAL_SUCCESSES,
    ) -> None:
        self._trial_weight = trial_weight
        self._trial_successes = trial_successes
        self._floor = floor_slots
        self._slow_start_s = slow_start_s
        self._records: dict[str, _Record] = {}

    def configure(self, *, floor_slots: int, slow_start_s: float) -> None:
        """Apply changed settings; they take effect at the next step."""
        self._floor = floor_slots
        self._slow_start_s = slow_start_s

    def state(self, target: str) -> State | None:
        """Return the state of a target, `None` if it is unknown."""
        record = self._records.get(target)
        return record.state if record else None

    def weight(self, target: str, now: float) -> float:
        """Return the traffic weight, 0 to 1, relative to a target in full service."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        match record.state:
            case State.IN_SERVICE if record.bound:
                return BOUND_WEIGHT
            case State.IN_SERVICE:
                return 1.0
            case State.RAMPING:
                passed = (now - record.since) / max(0.001, self._slow_start_s)
                return min(1.0, RAMP_START + (1.0 - RAMP_START) * passed)
            case State.TRIAL:
                return self._trial_weight
            case _:
                return 0.0

    def serving_slots(self, facts: Mapping[str, Fact]) -> int:
        """Return the total slots of targets that are in service or ramping up."""
        return sum(
            fact.slots
            for name, fact in facts.items()
            if name in self._records and self._records[name].state in SERVING
        )

    def step(self, now: float, facts: Mapping[str, Fact]) -> Step:
        """Update all states.

        Args:
            now: Seconds.
            facts: Every target of the service by name; targets not listed are dropped.
        """
        changes: list[Change] = []
        self._forget_missing(facts)
        for name, fact in facts.items():
            self._advance(now, name, fact, changes)
        bound = self._eject(now, facts, changes)
        self._restore_floor(now, facts, changes)
        return Step(tuple(changes), tuple(bound))

    def _forget_missing(self, facts: Mapping[str, Fact]) -> None:
        for name in [name for name in self._records if name not in facts]:
            del self._records[name]

    def _advance(self, now: float, name: str, fact: Fact, changes: list[Change]) -> None:
        record = self._records.get(name)
        if record is None:
            state = State.LEAVING if fact.leaving else State.RAMPING
            self._records[name] = _Record(state, now)
            changes.append(Change(name, None, state, "new"))
            return
        if fact.leaving:
            if record.state is not State.LEAVING:
                self._move(now, name, State.LEAVING, "leaving", changes)
            return
        was_dead, record.node_dead = record.node_dead, fact.node_dead
        match record.state:
            case State.EJECTED if fact.node_dead:
                record.until = now
            case State.EJECTED | State.TRIAL if was_dead:
                record.ejections = 0
                self._move(now, name, State.RAMPING, "node is back", changes)
            case State.LEAVING:
                self._move(now, name, State.RAMPING, "no longer leaving", changes)
            case State.RAMPING if now - record.since >= self._slow_start_s:
                self._move(now, name, State.IN_SERVICE, "ramp-up complete", changes)
            case State.IN_SERVICE if record.ejections and now - record.since >= DECAY_S:
                record.ejections -= 1
                record.since = now
            case State.EJECTED if now >= record.until:
                self._move(now, name, State.TRIAL, "ejection time expired", changes)
            case State.TRIAL if fact.bad or fact.score >= 1.0:
                self._start_ejection(now, name, f"trial failed: {fact.evidence}", changes)
            case State.TRIAL if fact.good_run >= self._trial_successes:
                self._move(
                    now, name, State.RAMPING, f"{fact.good_run} good outcomes in trial", changes
                )
            case _:
                pass

    def _eject(
        self, now: float, facts: Mapping[str, Fact], changes: list[Change]
    ) -> list[FloorBound]:
        bound = []
        faulty = [n for n, f in facts.items() if self._serves(n) and f.score >= 1.0]
        serving = self.serving_slots(facts)
        for name in sorted(faulty, key=lambda n: (-facts[n].score, n)):
            fact = facts[name]
            if serving - fact.slots >= self._floor:
                serving -= fact.slots
                self._start_ejection(now, name, fact.evidence, changes)
            elif not self._records[name].bound:
                self._records[name].bound = True
                bound.append(FloorBound(name, fact.evidence))
        for name, fact in facts.items():
            if fact.score < 1.0:
                self._records[name].bound = False
        return bound

    def _restore_floor(self, now: float, facts: Mapping[str, Fact], changes: list[Change]) -> None:
        """Return ejected targets to service, lowest score first, until the floor is met."""
        out = [n for n in facts if self._records[n].state in (State.EJECTED, State.TRIAL)]
        serving = self.serving_slots(facts)
        for name in sorted(out, key=lambda n: (facts[n].score, self._records[n].until, n)):
            if serving >= self._floor:
                return
            serving += facts[name].slots
            self._move(now, name, State.RAMPING, "floor", changes)

    def _serves(self, name: str) -> bool:
        return self._records[name].state in SERVING

    def _start_ejection(self, now: float, name: str, evidence: str, changes: list[Change]) -> None:
        record = self._records[name]
        length = min(EJECTION_MAX_S, EJECTION_S * 2.0**record.ejections)
        record.ejections += 1
        record.until = now + length
        self._move(now, name, State.EJECTED, f"{evidence}; for {length:g} s", changes)

    def _move(
        self, now: float, name: str, state: State, evidence: str, changes: list[Change]
    ) -> None:
        record = self._records[name]
        changes.append(Change(name, record.state, state, evidence))
        record.state = state
        record.since = now
        record.bound = False

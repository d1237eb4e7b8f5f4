"""Drives the decision modules of one service in seeded virtual time, at their interfaces.

Not a model of a cluster: one service, its targets' behaviour, a few ingresses, and calls of the
very modules that the daemon uses. The naive version is driven the same way with the same seeds.
"""

import heapq
import itertools
import math
import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from roadpass.fleet import Service, TrafficClass

STEP_S = 0.1
SHARE = 0.05
"""A target counts as detected once a second passes with less than this of its fair share."""
WINDOW_S = 1.0
MEDIAN_S = 0.02
SPREAD = 0.35
HEALTHY_FAILURES = 0.001


class Spec(NamedTuple):
    """A service of the brief, at its size."""

    name: str
    targets: int
    slots: int
    halls: int
    floor_slots: int
    dial: float
    classes: tuple[TrafficClass, ...]
    shares: tuple[float, ...]
    post_share: float
    timeout_s: float
    attempt_timeout_s: float

    def service(self) -> Service:
        """Return it as the daemon would configure it."""
        return Service(
            name=self.name,
            floor_slots=self.floor_slots,
            false_ejections_per_target_week=self.dial,
            timeout_ms=int(self.timeout_s * 1000),
            attempt_timeout_ms=int(self.attempt_timeout_s * 1000),
            queue_limit=20,
            waiting_limit=100,
            retry_ratio=0.1,
            retry_burst=10.0,
            slow_start_s=0.0,
            shed_status=None,
            classes=self.classes,
        )

    @property
    def capacity(self) -> float:
        """Requests a second that all targets serve with every slot busy."""
        mean_s = MEDIAN_S * math.exp(SPREAD**2 / 2.0)
        return self.targets * self.slots / mean_s


@dataclass
class Fault:
    """What ails some targets, from a time on; the first `count` of them."""

    count: int = 0
    fail: float = 0.0
    hang: bool = False
    refuse: bool = False
    slow: float = 1.0
    flap_s: float = 0.0
    ingress: int | None = None

    def applies(self, now: float, start: float, index: int) -> bool:
        """Tell whether a target is sick now."""
        if index >= self.count or now < start:
            return False
        return not self.flap_s or int((now - start) / self.flap_s) % 2 == 0


@dataclass(eq=False)
class Request:
    """A request on its way."""

    ingress: int
    traffic_class: str
    repeatable: bool
    deadline: float
    tried: set[str] = field(default_factory=set)
    retry: bool = False
    maybe_ran: bool = False


class Behaviour(NamedTuple):
    """How one attempt goes at its target."""

    duration_s: float
    failed: bool
    hangs: bool
    reply_lost: bool


class Tally(NamedTuple):
    """What a run counted."""

    offered: Counter[str]
    good: Counter[str]
    attempts: int
    retries: int
    ejections: int
    false_ejections: int
    floor_breaches: int
    detected_s: float | None


class Driver(ABC):
    """Arrivals, service times and faults; subclasses are the policies.

    Args:
        spec: The service.
        rate: Requests a second in all.
        fault: What ails, from `fault_at` on.
        seed: Of all randomness.
    """

    def __init__(
        self, spec: Spec, rate: float, fault: Fault, *, fault_at: float, seed: int
    ) -> None:
        self.spec = spec
        self.rate = rate
        self.fault = fault
        self.fault_at = fault_at
        self.rng = random.Random(seed)
        self.names = [f"t{n}" for n in range(spec.targets)]
        self.ingresses = spec.halls
        self.now = 0.0
        self.offered: Counter[str] = Counter()
        self.good: Counter[str] = Counter()
        self.attempts = 0
        self.retries = 0
        self.ejections = 0
        self.false_ejections = 0
        self.floor_breaches = 0
        self.detected_s: float | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._picks: list[tuple[float, bool]] = []

    def run(self, until: float, *, stop_when_detected: bool = False) -> Tally:
        """Run to a time and return the tally."""
        self.at(0.0, self._arrive)
        self.at(STEP_S, self._step)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > until or (stop_when_detected and self.detected_s is not None):
                break
            self.now = at
            action()
        return Tally(
            self.offered,
            self.good,
            self.attempts,
            self.retries,
            self.ejections,
            self.false_ejections,
            self.floor_breaches,
            self.detected_s,
        )

    def at(self, at: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (at, next(self._order), action))

    @abstractmethod
    def send(self, request: Request) -> None:
        """Start an attempt."""

    @abstractmethod
    def step(self) -> None:
        """Do what the policy does regularly."""

    def behave(self, index: int, ingress: int) -> Behaviour:
        """Draw how an attempt goes."""
        duration = MEDIAN_S * self.rng.lognormvariate(0.0, SPREAD)
        failed = self.rng.random() < HEALTHY_FAILURES
        fault = self.fault
        if not fault.applies(self.now, self.fault_at, index):
            return Behaviour(duration, failed, False, False)
        if fault.ingress is not None:
            return Behaviour(duration, failed, False, ingress == fault.ingress)
        if fault.refuse:
            return Behaviour(0.001, True, False, False)
        failed = failed or self.rng.random() < fault.fail
        return Behaviour(duration * fault.slow, failed, fault.hang, False)

    def note_pick(self, name: str, ingress: int) -> None:
        """Count an attempt for the detection time."""
        self.attempts += 1
        if self.now >= self.fault_at and self.fault.ingress in (None, ingress):
            self._picks.append((self.now, name == self.names[0]))

    def note_ejection(self, name: str) -> None:
        """Count an ejection, and whether the target was healthy."""
        self.ejections += 1
        sick = self.names.index(name) < self.fault.count and self.now >= self.fault_at
        self.false_ejections += not sick

    def succeed(self, request: Request) -> None:
        """Count a good answer."""
        if self.now <= request.deadline:
            self.good[request.traffic_class] += 1

    def _arrive(self) -> None:
        self.at(self.now + self.rng.expovariate(self.rate), self._arrive)
        shares = self.spec.shares
        chosen = self.rng.choices(self.spec.classes, shares)[0].name
        self.offered[chosen] += 1
        request = Request(
            ingress=self.rng.randrange(self.ingresses),
            traffic_class=chosen,
            repeatable=self.rng.random() >= self.spec.post_share,
            deadline=self.now + self.spec.timeout_s,
        )
        self.send(request)

    def _step(self) -> None:
        self.at(self.now + STEP_S, self._step)
        self.step()
        self._look_for_detection()

    def _look_for_detection(self) -> None:
        if self.detected_s is not None or self.now < self.fault_at + WINDOW_S:
            return
        begin = self.now - WINDOW_S
        self._picks = [pick for pick in self._picks if pick[0] >= begin]
        sick = sum(pick[1] for pick in self._picks)
        fair = len(self._picks) / self.spec.targets
        if self.fault.ingress is not None:
            fair = len(self._picks) * self.spec.halls / self.spec.targets
        if self._picks and sick < SHARE * min(fair, float(len(self._picks))):
            self.detected_s = begin - self.fault_at

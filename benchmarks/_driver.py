"""Simulates one service in virtual time and drives the decision modules through their interfaces.

This is not a model of a cluster: it simulates one service, its targets and a few ingresses, and
calls the same modules as the daemon. The naive policy runs in the same simulation with the same
seeds, so that the two can be compared.
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
DETECTED_SHARE = 0.05
"""A fault counts as detected once its target got less than this share of its fair part of the
attempts during `DETECTION_WINDOW_S`."""
DETECTION_WINDOW_S = 1.0
SERVICE_MEDIAN_S = 0.02
SERVICE_SIGMA = 0.35
HEALTHY_FAILURE_SHARE = 0.001


class Spec(NamedTuple):
    """A service of the users' brief, at its real size.

    Args:
        name: Name of the service.
        targets: How many targets it has.
        slots: Concurrent requests that one target serves.
        halls: Data halls that its targets are spread over, with one ingress each.
        floor_slots: Slots that ejection must leave in service.
        false_ejection_rate: False ejections allowed per target and week.
        classes: Its traffic classes.
        shares: Relative share of the requests by class, in the order of `classes`.
        post_share: Share of requests that must not be repeated.
        timeout_s: Time limit of a request.
        attempt_timeout_s: Time limit of one attempt.
    """

    name: str
    targets: int
    slots: int
    halls: int
    floor_slots: int
    false_ejection_rate: float
    classes: tuple[TrafficClass, ...]
    shares: tuple[float, ...]
    post_share: float
    timeout_s: float
    attempt_timeout_s: float

    def service(self) -> Service:
        """Return the configuration that the daemon would use for the service."""
        return Service(
            name=self.name,
            floor_slots=self.floor_slots,
            false_ejections_per_target_week=self.false_ejection_rate,
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
        """Throughput in requests per second with every slot of all targets busy."""
        mean_s = SERVICE_MEDIAN_S * math.exp(SERVICE_SIGMA**2 / 2.0)
        return self.targets * self.slots / mean_s


@dataclass
class Fault:
    """A fault of the first `count` targets.

    Args:
        count: How many targets are faulty.
        fail: Share of requests that fail.
        hang: Whether requests get no reply.
        refuse: Whether requests fail at once.
        slow: Factor on the service time.
        flap_s: Half period of a fault that comes and goes, 0 for a permanent one.
        ingress: Ingress that gets no replies while the others do, `None` if all are affected alike.
    """

    count: int = 0
    fail: float = 0.0
    hang: bool = False
    refuse: bool = False
    slow: float = 1.0
    flap_s: float = 0.0
    ingress: int | None = None

    def applies(self, now: float, start: float, index: int) -> bool:
        """Return whether a target is faulty at a time."""
        if index >= self.count or now < start:
            return False
        return not self.flap_s or int((now - start) / self.flap_s) % 2 == 0


@dataclass(eq=False)
class Request:
    """A request in flight."""

    ingress: int
    traffic_class: str
    repeatable: bool
    deadline: float
    tried: set[str] = field(default_factory=set)
    retry: bool = False
    maybe_ran: bool = False


class SimulatedAttempt(NamedTuple):
    """Course of one attempt at its target, drawn when the attempt starts."""

    duration_s: float
    failed: bool
    hangs: bool
    reply_lost: bool


class Tally(NamedTuple):
    """Counters of one run; `detected_s` is `None` if the fault was not detected."""

    offered: Counter[str]
    good: Counter[str]
    attempts: int
    retries: int
    ejections: int
    false_ejections: int
    floor_breaches: int
    detected_s: float | None


class Driver(ABC):
    """Simulates arrivals, service times and faults; subclasses implement the policies.

    Args:
        spec: The service.
        rate: Total requests per second.
        fault: The fault to inject.
        fault_at: Virtual time in seconds at which the fault begins.
        seed: Seed of the random generator.
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
        """Run up to a virtual time and return the counters."""
        self.schedule(0.0, self._arrive)
        self.schedule(STEP_S, self._step)
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

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._events, (at, next(self._order), action))

    @abstractmethod
    def send(self, request: Request) -> None:
        """Start an attempt."""

    @abstractmethod
    def step(self) -> None:
        """Run the periodic work of the policy, every `STEP_S`."""

    def simulate_attempt(self, index: int, ingress: int) -> SimulatedAttempt:
        """Draw duration and result of an attempt."""
        duration = SERVICE_MEDIAN_S * self.rng.lognormvariate(0.0, SERVICE_SIGMA)
        failed = self.rng.random() < HEALTHY_FAILURE_SHARE
        fault = self.fault
        if not fault.applies(self.now, self.fault_at, index):
            return SimulatedAttempt(duration, failed, False, False)
        if fault.ingress is not None:
            return SimulatedAttempt(duration, failed, False, ingress == fault.ingress)
        if fault.refuse:
            return SimulatedAttempt(0.001, True, False, False)
        failed = failed or self.rng.random() < fault.fail
        return SimulatedAttempt(duration * fault.slow, failed, fault.hang, False)

    def record_pick(self, name: str, ingress: int) -> None:
        """Count an attempt, and keep it for the detection time."""
        self.attempts += 1
        if self.now >= self.fault_at and self.fault.ingress in (None, ingress):
            self._picks.append((self.now, name == self.names[0]))

    def record_ejection(self, name: str) -> None:
        """Count an ejection, as a false one if the target was healthy."""
        self.ejections += 1
        faulty = self.names.index(name) < self.fault.count and self.now >= self.fault_at
        self.false_ejections += not faulty

    def record_success(self, request: Request) -> None:
        """Count a successful response unless it came after the deadline."""
        if self.now <= request.deadline:
            self.good[request.traffic_class] += 1

    def _arrive(self) -> None:
        self.schedule(self.now + self.rng.expovariate(self.rate), self._arrive)
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
        self.schedule(self.now + STEP_S, self._step)
        self.step()
        self._check_detection()

    def _check_detection(self) -> None:
        if self.detected_s is not None or self.now < self.fault_at + DETECTION_WINDOW_S:
            return
        begin = self.now - DETECTION_WINDOW_S
        self._picks = [pick for pick in self._picks if pick[0] >= begin]
        faulty = sum(pick[1] for pick in self._picks)
        fair = len(self._picks) / self.spec.targets
        if self.fault.ingress is not None:
            fair = len(self._picks) * self.spec.halls / self.spec.targets
        if self._picks and faulty < DETECTED_SHARE * min(fair, float(len(self._picks))):
            self.detected_s = begin - self.fault_at

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

from roadpass.admission import Admission, Admitted, Queued, Refused, Ticket
from roadpass.balance import Candidate, Load, Picker
from roadpass.detect import Detector, Sample, threshold
from roadpass.eject import State
from roadpass.fleet import Service, TrafficClass
from roadpass.health import Presence, ServiceHealth
from roadpass.hint import SICK_SCORE
from roadpass.limit import AdaptiveLimit
from roadpass.load import LoadTable
from roadpass.message import LoadReport
from roadpass.retry import RetryBudget
from tests.naive import NaiveEjector

STEP_S = 0.1
GOSSIP_S = 0.3
"""A sidecar's word on a sick target takes so long to the ingresses by gossip."""
FORGET_S = 2.0
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


class RoadpassDriver(Driver):
    """The product's modules, put together as the daemon does."""

    def __init__(
        self, spec: Spec, rate: float, fault: Fault, *, fault_at: float, seed: int
    ) -> None:
        super().__init__(spec, rate, fault, fault_at=fault_at, seed=seed)
        service = spec.service()
        self._healths = [ServiceHealth(service) for _ in range(self.ingresses)]
        self._loads = [LoadTable() for _ in range(self.ingresses)]
        self._budgets = [RetryBudget(service.retry_ratio) for _ in range(self.ingresses)]
        self._pickers = [Picker([])] * self.ingresses
        self._admissions = {
            name: Admission(spec.classes, slots=spec.slots, queue_limit=service.queue_limit)
            for name in self.names
        }
        self._limits = {name: AdaptiveLimit(spec.slots) for name in self.names}
        self._detectors = {name: Detector(threshold(spec.dial)) for name in self.names}
        self._learnt_at = dict.fromkeys(self.names, 0.0)
        self._said_at = dict.fromkeys(self.names, float("-inf"))
        self._waiting: dict[Ticket, tuple[str, Request, float]] = {}
        self._present = {name: Presence(spec.slots) for name in self.names}
        self.step()

    def step(self) -> None:
        """Judge at every ingress and publish pickers."""
        for ingress in range(self.ingresses):
            self._step_ingress(ingress)
        for name, detector in self._detectors.items():
            if self.now - self._learnt_at[name] > FORGET_S and detector.samples:
                detector.reset()

    def _step_if_alarmed(self, ingress: int) -> None:
        if self._healths[ingress].alarmed:
            self._step_ingress(ingress)

    def _step_ingress(self, ingress: int) -> None:
        health = self._healths[ingress]
        for change in health.step(self.now, self._present).changes:
            if change.new is State.EJECTED:
                self.note_ejection(change.target)
        self._pickers[ingress] = self._picker(ingress, health)

    def _picker(self, ingress: int, health: ServiceHealth) -> Picker:
        candidates = []
        serving = 0
        for index, name in enumerate(self.names):
            weight = health.weight(name, self.now)
            state = health.state(name)
            serving += self.spec.slots * (state in (State.IN_SERVICE, State.RAMPING))
            tier = 0 if index % self.spec.halls == ingress else 1
            candidates.append(Candidate(name, tier, weight, state is State.TRIAL))
        self.floor_breaches += serving < self.spec.floor_slots
        return Picker([candidates])

    def send(self, request: Request) -> None:
        """Pick, and offer to the sidecar's admission."""
        if not request.tried:
            self._budgets[request.ingress].on_first_attempt()
        loads = self._loads[request.ingress]

        def load_of(name: str) -> Load:
            return loads.load(name, self.now)

        name = self._pickers[request.ingress].pick(
            load_of, self.rng, repeatable=request.repeatable, excluded=request.tried
        )
        if name is None:
            return
        self.note_pick(name, request.ingress)
        self.retries += request.retry
        request.tried.add(name)
        loads.begin(name)
        self._offer(name, request)

    def _offer(self, name: str, request: Request) -> None:
        admission, limit = self._admissions[name], self._limits[name]
        admission.set_limit(limit.value, limit.service_ms)
        remaining = min(request.deadline - self.now, self._attempt_limit(request))
        decision = admission.offer(
            self.now, request.traffic_class, str(request.ingress), remaining, retry=request.retry
        )
        match decision:
            case Admitted():
                self._begin(name, request, self.now + remaining)
            case Queued(ticket=ticket, displaced=displaced):
                give_up = self.now + remaining
                self._waiting[ticket] = (name, request, give_up)
                self.at(give_up, lambda: self._give_up(ticket))
                if displaced is not None:
                    self._give_up(displaced)
            case Refused():
                self._not_run(name, request)

    def _attempt_limit(self, request: Request) -> float:
        if request.repeatable:
            return self.spec.attempt_timeout_s
        return self.spec.timeout_s

    def _give_up(self, ticket: Ticket) -> None:
        waiting = self._waiting.pop(ticket, None)
        if waiting is None:
            return
        name, request, _ = waiting
        self._grant(self._admissions[name].abandon(self.now, ticket))
        self._not_run(name, request)

    def _not_run(self, name: str, request: Request) -> None:
        self._loads[request.ingress].end(name, None)
        self._report(name, request.ingress)
        self._retry(request)

    def _begin(self, name: str, request: Request, give_up: float) -> None:
        index = self.names.index(name)
        started = self.now
        going = self.behave(index, request.ingress)
        health = self._healths[request.ingress]
        looks = [0]
        ended, replied = [False], [False]
        timed_out = going.hangs or started + going.duration_s > give_up
        end_at = give_up if timed_out else started + going.duration_s
        reply_at = give_up if going.reply_lost else end_at

        def look() -> None:
            if replied[0]:
                return
            if looks[0] == 0:
                self._loads[request.ingress].mark_overdue(name)
            looks[0] += 1
            health.record_pending(name)
            self._step_if_alarmed(request.ingress)
            if not ended[0]:
                self._detectors[name].observe_pending()
                self._gossip(name)
            look_again()

        def look_again() -> None:
            pending_s = health.pending_ms(name, looks=looks[0]) / 1000.0
            if pending_s and started + pending_s < reply_at:
                self.at(started + pending_s, look)

        def end() -> None:
            ended[0] = True
            self._end_at_target(
                name, request, going, timed_out, (self.now - started) * 1000.0, looks[0] > 0
            )

        def reply() -> None:
            replied[0] = True
            failed = timed_out or going.reply_lost
            service_ms = (self.now - started) * 1000.0
            self._reply(name, request, going, failed, service_ms, looks[0] > 0)

        look_again()
        self.at(end_at, end)
        self.at(reply_at, reply)

    def _end_at_target(
        self,
        name: str,
        request: Request,
        going: Behaviour,
        timed_out: bool,
        service_ms: float,
        counted: bool,
    ) -> None:
        slow_ms = self._healths[request.ingress].slow_ms(name)
        admission, limit = self._admissions[name], self._limits[name]
        sample = Sample(timed_out or going.failed, service_ms)
        self._detectors[name].observe(sample, slow_ms=slow_ms, counted_slow=counted)
        self._learnt_at[name] = self.now
        self._gossip(name)
        limit.observe(self.now, service_ms, slow_ms, admission.in_use)
        admission.set_limit(limit.value, limit.service_ms)
        self._grant(admission.release(self.now, request.traffic_class))

    def _grant(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            name, request, give_up = self._waiting.pop(ticket)
            self._begin(name, request, give_up)

    def _reply(
        self,
        name: str,
        request: Request,
        going: Behaviour,
        lost: bool,
        service_ms: float,
        counted: bool,
    ) -> None:
        health, loads = self._healths[request.ingress], self._loads[request.ingress]
        failed = lost or going.failed
        loads.end(name, None if lost else service_ms, overdue=counted)
        health.record(name, Sample(failed, service_ms), counted_slow=counted)
        self._step_if_alarmed(request.ingress)
        if not lost:
            self._report(name, request.ingress)
        if not failed:
            self.succeed(request)
        elif request.repeatable:
            self._retry(request)

    def _gossip(self, name: str) -> None:
        """Spread the sidecar's word on its target, at most every other second."""
        scores = self._detectors[name].scores
        if scores.worst < SICK_SCORE or self.now - self._said_at[name] < FORGET_S:
            return
        self._said_at[name] = self.now

        def hear() -> None:
            for ingress, health in enumerate(self._healths):
                health.hint(self.now, name, scores)
                self._step_if_alarmed(ingress)

        self.at(self.now + GOSSIP_S, hear)

    def _report(self, name: str, ingress: int) -> None:
        admission, scores = self._admissions[name], self._detectors[name].scores
        limit = self._limits[name].value
        latency_ms = self._detectors[name].latency_ms
        report = LoadReport(admission.in_use, admission.waiting, limit, *scores, latency_ms, 1)
        self._loads[ingress].report(self.now, name, report)
        self._healths[ingress].hint(self.now, name, scores, latency_ms=latency_ms)

    def _retry(self, request: Request) -> None:
        if request.deadline - self.now < 0.005 or len(request.tried) >= self.spec.targets:
            return
        if self._budgets[request.ingress].take():
            request.retry = True
            self.send(request)


class NaiveDriver(Driver):
    """Round robin, five failures in a row, 30 s out, at most half out, one retry, first come."""

    QUEUE = 20

    def __init__(
        self, spec: Spec, rate: float, fault: Fault, *, fault_at: float, seed: int
    ) -> None:
        super().__init__(spec, rate, fault, fault_at=fault_at, seed=seed)
        self._ejectors = [NaiveEjector(self.names) for _ in range(self.ingresses)]
        self._turns = [0] * self.ingresses
        self._busy = dict.fromkeys(self.names, 0)
        self._queues: dict[str, list[tuple[Request, float]]] = {n: [] for n in self.names}

    def step(self) -> None:
        """Check the floor, which the naive version does not know."""
        for ejector in self._ejectors:
            serving = len(ejector.serving(self.now)) * self.spec.slots
            self.floor_breaches += serving < self.spec.floor_slots

    def send(self, request: Request) -> None:
        """Take the next target in turn."""
        serving = self._ejectors[request.ingress].serving(self.now)
        self._turns[request.ingress] += 1
        name = serving[self._turns[request.ingress] % len(serving)]
        self.note_pick(name, request.ingress)
        self.retries += request.retry
        give_up = min(request.deadline, self.now + self.spec.attempt_timeout_s)
        if self._busy[name] < self.spec.slots:
            self._begin(name, request, give_up)
        elif len(self._queues[name]) < self.QUEUE:
            self._queues[name].append((request, give_up))
        else:
            self._fail(name, request)

    def _begin(self, name: str, request: Request, give_up: float) -> None:
        self._busy[name] += 1
        going = self.behave(self.names.index(name), request.ingress)
        timed_out = going.hangs or self.now + going.duration_s > give_up
        end_at = give_up if timed_out else self.now + going.duration_s

        def end() -> None:
            self._busy[name] -= 1
            self._next(name)

        def reply() -> None:
            if timed_out or going.failed or going.reply_lost:
                self._fail(name, request)
            else:
                self._ejectors[request.ingress].record(self.now, name, False)
                self.succeed(request)

        self.at(end_at, end)
        self.at(give_up if going.reply_lost else end_at, reply)

    def _next(self, name: str) -> None:
        queue = self._queues[name]
        while queue and self._busy[name] < self.spec.slots:
            request, give_up = queue.pop(0)
            if give_up > self.now:
                self._begin(name, request, give_up)
            else:
                self._fail(name, request)

    def _fail(self, name: str, request: Request) -> None:
        ejector = self._ejectors[request.ingress]
        before = ejector.ejections
        ejector.record(self.now, name, True)
        if ejector.ejections > before:
            self.note_ejection(name)
        if request.repeatable and not request.retry and request.deadline > self.now:
            request.retry = True
            self.send(request)

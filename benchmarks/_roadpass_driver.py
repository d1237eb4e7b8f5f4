"""The product's decision modules in the benchmark's virtual time."""

from benchmarks._driver import Behaviour, Driver, Fault, Request, Spec
from roadpass.admission import Admission, Admitted, Queued, Refused, Ticket
from roadpass.balance import Candidate, Load, Picker
from roadpass.detect import Detector, Sample, threshold
from roadpass.eject import State
from roadpass.health import Presence, ServiceHealth
from roadpass.hint import FAULTY_SCORE
from roadpass.limit import AdaptiveLimit
from roadpass.load import LoadTable
from roadpass.message import LoadReport
from roadpass.retry import RetryBudget

GOSSIP_S = 0.3
"""A sidecar's word on a sick target takes so long to the ingresses by gossip."""
FORGET_S = 2.0


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
        times_overdue = [0]
        ended, replied = [False], [False]
        timed_out = going.hangs or started + going.duration_s > give_up
        end_at = give_up if timed_out else started + going.duration_s
        reply_at = give_up if going.reply_lost else end_at

        def look() -> None:
            if replied[0]:
                return
            if times_overdue[0] == 0:
                self._loads[request.ingress].mark_overdue(name)
            times_overdue[0] += 1
            health.record_pending(name)
            self._step_if_alarmed(request.ingress)
            if not ended[0]:
                self._detectors[name].observe_pending()
                self._gossip(name)
            look_again()

        def look_again() -> None:
            pending_s = health.pending_ms(name, times_overdue=times_overdue[0]) / 1000.0
            if pending_s and started + pending_s < reply_at:
                self.at(started + pending_s, look)

        def end() -> None:
            ended[0] = True
            self._end_at_target(
                name, request, going, timed_out, (self.now - started) * 1000.0, times_overdue[0] > 0
            )

        def reply() -> None:
            replied[0] = True
            failed = timed_out or going.reply_lost
            service_ms = (self.now - started) * 1000.0
            self._reply(name, request, going, failed, service_ms, times_overdue[0] > 0)

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
        self._detectors[name].observe(sample, slow_ms=slow_ms, counted_slow=counted, at=self.now)
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
        health.record(name, Sample(failed, service_ms), counted_slow=counted, at=self.now)
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
        if scores.worst < FAULTY_SCORE or self.now - self._said_at[name] < FORGET_S:
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

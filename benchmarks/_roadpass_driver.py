"""The decision modules of roadpass in the virtual time of the benchmark."""

from benchmarks._driver import Driver, Fault, Request, SimulatedAttempt, Spec
from roadpass.adaptive_limit import AdaptiveLimit
from roadpass.admission import Admission, Admitted, Queued, Refused
from roadpass.balance import Candidate, Load, Picker
from roadpass.class_queue import Ticket
from roadpass.ejector import State
from roadpass.failure_detector import Detector, Sample, threshold
from roadpass.health import Presence, ServiceHealth
from roadpass.hint import FAULTY_SCORE
from roadpass.load_table import LoadTable
from roadpass.message import LoadReport
from roadpass.retry import RetryBudget

GOSSIP_DELAY_S = 0.3
"""Delay after which a sidecar's report on an unhealthy target reaches the ingresses by gossip."""
DETECTOR_MEMORY_S = 2.0
"""Seconds without a sample after which a sidecar's detector is reset, and the shortest interval
between two gossip reports on one target."""


class RoadpassDriver(Driver):
    """The modules of roadpass, wired together as in the daemon."""

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
        self._detectors = {
            name: Detector(threshold(spec.false_ejection_rate)) for name in self.names
        }
        self._last_sample_at = dict.fromkeys(self.names, 0.0)
        self._last_gossip_at = dict.fromkeys(self.names, float("-inf"))
        self._waiting: dict[Ticket, tuple[str, Request, float]] = {}
        self._present = {name: Presence(spec.slots) for name in self.names}
        self.step()

    def step(self) -> None:
        """Evaluate health at every ingress, publish pickers and reset detectors without samples."""
        for ingress in range(self.ingresses):
            self._step_ingress(ingress)
        for name, detector in self._detectors.items():
            if self.now - self._last_sample_at[name] > DETECTOR_MEMORY_S and detector.samples:
                detector.reset()

    def _step_if_alarmed(self, ingress: int) -> None:
        if self._healths[ingress].alarmed:
            self._step_ingress(ingress)

    def _step_ingress(self, ingress: int) -> None:
        health = self._healths[ingress]
        for change in health.step(self.now, self._present).changes:
            if change.new is State.EJECTED:
                self.record_ejection(change.target)
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
        """Pick a target and offer the request to the admission of its sidecar."""
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
        self.record_pick(name, request.ingress)
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
                timeout_at = self.now + remaining
                self._waiting[ticket] = (name, request, timeout_at)
                self.schedule(timeout_at, lambda: self._abandon(ticket))
                if displaced is not None:
                    self._abandon(displaced)
            case Refused():
                self._not_run(name, request)

    def _attempt_limit(self, request: Request) -> float:
        if request.repeatable:
            return self.spec.attempt_timeout_s
        return self.spec.timeout_s

    def _abandon(self, ticket: Ticket) -> None:
        waiting = self._waiting.pop(ticket, None)
        if waiting is None:
            return
        name, request, _ = waiting
        self._start_granted(self._admissions[name].abandon(self.now, ticket))
        self._not_run(name, request)

    def _not_run(self, name: str, request: Request) -> None:
        self._loads[request.ingress].end(name, None)
        self._report(name, request.ingress)
        self._retry(request)

    def _begin(self, name: str, request: Request, timeout_at: float) -> None:
        index = self.names.index(name)
        started = self.now
        simulated = self.simulate_attempt(index, request.ingress)
        health = self._healths[request.ingress]
        checks = [0]
        ended, replied = [False], [False]
        timed_out = simulated.hangs or started + simulated.duration_s > timeout_at
        end_at = timeout_at if timed_out else started + simulated.duration_s
        reply_at = timeout_at if simulated.reply_lost else end_at

        def check_pending() -> None:
            if replied[0]:
                return
            if checks[0] == 0:
                self._loads[request.ingress].mark_overdue(name)
            checks[0] += 1
            health.record_pending(name)
            self._step_if_alarmed(request.ingress)
            if not ended[0]:
                self._detectors[name].observe_pending()
                self._gossip(name)
            schedule_check()

        def schedule_check() -> None:
            pending_s = health.pending_ms(name, times_overdue=checks[0]) / 1000.0
            if pending_s and started + pending_s < reply_at:
                self.schedule(started + pending_s, check_pending)

        def end() -> None:
            ended[0] = True
            self._end_at_target(
                name, request, simulated, timed_out, (self.now - started) * 1000.0, checks[0] > 0
            )

        def reply() -> None:
            replied[0] = True
            failed = timed_out or simulated.reply_lost
            service_ms = (self.now - started) * 1000.0
            self._reply(name, request, simulated, failed, service_ms, checks[0] > 0)

        schedule_check()
        self.schedule(end_at, end)
        self.schedule(reply_at, reply)

    def _end_at_target(
        self,
        name: str,
        request: Request,
        simulated: SimulatedAttempt,
        timed_out: bool,
        service_ms: float,
        was_overdue: bool,
    ) -> None:
        slow_ms = self._healths[request.ingress].slow_ms(name)
        admission, limit = self._admissions[name], self._limits[name]
        sample = Sample(timed_out or simulated.failed, service_ms)
        self._detectors[name].observe(
            sample, slow_ms=slow_ms, counted_slow=was_overdue, at=self.now
        )
        self._last_sample_at[name] = self.now
        self._gossip(name)
        limit.observe(self.now, service_ms, slow_ms, admission.in_use)
        admission.set_limit(limit.value, limit.service_ms)
        self._start_granted(admission.release(self.now, request.traffic_class))

    def _start_granted(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            name, request, timeout_at = self._waiting.pop(ticket)
            self._begin(name, request, timeout_at)

    def _reply(
        self,
        name: str,
        request: Request,
        simulated: SimulatedAttempt,
        lost: bool,
        service_ms: float,
        was_overdue: bool,
    ) -> None:
        health, loads = self._healths[request.ingress], self._loads[request.ingress]
        failed = lost or simulated.failed
        loads.end(name, None if lost else service_ms, overdue=was_overdue)
        health.record(name, Sample(failed, service_ms), counted_slow=was_overdue, at=self.now)
        self._step_if_alarmed(request.ingress)
        if not lost:
            self._report(name, request.ingress)
        if not failed:
            self.record_success(request)
        elif request.repeatable:
            self._retry(request)

    def _gossip(self, name: str) -> None:
        """Gossip the scores of an unhealthy target, at most once every `DETECTOR_MEMORY_S`."""
        scores = self._detectors[name].scores
        if scores.worst < FAULTY_SCORE or self.now - self._last_gossip_at[name] < DETECTOR_MEMORY_S:
            return
        self._last_gossip_at[name] = self.now

        def deliver() -> None:
            for ingress, health in enumerate(self._healths):
                health.hint(self.now, name, scores)
                self._step_if_alarmed(ingress)

        self.schedule(self.now + GOSSIP_DELAY_S, deliver)

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

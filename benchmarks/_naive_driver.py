"""The naive version in the benchmark's virtual time."""

from benchmarks._driver import Driver, Fault, Request, Spec
from tests.naive import NaiveEjector


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

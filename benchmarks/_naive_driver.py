"""The naive policy in the virtual time of the benchmark."""

from benchmarks._driver import Driver, Fault, Request, Spec
from tests.naive import NaiveEjector


class NaiveDriver(Driver):
    """The baseline of the comparison.

    Targets are picked round robin. Five consecutive failures eject a target for 30 s, with at most
    half of the targets ejected. A request is retried once, and queues are first in, first out.
    """

    QUEUE_LIMIT = 20

    def __init__(
        self, spec: Spec, rate: float, fault: Fault, *, fault_at: float, seed: int
    ) -> None:
        super().__init__(spec, rate, fault, fault_at=fault_at, seed=seed)
        self._ejectors = [NaiveEjector(self.names) for _ in range(self.ingresses)]
        self._next_index = [0] * self.ingresses
        self._busy = dict.fromkeys(self.names, 0)
        self._queues: dict[str, list[tuple[Request, float]]] = {n: [] for n in self.names}

    def step(self) -> None:
        """Count breaches of the capacity floor, which the naive policy does not enforce."""
        for ejector in self._ejectors:
            serving = len(ejector.serving(self.now)) * self.spec.slots
            self.floor_breaches += serving < self.spec.floor_slots

    def send(self, request: Request) -> None:
        """Send an attempt to the next target, or queue it there."""
        serving = self._ejectors[request.ingress].serving(self.now)
        self._next_index[request.ingress] += 1
        name = serving[self._next_index[request.ingress] % len(serving)]
        self.record_pick(name, request.ingress)
        self.retries += request.retry
        timeout_at = min(request.deadline, self.now + self.spec.attempt_timeout_s)
        if self._busy[name] < self.spec.slots:
            self._begin(name, request, timeout_at)
        elif len(self._queues[name]) < self.QUEUE_LIMIT:
            self._queues[name].append((request, timeout_at))
        else:
            self._fail(name, request)

    def _begin(self, name: str, request: Request, timeout_at: float) -> None:
        self._busy[name] += 1
        simulated = self.simulate_attempt(self.names.index(name), request.ingress)
        timed_out = simulated.hangs or self.now + simulated.duration_s > timeout_at
        end_at = timeout_at if timed_out else self.now + simulated.duration_s

        def end() -> None:
            self._busy[name] -= 1
            self._dequeue(name)

        def reply() -> None:
            if timed_out or simulated.failed or simulated.reply_lost:
                self._fail(name, request)
            else:
                self._ejectors[request.ingress].record(self.now, name, False)
                self.record_success(request)

        self.schedule(end_at, end)
        self.schedule(timeout_at if simulated.reply_lost else end_at, reply)

    def _dequeue(self, name: str) -> None:
        queue = self._queues[name]
        while queue and self._busy[name] < self.spec.slots:
            request, timeout_at = queue.pop(0)
            if timeout_at > self.now:
                self._begin(name, request, timeout_at)
            else:
                self._fail(name, request)

    def _fail(self, name: str, request: Request) -> None:
        ejector = self._ejectors[request.ingress]
        before = ejector.ejections
        ejector.record(self.now, name, True)
        if ejector.ejections > before:
            self.record_ejection(name)
        if request.repeatable and not request.retry and request.deadline > self.now:
            request.retry = True
            self.send(request)

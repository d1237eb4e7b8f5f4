"""A simulated target: slots, a queue, scheduled faults, and requests that crash it."""

import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from roadpass.errors import TargetRefusedError
from roadpass.outcome import Answered
from roadpass.target import TargetAnswer, TargetClient, TargetLostError, TargetTimeoutError
from roadpass.target_notice import TargetNotice

if TYPE_CHECKING:
    from tests.crowd import Crowd, CrowdNode
    from tests.load import Kind

RESET_S = 0.002
"""Seconds after which a target resets the connection of a request that it loses."""
FAIL_S = 0.001
"""Seconds until a failed response: so short that a failing target always seems idle."""
DOWN_S = 2.5
"""Seconds until a crashed target has restarted: 1.3 to 3 s on the users' platform."""


class CrowdTarget:
    """A target with slots, a queue and faults.

    Attributes:
        starts: Number of restarts.
        free_since: Virtual time since which it has a free slot, infinite while all are in use.
    """

    def __init__(self, name: str, service: str, slots: int) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.running = 0
        self.free_since = -math.inf
        self.queue: deque[object] = deque()
        self.starts = 0
        self._down_until: float | None = None

    @property
    def down(self) -> bool:
        """Whether its process has crashed and not restarted."""
        return self._down_until is not None

    def may_run(self, ticket: object) -> bool:
        """Return whether a queued request may run: it is first, and a slot is free."""
        return self.running < self.slots and self.queue[0] is ticket

    def crash(self, now: float) -> None:
        """Crash, and lose all requests in flight and queued."""
        self._down_until = now + DOWN_S

    def is_due(self, now: float) -> bool:
        """Return whether a crashed target is due to restart."""
        return self._down_until is not None and self._down_until <= now

    def start(self) -> None:
        """Restart."""
        self._down_until = None
        self.starts += 1


class CrowdClient(TargetClient):
    """The sidecar's client of one incarnation of a simulated target."""

    def __init__(self, crowd: "Crowd", target: CrowdTarget, node: "CrowdNode") -> None:
        self._crowd = crowd
        self._target = target
        self._node = node
        self._start = target.starts

    def send(
        self, attempt_id: str, method: str, path: str, headers: Any, body: bytes, **options: Any
    ) -> Any:
        crowd = self._crowd
        until = crowd.world.now + options["timeout_s"]
        crowd.reached[path, body].append(crowd.world.now)
        if self.refuses_connections():
            raise TargetRefusedError("No connection.") from ConnectionRefusedError()
        crowd.arrivals[self._target.service, options["request_id"]].append(crowd.world.now)
        crowd.starts[self._target.name].append(crowd.world.now)
        crowd.in_use[self._target.name].append((crowd.world.now, self._node.local._slots.in_use))
        started = crowd.world.now
        answer = self._answer(path, body, until, options)
        notice = TargetNotice(
            crowd.named_limit(self._target), warm_up_ms=crowd.warm_up_ms(self._target.name)
        )
        options["on_notice"](notice, started)
        return answer

    def _answer(self, path: str, body: bytes, until: float, options: Any) -> TargetAnswer:
        """Return the response that the faults of the target allow."""
        crowd = self._crowd
        match crowd.draw_fault(self._target):
            case "reset":
                crowd.sleep(RESET_S)
                raise TargetLostError("The connection was reset.")
            case "shed":
                return TargetAnswer(Answered(503, [], b"", 1.0), True, "", None)
            case "fail":
                crowd.sleep(FAIL_S)
                return TargetAnswer(Answered(500, [], b"", 1.0), False, "", None)
            case "hang":
                crowd.sleep(options["timeout_s"])
                raise TargetTimeoutError("No answer in time.")
        repeated = len(crowd.arrivals[self._target.service, options["request_id"]]) > 1
        if crowd.kind_of(path, body).fails:
            crowd.sleep(FAIL_S)
            return TargetAnswer(Answered(500, [], b"", 1.0), False, "", None)
        started = crowd.world.now
        status = self._work(path, body, until, repeated=repeated)
        if self.refuses_connections():
            raise TargetLostError("The connection ended.")
        if status is None:
            raise TargetTimeoutError("No answer in time.")
        took_ms = (crowd.world.now - started) * 1000.0 if any(crowd.load.sharing) else 1.0
        return TargetAnswer(Answered(status, [], b"", took_ms), False, "", None)

    def refuses_connections(self) -> bool:
        return self._target.down or self._start != self._target.starts

    def cancel(self, attempt_id: str) -> bool:
        return False

    def _work(self, path: str, body: bytes, until: float, *, repeated: bool) -> int | None:
        """Take a slot, work and make the nested call; return the status, `None` on a timeout."""
        crowd, target = self._crowd, self._target
        kind = crowd.kind_of(path, body)
        ticket = object()
        target.queue.append(ticket)
        granted = self._wait(lambda: target.may_run(ticket), until)
        target.queue.remove(ticket)
        if not granted or self.refuses_connections():
            return None
        target.running += 1
        if target.running >= target.slots:
            target.free_since = math.inf
        try:
            self._wait(lambda: False, min(crowd.world.now + self._work_s(kind), until))
            if kind.crashes and not self.refuses_connections() and crowd.world.now < until:
                crowd.crashed[path, body].append(crowd.world.now)
                target.crash(crowd.world.now)
            if kind.call and crowd.rng.random() < kind.call_share:
                outcome = self._node.dispatch(kind.call, until, called_by_repeat=repeated)
                if not (isinstance(outcome, Answered) and outcome.status == 200):
                    return 500
            return 200 if crowd.world.now < until else None
        finally:
            target.running -= 1
            target.free_since = min(target.free_since, crowd.world.now)

    def _work_s(self, kind: "Kind") -> float:
        """Draw the service time of a request, longer while the target is cold."""
        return self._crowd.draw_work_s(kind) * self._crowd.slowness(self._target.name)

    def _wait(self, ready: Callable[[], bool], until: float) -> bool:
        """Wait until `ready` returns true or the target is gone; return whether either holds."""
        left_s = until - self._crowd.world.now
        return self._crowd.world.park(lambda: ready() or self.refuses_connections(), left_s)

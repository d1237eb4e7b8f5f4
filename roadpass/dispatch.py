"""The way of one request at the ingress: route, target, attempts, fence, outcome."""

import itertools
import random
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from roadpass.balance import Load, LoadOf, Picker
from roadpass.decision import decided
from roadpass.detect import Sample, Scores
from roadpass.fence import Verdict
from roadpass.fleet import Service, Target
from roadpass.load import LoadTable
from roadpass.message import Attempt, LoadReport, Reply
from roadpass.outcome import (
    RETRY_LATER_MS,
    RETRY_SOON_MS,
    SERVER_ERROR,
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from roadpass.pause import PauseWatch
from roadpass.peer import PeerPool
from roadpass.request import Observation, Pending, Request, Served
from roadpass.retry import RetryBudget
from roadpass.route import Route
from roadpass.sidecar import Sidecar
from roadpass.transport import CONNECT_S, FENCE_S, Transport
from roadpass.view import ServiceView, View

MIN_ATTEMPT_S = 0.005
"""With less time left no attempt is made."""
FREE_MOVES = 40
"""Refusals before the first byte reached a target after which a request is given up."""
ASKS = 6
FAR_ASKS = 3
"""Targets, and those in other data halls, asked for a free slot before a request waits at one: a
way there and back takes 0.4 to 3 ms, one request ahead in a queue 100 ms; far bytes cost."""
UNREACHABLE_AVOID_S = 1.0
"""How long an ingress keeps away from a target to which its way is cut; trying costs 0.1 s."""


@dataclass(slots=True)
class _Trip:
    """The state of one request on its way through attempts.

    `arrivals` counts attempts that reached a target, `moves` those refused before that; `busy`
    holds the expected wait, in milliseconds, of targets that had no free slot when asked. Once all
    targets have refused it the request is `pressing`: those that might yet take it are asked again.
    """

    request: Request
    route: Route
    service: Service
    deadline: float
    key: str
    tried: set[str]
    busy: dict[str, int] = field(default_factory=dict)
    refused: dict[str, Reason] = field(default_factory=dict)
    arrivals: int = 0
    moves: int = 0
    far_asks: int = 0
    may_wait: bool = False
    pressing: bool = False
    may_have_run: Outcome | None = None

    @property
    def may_arrive(self) -> bool:
        """Whether the route lets the request be sent to another target."""
        most = self.route.max_attempts
        return most is None or self.arrivals < most

    def press(self) -> bool:
        """Let targets that refused for failing, or were out of reach, be asked once more.

        Returns:
            Whether there are any.
        """
        if self.pressing:
            return False
        again = {Reason.UNREACHABLE}
        if self.route.repeatable and self.arrivals == 0:
            again.add(Reason.SICK)
        names = {name for name, reason in self.refused.items() if reason in again}
        self.pressing = True
        self.tried -= names
        return bool(names)

    def final(self, outcome: Outcome) -> Outcome:
        """Return what to tell the caller: "not run" only if no attempt may have run."""
        match outcome:
            case NotRun():
                return self.may_have_run or outcome
            case _:
                return outcome


class Dispatcher:
    """Sees requests to their outcomes; used by all workers at once.

    Args:
        view: What to route by.
        incarnation: Of this process, part of attempt ids.
        sidecar: This VM's own.
        peers: Streams to the other sidecars.
        pause: Tells when this process stood still.
        behind: Called with a VM and its revision when that is newer than the own one.
    """

    def __init__(
        self,
        view: View,
        incarnation: int,
        sidecar: Sidecar,
        peers: PeerPool,
        pause: PauseWatch,
        *,
        behind: Callable[[str, int], None],
        seed: int | None = None,
    ) -> None:
        self._view = view
        self._prefix = f"{view.vm}/{incarnation}/"
        self._transport = Transport(view, sidecar, peers)
        self._pause = pause
        self._behind = behind
        self._loads = LoadTable()
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._budgets: dict[str, RetryBudget] = {}
        self._waiting: dict[tuple[str, str], int] = {}
        self._lock = threading.Lock()
        self.observations: deque[Observation] = deque(maxlen=100_000)
        self.pending: dict[str, Pending] = {}

    @property
    def loads(self) -> LoadTable:
        """Beliefs of the targets' load."""
        return self._loads

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        return sum(self._waiting.values())

    def dispatch(self, request: Request) -> Served:
        """See one request to its outcome."""
        started = time.monotonic()
        view = self._view
        if view.refusing:
            return Served(NotRun(Reason.LEAVING, RETRY_SOON_MS))
        if not view.ready:
            return Served(NotRun(Reason.NOT_READY, RETRY_SOON_MS))
        fleet = view.fleet
        route = fleet.find_route(request.host, request.path, request.method)
        if route is None:
            return Served(NotRun(Reason.NO_ROUTE))
        service = fleet.services[self._part(route)]
        deadline = started + (route.timeout_ms or service.timeout_ms) / 1000.0
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        slot = (service.name, service.class_of(route))
        if not self._enter(slot, service.waiting_limit):
            return Served(NotRun(Reason.WAITING_LIMIT, RETRY_SOON_MS), *slot)
        key = f"{service.name}:{request.key}" if request.key and not route.repeatable else ""
        trip = _Trip(request, route, service, deadline, key, set())
        outcome: Outcome = Unknown(Reason.TARGET_LOST)
        try:
            outcome = self._attempts(trip)
            return Served(outcome, *slot)
        finally:
            self._leave(slot)
            self._log_end(trip, outcome, started)

    def _attempts(self, trip: _Trip) -> Outcome:
        budget = self._budget(trip.service)
        budget.on_first_attempt()
        outcome: Outcome = NotRun(Reason.NO_CAPACITY, RETRY_LATER_MS)
        while True:
            if trip.deadline - time.monotonic() < MIN_ATTEMPT_S:
                return trip.final(NotRun(Reason.EXPIRED, RETRY_SOON_MS))
            target = self._pick(trip)
            if target is None and trip.press():
                continue
            if target is None:
                return trip.final(outcome)
            outcome = self._attempt(trip, target)
            match outcome:
                case NotRun(reason=Reason.BUSY, retry_after_ms=wait_ms):
                    trip.busy[target.name] = wait_ms
                    trip.far_asks += self._view.tier(target) > 0
                    continue
                case _:
                    trip.tried.add(target.name)
            match outcome:
                case NotRun(reason=reason) if reason is not Reason.SHED:
                    trip.moves += 1
                    trip.refused[target.name] = reason
                    if reason in _FINAL_REASONS or trip.moves >= FREE_MOVES:
                        return trip.final(outcome)
                    continue
                case NotRun():
                    trip.arrivals += 1
                case _:
                    trip.arrivals += 1
                    trip.may_have_run = outcome
            if not _may_retry(outcome, trip.route) or not trip.may_arrive or not budget.take():
                return trip.final(outcome)

    def _pick(self, trip: _Trip) -> Target | None:
        view = self._view
        service_view = view.service(trip.service.name)
        picker = service_view.picker(view.fleet.groups(trip.route, time.time(), trip.service.name))
        now = time.monotonic()

        def load_of(name: str) -> Load:
            return self._loads.load(name, now)

        while True:
            name = self._pick_name(trip, picker, load_of)
            if name is None:
                return None
            target = view.fleet.targets.get(name)
            if target is not None:
                return target
            trip.tried.add(name)

    def _pick_name(self, trip: _Trip, picker: Picker, load_of: LoadOf) -> str | None:
        """Pick a target to ask for a free slot, or the one with the shortest wait to wait at."""
        if not trip.may_wait and len(trip.busy) < ASKS and trip.far_asks < FAR_ASKS:
            name = picker.pick(
                load_of,
                self._rng,
                repeatable=trip.route.repeatable,
                excluded=trip.tried | trip.busy.keys(),
            )
            if name is not None:
                return name
        trip.may_wait = True
        left = [name for name in trip.busy if name not in trip.tried]
        if left:
            return min(left, key=trip.busy.__getitem__)
        return picker.pick(
            load_of, self._rng, repeatable=trip.route.repeatable, excluded=trip.tried
        )

    def _attempt(self, trip: _Trip, target: Target) -> Outcome:
        attempt_id = f"{self._prefix}{next(self._numbers)}"
        if trip.key and trip.request.repeat:
            refusal = self._fence_key(trip, attempt_id)
            if refusal is not None:
                return refusal
        service_view = self._view.service(trip.service.name)
        started = time.monotonic()
        attempt = self._build(trip, target, attempt_id, service_view, started)
        pending = Pending(trip.service.name, target.name, started)
        self.pending[attempt_id] = pending
        self._loads.begin(target.name)
        latency_ms: float | None = None
        try:
            reply = self._transport.send(target, attempt, trip.request.watch)
            match reply.outcome:
                case Answered(service_ms=service_ms):
                    latency_ms = service_ms
                case _:
                    pass
        finally:
            del self.pending[attempt_id]
            self._loads.end(target.name, latency_ms, overdue=pending.looks > 0)
        self._learn(trip, target, reply, pending, started)
        self._log_attempt(trip, target, attempt, reply, started)
        return reply.outcome

    def _build(
        self,
        trip: _Trip,
        target: Target,
        attempt_id: str,
        service_view: ServiceView,
        now: float,
    ) -> Attempt:
        left = trip.deadline - now
        if trip.route.repeatable:
            left = min(left, _attempt_limit_s(trip, self._budget(trip.service)))
        else:
            left = max(MIN_ATTEMPT_S, left - FENCE_S)
        return Attempt(
            id=attempt_id,
            target=target.name,
            route=trip.route.name,
            method=trip.request.method,
            path=trip.request.path,
            headers=trip.request.headers,
            body=trip.request.body,
            remaining_ms=left * 1000.0,
            traffic_class=trip.service.class_of(trip.route),
            caller=trip.request.caller,
            repeatable=trip.route.repeatable,
            retry=trip.arrivals > 0,
            revision=self._view.fleet.revision,
            slow_ms=service_view.slow_ms.get(target.name, 0.0),
            key=trip.key,
            repeat=bool(trip.key) and trip.request.repeat,
            request_id=trip.request.id,
            origin=trip.request.origin,
            may_wait=trip.may_wait,
            pressing=trip.pressing,
        )

    def _fence_key(self, trip: _Trip, attempt_id: str) -> Outcome | None:
        """Have every sidecar of the service vouch that a declared repeat's key never started."""
        vms = {target.vm for target in self._view.fleet.targets_of(trip.service.name)}
        for vm in sorted(vms):
            left = trip.deadline - time.monotonic()
            if left < MIN_ATTEMPT_S:
                return Unknown(Reason.KEY_USED)
            verdict = self._transport.fence_key(vm, trip.key, attempt_id, min(left, CONNECT_S))
            if verdict is not Verdict.NEVER_STARTS:
                return Unknown(Reason.KEY_USED)
        return None

    def _learn(
        self, trip: _Trip, target: Target, reply: Reply, pending: Pending, started: float
    ) -> None:
        now = time.monotonic()
        scores, latency_ms = None, 0.0
        if reply.load is not None:
            self._loads.report(now, target.name, reply.load)
            if reply.load.revision > self._view.fleet.revision:
                self._behind(target.vm, reply.load.revision)
            scores, latency_ms = _scores(reply.load), reply.load.latency_ms
        sample: Sample | None = None
        match reply.outcome:
            case Answered(status=status, service_ms=service_ms):
                sample = Sample(status >= SERVER_ERROR, service_ms)
            case NotRun(reason=Reason.LEAVING | Reason.STALE_ROUTE):
                self._loads.avoid(now, target.name)
            case NotRun(reason=Reason.SICK | Reason.SHED_LATELY, retry_after_ms=wait_ms):
                self._loads.avoid(now, target.name, for_s=wait_ms / 1000.0)
            case NotRun(reason=Reason.REFUSED | Reason.UNREACHABLE | Reason.FENCED):
                sample = Sample(True, (now - started) * 1000.0)
                self._loads.avoid(now, target.name, for_s=UNREACHABLE_AVOID_S)
            case Unknown(
                reason=Reason.CANCELLED | Reason.KEY_USED | Reason.DUPLICATE | Reason.TARGET_LOST
            ):
                pass
            case Unknown():
                sample = Sample(True, (now - started) * 1000.0)
            case _:
                pass
        if self._pause.last_stall >= started:
            sample = None
        self.observations.append(
            Observation(
                trip.service.name,
                target.name,
                sample,
                scores,
                latency_ms,
                now,
                pending.looks > 0,
            )
        )

    def _part(self, route: Route) -> str:
        """Return the service that a request goes to, by the weights of the route's parts."""
        if not route.split:
            return route.service
        weights = [part.weight for part in route.split]
        return self._rng.choices([part.service for part in route.split], weights)[0]

    def _log_attempt(
        self, trip: _Trip, target: Target, attempt: Attempt, reply: Reply, started: float
    ) -> None:
        load = self._loads.load(target.name, started)
        decided(
            "dispatch",
            "attempt",
            request=trip.request.id,
            attempt=attempt.id,
            route=trip.route.name,
            target=target.name,
            target_vm=target.vm,
            revision=attempt.revision,
            used=round(load.utilization, 2),
            ms=round((time.monotonic() - started) * 1000.0, 1),
            outcome=_name(reply.outcome),
        )

    def _log_end(self, trip: _Trip, outcome: Outcome, started: float) -> None:
        decided(
            "dispatch",
            "ended",
            request=trip.request.id,
            route=trip.route.name,
            service=trip.service.name,
            outcome=_name(outcome),
            arrivals=trip.arrivals,
            moves=trip.moves,
            ms=round((time.monotonic() - started) * 1000.0, 1),
            left_ms=round((trip.deadline - time.monotonic()) * 1000.0, 1),
        )

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None or not budget.allows_as(service.retry_ratio, service.retry_burst):
            budget = RetryBudget(service.retry_ratio, burst=service.retry_burst)
            self._budgets[service.name] = budget
        return budget

    def _enter(self, slot: tuple[str, str], limit: int) -> bool:
        with self._lock:
            waiting = self._waiting.get(slot, 0)
            if waiting >= limit:
                return False
            self._waiting[slot] = waiting + 1
            return True

    def _leave(self, slot: tuple[str, str]) -> None:
        with self._lock:
            self._waiting[slot] -= 1


_FINAL_REASONS = frozenset((Reason.EXPIRED, Reason.CANCELLED))
"""Refusals that no other target would change."""


def _attempt_limit_s(trip: _Trip, budget: RetryBudget) -> float:
    """Return how long one repeatable attempt may take, so that another has time after it.

    Without a repeat to spend there will be no other: then it may take all the time there is.
    """
    limit_s = trip.service.attempt_timeout_ms / 1000.0
    repeat = trip.arrivals == 0 and trip.may_arrive and budget.tokens >= 1.0
    if trip.route.target_latency_ms is not None and repeat:
        limit_s = min(limit_s, trip.route.target_latency_ms / 1000.0)
    return limit_s


def _name(outcome: Outcome) -> str:
    match outcome:
        case Answered(status=status):
            return f"answered {status}"
        case NotRun(reason=reason):
            return f"not-run {reason.value}"
        case Unknown(reason=reason):
            return f"unknown {reason.value}"


def _may_retry(outcome: Outcome, route: Route) -> bool:
    match outcome:
        case Answered(status=status):
            return status >= SERVER_ERROR and route.repeatable
        case NotRun(reason=reason):
            return reason not in (Reason.EXPIRED, Reason.CANCELLED)
        case Unknown(reason=Reason.CANCELLED):
            return False
        case Unknown():
            return route.repeatable


def _scores(load: LoadReport) -> Scores:
    return Scores(load.failure_score, load.slow_score)

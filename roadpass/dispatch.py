"""The way of one request at the ingress: route, target, attempts, fence, outcome."""

import itertools
import random
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from roadpass._generated.message_types import Fence, FenceKey
from roadpass.balance import Load
from roadpass.detect import Sample, Scores
from roadpass.errors import ConnectError, ReplyTimeoutError, StreamError
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
from roadpass.peer import Address, PeerPool
from roadpass.request import Observation, Pending, Request, Served
from roadpass.retry import RetryBudget
from roadpass.route import Route
from roadpass.sidecar import Sidecar
from roadpass.stream import CallerGoneError
from roadpass.view import ServiceView, View

FENCE_S = 0.1
"""Time kept at the end of a request's deadline to fence an attempt without an answer."""
REPLY_GRACE_S = 0.02
MIN_ATTEMPT_S = 0.005
CONNECT_S = 0.25


@dataclass(slots=True)
class _Trip:
    """The state of one request on its way through attempts."""

    request: Request
    route: Route
    service: Service
    deadline: float
    key: str
    tried: set[str]
    retries: int = 0
    may_have_run: Outcome | None = None

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
        self._sidecar = sidecar
        self._peers = peers
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
        if view.leaving:
            return Served(NotRun(Reason.LEAVING, RETRY_SOON_MS))
        if not view.ready:
            return Served(NotRun(Reason.NOT_READY, RETRY_SOON_MS))
        fleet = view.fleet
        route = fleet.find_route(request.host, request.path, request.method)
        if route is None:
            return Served(NotRun(Reason.NO_ROUTE))
        service = fleet.services[route.service]
        deadline = started + (route.timeout_ms or service.timeout_ms) / 1000.0
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        slot = (service.name, service.class_of(route))
        if not self._enter(slot, service.waiting_limit):
            return Served(NotRun(Reason.WAITING_LIMIT, RETRY_SOON_MS), *slot)
        key = f"{service.name}:{request.key}" if request.key and not route.repeatable else ""
        trip = _Trip(request, route, service, deadline, key, set())
        try:
            return Served(self._attempts(trip), *slot)
        finally:
            self._leave(slot)

    def _attempts(self, trip: _Trip) -> Outcome:
        budget = self._budget(trip.service)
        budget.on_first_attempt()
        outcome: Outcome = NotRun(Reason.NO_CAPACITY, RETRY_LATER_MS)
        while True:
            if trip.deadline - time.monotonic() < MIN_ATTEMPT_S:
                return trip.final(NotRun(Reason.EXPIRED, RETRY_SOON_MS))
            target = self._pick(trip)
            if target is None:
                return trip.final(outcome)
            outcome = self._attempt(trip, target)
            trip.tried.add(target.name)
            match outcome:
                case NotRun():
                    pass
                case _:
                    trip.may_have_run = outcome
            if not _may_retry(outcome, trip.route) or not budget.take():
                return trip.final(outcome)
            trip.retries += 1

    def _pick(self, trip: _Trip) -> Target | None:
        view = self._view
        service_view = view.service(trip.service.name)
        picker = service_view.picker(view.fleet.groups(trip.route, time.time()))
        now = time.monotonic()

        def load_of(name: str) -> Load:
            return self._loads.load(name, now)

        while True:
            name = picker.pick(
                load_of, self._rng, repeatable=trip.route.repeatable, excluded=trip.tried
            )
            if name is None:
                return None
            target = view.fleet.targets.get(name)
            if target is not None:
                return target
            trip.tried.add(name)

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
            reply = self._send(trip, target, attempt)
            match reply.outcome:
                case Answered(service_ms=service_ms):
                    latency_ms = service_ms
                case _:
                    pass
        finally:
            del self.pending[attempt_id]
            self._loads.end(target.name, latency_ms, overdue=pending.looks > 0)
        self._learn(trip, target, reply, pending, started)
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
            left = min(left, trip.service.attempt_timeout_ms / 1000.0)
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
            retry=trip.retries > 0,
            revision=self._view.fleet.revision,
            slow_ms=service_view.slow_ms.get(target.name, 0.0),
            key=trip.key,
            repeat=bool(trip.key) and trip.request.repeat,
        )

    def _send(self, trip: _Trip, target: Target, attempt: Attempt) -> Reply:
        if target.vm == self._view.vm:
            return self._sidecar.run(attempt)
        address = self._address(target)
        if address is None:
            return Reply(NotRun(Reason.UNREACHABLE, RETRY_SOON_MS))
        limit = min(CONNECT_S, attempt.remaining_ms / 1000.0)
        started = time.monotonic()
        try:
            stream = self._peers.acquire(address, timeout_s=limit)
        except ConnectError:
            return Reply(NotRun(Reason.UNREACHABLE, RETRY_SOON_MS))
        spent_ms = (time.monotonic() - started) * 1000.0
        remaining_ms = attempt.remaining_ms - spent_ms
        try:
            stream.send(attempt._replace(remaining_ms=remaining_ms).to_message())
            wait_s = remaining_ms / 1000.0 + REPLY_GRACE_S
            reply = Reply.from_message(stream.receive(wait_s, caller=trip.request.sock).message)
        except StreamError as error:
            stream.close()
            return Reply(self._after_loss(trip, address, attempt, stream.peer_incarnation, error))
        self._peers.release(address, stream)
        return reply

    def _after_loss(
        self,
        trip: _Trip,
        address: Address,
        attempt: Attempt,
        incarnation: int,
        error: StreamError,
    ) -> Outcome:
        """Find out what became of an attempt without a reply: the sidecar's word or unknown."""
        match error:
            case CallerGoneError():
                reason = Reason.CANCELLED
            case ReplyTimeoutError():
                reason = Reason.TIMEOUT
            case _:
                reason = Reason.STREAM_LOST
        if trip.route.repeatable and reason is not Reason.CANCELLED:
            return Unknown(reason)
        message: Fence = {"t": "fence", "id": attempt.id}
        left = min(FENCE_S, max(MIN_ATTEMPT_S, trip.deadline - time.monotonic()))
        try:
            word = self._peers.exchange(address, message, timeout_s=left)
        except StreamError:
            return Unknown(reason)
        vouched = word["t"] == "fenced" and word["verdict"] == Verdict.NEVER_STARTS.value
        if vouched and word["incarnation"] == incarnation:
            why = Reason.CANCELLED if reason is Reason.CANCELLED else Reason.FENCED
            return NotRun(why, RETRY_SOON_MS)
        return Unknown(reason)

    def _fence_key(self, trip: _Trip, attempt_id: str) -> Outcome | None:
        """Have every sidecar of the service vouch that a declared repeat's key never started."""
        vms = {target.vm for target in self._view.fleet.targets_of(trip.service.name)}
        for vm in sorted(vms):
            left = trip.deadline - time.monotonic()
            if left < MIN_ATTEMPT_S:
                return Unknown(Reason.KEY_USED)
            verdict = self._fence_key_at(vm, trip.key, attempt_id, min(left, CONNECT_S))
            if verdict is not Verdict.NEVER_STARTS:
                return Unknown(Reason.KEY_USED)
        return None

    def _fence_key_at(self, vm: str, key: str, token: str, timeout_s: float) -> Verdict:
        if vm == self._view.vm:
            return self._sidecar.fence_key(key, token)
        node = self._view.nodes.get(vm)
        if node is None:
            return Verdict.CANNOT_VOUCH
        message: FenceKey = {"t": "fence_key", "key": key, "id": token}
        address = (node.address, node.stream_port)
        try:
            word = self._peers.exchange(address, message, timeout_s=timeout_s)
            return Verdict(word.get("verdict", Verdict.CANNOT_VOUCH))
        except (StreamError, ValueError):
            return Verdict.CANNOT_VOUCH

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
            case NotRun(reason=Reason.REFUSED | Reason.UNREACHABLE | Reason.FENCED):
                sample = Sample(True, (now - started) * 1000.0)
            case Unknown(reason=Reason.CANCELLED | Reason.KEY_USED | Reason.DUPLICATE):
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

    def _address(self, target: Target) -> Address | None:
        node = self._view.nodes.get(target.vm)
        return (node.address, node.stream_port) if node is not None else None

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None or budget.ratio != service.retry_ratio:
            budget = self._budgets[service.name] = RetryBudget(service.retry_ratio)
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

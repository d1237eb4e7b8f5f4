"""The way of one request at the ingress: route, target, attempts, fence, outcome."""

import itertools
import math
import random
import threading
from collections.abc import Callable

from roadpass import clock
from roadpass.choice import Choice
from roadpass.fence import Verdict
from roadpass.fleet import Service, Target
from roadpass.kind import Kinds
from roadpass.learning import Learning
from roadpass.load import LoadTable
from roadpass.message import Attempt, Reply
from roadpass.metric import Metrics
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
from roadpass.quota_keeper import Quotas
from roadpass.request import Pending, Request, Served, Way
from roadpass.retry import RetryBudget
from roadpass.route import Route
from roadpass.sidecar import Sidecar
from roadpass.stop_notices import StopNotices
from roadpass.transport import CONNECT_TIMEOUT_S, Transport
from roadpass.trip import MIN_ATTEMPT_S, Trip
from roadpass.trip_log import log_attempt, log_end, log_refused
from roadpass.view import View

FREE_MOVES = 40
"""Refusals before the first byte reached a target after which a request is given up."""
SPENT_ASKS = 4
"""Targets that may say that their repeats are spent before a request is given up: most requests
find a repeat that is left at one target in three, and a service that sheds is not asked through."""
SPENT_S = 0.3
"""Seconds for which a service's repeats are taken to be spent after that: a request sent meanwhile
counts as lost if it fails, so it goes to surer targets, and one that needs a repeat asks one target
for it. Meanwhile the targets of a service of some dozen are given the next few."""
_FINAL_REASONS = frozenset((Reason.EXPIRED, Reason.CANCELLED, Reason.QUARANTINED))
"""Refusals that no other target would change."""


class Dispatcher:
    """Sees requests to their outcomes; used by the threads of all callers at once.

    Args:
        view: What to route by.
        incarnation: Of this process, part of attempt ids.
        sidecar: This VM's own.
        peers: Streams to the other sidecars.
        pause: Tells when this process stood still.
        behind: Called with a VM and its revision when that is newer than the own one.
        metrics: Counts bytes to other data halls, `None` for not at all.
        quotas: What customers may send here, `None` for new ones.
        seed: Of the choice among targets, `None` for a random one.
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
        metrics: Metrics | None = None,
        quotas: Quotas | None = None,
        seed: int | None = None,
    ) -> None:
        self._view = view
        self._prefix = f"{view.vm}/{incarnation}/"
        self._transport = Transport(view, sidecar, peers, metrics=metrics)
        self._quarantine = sidecar.quarantine
        self._calls = sidecar.calls
        self._quotas = quotas or Quotas()
        self._loads = LoadTable()
        self._choice = Choice(view, self._loads, random.Random(seed))
        self._numbers = itertools.count(1)
        self._budgets: dict[str, RetryBudget] = {}
        self._spent_until: dict[str, float] = {}
        self._kinds = Kinds()
        self._learning = Learning(
            view, self._choice, self._loads, self._kinds, self._quarantine, pause, behind=behind
        )
        self._waiting: dict[tuple[str, str], int] = {}
        self._lock = threading.Lock()
        self.observations = self._learning.observations
        self.pending: dict[str, Pending] = {}
        self.notices = StopNotices(view, self.pending, self._transport)
        self._trips: dict[int, Trip] = {}

    @property
    def loads(self) -> LoadTable:
        """Beliefs of the targets' load."""
        return self._loads

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        return sum(self._waiting.values())

    def ways(self) -> list[Way]:
        """Return where the requests are that are under way, the oldest first."""
        return [self._way(trip) for trip in list(self._trips.values())]

    def _way(self, trip: Trip) -> Way:
        pending = self.pending.get(trip.attempt_id)
        if pending is None:
            return Way(trip.request.id, trip.started, trip.arrivals)
        sent = (trip.attempt_id, pending.since, pending.target, pending.vm)
        return Way(trip.request.id, trip.started, trip.arrivals, *sent)

    def dispatch(self, request: Request) -> Served:
        """See one request to its outcome."""
        started = clock.now()
        view = self._view
        if view.refusing:
            return self._refused(request, NotRun(Reason.LEAVING, RETRY_SOON_MS))
        if not view.ready:
            return self._refused(request, NotRun(Reason.NOT_READY, RETRY_SOON_MS))
        fleet = view.fleet
        route = fleet.find_route(request.host, request.path, request.method)
        if route is None:
            return self._refused(request, NotRun(Reason.NO_ROUTE))
        if fleet.customers and request.access is None:  # they came between its reading and now
            return self._refused(request, NotRun(Reason.NOT_READY, RETRY_SOON_MS))
        held_s = self._quarantine.held_s(started, request.fingerprint)
        if held_s > 0.0:
            return self._refused(request, NotRun(Reason.QUARANTINED, int(held_s * 1000.0)))
        service = fleet.services.get(self._choice.part(route))
        if service is None:
            return self._refused(request, NotRun(Reason.NO_CAPACITY, RETRY_LATER_MS))
        slot = (service.name, service.class_of(route, request.customer))
        over_s = self._quotas.over_s(started, request.customer, fleet.size)
        if over_s > 0.0:
            return self._refused(request, NotRun(Reason.OVER_QUOTA, int(over_s * 1000.0)), *slot)
        if not self._enter(slot, service.waiting_limit):
            self._quotas.give_back(request.customer)
            return self._refused(request, NotRun(Reason.WAITING_LIMIT, RETRY_SOON_MS), *slot)
        kind = self._kinds.of(route.name)
        trip = Trip.begin(request, route, service, started, kind, self._kinds.patience(kind))
        outcome: Outcome = Unknown(Reason.TARGET_LOST)
        self._trips[id(trip)] = trip
        try:
            outcome = self._attempts(trip)
            return Served(outcome, *slot)
        finally:
            del self._trips[id(trip)]
            self._leave(slot)
            if isinstance(outcome, NotRun):
                self._quotas.give_back(request.customer)
            self._calls.note(started, clock.now(), request.deadline or math.inf, outcome)
            log_end(trip, outcome, started, has_repeat=self._has_repeat(trip))

    def _refused(self, request: Request, outcome: NotRun, *slot: str) -> Served:
        """Return what a request is told that was not tried at any target."""
        log_refused(request, outcome, self._view.fleet.revision)
        return Served(outcome, *slot)

    def _attempts(self, trip: Trip) -> Outcome:
        budget = self._budget(trip.service)
        budget.on_first_attempt()
        outcome: Outcome = NotRun(Reason.NO_CAPACITY, RETRY_LATER_MS)
        while True:
            if trip.expired:
                return trip.final(NotRun(Reason.EXPIRED, RETRY_SOON_MS))
            if clock.now() >= self._view.ending.last_start(trip.told_usual_ms):
                return trip.final(NotRun(Reason.LEAVING, RETRY_SOON_MS))
            held_s = self._quarantine.held_s(clock.now(), trip.request.fingerprint)
            if held_s > 0.0:  # heard while it waited; the next door may not have heard yet
                return trip.final(NotRun(Reason.QUARANTINED, int(held_s * 1000.0)))
            target = self._choice.pick(trip, has_repeat=self._has_repeat(trip))
            if target is None and not trip.offers and trip.press():
                continue
            if target is None:
                self._finds_spent(trip, all_asked=not trip.offers)
                return trip.final(_crowded(trip) if trip.offers else outcome)
            outcome = self._attempt(trip, target)
            if trip.waits_in_vain:
                outcome = _given_up(outcome)
            if not self._goes_on(trip, target, outcome, budget):
                return trip.final(outcome)

    def _goes_on(self, trip: Trip, target: Target, outcome: Outcome, budget: RetryBudget) -> bool:
        """Note how an attempt ended; return whether another one may be made."""
        match outcome:
            case NotRun(reason=Reason.BUSY | Reason.DOUBTFUL):
                return not trip.waits_in_vain
            case _:
                trip.tried.add(target.name)
        match outcome:
            case NotRun(reason=reason) if reason is not Reason.SHED:
                trip.moves += 1
                trip.refused[target.name] = reason
                if trip.waits_in_vain or trip.moves >= FREE_MOVES or self._finds_spent(trip):
                    return False
                return reason not in _FINAL_REASONS
            case NotRun():
                trip.note_arrival()
            case _:
                trip.note_arrival()
                trip.may_have_run = outcome
        if self._quarantine.held_s(clock.now(), trip.request.fingerprint) > 0.0:
            return False
        return _may_retry(outcome, trip.route) and trip.may_arrive and budget.take()

    def _has_repeat(self, trip: Trip) -> bool:
        """Tell whether another attempt may follow; a node that leaves sees each to its end."""
        if self._view.leaving or self._budget(trip.service).tokens < 1.0:
            return False
        return not self._spent_lately(trip.service)

    def _finds_spent(self, trip: Trip, *, all_asked: bool = False) -> bool:
        """Tell whether enough targets had no repeat left for a request, and remember that."""
        words = sum(reason is Reason.REPEATS_SPENT for reason in trip.refused.values())
        if words < (1 if all_asked or self._spent_lately(trip.service) else SPENT_ASKS):
            return False
        self._spent_until[trip.service.name] = clock.now() + SPENT_S
        return True

    def _spent_lately(self, service: Service) -> bool:
        """Tell whether the targets of a service have just said that their repeats are spent."""
        return clock.now() < self._spent_until.get(service.name, -math.inf)

    def _attempt(self, trip: Trip, target: Target) -> Outcome:
        attempt_id = f"{self._prefix}{next(self._numbers)}"
        if trip.key and trip.request.repeat:
            refusal = self._fence_key(trip, attempt_id)
            if refusal is not None:
                return refusal
        started = clock.now()
        attempt = self._next_attempt(trip, attempt_id, target, started)
        pending = Pending.of(attempt, trip.service.name, target.vm, started, trip.deadline)
        reply = self._send(trip, target, attempt, pending)
        last = trip.is_last(self._has_repeat(trip))
        self._learning.note(clock.now(), trip, target, reply, pending, started, last=last)
        used = self._loads.load(target.name, started).utilization
        log_attempt(trip, target, attempt, reply, started, used)
        return reply.outcome

    def _next_attempt(self, trip: Trip, attempt_id: str, target: Target, now: float) -> Attempt:
        slow_ms = self._view.service(trip.service.name).slow_ms.get(target.name, 0.0)
        if slow_ms > 0.0:  # what the others' mix of requests makes slow may be usual for its kind
            slow_ms = max(slow_ms, trip.slow_ms)
        return trip.attempt(
            attempt_id,
            target,
            now,
            revision=self._view.fleet.revision,
            slow_ms=slow_ms,
            has_repeat=self._has_repeat(trip),
        )

    def _send(self, trip: Trip, target: Target, attempt: Attempt, pending: Pending) -> Reply:
        """Send an attempt, and count it as under way until its end."""
        self.pending[attempt.id] = pending
        trip.attempt_id = attempt.id
        self._loads.begin(target.name)
        latency_ms: float | None = None
        try:
            reply = self._transport.send(target, attempt, trip.request.watch)
            match reply.outcome:
                case Answered(service_ms=service_ms):
                    latency_ms = service_ms
                case _:
                    pass
            return reply
        finally:
            del self.pending[attempt.id]
            self._loads.end(target.name, latency_ms, overdue=pending.looks > 0)

    def _fence_key(self, trip: Trip, attempt_id: str) -> Outcome | None:
        """Have every sidecar of the service vouch that a declared repeat's key never started."""
        vms = {target.vm for target in self._view.fleet.targets_of(trip.service.name)}
        for vm in sorted(vms):
            left = min(trip.deadline, self._view.ending.asks_until) - clock.now()
            if left < MIN_ATTEMPT_S:
                return Unknown(Reason.KEY_USED)
            verdict = self._transport.fence_key(
                vm, trip.key, attempt_id, min(left, CONNECT_TIMEOUT_S)
            )
            if verdict is not Verdict.NEVER_STARTS:
                return Unknown(Reason.KEY_USED)
        return None

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


def _given_up(outcome: Outcome) -> Outcome:
    """Return the word on a request that was given up: what a target said of its wait was wrong."""
    match outcome:
        case NotRun(reason=reason, retry_after_ms=wait_ms):
            return NotRun(reason, max(wait_ms, RETRY_SOON_MS))
        case _:
            return outcome


def _crowded(trip: Trip) -> NotRun:
    """Return the word on a request that every target would be late for."""
    return NotRun(Reason.BUSY, max(int(trip.least_wait_ms()), RETRY_SOON_MS))


def _may_retry(outcome: Outcome, route: Route) -> bool:
    match outcome:
        case Answered(status=status):
            return status >= SERVER_ERROR and route.repeatable
        case NotRun():
            return True
        case Unknown(reason=Reason.CANCELLED):
            return False
        case Unknown():
            return route.repeatable

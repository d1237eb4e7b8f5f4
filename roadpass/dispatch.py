"""Request processing at the ingress: routing, choice of targets, attempts, retries, outcome."""

import itertools
import math
import random
import threading
from collections.abc import Callable
from functools import partial

from roadpass import clock
from roadpass.attempt_feedback import AttemptFeedback
from roadpass.body_source import streamed
from roadpass.call_class import class_of_request
from roadpass.fence import Verdict
from roadpass.fleet import Service, Target
from roadpass.fleet_repeats import FleetRepeats
from roadpass.load_table import LoadTable
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
from roadpass.peer_pool import PeerPool
from roadpass.quota_coordinator import Quotas
from roadpass.repeat_guide import RepeatGuide
from roadpass.request import Pending, Request, RequestProgress, Served
from roadpass.request_log import log_attempt, log_end, log_refused
from roadpass.request_order import RequestOrder
from roadpass.request_state import MIN_ATTEMPT_S, RequestState
from roadpass.retry import RetryBudget
from roadpass.return_schedule import ReturnSchedule
from roadpass.route import Route
from roadpass.route_stats import RouteStatsTable
from roadpass.sidecar import Sidecar
from roadpass.slot_wait import SlotWait
from roadpass.start_limit import MIN_RATE_PER_S
from roadpass.stop_notices import StopNotices
from roadpass.target_chooser import TargetChooser
from roadpass.transport import CONNECT_TIMEOUT_S, Transport
from roadpass.view import View
from roadpass.waiting_requests import WaitingRequests

MAX_REDIRECTS = 40
"""Refusals before a target received the first byte after which a request is given up."""
HELD_BACK_REPLIES = 4
"""Targets that may reply that they hold a request's route back before it is given up. They learn
from the same shortage, so the others would probably reply the same."""
SPENT_REPLIES = 4
"""Targets that may reply that their repeats are spent before a request is given up. Most requests
find a repeat left at one target in three, and not every target of a service that sheds load is
tried."""
SPENT_TTL_S = 0.3
"""Seconds for which the repeats of a service are assumed to be spent after that. A request sent in
this time counts as lost if it fails, so it goes to targets of lower risk, and one that needs a
repeat tries only one target. In this time the allowances of a service with about a dozen targets
grow by a few repeats."""
_FINAL_REASONS = frozenset((Reason.EXPIRED, Reason.CANCELLED, Reason.QUARANTINED))
"""Refusals that every other target would repeat."""


class Dispatcher:
    """Routes requests, sends their attempts, and returns the outcomes; shared by all threads.

    Args:
        view: Configuration and health state to route by.
        incarnation: Incarnation of this process, part of attempt ids.
        sidecar: The one of this VM.
        peers: Streams to the other sidecars.
        pause: Detects pauses of this process.
        behind: Called with a VM and its revision when that is newer than the local one.
        metrics: Counts bytes sent to other data halls, `None` to count none.
        quotas: Limits of customers at this node, `None` for new ones.
        seed: Seed of the random choice among targets, `None` for a random seed.
        repeats: What this node knows of the accounts of repeats, `None` for nothing.
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
        repeats: FleetRepeats | None = None,
    ) -> None:
        self._view = view
        self._prefix = f"{view.vm}/{incarnation}/"
        self._transport = Transport(view, sidecar, peers, metrics=metrics)
        self._quarantine = sidecar.quarantine
        self._calls = sidecar.calls
        self._quotas = quotas or Quotas()
        self._order = RequestOrder(sidecar.parents, self._quotas.shares, metrics or Metrics())
        self._loads = LoadTable()
        self._chooser = TargetChooser(view, self._loads, random.Random(seed))
        self._attempt_numbers = itertools.count(1)
        self._budgets: dict[str, RetryBudget] = {}
        self._spent_until: dict[str, float] = {}
        self._returns = ReturnSchedule()
        self.waits = WaitingRequests(view, self._returns)
        slot_wait = SlotWait(view, self._loads, self._chooser, self.waits)
        repeats = repeats or FleetRepeats(view.vm, incarnation, random.Random(seed))
        self._guide = RepeatGuide(view, self._chooser, slot_wait, repeats)
        self._route_stats = RouteStatsTable()
        self._learning = AttemptFeedback(
            view,
            self._chooser,
            self._loads,
            self._route_stats,
            self._quarantine,
            pause,
            behind=behind,
        )
        self._waiting: dict[tuple[str, str], int] = {}
        self._lock = threading.Lock()
        self.observations = self._learning.observations
        self.pending: dict[str, Pending] = {}
        self.notices = StopNotices(view, self.pending, self._transport)
        self._active: dict[int, RequestState] = {}

    @property
    def loads(self) -> LoadTable:
        """Estimated load of the targets."""
        return self._loads

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return sum(self._waiting.values())

    def in_progress(self) -> list[RequestProgress]:
        """Return the progress of all current requests, the oldest first."""
        return [self._progress(state) for state in list(self._active.values())]

    def _progress(self, state: RequestState) -> RequestProgress:
        pending = self.pending.get(state.attempt_id)
        if pending is None:
            return RequestProgress(state.request.id, state.started, state.arrivals)
        sent = (state.attempt_id, pending.since, pending.target, pending.vm)
        return RequestProgress(state.request.id, state.started, state.arrivals, *sent)

    def dispatch(self, request: Request) -> Served:
        """Process one request and return its outcome."""
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
        if fleet.customers and not _is_admitted(request, route):  # by an earlier version it was
            return self._refused(request, NotRun(Reason.NOT_READY, RETRY_SOON_MS))
        quarantined_s = self._quarantine.quarantined_s(started, request.fingerprint)
        if quarantined_s > 0.0:
            return self._refused(request, NotRun(Reason.QUARANTINED, int(quarantined_s * 1000.0)))
        service = fleet.services.get(self._chooser.choose_service(route))
        if service is None:
            return self._refused(request, NotRun(Reason.NO_CAPACITY, RETRY_LATER_MS))
        request = self._order.with_parent(started, request)
        class_key = (service.name, class_of_request(service, route, request))
        excess_s = self._quotas.quota_wait_s(started, request.charged, fleet.size)
        if excess_s > 0.0:
            return self._refused(
                request, NotRun(Reason.OVER_QUOTA, int(excess_s * 1000.0)), *class_key
            )
        if not self._enter(class_key, service.waiting_limit):
            self._quotas.refund(request.charged)
            return self._refused(request, NotRun(Reason.WAITING_LIMIT, RETRY_SOON_MS), *class_key)
        stats = self._route_stats.of(route.name)
        state = RequestState.begin(
            request, route, service, started, stats, self._route_stats.objective_factor(stats)
        )
        self._order.begin(state, fair_shares=fleet.sharing.fair_shares)
        outcome: Outcome = Unknown(Reason.TARGET_LOST)
        state.queues = fleet.sharing.queue
        self._active[id(state)] = state
        try:
            outcome = self._run_attempts(state)
            return Served(outcome, *class_key)
        finally:
            del self._active[id(state)]
            self._leave(class_key)
            if isinstance(outcome, NotRun):
                self._quotas.refund(request.charged)
            self._order.end(state, outcome)
            self._calls.record(started, clock.now(), request.deadline or math.inf, outcome)
            log_end(state, outcome, started, has_repeat=self._has_repeat(state))

    def _refused(self, request: Request, outcome: NotRun, *class_key: str) -> Served:
        """Log and return the refusal of a request that was sent to no target."""
        log_refused(request, outcome, self._view.fleet.revision)
        return Served(outcome, *class_key)

    def _run_attempts(self, state: RequestState) -> Outcome:
        budget = self._budget(state.service)
        budget.on_first_attempt()
        outcome: Outcome = NotRun(Reason.NO_CAPACITY, RETRY_LATER_MS)
        while True:
            if state.expired:
                return state.final_outcome(NotRun(Reason.EXPIRED, RETRY_SOON_MS))
            if clock.now() >= self._view.shutdown.last_start(state.typical_or_assumed_ms):
                return state.final_outcome(NotRun(Reason.LEAVING, RETRY_SOON_MS))
            quarantined_s = self._quarantine.quarantined_s(clock.now(), state.request.fingerprint)
            if quarantined_s > 0.0:  # crashes learnt of during the wait; the sidecar may not know
                return state.final_outcome(NotRun(Reason.QUARANTINED, int(quarantined_s * 1000.0)))
            target = self._guide.pick(state, has_repeat=self._has_repeat(state))
            if isinstance(target, NotRun):
                return state.final_outcome(target)
            if target is None and not state.offers and state.start_last_resort():
                continue
            if target is None:
                self._repeats_spent(state, all_probed=not state.offers)
                return state.final_outcome(
                    self._late_everywhere(state) if state.offers else outcome
                )
            outcome = self._attempt(state, target)
            if state.should_give_up:
                outcome = _given_up(outcome)
            if (
                not self._should_continue(state, target, outcome, budget)
                or state.request.body_is_spent
            ):
                return state.final_outcome(outcome)

    def _should_continue(
        self, state: RequestState, target: Target, outcome: Outcome, budget: RetryBudget
    ) -> bool:
        """Record how an attempt ended; return whether another one may be made."""
        match outcome:
            case NotRun(reason=Reason.BUSY | Reason.DOUBTFUL | Reason.LIMITED):
                return not state.should_give_up
            case _:
                state.tried.add(target.name)
        match outcome:
            case NotRun(reason=reason) if reason is not Reason.SHED:
                state.redirects += 1
                state.refused[target.name] = reason
                self._guide.learn(state, target, reason)
                if (
                    state.should_give_up
                    or state.redirects >= MAX_REDIRECTS
                    or state.times_refused(Reason.HELD_BACK) >= HELD_BACK_REPLIES
                    or self._repeats_spent(state)
                ):
                    return False
                return reason not in _FINAL_REASONS
            case NotRun():
                state.record_arrival()
            case _:
                state.record_arrival()
                state.may_have_run = outcome
        if self._quarantine.quarantined_s(clock.now(), state.request.fingerprint) > 0.0:
            return False
        return _may_retry(outcome, state.route) and state.below_attempt_limit and budget.take()

    def _has_repeat(self, state: RequestState) -> bool:
        """Return whether to plan for another attempt.

        While the node leaves, no time is kept back for one: each attempt may run to its end.
        """
        if self._view.leaving or self._budget(state.service).tokens < 1.0:
            return False
        if self._guide.on:
            return self._guide.has_repeat(state.service)
        return not self._spent_recently(state.service)

    def _repeats_spent(self, state: RequestState, *, all_probed: bool = False) -> bool:
        """Return whether enough targets had no repeat left for a request; if so, remember it."""
        if self._guide.on:
            return self._guide.should_give_up(state)
        replies = state.times_refused(Reason.REPEATS_SPENT)
        if replies < (1 if all_probed or self._spent_recently(state.service) else SPENT_REPLIES):
            return False
        self._spent_until[state.service.name] = clock.now() + SPENT_TTL_S
        return True

    def _spent_recently(self, service: Service) -> bool:
        """Return whether targets of a service replied a moment ago that their repeats are spent."""
        return clock.now() < self._spent_until.get(service.name, -math.inf)

    def _attempt(self, state: RequestState, target: Target) -> Outcome:
        attempt_id = f"{self._prefix}{next(self._attempt_numbers)}"
        if state.key and state.request.repeat:
            refusal = self._fence_key(state, attempt_id)
            if refusal is not None:
                return refusal
        started = clock.now()
        attempt = self._next_attempt(state, attempt_id, target, started)
        pending = Pending.of(attempt, state.service.name, target.vm, started, state.deadline)
        used = self._loads.load(target.name, started).utilization
        state.slot = None
        reply = self._send(state, target, attempt, pending)
        last = state.is_last_attempt(self._has_repeat(state))
        self._learning.record(clock.now(), state, target, reply, pending, started, last=last)
        log_attempt(state, target, attempt, reply, started, used)
        return reply.outcome

    def _next_attempt(
        self, state: RequestState, attempt_id: str, target: Target, now: float
    ) -> Attempt:
        slow_ms = self._view.service(state.service.name).slow_ms.get(target.name, 0.0)
        if slow_ms > 0.0:  # the other targets may get shorter requests than this one
            slow_ms = max(slow_ms, state.slow_ms)
        return state.attempt(
            attempt_id,
            target,
            now,
            revision=self._view.fleet.revision,
            slow_ms=slow_ms,
            has_repeat=self._has_repeat(state),
            notice=self._view.notices.row(now, target.name),
        )

    def _send(
        self, state: RequestState, target: Target, attempt: Attempt, pending: Pending
    ) -> Reply:
        """Send an attempt, and count it as in flight until its end."""
        self.pending[attempt.id] = pending
        state.attempt_id = attempt.id
        began = clock.now()
        self._loads.begin(target.name)
        self._view.room.begin(began, target.name)
        if (source := streamed(state.request.watch)) is not None:
            source.add_listener(partial(setattr, pending, "since"))
        latency_ms: float | None = None
        try:
            with self._order.attempting(state, attempt):
                reply = self._transport.send(target, attempt, state.request.watch)
            match reply.outcome:
                case Answered(service_ms=service_ms):
                    latency_ms = service_ms
                case _:
                    pass
            return reply
        finally:
            del self.pending[attempt.id]
            self._view.room.end(target.name, began)
            self._loads.end(target.name, latency_ms, overdue=pending.times_overdue > 0)

    def _late_everywhere(self, state: RequestState) -> NotRun:
        """Return the refusal of a request that every target would answer late."""
        wait_ms = max(int(state.shortest_wait_ms()), RETRY_SOON_MS)
        if not all(offer.limited for offer in state.offers.values()):
            return NotRun(Reason.BUSY, wait_ms)
        rates = [self._view.notices.rate_per_s(name) or 0.0 for name in state.offers]
        own_rate = max(MIN_RATE_PER_S, sum(rates)) / max(1, self._view.fleet.size)
        wait_s = self._returns.wait_s(
            clock.now(), state.service.name, wait_ms / 1000.0, 1.0 / own_rate
        )
        return NotRun(Reason.LIMITED, int(wait_s * 1000.0))

    def _fence_key(self, state: RequestState, attempt_id: str) -> Outcome | None:
        """Have every sidecar of the service confirm that a declared repeat's key never started."""
        vms = {target.vm for target in self._view.fleet.targets_of(state.service.name)}
        for vm in sorted(vms):
            left = min(state.deadline, self._view.shutdown.peer_requests_until) - clock.now()
            if left < MIN_ATTEMPT_S:
                return Unknown(Reason.KEY_USED)
            verdict = self._transport.fence_key(
                vm, state.key, attempt_id, min(left, CONNECT_TIMEOUT_S)
            )
            if verdict is not Verdict.NEVER_STARTS:
                return Unknown(Reason.KEY_USED)
        return None

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None or not budget.has_settings(service.retry_ratio, service.retry_burst):
            budget = RetryBudget(service.retry_ratio, burst=service.retry_burst)
            self._budgets[service.name] = budget
        return budget

    def _enter(self, class_key: tuple[str, str], limit: int) -> bool:
        with self._lock:
            waiting = self._waiting.get(class_key, 0)
            if waiting >= limit:
                return False
            self._waiting[class_key] = waiting + 1
            return True

    def _leave(self, class_key: tuple[str, str]) -> None:
        with self._lock:
            self._waiting[class_key] -= 1


def _is_admitted(request: Request, route: Route) -> bool:
    """Return whether a request showed a key, or its route needs none."""
    access = request.access
    return access is not None and (access.customer is not None or route.public)


def _given_up(outcome: Outcome) -> Outcome:
    """Return the outcome of a request that was given up.

    The wait that the target announced proved wrong, so the caller is told to wait longer.
    """
    match outcome:
        case NotRun(reason=reason, retry_after_ms=wait_ms):
            return NotRun(reason, max(wait_ms, RETRY_SOON_MS))
        case _:
            return outcome


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

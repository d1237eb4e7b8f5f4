"""Requests that wait at this ingress until a target has a slot for them."""

import math
import threading
from collections.abc import Callable
from typing import NamedTuple

from roadpass import clock
from roadpass.decision import decided
from roadpass.fleet import Target
from roadpass.offer import LATE_LOSS
from roadpass.outcome import RETRY_SOON_MS, NotRun, Reason
from roadpass.request_state import RequestState
from roadpass.return_schedule import ReturnSchedule
from roadpass.room import TRIPPED_RISK
from roadpass.standing import CALL
from roadpass.start_limit import MIN_RATE_PER_S
from roadpass.view import View
from roadpass.wait_order import MIN_WAIT_S, WaitOrder, latest_start
from roadpass.wait_queue import Grant, Waiter, WaitQueue
from roadpass.wake_signal import WakeSignal

DOOR_FACTOR = 1.25
"""Factor of the expected wait by which a request is refused at once. What other ingresses announced
is up to 0.2 s old, so without a margin more requests would be refused only after their wait."""
MIN_STEP_S = 0.001
"""Shortest time in seconds between two looks of a waiting request."""


class Shortage(NamedTuple):
    """What is known of a service whose slots are all in use.

    Args:
        slots: Slots of the targets that serve the waiting requests.
        per_s: Requests a second that these targets take, infinite if unknown.
        waiting: Requests that wait at all ingresses, as far as known.
        limited: Whether all these targets name limits of their starts.
    """

    slots: int
    per_s: float
    waiting: int
    limited: bool

    def wait_s(self, ahead: float) -> float:
        """Return the expected wait in seconds of a request with others ahead of it."""
        return (ahead + 1.0) / max(MIN_RATE_PER_S, self.per_s)


class WaitingRequests:
    """The wait queues of one ingress; thread-safe. A waiter blocks its caller's thread.

    Args:
        view: Has the targets, the reports of their free capacity, and the node's shutdown.
        returns: Spreads the return times of refused callers.

    Attributes:
        on_change: Called with a service whose first waiter changed.
        on_unused: Called with a slot that nobody needs.
    """

    def __init__(self, view: View, returns: ReturnSchedule) -> None:
        self._view = view
        self._returns = returns
        self._queues: dict[str, WaitQueue] = {}
        self._typical_s: dict[str, float] = {}
        self._lock = threading.RLock()  # `Waiter.accepts` asks for the expected wait
        self.on_change: Callable[[str], None] = lambda service: None
        self.on_unused: Callable[[Grant], None] = lambda grant: None

    def counts(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        with self._lock:
            return {name: len(queue) for name, queue in self._queues.items()}

    def all(self, service: str) -> list[Waiter]:
        """Return the waiters of a service, the first one first."""
        with self._lock:
            queue = self._queues.get(service)
            return queue.all() if queue is not None else []

    def order_of(self, state: RequestState) -> WaitOrder:
        """Return the place of a request in the order."""
        names = [one.name for one in state.service.classes]
        name = state.traffic_class
        rank = names.index(name) if name in names else len(names) - 1
        objective_ms = state.route.target_latency_ms if state.arrivals == 0 else None
        if state.standing == CALL:  # without it the running request is lost, however late it is
            objective_ms = None
        until = latest_start(
            clock.now(),
            started=state.started,
            deadline=state.deadline,
            objective_ms=objective_ms and objective_ms * state.objective_factor,
            typical_ms=state.long_ms or state.typical_or_assumed_ms,
        )
        return WaitOrder(rank, state.standing, until)

    def is_behind(self, service: str, order: WaitOrder) -> bool:
        """Return whether a request has to wait because others of its service wait before it."""
        with self._lock:
            queue = self._queues.get(service)
            return queue is not None and queue.ahead_of(order) > 0

    def wait_cost(self, service: str, order: WaitOrder) -> float:
        """Return the expected cost of waiting for a near slot, as a share of a lost request."""
        now = clock.now()
        wait_s = self._expected_wait_s(now, service, order)
        return LATE_LOSS * min(1.0, wait_s / max(MIN_WAIT_S, order.latest_start - now))

    def near(self, service: str) -> list[Waiter]:
        """Return the waiters that may take slots of the own data hall, the first one first."""
        with self._lock:
            queue = self._queues.get(service)
            return queue.near() if queue is not None else []

    def wait(
        self, state: RequestState, accepts: Callable[[float, str], bool], *, near: bool = True
    ) -> Grant | NotRun:
        """Block a request until it has a slot.

        Args:
            state: State of the request.
            accepts: Returns whether it takes a slot of a target at a time in clock seconds.
            near: Whether it may take slots of the own data hall.

        Returns:
            A slot that it has to use or give back, or why it was refused.
        """
        now, service = clock.now(), state.service.name
        self._typical_s[service] = state.typical_ms / 1000.0
        waiter = Waiter(self.order_of(state), len(state.request.body), accepts, near=near)
        expected_s = self._expected_wait_s(now, service, waiter.order)
        if state.far_cost < LATE_LOSS:  # far slots are worth the path to it before it would be late
            expected_s = min(
                expected_s, self._expected_wait_s(now, service, waiter.order, far=True)
            )
        if now + DOOR_FACTOR * expected_s > waiter.order.latest_start:
            return self._refuse(state, "too-late", expected_s)
        waiter.signal = WakeSignal()
        try:
            if not self._add(service, waiter):
                return self._refuse(state, "queue-full", expected_s)
            decided(
                "queue",
                "waits",
                request=state.request.id,
                service=service,
                expected_ms=round(expected_s * 1000.0),
                left_ms=round((waiter.order.latest_start - now) * 1000.0),
            )
            refusal = self._block(state, waiter)
        finally:
            grant = self._remove(service, waiter)
            waiter.signal.close()
        if grant is not None and refusal is None:
            return grant
        if grant is not None:
            self.give_back(service, grant)
        return refusal or self._refuse(state, "displaced", expected_s)

    def hand(self, service: str, grant: Grant) -> bool:
        """Hand a slot to the first waiter that takes it; return whether one does."""
        now = clock.now()
        with self._lock:
            queue = self._queues.get(service)
            waiter = queue.hand(now, grant) if queue is not None else None
            if waiter is not None:
                waiter.signal.set()
        return waiter is not None

    def give_back(self, service: str, grant: Grant) -> None:
        """Hand a slot that its request does not use to the next waiter, or return it."""
        if grant.slot is not None and not self.hand(service, grant):
            self.on_unused(grant)

    def _add(self, service: str, waiter: Waiter) -> bool:
        with self._lock:
            queue = self._queues.setdefault(service, WaitQueue())
            before = queue.first
            displaced = queue.add(waiter)
            is_first = queue.first is waiter
            for other in displaced or ():
                other.signal.set()
        changed = before is None or before.order[:2] != waiter.order[:2]
        if displaced is not None and is_first and changed:
            self.on_change(service)
        return displaced is not None

    def _remove(self, service: str, waiter: Waiter) -> Grant | None:
        """Remove a waiter, and return the slot that it has."""
        with self._lock:
            queue = self._queues[service]
            queue.remove(waiter)
            is_empty = len(queue) == 0
            grant = waiter.grant
        if is_empty:
            self.on_change(service)
        return grant

    def _block(self, state: RequestState, waiter: Waiter) -> NotRun | None:
        """Wait for a slot; return why to stop, `None` if there is one or it is displaced."""
        watch = state.request.watch
        usual_ms = state.typical_or_assumed_ms
        while waiter.grant is None and not waiter.displaced:
            now = clock.now()
            last_start = self._view.shutdown.last_start(usual_ms)
            if now >= last_start:
                return NotRun(Reason.LEAVING, RETRY_SOON_MS)
            if now >= waiter.order.latest_start:
                wait_s = self._expected_wait_s(now, state.service.name, waiter.order)
                return self._refuse(state, "latest-start", wait_s)
            until = min(waiter.order.latest_start, last_start)
            waiter.signal.wait(max(MIN_STEP_S, min(clock.STEP_S, until - now)), watch)
            if watch is not None and watch.watchable and watch.gone():
                return NotRun(Reason.CANCELLED, RETRY_SOON_MS)
        return None

    def _refuse(self, state: RequestState, why: str, expected_s: float) -> NotRun:
        """Return the refusal of a request, with the expected end of the shortage."""
        now, service = clock.now(), state.service.name
        shortage = self._shortage(now, service)
        interval_s = shortage.wait_s(0) * max(1, len(self._view.nodes))
        earliest_s = max(RETRY_SOON_MS / 1000.0, shortage.wait_s(shortage.waiting))
        retry_s = self._returns.wait_s(now, service, earliest_s, interval_s)
        decided(
            "queue",
            "refused",
            request=state.request.id,
            service=service,
            why=why,
            expected_ms=round(expected_s * 1000.0),
            waiting=shortage.waiting,
            slots=shortage.slots,
            per_s=round(shortage.per_s, 2) if math.isfinite(shortage.per_s) else None,
            retry_ms=round(retry_s * 1000.0),
        )
        reason = Reason.LIMITED if shortage.limited else Reason.BUSY
        return NotRun(reason, int(retry_s * 1000.0))

    def _expected_wait_s(
        self, now: float, service: str, order: WaitOrder, *, far: bool = False
    ) -> float:
        """Return the expected wait of a request: those ahead of it, here and elsewhere.

        With `far`, the slots of all data halls count, and all that wait for them.

        Waiters of other ingresses are known by number only. Of them the same share is assumed to be
        ahead as of the own ones.
        """
        shortage = self._shortage(now, service, far=far)
        with self._lock:
            queue = self._queues.get(service)
            own = len(queue) if queue is not None else 0
            ahead = queue.ahead_of(order) if queue is not None else 0
        others = max(0, shortage.waiting - own)
        return shortage.wait_s(ahead + others * (ahead + 1.0) / (own + 1.0))

    def _shortage(self, now: float, service: str, *, far: bool = False) -> Shortage:
        """Return what is known of the near targets of a service, or with `far` of all.

        All sidecars of a data hall hear of the same waiters, so the most of them counts once. Slots
        of other data halls count only with a valid report, as others may wait for them.
        """
        targets = self._view.fleet.targets_of(service)
        near = [target for target in targets if self._view.tier(target) == 0]
        targets = targets if far or not near else near
        reports = {one.target: one for one in self._view.room.known(now, [t.name for t in targets])}
        times = [one.service_ms / 1000.0 for one in reports.values() if one.service_ms > 0.0]
        service_s = sum(times) / len(times) if times else self._typical_s.get(service, 0.0)
        serving: list[Target] = []
        waiting = {self._view.hall: self.counts().get(service, 0)}
        for target in targets:
            is_near = self._view.tier(target) == 0
            report = reports.get(target.name)
            if report is None and (is_near or not near):
                serving.append(target)
            if report is None:
                continue
            if report.risk < TRIPPED_RISK:
                serving.append(target)
            hall = self._view.hall if is_near else target.hall or ""
            waiting[hall] = max(waiting.get(hall, 0), report.queued)
        limits = [self._view.notices.rate_per_s(target.name) for target in serving]
        per_s = sum(
            min(target.slots / service_s if service_s > 0.0 else math.inf, limit or math.inf)
            for target, limit in zip(serving, limits, strict=True)
        )
        slots = sum(target.slots for target in serving)
        return Shortage(slots, per_s, sum(waiting.values()), limited=None not in limits)

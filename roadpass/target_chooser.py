"""Chooses the target that a request probes next, and learns from the reply for later choices."""

import math
import random
import time

from roadpass import clock, room_choice
from roadpass.balance import Load, LoadOf, Picker
from roadpass.decision import decided
from roadpass.fleet import Target
from roadpass.load_table import LoadTable
from roadpass.message import Reply
from roadpass.offer import Offer
from roadpass.outcome import NotRun, Outcome, Reason
from roadpass.request_state import RequestState
from roadpass.room import RoomReport
from roadpass.room_choice import RoomCosts, RoomOption
from roadpass.route import Route
from roadpass.view import View

REFUSED_AVOID_S = 1.0
"""Seconds for which a target that refuses the connection of its sidecar is avoided."""


class TargetChooser:
    """Chooses targets for the requests of one ingress; thread-safe, shared by all callers' threads.

    Args:
        view: Configuration and health state to route by.
        loads: Estimated load of the targets.
        rng: Source of randomness.
    """

    def __init__(self, view: View, loads: LoadTable, rng: random.Random) -> None:
        self._view = view
        self._loads = loads
        self._rng = rng

    def choose_service(self, route: Route) -> str:
        """Return the service that a request goes to, drawn by the weights of the route."""
        if not route.split:
            return route.service
        weights = [part.weight for part in route.split]
        return self._rng.choices([part.service for part in route.split], weights)[0]

    def pick(
        self, state: RequestState, *, has_repeat: bool, wait_cost: float = math.inf
    ) -> Target | None:
        """Pick the target that a request probes next, `None` if there is none left.

        Args:
            state: State of the request.
            has_repeat: Whether the retry budget allows another attempt after it.
            wait_cost: Cost of waiting for a slot of the own data hall, infinite if it may not wait.
        """
        view = self._view
        service_view = view.service(state.service.name)
        picker = service_view.picker(
            view.fleet.groups(state.route, time.time(), state.service.name)
        )
        now = clock.now()

        def load_of(name: str) -> Load:
            return self._loads.load(name, now)

        while True:
            name = self._pick_name(now, state, picker, load_of, has_repeat, wait_cost)
            if name is None:
                return None
            target = view.fleet.targets.get(name)
            if target is not None:
                return target
            state.tried.add(name)

    def learn(
        self, now: float, state: RequestState, target: Target, reply: Reply, *, last: bool
    ) -> None:
        """Learn from a target's reply for the next choice, of this request and of others.

        Args:
            now: Clock seconds.
            state: State of the request.
            target: The target that replied.
            reply: Reply of the target.
            last: Whether a failure of the attempt would have lost the request.
        """
        match reply.outcome:
            case NotRun(
                reason=Reason.BUSY | Reason.DOUBTFUL | Reason.LIMITED as reason,
                retry_after_ms=wait_ms,
            ):
                far = self._view.tier(target) > 0
                risk = reply.load.bad if reply.load is not None else 0.0
                offer = Offer(risk, float(wait_ms), far, limited=reason is Reason.LIMITED)
                state.add_offer(target.name, offer)
                self._loads.cache_offer(now, target.name, offer, last=last)
            case _:
                self._loads.discard_offer(target.name)
        self._avoid(now, target.name, reply.outcome)
        if self._view.fleet.sharing.room:
            self._learn_room(now, target, reply)

    def _pick_name(
        self,
        now: float,
        state: RequestState,
        picker: Picker,
        load_of: LoadOf,
        has_repeat: bool,
        wait_cost: float,
    ) -> str | None:
        """Pick a near target, a far one that may be worth the transfer, or the best offer."""
        if not picker.near:  # all targets are far, so the transfer cannot be saved
            state.far_cost = 0.0
        self._apply_cached_offers(state, picker, now)
        state.room = None
        if self._view.fleet.sharing.room:
            name = self._pick_by_room(now, state, picker, has_repeat, wait_cost)
            if name is not None:
                return name
        unreachable = set() if state.last_resort else self._loads.unreachable(now)
        known = state.tried | state.offers.keys() | unreachable
        if self._view.fleet.sharing.room and not state.last_resort:
            reports = self._view.room.known(now, picker.names)
            known |= {report.target for report in reports if not self._is_limited(report.target)}
        repeatable = state.route.repeatable
        if state.may_probe_near:
            excluded = known | picker.far
            name = picker.pick(load_of, self._rng, repeatable=repeatable, excluded=excluded)
            if name is not None:
                return name
        if state.may_probe_far(has_repeat):
            excluded = known | picker.near
            if not state.last_resort:
                excluded |= self._loads.avoided(now)
            name = picker.pick_best(load_of, self._rng, repeatable=repeatable, excluded=excluded)
            if name is not None:
                return name
        return state.accept_best(has_repeat)

    def _pick_by_room(
        self,
        now: float,
        state: RequestState,
        picker: Picker,
        has_repeat: bool,
        wait_cost: float,
    ) -> str | None:
        """Pick a target that is known to have a free slot; those known to be full are offers."""
        if state.last_resort or state.accepts_best:
            return None
        excluded = state.tried | state.offers.keys() | self._loads.avoided(now)
        candidates = self._view.service(state.service.name).candidates
        options = [
            RoomOption(report, candidates[report.target].tier, candidates[report.target].weight)
            for report in self._view.room.known(now, picker.names)
            if report.target not in excluded
            and (state.route.repeatable or not candidates[report.target].trial)
        ]
        costs = room_costs(state, has_repeat)
        chosen = room_choice.choose(options, costs, self._rng)
        least = room_choice.least_cost(options, costs)
        if chosen is not None and not room_choice.is_worth_waiting(
            costs.of(chosen), least, wait_cost
        ):
            state.room = chosen.report
            return chosen.report.target
        for option in options:
            target = self._view.fleet.targets.get(option.report.target)
            if target is None or self._is_limited(target.name):
                continue  # how long it is full depends on its limit, which its sidecar tells
            if option.report.free == 0 or chosen is not None:
                far = target.name in picker.far
                offer = room_choice.full_offer(option.report, target.slots, far=far)
                state.offers.setdefault(target.name, offer)
        return None

    def _is_limited(self, target: str) -> bool:
        """Return whether a target names a limit of its starts."""
        return self._view.notices.rate_per_s(target) is not None

    def _learn_room(self, now: float, target: Target, reply: Reply) -> None:
        """Learn the free capacity of a target from its reply, which is newer than any report."""
        room = self._view.room
        match reply.outcome:
            case NotRun(reason=Reason.UNREACHABLE):
                self._record_unreachable(now, target)
                return
            case _:
                pass
        if reply.load is None:
            if isinstance(reply.outcome, NotRun):
                room.take_free(now, target.name)
            return
        load, known = reply.load, room.get(now, target.name)
        free = load.limit - load.in_flight if not load.queued and load.wait_ms <= 0.0 else 0
        match reply.outcome:
            case NotRun(reason=Reason.BUSY):  # its free slots are for requests that wait elsewhere
                free = 0
            case _:
                pass
        queued, service_ms = (known.queued, known.service_ms) if known else (load.queued, 0.0)
        report = RoomReport(target.name, max(0, free), queued, service_ms, load.bad)
        room.receive(now, report, idle=free >= target.slots)

    def _record_unreachable(self, now: float, target: Target) -> None:
        """Record an unreachable target; the second one of a data hall cuts the data hall off."""
        hall = target.hall or ""
        targets = self._view.fleet.targets.values()
        names = [one.name for one in targets if hall and one.hall == hall]
        if self._view.room.record_unreachable(now, target.name, hall, names):
            decided("room", "hall-cut-off", hall=hall, target=target.name)

    def _apply_cached_offers(self, state: RequestState, picker: Picker, now: float) -> None:
        """Add as offers what targets without a free slot or likely to fail replied to others."""
        if state.accepts_best:
            return
        for name, offer in self._loads.cached_offers(now):
            if name in picker.far or name in picker.near:
                state.offers.setdefault(name, offer._replace(far=name in picker.far))

    def _avoid(self, now: float, name: str, outcome: Outcome) -> None:
        """Avoid a target that refused, for as long as the cause is likely to last."""
        match outcome:
            case NotRun(reason=Reason.LEAVING | Reason.STALE_ROUTE):
                self._loads.avoid(now, name)
            case NotRun(reason=Reason.FAILING, retry_after_ms=wait_ms):
                self._loads.avoid(now, name, for_s=wait_ms / 1000.0)
            case NotRun(reason=Reason.REFUSED | Reason.FENCED):
                self._loads.avoid(now, name, for_s=REFUSED_AVOID_S)
            case NotRun(reason=Reason.UNREACHABLE):
                self._loads.record_unreachable(now, name)
                return
            case _:
                pass
        self._loads.record_reachable(name)


def room_costs(state: RequestState, has_repeat: bool) -> RoomCosts:
    """Return the costs by which a request compares targets with free slots.

    Args:
        state: State of the request.
        has_repeat: Whether the retry budget allows another attempt after the next one.
    """
    return RoomCosts(
        state.failure_cost(has_repeat),
        state.far_cost,
        float(state.route.target_latency_ms or 0),
        may_be_trial=not state.is_last_attempt(has_repeat),
    )

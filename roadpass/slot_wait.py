"""Has a request wait at its ingress until a target that it accepts has a slot."""

import time

from roadpass import clock, room_choice
from roadpass.balance import Candidate
from roadpass.fleet import Target
from roadpass.load_table import LoadTable
from roadpass.offer import REFUSED_LOSS
from roadpass.outcome import NotRun
from roadpass.request_state import LAST_MAX_RISK, RequestState
from roadpass.room import TRIPPED_RISK, RoomReport
from roadpass.room_choice import RoomOption
from roadpass.target_chooser import TargetChooser, room_costs
from roadpass.view import View
from roadpass.wait_order import WaitOrder
from roadpass.waiting_requests import WaitingRequests


class SlotWait:
    """Waits of the requests of one ingress; thread-safe.

    Args:
        view: Configuration and health state to route by.
        loads: Targets that are avoided.
        chooser: Picks targets of requests that need not wait.
        waits: The wait queues.
    """

    def __init__(
        self, view: View, loads: LoadTable, chooser: TargetChooser, waits: WaitingRequests
    ) -> None:
        self._chooser = chooser
        self._view = view
        self._loads = loads
        self._waits = waits

    def pick(self, state: RequestState, *, has_repeat: bool) -> Target | NotRun | None:
        """Pick the target that a request goes to next, after a wait for a slot if needed.

        Args:
            state: State of the request.
            has_repeat: Whether the retry budget allows another attempt after it.

        Returns:
            The target, `None` if there is none left, or why the request was refused.
        """
        if not state.queues:
            return self._chooser.pick(state, has_repeat=has_repeat)
        order = self._waits.order_of(state)
        state.wait = order.to_row(clock.now())
        if state.last_resort or not self._waits.is_behind(state.service.name, order):
            wait_cost = self._waits.wait_cost(state.service.name, order)
            target = self._chooser.pick(state, has_repeat=has_repeat, wait_cost=wait_cost)
            if target is not None or all(offer.limited for offer in state.offers.values()):
                return target  # without any offer, or where starts are limited: slots do not help
        return self._wait(state, order, has_repeat)

    def _wait(
        self, state: RequestState, order: WaitOrder, has_repeat: bool
    ) -> Target | NotRun | None:
        """Block a request until it has a slot.

        Returns:
            The target, `None` if it has tried all, or why the request was refused.
        """
        while True:
            usable = self._usable(state)
            if not usable:
                return None
            near = any(self._may_get_slot(one) for one in usable)

            def accepts(now: float, name: str) -> bool:
                return self._accepts(now, name, state, order, has_repeat)

            given = self._waits.wait(state, accepts, near=near)
            if isinstance(given, NotRun):
                return given
            now = clock.now()
            target = self._view.fleet.targets.get(given.target)
            if target is not None:
                break
            self._waits.give_back(state.service.name, given)
        state.reset_offers()
        state.slot = given.slot
        state.wait = order.to_row(now)
        state.room = self._report(now, given.target)
        return target

    def _usable(self, state: RequestState) -> list[Candidate]:
        """Return the targets that a request may still go to."""
        fleet = self._view.fleet
        candidates = self._view.service(state.service.name).candidates
        groups = fleet.groups(state.route, time.time(), state.service.name)
        return [
            candidates[name]
            for group in groups
            for name in group
            if name in candidates
            and name not in state.tried
            and candidates[name].weight > 0.0
            and (state.route.repeatable or not candidates[name].trial)
        ]

    def _may_get_slot(self, candidate: Candidate) -> bool:
        """Return whether a target of the own data hall takes other requests than trials."""
        now = clock.now()
        if candidate.tier > 0 or candidate.name in self._loads.avoided(now):
            return False
        return self._report(now, candidate.name).risk < TRIPPED_RISK

    def _accepts(
        self,
        now: float,
        name: str,
        state: RequestState,
        order: WaitOrder,
        has_repeat: bool,
    ) -> bool:
        """Return whether a request takes a slot of a target instead of waiting on.

        Args:
            now: Clock seconds.
            name: Name of the target.
            state: State of the request.
            order: Its place in the order.
            has_repeat: Whether the retry budget allows another attempt after the next one.
        """
        tier = next((one.tier for one in self._usable(state) if one.name == name), None)
        if tier is None or name in self._loads.avoided(now):
            return False
        report = self._report(now, name)
        costs = room_costs(state, has_repeat)
        cost = costs.of(RoomOption(report, tier))
        if report.risk >= TRIPPED_RISK or cost >= REFUSED_LOSS:
            return False
        options = [
            RoomOption(known, one.tier)
            for one in self._usable(state)
            if (known := self._view.room.get(now, one.name)) is not None
        ]
        least = room_choice.least_cost(options, costs)
        wait_cost = self._waits.wait_cost(state.service.name, order)
        return not room_choice.is_worth_waiting(cost, least, wait_cost)

    def _report(self, now: float, name: str) -> RoomReport:
        """Return what is known of a target that has a slot; unknown, it counts as healthy."""
        known = self._view.room.get(now, name)
        return known or RoomReport(name, 1, 0, 0.0, LAST_MAX_RISK)

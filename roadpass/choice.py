"""The choice of the target that a request asks next, and what its word means for the next."""

import random
import time

from roadpass import clock
from roadpass.balance import Load, LoadOf, Picker
from roadpass.fleet import Target
from roadpass.load import LoadTable
from roadpass.message import Reply
from roadpass.offer import Offer
from roadpass.outcome import NotRun, Outcome, Reason
from roadpass.route import Route
from roadpass.trip import RequestState
from roadpass.view import View

REFUSED_AVOID_S = 1.0
"""Seconds to keep away from a target that takes no connection of its sidecar."""


class TargetChooser:
    """Chooses targets for the requests of one ingress; used by the threads of all callers at once.

    Args:
        view: What to route by.
        loads: Beliefs of the targets' load.
        rng: Source of randomness.
    """

    def __init__(self, view: View, loads: LoadTable, rng: random.Random) -> None:
        self._view = view
        self._loads = loads
        self._rng = rng

    def part(self, route: Route) -> str:
        """Return the service that a request goes to, by the weights of the route's parts."""
        if not route.split:
            return route.service
        weights = [part.weight for part in route.split]
        return self._rng.choices([part.service for part in route.split], weights)[0]

    def pick(self, state: RequestState, *, has_repeat: bool) -> Target | None:
        """Pick the target that a request asks next, `None` if there is none to ask.

        Args:
            state: Of the request.
            has_repeat: Whether another attempt may follow.
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
            name = self._pick_name(now, state, picker, load_of, has_repeat)
            if name is None:
                return None
            target = view.fleet.targets.get(name)
            if target is not None:
                return target
            state.tried.add(name)

    def learn(
        self, now: float, state: RequestState, target: Target, reply: Reply, *, last: bool
    ) -> None:
        """Note what a target's word means for the next choice, of this request and of others.

        Args:
            now: Clock seconds.
            state: Of the request.
            target: Which was asked.
            reply: Its word.
            last: Whether the request would have been lost with the attempt.
        """
        match reply.outcome:
            case NotRun(reason=Reason.BUSY | Reason.DOUBTFUL, retry_after_ms=wait_ms):
                far = self._view.tier(target) > 0
                bad = reply.load.bad if reply.load is not None else 0.0
                state.note_offer(target.name, Offer(bad, float(wait_ms), far))
                self._loads.note_word(now, target.name, bad, float(wait_ms), far=far, last=last)
            case _:
                self._loads.forget_word(target.name)
        self._avoid(now, target.name, reply.outcome)

    def _pick_name(
        self, now: float, state: RequestState, picker: Picker, load_of: LoadOf, has_repeat: bool
    ) -> str | None:
        """Pick a near target to ask, a far one that may be worth the way, or the best asked."""
        if not picker.near:  # whatever it takes, it carries its bytes there
            state.far_loss = 0.0
        self._recall(state, picker, now)
        cut = set() if state.pressing else self._loads.cut_off(now)
        known = state.tried | state.offers.keys() | cut
        repeatable = state.route.repeatable
        if state.asks_near:
            excluded = known | picker.far
            name = picker.pick(load_of, self._rng, repeatable=repeatable, excluded=excluded)
            if name is not None:
                return name
        if state.asks_far(has_repeat):
            excluded = known | picker.near
            if not state.pressing:
                excluded |= self._loads.avoided(now)
            name = picker.pick_best(load_of, self._rng, repeatable=repeatable, excluded=excluded)
            if name is not None:
                return name
        return state.settle(has_repeat)

    def _recall(self, state: RequestState, picker: Picker, now: float) -> None:
        """Take targets at their word that said a moment ago that they are full or doubtful."""
        if state.settles:
            return
        for name, said in self._loads.words(now):
            if name in picker.far or name in picker.near:
                state.offers.setdefault(name, Offer(said.bad, said.wait_ms, name in picker.far))

    def _avoid(self, now: float, name: str, outcome: Outcome) -> None:
        """Keep away from a target that refused, for as long as that is likely to last."""
        match outcome:
            case NotRun(reason=Reason.LEAVING | Reason.STALE_ROUTE):
                self._loads.avoid(now, name)
            case NotRun(reason=Reason.FAILING, retry_after_ms=wait_ms):
                self._loads.avoid(now, name, for_s=wait_ms / 1000.0)
            case NotRun(reason=Reason.REFUSED | Reason.FENCED):
                self._loads.avoid(now, name, for_s=REFUSED_AVOID_S)
            case NotRun(reason=Reason.UNREACHABLE):
                self._loads.note_cut(now, name)
                return
            case _:
                pass
        self._loads.note_reached(name)

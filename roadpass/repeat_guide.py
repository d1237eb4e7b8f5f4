"""Leads the repeats of one ingress to targets whose sidecars have some left.

Without it an ingress tries up to four targets in turn and then gives up on all repeats of the
service for 0.3 s, while other targets have repeats left.
"""

from roadpass import clock
from roadpass.fleet import Service, Target
from roadpass.fleet_repeats import FleetRepeats
from roadpass.outcome import RETRY_SOON_MS, NotRun, Reason
from roadpass.request_state import RequestState
from roadpass.slot_wait import SlotWait
from roadpass.target_chooser import TargetChooser
from roadpass.view import View

MAX_SPENT_REPLIES = 6
"""Targets that may reply that their repeats are spent before a request is given up. Each reply
spares all other repeats of the ingress the same question, so more of them are rarely needed."""


class RepeatGuide:
    """Chooses targets for repeats; thread-safe.

    Args:
        view: Configuration to route by.
        chooser: Chooses among the targets that are left.
        slot_wait: The same, with a wait for a slot if needed.
        repeats: What this node knows of the accounts.
    """

    def __init__(
        self, view: View, chooser: TargetChooser, slot_wait: SlotWait, repeats: FleetRepeats
    ) -> None:
        self._view = view
        self._chooser = chooser
        self._slot_wait = slot_wait
        self._repeats = repeats

    @property
    def on(self) -> bool:
        """Whether the limit on repeats is that of the fleet."""
        return self._repeats.on

    def pick(self, state: RequestState, *, has_repeat: bool) -> Target | NotRun | None:
        """Pick the target that a request probes next; see `SlotWait.pick`.

        A repeat goes to a target whose account is known to have one, or else to one that is not
        known to have none. If all are known to have none, it is refused instead of waiting.
        """
        if not self.on or not self._is_repeat(state):
            return self._slot_wait.pick(state, has_repeat=has_repeat)
        if not self.has_repeat(state.service):
            return NotRun(Reason.REPEATS_SPENT, RETRY_SOON_MS)
        now, service = clock.now(), state.service.name
        targets = self._view.fleet.targets_of(service)
        vms = {target.vm for target in targets}
        spent = self._repeats.spent(now, service, vms)
        state.tried |= {target.name for target in targets if target.vm in spent}
        ready = self._repeats.with_repeats(now, service, vms)
        others = {target.name for target in targets if target.vm not in ready} - state.tried
        if ready and not state.last_resort:
            state.tried |= others
            target = self._chooser.pick(state, has_repeat=has_repeat)
            state.tried -= others
            if target is not None:
                return target
        return self._slot_wait.pick(state, has_repeat=has_repeat)

    def learn(self, state: RequestState, target: Target, reason: Reason) -> None:
        """Learn from the refusal of a target."""
        if self.on and reason is Reason.REPEATS_SPENT:
            self._repeats.record_refusal(clock.now(), state.service.name, target.vm)

    def has_repeat(self, service: Service) -> bool:
        """Return whether some account of a service may have a repeat."""
        vms = {target.vm for target in self._view.fleet.targets_of(service.name)}
        return bool(vms - self._repeats.spent(clock.now(), service.name, vms))

    def should_give_up(self, state: RequestState) -> bool:
        """Return whether to give up a request whose repeat was refused."""
        replies = sum(reason is Reason.REPEATS_SPENT for reason in state.refused.values())
        return replies >= MAX_SPENT_REPLIES or bool(replies and not self.has_repeat(state.service))

    @staticmethod
    def _is_repeat(state: RequestState) -> bool:
        return state.arrivals > 0 or Reason.REPEATS_SPENT in state.refused.values()

"""The state of one request on its way through attempts."""

import time
from dataclasses import dataclass, field

from roadpass.fleet import Service, Target
from roadpass.message import Attempt
from roadpass.outcome import NotRun, Outcome, Reason
from roadpass.request import Request
from roadpass.route import Route
from roadpass.transport import FENCE_S

ASKS = 6
FAR_ASKS = 3
"""Targets, and those in other data halls, asked for a free slot before a request waits at one: a
way there and back takes 0.4 to 3 ms, one request ahead in a queue 100 ms; far bytes cost."""
GIVE_UP_SHARE = 0.45
"""Share of its time after which a request that no target was free for is given up: of 170 that got
that far on a crowded day 28 were answered in the end, the others only waited for nothing."""
MIN_ATTEMPT_S = 0.005
"""Seconds; with less time left no attempt is made."""


@dataclass(slots=True)
class Trip:
    """One request, where it has been, and what became of it there.

    Args:
        request: The caller's.
        route: By which it goes.
        service: To which it goes.
        started: Monotonic seconds at which it came.
        deadline: Monotonic seconds by which it must have an outcome.
        key: Idempotency key as sidecars know it, empty for none.
        tried: Targets that are not asked again.
        busy: Expected wait, in milliseconds, of targets that had no free slot when asked.
        refused: Why targets refused before the request reached them.
        arrivals: Attempts that reached a target.
        moves: Attempts refused before that.
        far_asks: Targets in other data halls that had no free slot.
        unproven: Milliseconds since targets that are free, but not proven lately, took work well.
        settles: Whether it takes a target that is not proven lately, as none that was asked is.
        may_wait: Whether it waits at a target now, as none that was asked had a free slot.
        pressing: All targets have refused it: those that might yet take it are asked again.
        may_have_run: Latest outcome that is no proof that the request did not run.
    """

    request: Request
    route: Route
    service: Service
    started: float
    deadline: float
    key: str
    tried: set[str] = field(default_factory=set)
    busy: dict[str, int] = field(default_factory=dict)
    refused: dict[str, Reason] = field(default_factory=dict)
    arrivals: int = 0
    moves: int = 0
    far_asks: int = 0
    unproven: dict[str, int] = field(default_factory=dict)
    settles: bool = False
    may_wait: bool = False
    pressing: bool = False
    may_have_run: Outcome | None = None

    @property
    def may_arrive(self) -> bool:
        """Whether the route lets the request be sent to another target."""
        most = self.route.max_attempts
        return most is None or self.arrivals < most

    @property
    def expired(self) -> bool:
        """Whether too little time is left for an attempt."""
        return self.deadline - time.monotonic() < MIN_ATTEMPT_S

    @property
    def asks_on(self) -> bool:
        """Whether more targets are asked before it takes one that is not as wanted."""
        asked = len(self.busy) + len(self.unproven)
        return not self.may_wait and asked < ASKS and self.far_asks < FAR_ASKS

    @property
    def waits_in_vain(self) -> bool:
        """Whether no target took it for so long that its caller is better told now."""
        patience_s = GIVE_UP_SHARE * (self.deadline - self.started)
        return self.arrivals == 0 and time.monotonic() - self.started > patience_s

    def note_not_wanted(self, name: str, refusal: NotRun, *, far: bool) -> None:
        """Note a target that had no free slot or is not proven.

        Args:
            name: Of the target.
            refusal: Its word.
            far: Whether it is in another data hall.
        """
        if self.may_wait:
            self._ask_anew()
        known = self.unproven if refusal.reason is Reason.UNPROVEN else self.busy
        known[name] = refusal.retry_after_ms
        self.far_asks += far

    def settle(self) -> str | None:
        """Take the target that was proven last, of those that were asked; `None` without any."""
        left = [name for name in self.unproven if name not in self.tried]
        if not left:
            return None
        self.settles = True
        name = min(left, key=self.unproven.__getitem__)
        del self.unproven[name]
        return name

    def press(self) -> bool:
        """Let targets that refused for failing or shedding, or were cut off, be asked once more.

        A failing one may run what it then loses, so only what may repeat goes there; one that
        sheds says so, and has not run it.

        Returns:
            Whether that is new; targets to which the way was cut are asked now, too.
        """
        if self.pressing:
            return False
        again = {Reason.UNREACHABLE, Reason.SHED_LATELY}
        if self.route.repeatable and self.arrivals == 0:
            again.add(Reason.SICK)
        names = {name for name, reason in self.refused.items() if reason in again}
        self.pressing = True
        self.tried -= names
        return True

    def final(self, outcome: Outcome) -> Outcome:
        """Return what to tell the caller: "not run" only if no attempt may have run."""
        match outcome:
            case NotRun():
                return self.may_have_run or outcome
            case _:
                return outcome

    def attempt(
        self,
        attempt_id: str,
        target: Target,
        now: float,
        *,
        revision: int,
        slow_ms: float,
        has_repeat: bool,
    ) -> Attempt:
        """Return the next attempt.

        Args:
            attempt_id: Unique in the fleet.
            target: To which it goes.
            now: Monotonic seconds.
            revision: Of the configuration that it is routed by.
            slow_ms: From where on an answer of the target counts as slow, zero if unknown.
            has_repeat: Whether the budget has a repeat to spend after it.
        """
        return Attempt(
            id=attempt_id,
            target=target.name,
            route=self.route.name,
            method=self.request.method,
            path=self.request.path,
            headers=self.request.headers,
            body=self.request.body,
            remaining_ms=self._attempt_s(now, has_repeat) * 1000.0,
            traffic_class=self.service.class_of(self.route),
            caller=self.request.caller,
            repeatable=self.route.repeatable,
            retry=self.arrivals > 0,
            revision=revision,
            slow_ms=slow_ms,
            key=self.key,
            repeat=bool(self.key) and self.request.repeat,
            request_id=self.request.id,
            origin=self.request.origin,
            may_wait=self.may_wait,
            pressing=self.pressing,
            last=self._is_last(has_repeat),
            wants_proven=self._wants_proven(has_repeat),
        )

    def _ask_anew(self) -> None:
        """Ask all targets again after a wait in the queue of one."""
        self.busy.clear()
        self.unproven.clear()
        self.settles = False
        self.may_wait = False
        self.far_asks = 0

    def _wants_proven(self, has_repeat: bool) -> bool:
        """Tell whether the next attempt, if lost, loses the request, and a choice is left."""
        if self.settles or self.may_wait or self.pressing:
            return False
        return self._is_last(has_repeat)

    def _is_last(self, has_repeat: bool) -> bool:
        """Tell whether the request is lost with the next attempt."""
        return not (self.route.repeatable and self.arrivals == 0 and has_repeat)

    def _attempt_s(self, now: float, has_repeat: bool) -> float:
        """Return the seconds that the next attempt may take.

        After a repeatable one another must have time, if there may be one; after any other its
        fence.
        """
        left = self.deadline - now
        if not self.route.repeatable:
            return max(MIN_ATTEMPT_S, left - FENCE_S)
        limit_s = self.service.attempt_timeout_ms / 1000.0
        repeats = has_repeat and self.may_arrive and self.arrivals == 0
        if self.route.target_latency_ms is not None and repeats:
            limit_s = min(limit_s, self.route.target_latency_ms / 1000.0)
        return min(left, limit_s)

"""The door of one target: whether new work may go to it, by how bad it is believed to be.

The sidecar beside a target sees all its work, so what it refuses has provably not run, and the
ingress takes it elsewhere at once. A target that is probably in a bad spell gets only trials: work
that may be repeated and has a repeat left, one at a time, until the belief has turned. Short of
that the door refuses nothing by itself: who asks says how bad a target it would take.
"""

from roadpass.belief import Belief, End, Visit

SHUT_FROM = 0.6
"""Belief from which on only trials are let in: two good ones turn the worst belief."""
TRIAL_FROM = 0.4
"""Belief from which on what may be repeated comes as a trial, also while the door is open: else a
target that nobody takes would never be known again to be sound."""
IDLE_S = 1.5
"""Seconds without any work after which an open door takes one request of whatever kind as a trial:
most sound targets of a service must get some work in any two seconds."""
HOLD_S = 0.2
"""Seconds after a loss in which nothing is tried."""
HOLD_GROWTH = 1.8
HOLD_MAX_S = 1.5
"""A lost trial makes the next wait so many times longer, up to so many seconds: spells last for
seconds and a trial in one costs a repeat. Trials that spent all repeats would leave none to open
the doors with."""
DECIDED = 3.0
"""A trial that makes its target so many times more or less probably bad no longer bars the next."""


class Door:
    """Decides on one target's new work; the caller's lock guards it.

    Args:
        belief: Of the target.
    """

    def __init__(self, belief: Belief) -> None:
        self._belief = belief
        self._hold_s = HOLD_S
        self._hold_until = float("-inf")
        self._failing: set[Visit] = set()
        self._begun_at = float("-inf")

    def shut(self, now: float) -> bool:
        """Tell whether only trials are let in."""
        return self._belief.bad(now) >= SHUT_FROM

    def wait_s(self, now: float) -> float:
        """Return the seconds until another trial may start."""
        return max(0.0, self._hold_until - now)

    def admits(self, now: float, *, trial: bool, pressing: bool = False) -> bool:
        """Tell whether a request may start now.

        Args:
            now: Clock seconds.
            trial: Whether it may serve as a trial: it can be repeated, and would be.
            pressing: Whether no other target would take it: it need not wait for its turn.
        """
        if not self.shut(now):
            return True
        if not trial:
            return False
        return pressing or (not self._tries(now) and now >= self._hold_until)

    def tries(self, now: float, *, trial: bool) -> bool:
        """Tell whether a request is taken though its target is more doubtful than it wants.

        Args:
            now: Clock seconds.
            trial: Whether it may serve as a trial: it can be repeated, and would be.
        """
        if not trial and (self.shut(now) or now - self._begun_at < IDLE_S):
            return False
        return not self._tries(now) and now >= self._hold_until

    def begin(self, now: float, kind: str, *, told_ms: float = 0.0, customer: str = "") -> Visit:
        """Note that an admitted request of a kind starts; see `Belief.begin`."""
        self._begun_at = now
        trial = self._belief.bad(now) >= TRIAL_FROM
        return self._belief.begin(now, kind, trial=trial, told_ms=told_ms, customer=customer)

    def end(self, now: float, visit: Visit, end: End, *, stalled_at: float = float("-inf")) -> None:
        """Note how a request ended; see `Belief.end`."""
        self._belief.end(now, visit, end, stalled_at=stalled_at)
        if end in (End.LOST, End.SILENT, End.FAILED) and self._belief.ratio(now, visit) >= DECIDED:
            self._lose(now, visit)
        self._failing.discard(visit)

    def _tries(self, now: float) -> bool:
        """Tell whether a trial runs of which nothing is known yet."""
        undecided = False
        for visit in self._belief.running:
            if not visit.trial:
                continue
            ratio = self._belief.ratio(now, visit)
            if ratio >= DECIDED:
                self._lose(now, visit)
            elif ratio > 1.0 / DECIDED:
                undecided = True
        return undecided

    def _lose(self, now: float, visit: Visit) -> None:
        """Wait before the next trial, longer after each trial that failed."""
        if visit in self._failing:
            return
        self._failing.add(visit)
        if visit.trial:
            self._hold_s = min(HOLD_MAX_S, self._hold_s * HOLD_GROWTH)
        elif now >= self._hold_until + HOLD_MAX_S:
            self._hold_s = HOLD_S
        self._hold_until = now + self._hold_s

"""The door of one target: whether new work may go to it, by how its latest real work went.

A target in a bad spell resets most of what it is given, at once, while its health check stays
good. The sidecar beside it sees every one of its resets, so it shuts the door after the first:
what is refused at the door has provably not run, and the ingress takes it elsewhere at once. Work
that may be repeated opens the door again: a request that the target has kept for a moment shows
as much as its answer, and sooner.
"""

from dataclasses import dataclass

HOLD_S = 0.2
"""Seconds after a loss in which nothing is tried."""
HOLD_GROWTH = 1.8
HOLD_MAX_S = 1.5
"""A lost trial makes the next wait longer, up to so many seconds: spells last for seconds and a
trial in one costs a repeat. With a growth of 1.4 up to 0.8 s trials spent all repeats in a crowded
moment; then nothing was tried any more, and doors stayed shut."""
SURVIVED_S = 0.03
"""Seconds after which a request that was not lost shows that its target took it: resets came
within 5 ms in all but 8 of 617 losses seen, on VMs of less than one core."""
LONG_SHUT_S = 1.5
"""Seconds since the latest loss after which work is tried that is lost if it fails: in a crowded
moment no other is left, and half the spells have ended by then."""
LATE_S = 0.1
"""Seconds after which a loss tells nothing of whether the next request is taken: more than
`SURVIVED_S`, since a node that gets little processor time notices a loss at once late."""
STARVED_S = 4.0
"""Seconds shut without repeatable work to try after which it opens for all: evidence is stale."""
GOODS_TO_OPEN = 2
"""Trials in a row that open the door by surviving: in a spell one in seven does by luck."""


@dataclass(slots=True, eq=False)
class Visit:
    """A request that the target has.

    Args:
        started: Monotonic seconds.
        trial: Whether it was let in through a shut door.
        survived: Whether it was not lost for a while.
    """

    started: float
    trial: bool
    survived: bool = False


class Door:
    """Decides on one target's new work; the caller's lock guards it."""

    def __init__(self) -> None:
        self._shut = False
        self._hold_s = HOLD_S
        self._hold_until = float("-inf")
        self._tried_at = float("-inf")
        self._lost_at = float("-inf")
        self._proven_at = float("-inf")
        self._visits: list[Visit] = []
        self._goods = 0

    @property
    def shut(self) -> bool:
        """Whether only trials are let in."""
        return self._shut

    def wait_s(self, now: float) -> float:
        """Return the seconds until another trial may start."""
        return max(0.0, self._hold_until - now)

    def proven_age_s(self, now: float) -> float:
        """Return how long ago the latest request came that the target did not lose."""
        self._look(now)
        return now - self._proven_at

    def admits(
        self, now: float, *, repeatable: bool, pressing: bool = False, spare: bool = True
    ) -> bool:
        """Tell whether a request may start now.

        Args:
            now: Seconds.
            repeatable: Whether it may serve as a trial.
            pressing: Whether no other target would take it: it need not wait for its turn.
            spare: Whether its request is not lost with it.
        """
        self._look(now)
        if not self._shut:
            return True
        if now - self._tried_at >= STARVED_S:
            self._shut = False
            return True
        if not repeatable or not (spare or now - self._lost_at >= LONG_SHUT_S):
            return False
        tries = any(visit.trial and not visit.survived for visit in self._visits)
        return pressing or (not tries and now >= self._hold_until)

    def begin(self, now: float) -> Visit:
        """Note that an admitted request starts; what is returned is to be handed to `end`."""
        visit = Visit(now, trial=self._shut)
        self._visits.append(visit)
        if visit.trial:
            self._tried_at = now
        return visit

    def end(self, now: float, visit: Visit, *, good: bool, lost: bool) -> bool:
        """Note how a request ended.

        Args:
            now: Seconds.
            visit: What `begin` returned.
            good: Whether the target answered it.
            lost: Whether the target broke it off. Done late, after it had taken the request, that
                tells nothing of whether it takes the next.

        Returns:
            Whether the door opened or shut by it.
        """
        was_shut = self._shut
        self._look(now)
        self._visits.remove(visit)
        if lost and now - visit.started < LATE_S:
            self._lose(now, visit)
        elif good and not visit.survived:
            self._survive(visit)
        return self._shut is not was_shut

    def _look(self, now: float) -> None:
        """Count the requests that the target has kept for long enough."""
        for visit in self._visits:
            if not visit.survived and now - visit.started >= SURVIVED_S:
                self._survive(visit)

    def _survive(self, visit: Visit) -> None:
        visit.survived = True
        self._proven_at = max(self._proven_at, visit.started)
        if not (self._shut and visit.trial):
            return
        self._goods += 1
        if self._goods >= GOODS_TO_OPEN:
            self._shut = False

    def _lose(self, now: float, visit: Visit) -> None:
        if visit.trial:
            self._hold_s = min(HOLD_MAX_S, self._hold_s * HOLD_GROWTH)
        elif not self._shut:
            self._hold_s = HOLD_S
        self._shut = True
        self._goods = 0
        self._proven_at = float("-inf")
        self._hold_until = now + self._hold_s
        self._tried_at = self._lost_at = now

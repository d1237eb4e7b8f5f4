"""What share of its requests one target sheds, and what that costs whoever goes there.

A target that sheds has not run the request, and says so: the request may be offered on at once. So
shedding bars nobody from a target. It costs a repeat, of which a service has few; a target that
sheds is taken where others cost more.
"""

import math

from roadpass.outcome import Answered, NotRun, Outcome, Reason

WEIGHT = 0.3
"""Weight of one answer in the share: four sheddings in a row make it 0.76."""
FORGET_S = 3.0
"""Seconds after which a share that nothing was added to has fallen to 0.37 of it: some times what a
request takes, so that full targets are not tried again too soon."""
SHED_COST = 0.8
"""What a shedding costs, as a share of a lost request: a repeat, which another request may lack. It
draws requests away from targets that shed to those that do not."""


class Shedding:
    """Follows what one target sheds.

    There is no time in which the target's sidecar refuses new work in its stead: where all targets
    of a service shed, no target would be asked, and what they would have served be refused.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._at = 0.0

    def cost(self, now: float) -> float:
        """Return what going there costs by its shedding, as a share of a lost request.

        Args:
            now: Clock seconds.
        """
        return SHED_COST * self._share_at(now)

    def record(self, now: float, outcome: Outcome) -> None:
        """Note how an attempt at the target ended.

        Args:
            now: Clock seconds.
            outcome: Its end.
        """
        match outcome:
            case NotRun(reason=Reason.SHED):
                self._learn(now, 1.0)
            case Answered():
                self._learn(now, 0.0)
            case _:
                pass

    def _share_at(self, now: float) -> float:
        return self._share * math.exp(-max(0.0, now - self._at) / FORGET_S)

    def _learn(self, now: float, shed: float) -> None:
        share = self._share_at(now)
        self._share = share + WEIGHT * (shed - share)
        self._at = now

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
request takes. At 1 s full targets were tried again too soon (see `SHED_LOSS`)."""
SHED_LOSS = 0.8
"""What a shedding costs, as a share of a lost request: a repeat, which another request may lack.
With five of 16 targets shedding 95 of 100, of 100 requests 90 are served at 0, 97.7 at 0.3, 98.4 at
0.8, and 98.9 at 0.8 with the longer memory; with all shedding 55 of 100 it is 57 each time."""


class Shedding:
    """Follows what one target sheds.

    It took the place of a hold, in which the target's sidecar refused new work for 0.2 to 0.8 s in
    its stead. Where all targets of a service shed 55 of 100 requests, whatever they have to do,
    with the hold 51 of 100 were served (ten seeds, `tests/loads.py`) and 11 refused after more than
    0.1 s, as no target would be asked; now it is 57 and 4.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._at = 0.0

    def loss(self, now: float) -> float:
        """Return what going there costs by its shedding, as a share of a lost request.

        Args:
            now: Clock seconds.
        """
        return SHED_LOSS * self._share_at(now)

    def note(self, now: float, outcome: Outcome) -> None:
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

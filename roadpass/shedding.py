"""Share of requests that one target sheds, and the expected cost of sending it a request.

A target that sheds a request has not run it and says so, so the request can be sent elsewhere at
once. Shedding therefore never excludes a target. It costs a retry, of which a service has few; a
target that sheds is selected where the others cost more.
"""

import math

from roadpass.outcome import Answered, NotRun, Outcome, Reason

WEIGHT = 0.3
"""Weight of one response in the share: four shed requests in a row make it 0.76."""
FORGET_S = 3.0
"""Seconds in which the share decays to 0.37 of its value without new responses: several times the
service time of a request, so that overloaded targets are not tried again too soon."""
SHED_COST = 0.8
"""Cost of a shed request relative to a lost one: it uses up a retry that another request may need.
It directs requests away from targets that shed."""


class Shedding:
    """Tracks the share of requests that one target sheds; not thread-safe.

    The sidecar never refuses requests on behalf of a target that sheds: if all targets of a service
    shed, none would get any, and requests that they could have served would be refused.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._at = 0.0

    def cost(self, now: float) -> float:
        """Return the expected cost of shedding for the next request, relative to a lost request.

        Args:
            now: Clock seconds.
        """
        return SHED_COST * self._share_at(now)

    def record(self, now: float, outcome: Outcome) -> None:
        """Record the outcome of an attempt; those that say nothing about shedding are ignored.

        Args:
            now: Clock seconds.
            outcome: Outcome of the attempt.
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

"""The hold of one target that sheds: for how long no new work goes to it.

A target that sheds has work that this node does not know of. Each request it sheds is a repeat,
so it is left alone for about one request's time, and for longer while it sheds on.
"""

from roadpass.outcome import Answered, NotRun, Outcome, Reason

SHED_HOLD_S = 0.2
"""Seconds of the first hold: about the time that one request takes."""
SHED_HOLD_GROWTH = 2.0
SHED_HOLD_MAX_S = 0.8
"""Each further shedding makes the next hold longer, up to this many seconds."""


class ShedHold:
    """Decides on one target's new work by what it shed."""

    def __init__(self) -> None:
        self._hold_s = SHED_HOLD_S
        self._until = float("-inf")

    def refusal(self, now: float) -> NotRun | None:
        """Return why new work would be refused, `None` if it would be taken.

        Args:
            now: Monotonic seconds.
        """
        left_s = self._until - now
        return NotRun(Reason.SHED_LATELY, int(left_s * 1000.0) + 1) if left_s > 0.0 else None

    def note(self, now: float, outcome: Outcome) -> None:
        """Note how an attempt at the target ended.

        Args:
            now: Monotonic seconds.
            outcome: Its end.
        """
        match outcome:
            case NotRun(reason=Reason.SHED):
                self._until = now + self._hold_s
                self._hold_s = min(SHED_HOLD_MAX_S, SHED_HOLD_GROWTH * self._hold_s)
            case Answered():
                self._hold_s = SHED_HOLD_S
            case _:
                pass

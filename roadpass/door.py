"""The door of one target: whether new work may go to it, by how its latest real work ended.

A target in a bad spell resets most of what it is given while its health check stays good. The
sidecar beside it sees every one of its resets, so it shuts the door after the first: what is
refused at the door has provably not run, and the ingress takes it elsewhere at once. Work that
may be repeated opens the door again, one request at a time.
"""

HOLD_S = 0.2
"""Seconds after a loss in which nothing is tried: about the time that one request takes."""
HOLD_GROWTH = 1.8
HOLD_MAX_S = 1.5
"""A lost trial makes the next wait longer, up to so many seconds: spells last for seconds, and a
trial in one is lost six times in seven and costs its request an attempt."""
STARVED_S = 4.0
"""Seconds shut without repeatable work to try after which it opens for all: evidence is stale."""
GOODS_TO_OPEN = 2
"""Good trials in a row that open the door: in a spell one in seven is good by luck."""


class Door:
    """Decides on one target's new work; the caller's lock guards it."""

    def __init__(self) -> None:
        self._shut = False
        self._hold_s = HOLD_S
        self._hold_until = float("-inf")
        self._tried_at = float("-inf")
        self._trials = 0
        self._goods = 0

    @property
    def shut(self) -> bool:
        """Whether only trials are let in."""
        return self._shut

    def wait_s(self, now: float) -> float:
        """Return the seconds until another trial may start."""
        return max(0.0, self._hold_until - now)

    def admits(self, now: float, *, repeatable: bool, pressing: bool = False) -> bool:
        """Tell whether a request may start now.

        Args:
            now: Seconds.
            repeatable: Whether it may serve as a trial.
            pressing: Whether no other target would take it: it need not wait for its turn.
        """
        if not self._shut:
            return True
        if now - self._tried_at >= STARVED_S:
            self._shut = False
            return True
        if not repeatable:
            return False
        return pressing or (self._trials == 0 and now >= self._hold_until)

    def begin(self, now: float) -> bool:
        """Note that an admitted request starts.

        Returns:
            Whether it is a trial; to be handed to `end`.
        """
        if not self._shut:
            return False
        self._trials += 1
        self._tried_at = now
        return True

    def end(self, now: float, *, trial: bool, good: bool, lost: bool) -> bool:
        """Note how a request ended.

        Args:
            now: Seconds.
            trial: What `begin` returned.
            good: Whether the target answered it.
            lost: Whether the target broke it off.

        Returns:
            Whether the door opened or shut by it.
        """
        self._trials -= trial
        if lost:
            was_shut, self._shut = self._shut, True
            self._goods = 0
            if trial:
                self._hold_s = min(HOLD_MAX_S, self._hold_s * HOLD_GROWTH)
            elif not was_shut:
                self._hold_s = HOLD_S
            self._hold_until = now + self._hold_s
            self._tried_at = now
            return not was_shut
        if not (self._shut and trial and good):
            return False
        self._goods += 1
        if self._goods < GOODS_TO_OPEN:
            return False
        self._shut = False
        return True

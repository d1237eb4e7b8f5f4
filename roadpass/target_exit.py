"""Exit of one target's process, as its sidecar sees it, and whether the target is back."""

import math
from collections.abc import Callable

SAME_EXIT_S = 1.0
"""Seconds within which losses belong to the same exit: a restart takes longer."""
CHECK_INTERVAL_S = 0.1
"""Seconds between checks whether it is back; each costs a connection that is refused at once."""


class TargetExit:
    """Tracks whether a target's process has exited; the caller holds a lock.

    Args:
        target: Name of the target.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._count = 0
        self._recorded_at = -math.inf
        self._checked_at = -math.inf
        self._down = False

    @property
    def down(self) -> bool:
        """Whether it exited and has not been seen running since."""
        return self._down

    def record(self, now: float) -> str:
        """Record that its process was found to have exited.

        Args:
            now: Seconds.

        Returns:
            Identifier of the exit, the same for all requests lost with it.
        """
        if now - self._recorded_at > SAME_EXIT_S:
            self._count += 1
        self._recorded_at = self._checked_at = now
        self._down = True
        return f"{self._target}/{self._count}"

    def still_down(self, now: float, check_down: Callable[[], bool]) -> bool:
        """Return whether it is still down, checking at most every `CHECK_INTERVAL_S`.

        Args:
            now: Seconds.
            check_down: Checks whether the target refuses connections.
        """
        if self._down and now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = now
            self._down = check_down()
        return self._down

"""The end of one target's process, as its sidecar sees it: when it was, and whether it is back."""

import math
from collections.abc import Callable

SAME_EXIT_S = 1.0
"""Seconds within which losses belong to one end: a target takes longer to start again."""
CHECK_INTERVAL_S = 0.1
"""Seconds between looks whether it is back; each costs a connection that is refused at once."""


class TargetExit:
    """Whether a target has ended; the caller's lock guards it.

    Args:
        target: Its name.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._count = 0
        self._recorded_at = -math.inf
        self._checked_at = -math.inf
        self._down = False

    @property
    def down(self) -> bool:
        """Whether it ended, and was not seen back since."""
        return self._down

    def record(self, now: float) -> str:
        """Note that it was seen to have ended.

        Args:
            now: Seconds.

        Returns:
            The end's name, alike for all that was lost with it.
        """
        if now - self._recorded_at > SAME_EXIT_S:
            self._count += 1
        self._recorded_at = self._checked_at = now
        self._down = True
        return f"{self._target}/{self._count}"

    def still_down(self, now: float, gone: Callable[[], bool]) -> bool:
        """Tell whether it is still away, and look now and then.

        Args:
            now: Seconds.
            gone: Looks whether it refuses connections.
        """
        if self._down and now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = now
            self._down = gone()
        return self._down

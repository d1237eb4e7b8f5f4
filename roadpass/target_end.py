"""The end of one target's process, as its sidecar sees it: when it was, and whether it is back."""

import math
from collections.abc import Callable

SAME_END_S = 1.0
"""Seconds within which losses belong to one end: a target takes longer to start again."""
LOOK_EVERY_S = 0.1
"""Seconds between looks whether it is back; each costs a connection that is refused at once."""


class TargetEnd:
    """Whether a target has ended; the caller's lock guards it.

    Args:
        target: Its name.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._count = 0
        self._noted_at = -math.inf
        self._looked_at = -math.inf
        self._seen = False

    @property
    def seen(self) -> bool:
        """Whether it ended, and was not seen back since."""
        return self._seen

    def note(self, now: float) -> str:
        """Note that it was seen to have ended.

        Args:
            now: Seconds.

        Returns:
            The end's name, alike for all that was lost with it.
        """
        if now - self._noted_at > SAME_END_S:
            self._count += 1
        self._noted_at = self._looked_at = now
        self._seen = True
        return f"{self._target}/{self._count}"

    def lasts(self, now: float, gone: Callable[[], bool]) -> bool:
        """Tell whether it is still away, and look now and then.

        Args:
            now: Seconds.
            gone: Looks whether it refuses connections.
        """
        if self._seen and now - self._looked_at >= LOOK_EVERY_S:
            self._looked_at = now
            self._seen = gone()
        return self._seen

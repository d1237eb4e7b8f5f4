"""The decision lines of one target's door: that it has opened, or shut."""

import threading

from roadpass.belief import Belief
from roadpass.decision import decided
from roadpass.door import Door
from roadpass.message import Attempt


class DoorLog:
    """Logs each turn of a door once; any thread may use it.

    Args:
        target: Its name.
        door: Of the target.
        belief: Of the target.
        lock: Guards the two.
    """

    def __init__(self, target: str, door: Door, belief: Belief, lock: threading.Lock) -> None:
        self._target = target
        self._door = door
        self._belief = belief
        self._lock = lock
        self._told_shut = False

    def tell(self, now: float, attempt: Attempt | None = None) -> None:
        """Log that the door has opened or shut since the last line.

        Args:
            now: Clock seconds.
            attempt: By which it did, `None` if by time.
        """
        with self._lock:
            shut = self._door.shut(now)
            if shut is self._told_shut:
                return
            self._told_shut = shut
            bad = self._belief.bad(now)
        decided(
            "sidecar",
            "door-shut" if shut else "door-open",
            request=attempt.request_id if attempt else "",
            attempt=attempt.id if attempt else None,
            target=self._target,
            bad=round(bad, 3),
        )

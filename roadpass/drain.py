"""When a leaving node may end: it is known to leave, and nothing is in flight any more."""

from typing import NamedTuple

IDLE_S = 0.5
"""Seconds that nothing must be in flight before a leaving node stops."""
PAUSED_S = 0.3
"""Seconds between two looks that show that the process stood still; it looks every 0.05 s."""


class DrainState(NamedTuple):
    """Where a drain stands.

    Args:
        refusing: Whether new work is to be refused from now on.
        over: Whether the node is to stop.
        clean: Whether nothing was in flight for long enough, or at the limit.
    """

    refusing: bool
    over: bool
    clean: bool = False


class Drain:
    """Follows one planned stop; pure.

    Args:
        now: Clock seconds at which it began.
        leave_s: Seconds for which new work is still taken.
        limit_s: Seconds after which it ends, whatever is in flight. Time in which the process stood
            still does not count: its work in flight got none of it, and to end at once on waking
            cuts all of that, while whoever wants the process gone ends it anyhow.
    """

    def __init__(self, now: float, *, leave_s: float, limit_s: float) -> None:
        self._began = now
        self._leave_s = leave_s
        self._limit_s = limit_s
        self._paused_s = 0.0
        self._updated_at = now
        self._idle_since = now

    @property
    def paused_s(self) -> float:
        """Seconds for which the process stood still, which the limit does not count."""
        return self._paused_s

    def update(self, now: float, in_flight: int) -> DrainState:
        """Return where it stands.

        Args:
            now: Clock seconds.
            in_flight: Requests under way. After a pause of the process that counts too little:
                what came meanwhile lies unread, so quiet begins anew.
        """
        since_update_s = now - self._updated_at
        self._updated_at = now
        if since_update_s > PAUSED_S:
            self._paused_s += since_update_s
            self._idle_since = now
        if in_flight:
            self._idle_since = now
        late = now - self._began >= self._limit_s + self._paused_s
        if now - self._began < self._leave_s and not late:
            return DrainState(refusing=False, over=False)
        idle_s = now - self._idle_since
        clean = idle_s >= IDLE_S or (late and idle_s > 0.0)
        return DrainState(refusing=True, over=clean or late, clean=clean)

"""Draining on shutdown: decides when a node refuses new requests and when it may exit."""

from typing import NamedTuple

IDLE_S = 0.5
"""Seconds without a request in flight after which a draining node exits."""
PAUSED_S = 0.3
"""Seconds between two updates that show that the process was paused; they come every 0.05 s."""


class DrainState(NamedTuple):
    """State of a drain.

    Args:
        refusing: Whether new requests must be refused from now on.
        over: Whether the node must exit now.
        clean: Whether nothing was in flight for long enough, or at the limit.
    """

    refusing: bool
    over: bool
    clean: bool = False


class Drain:
    """Tracks one planned shutdown; does no I/O and takes the time from its caller.

    Args:
        now: Clock seconds at which the shutdown began.
        leave_s: Seconds for which new requests are still accepted.
        limit_s: Seconds after which the drain ends, even with requests in flight. Time in which the
            process was paused does not count: requests in flight made no progress meanwhile, and
            exiting at once on waking would cut all of them. A supervisor that wants the process
            gone earlier kills it anyway.
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
        """Seconds for which the process was paused, which the limit excludes."""
        return self._paused_s

    def update(self, now: float, in_flight: int) -> DrainState:
        """Return the current state.

        Args:
            now: Clock seconds.
            in_flight: Requests in flight. After a pause of the process this count is too low, since
                requests that arrived meanwhile are still unread, so the idle time starts again.
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

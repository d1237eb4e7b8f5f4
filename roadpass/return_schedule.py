"""Spreads the times at which refused callers are told to return to a service."""

import threading

SPREAD_S = 5.0
"""Seconds over which the returns are spread: later ones find another load and other limits, and
most callers have no time left by then."""
MAX_INTERVAL_S = SPREAD_S / 10.0
"""Longest time in seconds between two returns."""


class ReturnSchedule:
    """Return times of the callers that one ingress refuses; thread-safe.

    If all were told the shortest wait, they would return together, and all but one would be refused
    again.
    """

    def __init__(self) -> None:
        self._next_at: dict[str, float] = {}
        self._lock = threading.Lock()

    def wait_s(self, now: float, service: str, earliest_s: float, interval_s: float) -> float:
        """Return the seconds after which the next refused caller is told to return.

        Args:
            now: Clock seconds.
            service: The service that refuses it.
            earliest_s: Seconds until the service may accept a request.
            interval_s: Seconds between two requests of this ingress that it accepts.
        """
        with self._lock:
            at = max(now + earliest_s, self._next_at.get(service, 0.0))
            if at > now + earliest_s + SPREAD_S:
                at = now + earliest_s
            self._next_at[service] = at + min(MAX_INTERVAL_S, interval_s)
        return at - now

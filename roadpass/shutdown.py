"""Deadline of a planned shutdown, and what may still be started before it."""

import math

ANSWER_MIN_S = 0.9
"""Minimum seconds from starting a request at a target until its caller has read the response. In
the same time peers are asked several times to recall attempts that are queued there."""
NOTIFY_S = 0.3
"""Seconds reserved for delivering the outcome of a request to its caller."""
ANSWER_FACTOR = 1.5
"""Multiple of its typical latency that a request is given. With the typical latency alone only one
in two requests would be answered in time, and the other's caller would get no response."""


class Shutdown:
    """Shutdown deadline of this process, shared by everything in it that waits.

    Attributes:
        at: Clock seconds at which the process ends, infinite until the node is told to stop. A
            pause of the process does not postpone it, as the supervisor's grace time goes on.
    """

    def __init__(self) -> None:
        self.at = math.inf

    @property
    def peer_requests_until(self) -> float:
        """Clock seconds until which peers are contacted about a request."""
        return self.at - NOTIFY_S

    def last_start(self, usual_ms: float) -> float:
        """Return the clock seconds after which a request is no longer started.

        Args:
            usual_ms: Typical latency of such requests in milliseconds, 0 if unknown.
        """
        return self.at - max(ANSWER_MIN_S, ANSWER_FACTOR * usual_ms / 1000.0)

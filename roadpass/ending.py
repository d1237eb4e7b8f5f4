"""When a node that was told to stop ends, and what may still be started before."""

import math

ANSWER_MIN_S = 0.9
"""Seconds that a request needs at the least from its start at a target to an answer that its caller
has read; also those in which peers are asked, several times, to take back what waits there."""
NOTIFY_S = 0.3
"""Seconds in which a word on a request gets to its caller."""
ANSWER_FACTOR = 1.5
"""How many times its usual time it is given: of two that were given their usual time just one would
be answered, and a caller learns nothing from the other."""


class Shutdown:
    """The end of this process, as all know it that wait in it.

    Attributes:
        at: Clock seconds of the end, infinite while nobody told the node to stop. Time in which
            the process stands still does not move it: whoever wants it gone does not wait.
    """

    def __init__(self) -> None:
        self.at = math.inf

    @property
    def peer_requests_until(self) -> float:
        """Clock seconds until which other nodes are asked for a request, or about it."""
        return self.at - NOTIFY_S

    def last_start(self, usual_ms: float) -> float:
        """Return the clock seconds from which on a request is not started any more.

        Args:
            usual_ms: Milliseconds that one of its kind usually takes, 0 if unknown.
        """
        return self.at - max(ANSWER_MIN_S, ANSWER_FACTOR * usual_ms / 1000.0)

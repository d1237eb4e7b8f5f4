"""Tells outages of a source from calls that failed for another reason.

In an outage targets cannot renew their entries, so an entry that is gone after it may have lapsed.
A watch that was cut, one failed call, or a VM that cannot reach the source is no outage: elsewhere
the source answers, and what is withdrawn meanwhile has been withdrawn.
"""

import math

MIN_OUTAGE_S = 2.5
"""Shortest outage in seconds in which an entry can lapse: that takes three heartbeats, 4.5 s, of
which the last two must fail; the rest allows for early heartbeats."""


class OutageDetector:
    """Finds out whether the source answered nobody for long; without side effects, reads no clock.

    All times are in clock seconds.
    """

    def __init__(self) -> None:
        self._answered_at = -math.inf
        self._failed_at = -math.inf

    def record_failure(self, requested_at: float) -> None:
        """Record that a call failed which the source should have answered at once.

        Args:
            requested_at: When the call was made.
        """
        self._failed_at = max(self._failed_at, requested_at)

    def record_answer(self, at: float) -> bool:
        """Record that the source answered this node or a peer; return whether that ends an outage.

        Args:
            at: When it answered.
        """
        before = self._answered_at
        self._answered_at = max(before, at)
        return before > -math.inf and at - before >= MIN_OUTAGE_S and self._failed_at > before

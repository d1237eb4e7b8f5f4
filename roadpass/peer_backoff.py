"""Back-off from peers that did not reply to a request."""

from collections.abc import Hashable
from typing import NamedTuple

BACKOFF_S = 1.0
"""Seconds for which a peer is not contacted after its first failure. Detecting an unreachable peer
takes a third of a second, in which others can be contacted; a single lost packet does not justify a
longer back-off."""
BACKOFF_MAX_S = 8.0
"""Limit of the back-off, which doubles with each failure: partitions last for many seconds."""
FORGET_S = 30.0
"""Seconds after the end of the back-off when the failures of a peer are forgotten."""


class _Failures(NamedTuple):
    """Consecutive failures of a peer, and the clock seconds until which it is not contacted."""

    failures: int
    until: float


class PeerBackoff:
    """Consecutive failures by peer, with exponential back-off; reads no clock, not thread-safe."""

    def __init__(self) -> None:
        self._failures: dict[Hashable, _Failures] = {}

    def record_failure(self, peer: Hashable, now: float) -> None:
        """Record that a peer did not reply; `now` is in clock seconds."""
        self._forget(now)
        failures = self.failures(peer)
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_S * 2.0 ** min(failures, 8))
        self._failures[peer] = _Failures(failures + 1, now + backoff_s)

    def record_reply(self, peer: Hashable) -> None:
        """Record that a peer replied, which ends its back-off."""
        self._failures.pop(peer, None)

    def failures(self, peer: Hashable) -> int:
        """Return the number of consecutive failures of a peer."""
        entry = self._failures.get(peer)
        return entry.failures if entry else 0

    def avoids(self, peer: Hashable, now: float) -> bool:
        """Return whether a peer should not be contacted now."""
        entry = self._failures.get(peer)
        return entry is not None and now < entry.until

    def _forget(self, now: float) -> None:
        stale = [peer for peer, entry in self._failures.items() if entry.until + FORGET_S < now]
        for peer in stale:
            del self._failures[peer]

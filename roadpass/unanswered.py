"""Peers that did not answer a question, which are left alone for a while."""

from collections.abc import Hashable
from typing import NamedTuple

BACKOFF_S = 1.0
"""Seconds for which such a peer is not asked: a cut way takes a third of a second to find, in which
others can be asked; one lost packet is no reason to leave a peer alone for longer."""
HOLD_MAX_S = 8.0
"""The most that it grows to, doubled each time: ways stay cut for many seconds."""
FORGET_S = 30.0
"""Seconds after the end of its hold when a peer's silences are forgotten."""


class _Failures(NamedTuple):
    """How often in a row a peer did not answer, and until when it is left alone."""

    failures: int
    until: float


class PeerBackoff:
    """Notes who did not answer; pure."""

    def __init__(self) -> None:
        self._failures: dict[Hashable, _Failures] = {}

    def record_failure(self, peer: Hashable, now: float) -> None:
        """Note that a peer did not answer at a moment, in clock seconds."""
        self._forget(now)
        failures = self.failures(peer)
        hold_s = min(HOLD_MAX_S, BACKOFF_S * 2.0 ** min(failures, 8))
        self._failures[peer] = _Failures(failures + 1, now + hold_s)

    def record_reply(self, peer: Hashable) -> None:
        """Note that a peer answered."""
        self._failures.pop(peer, None)

    def failures(self, peer: Hashable) -> int:
        """Return how often in a row a peer did not answer."""
        entry = self._failures.get(peer)
        return entry.failures if entry else 0

    def avoids(self, peer: Hashable, now: float) -> bool:
        """Tell whether a peer is to be left alone at a moment."""
        entry = self._failures.get(peer)
        return entry is not None and now < entry.until

    def _forget(self, now: float) -> None:
        over = [peer for peer, entry in self._failures.items() if entry.until + FORGET_S < now]
        for peer in over:
            del self._failures[peer]

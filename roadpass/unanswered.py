"""Peers that did not answer a question, which are left alone for a while."""

from collections.abc import Hashable
from typing import NamedTuple

HOLD_S = 1.0
"""Seconds for which such a peer is not asked: a cut way takes a third of a second to find, in which
others can be asked; one lost packet is no reason to leave a peer alone for longer."""
HOLD_MAX_S = 8.0
"""The most that it grows to, doubled each time: ways stay cut for many seconds."""
FORGET_S = 30.0
"""Seconds after the end of its hold when a peer's silences are forgotten."""


class _Silence(NamedTuple):
    """How often in a row a peer did not answer, and until when it is left alone."""

    times: int
    until: float


class Unanswered:
    """Notes who did not answer; pure."""

    def __init__(self) -> None:
        self._silences: dict[Hashable, _Silence] = {}

    def note(self, peer: Hashable, now: float) -> None:
        """Note that a peer did not answer at a moment, in clock seconds."""
        self._forget(now)
        times = self.times(peer)
        hold_s = min(HOLD_MAX_S, HOLD_S * 2.0 ** min(times, 8))
        self._silences[peer] = _Silence(times + 1, now + hold_s)

    def answered(self, peer: Hashable) -> None:
        """Note that a peer answered."""
        self._silences.pop(peer, None)

    def times(self, peer: Hashable) -> int:
        """Return how often in a row a peer did not answer."""
        silence = self._silences.get(peer)
        return silence.times if silence else 0

    def holds(self, peer: Hashable, now: float) -> bool:
        """Tell whether a peer is to be left alone at a moment."""
        silence = self._silences.get(peer)
        return silence is not None and now < silence.until

    def _forget(self, now: float) -> None:
        over = [peer for peer, silence in self._silences.items() if silence.until + FORGET_S < now]
        for peer in over:
            del self._silences[peer]

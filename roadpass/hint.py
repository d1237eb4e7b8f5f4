"""Health hints: sidecars' scores of their faulty targets, spread by gossip.

Healthy targets are not mentioned.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from roadpass.failure_detector import Scores

FAULTY_SCORE = 1.0
"""Score from which a target is reported: the one that asks for ejection."""
HINT_TTL_S = 5.0
MAX_HINTS = 4
TRANSMISSIONS = 8


class Hint(NamedTuple):
    """Scores of a target; `at` is when they were reported, on the receiver's clock."""

    target: str
    scores: Scores
    at: float


@dataclass(slots=True)
class _Entry:
    hint: Hint
    sent: int = 0


class HintTable:
    """Hints to pass on, each a limited number of times and until it expires; not thread-safe."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def report(self, now: float, target: str, scores: Scores) -> bool:
        """Add a hint on a target of this VM, if its scores are high enough and none is recent.

        Returns:
            Whether it was added.
        """
        known = self._entries.get(target)
        if scores.worst < FAULTY_SCORE:
            return False
        if known is not None and now - known.hint.at <= HINT_TTL_S / 2:
            return False
        self._entries[target] = _Entry(Hint(target, scores, now))
        return True

    def receive(self, now: float, row: Any) -> Hint | None:
        """Add a hint from a datagram that has passed validation.

        Returns:
            The hint, `None` if it has expired or is not newer than the known one.
        """
        target, failure, slow, age_s = row
        hint = Hint(target, Scores(failure, slow), now - max(0.0, age_s))
        known = self._entries.get(target)
        stale = now - hint.at > HINT_TTL_S
        if stale or (known is not None and hint.at <= known.hint.at + 0.1):
            return None
        self._entries[target] = _Entry(hint)
        return hint

    def rows(self, now: float) -> list[list[Any]]:
        """Return the hints for the next datagram, those sent least often first."""
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if now - entry.hint.at <= HINT_TTL_S
        }
        fresh = sorted(self._entries.values(), key=lambda entry: entry.sent)[:MAX_HINTS]
        rows = []
        for entry in fresh:
            if entry.sent >= TRANSMISSIONS:
                continue
            entry.sent += 1
            hint = entry.hint
            age_s = round(now - hint.at, 2)
            rows.append([hint.target, hint.scores.failure, hint.scores.slow, age_s])
        return rows

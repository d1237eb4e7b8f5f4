"""Entries of targets that were withdrawn, and are back as their source was restored."""

import math
from collections.abc import Container
from typing import NamedTuple

from roadpass.source import TargetEntry

RESTORED_HOLD_S = 5.0
"""Seconds for which such an entry names no target: it lapses again within three heartbeats, 4.5 s,
unless its target lives."""
MAX_REMEMBERED_WITHDRAWN = 10_000
"""Starts of targets that are remembered as withdrawn, about 0.1 KB each."""


class _HeldEntry(NamedTuple):
    """An entry, and until when it is held."""

    entry: TargetEntry
    until: float


class RestoredEntries:
    """Holds them until the target has written its entry again, or it has not lapsed; pure."""

    def __init__(self) -> None:
        self._withdrawn: dict[str, None] = {}
        """Names of starts, the latest last."""
        self._held: dict[str, _HeldEntry] = {}
        """By the id of the target."""

    def remember_withdrawn(self, entry: TargetEntry) -> None:
        """Note that a target's entry is gone."""
        self._withdrawn.pop(entry.name, None)
        self._withdrawn[entry.name] = None
        if len(self._withdrawn) > MAX_REMEMBERED_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]

    def hold(self, now: float, entry: TargetEntry, *, restored: bool, full: bool) -> bool:
        """Tell whether an entry is held.

        Args:
            now: Clock seconds.
            entry: As it was read.
            restored: Whether it is from the first reading since the source was restored.
            full: Whether it is from a whole reading, in which it may be as old as the backup.
        """
        held = self._held.get(entry.instance)
        if restored and entry.name in self._withdrawn:
            self._held[entry.instance] = _HeldEntry(entry, now + RESTORED_HOLD_S)
            return True
        if full and held is not None and held.entry.name == entry.name:
            self._held[entry.instance] = held._replace(entry=entry)
            return True
        self.discard(entry.instance)
        self._withdrawn.pop(entry.name, None)
        return False

    def discard(self, instance: str) -> None:
        """Forget what is held of a target, as its entry is gone or was written again."""
        self._held.pop(instance, None)

    def discard_others(self, instances: Container[str]) -> None:
        """Forget what is held of targets that a whole reading does not name."""
        for instance in [name for name in self._held if name not in instances]:
            self.discard(instance)

    def release(self, now: float) -> list[TargetEntry]:
        """Return the entries that have not lapsed in time, and hold them no longer."""
        expired = [held.entry for held in self._held.values() if held.until <= now]
        for entry in expired:
            del self._held[entry.instance]
            self._withdrawn.pop(entry.name, None)
        return expired

    def next_release_at(self) -> float:
        """Return the clock seconds at which the next entry is released, infinite for none."""
        return min((held.until for held in self._held.values()), default=math.inf)

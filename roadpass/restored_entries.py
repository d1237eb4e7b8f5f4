"""Entries of withdrawn targets that reappear because the source was restored from a backup."""

import math
from collections.abc import Container
from typing import NamedTuple

from roadpass.source import TargetEntry

RESTORED_HOLD_S = 5.0
"""Seconds for which such an entry is ignored: unless its target is alive, the entry lapses again
within three heartbeats, 4.5 s."""
MAX_REMEMBERED_WITHDRAWN = 10_000
"""Withdrawn target starts that are remembered, about 0.1 KB each."""


class _HeldEntry(NamedTuple):
    """An entry that is ignored until a time in clock seconds."""

    entry: TargetEntry
    until: float


class RestoredEntries:
    """Holds such entries back until their targets write them again or they do not lapse in time.

    Has no side effects outside itself and reads no clock.
    """

    def __init__(self) -> None:
        self._withdrawn: dict[str, None] = {}
        """Names of target starts, the most recent last."""
        self._held: dict[str, _HeldEntry] = {}
        """By instance id."""

    def remember_withdrawn(self, entry: TargetEntry) -> None:
        """Remember that a target has ended, so that a backup does not bring it back."""
        self._withdrawn.pop(entry.name, None)
        self._withdrawn[entry.name] = None
        if len(self._withdrawn) > MAX_REMEMBERED_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]

    def hold(self, now: float, entry: TargetEntry, *, restored: bool, full: bool) -> bool:
        """Return whether an entry is to be ignored for now, and update what is held.

        Args:
            now: Clock seconds.
            entry: The entry as read.
            restored: Whether it is from the first read since the source was restored.
            full: Whether it is from a full snapshot, where it may be as old as the backup.
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
        """Drop the held entry of a target, as it is gone or was written again."""
        self._held.pop(instance, None)

    def discard_others(self, instances: Container[str]) -> None:
        """Drop the held entries of targets that a full snapshot does not contain."""
        for instance in [name for name in self._held if name not in instances]:
            self.discard(instance)

    def release(self, now: float) -> list[TargetEntry]:
        """Remove and return the entries that have not lapsed in time: their targets are alive."""
        expired = [held.entry for held in self._held.values() if held.until <= now]
        for entry in expired:
            del self._held[entry.instance]
            self._withdrawn.pop(entry.name, None)
        return expired

    def next_release_at(self) -> float:
        """Return the clock seconds of the next release, infinite if there is none."""
        return min((held.until for held in self._held.values()), default=math.inf)

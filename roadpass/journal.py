"""Recent updates of a source, from which a node serves its peers."""

import threading
from collections import deque
from typing import NamedTuple

from roadpass.position import START, Position
from roadpass.source import (
    Change,
    Changes,
    ConfigPublished,
    InvalidItem,
    TargetPublished,
    TargetWithdrawn,
)
from roadpass.source_update import SourceUpdate

MAX_UPDATES = 256
"""Updates kept, which cover some minutes of a busy source; a peer that missed more receives a full
snapshot."""


class _Update(NamedTuple):
    """The changes of one read, and the position before them."""

    after: Position
    changes: Changes


class Journal:
    """The latest updates and the state they result in; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._position = START
        self._at = float("-inf")
        self._config: ConfigPublished | None = None
        self._targets: dict[str, TargetPublished] = {}
        self._updates: deque[_Update] = deque(maxlen=MAX_UPDATES)

    def record(self, changes: Changes, at: float) -> None:
        """Record an update.

        Args:
            changes: A full snapshot, or what came after the update recorded before.
            at: Clock seconds at which the source had nothing newer.
        """
        with self._lock:
            if changes.full:
                self._updates.clear()
                self._targets.clear()
            else:
                self._updates.append(_Update(self._position, changes))
            for change in changes.changes:
                self._apply(change)
            self._position = changes.position
            self._at = max(self._at, at)

    def confirm(self, at: float) -> None:
        """Record the clock seconds at which the source had nothing newer."""
        with self._lock:
            self._at = max(self._at, at)

    def since(self, after: Position) -> SourceUpdate | None:
        """Return what came after a position, or a full snapshot if that history is no longer kept.

        Returns:
            The update, `None` if nothing was recorded yet.
        """
        with self._lock:
            if self._position == START:
                return None
            known = self._updates and self._updates[0].after <= after
            if after >= self._position or known:
                changes = Changes(self._position, self._changes_after(after))
            else:
                changes = Changes(self._position, self._all_changes(), full=True)
            return SourceUpdate(changes, self._at)

    def _apply(self, change: Change) -> None:
        match change:
            case ConfigPublished():
                self._config = change
            case TargetPublished(entry=entry):
                self._targets[entry.instance] = change
            case TargetWithdrawn(instance=instance) | InvalidItem(instance=instance):
                self._targets.pop(instance, None)

    def _all_changes(self) -> tuple[Change, ...]:
        config = () if self._config is None else (self._config,)
        return (*config, *self._targets.values())

    def _changes_after(self, after: Position) -> tuple[Change, ...]:
        """Return the last change of each item in the updates that go beyond a position."""
        last: dict[str, Change] = {}
        for update in self._updates:
            if update.changes.position > after:
                last.update((_key(change), change) for change in update.changes.changes)
        return tuple(last.values())


def _key(change: Change) -> str:
    match change:
        case ConfigPublished():
            return ""
        case TargetPublished(entry=entry):
            return entry.instance
        case TargetWithdrawn(instance=instance):
            return instance
        case InvalidItem(key=key, instance=instance):
            return instance or key

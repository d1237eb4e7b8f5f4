"""Monotonic reads of a source that may be restored from a backup older than what it told."""

from collections.abc import Iterator

from roadpass.source import (
    Change,
    Changes,
    ConfigPublished,
    TargetEntry,
    TargetPublished,
)

MAX_REMEMBERED_LEAVING = 10_000
"""Starts of targets that are remembered as leaving, about 0.1 KB each."""


class MonotonicReads:
    """Keeps later readings from undoing earlier ones; pure.

    A configuration is not replaced by one of an older version, and a target that said that it
    leaves does not return to service within the same start.
    """

    def __init__(self) -> None:
        self._config: ConfigPublished | None = None
        self._leaving: dict[str, None] = {}
        """Names of starts, the latest seen last."""

    def apply(self, changes: Changes) -> Changes:
        """Return a reading in which nothing is older than in those before it."""
        return changes._replace(changes=tuple(self._newest(changes)))

    def _newest(self, changes: Changes) -> Iterator[Change]:
        named = False
        for change in changes.changes:
            match change:
                case ConfigPublished():
                    named = True
                    yield self._newest_config(change)
                case TargetPublished():
                    yield self._newest_entry(change)
                case _:
                    yield change
        if changes.full and not named and self._config is not None:
            yield self._config

    def _newest_config(self, change: ConfigPublished) -> ConfigPublished:
        held = self._config
        if held is None or change.config.version >= held.config.version:
            self._config = change
        return self._config or change

    def _newest_entry(self, change: TargetPublished) -> TargetPublished:
        entry = change.entry
        if entry.leaving:
            self._remember_leaving(entry)
        elif entry.name in self._leaving:
            return TargetPublished(entry._replace(leaving=True))
        return change

    def _remember_leaving(self, entry: TargetEntry) -> None:
        self._leaving.pop(entry.name, None)
        self._leaving[entry.name] = None
        if len(self._leaving) > MAX_REMEMBERED_LEAVING:
            del self._leaving[next(iter(self._leaving))]

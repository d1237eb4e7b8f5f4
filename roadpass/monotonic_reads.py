"""Monotonic reads of a source that may be restored from an old backup."""

from collections.abc import Iterator

from roadpass.source import (
    Change,
    Changes,
    ConfigPublished,
    TargetEntry,
    TargetPublished,
)

MAX_REMEMBERED_LEAVING = 10_000
"""Target starts that are remembered as leaving, about 0.1 KB each."""


class MonotonicReads:
    """Prevents later reads from undoing earlier ones; does no I/O.

    A configuration is never replaced by an older version, and a target that has announced that it
    is leaving does not return to service within the same start.
    """

    def __init__(self) -> None:
        self._config: ConfigPublished | None = None
        self._leaving: dict[str, None] = {}
        """Names of target starts, the most recently seen last."""

    def apply(self, changes: Changes) -> Changes:
        """Return the update with content older than that of previous updates replaced by theirs."""
        return changes._replace(changes=tuple(self._newest(changes)))

    def _newest(self, changes: Changes) -> Iterator[Change]:
        has_config = False
        for change in changes.changes:
            match change:
                case ConfigPublished():
                    has_config = True
                    yield self._newest_config(change)
                case TargetPublished():
                    yield self._newest_entry(change)
                case _:
                    yield change
        if changes.full and not has_config and self._config is not None:
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

"""Reloads the settings file of a running process on a signal, or when the file has changed."""

import logging
import os
from pathlib import Path

from roadpass.decision import decided
from roadpass.errors import SettingsError
from roadpass.settings import Settings

CHECK_S = 1.0
"""Seconds between checks for changes of the file without a signal."""

_log = logging.getLogger("roadpass.settings")


class SettingsFile:
    """Watches the file from which the settings in force were read.

    Args:
        path: Path of the file.
        settings: Settings as read at the start.
    """

    def __init__(self, path: Path, settings: Settings) -> None:
        self._path = path
        self._settings = settings
        self._last_signature = self._signature()
        self._next_check = 0.0

    def poll(self, now: float, *, signalled: bool) -> Settings | None:
        """Return the settings if they have changed, else `None`.

        If the file is unreadable or invalid, that is logged and the settings in force stay.

        Args:
            now: Clock seconds.
            signalled: Whether a signal asks to read the file now.
        """
        if not signalled and now < self._next_check:
            return None
        self._next_check = now + CHECK_S
        signature = self._signature()
        if signature == self._last_signature and not signalled:
            return None
        self._last_signature = signature
        return self._read()

    def _read(self) -> Settings | None:
        try:
            settings = Settings.from_config(self._path)
        except SettingsError as error:
            for problem in error.problems:
                _log.error("cannot reload settings, keeping those in force: %s", problem)
            return None
        old, self._settings = self._settings, settings
        changed = [
            name for name in Settings._fields if getattr(old, name) != getattr(settings, name)
        ]
        decided("settings", "read-again", changed=changed)
        return settings if changed else None

    def _signature(self) -> tuple[int, int, int]:
        """Return modification time, inode and size; a written or replaced file differs in them."""
        try:
            stat = os.stat(self._path)
        except OSError as error:
            _log.warning("cannot stat the settings file: %s", error)
            return 0, 0, 0
        return stat.st_mtime_ns, stat.st_ino, stat.st_size

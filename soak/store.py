"""The store's stand-in with faults."""

import base64
from collections import deque
from typing import Any

from roadpass import clock
from soak.plan import RESTORED
from stand_ins.store import StoreBackup, StoreState

DELAYS_S = {"store-slow": 0.6, "store-silent": 5.0}
"""Seconds that a call is held up; from a silent store nodes want no answer so late."""
DOWN = ("store-503", RESTORED)
BACKUPS = 100
"""Backups that are kept, one after each write."""


class FaultyStore(StoreState):
    """What the store holds, and how it fails; a stale one is as it was after the last fault."""

    def __init__(self) -> None:
        super().__init__()
        self._fault = ""
        self._past = StoreState()
        self._backups: deque[tuple[float, StoreBackup]] = deque(maxlen=BACKUPS)
        self._lost: dict[str, dict[str, Any] | None] = {}

    def put(self, key: str, value: Any) -> None:
        """Write an item; what a restoration lost of it is written no more."""
        with self.changed:
            self._lost.pop(key, None)
            super().put(key, value)
            self._backups.append((clock.now(), self.backup()))

    def delete(self, key: str) -> None:
        """Remove an item if it is there; see `put`."""
        with self.changed:
            self._lost.pop(key, None)
            if key in self.items:
                super().delete(key)
                self._backups.append((clock.now(), self.backup()))

    def restore_from(self, age_s: float) -> None:
        """Come back from a backup that is so old, or the oldest one."""
        with self.changed:
            before = clock.now() - age_s
            older = [backup for at, backup in self._backups if at <= before]
            backup = older[-1] if older else self._backups[0][1]
            self._lost = {
                key: self.items.get(key)
                for key in self.items.keys() | backup.items.keys()
                if self.items.get(key) != backup.items.get(key)
            }
            self.restore(backup)

    def write_again(self) -> None:
        """Have the operator and the targets write what the restoration lost."""
        with self.changed:
            for key, item in list(self._lost.items()):
                if item is None:
                    self.delete(key)
                else:
                    self.put(key, base64.b64decode(item["Value"]))

    def fail(self, fault: str) -> None:
        """Fail so from now on, with an empty text not at all."""
        with self.changed:
            self._fault = fault
            self.status = 503 if fault in DOWN else 200
            if not fault:
                self._past = StoreState()
                self._past.history_from = self.history_from
                self._past.restore(self.backup())
            if fault == "store-forgets":
                self.forget()
            self.changed.notify_all()

    def range(self, prefix: str, after: str) -> dict[str, Any]:
        """Return a page of items."""
        past = self._hold()
        return past.range(prefix, after) if past else super().range(prefix, after)

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Wait for events; a stale store knows nothing of revisions that it has not seen."""
        past = self._hold()
        return (past.watch if past else super().watch)(prefix, after, wait_s)

    def _hold(self) -> StoreState | None:
        """Hold a call up as the fault says; return what a stale store answers it from."""
        with self.changed:
            delay_s = DELAYS_S.get(self._fault, 0.0)
            self.changed.wait_for(lambda: self._fault not in DELAYS_S, delay_s)
            return self._past if self._fault == "store-stale" else None

"""The stand-in for the store, with injected faults."""

import base64
from collections import deque
from typing import Any

from roadpass import clock
from soak.plan import STORE_RESTORED
from stand_ins.store import StoreBackup, StoreState

DELAYS_S = {"store-slow": 0.6, "store-silent": 5.0}
"""Seconds by which calls are delayed; the nodes time out long before a silent store answers."""
UNAVAILABLE = ("store-503", STORE_RESTORED)
MAX_BACKUPS = 100
"""Most recent backups that are kept; one is made after each write."""


class FaultyStore(StoreState):
    """A store that fails as `set_fault` says; a stale one serves its state after the last fault."""

    def __init__(self) -> None:
        super().__init__()
        self._fault = ""
        self._stale_copy = StoreState()
        self._backups: deque[tuple[float, StoreBackup]] = deque(maxlen=MAX_BACKUPS)
        self._lost_writes: dict[str, dict[str, Any] | None] = {}

    def put(self, key: str, value: Any) -> None:
        """Write an item, which replaces a lost write of this key."""
        with self.changed:
            self._lost_writes.pop(key, None)
            super().put(key, value)
            self._backups.append((clock.now(), self.backup()))

    def delete(self, key: str) -> None:
        """Remove an item if it exists; replaces a lost write of this key."""
        with self.changed:
            self._lost_writes.pop(key, None)
            if key in self.items:
                super().delete(key)
                self._backups.append((clock.now(), self.backup()))

    def restore_from(self, age_s: float) -> None:
        """Restore the newest backup of at least this age, or the oldest; record the lost writes."""
        with self.changed:
            restored_at = clock.now() - age_s
            candidates = [backup for at, backup in self._backups if at <= restored_at]
            backup = candidates[-1] if candidates else self._backups[0][1]
            self._lost_writes = {
                key: self.items.get(key)
                for key in self.items.keys() | backup.items.keys()
                if self.items.get(key) != backup.items.get(key)
            }
            self.restore(backup)

    def rewrite_lost(self) -> None:
        """Repeat the writes that a restoration lost, as the operator and the targets would."""
        with self.changed:
            for key, item in list(self._lost_writes.items()):
                if item is None:
                    self.delete(key)
                else:
                    self.put(key, base64.b64decode(item["Value"]))

    def set_fault(self, fault: str) -> None:
        """Fail in this way from now on; an empty text ends the fault."""
        with self.changed:
            self._fault = fault
            self.status = 503 if fault in UNAVAILABLE else 200
            if not fault:
                self._stale_copy = StoreState()
                self._stale_copy.oldest_revision = self.oldest_revision
                self._stale_copy.restore(self.backup())
            if fault == "store-forgets":
                self.discard_history()
            self.changed.notify_all()

    def range(self, prefix: str, after: str) -> dict[str, Any]:
        """Return a page of items, from the stale copy if the store is stale."""
        stale_copy = self._delay()
        return stale_copy.range(prefix, after) if stale_copy else super().range(prefix, after)

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Wait for events; a stale store does not know revisions newer than its copy."""
        stale_copy = self._delay()
        return (stale_copy.watch if stale_copy else super().watch)(prefix, after, wait_s)

    def fail_watch(self, fault: str) -> None:
        """Cut, delay or refuse the one watch that wakes next; all other calls are answered."""
        with self.changed:
            self.watch_faults.append(fault.removeprefix("watch-"))
            self.changed.notify_all()

    def _delay(self) -> StoreState | None:
        """Delay a call as the fault requires; return the copy that a stale store answers from."""
        with self.changed:
            delay_s = DELAYS_S.get(self._fault, 0.0)
            self.changed.wait_for(lambda: self._fault not in DELAYS_S, delay_s)
            return self._stale_copy if self._fault == "store-stale" else None

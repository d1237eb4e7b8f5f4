"""The store's stand-in with faults."""

from typing import Any

from stand_ins.store import StoreState

DELAYS_S = {"store-slow": 0.6, "store-silent": 5.0}
"""Seconds that a call is held up; from a silent store nodes want no answer so late."""


class FaultyStore(StoreState):
    """What the store holds, and how it fails; a stale one is as it was after the last fault."""

    def __init__(self) -> None:
        super().__init__()
        self._fault = ""
        self._past = StoreState()

    def fail(self, fault: str) -> None:
        """Fail so from now on, with an empty text not at all."""
        with self.changed:
            self._fault = fault
            self.status = 503 if fault == "store-503" else 200
            if not fault:
                self._past = StoreState()
                self._past.items, self._past.revision = dict(self.items), self.revision
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
        if past and after > past.revision:
            return None
        return (past.watch if past else super().watch)(prefix, after, wait_s)

    def _hold(self) -> StoreState | None:
        """Hold a call up as the fault says; return what a stale store answers it from."""
        with self.changed:
            delay_s = DELAYS_S.get(self._fault, 0.0)
            self.changed.wait_for(lambda: self._fault not in DELAYS_S, delay_s)
            return self._past if self._fault == "store-stale" else None

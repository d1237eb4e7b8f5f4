"""The reader of a source: an actor that watches it and hands over the fleet that is in force."""

import logging
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from roadpass._actor import Actor
from roadpass.audit import AuditTrail, Kind
from roadpass.catalogue import Catalogue
from roadpass.decision import decided
from roadpass.errors import PlatformError
from roadpass.fleet import Fleet
from roadpass.source import Changes, HistoryLostError, PublishedConfig, Source, Unusable

WATCH_S = 3.0
"""Seconds of one watch at most: a connection on which nothing comes any more is noticed so late.
Bounds run from 3 s after a disturbance on, and a change must be in force 2 s later."""
REST_S = 0.5
"""Seconds of rest after changes, so that one call brings several; they have 2 s to be in force."""
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.8
"""Seconds to pause after a failed call, doubled up to the latter: bounds run while the source is
away."""

_log = logging.getLogger("roadpass.reader")


class Read(NamedTuple):
    """Make the next call."""


class StoreEvents(NamedTuple):
    """What the reader calls; none of them may block.

    Args:
        on_fleet: Another fleet is in force; with the configuration it comes from.
        on_read: The source was read.
    """

    on_fleet: Callable[[Fleet, PublishedConfig], None]
    on_read: Callable[[], None]


class StoreReader(Actor):
    """Owns the way to a source, and what is held of it.

    Args:
        source: To read from.
        catalogue: What is held.
        events: What to call.
        audit: The audit trail.
        rng: Source of randomness.
    """

    def __init__(
        self,
        source: Source,
        catalogue: Catalogue,
        events: StoreEvents,
        audit: AuditTrail,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._source = source
        self._catalogue = catalogue
        self._events = events
        self._audit = audit
        self._rng = rng
        self._revision: int | None = None
        self._failures = 0
        self._unusable: set[Unusable] = set()

    def on_start(self) -> None:
        """Begin to read."""
        self.actor_ref.tell(Read())

    def handle(self, message: Any) -> None:
        """Handle one message; each reading asks for the next."""
        match message:
            case Read():
                pause = RETRY_MAX_S
                try:
                    pause = self._read()
                finally:
                    time.sleep(pause)
                    self.actor_ref.tell(Read())
            case _:
                _log.error("unknown message %r", message)

    def _read(self) -> float:
        """Make one call and take in what it brings.

        Returns:
            Seconds to rest before the next.
        """
        try:
            changes = self._call()
        except HistoryLostError as error:
            self._revision = None
            return self._failed(error)
        except PlatformError as error:
            return self._failed(error)
        self._succeeded()
        self._revision = changes.revision
        changed, unusable = self._catalogue.take(time.monotonic(), changes)
        self._report(unusable)
        self._publish(changed)
        self._events.on_read()
        return REST_S if changes.changes else 0.0

    def _call(self) -> Changes:
        if self._revision is None:
            return self._source.snapshot()
        wait_s = min(WATCH_S, self._catalogue.next_expiry_s(time.monotonic()))
        return self._source.watch(self._revision, wait_s)

    def _failed(self, error: PlatformError) -> float:
        self._failures += 1
        now = time.monotonic()
        self._catalogue.source_away(now)
        if self._failures == 1:
            self._audit.record(Kind.PLATFORM, "store", f"cannot be read: {error}")
        decided("reader", "store-failed", error=str(error), failures=self._failures)
        self._publish(False)
        pause = min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(8, self._failures - 1))
        return pause * self._rng.uniform(0.7, 1.3)

    def _succeeded(self) -> None:
        if self._failures:
            evidence = f"can be read again after {self._failures} failures"
            self._audit.record(Kind.PLATFORM, "store", evidence)
        self._failures = 0

    def _publish(self, changed: bool) -> None:
        """Hand the fleet over if it changed, be it by the end of a withdrawn target's time."""
        changed |= self._catalogue.expire(time.monotonic())
        config = self._catalogue.config
        if not changed or config is None:
            return
        fleet = self._catalogue.fleet()
        self._events.on_fleet(fleet, config)
        leaving = sum(target.leaving for target in fleet.targets.values())
        decided(
            "reader",
            "fleet-in-force",
            revision=fleet.revision,
            store_revision=self._revision,
            targets=len(fleet.targets),
            leaving=leaving,
            routes=len(fleet.routes),
        )

    def _report(self, unusable: list[Unusable]) -> None:
        """Say once of each item that makes no sense that it was left out."""
        for item in unusable:
            if item not in self._unusable:
                self._unusable.add(item)
                self._audit.record(Kind.REVISION_REFUSED, item.key, item.why)

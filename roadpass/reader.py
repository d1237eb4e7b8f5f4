"""Reading the configuration: from the platform by a few readers, from peers by all others."""

import hashlib
import logging
import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from roadpass import clock
from roadpass._actor import Actor
from roadpass._generated.message_types import Pull
from roadpass.audit import AuditTrail, Kind
from roadpass.configuration import Offer, Store
from roadpass.errors import DocumentError, PlatformError, StreamError
from roadpass.manifest import Platform, VmEntry
from roadpass.metric import Metrics
from roadpass.patch import receive
from roadpass.peer import Address, PeerPool
from roadpass.revision import Held, Manifest, Version
from roadpass.settings import Settings
from roadpass.stream import FRAME_LIMIT_S
from roadpass.unanswered import Unanswered

VM_LIST_S = 10.0
RETRY_S = 2.0
STALE_S = 30.0
"""News of the platform older than this makes a node try for itself."""
SELF_TRY_PER_NODE_S = 1.0
"""The mean time between own tries grows with the fleet: about one a second in all."""
PULL_S = 2.0
VERDICT_S = 1.0
PULLS_BYTES = "pull_bytes"

_log = logging.getLogger("roadpass.reader")


def choose_readers(vms: Iterable[str], count: int) -> list[str]:
    """Choose the readers of a data hall by highest hash, the same on every node with one view."""
    return sorted(vms, key=lambda vm: hashlib.sha256(vm.encode()).digest())[:count]


class Poll(NamedTuple):
    """Look at the platform if it is this node's turn."""


class Status(NamedTuple):
    """What the reader needs to know of its node.

    Args:
        is_reader: Whether this node reads for its data hall; a leaving one does not.
        platform_age_s: Seconds since the platform is known to have answered anybody.
        fleet_size: Nodes known.
    """

    is_reader: bool
    platform_age_s: float
    fleet_size: int


class ReaderEvents(NamedTuple):
    """What the reader calls; none of them may block."""

    offer: Callable[[Offer], None]
    on_platform: Callable[[], None]
    on_vms: Callable[[list[VmEntry]], None]


class Reader(Actor):
    """Watches the platform while this node is a reader, and tries it rarely while news is old.

    Args:
        settings: Of this node.
        platform: To read from.
        store: What is held.
        status: Returns the node's status.
        events: What to call.
        audit: The audit trail.
        rng: Source of randomness.
        asked: Set once the platform has been asked, whether it answered or not.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        store: Store,
        status: Callable[[], Status],
        events: ReaderEvents,
        audit: AuditTrail,
        rng: random.Random,
        asked: threading.Event,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._platform = platform
        self._store = store
        self._status = status
        self._events = events
        self._audit = audit
        self._rng = rng
        self._next_vms = 0.0
        self._next_try = 0.0
        self._reachable = True
        self._refused_manifest = ""
        self._was_reader = False
        self._bad: set[Version] = set()
        self._asked = asked

    def on_start(self) -> None:
        """Ask the platform once, reader or not: a new node takes the newest there is."""
        self.actor_ref.tell(Poll())

    def handle(self, message: Any) -> None:
        """Handle one message; each poll asks for the next."""
        match message:
            case Poll():
                pause = RETRY_S
                try:
                    pause = self._poll()
                finally:
                    time.sleep(pause)
                    self.actor_ref.tell(Poll())
            case _:
                _log.error("unknown message %r", message)

    def _poll(self) -> float:
        """Do one round.

        Returns:
            Seconds until the next.
        """
        status = self._status()
        first = not self._asked.is_set()
        if not first and not status.is_reader and not self._own_try_due(status):
            self._was_reader = False
            return 0.5
        try:
            self._read(watch=status.is_reader and self._was_reader and not first)
            self._was_reader = status.is_reader
        except PlatformError as error:
            self._note_reachable(False, str(error))
            return RETRY_S * self._rng.uniform(0.5, 1.5)
        except DocumentError as error:
            self._note_refused_manifest(str(error))
            return RETRY_S * self._rng.uniform(0.5, 1.5)
        finally:
            self._asked.set()
        return 0.0 if status.is_reader else 0.5

    def _read(self, *, watch: bool) -> None:
        if watch:
            after = max(self._store.held.version.revision, self._newest_bad())
            manifest = self._platform.watch(after, self._settings.watch_s)
        else:
            manifest = self._platform.manifest()
        self._note_reachable(True, "answers again")
        self._events.on_platform()
        if manifest is not None:
            self._fetch(manifest)
        now = clock.now()
        if now >= self._next_vms:
            self._next_vms = now + VM_LIST_S
            self._events.on_vms(self._platform.vms())

    def _fetch(self, manifest: Manifest) -> None:
        held = self._store.held
        if manifest.version < held.version:
            self._events.offer(Offer(manifest, (), "the platform"))
        if manifest.version <= held.version or manifest.version in self._bad:
            return
        documents = [self._platform.document(entry) for entry in held.missing(manifest)]
        self._events.offer(Offer(manifest, tuple(documents), "the platform"))
        self._remember_unless_taken(manifest.version)

    def _remember_unless_taken(self, version: Version) -> None:
        """Wait shortly for the verdict, so that a bad revision is not watched over and over."""
        deadline = clock.now() + VERDICT_S
        while clock.now() < deadline:
            if self._store.held.version >= version:
                return
            time.sleep(0.02)
        if self._store.is_refused(version):
            self._bad.add(version)

    def _newest_bad(self) -> int:
        return max((version.revision for version in self._bad), default=0)

    def _own_try_due(self, status: Status) -> bool:
        if status.platform_age_s < STALE_S:
            return False
        now = clock.now()
        mean = max(STALE_S, status.fleet_size * SELF_TRY_PER_NODE_S)
        if self._next_try == 0.0:
            self._next_try = now + self._rng.uniform(0.0, mean)
        if now < self._next_try:
            return False
        self._next_try = now + mean * self._rng.uniform(0.5, 1.5)
        return True

    def _note_refused_manifest(self, why: str) -> None:
        if why != self._refused_manifest:
            self._refused_manifest = why
            self._audit.record(Kind.REVISION_REFUSED, "manifest", why)

    def _note_reachable(self, reachable: bool, why: str) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            self._audit.record(Kind.PLATFORM, self._settings.platform_url, why)


class VersionHeard(NamedTuple):
    """A peer holds a newer version."""

    version: Version
    address: Address


class Puller(Actor):
    """Fetches newer revisions from peers, as patches where it can.

    Each peer that holds one says so again and again; one that did not answer is left alone for a
    while, so that the others' turn comes.

    Args:
        peers: Streams to them.
        store: What is held.
        offer: Hands a revision to the configuration.
        metrics: Counts bytes.
    """

    def __init__(
        self,
        peers: PeerPool,
        store: Store,
        offer: Callable[[Offer], None],
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._store = store
        self._offer = offer
        self._metrics = metrics
        self._offered: dict[Version, float] = {}
        self._unanswered = Unanswered()

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case VersionHeard():
                self._on_news(message)
            case _:
                _log.error("unknown message %r", message)

    def _on_news(self, news: VersionHeard) -> None:
        now = clock.now()
        held = self._store.held
        recent = now - self._offered.get(news.version, float("-inf")) < PULL_S
        if news.version <= held.version or recent or self._store.is_refused(news.version):
            return
        if self._unanswered.holds(news.address, now):
            return
        pulled = self._pull_either_way(held, news.address)
        if pulled is None:
            self._unanswered.note(news.address, clock.now())
            return
        self._unanswered.answered(news.address)
        manifest, documents = pulled
        self._offered = {v: at for v, at in self._offered.items() if now - at < PULL_S}
        self._offered[manifest.version] = now
        self._offer(Offer(manifest, tuple(documents), f"peer {news.address[0]}:{news.address[1]}"))

    def _pull_either_way(self, held: Held, address: Address) -> tuple[Manifest, list[bytes]] | None:
        for patches in (True, False):
            try:
                return self._pull(held, address, patches=patches)
            except DocumentError as error:
                _log.info("the documents of %s are not usable: %s", address, error)
            except StreamError as error:
                _log.info("no configuration from %s: %s", address, error)
                return None
        return None

    def _pull(self, held: Held, address: Address, *, patches: bool) -> tuple[Manifest, list[bytes]]:
        entries = held.manifest.documents if held.manifest and patches else ()
        message: Pull = {"t": "pull", "have": {entry.name: entry.hash for entry in entries}}
        reply = self._peers.exchange(
            address, message, timeout_s=PULL_S, frame_timeout_s=FRAME_LIMIT_S
        )
        if reply["t"] != "revision":
            raise StreamError("The peer did not send a revision.")
        for document in reply["documents"]:
            self._metrics.count(PULLS_BYTES, len(document["data"]))
        return receive(held, reply)

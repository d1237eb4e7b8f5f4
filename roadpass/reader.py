"""Reads the configuration: a few readers poll the platform, all other nodes pull from peers."""

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
from roadpass.configuration import RevisionOffer, Store
from roadpass.errors import DocumentError, PlatformError, StreamError
from roadpass.manifest import Platform, VmEntry
from roadpass.metric import Metrics
from roadpass.patch import read_revision_reply
from roadpass.peer_backoff import PeerBackoff
from roadpass.peer_pool import Address, PeerPool
from roadpass.revision import HeldRevision, Manifest, Version
from roadpass.settings import Settings
from roadpass.stream import FRAME_LIMIT_S

VM_LIST_INTERVAL_S = 10.0
RETRY_S = 2.0
STALE_S = 30.0
"""Age of the last known response of the platform after which a node polls it itself."""
SELF_POLL_INTERVAL_PER_NODE_S = 1.0
"""The mean interval of these polls grows with the fleet, to about one poll a second in total."""
PULL_TIMEOUT_S = 2.0
VERDICT_TIMEOUT_S = 1.0
PULLS_BYTES = "pull_bytes"

_log = logging.getLogger("roadpass.reader")


def choose_readers(vms: Iterable[str], count: int) -> list[str]:
    """Choose the readers of a data hall by lowest hash; nodes with the same view agree on them."""
    return sorted(vms, key=lambda vm: hashlib.sha256(vm.encode()).digest())[:count]


class Poll(NamedTuple):
    """Starts one round: the platform is polled if that is due."""


class Status(NamedTuple):
    """What the reader needs to know about its node.

    Args:
        is_reader: Whether this node reads for its data hall; a leaving one does not.
        platform_age_s: Seconds since the platform last answered any node, as far as known.
        fleet_size: Number of known nodes.
    """

    is_reader: bool
    platform_age_s: float
    fleet_size: int


class ReaderEvents(NamedTuple):
    """Callbacks of the reader; none of them may block.

    Args:
        offer: Called with each revision that was read.
        on_platform: Called whenever the platform has answered.
        on_vms: Called with the VM list whenever it was read.
    """

    offer: Callable[[RevisionOffer], None]
    on_platform: Callable[[], None]
    on_vms: Callable[[list[VmEntry]], None]


class Reader(Actor):
    """Watches the platform while this node is a reader.

    Other nodes poll it too, but rarely, while the platform is not known to have answered recently.

    Args:
        settings: Of this node.
        platform: The platform's configuration service.
        store: The node's configuration revision.
        status: Returns the node's status.
        events: Callbacks.
        audit: The audit trail.
        rng: Source of randomness.
        polled: Set after the first poll of the platform, whether it succeeded or not.
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
        polled: threading.Event,
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
        self._next_self_poll = 0.0
        self._reachable = True
        self._refused_manifest = ""
        self._was_reader = False
        self._refused_versions: set[Version] = set()
        self._polled = polled

    def on_start(self) -> None:
        """Poll the platform once, reader or not, so that a new node starts with the newest."""
        self.actor_ref.tell(Poll())

    def handle(self, message: Any) -> None:
        """Handle one message; each poll schedules the next."""
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
        """Run one round.

        Returns:
            Seconds until the next round.
        """
        status = self._status()
        first = not self._polled.is_set()
        if not first and not status.is_reader and not self._self_poll_due(status):
            self._was_reader = False
            return 0.5
        try:
            self._read(watch=status.is_reader and self._was_reader and not first)
            self._was_reader = status.is_reader
        except PlatformError as error:
            self._record_reachable(False, str(error))
            return RETRY_S * self._rng.uniform(0.5, 1.5)
        except DocumentError as error:
            self._record_refused_manifest(str(error))
            return RETRY_S * self._rng.uniform(0.5, 1.5)
        finally:
            self._polled.set()
        return 0.0 if status.is_reader else 0.5

    def _read(self, *, watch: bool) -> None:
        if watch:
            after = max(self._store.held.version.revision, self._newest_refused())
            manifest = self._platform.watch(after, self._settings.watch_s)
        else:
            manifest = self._platform.manifest()
        self._record_reachable(True, "answers again")
        self._events.on_platform()
        if manifest is not None:
            self._fetch(manifest)
        now = clock.now()
        if now >= self._next_vms:
            self._next_vms = now + VM_LIST_INTERVAL_S
            self._events.on_vms(self._platform.vms())

    def _fetch(self, manifest: Manifest) -> None:
        held = self._store.held
        if manifest.version < held.version:
            self._events.offer(RevisionOffer(manifest, (), "the platform"))
        if manifest.version <= held.version or manifest.version in self._refused_versions:
            return
        documents = [self._platform.document(entry) for entry in held.missing(manifest)]
        self._events.offer(RevisionOffer(manifest, tuple(documents), "the platform"))
        self._await_verdict(manifest.version)

    def _await_verdict(self, version: Version) -> None:
        """Wait briefly for a revision to be accepted or refused, so that a bad one is read once."""
        deadline = clock.now() + VERDICT_TIMEOUT_S
        while clock.now() < deadline:
            if self._store.held.version >= version:
                return
            time.sleep(0.02)
        if self._store.is_refused(version):
            self._refused_versions.add(version)

    def _newest_refused(self) -> int:
        return max((version.revision for version in self._refused_versions), default=0)

    def _self_poll_due(self, status: Status) -> bool:
        if status.platform_age_s < STALE_S:
            return False
        now = clock.now()
        mean = max(STALE_S, status.fleet_size * SELF_POLL_INTERVAL_PER_NODE_S)
        if self._next_self_poll == 0.0:
            self._next_self_poll = now + self._rng.uniform(0.0, mean)
        if now < self._next_self_poll:
            return False
        self._next_self_poll = now + mean * self._rng.uniform(0.5, 1.5)
        return True

    def _record_refused_manifest(self, why: str) -> None:
        if why != self._refused_manifest:
            self._refused_manifest = why
            self._audit.record(Kind.REVISION_REFUSED, "manifest", why)

    def _record_reachable(self, reachable: bool, why: str) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            self._audit.record(Kind.PLATFORM, self._settings.platform_url, why)


class VersionAnnounced(NamedTuple):
    """A peer has announced a version, which may be newer than this node's."""

    version: Version
    address: Address


class Puller(Actor):
    """Pulls newer revisions from peers, as patches where possible.

    Each peer announces its version repeatedly. A peer that did not answer is skipped for a while,
    so that others are asked instead.

    Args:
        peers: Streams to the peers.
        store: The node's configuration revision.
        offer: Passes a revision to the configuration actor.
        metrics: Counts the bytes received.
    """

    def __init__(
        self,
        peers: PeerPool,
        store: Store,
        offer: Callable[[RevisionOffer], None],
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._store = store
        self._offer = offer
        self._metrics = metrics
        self._offered: dict[Version, float] = {}
        self._unanswered = PeerBackoff()

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case VersionAnnounced():
                self._on_announcement(message)
            case _:
                _log.error("unknown message %r", message)

    def _on_announcement(self, announcement: VersionAnnounced) -> None:
        now = clock.now()
        held = self._store.held
        recent = now - self._offered.get(announcement.version, float("-inf")) < PULL_TIMEOUT_S
        if (
            announcement.version <= held.version
            or recent
            or self._store.is_refused(announcement.version)
        ):
            return
        if self._unanswered.avoids(announcement.address, now):
            return
        pulled = self._pull_with_fallback(held, announcement.address)
        if pulled is None:
            self._unanswered.record_failure(announcement.address, clock.now())
            return
        self._unanswered.record_reply(announcement.address)
        manifest, documents = pulled
        self._offered = {v: at for v, at in self._offered.items() if now - at < PULL_TIMEOUT_S}
        self._offered[manifest.version] = now
        self._offer(
            RevisionOffer(
                manifest,
                tuple(documents),
                f"peer {announcement.address[0]}:{announcement.address[1]}",
            )
        )

    def _pull_with_fallback(
        self, held: HeldRevision, address: Address
    ) -> tuple[Manifest, list[bytes]] | None:
        for patches in (True, False):
            try:
                return self._pull(held, address, patches=patches)
            except DocumentError as error:
                _log.info("documents pulled from %s are not usable: %s", address, error)
            except StreamError as error:
                _log.info("configuration could not be pulled from %s: %s", address, error)
                return None
        return None

    def _pull(
        self, held: HeldRevision, address: Address, *, patches: bool
    ) -> tuple[Manifest, list[bytes]]:
        entries = held.manifest.documents if held.manifest and patches else ()
        message: Pull = {"t": "pull", "have": {entry.name: entry.hash for entry in entries}}
        reply = self._peers.exchange(
            address, message, timeout_s=PULL_TIMEOUT_S, frame_timeout_s=FRAME_LIMIT_S
        )
        if reply["t"] != "revision":
            raise StreamError("The peer did not send a revision.")
        for document in reply["documents"]:
            self._metrics.count(PULLS_BYTES, len(document["data"]))
        return read_revision_reply(held, reply)

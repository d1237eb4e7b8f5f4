"""The configuration actor: accepts newer revisions and puts them in force on this node."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from roadpass._actor import Actor
from roadpass.audit import AuditTrail, Kind
from roadpass.errors import DocumentError, IncompleteError
from roadpass.fleet import Fleet
from roadpass.revision import NO_VERSION, HeldRevision, Manifest, Order, Version, compare

MAX_REFUSED = 64

_log = logging.getLogger("roadpass.configuration")


class RevisionOffer(NamedTuple):
    """A revision from the platform or a peer, with the documents that this node lacks."""

    manifest: Manifest
    documents: tuple[bytes, ...]
    source: str


class Store:
    """The node's configuration revision; written by the actor, read by any thread."""

    def __init__(self) -> None:
        self.held = HeldRevision.empty()
        self.refused: dict[Version, str] = {}

    def is_refused(self, version: Version) -> bool:
        """Return whether a version was refused before."""
        return version in self.refused


class Configuration(Actor):
    """Decides about offered revisions and owns the node's configuration.

    Args:
        store: The node's revision.
        audit: The audit trail.
        on_fleet: Puts a new fleet in force; called in order of revisions.
    """

    def __init__(self, store: Store, audit: AuditTrail, on_fleet: Callable[[Fleet], None]) -> None:
        super().__init__()
        self._store = store
        self._audit = audit
        self._on_fleet = on_fleet
        self._incomplete = NO_VERSION

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case RevisionOffer():
                self._on_offer(message)
            case _:
                _log.error("unknown message %r", message)

    def _on_offer(self, offer: RevisionOffer) -> None:
        version = offer.manifest.version
        match compare(self._store.held.version, version):
            case Order.SAME:
                return
            case Order.OLDER:
                self._refuse(version, offer.source, "is older than the one in force")
                return
            case Order.CONFLICT_LOSES:
                self._reject_conflict(version)
                return
            case Order.CONFLICT_WINS:
                self._report_conflict(version, "the offered content takes effect")
            case Order.NEWER:
                pass
        if version in self._store.refused:
            return
        try:
            held, fleet = self._store.held.advance(offer.manifest, offer.documents)
        except IncompleteError as error:
            self._report_incomplete(version, offer.source, str(error))
            return
        except DocumentError as error:
            self._refuse(version, offer.source, str(error))
            return
        self._store.held = held
        self._on_fleet(fleet)
        self._audit.record(
            Kind.REVISION_ACCEPTED,
            _name(version),
            f"from {offer.source}, digest {version.digest[:12]}",
        )

    def _refuse(self, version: Version, source: str, why: str) -> None:
        if self._mark_refused(version, why):
            self._audit.record(Kind.REVISION_REFUSED, _name(version), f"from {source}: {why}")

    def _reject_conflict(self, version: Version) -> None:
        if self._mark_refused(version, "lost against another content with the same number"):
            self._report_conflict(version, "the one in force is kept")

    def _mark_refused(self, version: Version, why: str) -> bool:
        """Refuse a version from now on.

        Returns:
            Whether it was not refused before.
        """
        refused = self._store.refused
        if version in refused:
            return False
        while len(refused) >= MAX_REFUSED:
            del refused[next(iter(refused))]
        refused[version] = why
        return True

    def _report_incomplete(self, version: Version, source: str, why: str) -> None:
        if version != self._incomplete:
            self._incomplete = version
            self._audit.record(Kind.REVISION_REFUSED, _name(version), f"from {source}: {why}")

    def _report_conflict(self, version: Version, what: str) -> None:
        evidence = (
            f"two contents with one number: {self._store.held.version.digest[:12]} in force, "
            f"{version.digest[:12]} offered; {what}"
        )
        self._audit.record(Kind.REVISION_CONFLICT, _name(version), evidence)


def _name(version: Version) -> str:
    return f"revision {version.revision}"

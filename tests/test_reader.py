"""The configuration reader against a fake platform, and the puller against fake peers."""

import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from roadpass import clock, reader
from roadpass.audit import AuditTrail, Kind
from roadpass.configuration import RevisionOffer, Store
from roadpass.errors import DocumentError, PlatformError, StreamError
from roadpass.manifest import Platform
from roadpass.message import Message
from roadpass.metric import Metrics
from roadpass.peer_pool import Address, PeerPool
from roadpass.reader import Puller, Reader, ReaderEvents, Status, VersionAnnounced, choose_readers
from roadpass.revision import Manifest, Version
from roadpass.settings import Settings

EXAMPLE = Path(__file__).parent.parent / "examples" / "settings.jsonc"
LIMIT_S = 10.0
CUT_S = 0.1
"""Seconds that an exchange with a cut-off peer takes in these tests."""


class FakePlatform(Platform):
    """Raises each error of a list in turn and then fails with a `PlatformError`."""

    def __init__(self, errors: list[Exception]) -> None:
        super().__init__("http://127.0.0.1:1", Metrics())
        self.errors = errors
        self.rounds = 0

    def manifest(self) -> Manifest:
        self.rounds += 1
        if self.errors:
            raise self.errors.pop(0)
        raise PlatformError("The platform has no manifest.")


def run(platform: FakePlatform, audit: AuditTrail, until: Callable[[], bool]) -> bool:
    """Run a reader until a condition holds; return whether it held in time."""
    events = ReaderEvents(lambda offer: None, lambda: None, lambda vms: None)
    ref = Reader.start(
        Settings.from_config(EXAMPLE),
        platform,
        Store(),
        lambda: Status(True, 0.0, 1),
        events,
        audit,
        random.Random(1),
        threading.Event(),
    )
    deadline = clock.now() + LIMIT_S
    while not until() and clock.now() < deadline:
        time.sleep(0.02)
    ref.stop(block=False)
    return until()


def test_rounds_go_on_after_any_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Even an unexpected error does not end the polling."""
    monkeypatch.setattr(reader, "RETRY_S", 0.01)
    platform = FakePlatform([RuntimeError("unexpected"), PlatformError("down")])
    assert run(platform, AuditTrail(), lambda: platform.rounds >= 4)


def test_a_manifest_that_stays_invalid_is_audited_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lasting mistake does not fill the audit trail."""
    monkeypatch.setattr(reader, "RETRY_S", 0.01)
    audit = AuditTrail()
    platform = FakePlatform([DocumentError("manifest", ["bad"]) for _ in range(5)])
    assert run(platform, audit, lambda: platform.rounds >= 6)
    refused = [event for event in audit.since() if event.kind is Kind.REVISION_REFUSED]
    assert len(refused) == 1


def test_readers_are_the_same_on_every_node_and_change_little() -> None:
    """The order of the view does not matter; the loss of one node replaces at most one reader."""
    vms = [f"vm-{n}" for n in range(20)]
    chosen = choose_readers(vms, 2)
    assert choose_readers(list(reversed(vms)), 2) == chosen
    rest = [vm for vm in vms if vm != chosen[0]]
    assert choose_readers(rest, 2)[0] == chosen[1]


class CutOffPeers(PeerPool):
    """Peers of which only one can be reached."""

    def __init__(self, reachable: Address) -> None:
        super().__init__({}, ())
        self.reachable = reachable
        self.asked: list[Address] = []

    def exchange(
        self, address: Address, message: Message, *, timeout_s: float, frame_timeout_s: float = 0.0
    ) -> Message:
        self.asked.append(address)
        if address != self.reachable:
            time.sleep(CUT_S)
            raise StreamError("No connection: timed out.")
        manifest: dict[str, Any] = {"revision": 7, "documents": []}
        return {"t": "revision", "manifest": manifest, "documents": []}


def test_a_reachable_peer_is_pulled_from_despite_announcements_of_unreachable_ones() -> None:
    """Many announcements of a cut-off peer cost one attempt in total, not one each."""
    cut = [("127.0.0.1", port) for port in (1, 2)]
    peers = CutOffPeers(("127.0.0.1", 3))
    offered: list[RevisionOffer] = []
    ref = Puller.start(peers, Store(), offered.append, Metrics())
    version = Version(7, "x")
    for _ in range(20):
        for address in cut:
            ref.tell(VersionAnnounced(version, address))
    ref.tell(VersionAnnounced(version, peers.reachable))
    deadline = clock.now() + 20.0 * CUT_S
    while not offered and clock.now() < deadline:
        time.sleep(0.01)
    ref.stop(block=False)
    assert [offer.manifest.revision for offer in offered] == [7]
    assert peers.asked == [*cut, peers.reachable]

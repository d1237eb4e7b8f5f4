"""The reader against a fake platform: rounds go on whatever one of them meets."""

import random
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from roadpass import reader
from roadpass.audit import AuditTrail, Kind
from roadpass.configuration import Store
from roadpass.errors import DocumentError, PlatformError
from roadpass.manifest import Platform
from roadpass.metric import Metrics
from roadpass.reader import Reader, ReaderEvents, Status, choose_readers
from roadpass.revision import Manifest
from roadpass.settings import Settings

EXAMPLE = Path(__file__).parent.parent / "examples" / "settings.jsonc"
LIMIT_S = 10.0


class FakePlatform(Platform):
    """Raises each error of a list in turn, then shows nothing."""

    def __init__(self, errors: list[Exception]) -> None:
        super().__init__("http://127.0.0.1:1", Metrics())
        self.errors = errors
        self.rounds = 0

    def manifest(self) -> Manifest:
        self.rounds += 1
        if self.errors:
            raise self.errors.pop(0)
        raise PlatformError("Nothing there.")


def run(platform: FakePlatform, audit: AuditTrail, until: Callable[[], bool]) -> bool:
    """Run a reader until a condition holds; returns whether it did in time."""
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
    deadline = time.monotonic() + LIMIT_S
    while not until() and time.monotonic() < deadline:
        time.sleep(0.02)
    ref.stop(block=False)
    return until()


def test_rounds_go_on_after_any_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Also after one that nobody foresaw."""
    monkeypatch.setattr(reader, "RETRY_S", 0.01)
    platform = FakePlatform([RuntimeError("unforeseen"), PlatformError("down")])
    assert run(platform, AuditTrail(), lambda: platform.rounds >= 4)


def test_a_manifest_that_stays_bad_is_said_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The trail is not filled by a mistake that lasts."""
    monkeypatch.setattr(reader, "RETRY_S", 0.01)
    audit = AuditTrail()
    platform = FakePlatform([DocumentError("manifest", ["bad"]) for _ in range(5)])
    assert run(platform, audit, lambda: platform.rounds >= 6)
    refused = [event for event in audit.since() if event.kind is Kind.REVISION_REFUSED]
    assert len(refused) == 1


def test_readers_are_the_same_on_every_node_and_change_little() -> None:
    """The order in which a view is held does not matter; one lost node moves one reader."""
    vms = [f"vm-{n}" for n in range(20)]
    chosen = choose_readers(vms, 2)
    assert choose_readers(list(reversed(vms)), 2) == chosen
    rest = [vm for vm in vms if vm != chosen[0]]
    assert choose_readers(rest, 2)[0] == chosen[1]

"""The reader of a source, with a source in memory and peers that answer, fail or are unreachable.

Guards against stale configurations on nodes that receive announcements of peers but cannot connect
to them. In a fleet of 31 nodes, two nodes, each the first reader of its data hall, handled requests
by configurations that had been replaced 5 s and 11 s earlier, although the source had been
reachable for more than 3 s. They made one request per announcement, in order. Each request to a
cut-off peer took 0.35 s, longer than the interval between announcements, so the queue grew and the
nodes' own reads waited behind it: the announcements they acted on were up to 2.8 s old, and one
peer was asked three times in a row.
"""

import logging
import random
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import pytest
from pykka import ActorRef

from roadpass import clock
from roadpass.audit import AuditTrail
from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import Catalogue, Policy
from roadpass.errors import PlatformError, StreamError
from roadpass.fleet import Fleet
from roadpass.journal import Journal
from roadpass.peer_pool import Address
from roadpass.position import START, Position
from roadpass.read_schedule import ReaderRank
from roadpass.source import Changes, ConfigPublished, HistoryLostError, PublishedConfig
from roadpass.source_update import FETCH_TIMEOUT_S, PeerPosition, SourceUpdate
from roadpass.store_reader import StoreEvents, StoreReader

BOUND_S = 2.0
LIMIT_S = 5.0
ANNOUNCEMENTS_PER_S = 20.0
"""Announcements that a node of a data hall of ten receives when a position is new: two a second
from each peer."""
UNAVAILABLE_S = 3.0
UPDATE_LIMIT_S = 0.6
"""Limit in seconds for an update from a peer that answers at once; far less than a hanging call."""
RECOVERY_S = 3.0
"""Seconds after which a node that can reach the source again must have the changes it missed."""
CALL_TIMEOUT_S = 0.2
"""Duration in seconds of a call that the source does not answer."""
PEERS = [f"vm-{number}" for number in range(8)]
NO_LIMITS = CallerLimits(65536, 1 << 20, 3.0, 15.0)


def config(version: int) -> PublishedConfig:
    """Return a configuration without any routes."""
    return PublishedConfig(version, (), {}, NO_LIMITS)


class SourceInMemory:
    """A source whose revisions are its versions; while `unavailable`, all calls fail."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.version = 1
        self.unavailable = False
        self.call_timeout_s = CALL_TIMEOUT_S
        self.calls = 0
        self.lost: list[int] = []
        """Revisions whose history is lost."""

    def publish(self) -> int:
        """Publish the next version."""
        with self.changed:
            self.version += 1
            self.changed.notify_all()
            return self.version

    def stale_snapshot(self) -> Changes:
        """Return an empty snapshot, so that no peers are found."""
        return Changes(START, ())

    def snapshot(self) -> Changes:
        """Return the newest version."""
        return self._answer(0, 0.0, full=True)

    def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for a newer version."""
        return self._answer(after.revision, wait_s)

    def _answer(self, after: int, wait_s: float, *, full: bool = False) -> Changes:
        self.calls += 1
        if self.unavailable:
            time.sleep(self.call_timeout_s)
            raise PlatformError("The source does not answer.")
        if after in self.lost:
            time.sleep(self.call_timeout_s)
            raise HistoryLostError("The history since that revision is lost.")
        with self.changed:
            self.changed.wait_for(lambda: self.version > after, wait_s)
            found = [ConfigPublished(config(self.version))] if self.version > after else []
            return Changes(Position(0, self.version), tuple(found), full=full)


class RunningReader:
    """A running reader, the fleets it publishes, and the announcements of its peers."""

    def __init__(
        self,
        source: SourceInMemory,
        *,
        rank: int,
        ask: Callable[[Address, Position], SourceUpdate],
    ) -> None:
        self._source = source
        self._fleets: list[Fleet] = []
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self.asked: list[str] = []
        self._ask = ask
        events = StoreEvents(
            on_fleet=self._on_fleet,
            on_peers=lambda entries: None,
            on_confirmed=lambda revision, at, own: None,
            fetch_update=self._record_fetch,
            reader_rank=lambda: ReaderRank(rank, len(PEERS)),
        )
        self._ref: ActorRef[StoreReader] = StoreReader.start(
            source,
            Catalogue(Policy()),
            Journal(),
            events,
            AuditTrail(),
            random.Random(1),
            bound_s=BOUND_S,
        )

    def announce(self, vms: Sequence[str], revision: int = 0) -> None:
        """Have peers announce a revision in turn, by default the newest one of the source."""
        threading.Thread(target=self._announce, args=(vms, revision), daemon=True).start()

    def wait_for(self, version: int, limit_s: float) -> float:
        """Wait until a version is in force and return the seconds that took."""
        started_at = clock.now()
        with self._changed:
            in_time = self._changed.wait_for(lambda: self.version >= version, limit_s)
        assert in_time, f"version {version} is not in force after {limit_s} s"
        return clock.now() - started_at

    @property
    def version(self) -> int:
        """The version in force."""
        return self._fleets[-1].revision if self._fleets else 0

    def stop(self) -> None:
        """Stop the reader and the announcements."""
        self._stopping.set()
        self._ref.stop(block=False)

    def _on_fleet(self, fleet: Fleet, _: PublishedConfig) -> None:
        with self._changed:
            self._fleets.append(fleet)
            self._changed.notify_all()

    def _record_fetch(self, address: Address, after: Position) -> SourceUpdate:
        self.asked.append(address[0])
        return self._ask(address, after)

    def _announce(self, vms: Sequence[str], revision: int) -> None:
        turn = 0
        while not self._stopping.wait(1.0 / ANNOUNCEMENTS_PER_S):
            vm = vms[turn % len(vms)]
            position = Position(0, revision or self._source.version)
            self._ref.tell(PeerPosition(position, clock.now(), vm, (vm, 1)))
            turn += 1


def cut_off(_: Address, __: Position) -> SourceUpdate:
    """Act as a peer that no packet reaches: a request to it lasts until its timeout."""
    time.sleep(FETCH_TIMEOUT_S)
    raise StreamError("No connection: timed out.")


@pytest.fixture
def started() -> Iterator[Callable[..., RunningReader]]:
    """Return a function that starts a reader; all readers are stopped at the end."""
    readers: list[RunningReader] = []

    def start(source: SourceInMemory, **options: Any) -> RunningReader:
        readers.append(RunningReader(source, **options))
        return readers[-1]

    yield start
    for reader in readers:
        reader.stop()


def test_each_read_is_logged_with_its_request_and_result(
    started: Callable[..., RunningReader], caplog: pytest.LogCaptureFixture
) -> None:
    """The line has the revisions before and after, the configuration, its age and the duration."""
    caplog.set_level(logging.INFO, "roadpass.reader")
    source = SourceInMemory()
    reader = started(source, rank=0, ask=cut_off)
    reader.wait_for(1, LIMIT_S)
    source.publish()
    reader.wait_for(2, LIMIT_S)
    lines = [r.__dict__["decision"] for r in caplog.records if r.getMessage() == "reading"]
    matching = [line for line in lines if line["config"] == 2]
    assert [(line["after"], line["store_revision"], line["config_held"]) for line in matching] == [
        (1, 2, 1)
    ]
    assert matching[0]["told_by"] == "store"
    assert 0.0 <= matching[0]["took_s"] <= BOUND_S


@pytest.mark.parametrize("rank", [0, 1, 5])
def test_announcements_of_unreachable_peers_delay_no_read(
    started: Callable[..., RunningReader], rank: int
) -> None:
    """A node that hears its peers but cannot reach them reads the source itself in time."""
    source = SourceInMemory()
    reader = started(source, rank=rank, ask=cut_off)
    reader.wait_for(1, LIMIT_S)
    reader.announce(PEERS)
    source.unavailable = True
    missed = source.publish()
    time.sleep(UNAVAILABLE_S)
    source.unavailable = False
    reader.wait_for(missed, RECOVERY_S)
    for _ in range(3):
        reader.wait_for(source.publish(), BOUND_S)


def test_a_reachable_peer_is_found_among_unreachable_ones(
    started: Callable[..., RunningReader],
) -> None:
    """One reachable peer of eight is enough for a node that cannot reach the source."""

    def ask(address: Address, _: Position) -> SourceUpdate:
        return full_update(source.version) if address[0] == PEERS[-1] else cut_off(address, START)

    source = SourceInMemory()
    reader = started(source, rank=1, ask=ask)
    reader.wait_for(1, LIMIT_S)
    source.unavailable = True
    reader.announce(PEERS)
    for _ in range(3):
        reader.wait_for(source.publish(), LIMIT_S)


# Guards against an announcement of a peer that is behind being taken as a confirmation.
def test_a_peer_that_is_behind_confirms_nothing(started: Callable[..., RunningReader]) -> None:
    """Even if its announcement is recent, this node reads the source when no other confirms it."""
    source = SourceInMemory()
    source.version = 3
    reader = started(source, rank=5, ask=cut_off)
    reader.wait_for(3, LIMIT_S)
    reader.announce(PEERS[:1], revision=2)
    for _ in range(2):
        reader.wait_for(source.publish(), BOUND_S)


def test_an_unresponsive_peer_is_not_asked_on_each_of_its_announcements(
    started: Callable[..., RunningReader],
) -> None:
    """It is skipped for a second, so that it takes at most a third of the fetcher's time."""
    source = SourceInMemory()
    reader = started(source, rank=1, ask=cut_off)
    reader.wait_for(1, LIMIT_S)
    source.unavailable = True
    source.publish()
    reader.announce(PEERS[:1])
    time.sleep(2.5)
    assert 1 <= len(reader.asked) <= 3


def full_update(version: int) -> SourceUpdate:
    """Return the full snapshot of a peer that has a version."""
    found = ConfigPublished(config(version))
    return SourceUpdate(Changes(Position(0, version), (found,), full=True), clock.now())


@pytest.mark.parametrize("rank", [0, 1])
def test_a_call_that_hangs_delays_no_updates_of_peers(
    started: Callable[..., RunningReader], rank: int
) -> None:
    """While a call is in flight, updates are fetched from peers and put in force."""
    source = SourceInMemory()
    reader = started(source, rank=rank, ask=lambda _, __: full_update(source.version))
    reader.wait_for(1, LIMIT_S)
    reader.announce(PEERS)
    source.unavailable, source.call_timeout_s = True, 2.0
    for _ in range(4):
        time.sleep(0.9)
        reader.wait_for(source.publish(), UPDATE_LIMIT_S)


def test_a_history_lost_before_the_current_position_is_ignored(
    started: Callable[..., RunningReader], caplog: pytest.LogCaptureFixture
) -> None:
    """The call used an older revision, and peers have sent a newer one since: it is kept."""
    caplog.set_level(logging.INFO, "roadpass.reader")
    source = SourceInMemory()
    reader = started(source, rank=0, ask=lambda _, __: full_update(source.version))
    reader.wait_for(1, LIMIT_S)
    source.lost, source.call_timeout_s = [1], 1.5
    time.sleep(1.0)
    source.version = 2
    reader.announce(PEERS)
    reader.wait_for(2, LIMIT_S)
    time.sleep(2.0 * source.call_timeout_s)
    assert reader.version == 2
    lines = [r.__dict__["decision"] for r in caplog.records if r.getMessage() == "reading"]
    assert not [line for line in lines[1:] if line["whole"] and line["told_by"] == "store"]
    overtaken = [r for r in caplog.records if r.getMessage() == "reading-overtaken"]
    assert [r.__dict__["decision"]["asked_after"] for r in overtaken] == [1]


def test_unexpected_errors_end_neither_calls_nor_requests_to_peers(
    started: Callable[..., RunningReader], monkeypatch: pytest.MonkeyPatch
) -> None:
    """They count as failures, and the next call and the next request are made."""
    source = SourceInMemory()
    unexpected = [RuntimeError("a call"), RuntimeError("a request")]

    def ask(_: Address, __: Position) -> SourceUpdate:
        if unexpected:
            raise unexpected.pop()
        return full_update(source.version)

    def watch(_: Position, __: float) -> Changes:
        if unexpected:
            raise unexpected.pop()
        raise PlatformError("The source does not answer.")

    reader = started(source, rank=0, ask=ask)
    reader.wait_for(1, LIMIT_S)
    monkeypatch.setattr(source, "watch", watch)
    reader.announce(PEERS)
    reader.wait_for(source.publish(), LIMIT_S)
    assert unexpected == []

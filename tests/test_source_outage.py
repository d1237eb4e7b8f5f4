"""Outages of a source, and what is none, with readers over a source in memory.

Guards against the failure "a cut watch": it counted as an outage of the source, at every node that
heard of it, and all sent requests to a withdrawn target until 2.5 s later, where 2 s are allowed.
"""

import math
import random
import threading
import time
from collections.abc import Callable, Iterator
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
from roadpass.source import (
    Changes,
    ConfigPublished,
    PublishedConfig,
    PublishedService,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
)
from roadpass.source_outage import MIN_OUTAGE_S, OutageDetector
from roadpass.source_update import PeerPosition, SourceUpdate
from roadpass.store_reader import StoreEvents, StoreReader

BOUND_S = 2.0
"""Seconds within which a withdrawn target must get no more requests."""
REPUBLISH_S = 1.9
"""Seconds after an outage in which entries that lapsed in it are written again."""
LAPSE_S = 3.2
"""Seconds of an outage in which an entry lapses."""
WAITING_S = 0.1
"""Shortest wait of a watch that can be cut."""
LIMIT_S = 5.0
CONFIG = PublishedConfig(1, (), {"s": PublishedService("s", 9)}, CallerLimits())
ENTRIES = {
    name: TargetEntry(name, "s", f"10.0.0.{name[1]}:80", "h", 2, False) for name in ("t1", "t2")
}
PEER = "vm-9"


class SourceOfTargets:
    """A source of two targets, whose watches can be cut and whose calls can fail.

    Attributes:
        failing: Calls that fail from now on, infinite for an outage.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.targets = dict(ENTRIES)
        self.events: list[tuple[int, TargetPublished | TargetWithdrawn]] = []
        self.failing = 0.0
        self.failures = 0
        self.cuts = 0
        self.watching = 0

    def write(self, instance: str) -> None:
        """Write the entry of a target, or remove it if it has one."""
        with self.changed:
            self.revision += 1
            if self.targets.pop(instance, None) is None:
                self.targets[instance] = ENTRIES[instance]
                self.events.append((self.revision, TargetPublished(ENTRIES[instance])))
            else:
                self.events.append((self.revision, TargetWithdrawn(instance)))
            self.changed.notify_all()

    def cut_watch(self) -> None:
        """Cut the watch that waits now, or the next one; calls that hardly wait are not cut."""
        with self.changed:
            self.changed.wait_for(lambda: self.watching > 0, LIMIT_S)
            self.cuts += 1
            self.changed.notify_all()

    def fail_calls(self, number: float = math.inf) -> None:
        """Have so many calls fail from now on, also one that waits."""
        with self.changed:
            self.failing = number
            self.changed.notify_all()

    def wait_for_failure(self) -> None:
        """Wait until a call has failed."""
        with self.changed:
            before = self.failures
            assert self.changed.wait_for(lambda: self.failures > before, LIMIT_S)

    def stale_snapshot(self) -> Changes:
        """Return an empty snapshot, so that no peers are found."""
        return Changes(START, ())

    def snapshot(self) -> Changes:
        """Return everything."""
        with self.changed:
            self._fail()
            return self.full()

    def full(self) -> Changes:
        """Return everything, as a peer does."""
        entries = (TargetPublished(entry) for entry in self.targets.values())
        return Changes(Position(0, self.revision), (ConfigPublished(CONFIG), *entries), full=True)

    def since(self, after: Position) -> Changes:
        """Return the changes after a position."""
        found = tuple(change for revision, change in self.events if revision > after.revision)
        return Changes(Position(0, self.revision), found)

    def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for changes."""
        with self.changed:
            self._fail()
            waits = wait_s >= WAITING_S
            self.watching += waits
            self.changed.notify_all()
            before = self.cuts
            self.changed.wait_for(
                lambda: self.revision > after.revision or self.cuts > before or self.failing,
                wait_s,
            )
            self.watching -= waits
            if waits and self.cuts > before:
                raise PlatformError("The watch was cut.")
            self._fail()
            return self.since(after)

    def _fail(self) -> None:
        if self.failing:
            self.failing -= 1
            self.failures += 1
            self.changed.notify_all()
            raise PlatformError("The source does not answer.")


class RunningReader:
    """A reader, and when each target left its fleet."""

    def __init__(self, source: Any, rank: int, peer: SourceOfTargets) -> None:
        self._peer = peer
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self.fleet = Fleet.empty()
        self.losses: list[str] = []
        events = StoreEvents(
            on_fleet=self._on_fleet,
            on_peers=lambda entries: None,
            on_confirmed=lambda position, at, own: None,
            fetch_update=self._fetch,
            reader_rank=lambda: ReaderRank(rank, 1),
        )
        self._ref: ActorRef[StoreReader] = StoreReader.start(
            source, Catalogue(Policy()), Journal(), events, AuditTrail(), random.Random(1)
        )

    def wait_for(self, names: set[str], limit_s: float = LIMIT_S) -> float:
        """Wait until the fleet has just these targets; return the seconds that took."""
        began = clock.now()
        with self._changed:
            done = self._changed.wait_for(lambda: set(self.fleet.targets) == names, limit_s)
        assert done, f"{set(self.fleet.targets)} after {limit_s} s"
        return clock.now() - began

    def hear_peer(self) -> None:
        """Have a peer announce every tenth of a second what it has been told by the source."""
        threading.Thread(target=self._announce, daemon=True).start()

    def stop(self) -> None:
        """Stop the reader and its peer."""
        self._stopping.set()
        self._ref.stop(block=False)

    def _announce(self) -> None:
        while not self._stopping.wait(0.1):
            if not self._peer.failing:
                position = Position(0, self._peer.revision)
                self._ref.tell(PeerPosition(position, clock.now(), PEER, (PEER, 1)))

    def _fetch(self, _: Address, after: Position) -> SourceUpdate:
        if self._peer.failing:
            raise StreamError("The peer has nothing newer.")
        changes = self._peer.since(after) if after > START else self._peer.full()
        return SourceUpdate(changes, clock.now())

    def _on_fleet(self, fleet: Fleet, _: PublishedConfig) -> None:
        with self._changed:
            self.losses += set(self.fleet.targets) - set(fleet.targets)
            self.fleet = fleet
            self._changed.notify_all()


Start = Callable[..., RunningReader]


@pytest.fixture
def start() -> Iterator[Start]:
    """Return a function that starts a reader of a source and a peer."""
    readers: list[RunningReader] = []

    def begin(source: Any, rank: int = 0, peer: SourceOfTargets | None = None) -> RunningReader:
        reader = RunningReader(source, rank, peer or source)
        readers.append(reader)
        reader.wait_for(set(ENTRIES))
        return reader

    yield begin
    for reader in readers:
        reader.stop()


def test_cut_watch_keeps_no_withdrawn_target(start: Start) -> None:
    """Guards against the failure "a cut watch": the interface allows to cut one at any time."""
    source = SourceOfTargets()
    reader = start(source)
    source.cut_watch()
    time.sleep(0.05)
    source.write("t1")
    reader.wait_for({"t2"}, BOUND_S)


def test_every_cut_watch_keeps_no_withdrawn_target(start: Start) -> None:
    """Guards against a store that cuts all watches, but answers what it can answer at once."""
    source = SourceOfTargets()
    reader = start(source)
    until = clock.now() + LAPSE_S
    while clock.now() < until:
        source.cut_watch()
    source.write("t1")
    reader.wait_for({"t2"}, BOUND_S)


def test_error_of_one_call_keeps_no_withdrawn_target(start: Start) -> None:
    """Guards against taking two failed calls in a row for an outage in which entries lapse."""
    source = SourceOfTargets()
    reader = start(source)
    source.fail_calls(2)
    time.sleep(0.1)
    source.write("t1")
    reader.wait_for({"t2"}, BOUND_S)


def test_vm_without_a_way_to_the_source_keeps_no_withdrawn_target(start: Start) -> None:
    """Guards against taking one's own cut way for an outage while peers are answered."""
    own, source = SourceOfTargets(), SourceOfTargets()
    reader = start(own, peer=source)
    own.fail_calls()
    reader.hear_peer()
    time.sleep(LAPSE_S)
    own.wait_for_failure()
    source.write("t1")
    reader.wait_for({"t2"}, BOUND_S)


@pytest.mark.parametrize("rank", [0, 1, 5])
def test_target_whose_entry_lapsed_in_an_outage_stays(start: Start, rank: int) -> None:
    """Guards against taking targets out of service that write their entries again at once."""
    source = SourceOfTargets()
    reader = start(source, rank)
    reader.hear_peer()
    source.fail_calls()
    time.sleep(LAPSE_S)
    source.write("t1")
    source.failing = 0.0
    time.sleep(REPUBLISH_S)
    source.write("t1")
    time.sleep(1.0)
    assert reader.losses == []


def test_target_that_is_not_back_after_an_outage_goes(start: Start) -> None:
    """Guards against targets that are kept in service for good once there was an outage."""
    source = SourceOfTargets()
    reader = start(source)
    source.fail_calls()
    time.sleep(LAPSE_S)
    source.write("t1")
    source.failing = 0.0
    reader.wait_for({"t2"}, LIMIT_S)


def test_what_is_an_outage() -> None:
    """Guards against an outage without a failed call, by a call of before, or that is too short."""
    detector = OutageDetector()
    detector.record_failure(0.0)
    assert not detector.record_answer(10.0), "the first answer ends nothing"
    assert not detector.record_answer(20.0), "no call failed"
    detector.record_failure(19.0)
    assert not detector.record_answer(20.0 + MIN_OUTAGE_S), "it was made before the last answer"
    detector.record_failure(30.0)
    assert not detector.record_answer(24.0), "a later answer is known"
    assert detector.record_answer(30.1)
    assert not detector.record_answer(30.2)

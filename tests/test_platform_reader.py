"""A reader that follows the platform's store, tested against a stand-in for it."""

import random
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from pykka import ActorRef

from roadpass import clock
from roadpass.audit import AuditTrail
from roadpass.catalogue import Catalogue, Policy
from roadpass.errors import StreamError
from roadpass.fleet import Fleet
from roadpass.journal import Journal
from roadpass.peer_pool import Address
from roadpass.position import START, Position
from roadpass.read_schedule import TAKEOVER_SHARE, ReaderRank
from roadpass.source import PublishedConfig
from roadpass.source_update import PeerPosition, SourceUpdate
from roadpass.store_reader import StoreEvents, StoreReader
from stand_ins.store import config, entry
from tests.store_bench import ROW, Bench

LIMIT_S = 5.0
BOUND_S = 2.0
ALONE = ReaderRank()


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Return a started store and a client of it."""
    made = Bench()
    made.start()
    yield made
    made.server.stop()


class FleetRecorder:
    """Records the fleets that a reader publishes."""

    def __init__(self) -> None:
        self.fleets: list[Fleet] = []
        self.changed = threading.Condition()

    def on_fleet(self, fleet: Fleet, _: PublishedConfig) -> None:
        """Record a fleet."""
        with self.changed:
            self.fleets.append(fleet)
            self.changed.notify_all()

    def wait_for_calls(self, bench: Bench, calls: int) -> None:
        """Wait until the store has received a number of calls."""
        deadline = clock.now() + LIMIT_S
        while bench.state.calls < calls:
            assert clock.now() < deadline, "not in time"
            time.sleep(0.005)

    def wait_for(self, condition: Callable[[Fleet], bool], timeout_s: float = LIMIT_S) -> None:
        """Wait until a condition holds for the newest fleet."""
        deadline = clock.now() + timeout_s
        with self.changed:
            while not (self.fleets and condition(self.fleets[-1])):
                assert self.changed.wait(deadline - clock.now()), "not in time"


def unreachable_peer(_: Address, __: Position) -> SourceUpdate:
    """Act as a peer that cannot be reached."""
    raise StreamError("The peer is unreachable.")


def start_reader(
    bench: Bench,
    recorder: FleetRecorder,
    audit: AuditTrail,
    *,
    reader_rank: ReaderRank = ALONE,
    ask: Callable[[Address, Position], SourceUpdate] = unreachable_peer,
    confirmed: list[tuple[Position, bool]] | None = None,
) -> ActorRef[StoreReader]:
    """Start a reader of the store with a place among the readers of its data hall."""
    confirmations = [] if confirmed is None else confirmed
    events = StoreEvents(
        on_fleet=recorder.on_fleet,
        on_peers=lambda entries: None,
        on_confirmed=lambda position, at, own: confirmations.append((position, own)),
        fetch_update=ask,
        reader_rank=lambda: reader_rank,
    )
    catalogue = Catalogue(Policy())
    return StoreReader.start(
        bench.client, catalogue, Journal(), events, audit, random.Random(1), bound_s=BOUND_S
    )


def test_the_reader_follows_through_an_outage_and_a_lost_history(bench: Bench) -> None:
    """The state survives; changes made meanwhile take effect later, and no version decreases."""
    recorder = FleetRecorder()
    audit = AuditTrail()
    ref = start_reader(bench, recorder, audit)
    try:
        recorder.wait_for(lambda fleet: fleet.revision == 4 and set(fleet.targets) == {"i-1"})
        bench.state.status = 503
        bench.state.put("op/config", config(6, [ROW]))
        bench.state.put("servers/i-2", entry("10.0.0.2:80"))
        bench.state.put("servers/bad", b"no entry")
        bench.state.discard_history()
        time.sleep(0.5)
        assert {fleet.revision for fleet in recorder.fleets} == {4}
        bench.state.status = 200
        recorder.wait_for(lambda fleet: fleet.revision == 6 and "i-2" in fleet.targets)
        bench.state.put("op/config", config(5, [ROW]))
        bench.state.delete("servers/i-2")
        recorder.wait_for(lambda fleet: "i-2" not in fleet.targets)
    finally:
        ref.stop()
    revisions = [fleet.revision for fleet in recorder.fleets]
    assert revisions == sorted(revisions)
    assert any(event.subject == "servers/bad" for event in audit.since())


# Guards against a lost history being treated as an outage, in which entries of targets lapse.
def test_a_target_withdrawn_with_the_history_gets_no_work_after_the_bound(bench: Bench) -> None:
    """The store kept answering, so the entry did not lapse because of an outage."""
    recorder = FleetRecorder()
    bench.state.put("servers/i-2", entry("10.0.0.2:80"))
    ref = start_reader(bench, recorder, AuditTrail())
    try:
        recorder.wait_for(lambda fleet: "i-2" in fleet.targets)
        with bench.state.changed:
            bench.state.delete("servers/i-2")
            bench.state.discard_history()
        recorder.wait_for(lambda fleet: "i-2" not in fleet.targets, BOUND_S)
    finally:
        ref.stop()


def test_an_invalid_entry_is_audited_once_per_change(bench: Bench) -> None:
    """It is not audited on each read: a store may contain thousands of such entries."""
    audit = AuditTrail()
    recorder = FleetRecorder()
    ref = start_reader(bench, recorder, audit)

    def audited() -> list[str]:
        return [event.subject for event in audit.since() if event.subject == "servers/bad"]

    def put(value: Any, marker: str) -> None:
        bench.state.put("servers/bad", value)
        bench.state.put(f"servers/{marker}", entry("10.0.0.9:80"))
        recorder.wait_for(lambda fleet: marker in fleet.targets)

    try:
        recorder.wait_for(lambda fleet: fleet.revision == 4)
        put(b"no entry", "i-2")
        put(b"no entry", "i-3")
        assert len(audited()) == 1
        bench.state.discard_history()
        put(b"no entry", "i-4")
        assert len(audited()) == 1
        put({}, "i-5")
        assert len(audited()) == 2
        put(entry("10.0.0.8:80"), "i-6")
        put({}, "i-7")
        assert len(audited()) == 3
    finally:
        ref.stop()


def test_a_change_is_in_force_in_time_in_a_store_full_of_other_entries(bench: Bench) -> None:
    """Ten thousand invalid entries are read without delaying it beyond the bound."""
    audit = AuditTrail()
    recorder = FleetRecorder()
    for number in range(10_000):
        bench.state.put(f"servers/x-{number}", b'{"Address": 7}')
    bench.state.page_items = 500
    ref = start_reader(bench, recorder, audit)
    try:
        recorder.wait_for(lambda fleet: set(fleet.targets) == {"i-1"})
        bench.state.put("servers/i-2", entry("10.0.0.2:80"))
        recorder.wait_for(lambda fleet: "i-2" in fleet.targets, timeout_s=BOUND_S)
    finally:
        ref.stop()


def test_an_older_update_does_not_replace_the_snapshot_after_a_lost_history(
    bench: Bench,
) -> None:
    """A peer that has not noticed the loss still offers its old state, which must not be used."""
    recorder = FleetRecorder()
    asked: list[Position] = []
    held = bench.client.snapshot()

    def ask(_: Address, after: Position) -> SourceUpdate:
        asked.append(after)
        return SourceUpdate(held, clock.now())

    ref = start_reader(bench, recorder, AuditTrail(), ask=ask)
    try:
        recorder.wait_for(lambda fleet: fleet.revision == 4)
        bench.state.put("op/config", config(6, [ROW]))
        bench.state.discard_history()
        deadline = clock.now() + LIMIT_S
        while not any(fleet.revision == 6 for fleet in recorder.fleets):
            assert clock.now() < deadline, "not in time"
            ref.tell(PeerPosition(held.position, clock.now(), "vm-2", ("127.0.0.1", 1)))
            time.sleep(0.005)
    finally:
        ref.stop()
    assert asked == []


def test_after_a_lost_history_a_full_snapshot_of_a_peer_is_enough(bench: Bench) -> None:
    """It continues beyond the lost position, so this node need not read the store itself."""
    recorder = FleetRecorder()
    update = SourceUpdate(bench.client.snapshot(), 0.0)

    def ask(_: Address, after: Position) -> SourceUpdate:
        return update

    ref = start_reader(bench, recorder, AuditTrail(), ask=ask)
    try:
        recorder.wait_for(lambda fleet: fleet.revision == 4)
        bench.state.put("op/config", config(6, [ROW]))
        update = SourceUpdate(bench.client.snapshot(), clock.now())
        bench.state.discard_history()
        bench.state.range = lambda prefix, after: {"items": None}  # type: ignore[method-assign]
        deadline = clock.now() + LIMIT_S
        while not any(fleet.revision == 6 for fleet in recorder.fleets):
            assert clock.now() < deadline, "not in time"
            ref.tell(
                PeerPosition(update.changes.position, update.confirmed_at, "vm-2", ("127.0.0.1", 1))
            )
            time.sleep(0.01)
    finally:
        ref.stop()


def test_a_node_with_an_up_to_date_peer_reads_nothing_itself(bench: Bench) -> None:
    """The peer's confirmations are enough, and missing changes are fetched from that peer."""
    recorder = FleetRecorder()
    asked: list[Position] = []

    def ask(_: Address, after: Position) -> SourceUpdate:
        asked.append(after)
        return SourceUpdate(bench.client.snapshot(), clock.now())

    second = ReaderRank(rank=1, peers=2)
    ref = start_reader(bench, recorder, AuditTrail(), reader_rank=second, ask=ask)
    try:
        recorder.wait_for_calls(bench, 1)
        calls_before = bench.state.calls
        for _ in range(20):
            ref.tell(
                PeerPosition(
                    Position(0, bench.state.revision), clock.now(), "vm-2", ("127.0.0.1", 1)
                )
            )
            time.sleep(0.02)
        recorder.wait_for(lambda fleet: fleet.revision == 4)
        snapshot_calls = bench.state.calls - calls_before
    finally:
        ref.stop()
    assert asked == [START]
    assert snapshot_calls == 1, "only the call made by the peer in this test is expected"


@pytest.mark.parametrize("rank", [1, 2, 9])
def test_a_node_without_confirmations_reads_in_time(bench: Bench, rank: int) -> None:
    """Whichever nodes were cut off or frozen, a change is in force within the bound."""
    recorder = FleetRecorder()
    confirmed: list[tuple[Position, bool]] = []
    reader_rank = ReaderRank(rank=rank, peers=20)
    ref = start_reader(bench, recorder, AuditTrail(), reader_rank=reader_rank, confirmed=confirmed)
    try:
        recorder.wait_for(lambda fleet: fleet.revision == 4)
        for version in (7, 9):
            bench.state.put("op/config", config(version, [ROW]))
            recorder.wait_for(lambda fleet, v=version: fleet.revision == v, BOUND_S)  # type: ignore[misc]
    finally:
        ref.stop()
    assert (Position(0, bench.state.revision), True) in confirmed


def test_the_first_reader_confirms_that_nothing_is_newer(bench: Bench) -> None:
    """It does so often enough that the second in the order need not read."""
    recorder = FleetRecorder()
    confirmed: list[tuple[Position, bool]] = []
    ref = start_reader(bench, recorder, AuditTrail(), confirmed=confirmed)
    try:
        recorder.wait_for(lambda fleet: fleet.revision == 4)
        confirmed.clear()
        calls_before = bench.state.calls
        time.sleep(2.0 * TAKEOVER_SHARE * BOUND_S)
    finally:
        ref.stop()
    assert 2 <= len(confirmed) <= 5
    assert bench.state.calls - calls_before <= 5

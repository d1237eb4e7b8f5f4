"""A reader that follows the platform's store, against a stand-in of it."""

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
from roadpass.news import News, PeerPosition
from roadpass.peer import Address
from roadpass.position import START, Position
from roadpass.reading_turn import PATIENCE, Standing
from roadpass.source import PublishedConfig
from roadpass.store_reader import StoreEvents, StoreReader
from stand_ins.store import config, entry
from tests.store_bench import ROW, Bench

LIMIT_S = 5.0
BOUND_S = 2.0
ALONE = Standing()


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Start a store."""
    made = Bench()
    made.start()
    yield made
    made.server.stop()


class Followed:
    """Notes the fleets that a reader hands over."""

    def __init__(self) -> None:
        self.fleets: list[Fleet] = []
        self.changed = threading.Condition()

    def on_fleet(self, fleet: Fleet, _: PublishedConfig) -> None:
        """Note one."""
        with self.changed:
            self.fleets.append(fleet)
            self.changed.notify_all()

    def wait_for_calls(self, bench: Bench, calls: int) -> None:
        """Wait until the store was called so many times."""
        deadline = clock.now() + LIMIT_S
        while bench.state.calls < calls:
            assert clock.now() < deadline, "not in time"
            time.sleep(0.005)

    def wait_for(self, holds: Callable[[Fleet], bool], timeout_s: float = LIMIT_S) -> None:
        """Wait until the newest fleet is as wanted."""
        deadline = clock.now() + timeout_s
        with self.changed:
            while not (self.fleets and holds(self.fleets[-1])):
                assert self.changed.wait(deadline - clock.now()), "not in time"


def nobody(_: Address, __: Position) -> News:
    """Answer for a peer that cannot be reached."""
    raise StreamError("Nobody is there.")


def start_reader(
    bench: Bench,
    followed: Followed,
    audit: AuditTrail,
    *,
    standing: Standing = ALONE,
    ask: Callable[[Address, Position], News] = nobody,
    confirmed: list[tuple[Position, bool]] | None = None,
) -> ActorRef[StoreReader]:
    """Start a reader of the store at some place among the readers of its data hall."""
    told = [] if confirmed is None else confirmed
    events = StoreEvents(
        on_fleet=followed.on_fleet,
        on_peers=lambda entries: None,
        on_confirmed=lambda position, at, own: told.append((position, own)),
        ask=ask,
        standing=lambda: standing,
    )
    catalogue = Catalogue(Policy())
    return StoreReader.start(
        bench.client, catalogue, Journal(), events, audit, random.Random(1), bound_s=BOUND_S
    )


def test_the_reader_follows_through_an_outage_and_a_lost_history(bench: Bench) -> None:
    """What was held stays; what changed meanwhile is in force after, and no version goes back."""
    followed = Followed()
    audit = AuditTrail()
    ref = start_reader(bench, followed, audit)
    try:
        followed.wait_for(lambda fleet: fleet.revision == 4 and set(fleet.targets) == {"i-1"})
        bench.state.status = 503
        bench.state.put("op/config", config(6, [ROW]))
        bench.state.put("servers/i-2", entry("10.0.0.2:80"))
        bench.state.put("servers/bad", b"no entry")
        bench.state.discard_history()
        time.sleep(0.5)
        assert {fleet.revision for fleet in followed.fleets} == {4}
        bench.state.status = 200
        followed.wait_for(lambda fleet: fleet.revision == 6 and "i-2" in fleet.targets)
        bench.state.put("op/config", config(5, [ROW]))
        bench.state.delete("servers/i-2")
        followed.wait_for(lambda fleet: "i-2" not in fleet.targets)
    finally:
        ref.stop()
    revisions = [fleet.revision for fleet in followed.fleets]
    assert revisions == sorted(revisions)
    assert any(event.subject == "servers/bad" for event in audit.since())


# Guards against a lost history that is taken for an outage, in which entries of targets lapse.
def test_a_target_withdrawn_with_the_history_gets_no_work_after_the_bound(bench: Bench) -> None:
    """The store answers, so it was no outage that ended the entry."""
    followed = Followed()
    bench.state.put("servers/i-2", entry("10.0.0.2:80"))
    ref = start_reader(bench, followed, AuditTrail())
    try:
        followed.wait_for(lambda fleet: "i-2" in fleet.targets)
        with bench.state.changed:
            bench.state.delete("servers/i-2")
            bench.state.discard_history()
        followed.wait_for(lambda fleet: "i-2" not in fleet.targets, BOUND_S)
    finally:
        ref.stop()


def test_of_an_entry_that_makes_no_sense_there_is_a_line_for_each_change(bench: Bench) -> None:
    """Not one for each reading: a store may hold thousands of them."""
    audit = AuditTrail()
    followed = Followed()
    ref = start_reader(bench, followed, audit)

    def told() -> list[str]:
        return [event.subject for event in audit.since() if event.subject == "servers/bad"]

    def put(value: Any, marker: str) -> None:
        bench.state.put("servers/bad", value)
        bench.state.put(f"servers/{marker}", entry("10.0.0.9:80"))
        followed.wait_for(lambda fleet: marker in fleet.targets)

    try:
        followed.wait_for(lambda fleet: fleet.revision == 4)
        put(b"no entry", "i-2")
        put(b"no entry", "i-3")
        assert len(told()) == 1
        bench.state.discard_history()
        put(b"no entry", "i-4")
        assert len(told()) == 1
        put({}, "i-5")
        assert len(told()) == 2
        put(entry("10.0.0.8:80"), "i-6")
        put({}, "i-7")
        assert len(told()) == 3
    finally:
        ref.stop()


def test_a_store_full_of_entries_of_others_costs_no_bound(bench: Bench) -> None:
    """Ten thousand of them are read, and a change is in force in time."""
    audit = AuditTrail()
    followed = Followed()
    for number in range(10_000):
        bench.state.put(f"servers/x-{number}", b'{"Address": 7}')
    bench.state.page_items = 500
    ref = start_reader(bench, followed, audit)
    try:
        followed.wait_for(lambda fleet: set(fleet.targets) == {"i-1"})
        bench.state.put("servers/i-2", entry("10.0.0.2:80"))
        followed.wait_for(lambda fleet: "i-2" in fleet.targets, timeout_s=BOUND_S)
    finally:
        ref.stop()


def test_an_older_word_does_not_stand_in_for_the_reading_after_a_lost_history(
    bench: Bench,
) -> None:
    """A peer that has not noticed yet tells on what it holds: from there no history goes on."""
    followed = Followed()
    asked: list[Position] = []
    held = bench.client.snapshot()

    def ask(_: Address, after: Position) -> News:
        asked.append(after)
        return News(held, clock.now())

    ref = start_reader(bench, followed, AuditTrail(), ask=ask)
    try:
        followed.wait_for(lambda fleet: fleet.revision == 4)
        bench.state.put("op/config", config(6, [ROW]))
        bench.state.discard_history()
        deadline = clock.now() + LIMIT_S
        while not any(fleet.revision == 6 for fleet in followed.fleets):
            assert clock.now() < deadline, "not in time"
            ref.tell(PeerPosition(held.position, clock.now(), "vm-2", ("127.0.0.1", 1)))
            time.sleep(0.005)
    finally:
        ref.stop()
    assert asked == []


def test_after_a_lost_history_the_whole_reading_of_a_peer_will_do(bench: Bench) -> None:
    """It goes on beyond what was lost, so this node need not read itself."""
    followed = Followed()
    whole = News(bench.client.snapshot(), 0.0)

    def ask(_: Address, after: Position) -> News:
        return whole

    ref = start_reader(bench, followed, AuditTrail(), ask=ask)
    try:
        followed.wait_for(lambda fleet: fleet.revision == 4)
        bench.state.put("op/config", config(6, [ROW]))
        whole = News(bench.client.snapshot(), clock.now())
        bench.state.discard_history()
        bench.state.range = lambda prefix, after: {"items": None}  # type: ignore[method-assign]
        deadline = clock.now() + LIMIT_S
        while not any(fleet.revision == 6 for fleet in followed.fleets):
            assert clock.now() < deadline, "not in time"
            ref.tell(PeerPosition(whole.changes.position, whole.at, "vm-2", ("127.0.0.1", 1)))
            time.sleep(0.01)
    finally:
        ref.stop()


def test_a_node_that_is_told_reads_nothing_itself(bench: Bench) -> None:
    """The word of a peer is enough, and what it lacks it asks of that peer."""
    followed = Followed()
    asked: list[Position] = []

    def ask(_: Address, after: Position) -> News:
        asked.append(after)
        return News(bench.client.snapshot(), clock.now())

    second = Standing(place=1, peers=2)
    ref = start_reader(bench, followed, AuditTrail(), standing=second, ask=ask)
    try:
        followed.wait_for_calls(bench, 1)
        calls_before = bench.state.calls
        for _ in range(20):
            ref.tell(
                PeerPosition(
                    Position(0, bench.state.revision), clock.now(), "vm-2", ("127.0.0.1", 1)
                )
            )
            time.sleep(0.02)
        followed.wait_for(lambda fleet: fleet.revision == 4)
        snapshot_calls = bench.state.calls - calls_before
    finally:
        ref.stop()
    assert asked == [START]
    assert snapshot_calls == 1, "only the one that the peer of this test made"


@pytest.mark.parametrize("place", [1, 2, 9])
def test_a_node_that_is_told_nothing_reads_in_time(bench: Bench, place: int) -> None:
    """Whoever was cut off or frozen: what the store took is in force within the bound."""
    followed = Followed()
    confirmed: list[tuple[Position, bool]] = []
    standing = Standing(place=place, peers=20)
    ref = start_reader(bench, followed, AuditTrail(), standing=standing, confirmed=confirmed)
    try:
        followed.wait_for(lambda fleet: fleet.revision == 4)
        for version in (7, 9):
            bench.state.put("op/config", config(version, [ROW]))
            followed.wait_for(lambda fleet, v=version: fleet.revision == v, BOUND_S)  # type: ignore[misc]
    finally:
        ref.stop()
    assert (Position(0, bench.state.revision), True) in confirmed


def test_the_first_reader_tells_that_nothing_is_newer(bench: Bench) -> None:
    """Often enough that the second in the order need not read."""
    followed = Followed()
    confirmed: list[tuple[Position, bool]] = []
    ref = start_reader(bench, followed, AuditTrail(), confirmed=confirmed)
    try:
        followed.wait_for(lambda fleet: fleet.revision == 4)
        confirmed.clear()
        calls_before = bench.state.calls
        time.sleep(2.0 * PATIENCE * BOUND_S)
    finally:
        ref.stop()
    assert 2 <= len(confirmed) <= 5
    assert bench.state.calls - calls_before <= 5

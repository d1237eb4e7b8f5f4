"""Readers of a store that is restored from a backup, after which revisions are assigned again."""

import random
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import pytest
from pykka import ActorRef

from roadpass import clock
from roadpass.audit import AuditTrail
from roadpass.catalogue import Catalogue, Policy
from roadpass.errors import StreamError
from roadpass.fleet import Fleet
from roadpass.journal import Journal
from roadpass.metric import Metrics
from roadpass.peer_pool import Address
from roadpass.platform.store import StoreClient
from roadpass.read_schedule import ReaderRank
from roadpass.source import PublishedConfig, TargetEntry
from roadpass.source_update import PeerPosition, SourceUpdate
from roadpass.store_reader import StoreEvents, StoreReader
from stand_ins.store import StoreState, config, entry, store_server

LIMIT_S = 5.0
BOUND_S = 2.0
"""Seconds within which a write that the store acknowledged must be in force."""
REWRITTEN_S = 2.0
"""Seconds after which all live targets have written their entries again."""
NODES = 3
ROW: list[Any] = ["r", "one.example", "/a/", "idempotent", "s", None]


class HallNode:
    """A node with a reader, and the fleet in force on it.

    Args:
        store: Address of the store.
        hall: All nodes of the data hall, which notify each other of confirmed positions.
    """

    def __init__(self, store: str, hall: Sequence["HallNode"]) -> None:
        self._place = len(hall)
        self._hall = hall
        self._journal = Journal()
        self.fleet = Fleet.empty()
        self.versions: list[int] = []
        self.position: PeerPosition | None = None
        events = StoreEvents(
            on_fleet=self._on_fleet,
            on_peers=self._on_peers,
            on_confirmed=self._on_confirmed,
            fetch_update=self._fetch_update,
            reader_rank=lambda: ReaderRank(self._place, NODES - 1),
        )
        self.reader: ActorRef[StoreReader] = StoreReader.start(
            StoreClient(store, Metrics()),
            Catalogue(Policy()),
            self._journal,
            events,
            AuditTrail(),
            random.Random(self._place),
            bound_s=BOUND_S,
        )

    def leaving(self, target: str) -> bool:
        """Return whether a target gets no new requests here, as it is leaving or gone."""
        known = self.fleet.targets.get(target)
        return known is None or known.leaving

    def _on_fleet(self, fleet: Fleet, _: PublishedConfig) -> None:
        self.fleet = fleet
        self.versions.append(fleet.revision)

    def _on_peers(self, entries: Sequence[TargetEntry]) -> None:
        """Ignore peers, as all nodes of the data hall are known."""

    def _on_confirmed(self, position: Any, at: float, own: bool) -> None:
        name = str(self._place)
        self.position = PeerPosition(position, at, name, (name, self._place))
        for node in self._hall:
            if own and node is not self:
                node.reader.tell(self.position)

    def _fetch_update(self, address: Address, after: Any) -> SourceUpdate:
        update = self._hall[address[1]]._journal.since(after)
        if update is None:
            raise StreamError("The peer has not read anything yet.")
        return update


class Hall:
    """The nodes of one data hall, and the store that they read."""

    def __init__(self, state: StoreState, address: str) -> None:
        self.state = state
        self._address = address
        self.nodes: list[HallNode] = []

    def start(self, nodes: int) -> None:
        """Start nodes in turn; each gets the positions of the others at once."""
        for _ in range(nodes):
            positions = [n.position for n in self.nodes if n.position is not None]
            self.nodes.append(HallNode(self._address, self.nodes))
            for position in positions:
                self.nodes[-1].reader.tell(position)

    def publish(self, version: int) -> None:
        """Write a configuration to the store, as the operator does."""
        self.state.put("op/config", config(version, [ROW]))

    def wait_until(self, condition: Callable[[HallNode], bool], limit_s: float = LIMIT_S) -> None:
        """Wait until a condition holds on all nodes."""
        deadline = clock.now() + limit_s
        while behind := [n for n, node in enumerate(self.nodes) if not condition(node)]:
            assert clock.now() < deadline, f"not true on nodes {behind} after {limit_s} s"
            time.sleep(0.005)

    def wait_for(self, version: int, limit_s: float = LIMIT_S) -> None:
        """Wait until a version is in force on all nodes."""
        self.wait_until(lambda node: node.fleet.revision == version, limit_s)

    def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.reader.stop(block=False)


@pytest.fixture
def hall() -> Iterator[Hall]:
    """Return a data hall without nodes and with a store that has version 20 and two targets."""
    state = StoreState()
    server = store_server(("127.0.0.1", 0), state)
    server.start_thread()
    hall = Hall(state, f"127.0.0.1:{server.bind_addr[1]}")
    hall.publish(20)
    for number in (1, 2):
        state.put(f"servers/i-{number}", entry(f"10.0.0.{number}:80"))
    yield hall
    hall.stop()
    server.stop()


def put_and_delete(hall: Hall, count: int) -> None:
    """Increase the revision by writing and deleting entries."""
    for number in range(count):
        hall.state.put(f"servers/x-{number}", entry(f"10.0.1.{number}:80"))
        hall.state.delete(f"servers/x-{number}")


# Guards against followers that treat a lower revision of a restored store as an older state.
def test_followers_get_writes_of_a_restored_store_below_their_revision(hall: Hall) -> None:
    """Only the hall's first node reads the store, whose revision is now lower than theirs."""
    hall.start(NODES)
    hall.wait_for(20)
    backup = hall.state.backup()
    put_and_delete(hall, 4)
    hall.publish(24)
    hall.wait_for(24)
    hall.state.restore(backup)
    hall.publish(24)
    hall.publish(28)
    hall.state.put("servers/i-1", entry("10.0.0.1:80", state="draining"))
    hall.wait_until(lambda n: n.fleet.revision == 28 and n.leaving("i-1"), BOUND_S)


# Guards against a reader that continues from a revision that a restored store has assigned again.
@pytest.mark.parametrize("later", [0, 4])
def test_a_reader_misses_no_write_to_a_restored_store_before_its_next_watch(
    hall: Hall, later: int
) -> None:
    """The store is down meanwhile; when it is back, it is at the reader's revision or beyond it."""
    hall.start(1)
    hall.wait_for(20)
    backup = hall.state.backup()
    hall.publish(22)
    hall.publish(24)
    hall.wait_for(24)
    hall.state.status = 503
    hall.state.restore(backup)
    hall.publish(28)
    hall.state.put("servers/i-1", entry("10.0.0.1:80", state="draining"))
    put_and_delete(hall, later)
    hall.state.status = 200
    hall.wait_until(lambda n: n.fleet.revision == 28 and n.leaving("i-1"), BOUND_S)


def test_a_target_that_the_backup_lacks_stays_in_service_until_it_is_written_again(
    hall: Hall,
) -> None:
    """Targets write their entries again within about two seconds."""
    hall.start(NODES)
    hall.wait_for(20)
    backup = hall.state.backup()
    hall.state.put("servers/i-3", entry("10.0.0.3:80"))
    hall.wait_until(lambda node: "i-3" in node.fleet.targets)
    hall.state.restore(backup)
    hall.publish(28)
    deadline = clock.now() + REWRITTEN_S
    while clock.now() < deadline:
        assert all("i-3" in node.fleet.targets for node in hall.nodes)
        time.sleep(0.02)
    hall.state.put("servers/i-3", entry("10.0.0.3:80"))
    hall.wait_for(28)
    time.sleep(REWRITTEN_S)
    assert all("i-3" in node.fleet.targets for node in hall.nodes)


# Guards against a backup that puts a leaving target back in service.
def test_a_leaving_target_stays_leaving_when_the_store_is_restored(
    hall: Hall,
) -> None:
    """Also on a node that starts before the target has written its entry again."""
    hall.start(NODES)
    hall.wait_for(20)
    backup = hall.state.backup()
    hall.state.put("servers/i-1", entry("10.0.0.1:80", state="draining"))
    hall.wait_until(lambda node: node.leaving("i-1"))
    hall.state.restore(backup)
    hall.publish(28)
    hall.wait_for(28)
    assert all(node.leaving("i-1") for node in hall.nodes)
    hall.start(1)
    hall.wait_for(28)
    assert all(node.leaving("i-1") for node in hall.nodes)


# Guards against a backup reaching new nodes instead of the configuration in force.
def test_no_version_decreases_when_the_store_is_restored(hall: Hall) -> None:
    """Neither the running nodes nor a new one accept the older version in the backup."""
    hall.start(NODES)
    hall.wait_for(20)
    backup = hall.state.backup()
    hall.publish(24)
    hall.wait_for(24)
    hall.state.restore(backup)
    hall.state.put("servers/i-3", entry("10.0.0.3:80"))
    hall.wait_until(lambda node: "i-3" in node.fleet.targets)
    hall.start(1)
    hall.wait_for(24)
    hall.publish(28)
    hall.wait_for(28, BOUND_S)
    assert all(node.versions == sorted(node.versions) for node in hall.nodes)


# Guards against a backup that puts a withdrawn target back in service.
def test_a_withdrawn_target_stays_out_of_service_when_the_store_is_restored(hall: Hall) -> None:
    """Its entry exists only in the backup; a live target writes its entry again."""
    hall.start(NODES)
    hall.wait_for(20)
    backup = hall.state.backup()
    hall.state.delete("servers/i-1")
    hall.wait_until(lambda node: "i-1" not in node.fleet.targets)
    hall.state.restore(backup)
    hall.publish(28)
    hall.wait_for(28)
    assert all("i-1" not in node.fleet.targets for node in hall.nodes)
    hall.state.put("servers/i-1", entry("10.0.0.1:80"))
    hall.wait_until(lambda node: "i-1" in node.fleet.targets)

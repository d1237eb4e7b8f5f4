"""The gossip actor with real UDP datagrams: malformed ones are counted, and it keeps running."""

import random
import socket
import time
from collections.abc import Callable, Mapping
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from pykka import ActorRef

from roadpass import clock
from roadpass.audit import AuditTrail
from roadpass.capacity_messages import CapacityMessage
from roadpass.fleet_repeats import FleetRepeats
from roadpass.gossip import Gossip
from roadpass.gossip_messages import (
    Begin,
    Confirmed,
    CrashUpdate,
    Events,
    NoticeUpdate,
    Seed,
)
from roadpass.member import Member, MemberState
from roadpass.message import check_gossip
from roadpass.metric import Metrics
from roadpass.notice_table import NoticeTable
from roadpass.packing import pack, unpack
from roadpass.position import Position
from roadpass.quarantine import Quarantine
from roadpass.repeat_coordinator import RepeatCoordinator
from roadpass.repeat_loans import Kind, LoanMessage
from roadpass.settings import Ports, Settings
from roadpass.source_update import PeerPosition
from roadpass.target_notice import TargetNotice
from roadpass.view import PeerNode, View
from tests.repeat_fleet import CLASS, SERVICE, fleet_of

ADDRESS = "127.0.41.1"
PORTS = Ports(8080, 8081, 8082, 8083)
LIMIT_S = 10.0
DATAGRAMS = 5
"""Number of datagrams of which at least one must contain the update; about one a second is sent."""


def start(
    metrics: Metrics,
    nodes: list[str],
    *,
    quarantine: Quarantine | None = None,
    notices: NoticeTable | None = None,
    address: str = ADDRESS,
    on_peer_position: Callable[[PeerPosition], None] | None = None,
    on_capacity: Callable[[str, Mapping[str, Any]], None] = lambda sender, fields: None,
    on_loans: Callable[[LoanMessage], None] = lambda message: None,
) -> ActorRef[Gossip]:
    """Start an actor that records the names of the nodes it learns about."""
    own = Member("vm-1", 1, MemberState.ALIVE, address, 8081, 8082, "hall", "region")
    config = Settings("vm-1", "hall", "region", address, address, PORTS, "http://127.0.0.1:1")
    events = Events(
        on_node=lambda node: nodes.append(node.vm),
        on_version=lambda version, address: None,
        on_hint=lambda target, scores: None,
        on_leave=lambda: None,
        on_peer_position=on_peer_position,
        on_capacity=on_capacity,
        on_loans=on_loans,
    )
    return Gossip.start(
        config,
        own,
        events,
        AuditTrail(),
        metrics,
        random.Random(1),
        quarantine or Quarantine(),
        notices or NoticeTable(),
    )


def eventually(condition: Callable[[], bool]) -> bool:
    """Return whether a condition becomes true within `LIMIT_S`."""
    deadline = clock.now() + LIMIT_S
    while clock.now() < deadline:
        if condition():
            return True
        time.sleep(0.01)
    return False


def datagram(vm: str) -> bytes:
    """Return a valid datagram from a node that is not known yet."""
    rumor = [vm, 1, 0, "127.0.41.2", 8081, 8082, "hall", "region"]
    message = {"t": "ping", "sender": vm, "n": 1, "revision": 0, "digest": "", "news": [rumor]}
    return pack(check_gossip(message))


def test_malformed_datagrams_are_counted_and_do_not_end_the_actor() -> None:
    """Random bytes, wrong types and invalid values are dropped; a valid datagram is handled."""
    metrics = Metrics()
    nodes: list[str] = []
    ref = start(metrics, nodes)
    ref.tell(Begin())
    ref.proxy().agreeing_peers.get()  # returns once the socket is bound and read
    good = unpack(datagram("vm-2"))
    bad = [
        b"",
        b"\xff" * 50,
        pack([1, 2]),
        pack({**good, "n": "x"}),
        pack({**good, "news": [["vm-2", 1, 9, "a", 1, 1, "h", "r"]]}),
        pack({**good, "hints": [["t", "x", 0.0, 0.0]]}),
        pack({**good, "crashes": [["work", -1.0, [["end", "x"]]]]}),
        pack({**good, "crashes": [["work", -1.0, [["end", 0.1]] * 4]]}),
        pack({**good, "crashes": [["", -1.0, []]]}),
        pack({**good, "notices": [["t", "x", False, 0.0]]}),
        pack({**good, "notices": [["t", 1.0, 1, 0.0]]}),
        pack({**good, "notices": [["t", 1.0, False, 0.0]] * 17}),
        datagram("vm-2")[:-7],
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for content in bad:
            sock.sendto(content, (ADDRESS, PORTS.gossip))
        assert eventually(lambda: metrics.get("gossip_dropped") == len(bad))
        sock.sendto(datagram("vm-3"), (ADDRESS, PORTS.gossip))
        assert eventually(lambda: "vm-3" in nodes)
    ref.stop()


def test_crashes_during_requests_are_sent_and_received() -> None:
    """A crash is sent at once, in every datagram; received ones count like those seen here."""
    quarantine = Quarantine()
    ref = start(Metrics(), [], quarantine=quarantine, address="127.0.41.3")
    quarantine.on_change = lambda: ref.tell(CrashUpdate())
    ref.tell(Begin())
    ref.proxy().agreeing_peers.get()  # returns once the socket is bound and read
    peer = Member("vm-9", 1, MemberState.ALIVE, "127.0.41.9", 8081, 8082, "hall", "region")
    ref.tell(Seed((peer,), frozenset()))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((peer.address, peer.gossip_port))
        sock.settimeout(LIMIT_S)
        quarantine.record_crash(clock.now(), "work", "target-1/1")
        received = (unpack(sock.recv(2048)).get("crashes", []) for _ in range(DATAGRAMS))
        assert next(filter(None, received), [[None]])[0][0] == "work"
        for number in (2, 3):
            row = ["work", -1.0, [[f"target-{number}/1", 0.5]]]
            content = pack({**unpack(datagram("vm-9")), "crashes": [row]})
            sock.sendto(content, ("127.0.41.3", PORTS.gossip))
        assert eventually(lambda: quarantine.quarantined_s(clock.now(), "work") > 0.0)
    ref.stop()


def test_statements_of_targets_are_sent_and_received() -> None:
    """A new one is sent at once; a received one counts like those heard here."""
    notices = NoticeTable()
    notices.configure(clock.now(), {"t", "u"})
    ref = start(Metrics(), [], notices=notices, address="127.0.41.5")
    notices.on_change = lambda: ref.tell(NoticeUpdate())
    ref.tell(Begin())
    ref.proxy().agreeing_peers.get()  # returns once the socket is bound and read
    peer = Member("vm-9", 1, MemberState.ALIVE, "127.0.41.11", 8081, 8082, "hall", "region")
    ref.tell(Seed((peer,), frozenset()))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((peer.address, peer.gossip_port))
        sock.settimeout(LIMIT_S)
        notices.hear(clock.now(), "t", TargetNotice(2.0), clock.now())
        received = (unpack(sock.recv(2048)).get("notices", []) for _ in range(DATAGRAMS))
        assert next(filter(None, received), [[]])[0][:3] == ["t", 2.0, False]
        row = ["u", None, True, 0.0]
        content = pack({**unpack(datagram("vm-9")), "notices": [row]})
        sock.sendto(content, ("127.0.41.5", PORTS.gossip))
        assert eventually(lambda: notices.is_leaving("u"))
    ref.stop()


def test_a_sidecar_that_is_short_borrows_from_another_node() -> None:
    """The request, the grant and what the account then has pass the datagrams and both actors."""
    accounts = FleetRepeats("vm-1", 2, random.Random(1))
    accounts.configure(clock.now(), fleet_of({"vm-1", "vm-9"}))
    view = View("vm-1", "hall", "region")
    view.nodes["vm-9"] = PeerNode("vm-9", "127.0.41.12", 8081, "hall", "region")
    heard: list[LoanMessage] = []
    ref = start(Metrics(), [], address="127.0.41.6", on_loans=heard.append)
    ref.tell(Begin())
    ref.proxy().agreeing_peers.get()  # returns once the socket is bound and read
    peer = Member("vm-9", 1, MemberState.ALIVE, "127.0.41.12", 8081, 8082, "hall", "region")
    ref.tell(Seed((peer,), frozenset()))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((peer.address, peer.gossip_port))
        sock.settimeout(LIMIT_S)
        coordinator = RepeatCoordinator.start(accounts, view, "hall", ref.tell)
        assert not accounts.has_repeat_left(clock.now(), SERVICE, CLASS)
        received = (unpack(sock.recv(2048)).get("loans", []) for _ in range(40 * DATAGRAMS))
        rows = (row for loans in received for row in loans)
        request = next(row for row in rows if row[1] == Kind.REQUEST)
        grant = [SERVICE, Kind.GRANT.value, request[2], request[3]]
        content = pack({**unpack(datagram("vm-9")), "loans": [grant]})
        sock.sendto(content, ("127.0.41.6", PORTS.gossip))
        assert eventually(lambda: bool(heard))
        coordinator.tell(heard[0])
        assert eventually(lambda: accounts.has_repeat_left(clock.now(), SERVICE, CLASS))
    coordinator.stop()
    ref.stop()


def test_the_source_position_is_sent_and_received_with_its_era() -> None:
    """Nodes of earlier releases send no era, which means era 0."""
    positions: list[PeerPosition] = []
    ref = start(Metrics(), [], address="127.0.41.4", on_peer_position=positions.append)
    ref.tell(Begin())
    ref.proxy().agreeing_peers.get()  # returns once the socket is bound and read
    peer = Member("vm-9", 1, MemberState.ALIVE, "127.0.41.10", 8081, 8082, "hall", "region")
    ref.tell(Seed((peer,), frozenset()))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((peer.address, peer.gossip_port))
        sock.settimeout(LIMIT_S)
        for position in (Position(0, 7), Position(2, 5)):
            ref.tell(Confirmed(position, clock.now(), tell=True))
            received = (unpack(sock.recv(2048)) for _ in range(DATAGRAMS))
            assert any(Position.from_message(message) == position for message in received)
        for fields in ({"revision": 9}, {"revision": 4, "era": 3}):
            content = pack({**unpack(datagram("vm-9")), "platform_age_s": 0.1, **fields})
            sock.sendto(content, ("127.0.41.4", PORTS.gossip))
        assert eventually(lambda: len(positions) == 2)
    assert [one.position for one in positions] == [Position(0, 9), Position(3, 4)]
    ref.stop()


@settings(max_examples=30)
@given(st.binary(max_size=100), st.integers(0, 100))
def test_corrupted_datagrams_raise_no_unexpected_error(noise: bytes, at: int) -> None:
    """A valid datagram with bytes overwritten, handled by the actor's method without its thread."""
    whole = bytearray(datagram("vm-2"))
    whole[at : at + len(noise)] = noise
    metrics = Metrics()
    actor = Gossip.__new__(Gossip)
    actor._settings = Settings(
        "vm-1", "hall", "region", ADDRESS, ADDRESS, PORTS, "http://127.0.0.1:1"
    )
    actor._metrics = metrics
    actor._process_datagram = lambda message: None  # type: ignore[method-assign]
    actor._on_datagram(bytes(whole))
    assert metrics.get("gossip_dropped") <= 1


def test_capacity_is_sent_and_received_without_the_membership() -> None:
    """Rows go to the named nodes, and an unknown sender of rows does not become a member."""
    nodes: list[str] = []
    received: list[tuple[str, Mapping[str, Any]]] = []
    ref = start(
        Metrics(),
        nodes,
        address="127.0.41.21",
        on_capacity=lambda sender, fields: received.append((sender, fields)),
    )
    ref.tell(Begin())
    ref.proxy().agreeing_peers.get()  # returns once the socket is bound and read
    peer = Member("vm-9", 1, MemberState.ALIVE, "127.0.41.22", 8081, 8082, "hall", "region")
    ref.tell(Seed((peer,), frozenset()))
    room, waiting = ["t", 2, 0, 700.0, 0.1, 3.0], ["s", 2, 0, 1, 500.0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((peer.address, peer.gossip_port))
        sock.settimeout(LIMIT_S)
        ref.tell(CapacityMessage(("vm-9", "vm-unknown"), {"room": [room], "waiting": [waiting]}))
        messages = (unpack(sock.recv(2048)) for _ in range(DATAGRAMS))
        sent = next(message for message in messages if "room" in message)
        assert (sent["room"], sent["waiting"], sent["news"]) == ([room], [waiting], [])
        content = pack({**sent, "sender": "vm-7"})
        sock.sendto(content, ("127.0.41.21", PORTS.gossip))
        assert eventually(lambda: bool(received))
    assert received == [("vm-7", {"room": [room], "waiting": [waiting]})]
    assert "vm-7" not in nodes
    ref.stop()

"""Duties by VM size: nodes get their share, few duties move, and disagreement harms nobody."""

import logging
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from roadpass.audit import AuditTrail
from roadpass.configuration import Store
from roadpass.event_router import EventRouter
from roadpass.fleet import Fleet as FleetConfig
from roadpass.gossip import TICK_S, Gossip
from roadpass.gossip_messages import Confirmed, Events
from roadpass.journal import Journal
from roadpass.member import Member, MemberState
from roadpass.message import check_gossip
from roadpass.metric import Metrics
from roadpass.notice_table import NoticeTable
from roadpass.packing import pack, unpack
from roadpass.position import Position
from roadpass.quarantine import Quarantine
from roadpass.quota import Limit, owner_of
from roadpass.reader import choose_readers
from roadpass.settings import Ports, Settings
from roadpass.sharing import Sharing
from roadpass.view import PeerNode, View
from roadpass.vm_size import (
    HANDOVER_S,
    INTRODUCTION_TICKS,
    INTRODUCTIONS,
    MAX_CORES,
    NO_SIZES,
    SETTLE_S,
    SizeHandover,
    VmSizes,
    weighted_order,
    weighted_owner,
    weights_of,
)
from tests import test_gossip
from tests.quota_model import Fleet, Play

KEYS = [f"customer-{number}" for number in range(20_000)]
NODES = [f"10.0.0.{number}" for number in range(1, 15)]
CORES = (0.43, 0.5, 0.5, 0.64, 0.8, 0.86, 1.0, 1.0, 1.07, 1.29, 1.5, 1.72, 2.0, 2.15)
SIZES = dict(zip(NODES, CORES, strict=True))
NAN = float("nan")


def owners(sizes: dict[str, float], nodes: list[str] = NODES) -> list[str]:
    """Return the owner of each key."""
    return [weighted_owner(key, nodes, sizes) for key in KEYS]


def test_owners_are_chosen_in_proportion_to_size() -> None:
    """Equal shares would give the smallest VM five times the work that its cores can do."""
    count = Counter(owners(SIZES))
    for node, cores in SIZES.items():
        share = cores / sum(CORES)
        deviation = 4.0 * math.sqrt(share * (1.0 - share) / len(KEYS))
        assert count[node] / len(KEYS) == pytest.approx(share, abs=deviation)


def test_first_readers_are_chosen_in_proportion_to_size() -> None:
    """The first reader and relay of a data hall must not be its smallest VM as often as others."""
    first: Counter[float] = Counter()
    for number in range(4000):
        sizes = {f"10.{number // 250}.{number % 250}.{i}": cores for i, cores in enumerate(CORES)}
        first[sizes[weighted_order(sizes, sizes)[0]]] += 1
    assert first[2.15] / first[0.43] == pytest.approx(5.0, rel=0.35)
    assert first[1.0] / 4000 == pytest.approx(2.0 / sum(CORES), abs=0.02)


@pytest.mark.parametrize("cores", [0.2, 1.9])
def test_only_keys_of_the_node_move_whose_size_changes(cores: float) -> None:
    """Every moved customer has its account opened anew."""
    node = NODES[6]
    before, after = owners(SIZES), owners({**SIZES, node: cores})
    moved = [(old, new) for old, new in zip(before, after, strict=True) if old != new]
    assert moved
    assert all((new if cores > SIZES[node] else old) == node for old, new in moved)
    assert len(moved) / len(KEYS) <= abs(cores - SIZES[node]) / sum(CORES) + 0.01


def test_only_keys_of_a_node_that_leaves_move() -> None:
    """As with equal weights: the end of one VM must not reshuffle all customers."""
    rest = [node for node in NODES if node != NODES[3]]
    for old, new in zip(owners(SIZES), owners(SIZES, rest), strict=True):
        assert old == new or old == NODES[3]


def test_unknown_size_counts_as_the_mean_of_the_known() -> None:
    """A node that counted as one core beside large ones would get too little, or too much."""
    assert weights_of(["a", "b", "c"], {"a": 2.0, "b": 4.0, "elsewhere": 90.0})["c"] == 3.0
    known = {node: cores for node, cores in SIZES.items() if node != NODES[0]}
    share = Counter(owners(known))[NODES[0]] / len(KEYS)
    assert share == pytest.approx(1.0 / len(NODES), abs=0.01)


@pytest.mark.parametrize("sizes", [{}, dict.fromkeys(NODES, 0.86)])
def test_equal_sizes_give_the_order_of_nodes_without_sizes(sizes: dict[str, float]) -> None:
    """In a roll-out, nodes of both releases must agree until sizes differ."""
    assert owners(sizes)[:2000] == [owner_of(key, NODES) for key in KEYS[:2000]]
    assert weighted_order(reversed(NODES), sizes) == choose_readers(NODES, len(NODES))
    assert weighted_owner("a", [], sizes) == ""


def decisions(caplog: pytest.LogCaptureFixture, what: str) -> list[dict[str, Any]]:
    """Return the inputs of the logged decisions of a kind."""
    rows: list[Any] = [record for record in caplog.records if record.getMessage() == what]
    return [row.decision for row in rows]


def member(vm: str) -> Member:
    """Return the record of a node."""
    return Member(vm, 1, MemberState.ALIVE, vm, 2, 3, HALL, "r")


def enabled_sizes(cores: float = 1.0) -> VmSizes:
    """Return the table of a node on which the switch is on."""
    sizes = VmSizes(NODES[0], cores)
    sizes.enabled = True
    return sizes


@pytest.mark.parametrize(
    "value",
    [-1.0, NAN, math.inf, -math.inf, MAX_CORES + 1.0, 10**400, "2", b"2", None, True, [2.0], {}],
)
def test_impossible_size_is_logged_once_and_left_out(
    value: Any, caplog: pytest.LogCaptureFixture
) -> None:
    """One bad setting must neither attract all duties, nor fill the log at a datagram a second."""
    caplog.set_level(logging.INFO)
    sizes = enabled_sizes()
    sizes.learn(NODES[1], 2.0)
    for _ in range(3):
        sizes.learn(NODES[1], value)
    assert sizes.known() == {NODES[0]: 1.0}
    assert [one["vm"] for one in decisions(caplog, "size-ignored")] == [NODES[1]]
    sizes.learn(NODES[1], 2.0)
    sizes.learn(NODES[1], value)
    assert len(decisions(caplog, "size-ignored")) == 2
    assert VmSizes("a", value).own == 0.0


def test_each_change_of_a_size_is_logged_and_reported_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The order of the readers follows from it; unchanged datagrams must cost nothing."""
    caplog.set_level(logging.INFO)
    sizes = enabled_sizes()
    changes: list[None] = []
    sizes.on_change = lambda: changes.append(None)
    for value in (1.5, 1.5, 2, 2.0, 0):
        sizes.learn(NODES[1], value)
    assert [one["cores"] for one in decisions(caplog, "size-known")] == [1.5, 2.0, 0.0]
    assert len(changes) == 3
    assert sizes.known() == {NODES[0]: 1.0}


def test_sizes_decide_nothing_while_the_switch_is_off() -> None:
    """Deployments without the switch keep their owners and readers."""
    sizes = VmSizes(NODES[0], 2.0)
    sizes.learn(NODES[1], 9.0)
    order = choose_readers(NODES, len(NODES))
    assert sizes.known() == {}
    assert sizes.reader_order(order) == order
    assert sizes.to_introduce([member(NODES[1])]) == []
    assert SizeHandover().update(0.0, sizes.known()) == NO_SIZES


def test_every_peer_is_introduced_to_a_few_times_and_again_after_its_restart() -> None:
    """Introductions must end, and a peer that restarted knows no sizes."""
    sizes = enabled_sizes()
    peers = [member(f"10.1.{i // 200}.{i % 200}") for i in range(120)]
    rounds = [sizes.to_introduce(peers) for _ in range(2 * INTRODUCTIONS * INTRODUCTION_TICKS)]
    count = Counter(peer.vm for names in rounds for peer in names)
    assert set(count.values()) == {INTRODUCTIONS}
    assert len(count) == len(peers)
    assert max(map(len, rounds)) == 3
    assert max(i for i, names in enumerate(rounds) if names) * TICK_S < SETTLE_S
    restarted = peers[0]._replace(incarnation=2)
    assert sizes.to_introduce([restarted, *peers[1:]]) == [restarted]


def test_owners_are_chosen_without_sizes_while_an_older_node_is_there() -> None:
    """It follows the owner without sizes, and two owners at once admit twice the limit."""
    sizes = enabled_sizes()
    sizes.learn(NODES[1], 2.0)
    assert sizes.agreed(NODES[:3]) == {}
    sizes.learn(NODES[2], 0)
    assert sizes.agreed(NODES[:3]) == sizes.known() == {NODES[0]: 1.0, NODES[1]: 2.0}


def test_node_that_goes_back_to_an_older_release_counts_as_one() -> None:
    """Its probes carry no size any more; its announcements never did."""
    sizes = enabled_sizes()
    sizes.hear({"t": "ping", "sender": NODES[1], "size": 2.0})
    sizes.hear({"t": "announce", "sender": NODES[1]})
    assert sizes.agreed(NODES[:2]) == {NODES[0]: 1.0, NODES[1]: 2.0}
    sizes.hear({"t": "ack", "sender": NODES[1]})
    assert sizes.agreed(NODES[:2]) == {}


def test_table_of_sizes_is_bounded() -> None:
    """Datagrams with made-up senders must not use up a small VM's memory."""
    sizes = enabled_sizes()
    for number in range(6000):
        sizes.learn(f"vm-{number}", 1.0)
    assert len(sizes.known()) <= 4096 + 1


def test_size_decides_on_owners_only_once_all_can_know_it() -> None:
    """Ingresses that follow a size at once report to owners who know nothing of each other."""
    handover = SizeHandover()
    assert handover.update(0.0, {}) == ({}, None)
    assert handover.update(1.0, SIZES) == ({}, SIZES)
    assert handover.update(1.0 + 0.9 * SETTLE_S, SIZES) == ({}, SIZES)
    assert handover.update(1.0 + SETTLE_S, SIZES) == (SIZES, {})
    assert handover.update(1.0 + SETTLE_S + 0.9 * HANDOVER_S, SIZES) == (SIZES, {})
    assert handover.update(1.0 + SETTLE_S + HANDOVER_S, SIZES) == (SIZES, None)


def test_size_that_changes_back_moves_nothing() -> None:
    """A value that flaps must not open accounts anew again and again."""
    handover = SizeHandover()
    handover.update(0.0, SIZES)
    handover.update(SETTLE_S, SIZES)
    other = {**SIZES, NODES[0]: 3.0}
    for number in range(40):
        current, _ = handover.update(40.0 + number, other if number % 2 else SIZES)
        assert current == SIZES


VMS = 20
SPREADS_S = (0.0, 2.0, 10.0, 14.0)
"""Seconds over which the nodes learn the sizes, all shorter than `SETTLE_S`."""


def learnt(seed: int, spread_s: float) -> Callable[[int, float], dict[int, float]]:
    """Return the sizes that a node knows at a time: each learns each at a time of its own."""
    rng = random.Random(seed)
    cores = [rng.choice(CORES) for _ in range(VMS)]
    at = {(a, b): 4.0 + rng.uniform(0.0, spread_s) for a in range(VMS) for b in range(VMS)}
    return lambda node, now: {b: cores[b] for b in range(VMS) if now >= at[node, b]}


def newcomer(node: int, now: float) -> dict[int, float]:
    """Return the sizes known if node 0 starts after 8 s and the others have known theirs."""
    begin = 8.3 if node == 0 else -100.0
    return {b: CORES[b % len(CORES)] for b in range(VMS) if now >= (8.3 if b == 0 else begin)}


@pytest.mark.parametrize("rate", [40.0, 200.0])
@pytest.mark.parametrize(
    "sizes", [*(learnt(seed, s) for seed, s in enumerate(SPREADS_S)), newcomer]
)
@pytest.mark.parametrize("peak_at", [0.0, 21.0])
def test_limit_holds_while_owners_change_because_sizes_become_known(
    sizes: Callable[[int, float], dict[int, float]], rate: float, peak_at: float
) -> None:
    """Two owners at once, each unaware of the other's ingresses, would admit twice the limit.

    Used at once, sizes learnt within 2 s let through 9 requests more than tolerated at a limit of
    40 a second, and within 4 s 64. In five seconds, a quarter and 20 requests are tolerated.
    """
    play = Play(
        Limit(rate, rate),
        lambda at: rate * (3.4 if at >= peak_at else 0.45),
        nodes=VMS,
        seconds=45.0,
        sizes=sizes,
        restarts=((8.0, 0),) if sizes is newcomer else (),
        lost=0.02,
    )
    assert Fleet.run(play, seed=2).overrun(5.0, 0.25, 20.0) <= 0.0


def test_nothing_below_the_limit_is_refused_while_owners_change() -> None:
    """A handover by refusing would lose requests of customers within their limit."""
    play = Play(Limit(40.0, 40.0), lambda at: 30.0, nodes=VMS, seconds=45.0, sizes=learnt(3, 10.0))
    assert Fleet.run(play, seed=3).wrongly_refused() == 0.0


HALL = "hall"
CONFIG = Settings(
    NODES[0], HALL, "r", NODES[0], NODES[0], Ports(1, 2, 3, 4), "", readers_per_hall=2, cores=2.0
)


class _Sink:
    """Stands for the components that the router tells of a fleet."""

    def tell(self, message: Any) -> None:
        """Ignore a message, as no component runs."""

    def configure(self, fleet: FleetConfig) -> None:
        """Ignore a fleet."""


def router(vm: str, halls: list[str], *, sizes: bool = True) -> EventRouter:
    """Return the router of a node that knows the others of its data hall."""
    config = CONFIG._replace(vm=vm)
    view = View(vm, HALL, "r", SIZES[vm])
    made = EventRouter(config, view, Store(), Journal(), AuditTrail())
    made.sidecar = made.monitor = made.gossip = _Sink()  # type: ignore[assignment]
    for other in halls:
        if other != vm:
            made.on_node(PeerNode(other, other, 1, HALL, "r"))
    made.on_fleet(FleetConfig({}, {}, {}, (), sharing=Sharing(vm_sizes=sizes)))
    return made


def test_readers_of_a_hall_agree_once_sizes_are_known_and_without_the_switch() -> None:
    """Two first readers read twice, and none reads late."""
    hall = NODES[:5]
    routers = {vm: router(vm, hall) for vm in hall}
    off = {vm: router(vm, hall, sizes=False) for vm in hall}
    for vm, one in routers.items():
        for other in hall:
            one._view.sizes.learn(other, SIZES[other])
            off[vm]._view.sizes.learn(other, SIZES[other])
        assert one.readers == weighted_order(hall, SIZES)[:2]
        assert off[vm].readers == choose_readers(hall, 2)
    assert sorted(one.reader_rank.rank for one in routers.values()) == [0, 1, 2, 3, 4]
    assert sorted(one.reader_rank.rank for one in off.values()) == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("old", [NODES[:1], NODES[1:3], NODES[2:5], NODES[:4]])
def test_mixed_hall_always_has_a_first_reader(old: list[str]) -> None:
    """Nodes of an older release follow the order without sizes, and each would wait for others."""
    hall = NODES[:5]
    first_of_old = choose_readers(hall, 1)[0]
    ranks = {}
    for vm in hall:
        if vm in old:
            ranks[vm] = choose_readers(hall, len(hall)).index(vm)
            continue
        one = router(vm, hall)
        for other in hall:
            if other not in old:
                one._view.sizes.learn(other, SIZES[other])
        ranks[vm] = one.reader_rank.rank
    assert ranks[first_of_old] == 0
    assert sum(rank == 0 for rank in ranks.values()) <= 2


def datagram(**fields: Any) -> dict[str, Any]:
    """Return a datagram of a peer."""
    return {**unpack(test_gossip.datagram("vm-2")), **fields}


@pytest.mark.parametrize("value", [-1.0, NAN, "x", None, [1], 1e9])
def test_datagram_with_a_bad_size_counts_otherwise(value: Any) -> None:
    """A node with a bad setting must not be taken for dead by all others."""
    assert check_gossip(datagram(size=value))["sender"] == "vm-2"


class _Socket:
    """Records the datagrams that an actor sends."""

    def __init__(self) -> None:
        self.sent: list[tuple[dict[str, Any], str]] = []

    def sendto(self, content: bytes, to: tuple[str, int]) -> None:
        """Record a datagram."""
        self.sent.append((unpack(content), to[0]))


def gossip(sizes: VmSizes) -> tuple[Gossip, _Socket]:
    """Return the gossip actor of a node, without its thread, and what stands for its socket."""
    events = Events(*[lambda *args: None] * 4)
    actor = Gossip(
        CONFIG,
        member(CONFIG.vm),
        events,
        AuditTrail(),
        Metrics(),
        random.Random(1),
        Quarantine(),
        NoticeTable(),
        sizes,
    )
    actor._socket.close()
    actor._socket = socket = _Socket()  # type: ignore[assignment]
    return actor, socket


def test_nodes_exchange_sizes_by_datagram() -> None:
    """A size that peers never hear leaves duties where they are."""
    sizes = enabled_sizes(1.5)
    actor, socket = gossip(sizes)
    actor._on_datagram(pack(datagram(size=2.0)))
    assert sizes.known() == {CONFIG.vm: 1.5, "vm-2": 2.0}
    (ack, to) = socket.sent[-1]
    assert (ack["t"], ack["size"], to) == ("ack", 1.5, "127.0.41.2")
    actor._on_datagram(pack(datagram(size=-2.0)))
    assert sizes.known() == {CONFIG.vm: 1.5}
    actor._on_datagram(pack(datagram(size=3, sender="nobody", news=[])))
    assert sizes.known() == {CONFIG.vm: 1.5}


def test_datagrams_to_many_carry_the_size_only_as_often_as_needed() -> None:
    """Announcements go to the whole data hall several times a second."""
    actor, socket = gossip(enabled_sizes())
    actor._on_datagram(pack(datagram()))
    for _ in range(4):
        actor._on_tick()
        actor._on_confirmed(Confirmed(Position(0, 3), 1.0, tell=True))
    told = [message for message, _ in socket.sent if message["t"] == "announce"]
    assert sum("size" in message for message in told) == INTRODUCTIONS
    assert len(told) == 4 + INTRODUCTIONS


def test_no_datagram_carries_a_size_while_the_switch_is_off() -> None:
    """Off, not a byte changes on the wire."""
    sizes = VmSizes(CONFIG.vm, 1.5)
    actor, socket = gossip(sizes)
    actor._on_datagram(pack(datagram(size=2.0)))
    for _ in range(4):
        actor._on_tick()
        actor._on_confirmed(Confirmed(Position(0, 3), 1.0, tell=True))
    assert len(socket.sent) >= 5
    assert not any("size" in message for message, _ in socket.sent)
    assert sizes.known() == {}

"""Membership over a fake network that loses, delays, duplicates, reorders and cuts."""

import random
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from roadpass.member import Member, MemberState, Send
from roadpass.membership import Members

TICK_S = 0.1
PORT = 1
HALLS = 3


class FakeNetwork:
    """Delivers datagrams among nodes in virtual time, with faults.

    Args:
        count: Nodes; the first ones seed the others.
        seed: Of all randomness.
        loss: Share of datagrams lost; as many are duplicated.
    """

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.nodes: dict[str, Members] = {}
        self._mail: list[tuple[float, str, str, Send, list[Member]]] = []
        for number in range(count):
            self.start(f"n{number}", 1)

    def start(self, vm: str, incarnation: int) -> None:
        """Start a node's process, possibly anew."""
        own = _member(vm, incarnation)
        self.nodes[vm] = Members(own, random.Random(self.rng.random()))
        self.nodes[vm].seed(self.now, [_member("n0", 0), _member("n1", 0)])

    def join(self, vm: str, incarnation: int, by: str) -> None:
        """Start a node's process that knows nobody but the address of one node, and asks it."""
        self.nodes[vm] = Members(_member(vm, incarnation), random.Random(self.rng.random()))
        self._post(vm, [Send((by, PORT), "sync", 0)])

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(int(seconds / TICK_S)):
            self.now += TICK_S
            for vm, node in self.nodes.items():
                if vm not in self.frozen:
                    self._post(vm, node.tick(self.now))
            due = [mail for mail in self._mail if mail[0] <= self.now]
            self._mail = [mail for mail in self._mail if mail[0] > self.now]
            self.rng.shuffle(due)
            for _, source, to, send, news in due:
                self._deliver(source, to, send, news)

    def states(self, of: str) -> set[MemberState]:
        """Return what the other live nodes believe of one."""
        believed = (node.get(of) for vm, node in self.nodes.items() if vm != of)
        return {member.state for member in believed if member is not None}

    def eventually(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Let time pass until a condition holds."""
        for _ in range(int(seconds)):
            if condition():
                return True
            self.run(1.0)
        return condition()

    def _post(self, source: str, sends: list[Send]) -> None:
        for send in sends:
            to = send.to[0]
            news = (
                [self.nodes[source].own, *send.rows] if send.rows else self.nodes[source].rumors()
            )
            copies = 2 if self.rng.random() < self.loss else 1
            for _ in range(copies):
                if self.rng.random() >= self.loss and (source, to) not in self.cuts:
                    at = self.now + self.rng.uniform(0.0, 0.15)
                    self._mail.append((at, source, to, send, news))

    def _deliver(self, source: str, to: str, send: Send, news: list[Member]) -> None:
        node = self.nodes.get(to)
        if node is None or to in self.frozen:
            return
        answers = node.receive(self.now, send.type, source, send.number, send.on, news)
        self._post(to, answers)


def _member(vm: str, incarnation: int) -> Member:
    hall = f"hall-{int(vm[1:]) % HALLS}"
    return Member(vm, incarnation, MemberState.ALIVE, vm, PORT, PORT, hall, "region")


def all_alive(network: FakeNetwork) -> bool:
    """Tell whether every node knows every other as alive."""
    count = len(network.nodes)
    return all(
        node.size == count and all(m.state is MemberState.ALIVE for m in node.all())
        for node in network.nodes.values()
    )


@settings(max_examples=10, deadline=None)
@given(st.integers(0, 2**16))
def test_nodes_find_each_other_and_nobody_stays_declared_dead(seed: int) -> None:
    """A tenth of datagrams lost and duplicated, all delayed and reordered."""
    network = FakeNetwork(8, seed, loss=0.1)
    network.run(30.0)
    network.loss = 0.0
    assert network.eventually(lambda: all_alive(network), 60.0)


@settings(max_examples=10, deadline=None)
@given(st.integers(0, 2**16))
def test_dead_node_is_noticed_and_its_restart_too(seed: int) -> None:
    """A killed node is dead everywhere; its next process is alive everywhere."""
    network = FakeNetwork(8, seed)
    network.run(15.0)
    del network.nodes["n5"]
    assert network.eventually(lambda: network.states("n5") == {MemberState.DEAD}, 40.0)
    network.start("n5", 2)
    assert network.eventually(lambda: network.states("n5") == {MemberState.ALIVE}, 40.0)


@settings(max_examples=10, deadline=None)
@given(st.integers(0, 2**16))
def test_a_node_that_starts_anew_soon_knows_every_other(seed: int) -> None:
    """Whoever it asks tells it of all, those of other data halls too: nobody else would soon."""
    network = FakeNetwork(9, seed)
    assert network.eventually(lambda: all_alive(network), 120.0)
    network.run(30.0)
    del network.nodes["n5"]
    network.run(2.0)
    network.join("n5", 2, "n0")
    assert network.eventually(lambda: network.nodes["n5"].size == 9, 5.0)
    assert network.eventually(lambda: all_alive(network), 60.0)


@settings(max_examples=10, deadline=None)
@given(st.integers(0, 2**16))
def test_one_way_cut_is_a_path_not_a_death(seed: int) -> None:
    """Two nodes that hear each other one way only are vouched for by the others."""
    network = FakeNetwork(8, seed)
    network.run(15.0)
    network.cuts = {("n3", "n4")}
    for _ in range(20):
        network.run(1.0)
        assert MemberState.DEAD not in network.states("n4") | network.states("n3")


@settings(max_examples=5, deadline=None)
@given(st.integers(0, 2**16))
def test_split_parts_merge(seed: int) -> None:
    """Both parts declare each other dead, serve on, and find each other again."""
    network = FakeNetwork(8, seed)
    network.run(15.0)
    part = {"n0", "n2", "n4", "n6"}
    rest = set(network.nodes) - part
    network.cuts = {(a, b) for a in part for b in rest} | {(b, a) for a in part for b in rest}
    network.run(40.0)
    assert network.states("n0") == {MemberState.ALIVE, MemberState.DEAD}
    network.cuts = set()
    assert network.eventually(lambda: all_alive(network), 120.0)


def test_paused_node_judges_nobody_by_its_own_pause() -> None:
    """A process that wakes late does not suspect those whose answers it slept through."""
    network = FakeNetwork(6, 1)
    network.run(15.0)
    network.frozen = {"n2"}
    network.run(30.0)
    network.frozen = set()
    network.nodes["n2"].resume(network.now)
    network.run(0.5)
    believed = {member.state for member in network.nodes["n2"].all()}
    assert MemberState.DEAD not in believed
    assert network.eventually(lambda: all_alive(network), 60.0)


def test_leaving_is_said_by_the_one_who_leaves() -> None:
    """It is not taken back by old news, and ends in dead once the process is gone."""
    network = FakeNetwork(6, 2)
    network.run(15.0)
    network.nodes["n4"].leave()
    assert network.eventually(lambda: network.states("n4") == {MemberState.LEAVING}, 20.0)
    network.run(10.0)
    assert network.states("n4") == {MemberState.LEAVING}
    del network.nodes["n4"]
    assert network.eventually(lambda: network.states("n4") == {MemberState.DEAD}, 40.0)

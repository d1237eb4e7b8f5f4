"""Membership over a fake network with loss, delay, duplication, reordering and partitions."""

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
    """Delivers datagrams between nodes in virtual time, with faults.

    Args:
        count: Number of nodes; the first two seed the others.
        seed: Seed of all random numbers.
        loss: Share of datagrams that are lost; the same share is duplicated.
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
        """Start or restart a node's process."""
        own = _member(vm, incarnation)
        self.nodes[vm] = Members(own, random.Random(self.rng.random()))
        self.nodes[vm].seed(self.now, [_member("n0", 0), _member("n1", 0)])

    def join(self, vm: str, incarnation: int, by: str) -> None:
        """Start a node's process that knows only the address of one node, and send that a sync."""
        self.nodes[vm] = Members(_member(vm, incarnation), random.Random(self.rng.random()))
        self._post(vm, [Send((by, PORT), "sync", 0)])

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
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
        """Return the states that the other nodes record for one node."""
        believed = (node.get(of) for vm, node in self.nodes.items() if vm != of)
        return {member.state for member in believed if member is not None}

    def eventually(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Advance virtual time until a condition holds, and return whether it does."""
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
    """Return whether every node has every other recorded as alive."""
    count = len(network.nodes)
    return all(
        node.size == count and all(m.state is MemberState.ALIVE for m in node.all())
        for node in network.nodes.values()
    )


@settings(max_examples=10, deadline=None)
@given(st.integers(0, 2**16))
def test_all_nodes_become_alive_despite_lost_datagrams(seed: int) -> None:
    """10 % of datagrams are lost and 10 % duplicated; all are delayed and reordered."""
    network = FakeNetwork(8, seed, loss=0.1)
    network.run(30.0)
    network.loss = 0.0
    assert network.eventually(lambda: all_alive(network), 60.0)


@settings(max_examples=10, deadline=None)
@given(st.integers(0, 2**16))
def test_death_and_restart_of_a_node_are_detected(seed: int) -> None:
    """A killed node becomes dead on all nodes; its next process becomes alive on all nodes."""
    network = FakeNetwork(8, seed)
    network.run(15.0)
    del network.nodes["n5"]
    assert network.eventually(lambda: network.states("n5") == {MemberState.DEAD}, 40.0)
    network.start("n5", 2)
    assert network.eventually(lambda: network.states("n5") == {MemberState.ALIVE}, 40.0)


@settings(max_examples=10, deadline=None)
@given(st.integers(0, 2**16))
def test_a_restarted_node_learns_all_members_within_seconds(seed: int) -> None:
    """A sync reply contains all members: gossip rarely spreads those of other data halls."""
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
def test_a_one_way_partition_makes_no_node_dead(seed: int) -> None:
    """If datagrams pass in one direction only, indirect probes keep both nodes alive."""
    network = FakeNetwork(8, seed)
    network.run(15.0)
    network.cuts = {("n3", "n4")}
    for _ in range(20):
        network.run(1.0)
        assert MemberState.DEAD not in network.states("n4") | network.states("n3")


@settings(max_examples=5, deadline=None)
@given(st.integers(0, 2**16))
def test_partitions_merge(seed: int) -> None:
    """Both sides declare each other dead, continue, and merge once the partition ends."""
    network = FakeNetwork(8, seed)
    network.run(15.0)
    part = {"n0", "n2", "n4", "n6"}
    rest = set(network.nodes) - part
    network.cuts = {(a, b) for a in part for b in rest} | {(b, a) for a in part for b in rest}
    network.run(40.0)
    assert network.states("n0") == {MemberState.ALIVE, MemberState.DEAD}
    network.cuts = set()
    assert network.eventually(lambda: all_alive(network), 120.0)


def test_a_paused_node_declares_no_member_dead() -> None:
    """A process that resumes does not blame members for replies it missed while paused."""
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


def test_leaving_state_lasts_until_the_node_is_dead() -> None:
    """Older rumors do not override it; the node becomes dead once its process has ended."""
    network = FakeNetwork(6, 2)
    network.run(15.0)
    network.nodes["n4"].leave()
    assert network.eventually(lambda: network.states("n4") == {MemberState.LEAVING}, 20.0)
    network.run(10.0)
    assert network.states("n4") == {MemberState.LEAVING}
    del network.nodes["n4"]
    assert network.eventually(lambda: network.states("n4") == {MemberState.DEAD}, 40.0)

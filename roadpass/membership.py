"""A SWIM-like membership protocol as a pure state machine: datagrams in, datagrams out."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from roadpass.member import UNKNOWN_INCARNATION, Member, MemberState, Send, overrides

PROBE_PERIOD_S = 1.0
DIRECT_ACK_TIMEOUT_S = 0.35
"""Seconds to wait for a direct acknowledgement before other members are asked to probe."""
INDIRECT_PROBES = 3
SUSPICION_TIMEOUT_S = 3.0
"""Base of the time in which a suspect can refute; multiplied by log10 of the group size."""
DEAD_RETENTION_S = 600.0
REJOIN_INTERVAL_S = 2.0
"""Interval at which one dead member is probed, so that partitions merge again."""
TRANSMIT_FACTOR = 3
MAX_RUMORS = 10
RELAY_RETENTION_S = 2.0
MEMBERS_PER_DATAGRAM = 8
"""Members in one datagram of a sync reply; with hints added they still fit into 1,200 bytes."""
MAX_SYNC_MEMBERS = 96
"""Maximum number of members in a sync reply, chosen at random: 12 datagrams. A node that syncs with
three peers thus learns all of a fleet of current size at once, and enough of a larger one for the
rest to discover it."""
LOCAL_PROBE_SHARE = 0.95
"""Share of the probes that go to members of the same data hall. Traffic between data halls is
billed, and each hall has enough members to monitor each other."""


@dataclass(slots=True)
class _Probe:
    vm: str
    number: int
    sent_at: float
    indirect_sent: bool = False


@dataclass(slots=True)
class _Relay:
    to: tuple[str, int]
    number: int
    on: str
    at: float


@dataclass(slots=True)
class _Clocks:
    next_period: float = 0.0
    next_rejoin: float = 0.0
    since: dict[str, float] = field(default_factory=dict)


class Members:
    """One node's view of the fleet; not thread-safe.

    Args:
        own: Record of this node.
        rng: Source of randomness.
    """

    def __init__(self, own: Member, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._halls: dict[tuple[str, int], str] = {}
        self._order: list[str] = []
        self._rumors: dict[str, int] = {}
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._number = 0
        self._clocks = _Clocks()
        self._changed: list[Member] = []

    @property
    def own(self) -> Member:
        """Record of this node, with its current incarnation and state."""
        return self._own

    @property
    def size(self) -> int:
        """Number of known members, including this node and dead ones."""
        return len(self._members) + 1

    def get(self, vm: str) -> Member | None:
        """Return the record of another node, `None` if it is unknown."""
        return self._members.get(vm)

    def all(self) -> list[Member]:
        """Return all other members, dead ones included."""
        return list(self._members.values())

    def alive(self) -> list[Member]:
        """Return the other members that are not dead."""
        return [m for m in self._members.values() if m.state is not MemberState.DEAD]

    def changes(self) -> list[Member]:
        """Return the members that changed since the last call."""
        changed, self._changed = self._changed, []
        return changed

    def seed(self, now: float, members: Iterable[Member], *, spread: bool = True) -> None:
        """Add members from a list that may be stale: only unknown nodes are added.

        Args:
            now: Clock seconds.
            members: Listed members.
            spread: Whether to gossip about them; `False` where all nodes read the same list.
        """
        for member in members:
            if member.vm not in self._members and member.vm != self._own.vm:
                self._put(now, member, spread=spread)

    def leave(self) -> None:
        """Mark this node as leaving; its own record carries that in every datagram."""
        if self._own.state is not MemberState.LEAVING:
            self._set_own(self._own.incarnation, MemberState.LEAVING)

    def mark_leaving(self, now: float, vm: str) -> None:
        """Mark a member that the platform lists as leaving, and gossip about it."""
        member = self._members.get(vm)
        if member is not None and member.state < MemberState.LEAVING:
            self._put(now, member._replace(state=MemberState.LEAVING))

    def tick(self, now: float) -> list[Send]:
        """Run the timers: probe, suspect, declare dead and remove members.

        Returns:
            The datagrams to send.
        """
        sends = self._probe_indirectly(now)
        if now >= self._clocks.next_period:
            self._clocks.next_period = now + PROBE_PERIOD_S
            self._end_probe(now)
            self._expire(now)
            sends += self._start_probe(now)
        if now >= self._clocks.next_rejoin:
            self._clocks.next_rejoin = now + REJOIN_INTERVAL_S
            sends += self._probe_dead()
        return sends

    def resume(self, now: float) -> None:
        """Drop the pending probe and restart timers after a pause of this process.

        A missing reply or an expired suspicion would otherwise be blamed on other members.
        """
        self._probe = None
        self._relays.clear()
        self._clocks.next_period = now + PROBE_PERIOD_S
        for vm, member in self._members.items():
            if member.state is MemberState.SUSPECT:
                self._clocks.since[vm] = now

    def receive(
        self, now: float, type_: str, sender: str, number: int, on: str, rumors: Iterable[Any]
    ) -> list[Send]:
        """Process one checked datagram and return the datagrams to send in response."""
        for row in rumors:
            self.merge(now, Member.from_rumor(row), spread=type_ != "members")
        member = self._members.get(sender)
        if member is None:
            return []
        if member.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._rumors[sender] = 0
        back = (member.address, member.gossip_port)
        match type_:
            case "ping":
                return [Send(back, "ack", number, self._own.vm)]
            case "sync":
                return [Send(back, "ack", number, self._own.vm), *self._member_pages(back)]
            case "ping_req":
                return self._relay(now, back, number, on)
            case "ack":
                return self._acknowledge(number, on)
            case _:
                return []

    def merge(self, now: float, member: Member, *, spread: bool = True) -> bool:
        """Merge a rumor into the view.

        Args:
            now: Clock seconds.
            member: Record in the rumor.
            spread: Whether to gossip about it.

        Returns:
            Whether the view changed.
        """
        if member.vm == self._own.vm:
            return self._refute(member)
        known = self._members.get(member.vm)
        if known is None and member.state is MemberState.DEAD:
            return False
        if known is not None and not overrides(member, known):
            return False
        self._put(now, member, spread=spread)
        return True

    def rumors(self) -> list[Member]:
        """Return the records for the next datagram: this node's, then the least sent rumors."""
        limit = TRANSMIT_FACTOR * math.ceil(math.log2(self.size + 1))
        ordered = sorted(self._rumors, key=self._rumors.__getitem__)[: MAX_RUMORS - 1]
        chosen = [self._own]
        for vm in ordered:
            self._rumors[vm] += 1
            if self._rumors[vm] >= limit:
                del self._rumors[vm]
            member = self._members.get(vm)
            if member is not None:
                chosen.append(member)
        return chosen

    def hall_at(self, address: tuple[str, int]) -> str:
        """Return the data hall of the member at an address, empty if the address is unknown."""
        return self._halls.get(address, "")

    def in_hall(self, hall: str) -> list[Member]:
        """Return the other members of a data hall that are not dead."""
        return [member for member in self.alive() if member.hall == hall]

    def sample(self, count: int, *, hall: str = "") -> list[Member]:
        """Return up to `count` random members that are not dead, those of `hall` first."""
        alive = self.alive()
        self._rng.shuffle(alive)
        alive.sort(key=lambda member: member.hall != hall)
        return alive[:count]

    def _put(self, now: float, member: Member, *, spread: bool = True) -> None:
        known = self._members.get(member.vm)
        if known is not None and member.state is known.state is MemberState.ALIVE:
            spread = spread and known.incarnation != UNKNOWN_INCARNATION
        self._members[member.vm] = member
        self._halls[(member.address, member.gossip_port)] = member.hall
        if known is None:
            self._order.insert(self._rng.randint(0, len(self._order)), member.vm)
        if known is None or known.state is not member.state:
            self._clocks.since[member.vm] = now
        if spread:
            self._rumors[member.vm] = 0
        self._changed.append(member)

    def _set_own(self, incarnation: int, state: MemberState) -> None:
        self._own = self._own._replace(incarnation=incarnation, state=state)

    def _refute(self, member: Member) -> bool:
        if member.incarnation < self._own.incarnation:
            return False
        if member.state is MemberState.LEAVING and member.incarnation == self._own.incarnation:
            self.leave()
            return True
        if member.state > self._own.state or member.incarnation > self._own.incarnation:
            self._set_own(member.incarnation + 1, self._own.state)
            return True
        return False

    def _start_probe(self, now: float) -> list[Send]:
        near = self._rng.random() < LOCAL_PROBE_SHARE
        for _ in range(len(self._order)):
            vm = self._order.pop(self._next_to_probe(near=near))
            member = self._members.get(vm)
            if member is None:
                continue
            self._order.insert(self._rng.randint(len(self._order) // 2, len(self._order)), vm)
            if member.state is MemberState.DEAD:
                continue
            if member.state is MemberState.SUSPECT:
                self._rumors[vm] = 0
            self._number += 1
            self._probe = _Probe(vm, self._number, now)
            return [Send((member.address, member.gossip_port), "ping", self._number)]
        return []

    def _next_to_probe(self, *, near: bool) -> int:
        """Return the index of the next member to probe, in this data hall or outside it.

        The first member in order is used if there is no such member.
        """
        for place, vm in enumerate(self._order):
            member = self._members.get(vm)
            if member is not None and (member.hall == self._own.hall) is near:
                return place
        return 0

    def _probe_indirectly(self, now: float) -> list[Send]:
        probe = self._probe
        if probe is None or probe.indirect_sent or now - probe.sent_at < DIRECT_ACK_TIMEOUT_S:
            return []
        probe.indirect_sent = True
        others = [m for m in self.alive() if m.vm != probe.vm]
        chosen = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [
            Send((m.address, m.gossip_port), "ping_req", probe.number, probe.vm) for m in chosen
        ]

    def _end_probe(self, now: float) -> None:
        probe, self._probe = self._probe, None
        member = self._members.get(probe.vm) if probe else None
        if member is None:
            return
        if member.state is MemberState.ALIVE:
            self._put(now, member._replace(state=MemberState.SUSPECT))
        elif member.state is MemberState.LEAVING:
            self._put(now, member._replace(state=MemberState.DEAD))

    def _probe_dead(self) -> list[Send]:
        dead = [m for m in self._members.values() if m.state is MemberState.DEAD]
        if not dead:
            return []
        member = self._rng.choice(dead)
        self._rumors[member.vm] = 0
        self._number += 1
        return [Send((member.address, member.gossip_port), "ping", self._number)]

    def _expire(self, now: float) -> None:
        limit = SUSPICION_TIMEOUT_S * max(1.0, math.log10(self.size))
        for vm, member in list(self._members.items()):
            age = now - self._clocks.since.get(vm, now)
            if member.state is MemberState.SUSPECT and age >= limit:
                self._put(now, member._replace(state=MemberState.DEAD))
            elif member.state is MemberState.DEAD and age >= DEAD_RETENTION_S:
                self._forget(vm)

    def _forget(self, vm: str) -> None:
        member = self._members.pop(vm)
        self._halls.pop((member.address, member.gossip_port), None)
        self._clocks.since.pop(vm, None)
        self._rumors.pop(vm, None)

    def _relay(self, now: float, to: tuple[str, int], number: int, on: str) -> list[Send]:
        member = self._members.get(on)
        if member is None:
            return []
        old = [n for n, relay in self._relays.items() if now - relay.at > RELAY_RETENTION_S]
        for n in old:
            del self._relays[n]
        self._number += 1
        self._relays[self._number] = _Relay(to, number, on, now)
        return [Send((member.address, member.gossip_port), "ping", self._number)]

    def _member_pages(self, to: tuple[str, int]) -> list[Send]:
        """Return datagrams that introduce up to `MAX_SYNC_MEMBERS` members to a starting node.

        It learns the members of its own data hall within seconds through gossip, but those of other
        data halls only by chance.
        """
        known = self.alive()
        rows = self._rng.sample(known, min(MAX_SYNC_MEMBERS, len(known)))
        pages = [
            tuple(rows[at : at + MEMBERS_PER_DATAGRAM])
            for at in range(0, len(rows), MEMBERS_PER_DATAGRAM)
        ]
        return [Send(to, "members", 0, rows=page) for page in pages]

    def _acknowledge(self, number: int, on: str) -> list[Send]:
        if self._probe is not None and self._probe.number == number and self._probe.vm == on:
            self._probe = None
        relay = self._relays.get(number)
        if relay is None or relay.on != on:
            return []
        del self._relays[number]
        return [Send(relay.to, "ack", relay.number, on)]

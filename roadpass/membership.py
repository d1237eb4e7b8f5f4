"""Membership: a SWIM-like protocol as a pure state machine; datagrams in, datagrams out."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from roadpass.member import UNHEARD, Member, MemberState, Send, overrides

PERIOD_S = 1.0
DIRECT_S = 0.35
"""Wait for a direct acknowledgement before others are asked to probe."""
INDIRECT_PROBES = 3
SUSPICION_S = 3.0
"""Base of the time a suspect has to refute, times the logarithm of the group's size."""
DEAD_KEPT_S = 600.0
REJOIN_S = 2.0
"""How often one dead member is probed, so that split parts find each other again."""
TRANSMIT_FACTOR = 3
MAX_RUMORS = 10
RELAY_KEPT_S = 2.0
PAGE_ROWS = 8
"""Members on one datagram of an answer to a sync: they fit into 1,200 bytes with hints beside."""
INTRODUCED_MAX = 96
"""Members that a sync is answered with at the most, chosen at random: 12 datagrams. Who asks three
peers thus knows any fleet of today at once, and of a larger one enough to be found by the rest."""
NEAR_PROBES = 0.95
"""Share of the probes that go to members of the own data hall: bytes between data halls are paid
for, and each of them has members enough to watch each other."""


@dataclass(slots=True)
class _Probe:
    vm: str
    number: int
    sent_at: float
    asked_others: bool = False


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
    """The view of the fleet that one node holds.

    Args:
        own: This node's record.
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
        """This node's record."""
        return self._own

    @property
    def size(self) -> int:
        """Known members, this node included."""
        return len(self._members) + 1

    def get(self, vm: str) -> Member | None:
        """Return what is known of another node."""
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
        """Take in members from a list that lags: only nodes not known yet are added.

        Args:
            now: Seconds.
            members: On the list.
            spread: Whether others are to hear of them; not where all read the same list.
        """
        for member in members:
            if member.vm not in self._members and member.vm != self._own.vm:
                self._put(now, member, spread=spread)

    def leave(self) -> None:
        """Say that this node is leaving."""
        if self._own.state is not MemberState.LEAVING:
            self._set_own(self._own.incarnation, MemberState.LEAVING)

    def mark_leaving(self, now: float, vm: str) -> None:
        """Spread that the platform lists a VM as leaving."""
        member = self._members.get(vm)
        if member is not None and member.state < MemberState.LEAVING:
            self._put(now, member._replace(state=MemberState.LEAVING))

    def tick(self, now: float) -> list[Send]:
        """Probe, suspect, bury and forget as time passes."""
        sends = self._ask_others(now)
        if now >= self._clocks.next_period:
            self._clocks.next_period = now + PERIOD_S
            self._end_probe(now)
            self._bury(now)
            sends += self._start_probe(now)
        if now >= self._clocks.next_rejoin:
            self._clocks.next_rejoin = now + REJOIN_S
            sends += self._probe_dead()
        return sends

    def resume(self, now: float) -> None:
        """After a pause of this process: drop the probe under way and judge nobody by it."""
        self._probe = None
        self._relays.clear()
        self._clocks.next_period = now + PERIOD_S
        for vm, member in self._members.items():
            if member.state is MemberState.SUSPECT:
                self._clocks.since[vm] = now

    def receive(
        self, now: float, type_: str, sender: str, number: int, on: str, news: Iterable[Any]
    ) -> list[Send]:
        """Take in one checked datagram and return what it calls for."""
        for row in news:
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
                return [Send(back, "ack", number, self._own.vm), *self._introduce(back)]
            case "ping_req":
                return self._relay(now, back, number, on)
            case "ack":
                return self._acknowledge(number, on)
            case _:
                return []

    def merge(self, now: float, member: Member, *, spread: bool = True) -> bool:
        """Take in a rumor.

        Args:
            now: Seconds.
            member: As the rumor has it.
            spread: Whether others are to hear of it.

        Returns:
            Whether it was news.
        """
        if member.vm == self._own.vm:
            return self._hear_of_self(member)
        known = self._members.get(member.vm)
        if known is None and member.state is MemberState.DEAD:
            return False
        if known is not None and not overrides(member, known):
            return False
        self._put(now, member, spread=spread)
        return True

    def rumors(self) -> list[Member]:
        """Return the rumors to put on the next datagram, the least sent first."""
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
        """Return the data hall of the member at an address, empty if none is known there."""
        return self._halls.get(address, "")

    def in_hall(self, hall: str) -> list[Member]:
        """Return the other members of a data hall that are not dead."""
        return [member for member in self.alive() if member.hall == hall]

    def sample(self, count: int, *, hall: str = "") -> list[Member]:
        """Return some random members that are not dead, of a data hall first if it is named."""
        alive = self.alive()
        self._rng.shuffle(alive)
        alive.sort(key=lambda member: member.hall != hall)
        return alive[:count]

    def _put(self, now: float, member: Member, *, spread: bool = True) -> None:
        known = self._members.get(member.vm)
        if known is not None and member.state is known.state is MemberState.ALIVE:
            spread = spread and known.incarnation != UNHEARD
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

    def _hear_of_self(self, member: Member) -> bool:
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
        near = self._rng.random() < NEAR_PROBES
        for _ in range(len(self._order)):
            vm = self._order.pop(self._next_in_order(near=near))
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

    def _next_in_order(self, *, near: bool) -> int:
        """Return the place of the next to probe, of the own data hall or not, if there is one."""
        for place, vm in enumerate(self._order):
            member = self._members.get(vm)
            if member is not None and (member.hall == self._own.hall) is near:
                return place
        return 0

    def _ask_others(self, now: float) -> list[Send]:
        probe = self._probe
        if probe is None or probe.asked_others or now - probe.sent_at < DIRECT_S:
            return []
        probe.asked_others = True
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

    def _bury(self, now: float) -> None:
        limit = SUSPICION_S * max(1.0, math.log10(self.size))
        for vm, member in list(self._members.items()):
            age = now - self._clocks.since.get(vm, now)
            if member.state is MemberState.SUSPECT and age >= limit:
                self._put(now, member._replace(state=MemberState.DEAD))
            elif member.state is MemberState.DEAD and age >= DEAD_KEPT_S:
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
        old = [n for n, relay in self._relays.items() if now - relay.at > RELAY_KEPT_S]
        for n in old:
            del self._relays[n]
        self._number += 1
        self._relays[self._number] = _Relay(to, number, on, now)
        return [Send((member.address, member.gossip_port), "ping", self._number)]

    def _introduce(self, to: tuple[str, int]) -> list[Send]:
        """Tell a node that starts of all members.

        It hears those of its own data hall within seconds by itself, the others only by chance.
        """
        known = self.alive()
        rows = self._rng.sample(known, min(INTRODUCED_MAX, len(known)))
        pages = [tuple(rows[at : at + PAGE_ROWS]) for at in range(0, len(rows), PAGE_ROWS)]
        return [Send(to, "members", 0, rows=page) for page in pages]

    def _acknowledge(self, number: int, on: str) -> list[Send]:
        if self._probe is not None and self._probe.number == number and self._probe.vm == on:
            self._probe = None
        relay = self._relays.get(number)
        if relay is None or relay.on != on:
            return []
        del self._relays[number]
        return [Send(relay.to, "ack", relay.number, on)]

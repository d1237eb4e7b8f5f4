"""A fleet of accounts of repeats with an unreliable network, in virtual time and one thread.

Each VM has one target. Its sidecar counts arrivals, and takes repeats whenever it may. Messages are
lost, doubled and delayed, the fleet is cut into halves, processes restart, and targets come and go.
"""

import heapq
import random
from typing import NamedTuple

from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import Policy, build_fleet
from roadpass.fleet import Fleet
from roadpass.fleet_repeats import FleetRepeats, Neighbours
from roadpass.message import Attempt
from roadpass.repeat_loans import LoanMessage
from roadpass.sharing import Sharing
from roadpass.source import PublishedConfig, PublishedService, TargetEntry

WINDOW_S = 10.0
RATIO = 0.2
SLACK = 40.0
"""More than the share of the requests, so that a mistake with the slack passes the limit."""
SERVICE = "s"
CLASS = ""
TICK_S = 0.1
SYNC_S = 0.4
"""Seconds between confirmations of the targets by a node that reaches the source."""


class Faults(NamedTuple):
    """What goes wrong.

    Args:
        lost: Share of the messages that are lost.
        doubled: Share of the messages that arrive twice.
        late: Share of the messages that are late, by up to 3 s.
        partition: Begin and end of a partition into halves; the source is in the first.
        restarts_per_s: Restarts of processes.
        changes_per_s: Targets that are added or withdrawn.
    """

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    partition: tuple[float, float] = (0.0, 0.0)
    restarts_per_s: float = 0.0
    changes_per_s: float = 0.0


class Network:
    """The accounts of all VMs and the messages between them.

    Args:
        seed: Seed of all random choices.
        faults: What goes wrong.
        vms: Number of VMs.
        serving: Number of VMs that have a target at first.
        pace_per_s: Requests of the whole fleet.

    Attributes:
        firsts: Times of the first arrivals.
        repeats: Times of the repeats.
        sent: Number of messages sent.
    """

    def __init__(
        self, seed: int, faults: Faults, *, vms: int = 6, serving: int = 4, pace_per_s: float = 8.0
    ) -> None:
        self._rng = random.Random(seed)
        self._faults = faults
        self._vms = [f"vm-{number}" for number in range(vms)]
        self._halves = {vm: number % 2 for number, vm in enumerate(self._vms)}
        self._serving = set(self._vms[:serving])
        self._pace_per_s = pace_per_s
        self._starts = 0
        self._queue: list[tuple[float, int, str, LoanMessage]] = []
        self._number = 0
        self._now = 100.0
        self._views: dict[str, Fleet] = {}
        self.firsts: list[float] = []
        self.repeats: list[float] = []
        self.sent = 0
        self.nodes = {vm: self._start(vm) for vm in self._vms}

    def run(self, seconds: float, *, quiet_s: float = 0.0) -> None:
        """Let time pass; far more repeats are wanted than are allowed.

        Args:
            seconds: Time that passes.
            quiet_s: Length of the times without repeats, each followed by one in which many come.
        """
        end = self._now + seconds
        while self._now < end:
            self._now += self._rng.expovariate(self._pace_per_s)
            self._deliver()
            self._fail()
            self._tick_all()
            vm = self._rng.choice(self._vms)
            if not self._has_target(vm):
                continue
            self.nodes[vm].record_first(self._now, SERVICE, attempt_of_caller())
            self.firsts.append(self._now)
            if quiet_s == 0.0 or int(self._now / quiet_s) % 2:
                for _ in range(4):
                    self._repeat(self._rng.choice(self._vms))

    def _repeat(self, vm: str) -> None:
        """Let a repeat arrive at a VM if its account allows it, as the sidecar does."""
        node = self.nodes[vm]
        if not self._has_target(vm) or not node.has_repeat_left(self._now, SERVICE, CLASS):
            return
        if node.take(self._now, SERVICE, CLASS):
            self.repeats.append(self._now)

    def _has_target(self, vm: str) -> bool:
        """Return whether a VM's sidecar has a target, by its own view of the fleet."""
        return any(target.vm == vm for target in self._views[vm].targets.values())

    def _start(self, vm: str) -> FleetRepeats:
        self._starts += 1
        node = FleetRepeats(vm, self._starts, random.Random(self._rng.random()))
        self._views[vm] = fleet_of(self._serving)
        node.configure(self._now, self._views[vm])
        self._next_tick = getattr(self, "_next_tick", self._now)
        return node

    def _cut(self) -> bool:
        begin, end = self._faults.partition
        return begin <= self._now - 100.0 < end

    def _reaches_source(self, vm: str) -> bool:
        return self._halves[vm] == 0 or not self._cut()

    def _tick_all(self) -> None:
        if self._now < self._next_tick:
            return
        self._next_tick = self._now + TICK_S
        for vm, node in self.nodes.items():
            if self._reaches_source(vm) and self._rng.random() < TICK_S / SYNC_S:
                self._views[vm] = fleet_of(self._serving)
                node.configure(self._now, self._views[vm])
                node.confirm(self._now)
            others = tuple(one for one in self._vms if one != vm)
            for message in node.tick(self._now, Neighbours(others)):
                self._send(vm, message)

    def _send(self, vm: str, message: LoanMessage) -> None:
        self.sent += 1
        rng, faults = self._rng, self._faults
        cut = self._cut() and self._halves[vm] != self._halves[message.vm]
        if cut or rng.random() < faults.lost:
            return
        for _ in range(2 if rng.random() < faults.doubled else 1):
            delay_s = rng.uniform(0.0, 3.0) if rng.random() < faults.late else 0.001
            self._number += 1
            rows = LoanMessage(vm, message.rows)
            heapq.heappush(self._queue, (self._now + delay_s, self._number, message.vm, rows))

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self._now:
            _, _, vm, message = heapq.heappop(self._queue)
            for reply in self.nodes[vm].receive(self._now, message):
                self._send(vm, reply)

    def _fail(self) -> None:
        share = 1.0 / self._pace_per_s
        if self._rng.random() < self._faults.restarts_per_s * share:
            vm = self._rng.choice(self._vms)
            if self._reaches_source(vm):  # a process that starts needs the source
                self.nodes[vm] = self._start(vm)
        if self._rng.random() < self._faults.changes_per_s * share:
            vm = self._rng.choice(self._vms)
            if not self._reaches_source(vm):
                self._serving.discard(vm)  # its entry lapses while it goes on
            elif vm in self._serving and len(self._serving) > 1:
                self._serving.discard(vm)
            else:
                self._serving.add(vm)


def fleet_of(serving: set[str]) -> Fleet:
    """Return a fleet with the switch on and one target on each of some VMs."""
    entries = [
        TargetEntry(f"{SERVICE}-{vm}", SERVICE, f"{vm}:80", "hall", 3, leaving=False)
        for vm in sorted(serving)
    ]
    policy = Policy(0.7, RATIO, SLACK, WINDOW_S, sharing=Sharing(fleet_repeats=True))
    services = {SERVICE: PublishedService(SERVICE, 1000)}
    return build_fleet(PublishedConfig(1, (), services, CallerLimits()), entries, policy)


def attempt_of_caller() -> Attempt:
    """Return the first attempt at a request of a caller."""
    return Attempt(
        id="vm-0/1/1",
        target="t",
        route="r",
        method="GET",
        path="/",
        headers=[],
        body=b"",
        remaining_ms=1000.0,
        traffic_class=CLASS,
        caller="c",
        repeatable=True,
        retry=False,
        revision=1,
        slow_ms=0.0,
    )

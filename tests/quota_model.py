"""Simulates a fleet that enforces one customer's limit: real gates and ledgers, modelled datagrams.

Time is virtual. Datagrams are delayed, lost at random or dropped by scheduled partitions. Requests
arrive at nodes by weight. Admissions are compared with those of one bucket that sees all requests.
"""

import bisect
import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from roadpass.quota import Allowance, Limit, QuotaPolicy, Report
from roadpass.quota_gate import QuotaGate
from roadpass.quota_ledger import QuotaLedger
from roadpass.vm_size import SizeHandover

TICK_S = 0.1
"""Seconds between a node's checks for reports to send."""
MAX_DELAY_S = 0.01
"""Maximum delay of a datagram in seconds, with the time until it is read."""
DEAD_AFTER_S = 4.0
"""Seconds until an unreachable node is considered dead."""
CUSTOMER = "library"


class Play(NamedTuple):
    """The load and the faults of one simulation.

    Args:
        limit: Limit of the customer.
        per_s: Requests per second at a given time.
        nodes: Number of nodes.
        weights: Weights by which requests are spread over the nodes; equal if empty.
        lost: Share of the datagrams that are lost.
        apart: Partition of a node at a given time; nodes of different partitions are cut off from
            each other.
        restarts: Times and numbers of nodes that restart.
        sizes: Sizes of the VMs that a node knows at a given time, by number.
        seconds: Length of the simulation.
    """

    limit: Limit
    per_s: Callable[[float], float]
    nodes: int = 100
    weights: tuple[float, ...] = ()
    lost: float = 0.0
    apart: Callable[[int, float], int] = lambda node, at: 0
    restarts: tuple[tuple[float, int], ...] = ()
    sizes: Callable[[int, float], dict[int, float]] = lambda node, at: {}
    seconds: float = 30.0

    @property
    def enforced(self) -> Limit:
        """The limit that the gates enforce, with its tolerance."""
        return QuotaPolicy(5.0, 0.25, 20.0).limit(self.limit.rate_per_s, self.limit.burst)


class Request(NamedTuple):
    """The arrival of a request, and whether it was admitted."""

    at: float
    admitted: bool


class Fleet:
    """One simulation; use `run`."""

    def __init__(self, play: Play, seed: int) -> None:
        self.play = play
        self.datagrams = 0
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._epochs = itertools.count(1, 1000)
        self._names = [f"10.0.0.{number}" for number in range(play.nodes)]
        self._gates = [QuotaGate(next(self._epochs)) for _ in self._names]
        self._ledgers = [QuotaLedger() for _ in self._names]
        self._sizes = [SizeHandover() for _ in self._names]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._requests: list[Request] = []

    @classmethod
    def run(cls, play: Play, seed: int = 1) -> "Fleet":
        """Simulate to the end."""
        fleet = cls(play, seed)
        for node in range(play.nodes):
            fleet._at(fleet._rng.uniform(0.0, TICK_S), partial(fleet._tick, node))
        for at, node in play.restarts:
            fleet._at(at, partial(fleet._restart, node))
        fleet._at(0.0, fleet._arrive)
        while fleet._events:
            at, _, action = heapq.heappop(fleet._events)
            if at > play.seconds:
                break
            action(at)
        return fleet

    @property
    def requests(self) -> list[Request]:
        """All requests in order of arrival."""
        return self._requests

    def overrun(self, window_s: float, over: float, slack: float) -> float:
        """Return the largest excess of admitted requests over the bound, in any window."""
        rate, burst, *_ = self.play.limit
        bound = (rate * window_s + burst) * (1.0 + over) + slack
        times = [one.at for one in self._requests if one.admitted]
        ends = (bisect.bisect_left(times, begin + window_s) for begin in times)
        worst = max((end - begin for begin, end in enumerate(ends)), default=0)
        return worst - bound

    def wrongly_refused(self) -> float:
        """Return the share of the requests admissible with perfect knowledge that were refused."""
        rate, level, *_ = self.play.limit
        last, admissible, admitted = 0.0, 0, 0
        for one in self._requests:
            level = min(self.play.limit.burst, level + (one.at - last) * rate)
            last = one.at
            admitted += one.admitted
            if level >= 1.0:
                level -= 1.0
                admissible += 1
        return max(0.0, 1.0 - admitted / admissible) if admissible else 0.0

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _arrive(self, now: float) -> None:
        per_s = self.play.per_s(now)
        if self._requests or per_s:
            weights = self.play.weights or None
            (node,) = self._rng.choices(range(self.play.nodes), weights)
            wait_s = self._gates[node].admit(now, CUSTOMER, self.play.enforced, self.play.nodes)
            self._requests.append(Request(now, wait_s == 0.0))
        self._at(now + self._rng.expovariate(max(per_s, 0.01)), self._arrive)

    def _tick(self, node: int, now: float) -> None:
        known = {self._names[vm]: cores for vm, cores in self.play.sizes(node, now).items()}
        sizes = self._sizes[node].update(now, known)
        due = self._gates[node].due(now, self._alive_nodes(now, node), sizes)
        for owner, reports in due.items():
            for report in reports:
                self._send(now, node, owner, partial(self._receive_report, node, owner, report))
        self._at(now + TICK_S, partial(self._tick, node))

    def _receive_report(self, ingress: int, owner: str, report: Report, now: float) -> None:
        node = self._names.index(owner)
        share = len(self._alive_nodes(now, node)) / self.play.nodes
        allowance = self._ledgers[node].apply_report(
            now, self._names[ingress], report, self.play.enforced, alive_share=share
        )
        reply = partial(self._receive_allowance, ingress, owner, allowance)
        self._send(now, node, self._names[ingress], reply)

    def _receive_allowance(
        self, ingress: int, owner: str, allowance: Allowance, now: float
    ) -> None:
        self._gates[ingress].receive(now, owner, allowance)

    def _send(self, now: float, node: int, to: str, action: Callable[[float], None]) -> None:
        other = self._names.index(to)
        if other != node:
            self.datagrams += 1
            if self._rng.random() < self.play.lost or self._cut(now, node, other):
                return
        self._at(now + (self._rng.uniform(0.0, MAX_DELAY_S) if other != node else 0.0), action)

    def _cut(self, now: float, node: int, other: int) -> bool:
        return self.play.apart(node, now) != self.play.apart(other, now)

    def _alive_nodes(self, now: float, node: int) -> list[str]:
        """Return the nodes that `node` believes alive; it detects a cut after `DEAD_AFTER_S`."""
        return [
            name
            for other, name in enumerate(self._names)
            if not (self._cut(now, node, other) and self._cut(now - DEAD_AFTER_S, node, other))
        ]

    def _restart(self, node: int, _: float) -> None:
        self._gates[node] = QuotaGate(next(self._epochs))
        self._ledgers[node] = QuotaLedger()
        self._sizes[node] = SizeHandover()

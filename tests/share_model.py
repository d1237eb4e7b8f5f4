"""Simulates ingresses that share a service: real gates and ledgers, modelled datagrams.

Time is virtual. A slot that becomes free goes to the first request in order of class, standing and
arrival, wherever it waits. Requests that wait too long are refused. Datagrams about shares are
delayed, lost at random or dropped by scheduled cuts.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from roadpass.fair_share import Demand, Share, ShareKey, max_min
from roadpass.share_gate import ShareGate, ShareTicket
from roadpass.share_ledger import ShareLedger

TICK_S = 0.1
"""Seconds between a node's checks for rows to send."""
MAX_DELAY_S = 0.01
DEAD_AFTER_S = 4.0
"""Seconds until a node that is cut off is taken for dead."""
PATIENCE_S = 3.0
"""Seconds for which a request waits for a slot."""


class Load(NamedTuple):
    """Requests of one customer in one class; `per_s` may depend on the time, `where` on nothing.

    Args:
        rank: Index of the class, the most urgent first.
        where: Weights of the ingresses by which they arrive, equal if empty.
    """

    customer: str
    per_s: Callable[[float], float]
    rank: int = 0
    where: tuple[float, ...] = ()


class Play(NamedTuple):
    """The loads and the faults of one simulation.

    Args:
        slots: Slots of the service.
        lost: Share of the datagrams that are lost.
        cut: Whether a node is cut off from the others at a time.
        dead: Whether a node neither sends nor answers anything at a time.
        shares: Whether standings count; without, requests go in order of arrival.
    """

    loads: tuple[Load, ...]
    slots: int = 30
    nodes: int = 10
    service_s: tuple[float, float] = (0.7, 1.7)
    lost: float = 0.0
    cut: Callable[[int, float], bool] = lambda node, at: False
    seconds: float = 60.0
    shares: bool = True


@dataclass(slots=True)
class _Request:
    load: Load
    node: int
    at: float
    ticket: ShareTicket
    done: bool = False


class Fleet:
    """One simulation; use `run`."""

    def __init__(self, play: Play, seed: int) -> None:
        self.play = play
        self.datagrams: list[float] = []
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._names = [f"10.0.0.{number}" for number in range(play.nodes)]
        self._gates = [ShareGate(self._rng) for _ in self._names]
        self._ledgers = [ShareLedger() for _ in self._names]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._waiting: list[tuple[int, int, float, int, _Request]] = []
        self._free = play.slots
        self.arrived: list[tuple[float, Load]] = []
        self.served: list[tuple[float, Load, float]] = []

    @classmethod
    def run(cls, play: Play, seed: int = 1) -> "Fleet":
        """Simulate to the end."""
        fleet = cls(play, seed)
        for node in range(play.nodes):
            fleet._at(fleet._rng.uniform(0.0, TICK_S), partial(fleet._tick, node))
        for load in play.loads:
            fleet._at(0.0, partial(fleet._arrive, load, False))
        while fleet._events:
            at, _, action = heapq.heappop(fleet._events)
            if at > play.seconds:
                break
            action(at)
        return fleet

    @property
    def mean_s(self) -> float:
        """Mean service time in seconds."""
        return sum(self.play.service_s) / 2.0

    def share_served(self, after: float = 5.0, before: float = 1e9) -> dict[tuple[str, int], float]:
        """Return the part of its fair share that each customer got in each class.

        A more urgent class takes its slots first. The share of a customer below the level is its
        demand.
        """
        before = min(before, self.play.seconds - PATIENCE_S - self.play.service_s[1])
        offered: dict[int, Counter[str]] = defaultdict(Counter)
        for at, load in self.arrived:
            if after <= at < before:
                offered[load.rank][load.customer] += 1
        got = Counter(
            (load.customer, load.rank) for at, load, _ in self.served if after <= at < before
        )
        left = self.play.slots * (before - after) / self.mean_s
        parts = {}
        for rank in sorted(offered):
            shares = max_min(left, offered[rank])
            left = max(0.0, left - sum(shares.values()))
            for customer, share in shares.items():
                if share > 0.0:
                    parts[customer, rank] = got[customer, rank] / share
        return parts

    def utilization(self, after: float = 5.0) -> float:
        """Return the share of the slots' time that was used."""
        end = self.play.seconds - PATIENCE_S - self.play.service_s[1]
        used = sum(took for at, _, took in self.served if after <= at < end)
        return used / (self.play.slots * (end - after))

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _arrive(self, load: Load, arrives: bool, now: float) -> None:
        if arrives:
            (node,) = self._rng.choices(range(self.play.nodes), load.where or None)
            key = ShareKey("desk", f"class-{load.rank}")
            ticket = self._gates[node].enter(now, key, load.customer)
            request = _Request(load, node, now, ticket)
            standing = ticket.standing if self.play.shares else 0
            self.arrived.append((now, load))
            entry = (load.rank, standing, now, next(self._numbers), request)
            heapq.heappush(self._waiting, entry)
            self._at(now + PATIENCE_S, partial(self._give_up, request))
            self._grant(now)
        per_s = load.per_s(now)
        wait_s = self._rng.expovariate(per_s) if per_s > 0.0 else 0.5
        self._at(now + wait_s, partial(self._arrive, load, per_s > 0.0))

    def _grant(self, now: float) -> None:
        while self._free and self._waiting:
            request = heapq.heappop(self._waiting)[-1]
            if request.done:
                continue
            request.done = True
            self._free -= 1
            took = self._rng.uniform(*self.play.service_s)
            self.served.append((request.at, request.load, took))
            self._gates[request.node].set_running(now, request.ticket, running=True)
            self._at(now + took, partial(self._end, request))

    def _end(self, request: _Request, now: float) -> None:
        self._gates[request.node].leave(now, request.ticket)
        self._free += 1
        self._grant(now)

    def _give_up(self, request: _Request, now: float) -> None:
        if not request.done:
            request.done = True
            self._gates[request.node].leave(now, request.ticket)

    def _tick(self, node: int, now: float) -> None:
        self._ledgers[node].expire(now)
        for owner, rows in self._gates[node].due(now, self._alive_nodes(now, node)).items():
            self._send(now, node, owner, partial(self._receive_demands, node, owner, rows))
        self._at(now + TICK_S, partial(self._tick, node))

    def _receive_demands(self, node: int, owner: str, rows: list[Demand], now: float) -> None:
        at = self._names.index(owner)
        shares = self._ledgers[at].apply(now, self._names[node], rows)
        self._send(now, at, self._names[node], partial(self._receive_shares, node, owner, shares))

    def _receive_shares(self, node: int, owner: str, shares: list[Share], now: float) -> None:
        self._gates[node].receive(now, owner, shares)

    def _send(self, now: float, node: int, to: str, action: Callable[[float], None]) -> None:
        other = self._names.index(to)
        if other != node:
            self.datagrams.append(now)
            cut = self.play.cut(node, now) or self.play.cut(other, now)
            if cut or self._rng.random() < self.play.lost:
                return
        self._at(now + (self._rng.uniform(0.0, MAX_DELAY_S) if other != node else 0.0), action)

    def _alive_nodes(self, now: float, node: int) -> list[str]:
        """Return the nodes that `node` believes alive; it detects a cut after `DEAD_AFTER_S`."""
        before = now - DEAD_AFTER_S
        if self.play.cut(node, now) and self.play.cut(node, before):
            return [self._names[node]]
        return [
            name
            for other, name in enumerate(self._names)
            if not (self.play.cut(other, now) and self.play.cut(other, before))
        ]


def steady(per_s: float) -> Callable[[float], float]:
    """Return a constant load."""
    return lambda at: per_s


def crowd(hot: float, others: Mapping[str, float], rank: int = 0) -> tuple[Load, ...]:
    """Return a hot customer beside others, with their requests a second."""
    loads = [Load(name, steady(per_s), rank) for name, per_s in others.items()]
    return (Load("hot", steady(hot), rank), *loads)

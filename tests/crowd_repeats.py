"""Loans of repeats between the nodes of `tests.crowd`, and how the allowance is used."""

import random
from bisect import bisect_left
from typing import TYPE_CHECKING

from roadpass.fleet_repeats import Neighbours
from roadpass.repeat_coordinator import TICK_S
from roadpass.repeat_loans import LoanMessage

if TYPE_CHECKING:
    from tests.crowd import Crowd, CrowdNode

DOUBLED_SHARE = 0.05
"""Share of the datagrams that arrive twice, if any are lost."""


class LoanCarrier:
    """Carries the datagrams of loans; some are lost or doubled.

    Args:
        crowd: The simulation.
        seed: Seed of the random choice.

    Attributes:
        sent: Number of datagrams sent.
    """

    def __init__(self, crowd: "Crowd", seed: int) -> None:
        self._crowd = crowd
        self._rng = random.Random(seed)
        self.sent = 0
        self._next: dict[str, float] = {}
        self._restarted: set[tuple[float, int]] = set()

    def tick(self, node: "CrowdNode") -> None:
        """Do the periodic work of a node: the targets are confirmed, and due messages sent.

        The source is in the data hall of the first node.
        """
        crowd, now = self._crowd, self._crowd.world.now
        if now < self._next.get(node.process.vm, 0.0):
            return
        self._next[node.process.vm] = now + TICK_S
        others = [one for one in crowd.nodes.values() if one is not node]
        if crowd.reaches(node, next(iter(crowd.nodes.values()))):
            node.sidecar.repeats.confirm(now)
        near = tuple(one.process.vm for one in others if one.hall == node.hall)
        far = tuple(one.process.vm for one in others if one.hall != node.hall)
        self._carry(node, node.sidecar.repeats.tick(now, Neighbours(near, far)))

    def is_restart_due(self, node: "CrowdNode") -> bool:
        """Return whether a node restarts now, once for each scheduled time."""
        crowd = self._crowd
        number = list(crowd.nodes.values()).index(node)
        due = {
            (at, which)
            for at, which in crowd.load.restarts
            if which == number and at <= crowd.seconds
        } - self._restarted
        self._restarted |= due
        return bool(due)

    def _carry(self, node: "CrowdNode", messages: list[LoanMessage]) -> None:
        crowd, lost = self._crowd, self._crowd.load.datagrams_lost
        for vm, rows in messages:
            peer = crowd.nodes[vm]
            self.sent += 1
            if not crowd.reaches(node, peer) or self._rng.random() < lost:
                continue
            for _ in range(1 + (lost > 0.0 and self._rng.random() < DOUBLED_SHARE)):
                with crowd.world.acting(peer.process):
                    message = LoanMessage(node.process.vm, rows)
                    replies = peer.sidecar.repeats.receive(crowd.world.now, message)
                self._carry(peer, replies)


def repeats_and_firsts(crowd: "Crowd", service: str) -> tuple[list[float], list[float]]:
    """Return the times of a service's repeats and first arrivals, each in order."""
    repeats: list[float] = []
    firsts: list[float] = []
    for (to, name), times in crowd.arrivals.items():
        if to == service:
            firsts.append(times[0])
            repeats += times if name in crowd.called_by_repeats else times[1:]
    return sorted(repeats), sorted(firsts)


def largest_excess(
    repeats: list[float], firsts: list[float], *, ratio: float, slack: float, window_s: float
) -> float:
    """Return the largest excess of repeats over their budget in windows that begin at any time.

    A window is checked at each moment at which its repeats or the requests of one of the windows
    that count for it change.
    """
    edges = set()
    for at in (*repeats, *firsts):
        for shift in (-window_s, -window_s / 2.0, 0.0, window_s / 2.0, window_s):
            edges |= {at + shift, at + shift + 1e-9}
    return max(
        (
            excess(repeats, firsts, begin, ratio=ratio, slack=slack, window_s=window_s)
            for begin in edges
        ),
        default=-slack,
    )


def excess(
    repeats: list[float],
    firsts: list[float],
    begin: float,
    *,
    ratio: float,
    slack: float,
    window_s: float,
) -> float:
    """Return the excess of the repeats in one window over their budget."""
    return _count(repeats, begin, window_s) - _allowed(firsts, begin, ratio, slack, window_s)


def share_used(crowd: "Crowd", service: str, begin: float, ratio: float, window_s: float) -> float:
    """Return the share of a service's allowance that was used in one window.

    Args:
        crowd: The simulation.
        service: The service.
        begin: Begin of the window in virtual seconds.
        ratio: Repeats allowed per request.
        window_s: Length of the window in seconds.
    """
    repeats, firsts = repeats_and_firsts(crowd, service)
    allowed = _allowed(firsts, begin, ratio, crowd.load.slack, window_s)
    return _count(repeats, begin, window_s) / allowed


def _allowed(
    firsts: list[float], begin: float, ratio: float, slack: float, window_s: float
) -> float:
    starts = (begin, begin - window_s / 2.0, begin - window_s)
    return ratio * max(_count(firsts, since, window_s) for since in starts) + slack


def _count(times: list[float], begin: float, window_s: float) -> int:
    return bisect_left(times, begin + window_s) - bisect_left(times, begin)

"""The schedule of faults, from a seed and nothing else."""

import random
from typing import NamedTuple

GAP_S = 0.12
"""Mean seconds between faults: most last longer, so that they overlap as well as follow."""
FIRST_S, TAIL_S = 0.5, 7.0
"""Seconds without new faults at the begin, and at the end (half a short run), to serve again."""


class Lane(NamedTuple):
    """Faults that do not overlap on one node; `busy_s` is kept free after each."""

    weight: int
    faults: tuple[str, ...]
    lasts_s: tuple[float, float] = (0.5, 2.0)
    busy_s: float = 1.0


LANES = (
    Lane(2, ("store-503", "store-silent", "store-slow", "store-forgets", "store-stale")),
    Lane(2, ("move", "move-twice"), (0.0, 0.0)),
    Lane(3, ("term", "term-repeated", "kill"), (0.0, 0.0), 6.0),
    Lane(3, ("pause",), (0.1, 3.0)),
    Lane(2, ("drain", "drain", "crash"), (6.0, 6.0)),
    Lane(4, ("reset-early", "reset-late", "hang", "slow")),
    Lane(4, ("garbled", "extra", "fail", "shed")),
)
SHARED = LANES[:2]


class Step(NamedTuple):
    """A fault at `at` seconds from the start, on a node from 0 on where it concerns one."""

    at: float
    fault: str
    node: int
    lasts_s: float
    pick: int


def plan(seed: int, seconds: float, processes: int) -> list[Step]:
    """Return the faults of a run by time; of each lane on half the nodes at once at most."""
    rng = random.Random(seed)
    steps: list[Step] = []
    busy: dict[tuple[Lane, int], float] = {}
    at = FIRST_S
    while at < seconds - min(TAIL_S, seconds / 2.0):
        lane = rng.choices(LANES, [lane.weight for lane in LANES])[0]
        node = 0 if lane in SHARED else rng.randrange(processes)
        lasts_s, pick = rng.uniform(*lane.lasts_s), rng.randrange(1000)
        step = Step(at, rng.choice(lane.faults), node, lasts_s, pick)
        taken = [n for (other, n), until in busy.items() if other == lane and until > at]
        if node not in taken and len(taken) < max(1, processes // 2):
            steps.append(step)
            busy[lane, node] = at + step.lasts_s + lane.busy_s
        at += rng.expovariate(1.0 / GAP_S)
    return steps

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
RESTORED, RESTORED_GAP_S = "store-restored", (6.0, 10.0)
"""A fault that is drawn only where wanted, and the seconds from one to the next."""


class Step(NamedTuple):
    """A fault at `at` seconds from the start, on a node from 0 on where it concerns one."""

    at: float
    fault: str
    node: int
    lasts_s: float
    pick: int


def plan(seed: int, seconds: float, processes: int, *, restorations: bool = False) -> list[Step]:
    """Return the faults of a run by time; of each lane on half the nodes at once at most.

    With restorations of the store, every other seed has no other faults of the store: bounds on
    what the store took run only while it is in order.
    """
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
    if restorations:
        steps = [step for step in steps if seed % 2 or step.fault not in LANES[0].faults]
        steps = sorted([*steps, *_restorations(seed, at)])
    return steps


def _restorations(seed: int, until: float) -> list[Step]:
    """Return the restorations of the store from a backup."""
    rng = random.Random(f"{RESTORED} {seed}")
    steps: list[Step] = []
    at = rng.uniform(FIRST_S, RESTORED_GAP_S[0])
    while at < until:
        steps.append(Step(at, RESTORED, 0, rng.uniform(0.0, 1.5), rng.randrange(1000)))
        at += rng.uniform(*RESTORED_GAP_S)
    return steps

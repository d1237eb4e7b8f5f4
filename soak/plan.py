"""The fault schedule, which depends only on the seed and the size of the run."""

import random
from typing import NamedTuple

MEAN_GAP_S = 0.12
"""Mean seconds between faults; most faults last longer, so that many overlap."""
FIRST_FAULT_S, RECOVERY_S = 0.5, 7.0
"""Seconds without new faults at the start, and at the end (at most half the run), so that all nodes
serve again before they are stopped."""


class FaultGroup(NamedTuple):
    """Faults that do not overlap on one node.

    `cooldown_s` is the time after each fault before the next of the group on that node.
    """

    weight: int
    faults: tuple[str, ...]
    duration_s: tuple[float, float] = (0.5, 2.0)
    cooldown_s: float = 1.0


FAULT_GROUPS = (
    FaultGroup(2, ("store-503", "store-silent", "store-slow", "store-forgets", "store-stale")),
    FaultGroup(2, ("move", "move-twice"), (0.0, 0.0)),
    FaultGroup(3, ("term", "term-repeated", "kill"), (0.0, 0.0), 6.0),
    FaultGroup(3, ("pause",), (0.1, 3.0)),
    FaultGroup(2, ("drain", "drain", "crash"), (6.0, 6.0)),
    FaultGroup(4, ("reset-early", "reset-late", "hang", "slow")),
    FaultGroup(4, ("garbled", "extra", "fail", "shed")),
)
SHARED_GROUPS = FAULT_GROUPS[:2]
STORE_RESTORED, RESTORE_GAP_S = "store-restored", (6.0, 10.0)
"""A fault that only runs with `restorations` have, and the seconds from one to the next."""


class PlannedFault(NamedTuple):
    """A fault at `at` seconds from the start of the run.

    `node` is the index of the node, 0 for faults of the store and the configuration; `variant` is a
    random number that selects the details of the fault.
    """

    at: float
    fault: str
    node: int
    duration_s: float
    variant: int


WATCH_FAULTS, WITHDRAW = ("watch-cut", "watch-late", "watch-error"), "withdraw"
"""A fault of a single watch, and the removal of the entry of a target that goes on serving, which
only runs with `bounds` have."""
WATCH_GAP_S, WITHDRAW_GAP_S = 0.7, 1.2
"""Mean seconds between faults of watches, and between withdrawals."""
WITHDRAWAL_DELAYS_S = (0.0, 0.05, 0.3)
"""Seconds from a watch that is cut to the withdrawal of a target."""
WITHDRAWN_S = 3.0
"""Seconds for which a withdrawn target goes on serving, longer than it may get requests."""
LIMIT, LIMIT_CHANGES, LEAVE = "limit", "limit-changes", "leave"
"""Statements of targets in their responses, which only runs with `limits` have."""
LIMITED_SHARE, LEAVING_SHARE = 0.7, 0.4
"""Shares of the nodes whose targets name a limit, and say that they leave."""
LIMIT_MIN_S = 6.0
"""Shortest time for which a target names a limit: the limit binds after three seconds."""
LEAVE_S = 6.0
"""Seconds from the statement of a target that it leaves to its end."""


def plan(
    seed: int,
    seconds: float,
    processes: int,
    *,
    restorations: bool = False,
    limits: bool = False,
    bounds: bool = False,
) -> list[PlannedFault]:
    """Return the faults of a run by time; each group affects at most half of the nodes at once.

    With restorations of the store, even seeds have no other faults of the store, and with bounds no
    seeds have: the bounds on changes that the store accepted run only while the store is healthy.
    """
    rng = random.Random(seed)
    faults: list[PlannedFault] = []
    busy_until: dict[tuple[FaultGroup, int], float] = {}
    at = FIRST_FAULT_S
    while at < seconds - min(RECOVERY_S, seconds / 2.0):
        group = rng.choices(FAULT_GROUPS, [group.weight for group in FAULT_GROUPS])[0]
        node = 0 if group in SHARED_GROUPS else rng.randrange(processes)
        duration_s, variant = rng.uniform(*group.duration_s), rng.randrange(1000)
        fault = PlannedFault(at, rng.choice(group.faults), node, duration_s, variant)
        busy_nodes = [
            n for (other, n), until in busy_until.items() if other == group and until > at
        ]
        if node not in busy_nodes and len(busy_nodes) < max(1, processes // 2):
            faults.append(fault)
            busy_until[group, node] = at + fault.duration_s + group.cooldown_s
        at += rng.expovariate(1.0 / MEAN_GAP_S)
    if restorations:
        faults = [
            fault for fault in faults if seed % 2 or fault.fault not in FAULT_GROUPS[0].faults
        ]
        faults = sorted([*faults, *_restores(seed, at)])
    if bounds:
        faults = [fault for fault in faults if fault.fault not in FAULT_GROUPS[0].faults]
        faults = sorted([*faults, *_withdrawals(seed, seconds, processes)])
    if limits:
        faults = sorted([*faults, *_statements(seed, seconds, processes)])
    return faults


def _statements(seed: int, seconds: float, processes: int) -> list[PlannedFault]:
    """Return the statements of targets, drawn apart from the other faults."""
    rng = random.Random(f"{LIMIT} {seed}")
    faults: list[PlannedFault] = []
    for node in range(processes):
        at, variant = rng.uniform(FIRST_FAULT_S, seconds / 3.0), rng.randrange(1000)
        if rng.random() < LIMITED_SHARE:
            duration_s = rng.uniform(LIMIT_MIN_S, seconds)
            how = rng.choice((LIMIT, LIMIT_CHANGES))
            faults.append(PlannedFault(at, how, node, duration_s, variant))
        if rng.random() < LEAVING_SHARE:
            at = rng.uniform(FIRST_FAULT_S, seconds - LEAVE_S)
            faults.append(PlannedFault(at, LEAVE, node, LEAVE_S, variant))
    return faults


def _withdrawals(seed: int, seconds: float, processes: int) -> list[PlannedFault]:
    """Return faults of watches and withdrawals, some right behind, drawn apart from the others."""
    rng = random.Random(f"{WITHDRAW} {seed}")
    faults: list[PlannedFault] = []
    for gap_s in (WATCH_GAP_S, WITHDRAW_GAP_S):
        at = FIRST_FAULT_S + rng.expovariate(1.0 / gap_s)
        while at < seconds - WITHDRAWN_S:
            faults.append(PlannedFault(at, rng.choice(WATCH_FAULTS), 0, 0.0, 0))
            if gap_s == WITHDRAW_GAP_S:
                delay_s, node = rng.choice(WITHDRAWAL_DELAYS_S), rng.randrange(processes)
                faults.append(PlannedFault(at + delay_s, WITHDRAW, node, WITHDRAWN_S, 0))
            at += rng.expovariate(1.0 / gap_s)
    return faults


def _restores(seed: int, until: float) -> list[PlannedFault]:
    """Return the restorations of the store from backups, drawn apart from the other faults."""
    rng = random.Random(f"{STORE_RESTORED} {seed}")
    faults: list[PlannedFault] = []
    at = rng.uniform(FIRST_FAULT_S, RESTORE_GAP_S[0])
    while at < until:
        faults.append(
            PlannedFault(at, STORE_RESTORED, 0, rng.uniform(0.0, 1.5), rng.randrange(1000))
        )
        at += rng.uniform(*RESTORE_GAP_S)
    return faults

"""Chooses the target of a request by the free capacity that sidecars have reported."""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from roadpass.balance import TIER_PENALTY_MS
from roadpass.offer import REFUSED_LOSS, Offer
from roadpass.room import TRIPPED_RISK, RoomReport

RISK_MARGIN = 0.1
"""Rise of a target's risk since its report that a request still accepts. Asking another target
costs a round trip, and the risk of a healthy target moves by a few hundredths with every answer."""
COST_TOLERANCE = 0.04
"""Cost by which targets may differ and still be taken for equal: the risk of a healthy target."""
TRIAL_SHARE = 0.05
"""Share of the requests that may be a trial, and go to a target of high risk if one has room. The
cheapest choice alone never sends one there, and nobody learns that it is healthy again."""
TRIAL_RISK = 0.4
"""Risk from which on a request counts as a trial, as in the circuit breaker."""
ASSUMED_OBJECTIVE_MS = 2000.0
"""Objective in milliseconds of a route that has none, to weigh the time of the path."""


class RoomOption(NamedTuple):
    """A target that a request may choose.

    Args:
        report: What is known of it.
        tier: Its distance: 0 same data hall, 1 same region, 2 elsewhere.
        weight: Share of traffic relative to a target in full service.
    """

    report: RoomReport
    tier: int
    weight: float = 1.0


class RoomCosts(NamedTuple):
    """What a request loses, as shares of a lost request.

    Args:
        failure: Cost of a failure of the next attempt.
        transfer: Cost of its bytes to another data hall.
        objective_ms: Latency objective in milliseconds, 0 for none.
        may_be_trial: Whether it may go to a target that will probably fail.
    """

    failure: float
    transfer: float
    objective_ms: float
    may_be_trial: bool

    def of(self, option: RoomOption) -> float:
        """Return the expected cost of an option."""
        path_ms = TIER_PENALTY_MS[option.tier] if option.tier else 0.0
        path = path_ms / (self.objective_ms or ASSUMED_OBJECTIVE_MS)
        transfer = self.transfer if option.tier else 0.0
        return option.report.risk * self.failure + transfer + path


def choose(
    options: Iterable[RoomOption], costs: RoomCosts, rng: random.Random
) -> RoomOption | None:
    """Choose a target with a free slot.

    Of those that cost least, two are drawn and the one with more free slots is taken: with the best
    of all, every ingress would choose the same target until its next report.

    Args:
        options: Targets with known reports.
        costs: Costs of the request.
        rng: Source of randomness.

    Returns:
        The option, or `None` if no target has room at a lower cost than a refusal.
    """
    free = [one for one in options if one.report.free > 0 and one.weight > 0.0]
    trial = _choose_trial(free, costs, rng)
    if trial is not None:
        return trial
    usable = [
        (costs.of(one), one)
        for one in free
        if one.report.risk < TRIPPED_RISK and costs.of(one) < REFUSED_LOSS
    ]
    if not usable:
        return None
    least = min(cost for cost, _ in usable)
    equal = [one for cost, one in usable if cost <= least + COST_TOLERANCE]
    nearest = min(one.tier for one in equal)
    equal = [one for one in equal if one.tier == nearest]
    two = rng.choices(equal, [one.weight for one in equal], k=2)
    return max(two, key=lambda one: one.report.free)


def least_cost(options: Iterable[RoomOption], costs: RoomCosts) -> float:
    """Return the cost of the best target, whether it has a free slot or not; infinite without any.

    Targets that take trials only are left out.
    """
    return min(
        (costs.of(one) for one in options if one.report.risk < TRIPPED_RISK), default=math.inf
    )


def is_worth_waiting(cost: float, least: float, wait_cost: float) -> bool:
    """Return whether to wait for a slot of a better target instead of taking a free one.

    A target that fails at once has free slots while the healthy ones are full.

    Args:
        cost: Cost of the target with the free slot.
        least: Cost of the best target.
        wait_cost: Cost of waiting for it.
    """
    return cost > least + wait_cost + COST_TOLERANCE


def accepted_risk(report: RoomReport) -> float:
    """Return the risk that the admission check of a request accepts at the chosen target."""
    return min(1.0, report.risk + RISK_MARGIN)


def full_offer(report: RoomReport, slots: int, *, far: bool) -> Offer:
    """Return the offer of a target that is known to have no free slot.

    Args:
        report: Its report.
        slots: Number of its slots.
        far: Whether it is in another data hall.
    """
    wait_ms = (report.queued + 1) * report.service_ms / max(1, slots)
    return Offer(report.risk, max(1.0, wait_ms), far)


def _choose_trial(
    free: list[RoomOption], costs: RoomCosts, rng: random.Random
) -> RoomOption | None:
    """Draw a near target of high risk for a small share of the requests that may be a trial."""
    if not costs.may_be_trial or rng.random() >= TRIAL_SHARE:
        return None
    risky = [one for one in free if one.report.risk >= TRIAL_RISK and one.tier == 0]
    return rng.choice(risky) if risky else None

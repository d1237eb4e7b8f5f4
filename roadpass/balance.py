"""Balancing: power of two choices by load and latency, nearest data hall first, with spill."""

import random
from bisect import bisect
from collections.abc import Callable, Collection, Sequence
from itertools import accumulate
from typing import NamedTuple, TypeAlias

SPILL_UTILIZATION = 1.0
DRAWS = 4
COMPARED = 8
"""Targets that `Picker.pick_best` compares; on average the best of eight is in the best
eighth of all."""
EXPLORE_SHARE = 0.02
"""Share of requests that ignore distance, so that an ingress also knows how distant
targets perform."""
FAILURE_RISK_WEIGHT = 10.0
"""How many times longer a request is assumed to take at a target that is certainly failing: about
ten times the typical latency passes until its answer is no longer expected."""
TIER_PENALTY_MS = (0.0, 3.0, 20.0)
"""Round trip within the data hall, to others of the region, and to other regions."""


class Load(NamedTuple):
    """Estimated load of a target.

    Args:
        utilization: Requests in flight and queued, divided by its limit.
        latency_ms: Typical service time.
        failure_risk: Probability that the target is failing.
    """

    utilization: float
    latency_ms: float
    failure_risk: float = 0.0


LoadOf: TypeAlias = Callable[[str], Load]


class Candidate(NamedTuple):
    """A target that may be picked.

    Args:
        name: Name of the target.
        tier: 0 same data hall, 1 same region, 2 elsewhere.
        weight: Share of traffic relative to a target in full service, 0 for none.
        trial: Whether it is on trial, so that only repeatable requests may go there.
    """

    name: str
    tier: int
    weight: float
    trial: bool = False


class _Tier:
    """The candidates at one distance with their cumulative weights."""

    def __init__(self, distance: int, members: Sequence[Candidate]) -> None:
        self.distance = distance
        self.names = [member.name for member in members]
        self._cumulative = list(accumulate(member.weight for member in members))

    def draw(self, rng: random.Random, excluded: Collection[str]) -> str | None:
        total = self._cumulative[-1]
        for _ in range(DRAWS):
            index = bisect(self._cumulative, rng.random() * total)
            name = self.names[min(index, len(self.names) - 1)]
            if name not in excluded:
                return name
        left = [name for name in self.names if name not in excluded]
        return rng.choice(left) if left else None


class Picker:
    """Picks targets for one route from one state of the view; immutable and thread-safe.

    Args:
        groups: Groups of candidates in the order of the selectors; a later group is used only
            when the earlier ones have no candidate left or are full.
    """

    def __init__(self, groups: Sequence[Sequence[Candidate]]) -> None:
        self._all = _tiers(groups, trials=True)
        self._without_trials = _tiers(groups, trials=False)
        candidates = [member for group in groups for member in group]
        self._far = frozenset(
            member.name for member in candidates if member.tier > 0 and len(groups) == 1
        )
        self._near = frozenset(member.name for member in candidates) - self._far
        first = [member._replace(tier=0) for member in groups[0]] if groups else []
        self._anywhere = _tiers([first], trials=False)

    @property
    def far(self) -> frozenset[str]:
        """Names of candidates in other data halls, empty if selectors define several groups."""
        return self._far

    @property
    def near(self) -> frozenset[str]:
        """Names of all candidates that are not `far`."""
        return self._near

    @property
    def names(self) -> list[str]:
        """Names of all candidates, trials included."""
        return [name for tier in self._all for name in tier.names]

    def pick(
        self,
        load_of: LoadOf,
        rng: random.Random,
        *,
        repeatable: bool,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Pick a target.

        Args:
            load_of: Returns the estimated load of a target.
            rng: Source of randomness.
            repeatable: Whether the request may go to a target on trial.
            excluded: Targets that are not picked.

        Returns:
            Its name, or `None` if no candidate is left.
        """
        if self._anywhere and rng.random() < EXPLORE_SHARE:
            name = self._better_of_two(self._anywhere[0], load_of, rng, excluded)
            if name is not None and load_of(name).utilization < SPILL_UTILIZATION:
                return name
        best_name: str | None = None
        best_cost = 0.0
        for tier in self._all if repeatable else self._without_trials:
            name = self._better_of_two(tier, load_of, rng, excluded)
            if name is None:
                continue
            load = load_of(name)
            if load.utilization < SPILL_UTILIZATION:
                return name
            cost = _cost(load) + TIER_PENALTY_MS[tier.distance]
            if best_name is None or cost < best_cost:
                best_name, best_cost = name, cost
        return best_name

    def pick_best(
        self,
        load_of: LoadOf,
        rng: random.Random,
        *,
        repeatable: bool,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Pick the best of a random sample of `COMPARED` targets; parameters as in `pick`.

        Used where a probe of a full target costs more than the comparison of that many.
        """
        for tier in self._all if repeatable else self._without_trials:
            left = [name for name in tier.names if name not in excluded]
            if left:
                some = rng.sample(left, min(COMPARED, len(left)))
                return min(some, key=lambda name: _cost(load_of(name)))
        return None

    @staticmethod
    def _better_of_two(
        tier: _Tier, load_of: LoadOf, rng: random.Random, excluded: Collection[str]
    ) -> str | None:
        first = tier.draw(rng, excluded)
        if first is None or len(tier.names) == 1:
            return first
        second = tier.draw(rng, excluded)
        if second is None or second == first:
            return first
        return first if _cost(load_of(first)) <= _cost(load_of(second)) else second


def _cost(load: Load) -> float:
    return (
        (load.latency_ms + 1.0)
        * (1.0 + load.utilization)
        * (1.0 + FAILURE_RISK_WEIGHT * load.failure_risk)
    )


def _tiers(groups: Sequence[Sequence[Candidate]], *, trials: bool) -> list[_Tier]:
    tiers = []
    for group in groups:
        for distance in range(len(TIER_PENALTY_MS)):
            members = [
                member
                for member in group
                if member.tier == distance and member.weight > 0.0 and (trials or not member.trial)
            ]
            if members:
                tiers.append(_Tier(distance, members))
    return tiers

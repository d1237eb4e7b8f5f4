"""Balancing: power of two choices by load and latency, nearest data hall first, with spill."""

import random
from bisect import bisect
from collections.abc import Callable, Collection, Sequence
from itertools import accumulate
from typing import NamedTuple, TypeAlias

SPILL_UTILIZATION = 1.0
DRAWS = 4
COMPARED = 8
"""Targets compared where the best is wanted; the best of eight is among the best eighth."""
EXPLORE_SHARE = 0.02
"""Share of requests that ignore distance, so that an ingress knows how the others fare."""
BAD_WEIGHT = 10.0
"""How many times longer a request is taken to last at a target that is surely in a bad spell: about
ten times the usual time passes until nothing more is expected of it."""
TIER_PENALTY_MS = (0.0, 3.0, 20.0)
"""Round trip to the same data hall, to others of the region, and to other regions."""


class Load(NamedTuple):
    """What is believed of a target's load.

    Args:
        utilization: Requests in flight and queued, over its limit.
        latency_ms: Typical service time.
        bad: How probable it is that the target is in a bad spell.
    """

    utilization: float
    latency_ms: float
    bad: float = 0.0


LoadOf: TypeAlias = Callable[[str], Load]


class Candidate(NamedTuple):
    """A target that may be picked.

    Args:
        name: Its name.
        tier: 0 same data hall, 1 same region, 2 elsewhere.
        weight: Share of traffic relative to a target in full service.
        trial: Whether only repeatable requests may go there.
    """

    name: str
    tier: int
    weight: float
    trial: bool = False


class _Tier:
    """The candidates of one distance with their cumulative weights."""

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
    """Picks targets for one route from one view; immutable, shared by all threads.

    Args:
        groups: Groups of candidates in the order of the selectors; a later group is used only
            when the earlier ones have nobody left or are full.
    """

    def __init__(self, groups: Sequence[Sequence[Candidate]]) -> None:
        self._all = _tiers(groups, trials=True)
        self._settled = _tiers(groups, trials=False)
        everybody = [member for group in groups for member in group]
        self._far = frozenset(
            member.name for member in everybody if member.tier > 0 and len(groups) == 1
        )
        self._near = frozenset(member.name for member in everybody) - self._far
        first = [member._replace(tier=0) for member in groups[0]] if groups else []
        self._anywhere = _tiers([first], trials=False)

    @property
    def far(self) -> frozenset[str]:
        """Names of those in other data halls, empty where selectors put groups in an order."""
        return self._far

    @property
    def near(self) -> frozenset[str]:
        """Names of all others."""
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
            load_of: Current belief of a target's load.
            rng: Source of randomness.
            repeatable: Whether the request may go to a target on trial.
            excluded: Targets that were tried already.

        Returns:
            Its name, or `None` if nobody is left.
        """
        if self._anywhere and rng.random() < EXPLORE_SHARE:
            name = self._better_of_two(self._anywhere[0], load_of, rng, excluded)
            if name is not None and load_of(name).utilization < SPILL_UTILIZATION:
                return name
        best_name: str | None = None
        best_cost = 0.0
        for tier in self._all if repeatable else self._settled:
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
        """Pick the target that is believed best, of a few where there are many.

        For where asking one that is full costs more than comparing them all; see `pick`.
        """
        for tier in self._all if repeatable else self._settled:
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
    return (load.latency_ms + 1.0) * (1.0 + load.utilization) * (1.0 + BAD_WEIGHT * load.bad)


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

"""Balancing compared to a naive model, and the bound on retries."""

import random

from hypothesis import given
from hypothesis import strategies as st

from roadpass.balance import Candidate, Load, Picker
from roadpass.retry import BURST, RetryBudget
from tests import naive

NAMES = [f"t{n}" for n in range(6)]
CANDIDATES = st.builds(
    Candidate,
    st.just(""),
    st.integers(0, 2),
    st.sampled_from([0.0, 0.1, 1.0]),
    st.booleans(),
)


@given(
    st.lists(st.tuples(CANDIDATES, st.integers(0, 1), st.floats(0.0, 2.0)), max_size=6),
    st.sets(st.sampled_from(NAMES), max_size=3),
    st.booleans(),
    st.integers(0, 2**16),
)
def test_pick_agrees_with_naive_model(
    rows: list[tuple[Candidate, int, float]], excluded: set[str], repeatable: bool, seed: int
) -> None:
    """A pick is one that the model allows, and there is none only if the model has none."""
    groups: list[list[Candidate]] = [[], []]
    loads: dict[str, Load] = {}
    for name, (candidate, group, utilization) in zip(NAMES, rows, strict=False):
        groups[group].append(candidate._replace(name=name))
        loads[name] = Load(utilization, 10.0)
    full = {name: load.utilization >= 1.0 for name, load in loads.items()}
    allowed = naive.pickable(groups, full, excluded, repeatable)
    picker = Picker(groups)
    rng = random.Random(seed)
    for _ in range(5):
        pick = picker.pick(loads.__getitem__, rng, repeatable=repeatable, excluded=excluded)
        assert pick in allowed if allowed else pick is None


def test_the_less_loaded_of_two_gets_more() -> None:
    """With one target busy and one idle nearly all go to the idle one."""
    picker = Picker([[Candidate("busy", 0, 1.0), Candidate("idle", 0, 1.0)]])
    loads = {"busy": Load(0.9, 50.0), "idle": Load(0.1, 10.0)}
    rng = random.Random(1)
    picks = [picker.pick(loads.__getitem__, rng, repeatable=True) for _ in range(1000)]
    assert picks.count("idle") > 700


@given(st.lists(st.booleans(), max_size=200), st.sampled_from([0.0, 0.1, 0.5]))
def test_retries_stay_within_the_budget(steps: list[bool], ratio: float) -> None:
    """Never more than the share of first attempts and the burst, counted from any moment."""
    budget = RetryBudget(ratio)
    history: list[tuple[int, int]] = [(0, 0)]
    for retry in steps:
        firsts, retries = history[-1]
        if retry:
            retries += budget.take()
        else:
            budget.on_first_attempt()
            firsts += 1
        history.append((firsts, retries))
    for begin, end in zip(history, history[10:], strict=False):
        most = BURST + ratio * (end[0] - begin[0])
        assert end[1] - begin[1] <= most


@given(st.integers(0, 2**16), st.sets(st.integers(0, 5)))
def test_pick_best_returns_the_target_of_least_cost(seed: int, gone: set[int]) -> None:
    """Excluded targets are not picked."""
    rng = random.Random(seed)
    loads = {f"t{n}": Load(rng.random(), 10.0, rng.random()) for n in range(6)}
    picker = Picker([[Candidate(name, 1, 1.0) for name in loads]])
    excluded = {f"t{n}" for n in gone}
    picked = picker.pick_best(loads.__getitem__, rng, repeatable=False, excluded=excluded)
    left = sorted(set(loads) - excluded)
    cost = {n: (1.0 + loads[n].utilization) * (1.0 + 10.0 * loads[n].failure_risk) for n in left}
    assert picked == (min(left, key=cost.__getitem__) if left else None)

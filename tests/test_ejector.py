"""Ejection never takes a service below its floor of slots."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from roadpass.ejector import EJECTION_S, Ejector, Fact, State
from tests import naive

NAMES = ["a", "b", "c", "d", "e"]


class EjectorMachine(RuleBasedStateMachine):
    """Targets are added, removed, shut down, fail and recover; the configured floor changes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.floor = 20
        self.ejector = Ejector(floor_slots=self.floor, slow_start_s=2.0)
        self.facts = {name: Fact(slots=10) for name in NAMES[:4]}
        self.step_on()

    def step_on(self) -> None:
        self.ejector.step(self.now, self.facts)

    @rule(
        name=st.sampled_from(NAMES),
        slots=st.integers(1, 20),
        leaving=st.booleans(),
        score=st.sampled_from([0.0, 0.5, 1.2, 1.5]),
        good_run=st.integers(0, 10),
        bad=st.booleans(),
        node_dead=st.booleans(),
    )
    def change(
        self,
        name: str,
        slots: int,
        leaving: bool,
        score: float,
        good_run: int,
        bad: bool,
        node_dead: bool,
    ) -> None:
        self.facts[name] = Fact(slots, leaving, score, good_run, bad, node_dead)
        self.step_on()

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name: str) -> None:
        self.facts.pop(name, None)
        self.step_on()

    @rule(floor=st.integers(0, 60))
    def configure(self, floor: int) -> None:
        self.floor = floor
        self.ejector.configure(floor_slots=floor, slow_start_s=2.0)
        self.step_on()

    @rule(seconds=st.sampled_from([0.1, 1.0, 6.0, 400.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.step_on()

    @invariant()
    def floor_holds(self) -> None:
        stayed = sum(fact.slots for fact in self.facts.values() if not fact.leaving)
        assert self.ejector.serving_slots(self.facts) >= min(self.floor, stayed)


TestEjector = EjectorMachine.TestCase


def facts(**scores: float) -> dict[str, Fact]:
    """Return facts of targets with ten slots each."""
    return {name: Fact(slots=10, score=score) for name, score in scores.items()}


def test_the_worst_target_is_ejected_first_and_the_floor_is_reported() -> None:
    """With three faulty targets of four and a floor of three, only the worst is ejected."""
    ejector = Ejector(floor_slots=30, slow_start_s=0.0)
    ejector.step(0.0, facts(a=0, b=0, c=0, d=0))
    step = ejector.step(1.0, facts(a=1.1, b=1.4, c=1.2, d=0.0))
    assert [change.target for change in step.changes if change.new is State.EJECTED] == ["b"]
    assert sorted(bound.target for bound in step.bound) == ["a", "c"]
    assert ejector.step(2.0, facts(a=1.1, b=1.4, c=1.2, d=0.0)).bound == ()


@given(st.integers(1, 6))
def test_a_flapping_target_is_ejected_for_longer_each_time(times: int) -> None:
    """The ejection time doubles with each failed trial."""
    ejector = Ejector(floor_slots=0, slow_start_s=0.0)
    now = 0.0
    ejector.step(now, facts(a=0.0))
    ejector.step(now, facts(a=1.0))
    for round_ in range(times):
        now += EJECTION_S * 2.0**round_ - 0.1
        ejector.step(now, facts(a=0.0))
        assert ejector.state("a") is State.EJECTED
        now += 0.2
        ejector.step(now, facts(a=0.0))
        assert ejector.state("a") is State.TRIAL
        ejector.step(now, {"a": Fact(slots=10, bad=True)})
        assert ejector.state("a") is State.EJECTED


def test_return_by_trial_then_ramp() -> None:
    """Good outcomes during a trial lead to a ramp-up and then to full service."""
    ejector = Ejector(floor_slots=0, slow_start_s=2.0)
    ejector.step(0.0, facts(a=0.0))
    ejector.step(3.0, facts(a=0.0))
    ejector.step(4.0, facts(a=1.0))
    ejector.step(10.0, facts(a=0.0))
    assert 0.0 < ejector.weight("a", 10.0) < 0.1
    ejector.step(11.0, {"a": Fact(slots=10, good_run=8)})
    assert ejector.state("a") is State.RAMPING
    assert 0.1 <= ejector.weight("a", 12.0) < 1.0
    ejector.step(13.1, facts(a=0.0))
    assert ejector.weight("a", 13.1) == 1.0


def test_a_target_returns_as_soon_as_its_node_is_back() -> None:
    """The ejection of a dead node's target must not be extended by doubling."""
    ejector = Ejector(floor_slots=0, slow_start_s=0.0)
    ejector.step(0.0, facts(a=0.0, b=0.0))
    node_dead = {**facts(b=0.0), "a": Fact(slots=10, score=2.0, node_dead=True)}
    for now in (1.0, 20.0, 90.0):
        ejector.step(now, node_dead)
        assert ejector.state("a") is State.EJECTED
    ejector.step(91.0, facts(a=0.0, b=0.0))
    assert ejector.state("a") is State.RAMPING


@given(
    st.dictionaries(st.sampled_from(NAMES), st.sampled_from([0.0, 0.9, 1.0, 1.1, 1.5])),
    st.integers(0, 50),
)
def test_one_step_agrees_with_the_reference_model(scores: dict[str, float], floor: int) -> None:
    """Compares which targets are ejected from full service; later steps depend on time."""
    ejector = Ejector(floor_slots=floor, slow_start_s=0.0)
    for now in (0.0, 1.0):
        ejector.step(now, facts(**dict.fromkeys(scores, 0.0)))
    ejector.step(2.0, facts(**scores))
    out = {name for name in scores if ejector.state(name) is State.EJECTED}
    assert out == naive.ejected(scores, 10, floor)

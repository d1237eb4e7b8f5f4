"""A sidecar with a real target: calls find their parents, and held routes reach no target."""

from collections import Counter
from collections.abc import Iterator

import pytest

from roadpass import clock
from roadpass.message import AdmissionCheck
from roadpass.outcome import NotRun, Reason
from tests.test_sidecar import Bench, attempt, reason


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Return a sidecar whose target is running, with the part on."""
    made = Bench()
    made.sidecar.parents.enabled = True
    made.server.start_thread()
    yield made
    made.server.stop()


def test_request_of_a_held_route_reaches_no_target(bench: Bench) -> None:
    """It would take a slot and then be lost with its call."""
    held = bench.sidecar.parents.held
    for _ in range(10):
        held.record_start(clock.now(), "r")
        held.record_call(clock.now(), "r", "index", served=False)
    one = attempt()
    asked = bench.sidecar.check(AdmissionCheck.of(one))
    assert asked["detail"] == Reason.HELD_BACK
    match bench.sidecar.run(one).outcome:
        case NotRun(reason=Reason.HELD_BACK, retry_after_ms=retry_after_ms):
            assert 0 < retry_after_ms <= 1000
        case other:
            pytest.fail(f"not held back: {other}")
    assert bench.runs == 0
    assert bench.sidecar.check(AdmissionCheck.of(attempt(route="old"))) == {
        "t": "accepted",
        "takes_parts": True,
    }
    bench.configure()  # the fleet of the bench has the part off
    assert reason(bench, attempt(2)) is None


def test_request_is_recorded_while_its_target_runs_it(bench: Bench) -> None:
    """A call would find no parent, or one that has ended."""
    parents = bench.sidecar.parents
    seen: list[int] = []

    class Begun(Counter[str]):
        def __setitem__(self, key: str, value: int) -> None:
            seen.append(parents.size)
            super().__setitem__(key, value)

    bench.state.begun = Begun()
    assert reason(bench, attempt()) is None
    assert seen == [1]
    assert parents.size == 0

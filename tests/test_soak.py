"""The fault soak: its checks see made-up faults, and a short run is clean."""

from collections.abc import Callable
from pathlib import Path

import pytest

from soak.__main__ import play
from soak.checker import ENOUGH, IN_FORCE_S, SETTLED_S, SLACK_S, check
from soak.history import CLOSED, GARBLED, Arrival, Configured, History, Instance, Life, Request
from soak.plan import LANES, plan
from soak.seeds import REGRESSIONS
from soak.target import ENDING

SHORT, NET = (1, 8.0, 4), 61


class Past(History):
    """A made-up history without a fault: one request that ran once and was told so."""

    def __init__(self) -> None:
        super().__init__()
        self.began = 0.0
        self.lives.append(Life("node-1", stopping=50.0, ended=53.0))
        for name in ("red-1", "red-2", "blue-1"):
            self.instances.append(Instance(name, name[:-2], "node-2", born=-9.0))
        self.configurations.append(Configured(0.0, 1, {"b": "red"}))
        self.one = self.add(10.0)

    def add(self, at: float, status: int = 200, *, runs: int = 1, target: int = 0) -> Request:
        """Add a request that must not repeat."""
        request = Request(f"r{len(self.requests)}", "b", False, self.lives[0], at, at + 0.5)
        request.status, request.whole = status, status == 200
        request.arrivals += [Arrival(at + 0.1, self.instances[target])] * runs
        self.requests[request.id] = request
        return request

    def move(self, at: float) -> "Past":
        """Move the route to the other service."""
        self.configurations.append(Configured(at, 2, {"b": "blue"}))
        return self

    def end(self, at: float) -> Request:
        """Let three targets have ended; return what came later."""
        self.ends += [at - 2.0, at - 1.0, at]
        return self.one


FAULTS: tuple[tuple[str, Callable[[Past], object]], ...] = (
    ("answer", lambda past: setattr(past.one, "whole", False)),
    ("answer", lambda past: setattr(past.one, "lost", GARBLED)),
    ("answer", lambda past: past.add(11.0, 404, runs=0)),
    ("at most once", lambda past: past.add(11.0, runs=2)),
    ("not run", lambda past: past.add(11.0, 503)),
    ("cut", lambda past: setattr(past.one, "lost", CLOSED)),
    ("leaving", lambda past: setattr(past.instances[0], "left", 10.0 - IN_FORCE_S - SLACK_S)),
    ("in force (2)", lambda past: past.move(10.0 - IN_FORCE_S - SLACK_S)),
    ("in force (2)", lambda past: past.move(20.0).add(20.2, target=2) and past.add(21.0)),
    ("end", lambda past: setattr(past.lives[0], "code", 1)),
    ("ends", lambda past: setattr(past.end(10.0 - SETTLED_S - SLACK_S), "path", f"/b{ENDING}")),
    ("share", lambda past: [past.add(12.0 + n / 12.0) for n in range(4 * ENOUGH)]),
)


@pytest.mark.parametrize(("promise", "fault"), [("", lambda past: None), *FAULTS])
def test_a_broken_promise_is_found(promise: str, fault: Callable[[Past], object]) -> None:
    """Each fault of a history is found as just what it is, and none is found without."""
    past = Past()
    fault(past)
    assert {finding.promise for finding in check(past)} == ({promise} if promise else set())


def test_the_schedule_comes_from_the_seed() -> None:
    """The same for the same seed, another for another, and all faults over some of them."""
    assert plan(*SHORT) == plan(*SHORT) != plan(2, *SHORT[1:])
    drawn = {step.fault for seed in range(40) for step in plan(seed, 15.0, 5)}
    assert drawn == {fault for lane in LANES for fault in lane.faults}


@pytest.mark.parametrize("run", [SHORT, *REGRESSIONS], ids=lambda run: f"seed{run[0]}")
def test_a_run_breaks_no_promise(run: tuple[int, float, int], tmp_path: Path) -> None:
    """A short one, and those that once did."""
    assert play(*run, net=NET, logs=tmp_path) == []


def test_a_run_with_a_request_that_ends_its_targets_breaks_no_promise(tmp_path: Path) -> None:
    """Real processes spread what each of them saw, beside all other faults."""
    assert play(501, 12.0, 6, net=NET, logs=tmp_path, ending=True) == []

"""The fault soak: its checks see made-up faults, and a short run is clean."""

import base64
import time
from collections.abc import Callable

import pytest

from soak.__main__ import play
from soak.checker import (
    ENOUGH,
    GRACE_S,
    IN_FORCE_S,
    LAST_S,
    PAUSED_S,
    SENT_S,
    SETTLED_S,
    SLACK_S,
    Finding,
    check,
)
from soak.history import (
    CLOSED,
    GARBLED,
    Arrival,
    Configured,
    History,
    Instance,
    Life,
    Request,
    Trouble,
)
from soak.plan import LANES, RESTORED, plan
from soak.seeds import REGRESSIONS
from soak.store import FaultyStore
from soak.target import ENDING

SHORT, NET = (1, 8.0, 4), 61
ENDING_RUN = (501, 12.0, 6, True, False)
RESTORED_RUN = (1002, 15.0, 5, False, True)
REPLACED = "replaced"
Findings = list[Finding]


class Past(History):
    """A made-up history without a fault: one request that ran once and was told so."""

    def __init__(self) -> None:
        super().__init__()
        self.began = 0.0
        self.lives.append(Life("node-1", stopping=50.0, ended=53.0))
        for name in ("red-1", "red-2", "blue-1"):
            self.instances.append(Instance(name, name[:-2], "node-2", born=-9.0))
        self.configurations.append(Configured(0.0, 1, {"b": "red", "e": "red"}))
        self.one = self.add(10.0)

    def add(self, at: float, status: int = 200, *, runs: int = 1, target: int = 0) -> Request:
        """Add a request that must not repeat."""
        request = Request(f"r{len(self.requests)}", "b", False, self.lives[0], at, at + 0.5)
        request.status, request.whole = status, status == 200
        request.arrivals += [Arrival(at + 0.1, self.instances[target], done=at + 0.4)] * runs
        self.requests[request.id] = request
        return request

    def move(self, at: float) -> "Past":
        """Move the route to the other service."""
        self.configurations.append(Configured(at, 2, {"b": "blue"}))
        return self

    def stopped(self, asked: float, early_s: float, status: int = 0) -> Request:
        """Add a request that is cut, or answered so, while its target is at work in a stop."""
        cut_at = 50.0 + LAST_S + 0.5 + early_s
        request = self.add(asked, status)
        request.route, request.told, request.lost = "e", cut_at, "" if status else CLOSED
        request.arrivals = [Arrival(asked + 0.1, self.instances[0], done=cut_at, cut=True)]
        self.lives[0].ended = 50.0 + LAST_S + 0.5
        return request

    def pause(self, begin: float, end: float) -> "Past":
        """Have the node stand still."""
        self.troubles.append(Trouble("node-1", "pause", begin, end))
        return self

    def kill(self, at: float) -> "Past":
        """Have the node be killed."""
        self.lives[0].killed, self.lives[0].ended = True, at
        return self

    def kill_late(self) -> "Past":
        """Have the node be there at the end of its grace time."""
        self.lives[0].overdue, self.lives[0].ended = True, 50.0 + GRACE_S
        self.lives[0].code = -9
        return self

    def end_beside(self, at: float) -> "Past":
        """Let the node beside the targets end."""
        self.lives.append(Life("node-2", stopping=at - 1.0, ended=at))
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
    ("cut", lambda past: setattr(past.stopped(50.0, 0.0), "arrivals", [])),
    ("cut", lambda past: past.stopped(50.0, -0.6)),
    ("cut", lambda past: past.stopped(50.0 + SENT_S + 0.1, 0.0)),
    ("cut", lambda past: setattr(past.stopped(50.0, 0.0).arrivals[0], "done", 52.0)),
    ("cut", lambda past: past.pause(50.0, 50.0 + PAUSED_S - 0.1).stopped(50.0, -1.5)),
    ("cut", lambda past: setattr(past.kill(55.0).one, "lost", CLOSED)),
    (REPLACED, lambda past: past.stopped(50.0, -2.0, 504)),
    (REPLACED, lambda past: setattr(past.stopped(50.0, -2.0, 504).arrivals[0], "done", 60.0)),
    ("leaving", lambda past: setattr(past.instances[0], "left", 10.0 - IN_FORCE_S - SLACK_S)),
    ("in force (2)", lambda past: past.move(10.0 - IN_FORCE_S - SLACK_S)),
    ("in force (2)", lambda past: past.move(20.0).add(20.2, target=2) and past.add(21.0)),
    ("end", lambda past: setattr(past.lives[0], "code", 1)),
    ("end", lambda past: past.kill_late()),
    ("end", lambda past: setattr(past.pause(50.0, 51.0).lives[0], "code", 1)),
    ("ends", lambda past: setattr(past.end(10.0 - SETTLED_S - SLACK_S), "path", f"/b{ENDING}")),
    ("share", lambda past: [past.add(12.0 + n / 12.0) for n in range(4 * ENOUGH)]),
)
ALLOWED: tuple[Callable[[Past], object], ...] = (
    lambda past: None,
    lambda past: past.stopped(50.0, 0.0),
    lambda past: past.stopped(50.0, 0.0, 504),
    lambda past: setattr(past.stopped(50.0, -2.0, 504), "limit_s", 3.6),
    lambda past: setattr(past.kill(10.6).one, "lost", CLOSED),
    lambda past: past.end_beside(53.4).stopped(50.0, -2.0, 504),
    lambda past: past.pause(51.0, 52.0).kill_late(),
    lambda past: past.pause(50.0, 55.0).kill_late().stopped(50.0, 0.0),
)


@pytest.mark.parametrize(("promise", "fault"), [*(("", fault) for fault in ALLOWED), *FAULTS])
def test_a_broken_promise_is_found(promise: str, fault: Callable[[Past], object]) -> None:
    """Each fault of a history is found as just what it is, and none is found without."""
    past = Past()
    fault(past)
    assert {finding.promise for finding in check(past)} == ({promise} if promise else set())


# Guards against a stand-in that hides changes, which looks like a node that misses them.
def test_a_stale_store_tells_the_events_that_it_has_or_that_they_are_gone() -> None:
    """Its copy keeps what came before it, and the point from which history is kept."""
    store = FaultyStore()
    for number in range(3):
        store.put("a", number)
    store.fail("")
    store.fail("store-stale")
    found = store.watch("", 1, 0.0)
    assert found is not None
    assert [event["Revision"] for event in found["events"]] == [2, 3]
    store.fail("store-forgets")
    store.fail("")
    store.fail("store-stale")
    assert store.watch("", 1, 0.0) is None


def test_what_a_restoration_lost_is_written_again_unless_it_was_written_since() -> None:
    """Items and ends of items; the store goes back to the backup in between."""
    store = FaultyStore()
    store.put("kept", 1)
    store.put("ended", 1)
    time.sleep(0.05)
    for key in ("kept", "new", "newer"):
        store.put(key, 2)
    store.delete("ended")
    store.restore_from(0.04)
    assert (store.revision, store.era, set(store.items)) == (2, 1, {"kept", "ended"})
    store.put("newer", 3)
    store.write_again()
    values = {key: base64.b64decode(item["Value"]) for key, item in store.items.items()}
    assert values == {"kept": b"2", "new": b"2", "newer": b"3"}


def test_the_schedule_comes_from_the_seed() -> None:
    """The same for the same seed, another for another, and all faults over some of them."""
    assert plan(*SHORT) == plan(*SHORT) != plan(2, *SHORT[1:])
    faults = {fault for lane in LANES for fault in lane.faults}
    for restorations, more in ((False, set()), (True, {RESTORED})):
        plans = [plan(seed, 15.0, 5, restorations=restorations) for seed in range(40)]
        assert {step.fault for steps in plans for step in steps} == faults | more


RUNS = [*((*run, False, False) for run in (SHORT, *REGRESSIONS)), ENDING_RUN, RESTORED_RUN]


@pytest.fixture(scope="module", params=RUNS, ids=lambda run: f"seed{run[0]}-{run[2]}")
def findings(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Findings:
    """Play a short run, those that broke a promise, and two with faults that are drawn apart."""
    seed, seconds, processes, ending, restorations = request.param
    logs = tmp_path_factory.mktemp(f"seed{seed}")
    options = {"ending": ending, "restorations": restorations}
    return play(seed, seconds, processes, net=NET, logs=logs, **options)


def test_a_run_breaks_no_promise(findings: Findings) -> None:
    """Real processes keep all of them but the one below."""
    assert [finding for finding in findings if finding.promise != REPLACED] == []


def test_a_run_replaces_no_answer(findings: Findings) -> None:
    """No node that stops tells of a failure while a target is at work on the answer."""
    assert [finding for finding in findings if finding.promise == REPLACED] == []

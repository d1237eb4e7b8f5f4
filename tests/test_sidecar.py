"""The sidecar before a real target: what it refuses is never run, what it starts runs once."""

import json
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from roadpass import clock
from roadpass.belief import End
from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import Policy, build_fleet
from roadpass.evidence import HANGING_MS
from roadpass.fence import Verdict
from roadpass.fleet import Fleet
from roadpass.message import AdmissionCheck, Attempt
from roadpass.outcome import Answered, NotRun, Outcome, Reason, Unknown
from roadpass.pause import PauseWatch
from roadpass.route import Route
from roadpass.shedding import SHED_LOSS
from roadpass.sidecar import Sidecar
from roadpass.source import PublishedConfig, PublishedService, TargetEntry
from roadpass.web import WebServer
from stand_ins.target import TargetGateway, TargetState

ADDRESS = ("127.0.42.1", 9000)


class Bench:
    """A sidecar and its target."""

    def __init__(self) -> None:
        self.state = TargetState("t", 4, 0.0)
        self.state.behaviour.median_ms = 1.0
        self.server = WebServer(ADDRESS, TargetGateway, self.state, threads=8)
        self.behind: list[tuple[str, int]] = []
        self.sidecar = Sidecar(
            "vm-1",
            1,
            PauseWatch(),
            pull=lambda message: message,
            behind=lambda vm, revision: self.behind.append((vm, revision)),
        )
        self.configure()

    def configure(self, *, revision: int = 2, leaving: bool = False, path: str = "/") -> None:
        """Put a fleet of one target in force."""
        target = {
            "service": "s",
            "vm": "vm-1",
            "address": f"{ADDRESS[0]}:{ADDRESS[1]}",
            "slots": 2,
            "leaving": leaving,
            "labels": {"tier": "main"},
        }
        value = {
            "services": {"s": {"floor_slots": 1, "queue_limit": 2, "shed_status": 503}},
            "targets": {"t": target},
            "routes": {"r": {"path": path, "service": "s"}, "old": {"path": "/o", "service": "s"}},
            "selectors": [
                {"name": "none", "routes": {"kind": "other"}, "targets": {"tier": "spare"}}
            ],
        }
        self.sidecar.configure(
            Fleet.from_documents([("all", json.dumps(value))], revision=revision, digest="d")
        )

    @property
    def runs(self) -> int:
        """Requests that the target was given."""
        return sum(self.state.begun.values())


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Start a target."""
    made = Bench()
    made.server.start_thread()
    yield made
    made.server.stop()


def attempt(number: int = 1, **changes: object) -> Attempt:
    """Return an attempt at the target."""
    made = Attempt(
        id=f"vm-2/1/{number}",
        target="t",
        route="r",
        method="POST",
        path="/x",
        headers=[],
        body=b"",
        remaining_ms=2000.0,
        traffic_class="default",
        caller="c",
        repeatable=False,
        retry=False,
        revision=2,
        slow_ms=0.0,
    )
    return made._replace(**changes)  # type: ignore[arg-type]


def reason(bench: Bench, one: Attempt, age_s: float = 0.0) -> Reason | None:
    """Run an attempt and return why it was not run; nothing if it was answered."""
    outcome = bench.sidecar.run(one, age_s).outcome
    match outcome:
        case NotRun(reason=why) | Unknown(reason=why):
            return why
        case Answered():
            return None


def test_an_attempt_runs_once(bench: Bench) -> None:
    """A second frame with its id does not start it again."""
    assert reason(bench, attempt()) is None
    assert reason(bench, attempt()) is Reason.DUPLICATE
    assert bench.runs == 1


def test_a_fenced_attempt_never_runs(bench: Bench) -> None:
    """It may arrive long after its fence."""
    assert bench.sidecar.fence("vm-2/1/1") is Verdict.NEVER_STARTS
    assert reason(bench, attempt()) is Reason.FENCED
    assert bench.runs == 0
    assert reason(bench, attempt(2)) is None
    assert bench.sidecar.fence("vm-2/1/2") is Verdict.STARTED


class Interleaved(dict[str, Any]):
    """Lets another thread run for a while within the first look-up."""

    def __init__(self, other: Callable[[], object]) -> None:
        super().__init__()
        self._threads = [threading.Thread(target=other)]

    def get(self, key: str, default: Any = None) -> Any:
        found = super().get(key, default)
        if self._threads:
            thread = self._threads.pop()
            thread.start()
            thread.join(0.3)
        return found


def test_a_fence_and_a_start_at_the_same_moment(bench: Bench) -> None:
    """Either the fence is refused or the attempt never runs, whoever is first."""
    fences = bench.sidecar._fences
    fences._attempts = Interleaved(lambda: bench.sidecar.run(attempt()))
    verdict = bench.sidecar.fence("vm-2/1/1")
    time.sleep(0.3)
    assert (verdict is Verdict.NEVER_STARTS) == (bench.runs == 0)


def test_an_attempt_that_lay_unread_is_refused(bench: Bench) -> None:
    """A frozen sidecar wakes and finds frames whose time has passed."""
    assert reason(bench, attempt(), age_s=3.0) is Reason.EXPIRED
    assert bench.runs == 0


def reborn(born: int) -> Fleet:
    """Return a fleet of the target as a store tells of it, at one of its starts."""
    route = Route("r", "h", "/", frozenset(), "s", "", False, {}, None)
    services = {"s": PublishedService("s", 10)}
    config = PublishedConfig(2, (route,), services, CallerLimits())
    entry = TargetEntry("i-1", "s", f"{ADDRESS[0]}:{ADDRESS[1]}", "h", 2, False, born)
    return build_fleet(config, [entry], Policy())


def test_a_target_that_starts_again_under_its_id_is_known_anew(bench: Bench) -> None:
    """Nothing that was held of its earlier start is held of it, and nothing goes to that one."""
    sidecar = Sidecar(ADDRESS[0], 1, PauseWatch(), pull=dict, behind=lambda vm, revision: None)
    sidecar.configure(reborn(7))
    before = attempt(1, target="i-1@7")
    assert isinstance(sidecar.run(before).outcome, Answered)
    local = sidecar.targets["i-1@7"]
    door = local._door
    for _ in range(9):
        door.end(clock.now(), door.begin(clock.now(), "r"), End.LOST)
    assert sidecar.check(AdmissionCheck.of(before))["t"] == "not_run"
    sidecar.configure(reborn(9))
    late = sidecar.run(attempt(2, target="i-1@7")).outcome
    assert isinstance(late, NotRun)
    assert late.reason is Reason.STALE_ROUTE
    new = sidecar.targets["i-1@9"]
    assert new is not local
    assert new.report(2).bad < 0.5
    assert isinstance(sidecar.run(attempt(3, target="i-1@9")).outcome, Answered)
    assert bench.runs == 2


def test_what_an_earlier_start_was_given_is_not_called_not_run(bench: Bench) -> None:
    """It may have run: the later start knows nothing of it."""
    sidecar = Sidecar(ADDRESS[0], 1, PauseWatch(), pull=dict, behind=lambda vm, revision: None)
    sidecar.configure(reborn(7))
    bench.state.behaviour.hang = True
    outcomes: list[Outcome] = []
    one = attempt(1, target="i-1@7", remaining_ms=600.0)
    thread = threading.Thread(target=lambda: outcomes.append(sidecar.run(one).outcome))
    thread.start()
    while not bench.runs:
        time.sleep(0.001)
    sidecar.configure(reborn(9))
    thread.join()
    assert isinstance(outcomes[0], Unknown)
    assert bench.runs == 1


def test_a_leaving_node_or_target_refuses(bench: Bench) -> None:
    """From that instant, whatever the ingress believes."""
    bench.configure(leaving=True)
    assert reason(bench, attempt()) is Reason.LEAVING
    bench.configure(leaving=False)
    bench.sidecar.leaving = True
    assert reason(bench, attempt(2)) is Reason.LEAVING
    assert bench.runs == 0


def test_an_ingress_with_an_older_revision_is_refused_where_the_change_matters(
    bench: Bench,
) -> None:
    """A route or target that is gone, or labels that no longer match."""
    assert reason(bench, attempt(1, route="gone", revision=1)) is Reason.STALE_ROUTE
    assert reason(bench, attempt(2, target="gone", revision=1)) is Reason.STALE_ROUTE
    assert reason(bench, attempt(3, route="gone", revision=3)) is None
    assert bench.behind == [("vm-2", 3)]
    assert bench.runs == 1


def test_slots_and_queue_are_bounded(bench: Bench) -> None:
    """Of many at once some run, few wait, the others are refused at once and never run."""
    bench.state.behaviour.median_ms = 1000.0
    bench.state.behaviour.spread = 0.0
    reasons: list[Reason | None] = []
    threads = [
        threading.Thread(
            target=lambda n=n: reasons.append(
                reason(bench, attempt(n, caller=f"c{n}", remaining_ms=9000.0))
            )
        )
        for n in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert reasons.count(None) == bench.runs == 4
    assert reasons.count(Reason.QUEUE_FULL) == 4


def test_shedding_is_not_run_and_no_sign_of_sickness(bench: Bench) -> None:
    """The service's shed status is the target's promise."""
    bench.state.behaviour.shed = True
    reasons = [reason(bench, attempt(number)) for number in range(20)]
    assert reasons[0] is Reason.SHED
    assert set(reasons) == {Reason.SHED}
    assert bench.runs == 0
    assert bench.sidecar.targets["t"].scores.worst == 0.0


def test_a_target_that_shed_is_a_doubtful_one_and_bars_nobody(bench: Bench) -> None:
    """Who has better to go to goes there; who has not is let in, and soon everybody is again."""
    bench.state.behaviour.shed = True
    for number in range(4):
        assert reason(bench, attempt(number)) is Reason.SHED
    assert reason(bench, attempt(5, most_bad=0.04)) is Reason.DOUBTFUL
    told = bench.sidecar.targets["t"].report(2).bad
    assert 0.7 * SHED_LOSS < told < SHED_LOSS + 0.1
    assert reason(bench, attempt(6, most_bad=1.0)) is Reason.SHED
    bench.state.behaviour.shed = False
    assert reason(bench, attempt(7, most_bad=told + 0.1)) is None


def test_a_target_that_did_nothing_lately_is_doubtful(bench: Bench) -> None:
    """It says how much, and takes the request all the same from who settles for it."""
    bench.sidecar.targets["t"]._door._begun_at = clock.now()
    refused = bench.sidecar.run(attempt(1, most_bad=0.04, may_wait=False))
    assert refused.outcome == NotRun(Reason.DOUBTFUL, 0)
    assert refused.load is not None
    assert refused.load.bad > 0.04
    assert bench.runs == 0
    for number in range(2, 6):
        assert reason(bench, attempt(number)) is None
    assert reason(bench, attempt(6, most_bad=0.04, may_wait=False)) is None
    time.sleep(1.0)
    assert reason(bench, attempt(7, most_bad=0.04, may_wait=False)) is Reason.DOUBTFUL


def test_a_request_that_would_be_late_does_not_wait(bench: Bench) -> None:
    """It is refused at once with the wait that is expected, and never runs."""
    for number in range(20):
        assert reason(bench, attempt(number)) is None
    threads = occupy(bench, 2)
    refused = bench.sidecar.run(attempt(30, most_wait_ms=0.1)).outcome
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.BUSY
    assert refused.retry_after_ms >= 1
    for thread in threads:
        thread.join()
    assert bench.state.begun["vm-2/1/30"] == 0


def test_the_door_leaves_a_line_when_it_shuts_and_when_it_opens(
    bench: Bench, caplog: pytest.LogCaptureFixture
) -> None:
    """Also when it is time, and no answer, that opens it."""
    local = bench.sidecar.targets["t"]
    with caplog.at_level("INFO", logger="roadpass.sidecar"):
        now = clock.now()
        local._door.end(now, local._door.begin(now, "r"), End.LOST)
        assert reason(bench, attempt(1)) is Reason.SICK
        assert reason(bench, attempt(2)) is Reason.SICK
        for _ in range(2):
            local._door.end(now, local._door.begin(now, "r"), End.ANSWERED)
        assert reason(bench, attempt(3)) is None
    assert [r.message for r in caplog.records if "door" in r.message] == ["door-shut", "door-open"]


def occupy(bench: Bench, count: int, route: str = "r") -> list[threading.Thread]:
    """Start requests that take long, and wait until the target has them."""
    behaviour = bench.state.behaviour
    behaviour.median_ms, behaviour.spread = 600.0, 0.0
    begun = bench.runs
    threads = [
        threading.Thread(target=reason, args=(bench, attempt(100 + n, caller=f"c{n}", route=route)))
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    while bench.runs < begun + count:
        time.sleep(0.005)
    return threads


def test_a_target_whose_requests_hang_is_a_bad_one_to_wait_at(bench: Bench) -> None:
    """It does not look like one whose slots are free in a moment, even if they may always last."""
    bench.state.behaviour.median_ms = 20.0
    for number in range(20):
        assert reason(bench, attempt(number)) is None
    threads = occupy(bench, 2, route="old")
    usual = bench.sidecar.run(attempt(30, may_wait=False)).outcome
    time.sleep(0.2)
    hanging = bench.sidecar.run(attempt(31, may_wait=False)).outcome
    for thread in threads:
        thread.join()
    assert isinstance(usual, NotRun)
    assert isinstance(hanging, NotRun)
    assert usual.reason is hanging.reason is Reason.BUSY
    assert usual.retry_after_ms < 100
    assert hanging.retry_after_ms == HANGING_MS


def test_a_target_that_falls_silent_gets_no_work_that_must_not_repeat(bench: Bench) -> None:
    """Long before anything times out: what it has takes many times as long as usual."""
    for number in range(20):
        assert reason(bench, attempt(number)) is None
    threads = occupy(bench, 2)
    time.sleep(0.2)
    assert reason(bench, attempt(30)) is Reason.SICK
    for thread in threads:
        thread.join()
    assert bench.state.begun["vm-2/1/30"] == 0


def test_a_request_leaves_a_queue_that_does_not_move(bench: Bench) -> None:
    """Well before its deadline, as not run, so that it can go elsewhere."""
    for number in range(20):
        assert reason(bench, attempt(number)) is None
    threads = occupy(bench, 2, route="old")
    started = clock.now()
    assert reason(bench, attempt(30)) is Reason.BUSY
    assert clock.now() - started < 0.5
    for thread in threads:
        thread.join()
    assert bench.state.begun["vm-2/1/30"] == 0


class StalledWatch(PauseWatch):
    """Says that this process stood still until just now."""

    @property
    def last_stall(self) -> float:
        return clock.now()


@pytest.mark.parametrize(("watch", "sick"), [(PauseWatch(), True), (StalledWatch(), False)])
def test_what_took_long_because_this_process_stood_still_is_no_evidence(
    bench: Bench, watch: PauseWatch, sick: bool
) -> None:
    """Slow answers count against a target, but not those of a time when nobody was measuring."""
    bench.sidecar.targets["t"]._pause = watch
    bench.state.behaviour.median_ms = 20.0
    for number in range(15):
        assert reason(bench, attempt(number, slow_ms=1.0)) is None
    assert (bench.sidecar.targets["t"].scores.slow >= 1.0) is sick


def test_a_key_runs_once(bench: Bench) -> None:
    """Another attempt with the same idempotency key is not started."""
    assert reason(bench, attempt(1, key="s:k")) is None
    assert reason(bench, attempt(2, key="s:k")) is Reason.KEY_USED
    assert bench.runs == 1


def test_what_waits_at_a_target_that_falls_silent_goes_elsewhere(bench: Bench) -> None:
    """It was taken while the target seemed sure; before it starts that is looked at again."""
    for number in range(20):
        assert reason(bench, attempt(number)) is None
    local = bench.sidecar.targets["t"]
    waits = attempt(30, last=True)
    assert local._worsened(waits, 0.05) is None
    local._belief.begin(clock.now() - 1.0, "r")
    local._belief.begin(clock.now() - 1.0, "r")
    assert local._worsened(waits, 0.05) == NotRun(Reason.DOUBTFUL, 0)
    assert local._worsened(waits._replace(last=False), 0.05) is None
    assert local._worsened(waits, 0.9) is None

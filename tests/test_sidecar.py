"""Sidecar with a real target: refused attempts never run, started ones run once."""

import json
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from roadpass import clock
from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import Policy, build_fleet
from roadpass.evidence import HANGING_WAIT_MS
from roadpass.failure_estimator import End
from roadpass.fence import Verdict
from roadpass.fleet import Fleet
from roadpass.message import AdmissionCheck, Attempt
from roadpass.outcome import Answered, NotRun, Outcome, Reason, Unknown
from roadpass.pause import PauseWatch
from roadpass.route import Route
from roadpass.shedding import SHED_COST
from roadpass.sidecar import Sidecar
from roadpass.source import PublishedConfig, PublishedService, TargetEntry
from roadpass.web import WebServer
from stand_ins.target import TargetGateway, TargetState

ADDRESS = ("127.0.42.1", 9000)


class Bench:
    """A sidecar and its target, which runs in this process."""

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
        """Number of requests that the target received."""
        return sum(self.state.begun.values())


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Return a sidecar whose target is running."""
    made = Bench()
    made.server.start_thread()
    yield made
    made.server.stop()


def attempt(number: int = 1, **changes: object) -> Attempt:
    """Return an attempt for the target."""
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
    """Run an attempt and return why it was not run, `None` if it was answered."""
    outcome = bench.sidecar.run(one, age_s).outcome
    match outcome:
        case NotRun(reason=why) | Unknown(reason=why):
            return why
        case Answered():
            return None


def test_an_attempt_runs_once(bench: Bench) -> None:
    """A second frame with the same id does not start it again."""
    assert reason(bench, attempt()) is None
    assert reason(bench, attempt()) is Reason.DUPLICATE
    assert bench.runs == 1


def test_a_fenced_attempt_never_runs(bench: Bench) -> None:
    """The attempt may arrive long after its fence."""
    assert bench.sidecar.fence("vm-2/1/1") is Verdict.NEVER_STARTS
    assert reason(bench, attempt()) is Reason.FENCED
    assert bench.runs == 0
    assert reason(bench, attempt(2)) is None
    assert bench.sidecar.fence("vm-2/1/2") is Verdict.STARTED


def test_fence_cancels_work_at_a_withdrawn_target(bench: Bench) -> None:
    """Guards against the failure "cancels do not arrive": a withdrawn target went on working."""
    bench.state.behaviour.median_ms = 3000.0
    outcomes: list[Outcome] = []
    thread = threading.Thread(
        target=lambda: outcomes.append(bench.sidecar.run(attempt(remaining_ms=4000.0)).outcome)
    )
    thread.start()
    until = clock.now() + 2.0
    while not bench.runs and clock.now() < until:
        time.sleep(0.01)
    bench.sidecar.configure(Fleet.empty())
    assert bench.sidecar.fence("vm-2/1/1") is Verdict.STARTED
    thread.join(1.0)
    assert outcomes == [Unknown(Reason.CANCELLED)]


class Interleaved(dict[str, Any]):
    """Runs another thread for a while during the first look-up."""

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


def test_a_concurrent_fence_and_start(bench: Bench) -> None:
    """Either the fence is refused or the attempt never runs, whichever comes first."""
    fences = bench.sidecar._fences
    fences._attempts = Interleaved(lambda: bench.sidecar.run(attempt()))
    verdict = bench.sidecar.fence("vm-2/1/1")
    time.sleep(0.3)
    assert (verdict is Verdict.NEVER_STARTS) == (bench.runs == 0)


def test_an_attempt_that_was_read_too_late_is_refused(bench: Bench) -> None:
    """A sidecar that wakes from a pause reads frames whose deadline has passed."""
    assert reason(bench, attempt(), age_s=3.0) is Reason.EXPIRED
    assert bench.runs == 0


def restarted_fleet(born: int) -> Fleet:
    """Return a fleet as read from the store, with the target's entry of one of its starts."""
    route = Route("r", "h", "/", frozenset(), "s", "", False, {}, None)
    services = {"s": PublishedService("s", 10)}
    config = PublishedConfig(2, (route,), services, CallerLimits())
    entry = TargetEntry("i-1", "s", f"{ADDRESS[0]}:{ADDRESS[1]}", "h", 2, False, born)
    return build_fleet(config, [entry], Policy())


def test_a_target_that_restarts_with_the_same_id_gets_fresh_state(bench: Bench) -> None:
    """The health of its earlier start does not apply, and no attempt for that start runs."""
    sidecar = Sidecar(ADDRESS[0], 1, PauseWatch(), pull=dict, behind=lambda vm, revision: None)
    sidecar.configure(restarted_fleet(7))
    before = attempt(1, target="i-1@7")
    assert isinstance(sidecar.run(before).outcome, Answered)
    local = sidecar.targets["i-1@7"]
    breaker = local._breaker
    for _ in range(9):
        breaker.end(clock.now(), breaker.begin(clock.now(), "r"), End.LOST)
    assert sidecar.check(AdmissionCheck.of(before))["t"] == "not_run"
    sidecar.configure(restarted_fleet(9))
    late = sidecar.run(attempt(2, target="i-1@7")).outcome
    assert isinstance(late, NotRun)
    assert late.reason is Reason.STALE_ROUTE
    new = sidecar.targets["i-1@9"]
    assert new is not local
    assert new.report(2).bad < 0.5
    assert isinstance(sidecar.run(attempt(3, target="i-1@9")).outcome, Answered)
    assert bench.runs == 2


def test_an_attempt_at_an_earlier_start_is_not_reported_as_not_run(bench: Bench) -> None:
    """It may have run, and the later start does not know."""
    sidecar = Sidecar(ADDRESS[0], 1, PauseWatch(), pull=dict, behind=lambda vm, revision: None)
    sidecar.configure(restarted_fleet(7))
    bench.state.behaviour.hang = True
    outcomes: list[Outcome] = []
    one = attempt(1, target="i-1@7", remaining_ms=600.0)
    thread = threading.Thread(target=lambda: outcomes.append(sidecar.run(one).outcome))
    thread.start()
    while not bench.runs:
        time.sleep(0.001)
    sidecar.configure(restarted_fleet(9))
    thread.join()
    assert isinstance(outcomes[0], Unknown)
    assert bench.runs == 1


def test_a_leaving_node_or_target_refuses(bench: Bench) -> None:
    """At once, even if the ingress does not know yet."""
    bench.configure(leaving=True)
    assert reason(bench, attempt()) is Reason.LEAVING
    bench.configure(leaving=False)
    bench.sidecar.leaving = True
    assert reason(bench, attempt(2)) is Reason.LEAVING
    assert bench.runs == 0


def test_an_ingress_with_an_older_revision_is_refused_where_the_change_matters(
    bench: Bench,
) -> None:
    """A removed route or target; an ingress with a newer revision is not refused for its route."""
    assert reason(bench, attempt(1, route="gone", revision=1)) is Reason.STALE_ROUTE
    assert reason(bench, attempt(2, target="gone", revision=1)) is Reason.STALE_ROUTE
    assert reason(bench, attempt(3, route="gone", revision=3)) is None
    assert bench.behind == [("vm-2", 3)]
    assert bench.runs == 1


def test_slots_and_queue_are_bounded(bench: Bench) -> None:
    """Of many concurrent attempts some run, some wait, and the others are refused and never run."""
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


def test_a_shed_attempt_is_not_run_and_no_evidence_against_its_target(bench: Bench) -> None:
    """With the service's shed status the target guarantees that it did not run the request."""
    bench.state.behaviour.shed = True
    reasons = [reason(bench, attempt(number)) for number in range(20)]
    assert reasons[0] is Reason.SHED
    assert set(reasons) == {Reason.SHED}
    assert bench.runs == 0
    assert bench.sidecar.targets["t"].scores.worst == 0.0


def test_shedding_raises_the_cost_of_a_target_but_never_excludes_it(bench: Bench) -> None:
    """Attempts are refused if they accept only a lower cost; the others run once it recovers."""
    bench.state.behaviour.shed = True
    for number in range(4):
        assert reason(bench, attempt(number)) is Reason.SHED
    assert reason(bench, attempt(5, most_bad=0.04)) is Reason.DOUBTFUL
    reported = bench.sidecar.targets["t"].report(2).bad
    assert 0.7 * SHED_COST < reported < SHED_COST + 0.1
    assert reason(bench, attempt(6, most_bad=1.0)) is Reason.SHED
    bench.state.behaviour.shed = False
    assert reason(bench, attempt(7, most_bad=reported + 0.1)) is None


def test_a_target_without_recent_requests_is_uncertain(bench: Bench) -> None:
    """It reports its failure probability, and accepts attempts that allow for it."""
    bench.sidecar.targets["t"]._breaker._last_started_at = clock.now()
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


def test_a_request_that_would_wait_too_long_does_not_wait(bench: Bench) -> None:
    """It is refused at once with the expected wait, and never runs."""
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


def test_the_circuit_breaker_logs_when_it_trips_and_when_it_recovers(
    bench: Bench, caplog: pytest.LogCaptureFixture
) -> None:
    """One line for each change of its state, found when the next attempt arrives."""
    local = bench.sidecar.targets["t"]
    with caplog.at_level("INFO", logger="roadpass.sidecar"):
        now = clock.now()
        local._breaker.end(now, local._breaker.begin(now, "r"), End.LOST)
        assert reason(bench, attempt(1)) is Reason.FAILING
        assert reason(bench, attempt(2)) is Reason.FAILING
        for _ in range(2):
            local._breaker.end(now, local._breaker.begin(now, "r"), End.ANSWERED)
        assert reason(bench, attempt(3)) is None
    assert [r.message for r in caplog.records if "door" in r.message] == ["door-shut", "door-open"]


def occupy(bench: Bench, count: int, route: str = "r") -> list[threading.Thread]:
    """Start long requests and wait until the target has them."""
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


def test_hanging_requests_extend_the_expected_wait(bench: Bench) -> None:
    """A target with hanging requests must not look as if its slots were free soon.

    Also while the latency of their route is unknown, so that they may always take that long.
    """
    bench.state.behaviour.median_ms = 20.0
    for number in range(20):
        assert reason(bench, attempt(number)) is None
    threads = occupy(bench, 2, route="old")
    normal = bench.sidecar.run(attempt(30, may_wait=False)).outcome
    time.sleep(0.2)
    hanging = bench.sidecar.run(attempt(31, may_wait=False)).outcome
    for thread in threads:
        thread.join()
    assert isinstance(normal, NotRun)
    assert isinstance(hanging, NotRun)
    assert normal.reason is hanging.reason is Reason.BUSY
    assert normal.retry_after_ms < 100
    assert hanging.retry_after_ms == HANGING_WAIT_MS


def test_an_unresponsive_target_gets_no_request_that_must_not_be_retried(bench: Bench) -> None:
    """Long before a time-out, as its requests take many times their typical latency."""
    for number in range(20):
        assert reason(bench, attempt(number)) is None
    threads = occupy(bench, 2)
    time.sleep(0.2)
    assert reason(bench, attempt(30)) is Reason.FAILING
    for thread in threads:
        thread.join()
    assert bench.state.begun["vm-2/1/30"] == 0


def test_a_request_leaves_a_stuck_queue(bench: Bench) -> None:
    """Well before its deadline and as not run, so that it can go to another target."""
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
    """Reports that this process was stalled until just now."""

    @property
    def last_stall(self) -> float:
        return clock.now()


@pytest.mark.parametrize(("watch", "slow"), [(PauseWatch(), True), (StalledWatch(), False)])
def test_slow_responses_during_a_stall_of_this_process_are_no_evidence(
    bench: Bench, watch: PauseWatch, slow: bool
) -> None:
    """Slow responses count against a target, but not if the stall explains them."""
    bench.sidecar.targets["t"]._pause = watch
    bench.state.behaviour.median_ms = 20.0
    for number in range(15):
        assert reason(bench, attempt(number, slow_ms=1.0)) is None
    assert (bench.sidecar.targets["t"].scores.slow >= 1.0) is slow


def test_a_key_runs_once(bench: Bench) -> None:
    """Another attempt with the same idempotency key is not started."""
    assert reason(bench, attempt(1, key="s:k")) is None
    assert reason(bench, attempt(2, key="s:k")) is Reason.KEY_USED
    assert bench.runs == 1


def test_a_waiting_request_leaves_a_target_that_becomes_unresponsive(bench: Bench) -> None:
    """The failure estimate, low when it was accepted, is checked again before it starts."""
    for number in range(20):
        assert reason(bench, attempt(number)) is None
    local = bench.sidecar.targets["t"]
    waits = attempt(30, last=True)
    assert local._admission.worsened(waits, 0.05) is None
    local._estimator.begin(clock.now() - 1.0, "r")
    local._estimator.begin(clock.now() - 1.0, "r")
    assert local._admission.worsened(waits, 0.05) == NotRun(Reason.DOUBTFUL, 0)
    assert local._admission.worsened(waits._replace(last=False), 0.05) is None
    assert local._admission.worsened(waits, 0.9) is None

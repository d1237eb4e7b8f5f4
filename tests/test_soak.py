"""The fault soak: its checker finds violations in made-up histories, and short runs have none."""

import base64
import math
import time
from collections.abc import Callable

import pytest

from soak.__main__ import run_soak
from soak.body import BROKEN_OFF
from soak.checker import (
    CUT_FROM_S,
    GRACE_S,
    IN_FORCE_S,
    MAX_PAUSE_S,
    MIN_REQUESTS_PER_TARGET,
    SENT_BY_S,
    SETTLE_S,
    SLACK_S,
    Violation,
    check,
)
from soak.history import (
    CLOSED,
    MALFORMED,
    Arrival,
    ConfigWrite,
    Disturbance,
    History,
    Instance,
    NodeProcess,
    Request,
)
from soak.limit_checker import CONTACT_S, DRAIN_S, EXCESS_REQUESTS
from soak.plan import (
    FAULT_GROUPS,
    LEAVE,
    LIMIT,
    LIMIT_CHANGES,
    STORE_RESTORED,
    WATCH_FAULTS,
    WITHDRAW,
    plan,
)
from soak.seeds import REGRESSIONS
from soak.store import FaultyStore
from soak.target import POISON_PATH

SHORT, NET = (1, 8.0, 4), 61
PLAIN = dict.fromkeys(("ending", "restorations", "limits", "pressure", "bounds"), False)
POISON_RUN = (501, 12.0, 6, PLAIN | {"ending": True})
RESTORE_RUN = (1002, 15.0, 5, PLAIN | {"restorations": True})
LIMIT_RUN = (2, 15.0, 5, PLAIN | {"limits": True})
PRESSURE_RUN = (3, 15.0, 5, PLAIN | {"pressure": True})
BOUNDS_RUN = (4, 15.0, 5, PLAIN | {"bounds": True})
REPLACED = "replaced"
Violations = list[Violation]


class SampleHistory(History):
    """A made-up history without violations, with one request that ran once and got its response."""

    def __init__(self) -> None:
        super().__init__()
        self.started_at = 0.0
        self.node_processes.append(NodeProcess("node-1", sigterm_at=50.0, exited_at=53.0))
        for name in ("red-1", "red-2", "blue-1"):
            self.instances.append(Instance(name, name[:-2], "node-2", published_at=-9.0))
        self.configurations.append(ConfigWrite(0.0, 1, {"b": "red", "e": "red"}))
        self.request = self.add(10.0)

    def add(self, at: float, status: int = 200, *, runs: int = 1, target: int = 0) -> Request:
        """Add a request that is not repeatable."""
        request = Request(
            f"r{len(self.requests)}", "b", False, self.node_processes[0], at, at + 0.5
        )
        request.status, request.body_matches = status, status == 200
        request.arrivals += [Arrival(at + 0.1, self.instances[target], finished_at=at + 0.4)] * runs
        self.requests[request.id] = request
        return request

    def upload(self, sent: bytes, received: bytes) -> Request:
        """Add an upload of which the target received other bytes, or the same."""
        request = self.add(11.0)
        request.body_bytes, request.arrivals[0].body_bytes = sent, received
        return request

    def move(self, at: float) -> "SampleHistory":
        """Move the route to the other service in a second configuration."""
        self.configurations.append(ConfigWrite(at, 2, {"b": "blue"}))
        return self

    def add_cut_request(self, sent_at: float, offset_s: float, status: int = 0) -> Request:
        """Add a request that is cut, or gets `status`, while its target works during a shutdown."""
        cut_at = 50.0 + CUT_FROM_S + 0.5 + offset_s
        request = self.add(sent_at, status)
        request.route, request.ended_at, request.error = "e", cut_at, "" if status else CLOSED
        request.arrivals = [
            Arrival(sent_at + 0.1, self.instances[0], finished_at=cut_at, cancelled=True)
        ]
        self.node_processes[0].exited_at = 50.0 + CUT_FROM_S + 0.5
        return request

    def pause(self, begin: float, end: float) -> "SampleHistory":
        """Pause the node."""
        self.disturbances.append(Disturbance("node-1", "pause", begin, end))
        return self

    def kill(self, at: float) -> "SampleHistory":
        """Kill the node as a fault."""
        self.node_processes[0].killed, self.node_processes[0].exited_at = True, at
        return self

    def kill_late(self) -> "SampleHistory":
        """Kill the node at the end of its grace period."""
        self.node_processes[0].overdue, self.node_processes[0].exited_at = True, 50.0 + GRACE_S
        self.node_processes[0].exit_code = -9
        return self

    def stop_peer(self, at: float) -> "SampleHistory":
        """Stop the node on the VM of the targets."""
        self.node_processes.append(NodeProcess("node-2", sigterm_at=at - 1.0, exited_at=at))
        return self

    def name_limit(self, requests: int, *, at: float = 20.0, told_s: float = 1.0) -> None:
        """Let a target name 0.5 requests a second, and send it so many a while later.

        Args:
            requests: Requests in 4 s after the limit binds.
            at: When it begins to name the limit.
            told_s: Seconds after that until the node has passed on such a response.
        """
        self.instances[0].limits = [(at, 0.5), (at + 20.0, math.inf)]
        for number in range(requests + 1):
            sent_at = at + CONTACT_S + 1.0 + 0.1 * number if number else at
            self.add(sent_at).arrivals[0].named_limit = True
        told = self.add(at + told_s - 0.5)
        told.answered_by, told.told_limit = self.instances[0].name, True
        told.arrivals = []

    def leave(self, sent_s: float) -> None:
        """Let a target say that it leaves, and send it a request so many seconds after that."""
        told = self.add(20.0)
        told.answered_by, told.told_leaving = self.instances[0].name, True
        self.instances[0].leaving_at = told.sent_at
        self.add(told.ended_at + sent_s)

    def withdraw(self, sent_s: float) -> None:
        """Withdraw the entry of a target, and send it a request so many seconds after that."""
        self.instances[0].withdrawn_at = 20.0
        self.add(20.0 + sent_s)

    def stray(self) -> None:
        """Let a request without a route reach a target, which turns it away."""
        request = self.add(11.0, 404)
        request.route, request.arrivals[0].ran = "", False

    def crash_targets(self, at: float) -> Request:
        """Let the poison request crash three targets, and return the request."""
        self.poison_crashes += [at - 2.0, at - 1.0, at]
        return self.request


FAULTS: tuple[tuple[str, Callable[[SampleHistory], object]], ...] = (
    ("answer", lambda history: setattr(history.request, "body_matches", False)),
    ("answer", lambda history: setattr(history.request, "error", MALFORMED)),
    ("answer", lambda history: history.add(11.0, 404, runs=0)),
    ("at most once", lambda history: history.add(11.0, runs=2)),
    ("not run", lambda history: history.add(11.0, 503)),
    ("cut", lambda history: setattr(history.request, "error", CLOSED)),
    ("cut", lambda history: setattr(history.add_cut_request(50.0, 0.0), "arrivals", [])),
    ("cut", lambda history: history.add_cut_request(50.0, -0.6)),
    ("cut", lambda history: history.add_cut_request(50.0 + SENT_BY_S + 0.1, 0.0)),
    (
        "cut",
        lambda history: setattr(
            history.add_cut_request(50.0, 0.0).arrivals[0], "finished_at", 52.0
        ),
    ),
    (
        "cut",
        lambda history: history.pause(50.0, 50.0 + MAX_PAUSE_S - 0.1).add_cut_request(50.0, -1.5),
    ),
    ("cut", lambda history: setattr(history.kill(55.0).request, "error", CLOSED)),
    (REPLACED, lambda history: history.add_cut_request(50.0, -2.0, 504)),
    (
        REPLACED,
        lambda history: setattr(
            history.add_cut_request(50.0, -2.0, 504).arrivals[0], "finished_at", 60.0
        ),
    ),
    (
        "leaving",
        lambda history: setattr(history.instances[0], "draining_at", 10.0 - IN_FORCE_S - SLACK_S),
    ),
    ("in force (2)", lambda history: history.move(10.0 - IN_FORCE_S - SLACK_S)),
    ("in force (2)", lambda history: history.move(20.0).add(20.2, target=2) and history.add(21.0)),
    ("end", lambda history: setattr(history.node_processes[0], "exit_code", 1)),
    ("end", lambda history: history.kill_late()),
    ("end", lambda history: setattr(history.pause(50.0, 51.0).node_processes[0], "exit_code", 1)),
    (
        "ends",
        lambda history: setattr(
            history.crash_targets(10.0 - SETTLE_S - SLACK_S), "path", f"/b{POISON_PATH}"
        ),
    ),
    ("body", lambda history: history.upload(b"sent", b"changed")),
    ("body broken off", lambda history: setattr(history.upload(b"s", b"s"), "error", BROKEN_OFF)),
    ("limit", lambda history: history.name_limit(9 + EXCESS_REQUESTS)),
    ("leaving-named", lambda history: history.leave(DRAIN_S + 0.1)),
    ("withdrawn", lambda history: history.withdraw(IN_FORCE_S + 0.2)),
    ("memory", lambda history: setattr(history.node_processes[0], "over_memory_mb", 201.0)),
    ("answer", lambda history: setattr(history.add(11.0, runs=0), "route", "")),
    ("route", lambda history: history.stray()),
    (
        "share",
        lambda history: [history.add(12.0 + n / 12.0) for n in range(4 * MIN_REQUESTS_PER_TARGET)],
    ),
)
ALLOWED: tuple[Callable[[SampleHistory], object], ...] = (
    lambda history: None,
    lambda history: history.upload(b"sent", b"sent"),
    lambda history: history.add_cut_request(50.0, 0.0),
    lambda history: history.name_limit(3 + EXCESS_REQUESTS),
    lambda history: history.name_limit(9 + EXCESS_REQUESTS, told_s=19.0),
    lambda history: history.leave(DRAIN_S - 0.1),
    lambda history: history.withdraw(IN_FORCE_S - 0.1),
    lambda history: setattr(history.add(11.0, 404, runs=0), "route", ""),
    lambda history: history.add_cut_request(50.0, 0.0, 504),
    lambda history: setattr(history.add_cut_request(50.0, -2.0, 504), "deadline_s", 3.6),
    lambda history: setattr(history.kill(10.6).request, "error", CLOSED),
    lambda history: history.stop_peer(53.4).add_cut_request(50.0, -2.0, 504),
    lambda history: history.pause(51.0, 52.0).kill_late(),
    lambda history: history.pause(50.0, 55.0).kill_late().add_cut_request(50.0, 0.0),
)


@pytest.mark.parametrize(("invariant", "fault"), [*(("", fault) for fault in ALLOWED), *FAULTS])
def test_checker_finds_each_violation(
    invariant: str, fault: Callable[[SampleHistory], object]
) -> None:
    """Each fault in a history violates just its invariant, and allowed faults violate none."""
    history = SampleHistory()
    fault(history)
    assert {violation.invariant for violation in check(history)} == (
        {invariant} if invariant else set()
    )


# Guards against a stand-in that hides changes: the checker would blame the nodes for missing them.
def test_stale_store_returns_its_events_or_reports_them_gone() -> None:
    """The stale copy keeps earlier events and the oldest revision a watch may start from."""
    store = FaultyStore()
    for number in range(3):
        store.put("a", number)
    store.set_fault("")
    store.set_fault("store-stale")
    answer = store.watch("", 1, 0.0)
    assert answer is not None
    assert [event["Revision"] for event in answer["events"]] == [2, 3]
    store.set_fault("store-forgets")
    store.set_fault("")
    store.set_fault("store-stale")
    assert store.watch("", 1, 0.0) is None


def test_lost_writes_are_repeated_after_a_restore_unless_overwritten() -> None:
    """A restore reverts writes and removals; the repetition keeps writes made since the restore."""
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
    store.rewrite_lost()
    values = {key: base64.b64decode(item["Value"]) for key, item in store.items.items()}
    assert values == {"kept": b"2", "new": b"2", "newer": b"3"}


def test_schedule_depends_on_the_seed() -> None:
    """Equal seeds give equal schedules, other seeds others, and 40 seeds cover all faults."""
    assert plan(*SHORT) == plan(*SHORT) != plan(2, *SHORT[1:])
    faults = {fault for group in FAULT_GROUPS for fault in group.faults}
    for options, more in (
        ({}, set()),
        ({"restorations": True}, {STORE_RESTORED}),
        ({"limits": True}, {LIMIT, LIMIT_CHANGES, LEAVE}),
        ({"bounds": True}, {*WATCH_FAULTS, WITHDRAW}),
    ):
        plans = [plan(seed, 15.0, 5, **options) for seed in range(40)]
        left_out = set(FAULT_GROUPS[0].faults) if "bounds" in options else set()
        assert {fault.fault for faults_of_plan in plans for fault in faults_of_plan} == (
            faults - left_out
        ) | more


def test_statements_of_targets_change_no_other_fault() -> None:
    """Seeds that once failed have the same schedule with and without them."""
    with_limits = plan(*SHORT, limits=True)
    others = [one for one in with_limits if one.fault not in (LIMIT, LIMIT_CHANGES, LEAVE)]
    assert others == plan(*SHORT)


RUNS = [*((*run, PLAIN) for run in (SHORT, *REGRESSIONS)), POISON_RUN, RESTORE_RUN]
RUNS += [LIMIT_RUN, PRESSURE_RUN, BOUNDS_RUN]


@pytest.fixture(scope="module", params=RUNS, ids=lambda run: f"seed{run[0]}-{run[2]}")
def violations(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Violations:
    """Run a short soak, seeds of past faults, and one with each of the further options."""
    seed, seconds, processes, options = request.param
    logs = tmp_path_factory.mktemp(f"seed{seed}")
    return run_soak(seed, seconds, processes, net=NET, logs=logs, **options)


def test_run_has_no_violation(violations: Violations) -> None:
    """Real processes violate no invariant; the test below checks the one left out here."""
    assert [violation for violation in violations if violation.invariant != REPLACED] == []


def test_run_replaces_no_response(violations: Violations) -> None:
    """No stopping node reports a failure while the target is still working on the response."""
    assert [violation for violation in violations if violation.invariant == REPLACED] == []

"""Outcomes at the ingress, with a fake sidecar in place of this VM's own."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.dispatch import Dispatcher
from roadpass.errors import ReplyTimeoutError, StreamError
from roadpass.fence import Verdict
from roadpass.fleet import Fleet
from roadpass.message import Attempt, LoadReport, Message, Reply
from roadpass.outcome import RETRY_SOON_MS, Answered, NotRun, Outcome, Reason, Unknown
from roadpass.pause import PauseWatch
from roadpass.peer import Address, PeerPool
from roadpass.request import CallerWatch, Request
from roadpass.retry import RetryBudget
from roadpass.sidecar import Sidecar
from roadpass.stream import Received, Stream
from roadpass.transport import Transport
from roadpass.trip import GIVE_UP_SHARE
from roadpass.view import PeerNode, View

VM = "vm-1"
BEHIND: dict[str, int] = {}
"""VMs that were reported to hold a newer revision."""


class FakeSidecar(Sidecar):
    """Gives the outcomes of a script, then refuses; notes what was run."""

    def __init__(self, script: list[Outcome]) -> None:
        self.script = script
        self.attempts: list[Attempt] = []
        self.verdict = Verdict.NEVER_STARTS
        self.load: LoadReport | None = None

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        self.attempts.append(attempt)
        refused = NotRun(Reason.QUEUE_FULL)
        return Reply(self.script.pop(0) if self.script else refused, self.load)

    def fence_key(self, key: str, token: str) -> Verdict:
        return self.verdict


class SlowSidecar(FakeSidecar):
    """Takes a moment for each attempt."""

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        time.sleep(0.005)
        return super().run(attempt, age_s, watch)


def fleet(**service: object) -> Fleet:
    """Return a fleet with one service on one VM."""
    value = {
        "services": {"s": {"floor_slots": 1, "retry_ratio": 0.5, **service}},
        "targets": {
            f"t{n}": {"service": "s", "vm": VM, "address": f"127.0.0.1:{9000 + n}", "slots": 1}
            for n in range(4)
        },
        "routes": {
            "get": {"path": "/", "methods": ["GET"], "service": "s", "repeatable": True},
            "post": {"path": "/", "methods": ["POST"], "service": "s"},
        },
    }
    return Fleet.from_documents([("all", json.dumps(value))], revision=1, digest="d")


def dispatcher(sidecar: Sidecar, **service: object) -> Dispatcher:
    """Return a ready dispatcher on the fleet."""
    view = View(VM, "hall", "region")
    view.fleet = fleet(**service)
    view.ready = True
    return Dispatcher(
        view, 1, sidecar, PeerPool({}, ()), PauseWatch(), behind=BEHIND.__setitem__, seed=1
    )


def request(method: str = "POST", **fields: object) -> Request:
    """Return a request."""
    return Request("h", method, "/x", [], b"", "c", **fields)  # type: ignore[arg-type]


OUTCOMES: st.SearchStrategy[Outcome] = st.sampled_from(
    [
        Answered(200, [], b"ok"),
        Answered(500, [], b"bad"),
        NotRun(Reason.QUEUE_FULL),
        NotRun(Reason.REFUSED),
        Unknown(Reason.TIMEOUT),
        Unknown(Reason.STREAM_LOST),
    ]
)


@given(st.lists(OUTCOMES, max_size=5), st.sampled_from(["GET", "POST"]))
def test_not_run_is_only_told_when_no_attempt_may_have_run(
    script: list[Outcome], method: str
) -> None:
    """Whatever the attempts end in, "not run" means that every one of them was not run."""
    sidecar = FakeSidecar(list(script))
    outcome = dispatcher(sidecar).dispatch(request(method)).outcome
    made = (script + [NotRun(Reason.QUEUE_FULL)] * 9)[: len(sidecar.attempts)]
    if isinstance(outcome, NotRun):
        assert all(isinstance(one, NotRun) for one in made)


@given(st.lists(OUTCOMES, max_size=5))
def test_not_repeatable_is_retried_only_after_not_run(script: list[Outcome]) -> None:
    """Every attempt before the last one was proved not run, and no target is tried twice."""
    sidecar = FakeSidecar(list(script))
    dispatcher(sidecar).dispatch(request("POST"))
    made = (script + [NotRun(Reason.QUEUE_FULL)] * 9)[: len(sidecar.attempts)]
    assert all(isinstance(one, NotRun) for one in made[:-1])
    targets = [attempt.target for attempt in sidecar.attempts]
    assert len(targets) == len(set(targets))


def test_retries_are_marked_and_bounded_by_the_budget() -> None:
    """A service whose targets shed everything gets at most half as many retries as requests."""
    sidecar = FakeSidecar([NotRun(Reason.SHED)] * 1000)
    one = dispatcher(sidecar)
    for _ in range(100):
        one.dispatch(request("GET"))
    retries = sum(attempt.retry for attempt in sidecar.attempts)
    assert 40 <= retries <= 51
    assert len(sidecar.attempts) == 100 + retries


def test_refusals_before_a_target_cost_no_budget_and_try_each_target_once() -> None:
    """A request that was refused at every door has reached no target."""
    sidecar = FakeSidecar([NotRun(Reason.SICK)] * 1000)
    one = dispatcher(sidecar, retry_ratio=0.0)
    outcome = one.dispatch(request("POST")).outcome
    assert isinstance(outcome, NotRun)
    assert len(sidecar.attempts) == 4
    assert not any(attempt.retry for attempt in sidecar.attempts)


def test_most_attempts_of_a_route_bound_the_targets_reached() -> None:
    """However much budget there is."""
    sidecar = FakeSidecar([NotRun(Reason.SHED)] * 1000)
    one = dispatcher(sidecar, retry_ratio=0.5)
    route = one._view.fleet.routes["get"]._replace(max_attempts=2)
    fleet_ = one._view.fleet
    one._view.fleet = Fleet(fleet_.services, fleet_.targets, {"get": route}, (), revision=1)
    for _ in range(20):
        sidecar.attempts.clear()
        one.dispatch(request("GET"))
        assert len(sidecar.attempts) <= 2


def test_the_first_attempt_leaves_time_for_another_only_where_there_may_be_one() -> None:
    """Without a repeat to spend it has all the time of the request."""
    sidecar = FakeSidecar([Answered(200, [], b"")] * 9)
    for spent, limit_ms in ((0, 300.0), (1, 2000.0)):
        one = dispatcher(sidecar, retry_ratio=0.0, attempt_timeout_ms=2000)
        route = one._view.fleet.routes["get"]._replace(target_latency_ms=300, timeout_ms=2000)
        held = one._view.fleet
        one._view.fleet = Fleet(held.services, held.targets, {"get": route}, (), revision=1)
        for _ in range(spent):
            assert one._budget(held.services["s"]).take()
        one.dispatch(request("GET"))
        left_ms = sidecar.attempts[-1].remaining_ms
        assert limit_ms * 0.9 < left_ms <= limit_ms, (spent, left_ms)


def test_a_route_to_a_service_that_nobody_published_is_not_run() -> None:
    """The caller is told so, and nothing breaks."""
    one = dispatcher(FakeSidecar([]))
    held = one._view.fleet
    one._view.fleet = Fleet({}, {}, held.routes, (), revision=1)
    assert one.dispatch(request("POST")).outcome == NotRun(Reason.NO_CAPACITY, 2000)


def test_when_all_targets_shed_lately_each_is_asked_once_more() -> None:
    """A request that must not repeat too: a target that sheds has not run it."""
    held = [NotRun(Reason.SHED_LATELY)] * 4
    sidecar = FakeSidecar([*held, Answered(200, [], b"ok")])
    outcome = dispatcher(sidecar).dispatch(request("POST")).outcome
    assert isinstance(outcome, Answered)
    assert [attempt.pressing for attempt in sidecar.attempts] == [False] * 4 + [True]


def test_when_all_targets_fail_only_what_may_repeat_presses() -> None:
    """A failing one may run it and lose the answer."""
    for method, asked in (("POST", 4), ("GET", 5)):
        failing = [NotRun(Reason.SICK)] * 4
        sidecar = FakeSidecar([*failing, Answered(200, [], b"ok")])
        dispatcher(sidecar).dispatch(request(method))
        assert len(sidecar.attempts) == asked


def test_what_has_one_attempt_goes_to_a_proven_target() -> None:
    """One that took work well just now; of those that did not, to the one that did it last."""
    words = [NotRun(Reason.UNPROVEN, 900), NotRun(Reason.UNPROVEN, 300), NotRun(Reason.BUSY, 50)]
    sidecar = FakeSidecar([*words, NotRun(Reason.UNPROVEN, 700), Answered(200, [], b"ok")])
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    made = sidecar.attempts
    assert [attempt.wants_proven for attempt in made] == [True] * 4 + [False]
    assert all(attempt.last for attempt in made)
    assert made[-1].target == made[1].target


def test_what_may_be_repeated_proves_targets() -> None:
    """Its first attempt goes anywhere; the last one that it has wants a proven target."""
    sidecar = FakeSidecar([Unknown(Reason.TARGET_LOST), Answered(200, [], b"ok")])
    one = dispatcher(sidecar)
    one._budget(one._view.fleet.services["s"]).on_first_attempt()
    assert isinstance(one.dispatch(request("GET")).outcome, Answered)
    first, second = sidecar.attempts
    assert (first.last, first.wants_proven, first.may_be_trial) == (False, False, True)
    assert (second.last, second.wants_proven, second.may_be_trial) == (True, True, False)


def test_what_may_not_be_repeated_for_want_of_budget_is_no_trial() -> None:
    """Lost in a trial it would be lost for good; pressing it goes all the same."""
    sidecar = FakeSidecar([NotRun(Reason.SICK)] * 4)
    one = dispatcher(sidecar, retry_ratio=0.0)
    one._budget(one._view.fleet.services["s"]).take()
    one.dispatch(request("GET"))
    assert [attempt.spare for attempt in sidecar.attempts] == [False] * 4 + [True] * 4


def test_a_request_whose_wait_at_a_target_ends_asks_the_others_again() -> None:
    """Meanwhile they may have a free slot."""
    busy = [NotRun(Reason.BUSY, wait_ms) for wait_ms in (40, 30, 20, 50)]
    sidecar = FakeSidecar([*busy, NotRun(Reason.BUSY, 500), Answered(200, [], b"ok")])
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    made = sidecar.attempts
    assert [attempt.may_wait for attempt in made] == [False] * 4 + [True, False]
    assert made[4].target == made[2].target
    assert made[5].target != made[4].target


def test_targets_to_which_the_way_is_cut_are_not_asked_until_nobody_else_is_left() -> None:
    """Each such question costs a tenth of a second."""
    cut_off: list[Outcome] = [NotRun(Reason.UNREACHABLE)] * 3
    sidecar = FakeSidecar([*cut_off, *[Answered(200, [], b"ok")] * 9])
    one = dispatcher(sidecar)
    one.dispatch(request("POST"))
    cut = {attempt.target for attempt in sidecar.attempts[:3]}
    sidecar.attempts.clear()
    for _ in range(5):
        assert isinstance(one.dispatch(request("POST")).outcome, Answered)
    assert {attempt.target for attempt in sidecar.attempts}.isdisjoint(cut)
    sidecar.script = [NotRun(Reason.LEAVING), Answered(200, [], b"ok")]
    assert isinstance(one.dispatch(request("POST")).outcome, Answered)
    assert sidecar.attempts[-1].target in cut
    assert sidecar.attempts[-1].pressing


def test_a_request_that_no_target_is_free_for_is_given_up_in_time() -> None:
    """At once when it becomes hopeless, long before its time is over, and with a time to return."""
    sidecar = SlowSidecar([NotRun(Reason.BUSY, 40)] * 1000)
    started = time.monotonic()
    one = dispatcher(sidecar, timeout_ms=1000)
    outcome = one.dispatch(request("POST")).outcome
    assert outcome == NotRun(Reason.BUSY, RETRY_SOON_MS)
    took_s = time.monotonic() - started
    assert GIVE_UP_SHARE <= took_s < 0.5


def test_a_request_that_is_refused_before_any_attempt_leaves_a_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """With the reason, and the revision that was in force."""
    one = dispatcher(FakeSidecar([]))
    one._view.ready = False
    with caplog.at_level("INFO", logger="roadpass.dispatch"):
        one.dispatch(request("GET", id="r-1"))
    lines = [vars(r)["decision"] for r in caplog.records if r.message == "refused"]
    assert [(line["request"], line["outcome"], line["revision"]) for line in lines] == [
        ("r-1", "not-run not-ready", 1)
    ]


def test_passed_deadline_is_answered_at_once_as_not_run() -> None:
    """A request whose deadline has passed is not sent at all."""
    sidecar = FakeSidecar([])
    late = request("POST", deadline=time.monotonic() - 1.0)
    outcome = dispatcher(sidecar).dispatch(late).outcome
    assert outcome == NotRun(Reason.EXPIRED, 500)
    assert sidecar.attempts == []


def test_waiting_limit_refuses_at_once() -> None:
    """Beyond the bulkhead of a service and class a request is refused as not run."""
    one = dispatcher(FakeSidecar([]), waiting_limit=1)
    assert one._enter(("s", "default"), 1)
    outcome = one.dispatch(request("GET")).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.WAITING_LIMIT


def test_declared_repeat_runs_only_when_all_sidecars_vouch() -> None:
    """A sidecar that cannot vouch leaves the repeat unknown, and nothing is sent."""
    sidecar = FakeSidecar([Answered(200, [], b"ok")])
    sidecar.verdict = Verdict.CANNOT_VOUCH
    one = dispatcher(sidecar)
    repeat = request("POST", key="k", repeat=True)
    assert isinstance(one.dispatch(repeat).outcome, Unknown)
    assert sidecar.attempts == []
    sidecar.verdict = Verdict.NEVER_STARTS
    assert isinstance(one.dispatch(repeat).outcome, Answered)


def test_a_sidecar_with_a_newer_revision_makes_the_ingress_pull() -> None:
    """Its load report names the revision that is in force there."""
    sidecar = FakeSidecar([])
    sidecar.load = LoadReport(0, 0, 1, 0.0, 0.0, 0.0, revision=9)
    BEHIND.clear()
    dispatcher(sidecar).dispatch(request("POST"))
    assert BEHIND == {VM: 9}


def test_a_cancelled_request_is_not_tried_again() -> None:
    """Nobody waits for it any more."""
    sidecar = FakeSidecar([NotRun(Reason.CANCELLED)])
    dispatcher(sidecar).dispatch(request("GET"))
    assert len(sidecar.attempts) == 1


def test_no_capacity_when_no_target_is_left() -> None:
    """A service whose targets all leave answers not run with a time to come back."""
    one = dispatcher(FakeSidecar([]))
    value = {
        "services": {"s": {"floor_slots": 0}},
        "routes": {"r": {"path": "/", "service": "s"}},
    }
    one._view.fleet = Fleet.from_documents([("all", json.dumps(value))], revision=2)
    outcome = one.dispatch(request("GET")).outcome
    assert outcome == NotRun(Reason.NO_CAPACITY, 2000)


class FakeStream(Stream):
    """Agrees when asked, then loses every reply; notes whether it was closed."""

    def __init__(self, error: StreamError) -> None:
        self.error = error
        self.closed = False
        self.peer_incarnation = 7
        self.sent: list[str] = []

    def send(self, message: Message) -> None:
        self.sent.append(message["t"])

    def receive(self, timeout_s: float, *, caller: CallerWatch | None = None) -> Received:
        if self.sent[-1] == "check":
            return Received({"t": "accepted"}, 0.0)
        raise self.error

    def close(self) -> None:
        self.closed = True


class FakePeers(PeerPool):
    """Lends streams that lose their replies; fences get one word, or none."""

    def __init__(self, word: Message | None, error: StreamError) -> None:
        self.word = word
        self.error = error
        self.lent: list[FakeStream] = []
        self.returned: list[Stream] = []

    def acquire(self, address: Address, *, timeout_s: float) -> Stream:
        self.lent.append(FakeStream(self.error))
        return self.lent[-1]

    def release(self, address: Address, stream: Stream) -> None:
        self.returned.append(stream)

    def exchange(self, address: Address, message: Message, *, timeout_s: float) -> Message:
        if self.word is None:
            raise ReplyTimeoutError("The peer did not reply in time.")
        return self.word


def fenced(verdict: Verdict, incarnation: int = 7) -> Message:
    """Return a sidecar's word on a fence."""
    return {"t": "fenced", "verdict": verdict.value, "incarnation": incarnation}


@pytest.mark.parametrize(
    ("word", "outcome"),
    [
        (fenced(Verdict.NEVER_STARTS), NotRun),
        (fenced(Verdict.STARTED), Unknown),
        (fenced(Verdict.CANNOT_VOUCH), Unknown),
        (fenced(Verdict.NEVER_STARTS, incarnation=8), Unknown),
        (None, Unknown),
    ],
)
@pytest.mark.parametrize("error", [ReplyTimeoutError("late"), StreamError("lost")])
def test_a_lost_reply_is_not_run_only_on_the_word_of_the_same_sidecar(
    word: Message | None, outcome: type[Outcome], error: StreamError
) -> None:
    """A fence by the process that got the attempt; a restarted one cannot vouch for it."""
    peers = FakePeers(word, error)
    one = dispatcher(FakeSidecar([]), retry_ratio=0.0)
    view = View("vm-2", "hall", "region")
    one._transport = Transport(view, FakeSidecar([]), peers)
    one._view = view
    one._view.fleet, one._view.ready = fleet(retry_ratio=0.0), True
    one._view.nodes[VM] = PeerNode(VM, "127.0.0.1", 1, "hall", "region")
    one._budgets["s"] = RetryBudget(0.0, burst=0.0)
    assert isinstance(one.dispatch(request("POST")).outcome, outcome)
    sent = len(one._view.fleet.targets) if outcome is NotRun else 1
    assert [stream.closed for stream in peers.lent] == [True] * sent
    assert [stream.sent for stream in peers.lent] == [["check", "attempt"]] * sent
    assert peers.returned == []

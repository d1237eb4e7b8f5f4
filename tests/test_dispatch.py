"""Outcomes at the ingress, with a fake sidecar in place of the local one."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass import clock
from roadpass.access import Access
from roadpass.customer import Customer, Customers
from roadpass.dispatch import SPENT_TTL_S
from roadpass.errors import ReplyTimeoutError, StreamError
from roadpass.fence import Verdict
from roadpass.fleet import Fleet
from roadpass.message import Attempt, LoadReport, Message
from roadpass.outcome import RETRY_SOON_MS, Answered, NotRun, Outcome, Reason, Unknown, status_of
from roadpass.peer_pool import Address, PeerPool
from roadpass.request import CallerWatch
from roadpass.retry import RetryBudget
from roadpass.shutdown import ANSWER_MIN_S
from roadpass.stream import Received, Stream
from roadpass.transport import Transport
from roadpass.view import PeerNode, View
from tests.fake_sidecar import BEHIND, VM, FakeSidecar, dispatcher, fleet, request

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
def test_not_run_is_reported_only_if_no_attempt_may_have_run(
    script: list[Outcome], method: str
) -> None:
    """Whatever the outcomes of the attempts, "not run" means that none of them was run."""
    sidecar = FakeSidecar(list(script))
    outcome = dispatcher(sidecar).dispatch(request(method)).outcome
    outcomes = (script + [NotRun(Reason.QUEUE_FULL)] * 9)[: len(sidecar.attempts)]
    if isinstance(outcome, NotRun):
        assert all(isinstance(one, NotRun) for one in outcomes)


@given(st.lists(OUTCOMES, max_size=5))
def test_not_repeatable_is_retried_only_after_not_run(script: list[Outcome]) -> None:
    """Every attempt but the last was proved not run, and no target is tried twice."""
    sidecar = FakeSidecar(list(script))
    dispatcher(sidecar).dispatch(request("POST"))
    outcomes = (script + [NotRun(Reason.QUEUE_FULL)] * 9)[: len(sidecar.attempts)]
    assert all(isinstance(one, NotRun) for one in outcomes[:-1])
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


def test_not_every_target_is_tried_when_the_repeats_of_a_service_are_spent() -> None:
    """Once all targets replied that theirs are spent, one such reply is enough for a while.

    Then more targets are tried again. Otherwise each request of a large service that sheds load
    would try forty targets.
    """
    spent = NotRun(Reason.REPEATS_SPENT)
    sidecar = FakeSidecar([NotRun(Reason.SHED), spent, spent, spent])
    one = dispatcher(sidecar)
    one._budgets["s"] = RetryBudget(0.5)
    for _ in range(9):
        one._budgets["s"].on_first_attempt()
    assert one.dispatch(request("POST")).outcome == spent
    assert len(sidecar.attempts) == 4
    sidecar.script = [NotRun(Reason.SHED), spent, Answered(200, [], b"")]
    assert one.dispatch(request("POST")).outcome == spent
    assert len(sidecar.attempts) == 6
    time.sleep(SPENT_TTL_S)
    sidecar.script = [NotRun(Reason.SHED), spent, Answered(200, [], b"")]
    assert isinstance(one.dispatch(request("POST")).outcome, Answered)


def test_refusals_before_a_target_use_no_budget_and_each_target_is_tried_once() -> None:
    """A request that every sidecar refused has reached no target."""
    sidecar = FakeSidecar([NotRun(Reason.FAILING)] * 1000)
    one = dispatcher(sidecar, retry_ratio=0.0)
    outcome = one.dispatch(request("POST")).outcome
    assert isinstance(outcome, NotRun)
    assert len(sidecar.attempts) == 4
    assert not any(attempt.retry for attempt in sidecar.attempts)


def test_max_attempts_of_a_route_limits_the_targets_reached() -> None:
    """However large the retry budget is."""
    sidecar = FakeSidecar([NotRun(Reason.SHED)] * 1000)
    one = dispatcher(sidecar, retry_ratio=0.5)
    route = one._view.fleet.routes["get"]._replace(max_attempts=2)
    fleet_ = one._view.fleet
    one._view.fleet = Fleet(fleet_.services, fleet_.targets, {"get": route}, (), revision=1)
    for _ in range(20):
        sidecar.attempts.clear()
        one.dispatch(request("GET"))
        assert len(sidecar.attempts) <= 2


def test_a_route_to_an_unknown_service_is_not_run() -> None:
    """The caller gets a refusal instead of an internal error."""
    one = dispatcher(FakeSidecar([]))
    config = one._view.fleet
    one._view.fleet = Fleet({}, {}, config.routes, (), revision=1)
    assert one.dispatch(request("POST")).outcome == NotRun(Reason.NO_CAPACITY, 2000)


def test_a_request_refused_before_any_attempt_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """With the reason, and the active revision."""
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
    late = request("POST", deadline=clock.now() - 1.0)
    outcome = dispatcher(sidecar).dispatch(late).outcome
    assert outcome == NotRun(Reason.EXPIRED, 500)
    assert sidecar.attempts == []


def test_waiting_limit_refuses_at_once() -> None:
    """Above the waiting limit of a service and class a request is refused as not run."""
    one = dispatcher(FakeSidecar([]), waiting_limit=1)
    assert one._enter(("s", "default"), 1)
    outcome = one.dispatch(request("GET")).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.WAITING_LIMIT


def test_declared_repeat_runs_only_if_all_sidecars_rule_out_a_start() -> None:
    """If a sidecar cannot rule out an earlier start, the outcome is unknown and nothing is sent."""
    sidecar = FakeSidecar([Answered(200, [], b"ok")])
    sidecar.verdict = Verdict.CANNOT_VOUCH
    one = dispatcher(sidecar)
    repeat = request("POST", key="k", repeat=True)
    assert isinstance(one.dispatch(repeat).outcome, Unknown)
    assert sidecar.attempts == []
    sidecar.verdict = Verdict.NEVER_STARTS
    assert isinstance(one.dispatch(repeat).outcome, Answered)


def test_a_sidecar_with_a_newer_revision_makes_the_ingress_pull_it() -> None:
    """Its load report contains its active revision."""
    sidecar = FakeSidecar([])
    sidecar.load = LoadReport(0, 0, 1, 0.0, 0.0, 0.0, revision=9)
    BEHIND.clear()
    dispatcher(sidecar).dispatch(request("POST"))
    assert BEHIND == {VM: 9}


def test_a_cancelled_request_is_not_retried() -> None:
    """Nobody waits for it any more."""
    sidecar = FakeSidecar([NotRun(Reason.CANCELLED)])
    dispatcher(sidecar).dispatch(request("GET"))
    assert len(sidecar.attempts) == 1


def test_no_capacity_when_no_target_is_left() -> None:
    """A service without targets gives "not run" with a time to retry."""
    one = dispatcher(FakeSidecar([]))
    value = {
        "services": {"s": {"floor_slots": 0}},
        "routes": {"r": {"path": "/", "service": "s"}},
    }
    one._view.fleet = Fleet.from_documents([("all", json.dumps(value))], revision=2)
    outcome = one.dispatch(request("GET")).outcome
    assert outcome == NotRun(Reason.NO_CAPACITY, 2000)


@pytest.mark.parametrize("access", [None, Access()])
def test_request_admitted_without_a_key_is_routed_by_no_version_that_needs_one(
    access: Access | None,
) -> None:
    """Guards against a mix of two versions: a public route of one, a service of the next."""
    one = dispatcher(FakeSidecar([]))
    value = {"services": {"s": {"floor_slots": 0}}, "routes": {"r": {"path": "/", "service": "s"}}}
    fleet = Fleet.from_documents([("all", json.dumps(value))], revision=2)
    customers = Customers.from_keys([(Customer("library"), ("a828m82thhkmgjqnirth",))])
    one._view.fleet = Fleet(
        fleet.services, fleet.targets, fleet.routes, (), revision=2, customers=customers
    )
    outcome = one.dispatch(request("GET")._replace(access=access)).outcome
    assert outcome == NotRun(Reason.NOT_READY, 500)


class FakeStream(Stream):
    """Accepts the check, then loses every reply; records whether it was closed."""

    def __init__(self, error: StreamError) -> None:
        self.error = error
        self.closed = False
        self.peer_incarnation = 7
        self.idle_since = 0.0
        self.sent: list[str] = []

    def send(self, message: Message, *, timeout_s: float = 0.0) -> None:
        self.sent.append(message["t"])

    def receive(
        self, timeout_s: float, *, caller: CallerWatch | None = None, frame_timeout_s: float = 0.0
    ) -> Received:
        if self.sent[-1] == "check":
            return Received({"t": "accepted"}, 0.0)
        raise self.error

    def close(self) -> None:
        self.closed = True


class FakePeers(PeerPool):
    """Provides streams that lose their replies; fences get one given reply, or none."""

    def __init__(self, reply: Message | None, error: StreamError) -> None:
        self.reply = reply
        self.error = error
        self.streams: list[FakeStream] = []
        self.returned: list[Stream] = []

    def acquire(self, address: Address, *, timeout_s: float) -> Stream:
        self.streams.append(FakeStream(self.error))
        return self.streams[-1]

    def release(self, address: Address, stream: Stream) -> None:
        self.returned.append(stream)

    def exchange(
        self, address: Address, message: Message, *, timeout_s: float, frame_timeout_s: float = 0.0
    ) -> Message:
        if self.reply is None:
            raise ReplyTimeoutError("The peer did not reply in time.")
        return self.reply


def fenced(verdict: Verdict, incarnation: int = 7) -> Message:
    """Return the reply of a sidecar to a fence."""
    return {"t": "fenced", "verdict": verdict.value, "incarnation": incarnation}


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (fenced(Verdict.NEVER_STARTS), NotRun),
        (fenced(Verdict.STARTED), Unknown),
        (fenced(Verdict.CANNOT_VOUCH), Unknown),
        (fenced(Verdict.NEVER_STARTS, incarnation=8), Unknown),
        (None, Unknown),
    ],
)
@pytest.mark.parametrize("error", [ReplyTimeoutError("late"), StreamError("lost")])
def test_a_lost_reply_is_not_run_only_if_the_same_sidecar_process_fences_it(
    reply: Message | None, outcome: type[Outcome], error: StreamError
) -> None:
    """A restarted sidecar does not know whether the attempt had started."""
    peers = FakePeers(reply, error)
    one = dispatcher(FakeSidecar([]), retry_ratio=0.0)
    view = View("vm-2", "hall", "region")
    one._transport = Transport(view, FakeSidecar([]), peers)
    one._view = view
    one._view.fleet, one._view.ready = fleet(retry_ratio=0.0), True
    one._view.nodes[VM] = PeerNode(VM, "127.0.0.1", 1, "hall", "region")
    one._budgets["s"] = RetryBudget(0.0, burst=0.0)
    assert isinstance(one.dispatch(request("POST")).outcome, outcome)
    sent = len(one._view.fleet.targets) if outcome is NotRun else 1
    assert [stream.closed for stream in peers.streams] == [True] * sent
    assert [stream.sent for stream in peers.streams] == [["check", "attempt"]] * sent
    assert peers.returned == []


class UnresponsivePeers(FakePeers):
    """Provides an idle stream that became unresponsive, then new ones that work or do not."""

    def __init__(self, *, new_ones_work: bool) -> None:
        super().__init__(None, StreamError("lost"))
        self.new_ones_work = new_ones_work
        self.dropped: list[Address] = []

    def acquire(self, address: Address, *, timeout_s: float) -> Stream:
        stream = UnresponsiveStream(StreamError("lost"))
        stream.works = self.new_ones_work and bool(self.streams)
        stream.idle_since = 0.0 if self.streams else 1.0
        self.streams.append(stream)
        return stream

    def drop(self, address: Address) -> None:
        self.dropped.append(address)


class UnresponsiveStream(FakeStream):
    """Receives no reply, unless it works."""

    works = False

    def receive(
        self, timeout_s: float, *, caller: CallerWatch | None = None, frame_timeout_s: float = 0.0
    ) -> Received:
        if not self.works:
            raise ReplyTimeoutError("The peer did not reply in time.")
        if self.sent[-1] == "check":
            return Received({"t": "accepted"}, 0.0)
        answer = {"t": "answered", "status": 200, "headers": [], "body": b"", "service_ms": 1.0}
        return Received(answer, 0.0)


@pytest.mark.parametrize(("new_ones_work", "status"), [(True, 200), (False, 503)])
def test_an_unresponsive_idle_stream_does_not_make_a_peer_unreachable(
    new_ones_work: bool, status: int
) -> None:
    """A new stream is tried at once, and the other idle ones are closed; nothing was sent yet."""
    peers = UnresponsivePeers(new_ones_work=new_ones_work)
    view = View("vm-2", "hall", "region")
    view.nodes[VM] = PeerNode(VM, "127.0.0.1", 1, "hall", "region")
    sidecar = FakeSidecar([])
    sent = dispatcher(sidecar)
    target = sent._view.fleet.targets["t0"]
    attempt = Attempt(
        id="vm-2/1/1",
        target="t0",
        route="post",
        method="POST",
        path="/",
        headers=[],
        body=b"",
        remaining_ms=1000.0,
        traffic_class="default",
        caller="c",
        repeatable=False,
        retry=False,
        revision=1,
        slow_ms=0.0,
    )
    outcome = Transport(view, sidecar, peers).send(target, attempt, None).outcome
    assert status_of(outcome) == status
    assert len(peers.dropped) == 1
    assert [stream.closed for stream in peers.streams] == [True, not new_ones_work]


def test_no_request_is_started_that_would_not_finish_before_the_node_ends() -> None:
    """The longer it usually takes, the earlier it is refused, before any attempt."""
    sidecar = FakeSidecar([Answered(200, [], b"", 3000.0)] * 5)
    one = dispatcher(sidecar)
    for _ in range(3):
        one.dispatch(request("GET"))
    leaving = NotRun(Reason.LEAVING, RETRY_SOON_MS)
    one._view.shutdown.at = clock.now() + 3.0
    assert one.dispatch(request("GET")).outcome == leaving
    assert isinstance(one.dispatch(request("POST")).outcome, Answered)
    one._view.shutdown.at = clock.now() + ANSWER_MIN_S
    assert one.dispatch(request("POST")).outcome == leaving
    assert len(sidecar.attempts) == 4


def test_the_slow_threshold_is_not_below_what_is_usual_for_a_route() -> None:
    """A target that happens to get few short requests is not given fewer requests for that."""
    sidecar = FakeSidecar([Answered(200, [], b"", 200.0)] * 40)
    one = dispatcher(sidecar)
    for _ in range(39):
        one.dispatch(request("GET"))
    view = one._view.service("s")
    view.slow_ms = dict.fromkeys(view.candidates, 20.0)
    one.dispatch(request("GET"))
    assert sidecar.attempts[-1].slow_ms > 200.0

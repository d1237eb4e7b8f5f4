"""Which targets a request is sent to, in which order, and when it is given up."""

import time

from roadpass import clock
from roadpass.balance import Candidate
from roadpass.fleet import Fleet
from roadpass.load_table import OFFER_TTL_S
from roadpass.message import LoadReport, Reply
from roadpass.offer import Offer
from roadpass.outcome import RETRY_SOON_MS, Answered, NotRun, Outcome, Reason, Unknown
from roadpass.request_state import GIVE_UP_SHARE, LAST_MAX_RISK, REPEATABLE_MAX_RISK, RequestState
from roadpass.route_stats import RouteStats
from roadpass.view import ServiceView
from tests.fake_sidecar import (
    FakeSidecar,
    SlowSidecar,
    WaitingSidecar,
    dispatcher,
    fleet,
    request,
)


def test_the_first_attempt_leaves_time_for_another_only_where_there_may_be_one() -> None:
    """If the retry budget is spent, the attempt may take all the time of the request."""
    sidecar = FakeSidecar([Answered(200, [], b"")] * 9)
    for spent, limit_ms in ((0, 300.0), (1, 2000.0)):
        one = dispatcher(sidecar, retry_ratio=0.0, attempt_timeout_ms=2000)
        route = one._view.fleet.routes["get"]._replace(target_latency_ms=300, timeout_ms=2000)
        config = one._view.fleet
        one._view.fleet = Fleet(config.services, config.targets, {"get": route}, (), revision=1)
        for _ in range(spent):
            assert one._budget(config.services["s"]).take()
        one.dispatch(request("GET"))
        left_ms = sidecar.attempts[-1].remaining_ms
        assert limit_ms * 0.9 < left_ms <= limit_ms, (spent, left_ms)


def test_a_request_accepts_the_best_offer_when_no_target_meets_its_limits() -> None:
    """Even if it must not be repeated: a target likely to fail refuses it without running it."""
    doubtful = [NotRun(Reason.DOUBTFUL)] * 4
    sidecar = FakeSidecar([*doubtful, Answered(200, [], b"ok")])
    outcome = dispatcher(sidecar).dispatch(request("POST")).outcome
    assert isinstance(outcome, Answered)
    assert [attempt.may_wait for attempt in sidecar.attempts] == [False] * 4 + [True]


def test_only_a_repeatable_request_is_sent_to_failing_targets_as_a_last_resort() -> None:
    """A failing target may run the request and lose the answer."""
    for method, attempts in (("POST", 4), ("GET", 5)):
        failing = [NotRun(Reason.FAILING)] * 4
        sidecar = FakeSidecar([*failing, Answered(200, [], b"ok")])
        dispatcher(sidecar).dispatch(request(method))
        assert len(sidecar.attempts) == attempts


def test_an_unknown_duration_is_assumed_to_be_a_share_of_the_objective() -> None:
    """So an unresponsive target is noticed from the first request on; not without an objective."""
    for objective_ms, expected_ms in ((300, 90), (None, 0)):
        sidecar = FakeSidecar([Answered(200, [], b"")] * 9)
        one = dispatcher(sidecar)
        config = one._view.fleet
        route = config.routes["get"]._replace(target_latency_ms=objective_ms)
        one._view.fleet = Fleet(config.services, config.targets, {"get": route}, (), revision=1)
        one.dispatch(request("GET"))
        assert sidecar.attempts[-1].usual_ms == expected_ms


def doubtful_reply(bad: float) -> Reply:
    """Return the reply of a sidecar whose target fails with the given probability."""
    load = LoadReport(0, 0, 1, 0.0, 0.0, 0.0, revision=1, bad=bad)
    return Reply(NotRun(Reason.DOUBTFUL, 0), load)


def test_a_request_with_one_attempt_goes_to_the_target_of_least_risk() -> None:
    """All near targets are probed before it accepts one above its risk limit."""
    late = NotRun(Reason.BUSY, 800)
    replies: list[Outcome | Reply] = [
        doubtful_reply(0.3),
        doubtful_reply(0.1),
        late,
        doubtful_reply(0.2),
    ]
    script: list[Outcome | Reply] = [*replies, Answered(200, [], b"ok")]
    sidecar = FakeSidecar(script)
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    made = sidecar.attempts
    assert [attempt.most_bad for attempt in made] == [LAST_MAX_RISK] * 4 + [1.0]
    assert all(attempt.last for attempt in made)
    assert made[-1].target == made[1].target


def test_a_long_wait_costs_more_than_a_moderate_risk() -> None:
    """The choice weighs the risk of a loss against a late answer."""
    replies: list[Outcome | Reply] = [doubtful_reply(0.3), *[NotRun(Reason.BUSY, 1900)] * 3]
    script: list[Outcome | Reply] = [*replies, Answered(200, [], b"ok")]
    sidecar = FakeSidecar(script)
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    assert sidecar.attempts[-1].target == sidecar.attempts[0].target


def test_a_request_that_would_be_late_everywhere_is_refused_with_the_shortest_wait() -> None:
    """It is not queued, and its caller learns when there will be capacity."""
    sidecar = FakeSidecar([NotRun(Reason.BUSY, 1200 + n) for n in range(9)])
    one = dispatcher(sidecar)
    route = one._view.fleet.routes["post"]._replace(target_latency_ms=800)
    config = one._view.fleet
    one._view.fleet = Fleet(config.services, config.targets, {"post": route}, (), revision=1)
    started = clock.now()
    assert one.dispatch(request("POST")).outcome == NotRun(Reason.BUSY, 1200)
    assert clock.now() - started < 0.8 / 8
    assert len(sidecar.attempts) == 4


def test_a_repeatable_request_accepts_targets_of_higher_risk_first() -> None:
    """Its first attempt accepts a target likely to fail; its last one only one of low risk."""
    sidecar = FakeSidecar([Unknown(Reason.TARGET_LOST), Answered(200, [], b"ok")])
    one = dispatcher(sidecar)
    one._budget(one._view.fleet.services["s"]).on_first_attempt()
    assert isinstance(one.dispatch(request("GET")).outcome, Answered)
    first, second = sidecar.attempts
    assert (first.last, first.most_bad, first.may_be_trial) == (False, REPEATABLE_MAX_RISK, True)
    assert (second.last, second.most_bad, second.may_be_trial) == (True, LAST_MAX_RISK, False)


def test_a_request_without_retry_budget_is_not_sent_as_a_trial() -> None:
    """A failed trial would lose it for good; as a last resort it is sent all the same."""
    sidecar = FakeSidecar([NotRun(Reason.FAILING)] * 4)
    one = dispatcher(sidecar, retry_ratio=0.0)
    one._budget(one._view.fleet.services["s"]).take()
    one.dispatch(request("GET"))
    assert [attempt.spare for attempt in sidecar.attempts] == [False] * 4 + [True] * 4


def test_after_an_unsuccessful_wait_at_a_target_all_are_probed_again() -> None:
    """Meanwhile the others may have a free slot."""
    busy = [NotRun(Reason.BUSY, wait_ms) for wait_ms in (40, 30, 20, 50)]
    sidecar = WaitingSidecar([*busy, NotRun(Reason.BUSY, 500), Answered(200, [], b"ok")])
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    made = sidecar.attempts
    assert [attempt.may_wait for attempt in made] == [False] * 4 + [True, False]
    assert made[4].target == made[2].target
    assert made[5].target != made[4].target


def test_unreachable_targets_are_not_probed_until_no_other_is_left() -> None:
    """Each such probe costs a tenth of a second."""
    unreachable: list[Outcome] = [NotRun(Reason.UNREACHABLE)] * 3
    sidecar = FakeSidecar([*unreachable, *[Answered(200, [], b"ok")] * 9])
    one = dispatcher(sidecar)
    one.dispatch(request("POST"))
    avoided = {attempt.target for attempt in sidecar.attempts[:3]}
    sidecar.attempts.clear()
    for _ in range(5):
        assert isinstance(one.dispatch(request("POST")).outcome, Answered)
    assert {attempt.target for attempt in sidecar.attempts}.isdisjoint(avoided)
    sidecar.script = [NotRun(Reason.LEAVING), Answered(200, [], b"ok")]
    assert isinstance(one.dispatch(request("POST")).outcome, Answered)
    assert sidecar.attempts[-1].target in avoided
    assert sidecar.attempts[-1].pressing


def test_a_request_without_a_free_target_is_given_up_in_time() -> None:
    """Long before its deadline, and with the time after which to retry."""
    sidecar = SlowSidecar([NotRun(Reason.BUSY, 40)] * 1000)
    started = clock.now()
    one = dispatcher(sidecar, timeout_ms=1000)
    outcome = one.dispatch(request("POST")).outcome
    assert outcome == NotRun(Reason.BUSY, RETRY_SOON_MS)
    took_s = clock.now() - started
    assert GIVE_UP_SHARE <= took_s < 0.5


def request_state(*, size_kb: float = 5.0) -> RequestState:
    """Return the initial state of a request, not repeatable, with an objective of 800 ms."""
    made = fleet()
    route = made.routes["post"]._replace(target_latency_ms=800)
    stats = RouteStats(size_kb=size_kb)
    now = clock.now()
    return RequestState.begin(request("POST"), route, made.services["s"], now, stats, 1.0)


def test_a_long_request_waits_for_a_slot_while_most_of_its_route_would_be_in_time() -> None:
    """Refused after a few milliseconds, it left slots unused that became free a moment later."""
    made = fleet()
    route = made.routes["post"]._replace(target_latency_ms=800)
    stats = RouteStats()
    for took_ms in (100.0, 150.0, 200.0, 250.0, 400.0, 700.0) * 5:
        stats.duration.add(took_ms)
    now = clock.now()
    state = RequestState.begin(request("POST"), route, made.services["s"], now, stats, 1.0)
    assert 300.0 < state.most_wait_ms() < 500.0
    state.started -= 0.7
    assert state.most_wait_ms() < 50.0


def test_another_data_hall_is_probed_only_if_it_is_worth_the_transfer() -> None:
    """A small request goes there for less than a large one; without any offer, each does."""
    for size_kb, bad, expected in ((5.0, 0.6, False), (5.0, 0.9, True), (0.1, 0.2, True)):
        made = request_state(size_kb=size_kb)
        assert made.may_probe_far(has_repeat=False)
        made.add_offer("t0", Offer(bad, 0.0, far=False))
        assert made.may_probe_far(has_repeat=False) is expected, (size_kb, bad)


def test_of_two_similar_offers_the_near_one_is_accepted() -> None:
    """The transfer to the other data hall has a cost."""
    made = request_state()
    made.add_offer("far", Offer(0.1, 0.0, far=True))
    made.add_offer("near", Offer(0.2, 0.0, far=False))
    assert made.accept_best(has_repeat=False) == "near"


def large_request(tiers: dict[str, int], script: list[Outcome]) -> Outcome:
    """Send 50 kB to targets at the given distances, which reply as the script says."""
    one = dispatcher(WaitingSidecar(script))
    candidates = {name: Candidate(name, tier, 1.0) for name, tier in tiers.items()}
    one._view.services["s"] = ServiceView(candidates)
    one._view.tier = lambda target: tiers[target.name]  # type: ignore[method-assign]
    return one.dispatch(request("POST")._replace(body=b"x" * 50_000)).outcome


def test_without_a_near_target_a_request_waits_in_another_data_hall_whatever_its_size() -> None:
    """No near target could save the transfer, so the request would always be refused."""
    busy = [NotRun(Reason.BUSY, 50)] * 2
    answer = Answered(200, [], b"ok")
    nothing_near = dict.fromkeys(("t0", "t1", "t2", "t3"), 1)
    assert large_request(nothing_near, [*busy, answer]) == answer
    one_near = {**nothing_near, "t0": 0}
    refused = large_request(one_near, [NotRun(Reason.FAILING), *busy, answer])
    assert isinstance(refused, NotRun)


def test_the_slow_threshold_follows_the_duration_of_the_route() -> None:
    """Other routes may have shorter requests."""
    made = fleet()
    stats = RouteStats()
    for _ in range(40):
        stats.duration.add(200.0)
    service = made.services["s"]
    state = RequestState.begin(request("POST"), made.routes["post"], service, 0.0, stats, 1.0)
    assert 200.0 < state.slow_ms / service.judgement.slow_margin < 400.0


def test_a_large_request_does_not_wait_in_another_data_hall() -> None:
    """It would displace a caller there; a small request may wait, and a free slot is accepted."""
    for size_kb, wait_ms, taken in ((5.0, 50.0, None), (5.0, 0.0, "far"), (0.1, 50.0, "far")):
        made = request_state(size_kb=size_kb)
        made.add_offer("far", Offer(0.01, wait_ms, far=True))
        assert made.accept_best(has_repeat=False) == taken, (size_kb, wait_ms)


def test_a_short_request_may_exceed_its_objective() -> None:
    """It delays others little, and often one of them waits for it."""
    sidecar = FakeSidecar([Answered(200, [], b"", 400.0)] * 40)
    one = dispatcher(sidecar)
    config = one._view.fleet
    slow = config.routes["post"]._replace(target_latency_ms=800)
    quick = slow._replace(name="quick", path="/quick")
    one._view.fleet = Fleet(config.services, config.targets, {"post": slow, "quick": quick}, ())
    for _ in range(20):
        one.dispatch(request("POST"))
    sidecar.script[:] = [Answered(200, [], b"", 40.0)] * 10
    for _ in range(10):
        one.dispatch(request("POST")._replace(path="/quick"))
    sidecar.script[:] = [NotRun(Reason.BUSY, 1200)] * 9
    assert one.dispatch(request("POST")).outcome == NotRun(Reason.BUSY, 1200)
    sidecar.script[:] = [*[NotRun(Reason.BUSY, 1200)] * 4, Answered(200, [], b"", 40.0)]
    time.sleep(2.0 * OFFER_TTL_S)
    outcome = one.dispatch(request("POST")._replace(path="/quick")).outcome
    assert isinstance(outcome, Answered)

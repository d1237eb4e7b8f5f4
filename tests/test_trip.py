"""Which targets a request is sent to, in which order, and when it stops to try."""

import time

from roadpass import clock
from roadpass.balance import Candidate
from roadpass.fleet import Fleet
from roadpass.kind import Kind
from roadpass.load import WORD_S
from roadpass.message import LoadReport, Reply
from roadpass.offer import Offer
from roadpass.outcome import RETRY_SOON_MS, Answered, NotRun, Outcome, Reason, Unknown
from roadpass.trip import GIVE_UP_SHARE, SPARE_BAD, WANTED_BAD, Trip
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


def test_when_all_targets_shed_the_best_of_them_is_taken() -> None:
    """A request that must not repeat too: a target that sheds says so, and has not run it."""
    doubtful = [NotRun(Reason.DOUBTFUL)] * 4
    sidecar = FakeSidecar([*doubtful, Answered(200, [], b"ok")])
    outcome = dispatcher(sidecar).dispatch(request("POST")).outcome
    assert isinstance(outcome, Answered)
    assert [attempt.may_wait for attempt in sidecar.attempts] == [False] * 4 + [True]


def test_when_all_targets_fail_only_what_may_repeat_presses() -> None:
    """A failing one may run it and lose the answer."""
    for method, asked in (("POST", 4), ("GET", 5)):
        failing = [NotRun(Reason.SICK)] * 4
        sidecar = FakeSidecar([*failing, Answered(200, [], b"ok")])
        dispatcher(sidecar).dispatch(request(method))
        assert len(sidecar.attempts) == asked


def test_while_nobody_knows_a_request_is_taken_to_last_a_share_of_its_objective() -> None:
    """A target's silence thus tells from the first request on; without objective nothing does."""
    for objective_ms, told_ms in ((300, 90), (None, 0)):
        sidecar = FakeSidecar([Answered(200, [], b"")] * 9)
        one = dispatcher(sidecar)
        held = one._view.fleet
        route = held.routes["get"]._replace(target_latency_ms=objective_ms)
        one._view.fleet = Fleet(held.services, held.targets, {"get": route}, (), revision=1)
        one.dispatch(request("GET"))
        assert sidecar.attempts[-1].usual_ms == told_ms


def doubtful(bad: float) -> Reply:
    """Return a sidecar's word that its target is probably bad."""
    load = LoadReport(0, 0, 1, 0.0, 0.0, 0.0, revision=1, bad=bad)
    return Reply(NotRun(Reason.DOUBTFUL, 0), load)


def test_what_has_one_attempt_goes_to_the_target_that_is_least_doubtful() -> None:
    """All near ones are asked before it takes one that is not as sure as it wants."""
    late = NotRun(Reason.BUSY, 800)
    words: list[Outcome | Reply] = [doubtful(0.3), doubtful(0.1), late, doubtful(0.2)]
    script: list[Outcome | Reply] = [*words, Answered(200, [], b"ok")]
    sidecar = FakeSidecar(script)
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    made = sidecar.attempts
    assert [attempt.most_bad for attempt in made] == [WANTED_BAD] * 4 + [1.0]
    assert all(attempt.last for attempt in made)
    assert made[-1].target == made[1].target


def test_a_long_wait_is_worse_than_some_doubt() -> None:
    """The choice weighs a probable loss against coming late."""
    words: list[Outcome | Reply] = [doubtful(0.3), *[NotRun(Reason.BUSY, 1900)] * 3]
    script: list[Outcome | Reply] = [*words, Answered(200, [], b"ok")]
    sidecar = FakeSidecar(script)
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    assert sidecar.attempts[-1].target == sidecar.attempts[0].target


def test_what_would_be_late_everywhere_is_refused_at_once_with_the_shortest_wait() -> None:
    """It is not held back, and its caller learns when there will be room."""
    sidecar = FakeSidecar([NotRun(Reason.BUSY, 1200 + n) for n in range(9)])
    one = dispatcher(sidecar)
    route = one._view.fleet.routes["post"]._replace(target_latency_ms=800)
    held = one._view.fleet
    one._view.fleet = Fleet(held.services, held.targets, {"post": route}, (), revision=1)
    started = clock.now()
    assert one.dispatch(request("POST")).outcome == NotRun(Reason.BUSY, 1200)
    assert clock.now() - started < 0.8 / 8
    assert len(sidecar.attempts) == 4


def test_what_may_be_repeated_proves_targets() -> None:
    """Its first attempt goes to doubtful ones too; the last one that it has wants a sure one."""
    sidecar = FakeSidecar([Unknown(Reason.TARGET_LOST), Answered(200, [], b"ok")])
    one = dispatcher(sidecar)
    one._budget(one._view.fleet.services["s"]).on_first_attempt()
    assert isinstance(one.dispatch(request("GET")).outcome, Answered)
    first, second = sidecar.attempts
    assert (first.last, first.most_bad, first.may_be_trial) == (False, SPARE_BAD, True)
    assert (second.last, second.most_bad, second.may_be_trial) == (True, WANTED_BAD, False)


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
    sidecar = WaitingSidecar([*busy, NotRun(Reason.BUSY, 500), Answered(200, [], b"ok")])
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
    started = clock.now()
    one = dispatcher(sidecar, timeout_ms=1000)
    outcome = one.dispatch(request("POST")).outcome
    assert outcome == NotRun(Reason.BUSY, RETRY_SOON_MS)
    took_s = clock.now() - started
    assert GIVE_UP_SHARE <= took_s < 0.5


def trip(*, size_kb: float = 5.0) -> Trip:
    """Return a request that must not repeat, with an objective of 800 ms, before any attempt."""
    made = fleet()
    route = made.routes["post"]._replace(target_latency_ms=800)
    kind = Kind(size_kb=size_kb)
    now = clock.now()
    return Trip.begin(request("POST"), route, made.services["s"], now, kind, 1.0)


def test_a_long_request_still_waits_for_a_slot_while_most_of_its_kind_would_be_in_time() -> None:
    """Refused after a few milliseconds, it left slots free that it would have had in a moment."""
    made = fleet()
    route = made.routes["post"]._replace(target_latency_ms=800)
    kind = Kind()
    for took_ms in (100.0, 150.0, 200.0, 250.0, 400.0, 700.0) * 5:
        kind.latency.add(took_ms)
    now = clock.now()
    begun = Trip.begin(request("POST"), route, made.services["s"], now, kind, 1.0)
    assert 300.0 < begun.most_wait_ms() < 500.0
    begun.started -= 0.7
    assert begun.most_wait_ms() < 50.0


def test_another_data_hall_is_asked_only_where_it_is_worth_the_bytes() -> None:
    """A small request goes there for less than a large one; with no offer at all, any does."""
    for size_kb, bad, asks in ((5.0, 0.6, False), (5.0, 0.9, True), (0.1, 0.2, True)):
        made = trip(size_kb=size_kb)
        assert made.asks_far(has_repeat=False)
        made.note_offer("t0", Offer(bad, 0.0, far=False))
        assert made.asks_far(has_repeat=False) is asks, (size_kb, bad)


def test_of_two_alike_the_near_one_is_taken() -> None:
    """The way to the other costs bytes."""
    made = trip()
    made.note_offer("far", Offer(0.1, 0.0, far=True))
    made.note_offer("near", Offer(0.2, 0.0, far=False))
    assert made.settle(has_repeat=False) == "near"


def large_request(tiers: dict[str, int], script: list[Outcome]) -> Outcome:
    """Send 50 kB where the targets are so far away, and say what they say one after the other."""
    one = dispatcher(WaitingSidecar(script))
    candidates = {name: Candidate(name, tier, 1.0) for name, tier in tiers.items()}
    one._view.services["s"] = ServiceView(candidates)
    one._view.tier = lambda target: tiers[target.name]  # type: ignore[method-assign]
    return one.dispatch(request("POST")._replace(body=b"x" * 50_000)).outcome


def test_a_data_hall_without_a_target_waits_for_those_of_others_however_much_it_carries() -> None:
    """There is nothing near that would save the bytes: it would be refused for good."""
    busy = [NotRun(Reason.BUSY, 50)] * 2
    answer = Answered(200, [], b"ok")
    nothing_near = dict.fromkeys(("t0", "t1", "t2", "t3"), 1)
    assert large_request(nothing_near, [*busy, answer]) == answer
    one_near = {**nothing_near, "t0": 0}
    refused = large_request(one_near, [NotRun(Reason.SICK), *busy, answer])
    assert isinstance(refused, NotRun)


def test_what_is_slow_is_measured_by_the_kind_of_a_request() -> None:
    """The others' requests may be short ones."""
    made = fleet()
    kind = Kind()
    for _ in range(40):
        kind.latency.add(200.0)
    service = made.services["s"]
    begun = Trip.begin(request("POST"), made.routes["post"], service, 0.0, kind, 1.0)
    assert 200.0 < begun.slow_ms / service.judgement.slow_margin < 400.0


def test_nothing_waits_in_another_data_hall_that_carries_much_there() -> None:
    """It would take the turn of a caller there; a small request may, and a free slot is taken."""
    for size_kb, wait_ms, taken in ((5.0, 50.0, None), (5.0, 0.0, "far"), (0.1, 50.0, "far")):
        made = trip(size_kb=size_kb)
        made.note_offer("far", Offer(0.01, wait_ms, far=True))
        assert made.settle(has_repeat=False) == taken, (size_kb, wait_ms)


def test_a_short_request_may_come_later_than_its_objective() -> None:
    """It delays others by little, and often one of them waits for it."""
    sidecar = FakeSidecar([Answered(200, [], b"", 400.0)] * 40)
    one = dispatcher(sidecar)
    held = one._view.fleet
    slow = held.routes["post"]._replace(target_latency_ms=800)
    quick = slow._replace(name="quick", path="/quick")
    one._view.fleet = Fleet(held.services, held.targets, {"post": slow, "quick": quick}, ())
    for _ in range(20):
        one.dispatch(request("POST"))
    sidecar.script[:] = [Answered(200, [], b"", 40.0)] * 10
    for _ in range(10):
        one.dispatch(request("POST")._replace(path="/quick"))
    sidecar.script[:] = [NotRun(Reason.BUSY, 1200)] * 9
    assert one.dispatch(request("POST")).outcome == NotRun(Reason.BUSY, 1200)
    sidecar.script[:] = [*[NotRun(Reason.BUSY, 1200)] * 4, Answered(200, [], b"", 40.0)]
    time.sleep(2.0 * WORD_S)
    outcome = one.dispatch(request("POST")._replace(path="/quick")).outcome
    assert isinstance(outcome, Answered)

"""Which targets a request is sent to, in which order, and when it stops to try."""

import time

from roadpass.fleet import Fleet
from roadpass.outcome import RETRY_SOON_MS, Answered, NotRun, Outcome, Reason, Unknown
from roadpass.trip import GIVE_UP_SHARE
from tests.fake_sidecar import FakeSidecar, SlowSidecar, dispatcher, request


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

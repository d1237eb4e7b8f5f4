"""Requests under which targets ended, at the ingress: refused at once, learnt of, not repeated."""

from roadpass import clock
from roadpass.message import Reply
from roadpass.outcome import Answered, NotRun, Reason, Unknown
from roadpass.quarantine import HOLD_S, MIN_CRASHES
from tests.fake_sidecar import FakeSidecar, dispatcher, request

WORK = "work"
ENDED = [[f"target-{number}/1", 0.1] for number in range(MIN_CRASHES)]
ROW = [WORK, -1.0, ENDED]
LOST = Unknown(Reason.TARGET_LOST)


def test_it_is_refused_at_once_as_not_run_with_the_time_to_come_back() -> None:
    """No target is asked; another request is served."""
    sidecar = FakeSidecar([Answered(200, [], b"ok")])
    one = dispatcher(sidecar)
    sidecar.quarantine.merge(clock.now(), ROW)
    outcome = one.dispatch(request("GET", fingerprint=WORK)).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.QUARANTINED
    assert HOLD_S - 5.0 < outcome.retry_after_ms / 1000.0 <= HOLD_S
    assert sidecar.attempts == []
    assert isinstance(one.dispatch(request("GET", fingerprint="other")).outcome, Answered)


def test_what_the_sidecar_tells_of_a_lost_one_ends_its_repeats() -> None:
    """The third target ended under it: a fourth is not tried, and nothing is promised."""
    sidecar = FakeSidecar([Reply(LOST, crash=ROW), Answered(200, [], b"ok")])
    outcome = dispatcher(sidecar).dispatch(request("GET", fingerprint=WORK)).outcome
    assert outcome == LOST
    assert len(sidecar.attempts) == 1


def test_a_lost_one_of_which_less_is_known_is_repeated() -> None:
    """Most are bystanders."""
    row = [WORK, -1.0, ENDED[:1]]
    sidecar = FakeSidecar([Reply(LOST, crash=row), Answered(200, [], b"ok")])
    outcome = dispatcher(sidecar).dispatch(request("GET", fingerprint=WORK)).outcome
    assert isinstance(outcome, Answered)


def test_a_door_that_knows_ends_the_way_of_a_request() -> None:
    """An ingress that just started asks no second one, and knows from then on."""
    refused = Reply(NotRun(Reason.QUARANTINED, 60_000), crash=ROW)
    sidecar = FakeSidecar([refused, Answered(200, [], b"ok")])
    one = dispatcher(sidecar)
    for _ in range(2):
        outcome = one.dispatch(request("POST", fingerprint=WORK)).outcome
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.QUARANTINED
    assert len(sidecar.attempts) == 1


def test_one_that_is_kept_apart_goes_elsewhere() -> None:
    """What must not repeat, too: it has not run there."""
    sidecar = FakeSidecar([NotRun(Reason.KEPT_APART), Answered(200, [], b"ok")])
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    targets = [attempt.target for attempt in sidecar.attempts]
    assert len(set(targets)) == 2

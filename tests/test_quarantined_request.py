"""Requests that crash targets, at the ingress: refused at once, and not repeated after a loss."""

from roadpass import clock
from roadpass.message import Reply
from roadpass.outcome import Answered, NotRun, Reason, Unknown
from roadpass.quarantine import MIN_CRASHES, QUARANTINE_S
from tests.fake_sidecar import FakeSidecar, dispatcher, request

WORK = "work"
CRASHES = [[f"target-{number}/1", 0.1] for number in range(MIN_CRASHES)]
ROW = [WORK, -1.0, CRASHES]
LOST = Unknown(Reason.TARGET_LOST)


def test_it_is_refused_at_once_as_not_run_with_the_time_to_retry() -> None:
    """No target is contacted; another request is served."""
    sidecar = FakeSidecar([Answered(200, [], b"ok")])
    one = dispatcher(sidecar)
    sidecar.quarantine.merge(clock.now(), ROW)
    outcome = one.dispatch(request("GET", fingerprint=WORK)).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.QUARANTINED
    assert QUARANTINE_S - 5.0 < outcome.retry_after_ms / 1000.0 <= QUARANTINE_S
    assert sidecar.attempts == []
    assert isinstance(one.dispatch(request("GET", fingerprint="other")).outcome, Answered)


def test_crash_records_in_a_reply_stop_the_repeats() -> None:
    """After the third crash no fourth target is tried, and the outcome stays unknown."""
    sidecar = FakeSidecar([Reply(LOST, crash=ROW), Answered(200, [], b"ok")])
    outcome = dispatcher(sidecar).dispatch(request("GET", fingerprint=WORK)).outcome
    assert outcome == LOST
    assert len(sidecar.attempts) == 1


def test_a_lost_request_with_fewer_crashes_is_repeated() -> None:
    """Most such requests did not cause the crash."""
    row = [WORK, -1.0, CRASHES[:1]]
    sidecar = FakeSidecar([Reply(LOST, crash=row), Answered(200, [], b"ok")])
    outcome = dispatcher(sidecar).dispatch(request("GET", fingerprint=WORK)).outcome
    assert isinstance(outcome, Answered)


def test_a_sidecar_that_knows_the_crashes_stops_a_request() -> None:
    """An ingress that has just started tries no second one, and knows the crashes from then on."""
    refused = Reply(NotRun(Reason.QUARANTINED, 60_000), crash=ROW)
    sidecar = FakeSidecar([refused, Answered(200, [], b"ok")])
    one = dispatcher(sidecar)
    for _ in range(2):
        outcome = one.dispatch(request("POST", fingerprint=WORK)).outcome
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.QUARANTINED
    assert len(sidecar.attempts) == 1


def test_a_request_that_is_kept_apart_goes_to_another_target() -> None:
    """Even if it must not be repeated: it did not run at the first target."""
    sidecar = FakeSidecar([NotRun(Reason.KEPT_APART), Answered(200, [], b"ok")])
    assert isinstance(dispatcher(sidecar).dispatch(request("POST")).outcome, Answered)
    targets = [attempt.target for attempt in sidecar.attempts]
    assert len(set(targets)) == 2

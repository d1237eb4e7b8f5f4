"""A failure is attributed to a call only if it may be the request's own and failed just before."""

from roadpass.failed_calls import JUST_BEFORE_S, MAX_FAILURES, CallLog
from roadpass.outcome import Answered, NotRun, Reason, Unknown

FAILED = Answered(500, [], b"")


def log(began: float = 1.1, ended: float = 1.5, deadline: float = 3.0) -> CallLog:
    """Return a log with one failed request."""
    made = CallLog()
    made.record(began, ended, deadline, FAILED)
    return made


def test_a_call_that_failed_just_before() -> None:
    """It began after the request, with the same deadline."""
    assert log().explains(1.0, 1.51, 3.0)


def test_calls_that_do_not_belong_to_the_request() -> None:
    """Started before it, with a later deadline, failed long before or after it."""
    assert not log(began=0.9).explains(1.0, 1.51, 3.0)
    assert not log(deadline=3.5).explains(1.0, 1.51, 3.0)
    assert not log().explains(1.0, 1.5 + 2.0 * JUST_BEFORE_S, 3.0)
    assert not log().explains(1.0, 1.4, 3.0)


def test_what_counts_as_a_failed_call() -> None:
    """A refused or lost call too, but not an answer with another status."""
    made = CallLog()
    made.record(1.1, 1.5, 3.0, Answered(404, [], b""))
    assert not made.explains(1.0, 1.51, 3.0)
    for outcome in (NotRun(Reason.BUSY), Unknown(Reason.TARGET_LOST)):
        made = CallLog()
        made.record(1.1, 1.5, 3.0, outcome)
        assert made.explains(1.0, 1.51, 3.0)


def test_memory_is_bounded() -> None:
    """Only the latest failures are kept."""
    made = log()
    for _ in range(MAX_FAILURES):
        made.record(2.1, 2.5, 4.0, FAILED)
    assert not made.explains(1.0, 1.51, 3.0)
    assert made.explains(2.0, 2.51, 4.0)

"""A request that crashes its targets, in flight while a node or a target is drained.

A drain returns queued requests to their ingress, which redirects them. Meanwhile more targets may
crash under other attempts at the same request. Once enough crashes are known, neither the sidecar
that grants the slot nor the ingress that gets the request back may let it through, as the next
sidecar may not have received the crash reports yet.
"""

import threading
from collections.abc import Callable

import pytest

from roadpass import clock
from roadpass.message import Attempt, Reply
from roadpass.outcome import RETRY_SOON_MS, Answered, NotRun, Outcome, Reason, Unknown
from roadpass.quarantine import MIN_CRASHES, Row
from roadpass.request import CallerWatch
from tests.fake_sidecar import FakeSidecar, dispatcher, request
from tests.test_sidecar import Bench, attempt, bench

__all__ = ["bench"]

WORK = "deadly"
WAIT_S = 5.0
"""Timeout for conditions that normally hold at once."""


def crashed_row() -> Row:
    """Return the gossip row of a request under which enough targets crashed."""
    return [WORK, -1.0, [[f"target-{number}/1", 0.1] for number in range(MIN_CRASHES)]]


class Queue:
    """A target whose slots are in use for a while, and a request that waits for one."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        bench.state.behaviour.median_ms = 900.0
        self.replies: list[Reply] = []
        self._busy = [self._start(attempt(number)) for number in range(2)]
        self._wait_for(lambda: bench.runs == 2)
        waits = attempt(9, path="/deadly", fingerprint=WORK, may_wait=True, most_wait_ms=9e3)
        self._waiting = self._start(waits)
        self._wait_for(lambda: bench.sidecar.targets["t"]._slots.waiting == 1)

    def outcome(self) -> Outcome:
        """Return the outcome of the request that waited."""
        self._waiting.join(WAIT_S)
        assert not self._waiting.is_alive()
        (returned,) = [one for one in self.replies if isinstance(one.outcome, NotRun)]
        return returned.outcome

    def finish(self) -> None:
        """Wait until the target has answered the other requests."""
        for thread in self._busy:
            thread.join(WAIT_S)

    def _start(self, one: Attempt) -> threading.Thread:
        def run() -> None:
            self.replies.append(self.bench.sidecar.run(one))

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    @staticmethod
    def _wait_for(ready: Callable[[], bool]) -> None:
        until = clock.now() + WAIT_S
        while not ready() and clock.now() < until:
            threading.Event().wait(0.001)
        assert ready()


def test_a_queued_request_is_quarantined_when_crash_reports_arrive(bench: Bench) -> None:
    """It was queued before the third target crashed, and its slot is granted after that."""
    queue = Queue(bench)
    bench.sidecar.quarantine.merge(clock.now(), crashed_row())
    outcome = queue.outcome()
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.QUARANTINED
    queue.finish()
    assert bench.runs == 2


def test_a_request_returned_by_a_drain_does_not_run_on_this_vm(bench: Bench) -> None:
    """Nor does it run when it is sent to this VM again."""
    queue = Queue(bench)
    bench.sidecar.quarantine.merge(clock.now(), crashed_row())
    bench.configure(revision=3, leaving=True)
    outcome = queue.outcome()
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.LEAVING
    queue.finish()
    bench.configure(revision=4)
    again = bench.sidecar.run(attempt(10, path="/deadly", fingerprint=WORK, revision=4))
    assert isinstance(again.outcome, NotRun)
    assert again.outcome.reason is Reason.QUARANTINED
    assert again.crash is not None
    assert bench.runs == 2


class DrainedSidecar(FakeSidecar):
    """Receives a crash report, then returns an attempt; it would answer the next attempt."""

    def __init__(self, *before: Outcome) -> None:
        super().__init__([*before, Answered(200, [], b"ok")])
        self._returned_attempt = len(before)

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        if len(self.attempts) + 1 == self._returned_attempt:
            self.quarantine.merge(clock.now(), crashed_row())
        return super().run(attempt, age_s, watch)


LOST = Unknown(Reason.TARGET_LOST)


@pytest.mark.parametrize("why", [Reason.LEAVING, Reason.BUSY, Reason.QUEUE_FULL, Reason.FENCED])
@pytest.mark.parametrize(
    ("method", "before"),
    [("GET", []), ("POST", []), ("GET", [LOST])],
    ids=["repeatable", "not repeatable", "lost before"],
)
def test_an_ingress_with_crash_reports_does_not_redirect_a_returned_request(
    method: str, before: list[Outcome], why: Reason
) -> None:
    """The next sidecar may not have the crash reports yet.

    An ingress that knew of three crashes redirected the request nevertheless, to up to 40 sidecars,
    and the first one without the reports let it through. A request that was lost before is not
    reported as not run.
    """
    sidecar = DrainedSidecar(*before, NotRun(why, RETRY_SOON_MS))
    outcome = dispatcher(sidecar).dispatch(request(method, fingerprint=WORK)).outcome
    assert len(sidecar.attempts) == len(before) + 1
    if before:
        assert outcome == LOST
        return
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.QUARANTINED
    assert outcome.retry_after_ms > 1000


def test_another_returned_request_is_redirected() -> None:
    """A request without crash reports is redirected as usual."""
    sidecar = DrainedSidecar(NotRun(Reason.LEAVING, RETRY_SOON_MS))
    outcome = dispatcher(sidecar).dispatch(request("POST", fingerprint="other")).outcome
    assert isinstance(outcome, Answered)
    assert len(sidecar.attempts) == 2

"""A request that ends its targets, which is under way as a node or a target is drained.

What waits for a slot is sent back then, and goes elsewhere; in between more targets may end under
the same request in other comings. Whoever knows enough of it by then must not let it through: the
door where its turn comes, and the ingress to which it was sent back, since the next door may not
have heard yet.
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
"""Seconds until a test gives up waiting for something that should be there at once."""


def ended_row() -> Row:
    """Return what nodes tell each other of a request under which enough targets ended."""
    return [WORK, -1.0, [[f"target-{number}/1", 0.1] for number in range(MIN_CRASHES)]]


class Queue:
    """A target whose slots are taken for a while, and the request that waits for one."""

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
        """Return what became of the request that waited."""
        self._waiting.join(WAIT_S)
        assert not self._waiting.is_alive()
        (sent_back,) = [one for one in self.replies if isinstance(one.outcome, NotRun)]
        return sent_back.outcome

    def finish(self) -> None:
        """Wait until the target has answered the others."""
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


def test_what_is_found_out_while_it_waits_keeps_it_from_its_turn(bench: Bench) -> None:
    """It came to the door before the third target ended, and its slot is free after that."""
    queue = Queue(bench)
    bench.sidecar.quarantine.merge(clock.now(), ended_row())
    outcome = queue.outcome()
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.QUARANTINED
    queue.finish()
    assert bench.runs == 2


def test_a_drained_target_sends_it_back_and_it_does_not_run_there(bench: Bench) -> None:
    """Nor anywhere else on this VM, whichever target it is sent to next."""
    queue = Queue(bench)
    bench.sidecar.quarantine.merge(clock.now(), ended_row())
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
    """Sends an attempt back, when news of its work has come; the next one would be let through."""

    def __init__(self, *before: Outcome) -> None:
        super().__init__([*before, Answered(200, [], b"ok")])
        self._sent_back_as = len(before)

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        if len(self.attempts) + 1 == self._sent_back_as:
            self.quarantine.merge(clock.now(), ended_row())
        return super().run(attempt, age_s, watch)


LOST = Unknown(Reason.TARGET_LOST)


@pytest.mark.parametrize("why", [Reason.LEAVING, Reason.BUSY, Reason.QUEUE_FULL, Reason.FENCED])
@pytest.mark.parametrize(
    ("method", "before"),
    [("GET", []), ("POST", []), ("GET", [LOST])],
    ids=["repeatable", "not repeatable", "lost before"],
)
def test_what_is_sent_back_is_not_sent_on_by_an_ingress_that_knows(
    method: str, before: list[Outcome], why: Reason
) -> None:
    """The next door may not have heard yet; what was lost before is not told as not run.

    What was seen: an ingress that had heard of three ends sent the request on all the same, to up
    to 40 doors, and the first that had not heard let it through.
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


def test_another_request_that_is_sent_back_goes_elsewhere() -> None:
    """As any does of which nothing is known."""
    sidecar = DrainedSidecar(NotRun(Reason.LEAVING, RETRY_SOON_MS))
    outcome = dispatcher(sidecar).dispatch(request("POST", fingerprint="other")).outcome
    assert isinstance(outcome, Answered)
    assert len(sidecar.attempts) == 2

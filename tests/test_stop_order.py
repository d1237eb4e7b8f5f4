"""A stop meets a request in whatever order their steps come."""

import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from roadpass import clock
from roadpass.message import Attempt
from roadpass.outcome import Answered, NotRun, Outcome, Reason
from tests.stopping import GRACE_S, Asked, Stopping, wait_until
from tests.test_sidecar import Bench, attempt, bench
from tests.test_stop import RUNS_ON_S, assert_sent_back, waits

__all__ = ["bench"]

PAUSED_UNTIL_S = GRACE_S - 0.7
"""Seconds from SIGTERM: later than what waits is usually sent back."""


def test_a_recall_before_the_frame_is_there(bench: Bench) -> None:
    """It never starts; its own reply says so, and it takes no slot."""
    assert bench.sidecar.recall(["vm-2/1/1"]) == ["vm-2/1/1"]
    assert bench.sidecar.recall(["vm-2/1/1"]) == ["vm-2/1/1"]
    outcome = bench.sidecar.run(attempt(1)).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.FENCED
    assert bench.runs == 0
    assert bench.sidecar.in_flight == 0


def test_recalls_and_starts_at_once_agree(bench: Bench) -> None:
    """What was promised never to start has not run, and all else has been answered."""
    bench.state.behaviour.median_ms = 0.0
    told: set[str] = set()
    outcomes: dict[str, Outcome] = {}
    both = threading.Barrier(2)

    def run(one: Attempt) -> None:
        both.wait()
        outcomes[one.id] = bench.sidecar.run(one).outcome

    for number in range(200):
        one = attempt(number, may_wait=True, most_wait_ms=9e3)
        thread = threading.Thread(target=run, args=(one,))
        thread.start()
        both.wait()
        time.sleep(number % 8 * 1e-4)
        told.update(bench.sidecar.recall([one.id]))
        thread.join()
        assert isinstance(outcomes[one.id], NotRun if one.id in told else Answered)
    assert bench.runs == 200 - len(told)


@pytest.fixture
def single(tmp_path: Path) -> Iterator[Stopping]:
    """Start one node with its target."""
    made = Stopping(tmp_path, 46, 1)
    try:
        yield made
    finally:
        made.close()


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[Stopping]:
    """Start two nodes; only the second one's target is published."""
    made = Stopping(tmp_path, 46, 2, served=(1,))
    try:
        yield made
    finally:
        made.close()


def queued(stage: Stopping) -> Asked:
    """Have a request of the first node wait at the second's target, which hangs."""
    stage.ask_target(1, 1, "POST", RUNS_ON_S, "runs")
    asked = stage.ask(0, "POST", 0.0, "queued")
    wait_until(lambda: waits(stage, 0, "queued"), 5.0)
    return asked


def test_both_nodes_stop(pair: Stopping) -> None:
    """The one with the caller and the one with the queue."""
    asked = queued(pair)
    told_at = pair.tell_to_stop(0)
    pair.tell_to_stop(1)
    assert_sent_back(asked, told_at)


def test_a_node_that_stands_still_while_it_stops_sends_back_when_it_wakes(pair: Stopping) -> None:
    """The pause does not move the moment at which whoever wants it gone ends it."""
    asked = queued(pair)
    told_at = pair.tell_to_stop(0)
    threading.Event().wait(2.0)
    pair.processes[0].send_signal(signal.SIGSTOP)
    threading.Event().wait(told_at + PAUSED_UNTIL_S - clock.now())
    pair.processes[0].send_signal(signal.SIGCONT)
    asked.join(GRACE_S + 2.0)
    assert asked.status == 503
    assert asked.told_at < told_at + GRACE_S


def test_a_node_that_still_starts_stops(single: Stopping) -> None:
    """It may get the word before it listens for callers."""
    single.processes[0].kill()
    single.processes[0].wait()
    lines = len(single.log(0))
    single.processes[0] = single._start(single.ips[0])
    wait_until(lambda: len(single.log(0)) > lines, 10.0)
    told_at = single.tell_to_stop(0)
    assert single.processes[0].wait(GRACE_S + 2.0) == 0
    assert clock.now() < told_at + GRACE_S - 1.0


def test_other_signals_change_nothing_of_a_stop(single: Stopping) -> None:
    """Neither a second word to stop nor one on the settings."""
    asked = single.ask_target(0, 0, "POST", 4.5, "runs")
    single.tell_to_stop(0)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        threading.Event().wait(0.3)
        single.processes[0].send_signal(number)
    asked.join(GRACE_S + 2.0)
    assert asked.status == 200
    assert single.processes[0].wait(2.0) == 0

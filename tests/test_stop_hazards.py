"""Rare conditions that could lose a request during a planned stop, or abort the stop."""

import contextlib
import json
import logging
import socket
import threading
from typing import Any

import pytest

from roadpass import clock
from roadpass.ingress import Ingress
from roadpass.log import JsonFormatter, _encoded
from roadpass.metric import Metrics
from roadpass.outcome import NotRun, Reason
from roadpass.pause import PauseWatch
from roadpass.request import Pending
from roadpass.settings import Ports, Settings
from roadpass.shutdown import ANSWER_MIN_S, Shutdown
from roadpass.sidecar import Sidecar
from roadpass.stop import PlannedStop
from roadpass.target import TargetClient
from roadpass.view import PeerNode
from tests.fake_sidecar import FakeSidecar, dispatcher
from tests.test_shutdown import Waiting, full_slots
from tests.test_sidecar import Bench, attempt, bench
from tests.test_stop_order import ADDRESS, PeerLink, link, wait_for

__all__ = ["bench", "link"]

FULL_BACKLOG = (ADDRESS, 7899)
"""Address of a target that accepts no connection."""
TYPICAL_MS = 300.0


def test_an_attempt_accepted_too_late_is_not_sent(link: PeerLink) -> None:
    """A slow acceptance uses up the time in which the request could have been answered."""
    link.view.shutdown.at = clock.now() + ANSWER_MIN_S + 0.3
    thread = link.send(1, usual_ms=TYPICAL_MS, pressing=True)
    assert link.peer.asked.wait(5.0)
    wait_for(lambda: clock.now() >= link.view.shutdown.last_start(TYPICAL_MS))
    link.peer.may_accept.set()
    thread.join(0.3)
    assert not link.peer.attempts
    assert [type(outcome) for outcome in link.outcomes] == [NotRun]


def test_a_slot_that_is_granted_too_late_starts_nothing(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node that is short of CPU time may start the request long after its slot is granted."""
    sidecar, shutdown = bench.sidecar, bench.sidecar._ending

    def delayed() -> float:
        shutdown.at = clock.now() + 0.1
        return 0.0

    monkeypatch.setattr(sidecar._pause, "settle", delayed)
    outcome = sidecar.run(attempt(1, usual_ms=TYPICAL_MS)).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.LEAVING
    assert bench.runs == 0


def test_a_target_that_accepts_no_connection_does_not_delay_the_outcome(bench: Bench) -> None:
    """Nothing of the request was sent, so its caller is told that it did not run."""
    bench.server.stop()
    with (
        socket.create_server(FULL_BACKLOG, backlog=0) as listener,
        contextlib.ExitStack() as others,
    ):
        for _ in range(3):  # more than its backlog; it accepts none
            others.enter_context(waiting := socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(FULL_BACKLOG)
        assert listener.fileno() >= 0
        target = bench.sidecar.targets["t"]
        target._exchange._client = TargetClient(f"{FULL_BACKLOG[0]}:{FULL_BACKLOG[1]}")
        shutdown = bench.sidecar._ending
        shutdown.at = clock.now() + ANSWER_MIN_S + 0.2
        outcome = bench.sidecar.run(attempt(1)).outcome
        assert isinstance(outcome, NotRun)
        assert clock.now() < shutdown.at - 0.2


def test_a_request_queued_during_a_drain_is_returned() -> None:
    """A request that saw the target in service and then entered the queue would never be woken."""
    slots = full_slots(Shutdown())
    slots._queued = DrainsOnInsert(slots)
    waiting = Waiting(slots, attempt(1))
    waiting.join(2.0)
    assert waiting.refusal is not None
    assert waiting.refusal.reason is Reason.LEAVING


class DrainsOnInsert(dict[str, Any]):
    """Queue that drains the target just before a request is added."""

    def __init__(self, slots: Any) -> None:
        super().__init__()
        self._slots = slots

    def __setitem__(self, key: str, value: Any) -> None:
        self._slots.leaving = True
        super().__setitem__(key, value)


def test_a_recall_without_a_thread_does_not_abort_the_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On a machine out of threads the recall is retried later; other requests continue."""
    one = dispatcher(FakeSidecar([]))
    one._view.nodes["vm-9"] = PeerNode("vm-9", ADDRESS, 1, "hall", "region")
    one.pending["a"] = Pending("s", "t", clock.now(), "vm-9")
    one._view.shutdown.at = clock.now()

    def start(_: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", start)
    one.notices.send()


class ClosesOnFileno(socket.socket):
    """Closes itself when its descriptor is read."""

    def fileno(self) -> int:
        number = super().fileno()
        self.close()
        return number


def test_a_connection_that_closes_during_a_check_does_not_abort_the_stop() -> None:
    """The connection's own thread may close it at any time."""
    settings = Settings("vm-1", "hall", "region", ADDRESS, ADDRESS, Ports(0, 0, 0, 0), "")
    one = dispatcher(FakeSidecar([]))
    ingress = Ingress(settings, one, one._view, Metrics())
    ingress._open.add(ClosesOnFileno())
    assert ingress.unread == 0


class Idle:
    """Callers without requests."""

    def active(self) -> int:
        return 0

    def unread(self) -> int:
        return 0


class Busy(Idle):
    """Callers with one request in flight."""

    def active(self) -> int:
        return 1


class Failing(Idle):
    """Callers whose second count raises an error."""

    checks = 0

    def unread(self) -> int:
        self.checks += 1
        if self.checks == 2:
            raise ValueError("file descriptor cannot be a negative integer (-1)")
        return 0


def test_a_failed_check_does_not_end_the_process() -> None:
    """Such an error used to end the process at once, with requests still running at targets."""
    sidecar = Sidecar("vm-1", 7, PauseWatch(), pull=dict, behind=lambda *_: None)
    one = dispatcher(sidecar)
    callers = Failing()
    assert PlannedStop(one._view, callers, one, sidecar, limit_s=2.0, serve_s=0.1).run(lambda: None)
    assert callers.checks > 2


@pytest.mark.parametrize("callers", [Idle(), Busy()])
def test_a_limit_shorter_than_the_serving_time_is_respected(callers: Idle) -> None:
    """After the limit the process is killed, and the cut requests would not be logged."""
    sidecar = Sidecar("vm-1", 7, PauseWatch(), pull=dict, behind=lambda *_: None)
    one = dispatcher(sidecar)
    began = clock.now()
    stop = PlannedStop(one._view, callers, one, sidecar, limit_s=1.0, serve_s=2.6)
    stop.run(lambda: None)
    assert clock.now() - began <= 1.0


def test_a_recall_of_many_attempts_is_logged_as_valid_json(
    link: PeerLink, caplog: pytest.LogCaptureFixture
) -> None:
    """`roadpass trace` parses these lines."""
    caplog.set_level(logging.INFO, "roadpass")
    link.transport.recall("vm-1", [f"10.3.0.58/1796274215987/{number}" for number in range(60)])
    wait_for(lambda: any(record.getMessage() == "recalled" for record in caplog.records))
    for record in caplog.records:
        json.loads(_encoded(JsonFormatter().format(record)))

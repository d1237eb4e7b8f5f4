"""The clock: it counts the time of a suspension, everything reads it, and no wait outlasts it.

To a process a suspended VM looks so: this clock has jumped by the time, and what it waits for in
the kernel goes on as if nothing had been. So it is brought about here.
"""

import re
import socket
import threading
import time
from functools import partial
from pathlib import Path

import pytest

import roadpass
from roadpass import clock
from roadpass.ending import Shutdown
from roadpass.errors import ReplyTimeoutError
from roadpass.fleet import TrafficClass
from roadpass.message import Attempt
from roadpass.outcome import NotRun, Reason
from roadpass.pause import PauseWatch
from roadpass.slots import Slots
from roadpass.stream import Stream
from roadpass.target import TargetClient, TargetTimeoutError

SUSPENDED_S = 10.0
LIMIT_S = 5.0
"""Seconds that each wait here would last without the suspension."""
LATE_S = 2.0
"""Seconds within which each wait must end: half a second of it after the VM wakes, and some for a
busy machine."""
OTHER_CLOCKS = re.compile(r"\btime\.(monotonic|perf_counter|clock_gettime)|CLOCK_MONOTONIC")


class Suspension:
    """Makes the clock jump."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._offset_s = 0.0
        now, now_ns = clock.now, clock.now_ns
        monkeypatch.setattr(clock, "now", lambda: now() + self._offset_s)
        monkeypatch.setattr(clock, "now_ns", lambda: now_ns() + int(self._offset_s * 1e9))

    def pass_by(self) -> None:
        """Let the process wake from one."""
        self._offset_s += SUSPENDED_S

    def pass_by_soon(self) -> None:
        """The same once the caller waits."""
        timer = threading.Timer(0.2, self.pass_by)
        timer.daemon = True
        timer.start()


@pytest.fixture
def suspension(monkeypatch: pytest.MonkeyPatch) -> Suspension:
    """Return what makes the clock jump."""
    return Suspension(monkeypatch)


def test_it_is_the_clock_that_counts_suspension() -> None:
    """And it is as fine as the steady one."""
    for read in (clock.now, clock.now_ns):
        assert isinstance(read, partial)
        assert read.args == (time.CLOCK_BOOTTIME,)
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= clock.now() <= clock.now_ns() / 1e9 + 1e-6
    assert clock.now_ns() / 1e9 <= time.clock_gettime(time.CLOCK_BOOTTIME) + 1e-6


def test_no_other_clock_is_read() -> None:
    """Ages, fences and deadlines are compared with each other, so all are of one clock."""
    folder = Path(roadpass.__file__).parent
    found = {
        path.name
        for path in folder.rglob("*.py")
        if OTHER_CLOCKS.search(path.read_text(encoding="utf-8"))
    }
    assert found == {"clock.py"}


def test_a_suspension_is_noticed_as_a_pause(suspension: Suspension) -> None:
    """What came meanwhile is read before anything is started."""
    pause = PauseWatch()
    suspension.pass_by()
    assert pause.settle() > 0.0
    assert pause.pauses == 1


def test_a_frame_that_waited_through_a_suspension_is_old(suspension: Suspension) -> None:
    """By the whole time of it, so that its request is not started for nobody."""
    here, there = socket.socketpair()
    sender, receiver = Stream(here, (), client=True), Stream(there, (), client=False)
    sender.send({"t": "accepted"})
    assert receiver.receive(1.0).age_s < 1.0
    sender.send({"t": "accepted"})
    suspension.pass_by()
    assert receiver.receive(1.0).age_s == pytest.approx(SUSPENDED_S, abs=1.0)
    sender.send({"t": "accepted"})
    assert receiver.receive(1.0).age_s < 1.0


def test_a_reply_is_not_waited_for_past_its_time(suspension: Suspension) -> None:
    """The wait ends soon after the VM wakes, not as much later as it was suspended."""
    here, _there = socket.socketpair()
    suspension.pass_by_soon()
    began = time.monotonic()
    with pytest.raises(ReplyTimeoutError):
        Stream(here, (), client=True).receive(LIMIT_S)
    assert time.monotonic() - began < LATE_S


def test_a_target_is_not_waited_for_past_its_time(
    suspension: Suspension, listener: socket.socket
) -> None:
    """As for a reply; the caller is told at once."""
    host, port = listener.getsockname()
    suspension.pass_by_soon()
    began = time.monotonic()
    with pytest.raises(TargetTimeoutError):
        TargetClient(f"{host}:{port}").send(
            "a/1/1", "GET", "/x", [], b"", timeout_s=LIMIT_S, fresh=True
        )
    assert time.monotonic() - began < LATE_S


def test_a_slot_is_not_waited_for_past_its_time(suspension: Suspension) -> None:
    """The request leaves the queue, as not run."""
    lock = threading.Lock()
    slots = Slots(
        (TrafficClass("default", 0.0),), slots=1, queue_limit=2, lock=lock, shutdown=Shutdown()
    )
    one = Attempt.from_message(
        {
            "id": "vm/1/1",
            "target": "t",
            "route": "r",
            "method": "GET",
            "path": "/",
            "headers": [],
            "body": b"",
            "remaining_ms": 1000.0,
            "traffic_class": "default",
            "caller": "c",
            "repeatable": True,
            "retry": False,
            "revision": 1,
            "slow_ms": 0.0,
        }
    )
    assert slots.take(one, clock.now() + LIMIT_S, 0.0) is None
    suspension.pass_by_soon()
    began = time.monotonic()
    refused = slots.take(one._replace(id="vm/1/2"), clock.now() + LIMIT_S, 0.0)
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.TOO_LATE
    assert time.monotonic() - began < LATE_S
    assert slots.waiting == 0

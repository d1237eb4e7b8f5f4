"""The clock includes suspensions, all code uses it, and no wait is prolonged by a suspension.

After a suspension of the VM a process sees this clock jump, while waits in the kernel go on as if
no time had passed. The tests simulate a suspension by a jump of the clock.
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
from roadpass.errors import ReplyTimeoutError
from roadpass.fleet import TrafficClass
from roadpass.message import Attempt
from roadpass.outcome import NotRun, Reason
from roadpass.pause import PauseWatch
from roadpass.shutdown import Shutdown
from roadpass.slots import Slots
from roadpass.stream import Stream
from roadpass.target import TargetClient, TargetTimeoutError

SUSPENDED_S = 10.0
LIMIT_S = 5.0
"""Seconds that each wait here would last without the suspension."""
LATE_S = 2.0
"""Seconds within which each wait must end: half a second after the VM resumes, and a margin for a
busy machine."""
OTHER_CLOCKS = re.compile(r"\btime\.(monotonic|perf_counter|clock_gettime)|CLOCK_MONOTONIC")


class Suspension:
    """Simulates suspensions of the VM by jumps of the clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._offset_s = 0.0
        now, now_ns = clock.now, clock.now_ns
        monkeypatch.setattr(clock, "now", lambda: now() + self._offset_s)
        monkeypatch.setattr(clock, "now_ns", lambda: now_ns() + int(self._offset_s * 1e9))

    def resume_vm(self) -> None:
        """Simulate that the VM resumes from a suspension now."""
        self._offset_s += SUSPENDED_S

    def resume_vm_soon(self) -> None:
        """Simulate it in 0.2 s, once the caller waits."""
        timer = threading.Timer(0.2, self.resume_vm)
        timer.daemon = True
        timer.start()


@pytest.fixture
def suspension(monkeypatch: pytest.MonkeyPatch) -> Suspension:
    """Return the simulated suspension."""
    return Suspension(monkeypatch)


def test_clock_includes_suspension() -> None:
    """In both resolutions it reads `CLOCK_BOOTTIME`."""
    for read in (clock.now, clock.now_ns):
        assert isinstance(read, partial)
        assert read.args == (time.CLOCK_BOOTTIME,)
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= clock.now() <= clock.now_ns() / 1e9 + 1e-6
    assert clock.now_ns() / 1e9 <= time.clock_gettime(time.CLOCK_BOOTTIME) + 1e-6


def test_no_other_clock_is_read() -> None:
    """Ages, fences and deadlines are compared with each other, so all must use one clock."""
    folder = Path(roadpass.__file__).parent
    found = {
        path.name
        for path in folder.rglob("*.py")
        if OTHER_CLOCKS.search(path.read_text(encoding="utf-8"))
    }
    assert found == {"clock.py"}


def test_suspension_is_detected_as_a_pause(suspension: Suspension) -> None:
    """Messages that arrived meanwhile are read before any work is started."""
    pause = PauseWatch()
    suspension.resume_vm()
    assert pause.settle() > 0.0
    assert pause.pauses == 1


def test_age_of_a_frame_includes_a_suspension(suspension: Suspension) -> None:
    """Its age includes the suspension, so its request is not started after the caller has left."""
    here, there = socket.socketpair()
    sender, receiver = Stream(here, (), client=True), Stream(there, (), client=False)
    sender.send({"t": "accepted"})
    assert receiver.receive(1.0).age_s < 1.0
    sender.send({"t": "accepted"})
    suspension.resume_vm()
    assert receiver.receive(1.0).age_s == pytest.approx(SUSPENDED_S, abs=1.0)
    sender.send({"t": "accepted"})
    assert receiver.receive(1.0).age_s < 1.0


def test_wait_for_a_reply_ends_at_its_deadline(suspension: Suspension) -> None:
    """The wait ends soon after the VM resumes and is not prolonged by the suspension."""
    here, _there = socket.socketpair()
    suspension.resume_vm_soon()
    began = time.monotonic()
    with pytest.raises(ReplyTimeoutError):
        Stream(here, (), client=True).receive(LIMIT_S)
    assert time.monotonic() - began < LATE_S


def test_wait_for_a_target_ends_at_its_deadline(
    suspension: Suspension, listener: socket.socket
) -> None:
    """As for a reply of a peer; the error is raised soon after the VM resumes."""
    host, port = listener.getsockname()
    suspension.resume_vm_soon()
    began = time.monotonic()
    with pytest.raises(TargetTimeoutError):
        TargetClient(f"{host}:{port}").send(
            "a/1/1", "GET", "/x", [], b"", timeout_s=LIMIT_S, fresh=True
        )
    assert time.monotonic() - began < LATE_S


def test_wait_for_a_slot_ends_at_its_deadline(suspension: Suspension) -> None:
    """The request leaves the queue and is reported as not run."""
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
    assert slots.acquire(one, clock.now() + LIMIT_S, 0.0) is None
    suspension.resume_vm_soon()
    began = time.monotonic()
    refused = slots.acquire(one._replace(id="vm/1/2"), clock.now() + LIMIT_S, 0.0)
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.TOO_LATE
    assert time.monotonic() - began < LATE_S
    assert slots.waiting == 0

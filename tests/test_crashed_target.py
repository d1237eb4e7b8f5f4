"""A sidecar with a real target that crashes: which requests are recorded, and which refused."""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from roadpass import clock
from roadpass.fleet import Fleet
from roadpass.message import Attempt, Reply
from roadpass.outcome import RETRY_SOON_MS, Answered, NotRun, Reason, Unknown
from roadpass.pause import PauseWatch
from roadpass.quarantine import MIN_CRASHES
from roadpass.sidecar import Sidecar

HOST = "127.0.43.1"
WAIT_S = 5.0
"""Seconds after which a test gives up waiting for something that should happen at once."""
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class CrashingTarget:
    """Answers `/good` and `/slow`, resets `/reset`, and ends with all its connections on `/bad`."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []
        self.released = threading.Event()
        self.port = 0
        self.start()

    def start(self) -> None:
        """Listen on the same port every time."""
        self._open: list[socket.socket] = []
        self._listener = socket.create_server((HOST, self.port))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def end(self) -> None:
        """End like a killed process: the listening socket closes first."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self._open:
            with contextlib.suppress(OSError):  # some are closed already
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self._open.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            while head := sock.recv(65536):
                self.heads.append(head)
                if b" /bad " in head:
                    self.end()
                elif b" /reset " in head:
                    sock.shutdown(socket.SHUT_RDWR)
                elif b" /slow " in head:
                    self.released.wait(WAIT_S)
                    sock.sendall(ANSWER)
                else:
                    sock.sendall(ANSWER)
        except OSError:
            return


class Bench:
    """A sidecar with its target."""

    def __init__(self) -> None:
        self.target = CrashingTarget()
        self.changes: list[str] = []
        self.sidecar = Sidecar(
            "vm-1",
            1,
            PauseWatch(),
            pull=lambda message: message,
            behind=lambda vm, revision: None,
        )
        self.sidecar.quarantine.on_change = lambda: self.changes.append("changes")
        self._number = 0
        self.configure()

    def configure(self, *, leaving: bool = False) -> None:
        """Apply a configuration with one target."""
        target = {
            "service": "s",
            "vm": "vm-1",
            "address": f"{HOST}:{self.target.port}",
            "slots": 4,
            "leaving": leaving,
        }
        value = {
            "services": {"s": {"floor_slots": 1, "queue_limit": 2}},
            "targets": {"t": target},
            "routes": {"r": {"path": "/", "service": "s", "repeatable": True}},
        }
        documents = [("all", json.dumps(value))]
        self.sidecar.configure(Fleet.from_documents(documents, revision=2, digest="d"))

    def run(self, path: str, fingerprint: str = "", remaining_ms: float = 2000.0) -> Reply:
        """Run one attempt; its fingerprint is its path unless another is given."""
        self._number += 1
        one = Attempt(
            id=f"vm-2/1/{self._number}",
            target="t",
            route="r",
            method="GET",
            path=path,
            headers=[],
            body=b"",
            remaining_ms=remaining_ms,
            traffic_class="default",
            caller="c",
            repeatable=True,
            retry=False,
            revision=2,
            slow_ms=0.0,
            pressing=True,
            fingerprint=fingerprint or path,
        )
        return self.sidecar.run(one)

    def begin(self, path: str) -> threading.Thread:
        """Start an attempt and wait until the target works on it."""
        before = len(self.target.heads)
        thread = threading.Thread(target=self.run, args=(path,), daemon=True)
        thread.start()
        until = clock.now() + WAIT_S
        while len(self.target.heads) == before and clock.now() < until:
            time.sleep(0.001)
        assert len(self.target.heads) == before + 1
        return thread

    def answers(self, path: str) -> bool:
        """Repeat attempts until one is answered; return False after `WAIT_S`."""
        until = clock.now() + WAIT_S
        while clock.now() < until:
            if isinstance(self.run(path).outcome, Answered):
                return True
            time.sleep(0.01)
        return False


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Start a sidecar with a target."""
    made = Bench()
    yield made
    made.target.released.set()
    made.target.end()


def suspect(bench: Bench, fingerprint: str) -> bool:
    """Return whether a request is suspected of crashing targets."""
    return bench.sidecar.quarantine.is_suspect(clock.now(), fingerprint)


def test_all_requests_of_a_target_at_its_crash_are_recorded(bench: Bench) -> None:
    """Not those that it had answered; the ingress and the other nodes are notified."""
    bench.run("/good")
    other = bench.begin("/slow")
    reply = bench.run("/bad")
    other.join(WAIT_S)
    assert reply.outcome == Unknown(Reason.TARGET_LOST)
    assert reply.crash is not None
    assert reply.crash[0] == "/bad"
    assert [suspect(bench, fingerprint) for fingerprint in ("/bad", "/slow", "/good")] == [
        True,
        True,
        False,
    ]
    assert len(bench.changes) == 2
    bench.target.start()


def test_a_request_aborted_just_before_the_crash_is_recorded(bench: Bench) -> None:
    """The target may still have worked on it, and had no other request."""
    assert bench.run("/slow", remaining_ms=200.0).outcome == Unknown(Reason.TIMEOUT)
    bench.target.end()
    assert isinstance(bench.run("/good").outcome, NotRun)
    assert suspect(bench, "/slow")
    assert not suspect(bench, "/good")
    bench.target.start()


def test_a_connection_reset_is_no_crash(bench: Bench) -> None:
    """The target accepts connections as before."""
    reply = bench.run("/reset")
    assert reply.outcome == Unknown(Reason.TARGET_LOST)
    assert not suspect(bench, "/reset")
    assert reply.crash is None


def test_the_end_of_a_leaving_target_is_no_crash(bench: Bench) -> None:
    """Its remaining requests are not suspected."""
    other = bench.begin("/slow")
    bench.configure(leaving=True)
    bench.target.end()
    other.join(WAIT_S)
    assert not suspect(bench, "/slow")
    bench.target.start()


def test_nothing_is_sent_to_a_crashed_target_until_it_is_back(bench: Bench) -> None:
    """Requests are refused as not run without an attempt; the first one after its return runs."""
    bench.run("/bad")
    arrived = len(bench.target.heads)
    for _ in range(5):
        assert bench.run("/good").outcome == NotRun(Reason.REFUSED, RETRY_SOON_MS)
    bench.target.start()
    assert bench.answers("/good")
    assert len(bench.target.heads) > arrived


def test_a_request_that_crashes_its_targets_is_refused_by_the_sidecar(bench: Bench) -> None:
    """Also for an ingress that does not know it yet; the reply contains the crash record."""
    for _ in range(MIN_CRASHES):
        bench.run("/bad")
        bench.target.start()
        assert bench.answers("/good")
        time.sleep(1.05)  # seconds; a loss before that belongs to the same crash
    arrived = len(bench.target.heads)
    reply = bench.run("/bad")
    assert isinstance(reply.outcome, NotRun)
    assert reply.outcome.reason is Reason.QUARANTINED
    assert reply.outcome.retry_after_ms > 1000
    assert Reply.from_message(reply.to_message()).crash == reply.crash
    assert len(bench.target.heads) == arrived
    assert isinstance(bench.run("/good").outcome, Answered)


def test_two_suspect_requests_are_kept_apart_and_an_answer_clears_one(bench: Bench) -> None:
    """Each of them may run together with a request that is not suspected."""
    for fingerprint in ("/slow", "/other"):
        bench.sidecar.quarantine.record_crash(clock.now(), fingerprint, "elsewhere/1")
    other = bench.begin("/slow")
    refused = bench.run("/good", fingerprint="/other")
    assert refused.outcome == NotRun(Reason.KEPT_APART, RETRY_SOON_MS)
    assert isinstance(bench.run("/good").outcome, Answered)
    bench.target.released.set()
    other.join(WAIT_S)
    assert not suspect(bench, "/slow")
    assert isinstance(bench.run("/good", fingerprint="/other").outcome, Answered)
    assert not suspect(bench, "/other")

"""A sidecar before a real target whose process ends: what is noted, and what is not sent there."""

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
"""Seconds until a test gives up waiting for something that should be there at once."""
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class MortalTarget:
    """Answers `/good` and `/slow`, resets `/reset`, and ends under `/bad` with all that it has."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []
        self.freed = threading.Event()
        self.port = 0
        self.start()

    def start(self) -> None:
        """Listen, at the same port every time."""
        self._open: list[socket.socket] = []
        self._listener = socket.create_server((HOST, self.port))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def end(self) -> None:
        """End, as a process does that is killed: its listener first."""
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
                    self.freed.wait(WAIT_S)
                    sock.sendall(ANSWER)
                else:
                    sock.sendall(ANSWER)
        except OSError:
            return


class Bench:
    """A sidecar and its target."""

    def __init__(self) -> None:
        self.target = MortalTarget()
        self.news: list[str] = []
        self.sidecar = Sidecar(
            "vm-1",
            1,
            PauseWatch(),
            pull=lambda message: message,
            behind=lambda vm, revision: None,
        )
        self.sidecar.quarantine.on_change = lambda: self.news.append("news")
        self._number = 0
        self.configure()

    def configure(self, *, leaving: bool = False) -> None:
        """Put a fleet of one target in force."""
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

    def run(self, path: str, work: str = "", remaining_ms: float = 2000.0) -> Reply:
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
            fingerprint=work or path,
        )
        return self.sidecar.run(one)

    def begin(self, path: str) -> threading.Thread:
        """Have the target work on an attempt."""
        before = len(self.target.heads)
        thread = threading.Thread(target=self.run, args=(path,), daemon=True)
        thread.start()
        until = clock.now() + WAIT_S
        while len(self.target.heads) == before and clock.now() < until:
            time.sleep(0.001)
        assert len(self.target.heads) == before + 1
        return thread

    def answers(self, path: str) -> bool:
        """Wait until an attempt is answered."""
        until = clock.now() + WAIT_S
        while clock.now() < until:
            if isinstance(self.run(path).outcome, Answered):
                return True
            time.sleep(0.01)
        return False


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Start a target."""
    made = Bench()
    yield made
    made.target.freed.set()
    made.target.end()


def doubted(bench: Bench, work: str) -> bool:
    """Tell whether a request is believed to be one that targets may end under."""
    return bench.sidecar.quarantine.is_suspect(clock.now(), work)


def test_all_that_a_target_had_when_it_ended_is_noted(bench: Bench) -> None:
    """And what it had answered before is not; the ingress and the others are told."""
    bench.run("/good")
    beside = bench.begin("/slow")
    reply = bench.run("/bad")
    beside.join(WAIT_S)
    assert reply.outcome == Unknown(Reason.TARGET_LOST)
    assert reply.crash is not None
    assert reply.crash[0] == "/bad"
    assert [doubted(bench, work) for work in ("/bad", "/slow", "/good")] == [True, True, False]
    assert len(bench.news) == 2
    bench.target.start()


def test_what_was_broken_off_just_before_the_end_is_noted_too(bench: Bench) -> None:
    """The target may have worked on it, and nothing else was there."""
    assert bench.run("/slow", remaining_ms=200.0).outcome == Unknown(Reason.TIMEOUT)
    bench.target.end()
    assert isinstance(bench.run("/good").outcome, NotRun)
    assert doubted(bench, "/slow")
    assert not doubted(bench, "/good")
    bench.target.start()


def test_a_reset_is_no_end(bench: Bench) -> None:
    """The target takes connections as before."""
    reply = bench.run("/reset")
    assert reply.outcome == Unknown(Reason.TARGET_LOST)
    assert not doubted(bench, "/reset")
    assert reply.crash is None


def test_a_target_that_leaves_ends_by_itself(bench: Bench) -> None:
    """Whatever it still had is in no doubt."""
    beside = bench.begin("/slow")
    bench.configure(leaving=True)
    bench.target.end()
    beside.join(WAIT_S)
    assert not doubted(bench, "/slow")
    bench.target.start()


def test_nothing_is_sent_to_a_target_that_has_ended_until_it_is_back(bench: Bench) -> None:
    """It is refused as not run, without a try; the first that comes then is taken."""
    bench.run("/bad")
    arrived = len(bench.target.heads)
    for _ in range(5):
        assert bench.run("/good").outcome == NotRun(Reason.REFUSED, RETRY_SOON_MS)
    bench.target.start()
    assert bench.answers("/good")
    assert len(bench.target.heads) > arrived


def test_a_request_that_ends_its_targets_is_refused_at_the_door(bench: Bench) -> None:
    """Also for an ingress that does not know, which learns of it so."""
    for _ in range(MIN_CRASHES):
        bench.run("/bad")
        bench.target.start()
        assert bench.answers("/good")
        time.sleep(1.05)  # seconds; what is lost sooner belongs to the same end
    arrived = len(bench.target.heads)
    reply = bench.run("/bad")
    assert isinstance(reply.outcome, NotRun)
    assert reply.outcome.reason is Reason.QUARANTINED
    assert reply.outcome.retry_after_ms > 1000
    assert Reply.from_message(reply.to_message()).crash == reply.crash
    assert len(bench.target.heads) == arrived
    assert isinstance(bench.run("/good").outcome, Answered)


def test_two_in_doubt_are_kept_apart_and_an_answer_ends_the_doubt(bench: Bench) -> None:
    """Beside one that is in no doubt each of them may run."""
    for work in ("/slow", "/other"):
        bench.sidecar.quarantine.record_crash(clock.now(), work, "elsewhere/1")
    beside = bench.begin("/slow")
    refused = bench.run("/good", work="/other")
    assert refused.outcome == NotRun(Reason.KEPT_APART, RETRY_SOON_MS)
    assert isinstance(bench.run("/good").outcome, Answered)
    bench.target.freed.set()
    beside.join(WAIT_S)
    assert not doubted(bench, "/slow")
    assert isinstance(bench.run("/good", work="/other").outcome, Answered)
    assert not doubted(bench, "/other")

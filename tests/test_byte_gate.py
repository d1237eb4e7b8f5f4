"""Bytes kept for real connections. Guards against memory that grows with the callers."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from roadpass import byte_budget, clock
from roadpass.body_stream import CallerBody
from roadpass.byte_budget import ByteBudget
from roadpass.byte_gate import ByteGate
from roadpass.metric import Metrics
from roadpass.outcome import Answered, Reason
from roadpass.request import Request, Served
from roadpass.target_connection import AnswerRules, TargetConnection, WireRequest
from tests.calling import GET, Bench, Caller, opened, post, until

KB = 1024
BODY = b"u" * (360 * KB)
CALLERS = 40


class Kept:
    """An ingress with a bound, and its gate."""

    def __init__(self, bench: Bench, gate: ByteGate, budget: ByteBudget, metrics: Metrics) -> None:
        self.bench, self.gate, self.budget, self.metrics = bench, gate, budget, metrics


@contextmanager
def bounded(limit: int) -> Iterator[Kept]:
    """Run an ingress that keeps at most so many bytes."""
    budget, metrics = ByteBudget(limit), Metrics()
    gate = ByteGate(budget, metrics, whole_bytes=64 * limit)
    with opened(gate=gate) as bench:
        yield Kept(bench, gate, budget, metrics)


@pytest.fixture
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait and stall for tenths of a second."""
    monkeypatch.setattr(byte_budget, "STALL_S", 0.1)


def unread_caller(bench: Bench) -> Caller:
    """Return a caller whose small buffer makes the ingress keep a response that is not read."""
    caller = bench.caller()
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    return caller


def test_forty_callers_that_read_nothing(short: None) -> None:
    """Guards against the failure "callers stop reading": their bodies and responses fill a VM.

    Each body is sent back by a real target connection, as an upload would be that is kept whole.
    """
    limit = ByteBudget.of_memory(200.0).limit
    with bounded(limit) as kept, echo_target() as address:
        kept.bench.serve = lambda request: Served(asked(address, request.body))
        callers = [unread_caller(kept.bench) for _ in range(CALLERS)]
        threads = [threading.Thread(target=send_quietly, args=(one,)) for one in callers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        threading.Event().wait(0.5)  # the responses arrive, and nobody reads them
        assert kept.bench.caller().ask(GET).status == 200
        assert 0 < kept.budget.peak <= limit
        print(f"peak {kept.budget.peak} of {limit}")
        for caller in callers:
            caller.close()
        until(lambda: kept.budget.kept == 0)


def test_caller_stops_reading_while_others_wait(short: None) -> None:
    """Guards against the failure "a caller stops reading": it holds the bytes that others need."""
    with bounded(1024 * KB) as kept:

        def echo(request: Request) -> Served:
            body = request.body
            if isinstance(request.watch, CallerBody):
                body = request.watch.read_whole(clock.now() + 5.0)
            return Served(Answered(200, [], 4 * body))

        kept.bench.serve = echo
        slow = unread_caller(kept.bench)
        slow.send(post(2 * BODY[: 350 * KB]))
        until(lambda: kept.budget.kept > 0)
        reply = kept.bench.caller().ask(post(BODY))
        assert (reply.status, reply.body) == (200, 4 * BODY)
        assert kept.metrics.get("slow_callers_disconnected") == 1
        until(lambda: kept.budget.kept == 0)


def test_slow_callers_are_served_while_nobody_waits(short: None) -> None:
    """Guards against disconnecting slow callers without need."""
    with bounded(4 * 1024 * KB) as kept:
        slow = kept.bench.caller()
        slow.send(post(BODY)[:-1])
        threading.Event().wait(0.3)
        assert slow.ask(BODY[-1:]).status == 200
        assert kept.metrics.get("slow_callers_disconnected") == 0


def test_too_large_body_is_rejected_before_it_is_read() -> None:
    """Guards against waiting for bytes that can never be kept."""
    with bounded(128 * KB) as kept:
        caller = kept.bench.caller()
        caller.send(post(BODY)[:200])
        reply = caller.reply()
        assert (reply.status, reply.header("Roadpass-Outcome")) == (503, "not-run")
        assert reply.header("Roadpass-Reason") == Reason.NO_MEMORY
        assert reply.header("Retry-After") == "1"
        assert kept.bench.requests == []
        assert kept.metrics.get("bytes_rejected") == 1


def test_request_without_time_to_wait_is_rejected_at_once() -> None:
    """Guards against a wait for memory that uses up the time in which it could be served."""
    with bounded(512 * KB) as kept:
        release = threading.Event()
        kept.bench.serve = lambda request: Served(Answered(200, [], b"%d" % release.wait(5.0)))
        first, second = kept.bench.caller(), kept.bench.caller()
        first.send(post(BODY))
        until(lambda: len(kept.bench.requests) == 1)
        began = clock.now()
        second.send(post(BODY, "Roadpass-Deadline-Ms: 400\r\n"))
        assert second.reply().header("Roadpass-Reason") == Reason.NO_MEMORY
        assert clock.now() - began < 0.4
        release.set()
        assert first.reply().status == 200


def test_request_that_waits_too_long_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against holding a request until its deadline; small ones go on meanwhile."""
    monkeypatch.setattr(byte_budget, "STALL_S", 60.0)
    monkeypatch.setattr(byte_budget, "WAIT_LIMIT_S", 0.1)
    with bounded(512 * KB) as kept:
        release = threading.Event()

        def hold(request: Request) -> Served:
            if request.body:
                release.wait(5.0)
            return Served(Answered(200, [], b"ok"))

        kept.bench.serve = hold
        first, second = kept.bench.caller(), kept.bench.caller()
        first.send(post(BODY))
        until(lambda: len(kept.bench.requests) == 1)
        second.send(post(BODY))
        assert kept.bench.caller().ask(GET).status == 200
        assert second.reply().header("Roadpass-Reason") == Reason.NO_MEMORY
        release.set()
        assert first.reply().status == 200


def test_chunked_body_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against bodies without a length that go past the limit."""
    with bounded(256 * KB) as kept:
        caller = kept.bench.caller()
        caller.send(b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        caller.send(b"%x\r\n" % len(BODY) + BODY[: 300 * KB])
        assert caller.reply().header("Roadpass-Reason") == Reason.NO_MEMORY
        assert kept.budget.peak <= 256 * KB


@contextmanager
def echo_target() -> Iterator[tuple[str, int]]:
    """Run a target that sends each body back."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)

    def serve(sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as file:
            length = 0
            while (line := file.readline().strip()) != b"":
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            body = file.read(length)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield listener.getsockname()
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def asked(address: tuple[str, int], body: bytes) -> Answered:
    """Send a body to a target and return its answer."""
    connection = TargetConnection.open(*address, 1.0)
    try:
        headers = [("Host", "t"), ("Content-Length", str(len(body)))]
        message = WireRequest("POST", "/", headers, body)
        deadline = clock.now() + 5.0
        raw = connection.exchange(message, AnswerRules(), deadline, None)
        return Answered(raw.status, raw.headers, raw.body)
    finally:
        connection.close()


def send_quietly(caller: Caller) -> None:
    """Send a body; the ingress may disconnect the caller meanwhile."""
    try:
        caller.send(post(BODY))
    except OSError:
        return

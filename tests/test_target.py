"""HTTP to a target that answers badly: a whole answer or an error, never a part."""

import contextlib
import errno
import re
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from typing import Any

import pytest

from roadpass import target
from roadpass.dialect import OWN, Dialect
from roadpass.errors import TargetError, TargetRefusedError
from roadpass.outcome import Answered
from roadpass.target import (
    CallerLeftError,
    TargetAnswer,
    TargetClient,
    TargetGarbledError,
    TargetLoad,
    TargetLostError,
    TargetTimeoutError,
)
from roadpass.target_connection import Message, RawAnswer, Rules, TargetConnection

OK = b"HTTP/1.1 200 OK\r\n"


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Return a listening socket that the test answers on."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening


def ask(listener: socket.socket, answer: bytes | None, timeout_s: float = 2.0) -> Answered:
    """Send a request to a target that answers with some bytes and closes, or not at all."""
    held: list[socket.socket] = []

    def serve() -> None:
        sock, _ = listener.accept()
        sock.recv(65536)
        if answer is None:
            held.append(sock)
            return
        sock.sendall(answer)
        sock.close()

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    client = TargetClient(f"{host}:{port}")
    return client.send("a/1/1", "GET", "/x", [], b"", timeout_s=timeout_s, fresh=True).answer


def test_whole_answers(listener: socket.socket) -> None:
    """With a length, and in chunks."""
    got = ask(listener, OK + b"Content-Length: 2\r\nX-A: b\r\nRoadpass-Outcome: lie\r\n\r\nhi")
    assert (got.status, got.body, got.headers) == (200, b"hi", [("X-A", "b")])
    got = ask(listener, OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
    assert got.body == b"hi"


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"nonsense\r\n\r\n",
        OK + b"Content-Length: 5\r\n\r\nhi",
        OK + b"Content-Length: five\r\n\r\nhi",
        OK + b"Content-Length: 99999999999\r\n\r\nhi",
        OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        OK + b"\r\nno length at all",
        OK + b"Content-Length: 2",
    ],
)
def test_anything_else_is_an_error(listener: socket.socket, answer: bytes) -> None:
    """Cut, malformed, or without an end that can be told."""
    with pytest.raises(TargetError):
        ask(listener, answer)


def test_no_answer_and_no_connection(listener: socket.socket) -> None:
    """A timeout may have run; a refused connection cannot have."""
    with pytest.raises(TargetTimeoutError):
        ask(listener, None, timeout_s=0.2)
    client = TargetClient("127.0.0.1:1")
    with pytest.raises(TargetRefusedError):
        client.send("a/1/1", "GET", "/x", [], b"", timeout_s=1.0, fresh=False)


PLAIN = Dialect(
    deadline="X-Deadline",
    request_id="X-Id",
    caller_sets_id=True,
    echoes_id=True,
    expected_instance="X-Expected",
    instance="X-Instance",
    origin_service="X-Origin",
    not_run="X-Not-Run",
    load="X-Load",
    ends_by_close=True,
    own_prefix="",
)
BY_CLOSE = OWN._replace(ends_by_close=True)
WHOLE = OK + b"Content-Length: 2\r\n\r\nhi"
LONG = 64 * 1024 * 1024
"""Bytes of a body that no socket buffer takes whole."""


class Caller:
    """A caller that may close, watched over a socket pair."""

    watchable = True

    def __init__(self) -> None:
        self.near, self.far = socket.socketpair()
        self.looks = 0

    def fileno(self) -> int:
        """Return the watched descriptor."""
        return self.near.fileno()

    def gone(self) -> bool:
        """Take in what has come."""
        self.looks += 1
        return not self.near.recv(100)


class Fleet:
    """A listening target that the test plays, and a client of it whose requests run aside."""

    def __init__(self, listener: socket.socket, dialect: Dialect = OWN, **options: int) -> None:
        self.listener = listener
        listener.settimeout(5.0)
        host, port = listener.getsockname()
        self.client = TargetClient(f"{host}:{port}", dialect=dialect, **options)

    def ask(self, attempt_id: str = "a/1/1", **changes: Any) -> "Future[TargetAnswer]":
        """Start a request."""
        given: dict[str, Any] = {"method": "GET", "path": "/x", "headers": [], "body": b""}
        given |= {"timeout_s": 5.0, "fresh": False, "request_id": "r1"}
        given |= changes
        future: Future[TargetAnswer] = Future()

        def run() -> None:
            try:
                future.set_result(self.client.send(attempt_id, **given))
            except Exception as error:
                future.set_exception(error)

        threading.Thread(target=run, daemon=True).start()
        return future

    def accept(self) -> socket.socket:
        """Return the next connection of the client."""
        sock, _ = self.listener.accept()
        sock.settimeout(5.0)
        return sock

    def no_connection(self) -> bool:
        """Return whether the client opens none for a while."""
        self.listener.settimeout(0.1)
        try:
            self.listener.accept()
        except TimeoutError:
            return True
        finally:
            self.listener.settimeout(5.0)
        return False

    def kept(self, answer: bytes = WHOLE) -> socket.socket:
        """Run one request, and return its connection."""
        future = self.ask()
        sock = self.accept()
        head_of(sock)
        sock.sendall(answer)
        assert future.result(5.0).answer.body == b"hi"
        return sock

    def asks_anew(self, **changes: Any) -> bool:
        """Run another request; return whether it came over a new connection."""
        self.listener.settimeout(0.1)
        future = self.ask(**changes)
        try:
            sock = self.accept()
        except TimeoutError:
            return False
        finally:
            self.listener.settimeout(5.0)
        head_of(sock)
        sock.sendall(OK + b"X-Id: r1\r\nContent-Length: 2\r\n\r\nhi")
        assert future.result(5.0).answer.body == b"hi"
        return True


def head_of(sock: socket.socket) -> list[str]:
    """Read a request's head; return its lines."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(1)
        assert part, "the client closed"
        data += part
    return data.decode().split("\r\n")[:-2]


def reset(sock: socket.socket) -> None:
    """Close with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def closed(sock: socket.socket) -> bool:
    """Return whether the client has closed, after whatever it sent."""
    with contextlib.suppress(ConnectionResetError):
        while sock.recv(1 << 20):
            pass
    return True


def exchange(fleet: Fleet, answer: bytes, **changes: Any) -> TargetAnswer:
    """Run one request against an answer after which the target closes."""
    future = fleet.ask(**changes)
    with fleet.accept() as sock:
        head_of(sock)
        sock.sendall(answer)
    return future.result(5.0)


def test_sent_headers(listener: socket.socket) -> None:
    """What the fleet says replaces what was given, once; what ends at a connection is dropped."""
    fleet = Fleet(listener, PLAIN)
    given = [
        ("Host", "a.example"),
        ("X-A", "1"),
        ("X-A", "2"),
        ("x-id", "lie"),
        ("X-DEADLINE", "lie"),
        ("X-Expected", "lie"),
        ("X-Origin", "lie"),
        ("Connection", "X-Gone"),
        ("X-Gone", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Proxy-Foo", "1"),
        ("TE", "trailers"),
        ("Content-Length", "99"),
    ]
    fleet.ask(headers=given, body=b"abc", method="PUT", instance="i7", origin="shop")
    lines = head_of(fleet.accept())
    assert lines[0] == "PUT /x HTTP/1.1"
    left = next(line for line in lines if line.startswith("X-Deadline: "))
    assert 4000 < int(left.split()[1]) <= 5000
    assert sorted(lines[1:]) == sorted(
        [
            "Host: a.example",
            "X-A: 1",
            "X-A: 2",
            "X-Id: r1",
            left,
            "X-Expected: i7",
            "X-Origin: shop",
            "Content-Length: 3",
        ]
    )


def test_sent_headers_of_own_dialect(listener: socket.socket) -> None:
    """The attempt's own id is told, the address is the host, and a bare GET has no length."""
    fleet = Fleet(listener)
    fleet.ask(instance="i7", origin="shop")
    lines = head_of(fleet.accept())
    assert re.fullmatch(r"Roadpass-Deadline-Ms: 4\d{3}|Roadpass-Deadline-Ms: 5000", lines[-1])
    assert lines[1:-1] == [f"Host: {fleet.client.address}", "Roadpass-Request-Id: a/1/1"]
    fleet.ask(method="POST")
    assert "Content-Length: 0" in head_of(fleet.accept())
    call = target._Call("a", "GET", "/x", [], b"", "", "")
    assert ("Roadpass-Deadline-Ms", "1") in target._sent_headers(call, OWN, "h:1", 0.0004)


def test_origin_is_always_told(listener: socket.socket) -> None:
    """Even unknown, as what was given may be a lie; an unknown instance is not."""
    fleet = Fleet(listener, PLAIN)
    fleet.ask(headers=[("X-Origin", "lie"), ("X-Expected", "lie")], request_id="")
    lines = head_of(fleet.accept())
    assert [line.strip() for line in lines if line.startswith("X-Origin")] == ["X-Origin:"]
    assert not [line for line in lines if line.startswith("X-Expected")]
    assert "X-Id: a/1/1" in lines


@pytest.mark.parametrize("headers", [[("X-A", "b\r\nX-B: c")], [("X-A", "\u20ac")]])
def test_unsendable(listener: socket.socket, headers: list[tuple[str, str]]) -> None:
    """A request that is no HTTP is refused, and not a byte of it sent."""
    fleet = Fleet(listener)
    future = fleet.ask(headers=headers)
    assert fleet.accept().recv(100) == b""
    with pytest.raises(TargetRefusedError):
        future.result(5.0)


@pytest.mark.parametrize("size", [10, 65000, 70000, 4_000_000])
def test_body_arrives(listener: socket.socket, size: int) -> None:
    """Short or long, and the connection is kept."""
    fleet = Fleet(listener)
    body = bytes(range(250)) * (size // 250) + b"x" * (size % 250)
    future = fleet.ask(body=body, method="POST")
    sock = fleet.accept()
    assert f"Content-Length: {size}" in head_of(sock)
    got = b""
    while len(got) < size:
        got += sock.recv(1 << 20)
    assert got == body
    sock.sendall(WHOLE)
    assert future.result(5.0).answer.body == b"hi"
    assert not fleet.asks_anew()


def test_short_request_is_one_write(listener: socket.socket) -> None:
    """Head and body come in one piece."""
    fleet = Fleet(listener)
    fleet.ask(body=b"y" * 20000, method="POST")
    sock = fleet.accept()
    assert sock.recv(1 << 20).endswith(b"\r\n\r\n" + b"y" * 20000)


def test_early_answer(listener: socket.socket) -> None:
    """An answer to half a body counts, and the connection carries nothing else."""
    fleet = Fleet(listener)
    future = fleet.ask(body=b"z" * LONG, method="POST")
    sock = fleet.accept()
    head_of(sock)
    assert sock.recv(1) == b"z"
    sock.sendall(b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nhi")
    got = future.result(5.0).answer
    assert (got.status, got.body) == (413, b"hi")
    rest = bytearray()
    while part := sock.recv(1 << 20):
        rest += part
    assert len(rest) < LONG
    assert set(rest) == {ord("z")}
    assert fleet.asks_anew()


def test_early_answer_and_close(listener: socket.socket) -> None:
    """It also counts if the target then resets what is still being written, but never half."""
    fleet = Fleet(listener)
    for answer, error in ((WHOLE, None), (WHOLE[:-1], TargetLostError)):
        future = fleet.ask(body=b"z" * LONG, method="POST")
        sock = fleet.accept()
        head_of(sock)
        sock.sendall(answer)
        sock.close()
        if error is None:
            assert future.result(5.0).answer.body == b"hi"
        else:
            with pytest.raises(error):
                future.result(5.0)


def test_broken_write_is_no_clean_end(listener: socket.socket) -> None:
    """An answer that ends with its connection is not whole if that was reset under a write."""
    fleet = Fleet(listener, BY_CLOSE)
    future = fleet.ask(body=b"z" * LONG, method="POST")
    sock = fleet.accept()
    head_of(sock)
    sock.sendall(OK + b"\r\npart")
    reset(sock)
    with pytest.raises(TargetLostError):
        future.result(5.0)


class Breaking(socket.socket):
    """A socket that reports a reset to its second write, after which it seems to end cleanly."""

    writes = 0
    on_failure: Callable[[], object]

    def send(self, data: Any, flags: int = 0) -> int:
        """Write, or fail."""
        self.writes += 1
        if self.writes == 2:
            self.on_failure()
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        return super().send(data, flags)


@pytest.mark.parametrize("answer", [OK + b"\r\npart", WHOLE])
def test_reset_told_to_the_writer(listener: socket.socket, answer: bytes) -> None:
    """What the writer was told is not told again; a whole answer counts, without reuse."""
    sock = Breaking(fileno=socket.create_connection(listener.getsockname()).detach())
    connection = TargetConnection(sock)
    peer, _ = listener.accept()

    def finish() -> None:
        peer.sendall(answer)
        peer.shutdown(socket.SHUT_WR)

    sock.on_failure = finish
    message = Message("POST", "/x", [("Host", "h"), ("Content-Length", "70000")], b"z" * 70000)

    def run() -> RawAnswer:
        until = time.monotonic() + 5.0
        return connection.exchange(message, Rules(ends_by_close=True), until, None)

    if answer == WHOLE:
        assert run().keep is False
    else:
        with pytest.raises(TargetLostError):
            run()
    assert sock.writes == 2
    connection.close()
    peer.close()


def test_lost_before_anything_was_accepted(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new connection that is reset once it stands may have carried the request."""
    connection = TargetConnection(socket.create_connection(listener.getsockname()))
    peer, _ = listener.accept()
    reset(peer)
    time.sleep(0.05)
    monkeypatch.setattr(TargetConnection, "open", lambda *_: connection)
    with pytest.raises(TargetLostError):
        Fleet(listener).ask().result(5.0)


def test_interim_answers_are_passed_over(listener: socket.socket) -> None:
    """Only the last answer counts."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-B: c\r\n\r\n"
    got = exchange(Fleet(listener), interim + WHOLE).answer
    assert (got.status, got.body, got.headers) == (200, b"hi", [])


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (b"", TargetLostError),
        (OK + b"Content-Length: 2", TargetLostError),
        (OK + b"Content-Length: 5\r\n\r\nhi", TargetLostError),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", TargetLostError),
        (b"HTTP/1.1 100 Continue\r\n\r\n", TargetLostError),
        (b"nonsense\r\n\r\n", TargetGarbledError),
        (OK + b"Content-Length: five\r\n\r\nhi", TargetGarbledError),
        (OK + b"Content-Length: -2\r\n\r\nhi", TargetGarbledError),
        (OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", TargetGarbledError),
        (OK + b"Content-Length: 15728641\r\n\r\nhi", TargetGarbledError),
        (OK + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\nhi", TargetGarbledError),
        (OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", TargetGarbledError),
        (OK + b"Transfer-Encoding: gzip\r\n\r\n", TargetGarbledError),
        (OK + b"\r\nno length", TargetGarbledError),
        (OK + b"X-A: " + b"b" * 100_000, TargetGarbledError),
        (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", TargetGarbledError),
    ],
)
def test_lost_or_garbled(listener: socket.socket, answer: bytes, error: type[TargetError]) -> None:
    """An end too soon is told from bytes that are no answer."""
    with pytest.raises(error):
        exchange(Fleet(listener), answer)


def test_too_many_chunks(listener: socket.socket) -> None:
    """A body in chunks is bounded too."""
    fleet = Fleet(listener)
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    with contextlib.suppress(OSError):
        sock.sendall(OK + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(16):
            sock.sendall(b"100000\r\n" + b"q" * 0x100000 + b"\r\n")
    with pytest.raises(TargetGarbledError):
        future.result(5.0)


@pytest.mark.parametrize("method", ["HEAD", "GET"])
def test_answers_without_a_body(listener: socket.socket, method: str) -> None:
    """They are whole at once, and the connection is kept."""
    fleet = Fleet(listener)
    future = fleet.ask(method=method)
    sock = fleet.accept()
    head_of(sock)
    first = b"HTTP/1.1 204 No Content\r\n\r\n" if method == "GET" else WHOLE[:-2]
    sock.sendall(first)
    assert future.result(5.0).answer.body == b""
    assert not fleet.asks_anew()


def test_end_by_close(listener: socket.socket) -> None:
    """Where the dialect allows it, a clean end is the end and a reset is a loss."""
    fleet = Fleet(listener, BY_CLOSE)
    assert exchange(fleet, OK + b"\r\nall of it").answer.body == b"all of it"
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    sock.sendall(OK + b"\r\npart")
    time.sleep(0.05)
    reset(sock)
    with pytest.raises(TargetLostError):
        future.result(5.0)
    with pytest.raises(TargetLostError):
        exchange(fleet, OK + b"Content-Length: 5\r\n\r\nhi")


def test_cancelled_is_no_clean_end(listener: socket.socket) -> None:
    """Cancelling an answer that ends with its connection never makes it whole."""
    fleet = Fleet(listener, BY_CLOSE)
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    sock.sendall(OK + b"\r\npart")
    time.sleep(0.05)
    assert fleet.client.cancel("a/1/1")
    with pytest.raises(CallerLeftError):
        future.result(5.0)
    assert closed(sock)


def test_cancel(listener: socket.socket) -> None:
    """The target sees its connection end; nothing else runs under that name."""
    fleet = Fleet(listener)
    assert not fleet.client.cancel("a/1/1")
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    assert fleet.client.cancel("a/1/1")
    assert closed(sock)
    with pytest.raises(CallerLeftError):
        future.result(5.0)
    assert not fleet.client.cancel("a/1/1")


def test_encoded_answer(listener: socket.socket) -> None:
    """One that nobody asked for is not the target's own, where targets must prove theirs."""
    answer = OK + b"X-Id: r1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi"
    fleet = Fleet(listener, PLAIN)
    with pytest.raises(TargetGarbledError):
        exchange(fleet, answer)
    asked = [("accept-encoding", "gzip")]
    got = exchange(fleet, answer, headers=asked).answer
    assert ("Content-Encoding", "gzip") in got.headers
    assert exchange(Fleet(listener), answer).answer.body == b"hi"


@pytest.mark.parametrize("echo", [b"", b"X-Id: r0\r\n", b"X-Id: r1\r\nX-Id: r0\r\n"])
def test_answer_to_another_request(listener: socket.socket, echo: bytes) -> None:
    """On a new connection it is garbled, and the connection closed."""
    fleet = Fleet(listener, PLAIN)
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    sock.sendall(OK + echo + b"Content-Length: 2\r\n\r\nhi")
    with pytest.raises(TargetGarbledError):
        future.result(5.0)
    assert closed(sock)


@pytest.mark.parametrize("together", [True, False])
def test_late_surplus_answer(listener: socket.socket, together: bool) -> None:
    """On a kept connection it is passed over for the own one; then the connection ends."""
    fleet = Fleet(listener, PLAIN)
    sock = fleet.kept(OK + b"X-Id: r1\r\nContent-Length: 2\r\n\r\nhi")
    future = fleet.ask(request_id="r2")
    head_of(sock)
    surplus = OK + b"X-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"
    own = OK + b"X-Id: r2\r\nContent-Length: 3\r\n\r\nown"
    for part in (
        [surplus + surplus + own] if together else [surplus, surplus[:30], surplus[30:], own]
    ):
        sock.sendall(part)
        time.sleep(0.02)
    assert future.result(5.0).answer.body == b"own"
    assert closed(sock)
    assert fleet.asks_anew()


def test_only_a_surplus_answer(listener: socket.socket) -> None:
    """It is never taken for the own one, which is waited for no longer than the deadline."""
    fleet = Fleet(listener, PLAIN)
    sock = fleet.kept(OK + b"X-Id: r1\r\nContent-Length: 2\r\n\r\nhi")
    future = fleet.ask(request_id="r2", timeout_s=0.2)
    head_of(sock)
    sock.sendall(OK + b"X-Id: r1\r\nContent-Length: 2\r\n\r\nhi")
    with pytest.raises(TargetTimeoutError):
        future.result(5.0)
    assert closed(sock)


@pytest.mark.parametrize("late", [True, False])
def test_surplus_bytes(listener: socket.socket, late: bool) -> None:
    """Whatever follows an answer ends the connection."""
    fleet = Fleet(listener)
    sock = fleet.kept(WHOLE if late else WHOLE + b"H")
    if late:
        sock.sendall(b"H")
        time.sleep(0.05)
    assert fleet.asks_anew()
    assert closed(sock)


@pytest.mark.parametrize(
    ("answer", "anew"),
    [
        (WHOLE, False),
        (OK + b"Connection: keep-alive\r\nContent-Length: 2\r\n\r\nhi", False),
        (OK + b"Connection: Close\r\nContent-Length: 2\r\n\r\nhi", True),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", True),
        (OK + b"Keep-Alive: timeout=5, max=9\r\nContent-Length: 2\r\n\r\nhi", False),
        (OK + b"Keep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nhi", True),
        (OK + b"Keep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nhi", True),
    ],
)
def test_reuse(listener: socket.socket, answer: bytes, anew: bool) -> None:
    """A connection serves again unless the answer says otherwise."""
    fleet = Fleet(listener)
    sock = fleet.kept(answer)
    assert fleet.asks_anew() is anew
    if anew:
        assert closed(sock)


def test_closed_or_reset_connection_is_not_reused(listener: socket.socket) -> None:
    """An end that shows is heeded."""
    fleet = Fleet(listener)
    for end in (socket.socket.close, reset):
        end(fleet.kept())
        time.sleep(0.05)
        assert fleet.asks_anew()
        fleet.client.close()
        fleet.client._closed = False


def test_idle_limits(listener: socket.socket, monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection rests no longer than the limit, or than the target says less the margin."""
    assert target.IDLE_LIMIT_S == 4.0
    assert target.KEEP_ALIVE_MARGIN_S == 1.0
    fleet = Fleet(listener)
    monkeypatch.setattr(target, "IDLE_LIMIT_S", 0.05)
    fleet.kept()
    time.sleep(0.1)
    assert fleet.asks_anew()
    time.sleep(0.1)
    announced = OK + b"Keep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nhi"
    sock = fleet.kept(announced)
    time.sleep(0.5)
    future = fleet.ask()
    head_of(sock)
    sock.sendall(announced)
    assert future.result(5.0).answer.body == b"hi"
    time.sleep(1.05)
    assert fleet.asks_anew()


def test_fresh(listener: socket.socket) -> None:
    """What must not repeat goes over a connection that was just used, else over a new one."""
    fleet = Fleet(listener)
    sock = fleet.kept()
    future = fleet.ask(fresh=True)
    head_of(sock)
    sock.sendall(WHOLE)
    assert future.result(5.0).answer.body == b"hi"
    time.sleep(target.FRESH_IDLE_S + 0.1)
    assert fleet.asks_anew(fresh=True)
    sock.close()


def test_a_target_that_forgets_connections_gets_fresher_ones(listener: socket.socket) -> None:
    """One lost over a connection that rested: others that rested are not trusted, for a while."""
    fleet = Fleet(listener)
    sock = fleet.kept()
    time.sleep(target.FRESH_IDLE_S + 0.2)
    future = fleet.ask()
    head_of(sock)
    reset(sock)
    with pytest.raises(TargetLostError):
        future.result(5.0)
    rest_s = target.FRESH_IDLE_S + 0.2
    now = time.monotonic()
    assert target.FRESH_IDLE_S <= fleet.client._longest_rest_s(now, fresh=False) < rest_s
    later = now + target.TRUST_REGAINED_S * 6
    assert fleet.client._longest_rest_s(later, fresh=False) > target.IDLE_LIMIT_S
    assert fleet.client._longest_rest_s(later, fresh=True) == target.FRESH_IDLE_S


def test_one_lost_over_a_connection_just_used_is_no_sign_of_that(listener: socket.socket) -> None:
    """The target is failing, not forgetting."""
    fleet = Fleet(listener)
    sock = fleet.kept()
    future = fleet.ask()
    head_of(sock)
    reset(sock)
    with pytest.raises(TargetLostError):
        future.result(5.0)
    assert fleet.client._longest_rest_s(time.monotonic(), fresh=False) > target.IDLE_LIMIT_S


def test_most_kept(listener: socket.socket) -> None:
    """Only so many connections rest."""
    fleet = Fleet(listener, max_connections=1)
    futures = [fleet.ask("a"), fleet.ask("b")]
    socks = [fleet.accept(), fleet.accept()]
    for sock in socks:
        head_of(sock)
        sock.sendall(WHOLE)
    for future in futures:
        future.result(5.0)
    time.sleep(0.05)
    ended = 0
    for sock in socks:
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            ended += sock.recv(1) == b""
    assert ended == 1


def test_closed_client_keeps_nothing(listener: socket.socket) -> None:
    """Neither what rested nor what was in use."""
    fleet = Fleet(listener)
    resting = fleet.kept()
    fleet.client.close()
    assert closed(resting)
    assert closed(fleet.kept())


def test_kept_connection_reset_under_a_request(listener: socket.socket) -> None:
    """Without a byte of an answer it may have run all the same; nothing is repeated."""
    fleet = Fleet(listener)
    for end in (socket.socket.close, reset):
        sock = fleet.kept()
        future = fleet.ask()
        head_of(sock)
        end(sock)
        with pytest.raises(TargetLostError):
            future.result(5.0)
        assert fleet.no_connection()


def test_what_the_target_tells(listener: socket.socket) -> None:
    """Instance, load, and whether it ran; the fleet's words do not go on to the caller."""
    fleet = Fleet(listener, PLAIN)
    base = b"X-Id: r1\r\nContent-Length: 2\r\n"
    told = b"X-Instance: i7\r\nX-Load: 3, 4,8\r\nDate: d\r\nServer: s\r\nRoadpass-A: b\r\n"
    got = exchange(fleet, OK + base + told + b"\r\nhi")
    assert (got.not_run, got.instance, got.load) == (False, "i7", TargetLoad(3, 4, 8))
    kept = [("X-Id", "r1"), ("Date", "d"), ("Server", "s"), ("Roadpass-A", "b")]
    assert got.answer.headers == kept
    got = exchange(fleet, b"HTTP/1.1 503 No\r\n" + base + b"X-Not-Run: shed\r\n\r\nhi")
    assert (got.not_run, got.instance, got.load) == (True, "", None)
    assert got.answer.headers == [("X-Id", "r1")]


def test_answer_headers_that_end_here(listener: socket.socket) -> None:
    """Those of the connection, and in the own dialect those that a node sets itself."""
    ends = b"Connection: X-Gone\r\nX-Gone: 1\r\nKeep-Alive: timeout=9\r\nProxy-A: b\r\nTE: a\r\n"
    ends += b"Trailer: X-T\r\nUpgrade: h2c\r\nDate: d\r\nServer: s\r\nRoadpass-A: b\r\n"
    answer = OK + ends + b"X-A: 1\r\nx-a: 2\r\nContent-Length: 2\r\n\r\nhi"
    assert exchange(Fleet(listener), answer).answer.headers == [("X-A", "1"), ("x-a", "2")]


@pytest.mark.parametrize("instance", ["i7", ""])
def test_misdirected(listener: socket.socket, instance: str) -> None:
    """A 421 proves that nothing ran if an instance was meant."""
    answer = b"HTTP/1.1 421 Misdirected\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
    got = exchange(Fleet(listener, PLAIN), answer, instance=instance)
    assert got.not_run is bool(instance)
    assert not exchange(Fleet(listener), answer, instance=instance).not_run


@pytest.mark.parametrize("load", ["1,2", "1,2,x", "-1,2,3", "1,2,3,4", "", "9" * 5000 + ",1,1"])
def test_malformed_load(listener: socket.socket, load: str) -> None:
    """It says nothing, and the answer counts."""
    answer = OK + f"X-Id: r1\r\nX-Load: {load}\r\nContent-Length: 2\r\n\r\nhi".encode()
    got = exchange(Fleet(listener, PLAIN), answer)
    assert (got.load, got.answer.body) == (None, b"hi")


@pytest.mark.parametrize("body", [b"", b"z" * LONG])
def test_caller_leaves(listener: socket.socket, body: bytes) -> None:
    """Its request's connection ends at once, waiting or writing; mere input changes nothing."""
    fleet = Fleet(listener)
    caller = Caller()
    future = fleet.ask(watch=caller, body=body)
    sock = fleet.accept()
    head_of(sock)
    caller.far.send(b"more")
    time.sleep(0.05)
    assert (caller.looks, future.done()) == (1, False)
    left_at = time.monotonic()
    caller.far.close()
    with pytest.raises(CallerLeftError):
        future.result(5.0)
    assert time.monotonic() - left_at < 0.5
    assert closed(sock)


def test_unwatchable_caller(listener: socket.socket) -> None:
    """Nobody looks at one of whom nothing new can be told."""
    fleet = Fleet(listener)
    caller = Caller()
    caller.watchable = False
    caller.far.close()
    assert exchange(fleet, WHOLE, watch=caller).answer.body == b"hi"
    assert caller.looks == 0


@pytest.mark.parametrize("drip", [True, False])
def test_timeout(listener: socket.socket, drip: bool) -> None:
    """The connection ends at the deadline, however busily the target sends."""
    fleet = Fleet(listener)
    started = time.monotonic()
    future = fleet.ask(timeout_s=0.3)
    sock = fleet.accept()
    head_of(sock)
    sock.sendall(OK + b"Content-Length: 1000\r\n\r\n")
    with contextlib.suppress(OSError):
        while drip and not future.done():
            sock.sendall(b"x")
            time.sleep(0.02)
    with pytest.raises(TargetTimeoutError):
        future.result(5.0)
    assert 0.29 <= time.monotonic() - started < 0.8
    assert closed(sock)


def test_a_target_that_stops_when_it_was_told_to_is_heard(listener: socket.socket) -> None:
    """Its own word that the time was over comes before the attempt ends, even a little late."""

    def serve() -> None:
        sock, _ = listener.accept()
        told = re.search(rb"Deadline-Ms: (\d+)", sock.recv(65536))
        assert told is not None
        time.sleep(int(told[1]) / 1000.0 + 0.02)
        sock.sendall(b"HTTP/1.1 504 Late\r\nContent-Length: 4\r\n\r\nlate")

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    client = TargetClient(f"{host}:{port}")
    got = client.send("a/1/1", "GET", "/x", [], b"", timeout_s=2.0, fresh=True)
    assert got.answer.status == 504


def test_timeout_while_writing(listener: socket.socket) -> None:
    """A target that does not read holds nobody past the deadline."""
    fleet = Fleet(listener)
    future = fleet.ask(timeout_s=0.3, body=b"z" * LONG)
    sock = fleet.accept()
    with pytest.raises(TargetTimeoutError):
        future.result(2.0)
    assert closed(sock)


def test_connect_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connecting takes so long and no longer; nothing was sent."""
    limits: list[float] = []

    def connect(address: tuple[str, int], timeout: float) -> socket.socket:
        limits.append(timeout)
        raise TimeoutError(errno.ETIMEDOUT, "late")

    monkeypatch.setattr(socket, "create_connection", connect)
    for timeout_s in (9.0, 0.25):
        with pytest.raises(TargetRefusedError):
            TargetClient("127.0.0.1:1").send(
                "a", "GET", "/", [], b"", timeout_s=timeout_s, fresh=False
            )
    assert limits == [1.0, 0.25]


def test_service_time(listener: socket.socket) -> None:
    """It is measured from the write to the whole answer."""
    fleet = Fleet(listener)
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    time.sleep(0.1)
    sock.sendall(WHOLE)
    assert 90.0 < future.result(5.0).answer.service_ms < 1000.0

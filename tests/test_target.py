"""HTTP client of a target: connection reuse, interpretation of responses, and limits."""

import contextlib
import errno
import re
import socket
import threading
import time

import pytest

from roadpass import clock, target
from roadpass.errors import TargetError, TargetRefusedError
from roadpass.outcome import Answered
from roadpass.target import (
    CallerLeftError,
    TargetClient,
    TargetLoad,
    TargetLostError,
    TargetTimeoutError,
)
from tests.played_target import (
    LONG,
    OK,
    PLAIN,
    WHOLE,
    Caller,
    Fleet,
    closed,
    exchange,
    head_of,
    reset,
)


def ask(listener: socket.socket, answer: bytes | None, timeout_s: float = 2.0) -> Answered:
    """Send a request to a target that answers with these bytes and closes, or never answers."""
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


def test_complete_responses(listener: socket.socket) -> None:
    """With a content length, and in chunks."""
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
    """A truncated or malformed response, or one whose end cannot be determined."""
    with pytest.raises(TargetError):
        ask(listener, answer)


def test_no_response_and_no_connection(listener: socket.socket) -> None:
    """A request that timed out may have run; one whose connection was refused has not."""
    with pytest.raises(TargetTimeoutError):
        ask(listener, None, timeout_s=0.2)
    client = TargetClient("127.0.0.1:1")
    with pytest.raises(TargetRefusedError):
        client.send("a/1/1", "GET", "/x", [], b"", timeout_s=1.0, fresh=False)


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
    """A connection is reused unless the response excludes it."""
    fleet = Fleet(listener)
    sock = fleet.idle_connection(answer)
    assert fleet.opens_connection() is anew
    if anew:
        assert closed(sock)


def test_closed_or_reset_connection_is_not_reused(listener: socket.socket) -> None:
    """A close or reset of an idle connection is noticed before the next request."""
    fleet = Fleet(listener)
    for end in (socket.socket.close, reset):
        end(fleet.idle_connection())
        time.sleep(0.05)
        assert fleet.opens_connection()
        fleet.client.close()
        fleet.client._closed = False


def test_idle_limits(listener: socket.socket, monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection is kept for the limit, or for the announced time-out minus the margin."""
    assert target.IDLE_LIMIT_S == 4.0
    assert target.KEEP_ALIVE_MARGIN_S == 1.0
    fleet = Fleet(listener)
    monkeypatch.setattr(target, "IDLE_LIMIT_S", 0.05)
    fleet.idle_connection()
    time.sleep(0.1)
    assert fleet.opens_connection()
    time.sleep(0.1)
    announced = OK + b"Keep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nhi"
    sock = fleet.idle_connection(announced)
    time.sleep(0.5)
    future = fleet.ask()
    head_of(sock)
    sock.sendall(announced)
    assert future.result(5.0).answer.body == b"hi"
    time.sleep(1.05)
    assert fleet.opens_connection()


def test_fresh(listener: socket.socket) -> None:
    """A request that must not be retried uses a recently used connection or a new one."""
    fleet = Fleet(listener)
    sock = fleet.idle_connection()
    future = fleet.ask(fresh=True)
    head_of(sock)
    sock.sendall(WHOLE)
    assert future.result(5.0).answer.body == b"hi"
    time.sleep(target.FRESH_IDLE_S + 0.1)
    assert fleet.opens_connection(fresh=True)
    sock.close()


def test_a_loss_on_an_idle_connection_lowers_the_idle_limit(listener: socket.socket) -> None:
    """A target that drops idle connections gets more recently used ones for a while."""
    fleet = Fleet(listener)
    sock = fleet.idle_connection()
    time.sleep(target.FRESH_IDLE_S + 0.2)
    future = fleet.ask()
    head_of(sock)
    reset(sock)
    with pytest.raises(TargetLostError):
        future.result(5.0)
    idle_s = target.FRESH_IDLE_S + 0.2
    now = clock.now()
    assert target.FRESH_IDLE_S <= fleet.client._max_idle_s(now, fresh=False) < idle_s
    later = now + target.IDLE_LIMIT_DOUBLING_S * 6
    assert fleet.client._max_idle_s(later, fresh=False) > target.IDLE_LIMIT_S
    assert fleet.client._max_idle_s(later, fresh=True) == target.FRESH_IDLE_S


def test_a_loss_on_a_recently_used_connection_keeps_the_limit(listener: socket.socket) -> None:
    """The target is failing then, not dropping idle connections."""
    fleet = Fleet(listener)
    sock = fleet.idle_connection()
    future = fleet.ask()
    head_of(sock)
    reset(sock)
    with pytest.raises(TargetLostError):
        future.result(5.0)
    assert fleet.client._max_idle_s(clock.now(), fresh=False) > target.IDLE_LIMIT_S


def test_the_number_of_idle_connections_is_limited(listener: socket.socket) -> None:
    """Connections beyond it are closed."""
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
    """Neither idle connections nor those that were in use."""
    fleet = Fleet(listener)
    idle = fleet.idle_connection()
    fleet.client.close()
    assert closed(idle)
    assert closed(fleet.idle_connection())


def test_a_request_lost_on_a_reused_connection_is_not_retried(listener: socket.socket) -> None:
    """It may have run even if no byte of a response arrived."""
    fleet = Fleet(listener)
    for end in (socket.socket.close, reset):
        sock = fleet.idle_connection()
        future = fleet.ask()
        head_of(sock)
        end(sock)
        with pytest.raises(TargetLostError):
            future.result(5.0)
        assert fleet.no_connection()


def test_headers_from_the_target_to_the_fleet(listener: socket.socket) -> None:
    """Instance, load and not-run are read and not forwarded to the caller."""
    fleet = Fleet(listener, PLAIN)
    base = b"X-Id: r1\r\nContent-Length: 2\r\n"
    fleet_headers = b"X-Instance: i7\r\nX-Load: 3, 4,8\r\nDate: d\r\nServer: s\r\nRoadpass-A: b\r\n"
    got = exchange(fleet, OK + base + fleet_headers + b"\r\nhi")
    assert (got.not_run, got.instance, got.load) == (False, "i7", TargetLoad(3, 4, 8))
    forwarded = [("X-Id", "r1"), ("Date", "d"), ("Server", "s"), ("Roadpass-A", "b")]
    assert got.answer.headers == forwarded
    got = exchange(fleet, b"HTTP/1.1 503 No\r\n" + base + b"X-Not-Run: shed\r\n\r\nhi")
    assert (got.not_run, got.instance, got.load) == (True, "", None)
    assert got.answer.headers == [("X-Id", "r1")]


def test_response_headers_that_are_not_forwarded(listener: socket.socket) -> None:
    """Hop-by-hop headers, and in the fleet's own dialect those that a node sets itself."""
    ends = b"Connection: X-Gone\r\nX-Gone: 1\r\nKeep-Alive: timeout=9\r\nProxy-A: b\r\nTE: a\r\n"
    ends += b"Trailer: X-T\r\nUpgrade: h2c\r\nDate: d\r\nServer: s\r\nRoadpass-A: b\r\n"
    answer = OK + ends + b"X-A: 1\r\nx-a: 2\r\nContent-Length: 2\r\n\r\nhi"
    assert exchange(Fleet(listener), answer).answer.headers == [("X-A", "1"), ("x-a", "2")]


@pytest.mark.parametrize("instance", ["i7", ""])
def test_misdirected(listener: socket.socket, instance: str) -> None:
    """A 421 guarantees that nothing ran if the request was for a certain instance."""
    answer = b"HTTP/1.1 421 Misdirected\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
    got = exchange(Fleet(listener, PLAIN), answer, instance=instance)
    assert got.not_run is bool(instance)
    assert not exchange(Fleet(listener), answer, instance=instance).not_run


@pytest.mark.parametrize("load", ["1,2", "1,2,x", "-1,2,3", "1,2,3,4", "", "9" * 5000 + ",1,1"])
def test_malformed_load(listener: socket.socket, load: str) -> None:
    """A malformed load header is ignored and the response accepted."""
    answer = OK + f"X-Id: r1\r\nX-Load: {load}\r\nContent-Length: 2\r\n\r\nhi".encode()
    got = exchange(Fleet(listener, PLAIN), answer)
    assert (got.load, got.answer.body) == (None, b"hi")


@pytest.mark.parametrize("body", [b"", b"z" * LONG])
def test_caller_leaves(listener: socket.socket, body: bytes) -> None:
    """Its disconnect closes the target's connection at once; more input from it does not."""
    fleet = Fleet(listener)
    caller = Caller()
    future = fleet.ask(watch=caller, body=body)
    sock = fleet.accept()
    head_of(sock)
    caller.far.send(b"more")
    time.sleep(0.05)
    assert (caller.checks, future.done()) == (1, False)
    left_at = clock.now()
    caller.far.close()
    with pytest.raises(CallerLeftError):
        future.result(5.0)
    assert clock.now() - left_at < 0.5
    assert closed(sock)


def test_unwatchable_caller(listener: socket.socket) -> None:
    """A caller that cannot be watched is never polled."""
    fleet = Fleet(listener)
    caller = Caller()
    caller.watchable = False
    caller.far.close()
    assert exchange(fleet, WHOLE, watch=caller).answer.body == b"hi"
    assert caller.checks == 0


@pytest.mark.parametrize("drip", [True, False])
def test_timeout(listener: socket.socket, drip: bool) -> None:
    """The connection is closed at the deadline, even while the target is sending."""
    fleet = Fleet(listener)
    started = clock.now()
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
    assert 0.29 <= clock.now() - started < 0.8
    assert closed(sock)


def test_the_time_out_response_of_the_target_arrives_in_time(listener: socket.socket) -> None:
    """The deadline sent to the target leaves time for its response, even if that is a bit late."""

    def serve() -> None:
        sock, _ = listener.accept()
        sent = re.search(rb"Deadline-Ms: (\d+)", sock.recv(65536))
        assert sent is not None
        time.sleep(int(sent[1]) / 1000.0 + 0.02)
        sock.sendall(b"HTTP/1.1 504 Late\r\nContent-Length: 4\r\n\r\nlate")

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    client = TargetClient(f"{host}:{port}")
    got = client.send("a/1/1", "GET", "/x", [], b"", timeout_s=2.0, fresh=True)
    assert got.answer.status == 504


def test_timeout_while_writing(listener: socket.socket) -> None:
    """A target that does not read the request does not delay the time-out."""
    fleet = Fleet(listener)
    future = fleet.ask(timeout_s=0.3, body=b"z" * LONG)
    sock = fleet.accept()
    with pytest.raises(TargetTimeoutError):
        future.result(2.0)
    assert closed(sock)


def test_connect_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connecting is limited by the smaller of its limit and the time left; nothing was sent."""
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
    assert limits == [0.3, 0.25]


def test_service_time(listener: socket.socket) -> None:
    """It lasts from the write of the request to the complete response."""
    fleet = Fleet(listener)
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    time.sleep(0.1)
    sock.sendall(WHOLE)
    assert 90.0 < future.result(5.0).answer.service_ms < 1000.0


def test_a_target_that_refuses_connections_is_recognised(listener: socket.socket) -> None:
    """If it accepts one, the connection of the check serves the next request."""
    fleet = Fleet(listener)
    assert not fleet.client.refuses_connections()
    future = fleet.ask(fresh=True)
    sock = fleet.accept()
    head_of(sock)
    sock.sendall(WHOLE)
    assert future.result(5.0).answer.status == 200
    listener.close()
    assert fleet.client.refuses_connections()

"""One exchange with a target: what is sent, and what counts as a complete response."""

import contextlib
import errno
import re
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from roadpass import clock, target
from roadpass.dialect import OWN
from roadpass.errors import TargetError, TargetRefusedError
from roadpass.platform.dialect import PLATFORM
from roadpass.target import (
    CallerLeftError,
    TargetLostError,
    TargetProtocolError,
    TargetTimeoutError,
)
from roadpass.target_connection import AnswerRules, RawAnswer, TargetConnection, WireRequest
from tests.played_target import (
    BY_CLOSE,
    LONG,
    OK,
    PLAIN,
    WHOLE,
    Fleet,
    closed,
    exchange,
    head_of,
    reset,
)


def test_sent_headers(listener: socket.socket) -> None:
    """The fleet's headers replace the caller's, once each; hop-by-hop headers are dropped."""
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
    """The attempt's id is sent, the address is the host, and a GET without body has no length."""
    fleet = Fleet(listener)
    fleet.ask(instance="i7", origin="shop")
    lines = head_of(fleet.accept())
    assert re.fullmatch(r"Roadpass-Deadline-Ms: 4\d{3}|Roadpass-Deadline-Ms: 5000", lines[-1])
    assert lines[1:-1] == [f"Host: {fleet.client.address}", "Roadpass-Request-Id: a/1/1"]
    fleet.ask(method="POST")
    assert "Content-Length: 0" in head_of(fleet.accept())
    call = target._Call("a", "GET", "/x", [], b"", "", "")
    assert ("Roadpass-Deadline-Ms", "1") in target._sent_headers(call, OWN, "h:1", 0.0004)


def test_origin_is_always_sent(listener: socket.socket) -> None:
    """Even if unknown, as the caller's value may be forged; an unknown instance is left out."""
    fleet = Fleet(listener, PLAIN)
    fleet.ask(headers=[("X-Origin", "lie"), ("X-Expected", "lie")], request_id="")
    lines = head_of(fleet.accept())
    assert [line.strip() for line in lines if line.startswith("X-Origin")] == ["X-Origin:"]
    assert not [line for line in lines if line.startswith("X-Expected")]
    assert "X-Id: a/1/1" in lines


@pytest.mark.parametrize("headers", [[("X-A", "b\r\nX-B: c")], [("X-A", "\u20ac")]])
def test_unsendable(listener: socket.socket, headers: list[tuple[str, str]]) -> None:
    """A request that is not valid HTTP is refused, and no byte of it is sent."""
    fleet = Fleet(listener)
    future = fleet.ask(headers=headers)
    assert fleet.accept().recv(100) == b""
    with pytest.raises(TargetRefusedError):
        future.result(5.0)


@pytest.mark.parametrize("size", [10, 65000, 70000, 4_000_000])
def test_body_arrives(listener: socket.socket, size: int) -> None:
    """Short and long bodies arrive complete, and the connection is kept."""
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
    assert not fleet.opens_connection()


def test_short_request_is_one_write(listener: socket.socket) -> None:
    """Head and body are sent together."""
    fleet = Fleet(listener)
    fleet.ask(body=b"y" * 20000, method="POST")
    sock = fleet.accept()
    assert sock.recv(1 << 20).endswith(b"\r\n\r\n" + b"y" * 20000)


def test_early_answer(listener: socket.socket) -> None:
    """A response before the end of the body is accepted, and the connection is not reused."""
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
    assert fleet.opens_connection()


def test_early_answer_and_close(listener: socket.socket) -> None:
    """It is accepted even if the target then resets the connection, but never if incomplete."""
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


def test_broken_write_is_no_clean_close(listener: socket.socket) -> None:
    """A response that ends by close is incomplete if a write was reset."""
    fleet = Fleet(listener, BY_CLOSE)
    future = fleet.ask(body=b"z" * LONG, method="POST")
    sock = fleet.accept()
    head_of(sock)
    sock.sendall(OK + b"\r\npart")
    reset(sock)
    with pytest.raises(TargetLostError):
        future.result(5.0)


class Breaking(socket.socket):
    """A socket whose second write reports a reset, after which it seems to be closed cleanly."""

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
def test_reset_reported_to_the_writer(listener: socket.socket, answer: bytes) -> None:
    """The reset is not reported to the reader again; only a complete response is accepted."""
    sock = Breaking(fileno=socket.create_connection(listener.getsockname()).detach())
    connection = TargetConnection(sock)
    peer, _ = listener.accept()

    def finish() -> None:
        peer.sendall(answer)
        peer.shutdown(socket.SHUT_WR)

    sock.on_failure = finish
    message = WireRequest("POST", "/x", [("Host", "h"), ("Content-Length", "70000")], b"z" * 70000)

    def run() -> RawAnswer:
        until = clock.now() + 5.0
        return connection.exchange(message, AnswerRules(ends_by_close=True), until, None)

    if answer == WHOLE:
        assert run().reusable is False
    else:
        with pytest.raises(TargetLostError):
            run()
    assert sock.writes == 2
    connection.close()
    peer.close()


def test_lost_before_anything_was_accepted(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new connection that is reset right after connecting may have carried the request."""
    connection = TargetConnection(socket.create_connection(listener.getsockname()))
    peer, _ = listener.accept()
    reset(peer)
    time.sleep(0.05)
    monkeypatch.setattr(TargetConnection, "open", lambda *_: connection)
    with pytest.raises(TargetLostError):
        Fleet(listener).ask().result(5.0)


def test_interim_responses_are_skipped(listener: socket.socket) -> None:
    """Only the final response is returned."""
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
        (b"nonsense\r\n\r\n", TargetProtocolError),
        (OK + b"Content-Length: five\r\n\r\nhi", TargetProtocolError),
        (OK + b"Content-Length: -2\r\n\r\nhi", TargetProtocolError),
        (OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", TargetProtocolError),
        (OK + b"Content-Length: 15728641\r\n\r\nhi", TargetProtocolError),
        (OK + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\nhi", TargetProtocolError),
        (OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", TargetProtocolError),
        (OK + b"Transfer-Encoding: gzip\r\n\r\n", TargetProtocolError),
        (OK + b"\r\nno length", TargetProtocolError),
        (OK + b"X-A: " + b"b" * 100_000, TargetProtocolError),
        (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", TargetProtocolError),
    ],
)
def test_connection_lost_or_invalid_response(
    listener: socket.socket, answer: bytes, error: type[TargetError]
) -> None:
    """A connection that ends early is distinguished from bytes that are no valid response."""
    with pytest.raises(error):
        exchange(Fleet(listener), answer)


def test_too_many_chunks(listener: socket.socket) -> None:
    """The size limit also applies to a chunked body."""
    fleet = Fleet(listener)
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    with contextlib.suppress(OSError):
        sock.sendall(OK + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(16):
            sock.sendall(b"100000\r\n" + b"q" * 0x100000 + b"\r\n")
    with pytest.raises(TargetProtocolError):
        future.result(5.0)


@pytest.mark.parametrize("method", ["HEAD", "GET"])
def test_responses_without_a_body(listener: socket.socket, method: str) -> None:
    """They are complete after their head, and the connection is kept."""
    fleet = Fleet(listener)
    future = fleet.ask(method=method)
    sock = fleet.accept()
    head_of(sock)
    first = b"HTTP/1.1 204 No Content\r\n\r\n" if method == "GET" else WHOLE[:-2]
    sock.sendall(first)
    assert future.result(5.0).answer.body == b""
    assert not fleet.opens_connection()


def test_end_by_close(listener: socket.socket) -> None:
    """Where the dialect allows it, a clean close ends the response and a reset is a loss."""
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


def test_cancelled_is_no_clean_close(listener: socket.socket) -> None:
    """Cancelling never completes a response that ends by close."""
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
    """The target's connection is closed; ids that are not running cannot be cancelled."""
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
    """Where targets must echo the id, a content encoding that was not requested is rejected."""
    answer = OK + b"X-Id: r1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi"
    fleet = Fleet(listener, PLAIN)
    with pytest.raises(TargetProtocolError):
        exchange(fleet, answer)
    for accepted in ("gzip", "identity, gzip;q=0.5", "*"):
        got = exchange(fleet, answer, headers=[("accept-encoding", accepted)]).answer
        assert ("Content-Encoding", "gzip") in got.headers
    assert exchange(Fleet(listener), answer).answer.body == b"hi"


@pytest.mark.parametrize("accepted", ["identity", "identity;q=1.0", "gzip;q=0, identity", ""])
def test_encoded_answer_to_a_caller_that_accepts_none(
    listener: socket.socket, accepted: str
) -> None:
    """Guards against the failure "a foreign body": `identity` counted as leave to encode."""
    answer = OK + b"X-Id: r1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi"
    with pytest.raises(TargetProtocolError):
        exchange(Fleet(listener, PLAIN), answer, headers=[("accept-encoding", accepted)])


@pytest.mark.parametrize("echo", [b"", b"X-Id: r0\r\n", b"X-Id: r1\r\nX-Id: r0\r\n"])
def test_answer_to_another_request(listener: socket.socket, echo: bytes) -> None:
    """On a new connection it is an error, and the connection is closed."""
    fleet = Fleet(listener, PLAIN)
    future = fleet.ask()
    sock = fleet.accept()
    head_of(sock)
    sock.sendall(OK + echo + b"Content-Length: 2\r\n\r\nhi")
    with pytest.raises(TargetProtocolError):
        future.result(5.0)
    assert closed(sock)


@pytest.mark.parametrize("together", [True, False])
def test_late_surplus_answer(listener: socket.socket, together: bool) -> None:
    """On a reused connection it is skipped; the connection is closed after the right one."""
    fleet = Fleet(listener, PLAIN)
    sock = fleet.idle_connection(OK + b"X-Id: r1\r\nContent-Length: 2\r\n\r\nhi")
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
    assert fleet.opens_connection()


def test_only_a_surplus_answer(listener: socket.socket) -> None:
    """It is never accepted; the right one is waited for until the deadline."""
    fleet = Fleet(listener, PLAIN)
    sock = fleet.idle_connection(OK + b"X-Id: r1\r\nContent-Length: 2\r\n\r\nhi")
    future = fleet.ask(request_id="r2", timeout_s=0.2)
    head_of(sock)
    sock.sendall(OK + b"X-Id: r1\r\nContent-Length: 2\r\n\r\nhi")
    with pytest.raises(TargetTimeoutError):
        future.result(5.0)
    assert closed(sock)


@pytest.mark.parametrize("late", [True, False])
def test_surplus_bytes(listener: socket.socket, late: bool) -> None:
    """Any bytes after a response end the connection."""
    fleet = Fleet(listener)
    sock = fleet.idle_connection(WHOLE if late else WHOLE + b"H")
    if late:
        sock.sendall(b"H")
        time.sleep(0.05)
    assert fleet.opens_connection()
    assert closed(sock)


def test_the_customer_header_is_sent_once_and_never_the_callers() -> None:
    """The caller's headers are dropped; a request without a customer has none."""
    given = [("tenant-id", "lie"), ("Tenant-Id", "lie")]
    for customer, expected in (("library", ["library"]), ("", [])):
        call = target._Call("a", "GET", "/x", list(given), b"", "", "", customer)
        sent = target._sent_headers(call, PLATFORM, "h:1", 1.0)
        assert [value for name, value in sent if name.lower() == "tenant-id"] == expected

"""Responses that callers receive over real sockets, from targets and from this node."""

import time
from collections.abc import Iterator

import pytest

from roadpass import caller_connection
from roadpass.caller_limits import CallerLimits
from roadpass.caller_response import response_bytes
from roadpass.outcome import Answered, NotRun, Outcome, Reason, Unknown
from roadpass.request import Request, Served
from tests.calling import GET, PLAIN, Bench, opened, post, until, watch_of


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run an ingress with the default header names."""
    with opened() as made:
        yield made


def test_response_of_a_target(bench: Bench) -> None:
    """Headers are forwarded unchanged, except hop-by-hop ones; the outcome is added."""
    given = [
        ("X-a", "1"),
        ("Connection", "X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "5"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "99"),
        ("Date", "some day"),
        ("Date", "another"),
        ("X-a", "2"),
    ]
    bench.answer(Answered(299, given, b"body"))
    caller = bench.caller()
    reply = caller.ask(GET)
    assert (reply.status, reply.phrase, reply.body) == (299, "Status", b"body")
    assert sorted(reply.headers) == [
        ("Content-Length", "4"),
        ("Date", "some day"),
        ("Roadpass-Outcome", "answered"),
        ("X-a", "1"),
        ("X-a", "2"),
    ]
    bench.answer(Answered(404, [], b""))
    reply = caller.ask(GET)
    assert (reply.status, reply.phrase, reply.header("Content-Length")) == (404, "Not Found", "0")
    assert (reply.header("Date") or "").endswith(" GMT")


@pytest.mark.parametrize(
    ("method", "status", "given", "length"),
    [
        ("HEAD", 200, "123", "123"),
        ("HEAD", 200, "", None),
        ("GET", 204, "", None),
        ("GET", 304, "55", "55"),
        ("GET", 304, "", None),
    ],
)
def test_responses_without_a_body(
    bench: Bench, method: str, status: int, given: str, length: str | None
) -> None:
    """No body is sent, the target's `Content-Length` is kept, and the connection stays usable."""
    bench.answer(Answered(status, [("Content-Length", given)] if given else [], b""))
    caller = bench.caller()
    caller.send(GET.replace(b"GET", method.encode()))
    reply = caller.reply(bodiless=True)
    assert (reply.status, reply.header("Content-Length")) == (status, length)
    bench.answer(Answered(200, [], b"next"))
    assert caller.ask(GET).body == b"next"


def test_generated_response_to_head(bench: Bench) -> None:
    """The text is left out, but its length is sent."""
    bench.answer(NotRun(Reason.NO_ROUTE))
    caller = bench.caller()
    caller.send(GET.replace(b"GET", b"HEAD"))
    reply = caller.reply(bodiless=True)
    assert (reply.status, reply.header("Content-Length")) == (404, "18")
    bench.answer(Answered(200, [], b"next"))
    assert caller.ask(GET).body == b"next"


def test_header_injection() -> None:
    """Line breaks in a value cannot add a header, and headers with invalid names are dropped."""
    data = response_bytes(200, [("X", "1\r\nY: 2"), ("a b", "3"), ("Z", "\u20ac")], b"", "GET")
    lines = data.split(b"\r\n")
    assert b"X: 1  Y: 2" in lines
    assert b"Z: ?" in lines
    assert b"a b" not in data


@pytest.mark.parametrize(
    ("outcome", "status", "reason", "retry_after"),
    [
        (NotRun(Reason.NO_CAPACITY, 1500), 503, "no-capacity", "2"),
        (NotRun(Reason.NO_ROUTE), 404, "no-route", None),
        (Unknown(Reason.TIMEOUT), 504, "timeout", None),
    ],
)
def test_outcomes_without_a_response(
    bench: Bench, outcome: NotRun | Unknown, status: int, reason: str, retry_after: str | None
) -> None:
    """Reported by status, headers and a short text, and counted; the connection stays open."""
    name = "not-run" if isinstance(outcome, NotRun) else "unknown"
    bench.answer(outcome)
    caller = bench.caller()
    reply = caller.ask(GET)
    assert reply.status == status
    assert reply.header("Roadpass-Outcome") == name
    assert reply.header("Roadpass-Reason") == reason
    assert reply.header("Retry-After") == retry_after
    assert reply.header("Content-Type") == "text/plain"
    assert reply.header("Connection") is None
    assert reply.body == f"{name}: {reason}\n".encode()
    assert bench.outcomes() == [("shop", "counter", name, reason)]
    assert caller.ask(GET).status == status


@pytest.mark.parametrize(
    ("ms", "expected"), [(1500, "1.5"), (500, "0.5"), (2000, "2"), (7, "0.007")]
)
def test_responses_in_another_dialect(ms: int, expected: str) -> None:
    """The `Roadpass-` headers are left out; `Retry-After` has fractions of a second."""
    with opened(PLAIN) as bench:
        caller = bench.caller()
        bench.answer(NotRun(Reason.NO_CAPACITY, ms))
        reply = caller.ask(GET)
        assert (reply.status, reply.header("Retry-After")) == (503, expected)
        assert "roadpass" not in str(reply.headers).lower()
        bench.answer(Answered(200, [("Retry-After", "9")], b""))
        reply = caller.ask(GET)
        assert reply.header("Retry-After") == "9"
        assert "roadpass" not in str(reply.headers).lower()


@pytest.mark.parametrize("bad", [None, Answered(101, [], b"")])
def test_exception_in_dispatch(
    bench: Bench, caplog: pytest.LogCaptureFixture, bad: Outcome | None
) -> None:
    """The caller gets "unknown", since its request may have run; the error is logged."""

    def fail(_: Request) -> Served:
        if bad is None:
            raise RuntimeError("a fault")
        return Served(bad)

    bench.serve = fail
    caller = bench.caller()
    reply = caller.ask(GET + GET)
    assert (reply.status, reply.header("Connection")) == (502, "close")
    assert reply.header("Roadpass-Outcome") == "unknown"
    assert caller.rest() == b""
    assert len(bench.requests) == 1
    assert "a request of 127.0.0.1 failed" in caplog.text
    assert bench.outcomes() == [("", "", "unknown", "internal-error")]
    assert bench.active == 0
    assert bench.caller().ask(GET).status == 502


def test_response_is_written_at_once(bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
    """Head and body are written with one call."""
    pieces = []
    write = caller_connection.CallerConnection._write

    def noted(self: caller_connection.CallerConnection, data: bytes) -> None:
        pieces.append(data)
        write(self, data)

    monkeypatch.setattr(caller_connection.CallerConnection, "_write", noted)
    bench.caller().ask(GET)
    (piece,) = pieces
    assert piece.startswith(b"HTTP/1.1 200 OK\r\n")
    assert piece.endswith(b"\r\n\r\nok")


def test_caller_that_does_not_read(bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its thread is released after the write timeout."""
    assert caller_connection.WRITE_LIMIT_S == 10.0
    monkeypatch.setattr(caller_connection, "WRITE_LIMIT_S", 0.2)
    bench.answer(Answered(200, [], b"x" * 64_000_000))
    caller = bench.caller()
    caller.send(GET)
    until(lambda: len(bench.requests) == 1)
    until(lambda: bench.active == 0)
    until(lambda: watch_of(bench.requests[0]).fileno() == -1)


# Closing connections


@pytest.mark.parametrize(
    ("version", "asked", "expected"),
    [
        ("1.1", "", None),
        ("1.1", "close", "close"),
        ("1.1", "X-Some, Close", "close"),
        ("1.0", "", "close"),
        ("1.0", "keep-alive", "keep-alive"),
    ],
)
def test_keep_alive(bench: Bench, version: str, asked: str, expected: str | None) -> None:
    """A connection is kept or closed as requested, or by the default of the HTTP version."""
    line = f"Connection: {asked}\r\n" if asked else ""
    request = f"GET /a HTTP/{version}\r\nHost: shop\r\n{line}\r\n".encode()
    caller = bench.caller()
    reply = caller.ask(request)
    assert (reply.status, reply.header("Connection")) == (200, expected)
    if expected == "close":
        assert caller.rest() == b""
    else:
        assert caller.ask(request).status == 200


def test_closing_with_unread_data_does_not_lose_the_response(bench: Bench) -> None:
    """The caller receives its whole response; what it sent after the request is discarded."""
    last = GET.replace(b"Host", b"Connection: close\r\nHost")
    caller = bench.caller()
    caller.send(last + GET + post(b"x" * 300_000))
    time.sleep(0.05)
    reply = caller.reply()
    assert (reply.status, reply.header("Connection")) == (200, "close")
    assert caller.rest() == b""
    assert len(bench.requests) == 1


def test_a_refused_body_does_not_lose_the_response() -> None:
    """A caller that writes its whole body before it reads still receives the refusal."""
    with opened(limits=CallerLimits(max_body_bytes=100)) as bench:
        caller = bench.caller()
        caller.send(post(b"x" * 4_000_000))
        assert caller.reply().status == 413
        assert caller.rest() == b""


def test_lingering_is_bounded(bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller that never closes its side does not block the thread."""
    assert caller_connection.LINGER_S == 1.0
    monkeypatch.setattr(caller_connection, "LINGER_S", 0.2)
    caller = bench.caller()
    caller.ask(GET.replace(b"Host", b"Connection: close\r\nHost"))
    assert caller.rest() == b""
    until(lambda: watch_of(bench.requests[0]).fileno() == -1)

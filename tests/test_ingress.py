"""The ingress: what callers send over real sockets, and what they get back."""

import logging
import os
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import pytest

from roadpass import caller_connection, ingress
from roadpass.caller_answer import answer_bytes
from roadpass.caller_limits import CallerLimits
from roadpass.caller_watch import MAX_AHEAD_BYTES
from roadpass.dialect import OWN, Dialect
from roadpass.ingress import Ingress
from roadpass.metric import Metrics
from roadpass.outcome import Answered, NotRun, Outcome, Reason, Unknown
from roadpass.request import CallerWatch, Request, Served
from roadpass.settings import Ports, Settings
from roadpass.view import View

WAIT_S = 5.0
"""Seconds until a test gives up waiting for something that should be there at once."""
GET = b"GET /a HTTP/1.1\r\nHost: shop\r\n\r\n"
PLAIN = Dialect(
    deadline="X-Left-Ms",
    request_id="X-Id",
    caller_sets_id=True,
    expected_instance="X-Expected",
    origin_service="X-Origin",
    exact_retry_after=True,
    own_prefix="",
)
Dispatch = Callable[[Request], Served]


class LimitedView(View):
    """A view whose limits a test sets."""

    limits: CallerLimits


class Reply(NamedTuple):
    """An answer as a caller sees it."""

    status: int
    phrase: str
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the only header of that name, `None` if it is missing."""
        found = [value for given, value in self.headers if given.lower() == name.lower()]
        assert len(found) <= 1, self.headers
        return found[0] if found else None


class Caller:
    """A caller's end of a connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=WAIT_S)
        self._file = self.sock.makefile("rb")

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def reply(self, *, bodiless: bool = False) -> Reply:
        """Read one answer."""
        version, status, phrase = self._line().split(" ", 2)
        assert version == "HTTP/1.1"
        headers = []
        while line := self._line():
            name, _, value = line.partition(": ")
            headers.append((name, value))
        length = next((int(v) for n, v in headers if n.lower() == "content-length"), 0)
        body = b"" if bodiless else self._file.read(length)
        return Reply(int(status), phrase, headers, body)

    def ask(self, data: bytes) -> Reply:
        """Send a request and read its answer."""
        self.send(data)
        return self.reply()

    def rest(self) -> bytes:
        """Read until the connection is closed; a reset fails the test."""
        return self._file.read()

    def close(self) -> None:
        self._file.close()
        self.sock.close()

    def _line(self) -> str:
        line = self._file.readline()
        assert line.endswith(b"\r\n"), line
        return line[:-2].decode("latin-1")


class Bench:
    """An ingress with a dispatcher that a test sets."""

    def __init__(self, dialect: Dialect, limits: CallerLimits, port: int = 0) -> None:
        self.requests: list[Request] = []
        self.serve: Dispatch = lambda _: Served(Answered(200, [], b"ok"))
        self.view = LimitedView("vm-1", "hall-1", "region-1")
        self.view.limits = limits
        self.metrics = Metrics()
        settings = Settings(
            "vm-1", "hall-1", "region-1", "127.0.0.1", "127.0.0.1", Ports(port, 0, 0, 0), ""
        )
        self._callers: list[Caller] = []
        self._ref: Any = Ingress.start(
            settings, self, self.view, self.metrics, dialect=dialect, origin="shop"
        )
        self._proxy: Any = self._ref.proxy()
        self.address: tuple[str, int] = self._proxy.address.get()

    @property
    def active(self) -> int:
        value: int = self._proxy.active.get()
        return value

    def dispatch(self, request: Request) -> Served:
        """Note a request and do what the test wants."""
        self.requests.append(request)
        return self.serve(request)

    def answer(self, outcome: Outcome) -> None:
        """Give this outcome from now on."""
        self.serve = lambda _: Served(outcome, "shop", "counter")

    def caller(self) -> Caller:
        """Return a new connection."""
        caller = Caller(self.address)
        self._callers.append(caller)
        return caller

    def outcomes(self) -> list[tuple[str, str, str, str]]:
        """Return what was counted, with all counts being one."""
        counted = self.metrics.summary()["outcomes"]
        assert all(each["count"] == 1 for each in counted)
        return [(e["service"], e["traffic_class"], e["outcome"], e["reason"]) for e in counted]

    def close(self) -> None:
        for caller in self._callers:
            caller.close()
        self._ref.stop()


@contextmanager
def opened(
    dialect: Dialect = OWN, limits: CallerLimits | None = None, port: int = 0
) -> Iterator[Bench]:
    """Run an ingress."""
    bench = Bench(dialect, limits or CallerLimits(), port)
    try:
        yield bench
    finally:
        bench.close()


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run an ingress in the own dialect."""
    with opened() as made:
        yield made


def until(done: Callable[[], bool]) -> None:
    """Wait until something holds."""
    limit = time.monotonic() + WAIT_S
    while not done():
        assert time.monotonic() < limit, "it never came about"
        time.sleep(0.005)


def post(body: bytes, headers: str = "") -> bytes:
    """Return a request with a body of that length."""
    head = f"POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


def watch_of(request: Request) -> CallerWatch:
    """Return a request's watch."""
    assert request.watch is not None
    return request.watch


# Listening


def test_how_it_listens(monkeypatch: pytest.MonkeyPatch) -> None:
    """The backlog is long and stacks are small; other threads keep the usual one."""
    backlogs, stacks = [], []
    create, stack_size = socket.create_server, threading.stack_size

    def noted_create(*args: Any, backlog: int, **named: Any) -> socket.socket:
        backlogs.append(backlog)
        return create(*args, backlog=backlog, **named)

    def noted_stack(size: int = 0) -> int:
        stacks.append(size)
        return stack_size(size)

    usual = stack_size()
    monkeypatch.setattr("roadpass.ingress.socket.create_server", noted_create)
    monkeypatch.setattr("roadpass.ingress.threading.stack_size", noted_stack)
    with opened() as bench:
        assert bench.caller().ask(GET).status == 200
    assert backlogs == [1024]
    assert stacks == [256 * 1024, usual]


def test_address_is_free_again_at_once() -> None:
    """Connections that the ingress closed do not keep the next one from listening."""
    with opened() as bench:
        caller = bench.caller()
        caller.ask(b"GET /a HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n")
        assert caller.rest() == b""
        port = bench.address[1]
    with opened(port=port) as bench:
        assert bench.caller().ask(GET).status == 200


def test_stop_ends_listening_and_idle_connections() -> None:
    """After its stop nobody is accepted, and kept connections end."""
    with opened() as bench:
        caller = bench.caller()
        caller.ask(GET)
        bench._ref.stop()
        assert caller.rest() == b""
        with pytest.raises(ConnectionRefusedError):
            bench.caller()


def test_answers_are_not_held_back(bench: Bench) -> None:
    """The caller's socket sends small pieces at once."""
    delays = []

    def look(request: Request) -> Served:
        with socket.socket(fileno=os.dup(watch_of(request).fileno())) as sock:
            delays.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        return Served(Answered(200, [], b""))

    bench.serve = look
    bench.caller().ask(GET)
    assert delays == [1]


def test_too_many_connections(
    bench: Bench, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """One too many is closed at once, which is logged; a place that is free again is given."""
    assert ingress.MAX_CONNECTIONS == 3000
    monkeypatch.setattr(ingress, "MAX_CONNECTIONS", 2)
    first, second = bench.caller(), bench.caller()
    assert first.ask(GET).status == second.ask(GET).status == 200
    with caplog.at_level(logging.WARNING):
        assert bench.caller().rest() == b""
    assert "closed a connection of 127.0.0.1" in caplog.text
    assert first.ask(GET).status == 200
    second.close()

    def served() -> bool:
        try:
            return bench.caller().ask(GET).status == 200
        except (AssertionError, OSError):
            return False

    until(served)


def test_hanging_requests_hold_up_no_other(bench: Bench) -> None:
    """Each connection has its own thread; `active` counts what is being answered."""
    go_on = threading.Event()

    def hang(request: Request) -> Served:
        if request.path == "/hang":
            assert go_on.wait(WAIT_S)
        return Served(Answered(200, [], b""))

    bench.serve = hang
    callers = [bench.caller() for _ in range(100)]
    for caller in callers:
        caller.send(GET.replace(b"/a", b"/hang"))
    until(lambda: bench.active == 100)
    assert bench.caller().ask(GET).status == 200
    go_on.set()
    assert all(caller.reply().status == 200 for caller in callers)
    until(lambda: bench.active == 0)


# Requests


def test_request_as_it_is_dispatched(bench: Bench) -> None:
    """Order, case and duplicates of headers stay; what is for this hop only goes."""
    before = time.monotonic()
    bench.caller().ask(
        b"POST /a/b%20c?x=1&y HTTP/1.1\r\nX-One: 1\r\nHost: shop:80\r\nX-two: a\r\n"
        b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nProxy-Thing: 1\r\n"
        b"TE: trailers\r\nTrailer: X\r\nUpgrade: y\r\nX-two: b\r\nContent-Length: 3\r\n"
        b"Roadpass-Deadline-Ms: 2500\r\nRoadpass-Caller: me\r\nRoadpass-Request-Id: 7\r\n"
        b"Roadpass-Repeat: TRUE\r\nIdempotency-Key: k1\r\n\r\nabc"
    )
    after = time.monotonic()
    (request,) = bench.requests
    assert (request.host, request.method, request.path) == ("shop:80", "POST", "/a/b%20c?x=1&y")
    assert request.headers == [
        ("X-One", "1"),
        ("Host", "shop:80"),
        ("X-two", "a"),
        ("X-two", "b"),
        ("Idempotency-Key", "k1"),
        ("X-Forwarded-For", "127.0.0.1"),
    ]
    assert request.body == b"abc"
    assert request.deadline is not None
    assert before + 2.5 <= request.deadline <= after + 2.5
    assert (request.caller, request.key, request.repeat) == ("me", "k1", True)
    assert (request.id, request.origin) == ("", "shop")


def test_request_in_another_dialect() -> None:
    """Its names are read and taken out; the own prefix means nothing there."""
    with opened(PLAIN) as bench:
        bench.caller().ask(
            b"GET / HTTP/1.1\r\nHost: shop\r\nx-left-ms: 1000\r\nX-Id: 42\r\nX-Origin: o\r\n"
            b"X-Expected: 3\r\nRoadpass-Other: 1\r\n\r\n"
        )
    (request,) = bench.requests
    assert request.headers == [("Host", "shop"), ("Roadpass-Other", "1")]
    assert request.id == "42"
    assert request.deadline is not None
    assert request.caller == "127.0.0.1"


def test_deadline_counts_from_the_head(bench: Bench) -> None:
    """The time a body takes is part of the caller's time."""
    caller = bench.caller()
    whole = post(b"abc", "Roadpass-Deadline-Ms: 1000\r\n")
    caller.send(whole[:-3])
    until(lambda: bench.active == 1)
    read_by = time.monotonic()
    time.sleep(0.1)
    assert caller.ask(whole[-3:]).status == 200
    deadline = bench.requests[0].deadline
    assert deadline is not None
    assert deadline <= read_by + 1.0


@pytest.mark.parametrize(
    ("target", "host", "path"),
    [
        ("http://other:81/p?q=1", "other:81", "/p?q=1"),
        ("HTTPS://me@other", "other", "/"),
        ("http://other?q", "other", "/?q"),
        ("*", "shop", "*"),
    ],
)
def test_target_forms(bench: Bench, target: str, host: str, path: str) -> None:
    """The absolute form names the host, also to the target."""
    bench.caller().ask(f"OPTIONS {target} HTTP/1.1\r\nHost: shop\r\n\r\n".encode())
    (request,) = bench.requests
    assert (request.host, request.path) == (host, path)
    assert ("Host", host) in request.headers


def test_chunked_body(bench: Bench) -> None:
    """A body in chunks is put together, however it comes, and told without its chunks."""
    caller = bench.caller()
    for piece in (
        b"POST /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na",
        b"bc\r\n2;x=y\r\nde\r\n0\r\nX-",
        b"Trailer: 1\r\n\r\n",
    ):
        caller.send(piece)
        time.sleep(0.02)
    assert caller.reply().status == 200
    assert bench.requests[0].body == b"abcde"
    assert [name for name, _ in bench.requests[0].headers] == ["Host", "X-Forwarded-For"]


def test_waiting_for_100_continue(bench: Bench) -> None:
    """A caller that waits for leave to send its body gets it, once."""
    caller = bench.caller()
    whole = post(b"abcd", "Expect: 100-continue\r\n")
    caller.send(whole[:-4])
    go_on = caller.reply()
    assert (go_on.status, go_on.phrase, go_on.headers) == (100, "Continue", [])
    caller.send(whole[-4:-2])
    time.sleep(0.02)
    assert caller.ask(whole[-2:]).status == 200
    assert bench.requests[0].body == b"abcd"
    assert "Expect" not in dict(bench.requests[0].headers)


def test_no_100_continue_when_the_body_has_come(bench: Bench) -> None:
    """A body that is there already is not asked for."""
    assert bench.caller().ask(post(b"abcd", "Expect: 100-continue\r\n")).status == 200


# Refusals


def refused(bench: Bench, data: bytes) -> Reply:
    """Send what is refused; return the answer, after which the connection must end cleanly."""
    caller = bench.caller()
    reply = caller.ask(data)
    assert reply.header("Connection") == "close"
    assert caller.rest() == b""
    assert bench.requests == []
    until(lambda: bench.active == 0)
    return reply


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01",
        b"GET /a HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/2.0\r\nHost: shop\r\n\r\n",
        b"GET shop HTTP/1.1\r\nHost: shop\r\n\r\n",
        b"CONNECT shop:80 HTTP/1.1\r\nHost: shop\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: shop\r\nContent-Length: x\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /a HTTP/1.1\r\nHost: shop\r\nRoadpass-Deadline-Ms: 1.5\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: shop\r\nRoadpass-Deadline-Ms: -1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: shop\r\nRoadpass-Deadline-Ms:\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: shop\r\nRoadpass-Deadline-Ms: " + b"9" * 5000 + b"\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: " + b"k" * 129 + b"\r\n\r\n",
    ],
    ids=lambda data: repr(data[:40]),
)
def test_malformed(bench: Bench, data: bytes) -> None:
    """What is no request, or has values that cannot be, is answered and counted as not run."""
    reply = refused(bench, data)
    assert reply.status == 400
    assert reply.header("Roadpass-Outcome") == "not-run"
    assert reply.header("Roadpass-Reason") == "bad-request"
    assert bench.outcomes() == [("", "", "not-run", "bad-request")]


@pytest.mark.parametrize("end", [b"", b"\r\n\r\n"])
def test_header_over_the_limit(end: bytes) -> None:
    """Too long a head is refused, whether it has come whole or not."""
    head = b"GET /a HTTP/1.1\r\nHost: shop\r\nX: "
    with opened(limits=CallerLimits(max_header_bytes=1000)) as bench:
        reply = refused(bench, head + b"x" * (1001 - len(head) - len(end)) + end)
        assert (reply.status, reply.header("Roadpass-Reason")) == (431, "too-large")
    with opened(limits=CallerLimits(max_header_bytes=1000)) as bench:
        fits = head + b"x" * (1000 - len(head) - 4) + b"\r\n\r\n"
        assert bench.caller().ask(fits).status == 200


@pytest.mark.parametrize(
    "data",
    [
        post(b"x" * 101),
        post(b"x" * 101, "Expect: 100-continue\r\n"),
        post(b"x" * 101, "Expect: 100-continue\r\n")[:-101],
        b"POST /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + b"x" * 101,
    ],
)
def test_body_over_the_limit(data: bytes) -> None:
    """Too long a body is refused, by its length at once, in chunks as soon as it is over."""
    with opened(limits=CallerLimits(max_body_bytes=100)) as bench:
        reply = refused(bench, data)
        assert (reply.status, reply.header("Roadpass-Reason")) == (413, "too-large")
        assert bench.outcomes() == [("", "", "not-run", "too-large")]
    with opened(limits=CallerLimits(max_body_bytes=100)) as bench:
        assert bench.caller().ask(post(b"x" * 100)).status == 200


def test_limits_are_read_for_each_request(bench: Bench) -> None:
    """A limit that changes holds for the next request of a kept connection."""
    caller = bench.caller()
    assert caller.ask(post(b"x" * 200)).status == 200
    bench.view.limits = CallerLimits(max_body_bytes=100)
    assert caller.ask(post(b"x" * 200)).status == 413


def test_head_not_whole_in_time() -> None:
    """The time counts from the first byte, however often more comes."""
    with opened(limits=CallerLimits(header_timeout_s=0.2)) as bench:
        caller = bench.caller()
        caller.send(b"GET /a HTTP/1.1\r\nX: ")
        started = time.monotonic()
        time.sleep(0.1)
        caller.send(b"x")
        reply = caller.reply()
        assert time.monotonic() - started < 1.0
        assert (reply.status, reply.header("Connection")) == (408, "close")
        assert reply.header("Roadpass-Outcome") == "not-run"
        assert caller.rest() == b""
        assert bench.requests == []


def test_body_not_whole_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A body has its own, longer time."""
    assert caller_connection.BODY_MIN_S == 10.0
    monkeypatch.setattr(caller_connection, "BODY_MIN_S", 0.3)
    with opened(limits=CallerLimits(header_timeout_s=0.05)) as bench:
        caller = bench.caller()
        started = time.monotonic()
        reply = caller.ask(post(b"abc")[:-1])
        assert time.monotonic() - started > 0.25
        assert (reply.status, reply.header("Connection")) == (408, "close")
        assert caller.rest() == b""
        assert bench.requests == []


def test_caller_that_leaves_in_the_middle(bench: Bench) -> None:
    """A request that never became whole is neither dispatched nor answered."""
    caller = bench.caller()
    caller.send(post(b"abc")[:-1])
    caller.sock.shutdown(socket.SHUT_WR)
    assert caller.rest() == b""
    assert bench.requests == []


def test_idle_connection_ends_in_silence() -> None:
    """Without a byte for the idle time a connection is closed, new or kept."""
    with opened(limits=CallerLimits(idle_timeout_s=0.1)) as bench:
        new, kept = bench.caller(), bench.caller()
        assert kept.ask(GET).status == 200
        assert new.rest() == kept.rest() == b""


# Order, and the watch


def test_pipelined_requests_are_answered_in_order(bench: Bench) -> None:
    """Requests that came together, or while another ran, are served one after the other."""
    running = threading.Event()
    go_on = threading.Event()

    def serve(request: Request) -> Served:
        if request.path == "/1":
            running.set()
            assert go_on.wait(WAIT_S)
            assert not watch_of(request).gone()
            assert not watch_of(request).gone()
        return Served(Answered(200, [], request.path.encode() + request.body))

    bench.serve = serve
    caller = bench.caller()
    caller.send(GET.replace(b"/a", b"/1") + post(b"two").replace(b"/a", b"/2") + GET[:7])
    assert running.wait(WAIT_S)
    caller.send(GET[7:] + post(b"four").replace(b"/a", b"/4")[:-2])
    time.sleep(0.02)
    go_on.set()
    assert caller.reply().body == b"/1"
    assert caller.reply().body == b"/2two"
    assert caller.reply().body == b"/a"
    assert caller.ask(b"ur").body == b"/4four"


def test_bytes_ahead_are_bounded(bench: Bench) -> None:
    """Beyond the bound the caller is watched no more; what it sent is served all the same."""
    seen = []
    body = b"x" * (2 * MAX_AHEAD_BYTES)

    def serve(request: Request) -> Served:
        watch = watch_of(request)
        if request.path == "/1":
            until(lambda: watch.gone() or not watch.watchable)
            seen.append((watch.gone(), watch.watchable))
        return Served(Answered(200, [], str(len(request.body)).encode()))

    bench.serve = serve
    caller = bench.caller()
    caller.send(GET.replace(b"/a", b"/1"))
    caller.send(post(body))
    assert caller.reply().body == b"0"
    assert caller.reply().body == str(len(body)).encode()
    assert seen == [(False, False)]


def reset(caller: Caller) -> None:
    """Close a connection so that the other end sees a reset."""
    linger = struct.pack("ii", 1, 0)
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.close()


@pytest.mark.parametrize("leave", [Caller.close, reset])
@pytest.mark.parametrize("ahead", [b"", GET])
def test_caller_that_has_left(bench: Bench, leave: Callable[[Caller], None], ahead: bytes) -> None:
    """Its leaving shows, also behind bytes of a next request, and that is not served any more."""
    seen = []
    closed: list[CallerWatch] = []

    def serve(request: Request) -> Served:
        watch = watch_of(request)
        seen.append((watch.watchable, watch.gone()))
        caller.send(ahead)
        leave(caller)
        until(watch.gone)
        seen.append((watch.watchable, watch.gone()))
        closed.append(watch)
        return Served(Answered(200, [], b"ok"))

    bench.serve = serve
    caller = bench.caller()
    caller.send(GET)
    until(lambda: len(closed) == 1 and closed[0].fileno() == -1)
    assert seen == [(True, False), (False, True)]
    assert len(bench.requests) == 1
    assert bench.active == 0


def test_nothing_is_answered_once_gone(bench: Bench) -> None:
    """A caller that closed one direction only, and was found gone, gets no answer."""

    def serve(request: Request) -> Served:
        caller.sock.shutdown(socket.SHUT_WR)
        until(watch_of(request).gone)
        return Served(Answered(200, [], b"ok"))

    bench.serve = serve
    caller = bench.caller()
    caller.send(GET)
    assert caller.rest() == b""
    assert bench.outcomes() == [("", "", "answered", "")]


def test_watch_does_not_wait(bench: Bench) -> None:
    """Looking after a quiet caller takes no time."""
    took = []

    def serve(request: Request) -> Served:
        started = time.monotonic()
        assert not watch_of(request).gone()
        took.append(time.monotonic() - started)
        return Served(Answered(200, [], b"ok"))

    bench.serve = serve
    bench.caller().ask(GET)
    assert took[0] < 0.1


# Answers


def test_answer_of_a_target(bench: Bench) -> None:
    """Its headers go on unchanged, but for those of one hop; the outcome is told."""
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
def test_answers_without_a_body(
    bench: Bench, method: str, status: int, given: str, length: str | None
) -> None:
    """They have none, keep the length that the target told, and the connection goes on."""
    bench.answer(Answered(status, [("Content-Length", given)] if given else [], b""))
    caller = bench.caller()
    caller.send(GET.replace(b"GET", method.encode()))
    reply = caller.reply(bodiless=True)
    assert (reply.status, reply.header("Content-Length")) == (status, length)
    bench.answer(Answered(200, [], b"next"))
    assert caller.ask(GET).body == b"next"


def test_own_answer_to_head(bench: Bench) -> None:
    """Its text is left out, its length told."""
    bench.answer(NotRun(Reason.NO_ROUTE))
    caller = bench.caller()
    caller.send(GET.replace(b"GET", b"HEAD"))
    reply = caller.reply(bodiless=True)
    assert (reply.status, reply.header("Content-Length")) == (404, "18")
    bench.answer(Answered(200, [], b"next"))
    assert caller.ask(GET).body == b"next"


def test_header_that_would_pass_for_another() -> None:
    """Line ends in a value cannot make a header, and what is no name is left out."""
    data = answer_bytes(200, [("X", "1\r\nY: 2"), ("a b", "3"), ("Z", "\u20ac")], b"", "GET")
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
def test_outcomes_without_an_answer(
    bench: Bench, outcome: NotRun | Unknown, status: int, reason: str, retry_after: str | None
) -> None:
    """They are told by status, headers and a short text, and counted; the connection goes on."""
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


@pytest.mark.parametrize(("ms", "told"), [(1500, "1.5"), (500, "0.5"), (2000, "2"), (7, "0.007")])
def test_answers_in_another_dialect(ms: int, told: str) -> None:
    """The own headers are left out; when to come back is told exactly."""
    with opened(PLAIN) as bench:
        caller = bench.caller()
        bench.answer(NotRun(Reason.NO_CAPACITY, ms))
        reply = caller.ask(GET)
        assert (reply.status, reply.header("Retry-After")) == (503, told)
        assert "roadpass" not in str(reply.headers).lower()
        bench.answer(Answered(200, [("Retry-After", "9")], b""))
        reply = caller.ask(GET)
        assert reply.header("Retry-After") == "9"
        assert "roadpass" not in str(reply.headers).lower()


@pytest.mark.parametrize("bad", [None, Answered(101, [], b"")])
def test_fault_in_dispatch(
    bench: Bench, caplog: pytest.LogCaptureFixture, bad: Outcome | None
) -> None:
    """The caller is told that its request may have run; the fault is logged."""

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


def test_answer_goes_out_in_one_piece(bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
    """Head and body are written together."""
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
    """Its thread is free again after the write limit."""
    assert caller_connection.WRITE_LIMIT_S == 10.0
    monkeypatch.setattr(caller_connection, "WRITE_LIMIT_S", 0.2)
    bench.answer(Answered(200, [], b"x" * 64_000_000))
    caller = bench.caller()
    caller.send(GET)
    until(lambda: len(bench.requests) == 1)
    until(lambda: bench.active == 0)
    until(lambda: watch_of(bench.requests[0]).fileno() == -1)


# Ends of connections


@pytest.mark.parametrize(
    ("version", "asked", "told"),
    [
        ("1.1", "", None),
        ("1.1", "close", "close"),
        ("1.1", "X-Some, Close", "close"),
        ("1.0", "", "close"),
        ("1.0", "keep-alive", "keep-alive"),
    ],
)
def test_what_the_caller_wants_of_its_connection(
    bench: Bench, version: str, asked: str, told: str | None
) -> None:
    """A connection is kept or closed as the caller asked, or as its version has it."""
    line = f"Connection: {asked}\r\n" if asked else ""
    request = f"GET /a HTTP/{version}\r\nHost: shop\r\n{line}\r\n".encode()
    caller = bench.caller()
    reply = caller.ask(request)
    assert (reply.status, reply.header("Connection")) == (200, told)
    if told == "close":
        assert caller.rest() == b""
    else:
        assert caller.ask(request).status == 200


def test_closing_over_unread_bytes_keeps_the_answer(bench: Bench) -> None:
    """The caller reads its answer to the end, and what it sent behind is dropped."""
    last = GET.replace(b"Host", b"Connection: close\r\nHost")
    caller = bench.caller()
    caller.send(last + GET + post(b"x" * 300_000))
    time.sleep(0.05)
    reply = caller.reply()
    assert (reply.status, reply.header("Connection")) == (200, "close")
    assert caller.rest() == b""
    assert len(bench.requests) == 1


def test_refused_body_does_not_reset_the_answer() -> None:
    """A caller that writes its whole body before it reads gets to see the refusal."""
    with opened(limits=CallerLimits(max_body_bytes=100)) as bench:
        caller = bench.caller()
        caller.send(post(b"x" * 4_000_000))
        assert caller.reply().status == 413
        assert caller.rest() == b""


def test_lingering_is_bounded(bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller that never closes its side does not hold the thread."""
    assert caller_connection.LINGER_S == 1.0
    monkeypatch.setattr(caller_connection, "LINGER_S", 0.2)
    caller = bench.caller()
    caller.ask(GET.replace(b"Host", b"Connection: close\r\nHost"))
    assert caller.rest() == b""
    until(lambda: watch_of(bench.requests[0]).fileno() == -1)


def test_idle_connections_end_when_leaving(bench: Bench) -> None:
    """Soon after the node leaves, connections that wait for a request are closed."""
    caller = bench.caller()
    assert caller.ask(GET).header("Connection") is None
    bench.view.leaving = True
    started = time.monotonic()
    assert caller.rest() == b""
    assert time.monotonic() - started < 1.0


def test_requests_that_come_when_leaving(bench: Bench) -> None:
    """They are served, also one that was begun before, and their connections end."""
    begun, running = bench.caller(), bench.caller()
    go_on = threading.Event()

    def serve(request: Request) -> Served:
        assert go_on.wait(WAIT_S)
        return Served(Answered(200, [], b"ok"))

    bench.serve = serve
    begun.send(GET[:10])
    running.send(GET)
    until(lambda: bench.active == 1)
    time.sleep(0.02)
    bench.view.leaving = True
    new = bench.caller()
    new.send(GET)
    until(lambda: bench.active == 2)
    time.sleep(0.5)
    begun.send(GET[10:])
    until(lambda: bench.active == 3)
    go_on.set()
    for caller in (begun, running, new):
        reply = caller.reply()
        assert (reply.status, reply.header("Connection")) == (200, "close")
        assert caller.rest() == b""


class _Starved(caller_connection.CallerConnection):
    """A connection whose thread does not come to read."""

    free = threading.Event()

    def run(self) -> None:
        self.free.wait(WAIT_S)
        super().run()


def test_what_callers_sent_and_nobody_read_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that gets no processor time must not take itself for idle."""
    monkeypatch.setattr(ingress, "CallerConnection", _Starved)
    with opened() as bench:

        def unread() -> int:
            value: int = bench._proxy.unread.get()
            return value

        caller = bench.caller()
        until(lambda: unread() == 0)
        caller.send(GET)
        until(lambda: unread() == 1)
        assert bench.active == 0
        _Starved.free.set()
        assert caller.reply().status == 200
        until(lambda: unread() == 0)

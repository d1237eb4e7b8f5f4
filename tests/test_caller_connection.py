"""Requests of callers over real sockets: parsing, malformed input, limits and disconnects."""

import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from roadpass import caller_connection, clock
from roadpass.caller_limits import CallerLimits
from roadpass.disconnect_watch import MAX_AHEAD_BYTES
from roadpass.fingerprint import fingerprint
from roadpass.outcome import Answered
from roadpass.request import CallerWatch, Request, Served
from tests.calling import GET, PLAIN, WAIT_S, Bench, Caller, Reply, opened, post, until, watch_of


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run an ingress with the default header names."""
    with opened() as made:
        yield made


def test_request_as_it_is_dispatched(bench: Bench) -> None:
    """Order, case and duplicates of headers are kept; hop-by-hop headers are removed."""
    before = clock.now()
    bench.caller().ask(
        b"POST /a/b%20c?x=1&y HTTP/1.1\r\nX-One: 1\r\nHost: shop:80\r\nX-two: a\r\n"
        b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nProxy-Thing: 1\r\n"
        b"TE: trailers\r\nTrailer: X\r\nUpgrade: y\r\nX-two: b\r\nContent-Length: 3\r\n"
        b"Roadpass-Deadline-Ms: 2500\r\nRoadpass-Caller: me\r\nRoadpass-Request-Id: 7\r\n"
        b"Roadpass-Repeat: TRUE\r\nIdempotency-Key: k1\r\n\r\nabc"
    )
    after = clock.now()
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
    """Its headers are read and removed; the prefix `Roadpass-` has no meaning there."""
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


def test_a_fingerprint_depends_on_the_caller_but_not_on_the_request_id(bench: Bench) -> None:
    """A caller that does not name itself is distinguished by its credential."""
    head = b"GET /a HTTP/1.1\r\nHost: shop\r\nRoadpass-Request-Id: %d\r\n%s\r\n"
    who = (b"", b"Roadpass-Caller: a\r\n", b"Authorization: b\r\n")
    for number, name in enumerate((*who, *who)):
        bench.caller().ask(head % (number, name))
    prints = [request.fingerprint for request in bench.requests]
    assert prints[0] == fingerprint("shop", "GET", "/a", "", b"")
    assert prints[:3] == prints[3:]
    assert len(set(prints)) == 3


def test_deadline_counts_from_the_head(bench: Bench) -> None:
    """The time for receiving the body counts towards the caller's deadline."""
    caller = bench.caller()
    whole = post(b"abc", "Roadpass-Deadline-Ms: 1000\r\n")
    caller.send(whole[:-3])
    until(lambda: bench.active == 1)
    read_by = clock.now()
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
    """The absolute form determines the host, also in the `Host` header for the target."""
    bench.caller().ask(f"OPTIONS {target} HTTP/1.1\r\nHost: shop\r\n\r\n".encode())
    (request,) = bench.requests
    assert (request.host, request.path) == (host, path)
    assert ("Host", host) in request.headers


def test_chunked_body(bench: Bench) -> None:
    """A chunked body is reassembled however it arrives; chunk and trailer headers are dropped."""
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
    """A caller that waits for `100 Continue` before sending its body receives it once."""
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


def test_no_100_continue_when_the_body_has_arrived(bench: Bench) -> None:
    """No interim response is sent if the body has already arrived."""
    assert bench.caller().ask(post(b"abcd", "Expect: 100-continue\r\n")).status == 200


# Refusals


def refused(bench: Bench, data: bytes) -> Reply:
    """Send a request that is refused; check that the connection ends, return the response."""
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
    """Invalid requests and header values are refused with 400 and counted as not run."""
    reply = refused(bench, data)
    assert reply.status == 400
    assert reply.header("Roadpass-Outcome") == "not-run"
    assert reply.header("Roadpass-Reason") == "bad-request"
    assert bench.outcomes() == [("", "", "not-run", "bad-request")]


@pytest.mark.parametrize("end", [b"", b"\r\n\r\n"])
def test_header_over_the_limit(end: bytes) -> None:
    """A head that is too long is refused, whether or not it has arrived completely."""
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
    """A body that is too long is refused: by its length at once, in chunks once it is exceeded."""
    with opened(limits=CallerLimits(max_body_bytes=100)) as bench:
        reply = refused(bench, data)
        assert (reply.status, reply.header("Roadpass-Reason")) == (413, "too-large")
        assert bench.outcomes() == [("", "", "not-run", "too-large")]
    with opened(limits=CallerLimits(max_body_bytes=100)) as bench:
        assert bench.caller().ask(post(b"x" * 100)).status == 200


def test_node_without_a_configuration_calls_nothing_too_long() -> None:
    """Guards against the failure "a starting node": it said 413, and no caller asks again then."""
    for data in (post(b"x" * 101), b"GET /a HTTP/1.1\r\nHost: shop\r\nX: " + b"x" * 300):
        with opened(limits=CallerLimits(max_body_bytes=100, max_header_bytes=200)) as bench:
            bench.view.ready = False
            reply = refused(bench, data)
            assert (reply.status, reply.header("Roadpass-Reason")) == (503, "not-ready")
            assert reply.header("Retry-After") is not None


def test_limits_are_read_for_each_request(bench: Bench) -> None:
    """A changed limit applies to the next request on an open connection."""
    caller = bench.caller()
    assert caller.ask(post(b"x" * 200)).status == 200
    bench.view.limits = CallerLimits(max_body_bytes=100)
    assert caller.ask(post(b"x" * 200)).status == 413


def test_head_timeout() -> None:
    """The timeout counts from the first byte, even if more data arrives."""
    with opened(limits=CallerLimits(header_timeout_s=0.2)) as bench:
        caller = bench.caller()
        caller.send(b"GET /a HTTP/1.1\r\nX: ")
        started = clock.now()
        time.sleep(0.1)
        caller.send(b"x")
        reply = caller.reply()
        assert clock.now() - started < 1.0
        assert (reply.status, reply.header("Connection")) == (408, "close")
        assert reply.header("Roadpass-Outcome") == "not-run"
        assert caller.rest() == b""
        assert bench.requests == []


def test_body_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """A body has its own, longer timeout."""
    assert caller_connection.BODY_MIN_S == 10.0
    monkeypatch.setattr(caller_connection, "BODY_MIN_S", 0.3)
    with opened(limits=CallerLimits(header_timeout_s=0.05)) as bench:
        caller = bench.caller()
        started = clock.now()
        reply = caller.ask(post(b"abc")[:-1])
        assert clock.now() - started > 0.25
        assert (reply.status, reply.header("Connection")) == (408, "close")
        assert caller.rest() == b""
        assert bench.requests == []


def test_caller_that_disconnects_during_a_request(bench: Bench) -> None:
    """An incomplete request is neither dispatched nor answered."""
    caller = bench.caller()
    caller.send(post(b"abc")[:-1])
    caller.sock.shutdown(socket.SHUT_WR)
    assert caller.rest() == b""
    assert bench.requests == []


def test_idle_connection_is_closed_without_a_response() -> None:
    """A connection without data for the idle timeout is closed, whether new or reused."""
    with opened(limits=CallerLimits(idle_timeout_s=0.1)) as bench:
        new, kept = bench.caller(), bench.caller()
        assert kept.ask(GET).status == 200
        assert new.rest() == kept.rest() == b""


# Pipelining and detection of disconnects


def test_pipelined_requests_are_answered_in_order(bench: Bench) -> None:
    """Requests that arrive together, or while another runs, are handled one after the other."""
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


def test_buffered_bytes_are_limited(bench: Bench) -> None:
    """Beyond the limit, disconnects are no longer detected; the requests are still handled."""
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
    """Close a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.close()


@pytest.mark.parametrize("leave", [Caller.close, reset])
@pytest.mark.parametrize("ahead", [b"", GET])
def test_caller_that_has_disconnected(
    bench: Bench, leave: Callable[[Caller], None], ahead: bytes
) -> None:
    """The disconnect is detected, even after a pipelined request, which is then not handled."""
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


def test_no_response_after_a_disconnect(bench: Bench) -> None:
    """A caller that closed its sending side and was found disconnected gets no response."""

    def serve(request: Request) -> Served:
        caller.sock.shutdown(socket.SHUT_WR)
        until(watch_of(request).gone)
        return Served(Answered(200, [], b"ok"))

    bench.serve = serve
    caller = bench.caller()
    caller.send(GET)
    assert caller.rest() == b""
    assert bench.outcomes() == [("", "", "answered", "")]


def test_disconnect_check_does_not_block(bench: Bench) -> None:
    """Checking a caller that sends nothing returns at once."""
    took = []

    def serve(request: Request) -> Served:
        started = clock.now()
        assert not watch_of(request).gone()
        took.append(clock.now() - started)
        return Served(Answered(200, [], b"ok"))

    bench.serve = serve
    bench.caller().ask(GET)
    assert took[0] < 0.1

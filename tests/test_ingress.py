"""The ingress: its listening socket, many connections, and shutdown."""

import logging
import os
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from roadpass import caller_connection, clock, ingress
from roadpass.outcome import Answered
from roadpass.request import Request, Served
from roadpass.shutdown import ANSWER_MIN_S
from tests.calling import (
    GET,
    WAIT_S,
    Bench,
    opened,
    post,
    until,
    watch_of,
)


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run an ingress with the default dialect."""
    with opened() as made:
        yield made


def test_backlog_and_stack_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """The backlog is long and stacks are small; other threads keep the default size."""
    backlogs, stacks = [], []
    create, stack_size = socket.create_server, threading.stack_size

    def record_create(*args: Any, backlog: int, **named: Any) -> socket.socket:
        backlogs.append(backlog)
        return create(*args, backlog=backlog, **named)

    def record_stack_size(size: int = 0) -> int:
        stacks.append(size)
        return stack_size(size)

    default = stack_size()
    monkeypatch.setattr("roadpass.ingress.socket.create_server", record_create)
    monkeypatch.setattr("roadpass.ingress.threading.stack_size", record_stack_size)
    with opened() as bench:
        assert bench.caller().ask(GET).status == 200
    assert backlogs == [1024]
    assert stacks == [256 * 1024, default]


def test_address_can_be_reused_at_once() -> None:
    """Connections that the ingress closed do not keep the next ingress from listening."""
    with opened() as bench:
        caller = bench.caller()
        caller.ask(b"GET /a HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n")
        assert caller.rest() == b""
        port = bench.address[1]
    with opened(port=port) as bench:
        assert bench.caller().ask(GET).status == 200


def test_stop_ends_listening_and_idle_connections() -> None:
    """After the stop no connection is accepted, and idle ones are closed."""
    with opened() as bench:
        caller = bench.caller()
        caller.ask(GET)
        bench._ref.stop()
        assert caller.rest() == b""
        with pytest.raises(ConnectionRefusedError):
            bench.caller()


def test_answers_are_sent_without_delay(bench: Bench) -> None:
    """Nagle's algorithm is off on the caller's socket."""
    delays = []

    def check_delay(request: Request) -> Served:
        with socket.socket(fileno=os.dup(watch_of(request).fileno())) as sock:
            delays.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        return Served(Answered(200, [], b""))

    bench.serve = check_delay
    bench.caller().ask(GET)
    assert delays == [1]


def test_too_many_connections(
    bench: Bench, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """A connection above the limit is closed and logged; below it, new ones are accepted again."""
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


def test_hanging_requests_do_not_block_others(bench: Bench) -> None:
    """Each connection has its own thread; `active` counts the requests in progress."""
    resume = threading.Event()

    def hang(request: Request) -> Served:
        if request.path == "/hang":
            assert resume.wait(WAIT_S)
        return Served(Answered(200, [], b""))

    bench.serve = hang
    callers = [bench.caller() for _ in range(100)]
    for caller in callers:
        caller.send(GET.replace(b"/a", b"/hang"))
    until(lambda: bench.active == 100)
    assert bench.caller().ask(GET).status == 200
    resume.set()
    assert all(caller.reply().status == 200 for caller in callers)
    until(lambda: bench.active == 0)


def test_idle_connections_end_when_leaving(bench: Bench) -> None:
    """Soon after the node starts to leave, connections without a request are closed."""
    caller = bench.caller()
    assert caller.ask(GET).header("Connection") is None
    bench.view.leaving = True
    started = clock.now()
    assert caller.rest() == b""
    assert clock.now() - started < 1.0


def test_requests_received_while_leaving(bench: Bench) -> None:
    """They are served, also one that was partly received before; then the connection closes."""
    partial, running = bench.caller(), bench.caller()
    resume = threading.Event()

    def serve(request: Request) -> Served:
        assert resume.wait(WAIT_S)
        return Served(Answered(200, [], b"ok"))

    bench.serve = serve
    partial.send(GET[:10])
    running.send(GET)
    until(lambda: bench.active == 1)
    time.sleep(0.02)
    bench.view.leaving = True
    new = bench.caller()
    new.send(GET)
    until(lambda: bench.active == 2)
    time.sleep(0.5)
    partial.send(GET[10:])
    until(lambda: bench.active == 3)
    resume.set()
    for caller in (partial, running, new):
        reply = caller.reply()
        assert (reply.status, reply.header("Connection")) == (200, "close")
        assert caller.rest() == b""


def test_a_body_that_is_incomplete_when_the_node_ends_is_refused(bench: Bench) -> None:
    """Its request has not run. Otherwise a slow caller would only see a closed connection."""
    caller = bench.caller()
    caller.send(post(b"x" * 50)[:-20])
    until(lambda: bench.active == 1)
    bench.view.leaving = True
    bench.view.shutdown.at = clock.now() + ANSWER_MIN_S + 0.2
    reply = caller.reply()
    assert (reply.status, reply.header("Connection")) == (503, "close")
    assert clock.now() < bench.view.shutdown.at - 0.2
    assert not bench.requests


def test_pipelined_requests_are_served_while_leaving(bench: Bench) -> None:
    """Only the answer to the last one tells the caller that the connection closes."""
    resume = threading.Event()

    def serve(request: Request) -> Served:
        assert resume.wait(WAIT_S)
        return Served(Answered(200, [], b"ok"))

    bench.serve = serve
    caller = bench.caller()
    caller.send(GET)
    until(lambda: bench.active == 1)
    bench.view.leaving = True
    caller.send(GET + GET)
    time.sleep(0.05)
    resume.set()
    replies = [caller.reply() for _ in range(3)]
    assert [reply.status for reply in replies] == [200, 200, 200]
    assert [reply.header("Connection") for reply in replies] == [None, None, "close"]
    assert caller.rest() == b""


class _Starved(caller_connection.CallerConnection):
    """A connection whose thread gets no processor time to read."""

    free = threading.Event()

    def run(self) -> None:
        self.free.wait(WAIT_S)
        super().run()


def test_connections_with_unread_input_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that gets no processor time must not consider itself idle."""
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

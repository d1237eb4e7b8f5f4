"""An ingress with a scripted dispatcher, and callers that use it over real sockets."""

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from roadpass import clock
from roadpass.byte_gate import ByteGate
from roadpass.caller_limits import CallerLimits
from roadpass.dialect import OWN, Dialect
from roadpass.ingress import Ingress
from roadpass.metric import Metrics
from roadpass.outcome import Answered, Outcome
from roadpass.request import CallerWatch, Request, Served
from roadpass.settings import Ports, Settings
from roadpass.view import View

WAIT_S = 5.0
"""Timeout for conditions that normally hold at once."""
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
    """A view with limits that the test sets."""

    limits: CallerLimits


class Reply(NamedTuple):
    """A response as the caller receives it."""

    status: int
    phrase: str
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the value of a header, `None` if it is missing; fail if it occurs twice."""
        found = [value for given, value in self.headers if given.lower() == name.lower()]
        assert len(found) <= 1, self.headers
        return found[0] if found else None


class Caller:
    """The caller's end of a connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=WAIT_S)
        self._file = self.sock.makefile("rb")

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def reply(self, *, bodiless: bool = False) -> Reply:
        """Read one response; with `bodiless`, none of its body."""
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
        """Send a request and read its response."""
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
    """An ingress with a scripted dispatcher."""

    def __init__(
        self,
        dialect: Dialect,
        limits: CallerLimits,
        port: int = 0,
        gate: ByteGate | None = None,
    ) -> None:
        self.requests: list[Request] = []
        self.serve: Dispatch = lambda _: Served(Answered(200, [], b"ok"))
        self.view = LimitedView("vm-1", "hall-1", "region-1")
        self.view.limits, self.view.ready = limits, True
        self.metrics = Metrics()
        settings = Settings(
            "vm-1", "hall-1", "region-1", "127.0.0.1", "127.0.0.1", Ports(port, 0, 0, 0), ""
        )
        self._callers: list[Caller] = []
        self._ref: Any = Ingress.start(
            settings, self, self.view, self.metrics, dialect=dialect, origin="shop", gate=gate
        )
        self._proxy: Any = self._ref.proxy()
        self.address: tuple[str, int] = self._proxy.address.get()

    @property
    def active(self) -> int:
        value: int = self._proxy.active.get()
        return value

    def dispatch(self, request: Request) -> Served:
        """Record a request and serve it as the test has set."""
        self.requests.append(request)
        return self.serve(request)

    def answer(self, outcome: Outcome) -> None:
        """Return this outcome for every request from now on."""
        self.serve = lambda _: Served(outcome, "shop", "counter")

    def caller(self) -> Caller:
        """Open a connection; `close` closes it."""
        caller = Caller(self.address)
        self._callers.append(caller)
        return caller

    def outcomes(self) -> list[tuple[str, str, str, str]]:
        """Return the counted outcomes; fail if one was counted more than once."""
        counted = self.metrics.summary()["outcomes"]
        assert all(each["count"] == 1 for each in counted)
        return [(e["service"], e["traffic_class"], e["outcome"], e["reason"]) for e in counted]

    def close(self) -> None:
        for caller in self._callers:
            caller.close()
        self._ref.stop()


@contextmanager
def opened(
    dialect: Dialect = OWN,
    limits: CallerLimits | None = None,
    port: int = 0,
    gate: ByteGate | None = None,
) -> Iterator[Bench]:
    """Run an ingress until the context ends."""
    bench = Bench(dialect, limits or CallerLimits(), port, gate)
    try:
        yield bench
    finally:
        bench.close()


def until(done: Callable[[], bool]) -> None:
    """Wait until `done` returns true; fail after `WAIT_S`."""
    limit = clock.now() + WAIT_S
    while not done():
        assert clock.now() < limit, "condition not met in time"
        time.sleep(0.005)


def post(body: bytes, headers: str = "") -> bytes:
    """Return a POST request with this body."""
    head = f"POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


def watch_of(request: Request) -> CallerWatch:
    """Return the watch on a request's caller; fail if it has none."""
    assert request.watch is not None
    return request.watch

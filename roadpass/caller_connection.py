"""One caller's connection: its requests are read one by one, dispatched, and answered in order."""

import logging
import re
import socket
import threading
import time
from collections.abc import Callable, Iterable
from email.utils import formatdate
from functools import lru_cache
from http import HTTPStatus
from typing import NamedTuple

import h11

from roadpass.dialect import OWN, Dialect
from roadpass.metric import Metrics, OutcomeKey
from roadpass.outcome import (
    OUTCOME_HEADER,
    Answered,
    Headers,
    NotRun,
    Outcome,
    Reason,
    Unknown,
    caller_headers,
    status_of,
)
from roadpass.request import Request, Served

MAX_AHEAD_BYTES = 256 * 1024
"""Bytes kept of requests that come before their turn; bounds the memory of a connection."""
READ_BYTES = 64 * 1024
"""Bytes asked for by one read; large enough that most requests come in one."""
BODY_MIN_S = 10.0
"""Seconds that a body may take at least, so that a short header limit spares slow uploads."""
WRITE_LIMIT_S = 10.0
"""Seconds to write one answer; a caller that does not read must not hold a thread for ever."""
LINGER_S = 1.0
"""Seconds to read on after the last answer; closing over unread bytes would reset it away."""
IDLE_STEP_S = 0.4
"""Seconds between looks at whether the node is leaving, while a connection is idle."""
READ_MIN_S = 0.001
"""Seconds a read waits at least; zero would mean not to wait at all and is an error here."""
MAX_KEY = 128
"""Characters of an idempotency key; it is kept by sidecars and told between nodes."""
MAX_DEADLINE_DIGITS = 15
"""Digits of a deadline in milliseconds; longer ones cannot be meant."""

REPEAT_HEADER = "Roadpass-Repeat"
KEY_HEADER = "Idempotency-Key"

_HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "expect")
)
_HTTP_VERSIONS = (b"1.0", b"1.1")
_BODILESS = (204, 304)
_ABSOLUTE = re.compile(r"https?://(?:[^/?#@]*@)?([^/?#@]*)(.*)", re.IGNORECASE)
_TOKEN = re.compile(r"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")
_BREAKS = re.compile(r"[\r\n\0]")

_log = logging.getLogger("roadpass.ingress")


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Args:
        max_header_bytes: Of the request line and all headers.
        max_body_bytes: Of a body, which is held in memory.
        header_timeout_s: Seconds from the first byte of a request to the end of its headers.
        idle_timeout_s: Seconds that a connection may wait for a request's first byte.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class ActiveCount:
    """Counts what is under way, by any thread; entered once for each."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    @property
    def value(self) -> int:
        """How many are under way."""
        return self._count

    def add(self, change: int) -> None:
        """Count that one began or ended."""
        with self._lock:
            self._count += change

    def __enter__(self) -> None:
        self.add(1)

    def __exit__(self, *_: object) -> None:
        self.add(-1)


class Desk(NamedTuple):
    """What all connections of an ingress work with.

    Args:
        dispatch: Sees a request to its outcome.
        limits: Returns the limits in force.
        leaving: Returns whether connections should end.
        metrics: Counts outcomes.
        active: Counts requests that are being answered.
        dialect: Header names towards callers.
        caller_header: Header that names the caller.
        origin: Service of the VM at which requests begin, empty if unknown.
    """

    dispatch: Callable[[Request], Served]
    limits: Callable[[], CallerLimits]
    leaving: Callable[[], bool]
    metrics: Metrics
    active: ActiveCount
    dialect: Dialect = OWN
    caller_header: str = ""
    origin: str = ""


class SocketWatch:
    """Tells whether a caller has left; keeps what it sends in the meantime for later.

    Args:
        sock: The caller's, not blocking.
        codec: Takes in the bytes that come.
    """

    def __init__(self, sock: socket.socket, codec: h11.Connection) -> None:
        self._sock = sock
        self._codec = codec
        self._ahead = len(codec.trailing_data[0])
        self._gone = False

    @property
    def watchable(self) -> bool:
        """Whether polling `fileno` for input can still tell anything new."""
        return not self._gone and self._ahead < MAX_AHEAD_BYTES

    @property
    def was_gone(self) -> bool:
        """Whether the caller was found to have closed."""
        return self._gone

    def fileno(self) -> int:
        """Return the descriptor of the caller's connection."""
        return self._sock.fileno()

    def gone(self) -> bool:
        """Take in what has come, without waiting, and tell whether the caller has closed."""
        while self.watchable:
            try:
                data = self._sock.recv(min(READ_BYTES, MAX_AHEAD_BYTES - self._ahead))
            except BlockingIOError:
                break
            except OSError:
                data = b""
            if data:
                self._ahead += len(data)
                self._codec.receive_data(data)
            else:
                self._gone = True
        return self._gone


class CallerConnection:
    """Answers the requests of one connection in the thread that calls `run`.

    Args:
        sock: The caller's; closed at the end.
        remote: IP number of the caller.
        desk: What to work with.
    """

    def __init__(self, sock: socket.socket, remote: str, desk: Desk) -> None:
        self._sock = sock
        self._remote = remote
        self._desk = desk
        self._limits = CallerLimits()
        self._codec = h11.Connection(h11.SERVER)
        self._ahead = b""

    def run(self) -> None:
        """Answer requests until the caller or the node wants no more of them."""
        try:
            while self._serve_next():
                pass
            self._linger()
        except _GoneError:
            pass
        except Exception:
            _log.exception("connection of %s failed", self._remote)
        finally:
            self._sock.close()

    def _serve_next(self) -> bool:
        """Serve one request; return whether the connection is kept."""
        if not self._ahead:
            self._ahead = self._wait_for_byte()
        since = time.monotonic()
        try:
            head = self._read_head(since)
        except _RefusedError as refused:
            self._refuse(refused, "", since)
            return False
        with self._desk.active:
            return self._serve(head)

    def _serve(self, head: "_Head") -> bool:
        try:
            request = self._request(head)
        except _RefusedError as refused:
            self._refuse(refused, head.method, head.read_at)
            return False
        self._sock.settimeout(0)
        watch = SocketWatch(self._sock, self._codec)
        answer, kept = self._dispatch(request._replace(watch=watch), head)
        if watch.was_gone:
            raise _GoneError
        self._write(answer)
        self._ahead = self._codec.trailing_data[0]
        return kept

    def _dispatch(self, request: Request, head: "_Head") -> tuple[bytes, bool]:
        """Return the answer, and whether the connection is kept after it."""
        try:
            served = self._desk.dispatch(request)
            kept = head.keeps and not self._desk.leaving()
            connection = _connection(kept=kept, old=head.is_old)
            answer = self._answer(served.outcome, head.method, connection)
        except Exception:
            _log.exception("a request of %s failed", self._remote)
            self._count(OutcomeKey("", "", "unknown", "internal-error"), head.read_at)
            headers = [(OUTCOME_HEADER, "unknown")] if self._desk.dialect.own_prefix else []
            return own_answer(502, headers, "unknown: internal-error\n", head.method), False
        self._count(_key(served), head.read_at)
        return answer, kept

    def _answer(self, outcome: Outcome, method: str, connection: str) -> bytes:
        headers = outcome_headers(outcome, self._desk.dialect)
        match outcome:
            case Answered(status=status, headers=given, body=body):
                return answer_bytes(status, [*given, *headers], body, method, connection)
            case NotRun() | Unknown():
                text = _text(outcome)
                return own_answer(status_of(outcome), headers, text, method, connection)

    def _refuse(self, refused: "_RefusedError", method: str, since: float) -> None:
        outcome = NotRun(refused.reason)
        self._count(_key(Served(outcome)), since)
        headers = outcome_headers(outcome, self._desk.dialect)
        self._write(own_answer(refused.status, headers, _text(outcome), method))

    def _count(self, key: OutcomeKey, since: float) -> None:
        self._desk.metrics.record(key, time.monotonic() - since)

    def _wait_for_byte(self) -> bytes:
        """Wait for a request to begin; an idle connection ends in silence."""
        since = time.monotonic()
        while True:
            left_s = since + self._desk.limits().idle_timeout_s - time.monotonic()
            data = self._receive(min(IDLE_STEP_S, left_s))
            if data is not None:
                return data
            if left_s <= IDLE_STEP_S or self._desk.leaving():
                raise _GoneError

    def _read_head(self, since: float) -> "_Head":
        self._limits = self._desk.limits()
        max_bytes = self._limits.max_header_bytes
        self._codec = h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)
        self._codec.receive_data(self._ahead)
        fed = len(self._ahead)
        while not isinstance(event := self._event(), h11.Request):
            fed += self._feed(since + self._limits.header_timeout_s)
        if fed - len(self._codec.trailing_data[0]) > max_bytes:
            raise _RefusedError(431, Reason.TOO_LARGE)
        if event.http_version not in _HTTP_VERSIONS:
            raise _RefusedError(400, Reason.BAD_REQUEST)
        return _Head.from_event(event, time.monotonic())

    def _read_body(self, head: "_Head") -> bytes:
        max_bytes = self._limits.max_body_bytes
        if int(head.header("Content-Length") or 0) > max_bytes:
            raise _RefusedError(413, Reason.TOO_LARGE)
        until = head.read_at + max(self._limits.header_timeout_s, BODY_MIN_S)
        body = bytearray()
        while not isinstance(event := self._event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > max_bytes:
                    raise _RefusedError(413, Reason.TOO_LARGE)
                continue
            if self._codec.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                self._write(self._codec.send(go_on))
            self._feed(until)
        return bytes(body)

    def _event(self) -> object:
        try:
            return self._codec.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                raise _RefusedError(431, Reason.TOO_LARGE) from error
            raise _RefusedError(400, Reason.BAD_REQUEST) from error

    def _feed(self, until: float) -> int:
        """Give the codec what comes; return how many bytes came."""
        left_s = until - time.monotonic()
        data = self._receive(left_s) if left_s > 0 else None
        if data is None:
            raise _RefusedError(408, Reason.BAD_REQUEST)
        self._codec.receive_data(data)
        return len(data)

    def _receive(self, wait_s: float) -> bytes | None:
        """Return what comes next, `None` if that is nothing in time."""
        try:
            self._sock.settimeout(max(wait_s, READ_MIN_S))
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return None
        except OSError as error:
            raise _GoneError from error
        if not data:
            raise _GoneError
        return data

    def _write(self, data: bytes) -> None:
        try:
            self._sock.settimeout(WRITE_LIMIT_S)
            self._sock.sendall(data)
        except OSError as error:
            _log.info("%s did not take its answer: %s", self._remote, error)
            raise _GoneError from error

    def _linger(self) -> None:
        """Say that no more will come, and drop what the caller still sends for a while."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise _GoneError from error
        until = time.monotonic() + LINGER_S
        while (left_s := until - time.monotonic()) > 0:
            self._receive(left_s)

    def _request(self, head: "_Head") -> Request:
        """Read the rest of a request."""
        dialect = self._desk.dialect
        host, path = head.where()
        deadline = head.deadline(dialect.deadline)
        key = head.header(KEY_HEADER)
        if len(key) > MAX_KEY:
            raise _RefusedError(400, Reason.BAD_REQUEST)
        return Request(
            host=host,
            method=head.method,
            path=path,
            headers=self._forwarded(head, host),
            body=self._read_body(head),
            caller=head.header(self._desk.caller_header) or self._remote,
            deadline=deadline,
            key=key,
            repeat=head.header(REPEAT_HEADER).lower() in ("1", "true"),
            id=head.header(dialect.request_id) if dialect.caller_sets_id else "",
            origin=self._desk.origin,
        )

    def _forwarded(self, head: "_Head", host: str) -> Headers:
        dialect = self._desk.dialect
        dropped = _dropped_names(dialect)
        headers = [
            (name, host if name.lower() == "host" else value)
            for name, value in end_to_end(head.headers)
            if name.lower() not in dropped
            and not (dialect.own_prefix and name.lower().startswith(dialect.own_prefix))
        ]
        if dialect.own_prefix:
            headers.append(("X-Forwarded-For", self._remote))
        return headers


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are not meant for one connection only."""
    hop = _HOP_BY_HOP | (_connection_tokens(headers) - {"host"})
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in hop and not name.lower().startswith("proxy-")
    ]


def outcome_headers(outcome: Outcome, dialect: Dialect) -> Headers:
    """Return the headers that tell an outcome in a dialect."""
    headers = caller_headers(outcome)
    if dialect.exact_retry_after and isinstance(outcome, NotRun):
        exact = f"{outcome.retry_after_ms / 1000:.3f}".rstrip("0").rstrip(".")
        headers = [(name, exact if name == "Retry-After" else value) for name, value in headers]
    if not dialect.own_prefix:
        headers = [(n, v) for n, v in headers if not n.lower().startswith(OWN.own_prefix)]
    return headers


def own_answer(
    status: int, headers: Headers, text: str, method: str, connection: str = "close"
) -> bytes:
    """Return an answer that the node gives by itself."""
    with_type = [*headers, ("Content-Type", "text/plain")]
    return answer_bytes(status, with_type, text.encode(), method, connection)


def answer_bytes(
    status: int, headers: Headers, body: bytes, method: str, connection: str = ""
) -> bytes:
    """Return a whole answer as it goes to the caller.

    Args:
        status: From 200 to 599.
        headers: Those for one connection only are left out.
        body: Left out where HTTP wants none.
        method: Of the request, empty if it could not be read.
        connection: Value of the `Connection` header, empty for none.

    Raises:
        ValueError: The status is not one of a final answer.
    """
    if not 200 <= status <= 599:
        raise ValueError(f"status {status} ends no request")
    bodiless = method == "HEAD" or status in _BODILESS
    lines = [f"HTTP/1.1 {status} {_phrase(status)}"]
    lines += _lines(_once(end_to_end(headers)))
    length = _length(status, headers, body, bodiless=bodiless)
    if length:
        lines.append(f"Content-Length: {length}")
    if not any(name.lower() == "date" for name, _ in headers):
        lines.append(f"Date: {_date(int(time.time()))}")
    if connection:
        lines.append(f"Connection: {connection}")
    head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
    return head if bodiless else head + body


class _GoneError(Exception):
    """The connection ends without another word."""


class _RefusedError(Exception):
    """A request that is answered without being dispatched; the connection ends after it."""

    def __init__(self, status: int, reason: Reason) -> None:
        super().__init__(status)
        self.status = status
        self.reason = reason


class _Head(NamedTuple):
    """The request line and headers; `read_at` is in monotonic seconds."""

    method: str
    target: str
    headers: Headers
    is_old: bool
    read_at: float

    @classmethod
    def from_event(cls, event: h11.Request, read_at: float) -> "_Head":
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        ]
        is_old = event.http_version == b"1.0"
        return cls(event.method.decode(), event.target.decode(), headers, is_old, read_at)

    @property
    def keeps(self) -> bool:
        """Whether the caller wants the connection to be kept."""
        tokens = _connection_tokens(self.headers)
        return "close" not in tokens and (not self.is_old or "keep-alive" in tokens)

    def header(self, name: str) -> str:
        """Return a header, empty if it is missing."""
        wanted = name.lower()
        return ", ".join(value for given, value in self.headers if given.lower() == wanted)

    def where(self) -> tuple[str, str]:
        """Return host and path with query."""
        if found := _ABSOLUTE.fullmatch(self.target):
            host, path = found.groups()
            return host, path if path.startswith("/") else f"/{path}"
        if not self.target.startswith("/") and self.target != "*":
            raise _RefusedError(400, Reason.BAD_REQUEST)
        return self.header("Host"), self.target

    def deadline(self, name: str) -> float | None:
        """Return the caller's deadline in monotonic seconds, `None` for none."""
        wanted = self.header(name)
        if not any(given.lower() == name.lower() for given, _ in self.headers):
            return None
        if not wanted.isascii() or not wanted.isdigit() or len(wanted) > MAX_DEADLINE_DIGITS:
            raise _RefusedError(400, Reason.BAD_REQUEST)
        return self.read_at + int(wanted) / 1000.0


def _connection_tokens(headers: Headers) -> set[str]:
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }


@lru_cache(maxsize=4)
def _dropped_names(dialect: Dialect) -> frozenset[str]:
    """Return the headers of callers that end here, in lower case."""
    names = ["Content-Length", dialect.deadline, dialect.origin_service, dialect.expected_instance]
    if dialect.caller_sets_id:
        names.append(dialect.request_id)
    return frozenset(name.lower() for name in names)


def _connection(*, kept: bool, old: bool) -> str:
    if not kept:
        return "close"
    return "keep-alive" if old else ""


def _once(headers: Headers) -> Headers:
    """Return headers without a length, which is made anew, and with one date at most."""
    dates = [header for header in headers if header[0].lower() == "date"]
    others = [h for h in headers if h[0].lower() not in ("date", "content-length")]
    return [*others, *dates[:1]]


def _lines(headers: Headers) -> Iterable[str]:
    """Return header lines; what could pass for another line is made harmless."""
    return (f"{n}: {_BREAKS.sub(' ', v)}" for n, v in headers if _TOKEN.fullmatch(n))


def _length(status: int, headers: Headers, body: bytes, *, bodiless: bool) -> str:
    """Return the length to tell; one without a body keeps what the target said of it."""
    if status == 204:
        return ""
    if not bodiless or body:
        return str(len(body))
    given = [value for name, value in headers if name.lower() == "content-length"]
    return given[0] if given and given[0].isascii() and given[0].isdigit() else ""


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"


@lru_cache(maxsize=2)
def _date(second: int) -> str:
    """Return the Date header's value; made once a second, not once an answer."""
    return formatdate(second, usegmt=True)


def _key(served: Served) -> OutcomeKey:
    match served.outcome:
        case Answered():
            name, reason = "answered", ""
        case NotRun(reason=why):
            name, reason = "not-run", why.value
        case Unknown(reason=why):
            name, reason = "unknown", why.value
    return OutcomeKey(served.service, served.traffic_class, name, reason)


def _text(outcome: NotRun | Unknown) -> str:
    name = "not-run" if isinstance(outcome, NotRun) else "unknown"
    return f"{name}: {outcome.reason.value}\n"

"""One caller's connection: its requests are read one by one, dispatched, and answered in order."""

import logging
import socket
from collections.abc import Callable
from typing import NamedTuple

import h11

from roadpass import clock
from roadpass.access import Access
from roadpass.active_count import ActiveCount
from roadpass.caller_answer import outcome_bytes, outcome_headers, own_answer, text_of
from roadpass.caller_head import Head, RefusedError
from roadpass.caller_limits import CallerLimits
from roadpass.caller_watch import READ_BYTES, SocketWatch
from roadpass.customer import Credential
from roadpass.decision import decided
from roadpass.dialect import OWN, Dialect
from roadpass.ending import Ending
from roadpass.fingerprint import fingerprint
from roadpass.metric import Metrics, OutcomeKey
from roadpass.outcome import (
    OUTCOME_HEADER,
    Answered,
    NotRun,
    Reason,
    Unknown,
    status_of,
)
from roadpass.request import Request, Served

BODY_MIN_S = 10.0
"""Seconds that a body may take at least, so that a short header limit spares slow uploads."""
WRITE_LIMIT_S = 10.0
"""Seconds to write one answer; a caller that does not read must not hold a thread for ever."""
LINGER_S = 1.0
"""Seconds to read on after the last answer; closing over unread bytes would reset it away."""
IDLE_STEP_S = 0.4
"""Seconds between looks at whether the node is leaving, while nothing comes on a connection."""
READ_MIN_S = 0.001
"""Seconds a read waits at least; zero would mean not to wait at all and is an error here."""

_HTTP_VERSIONS = (b"1.0", b"1.1")

_log = logging.getLogger("roadpass.ingress")


class ConnectionContext(NamedTuple):
    """What all connections of an ingress work with.

    Args:
        dispatch: Sees a request to its outcome.
        limits: Returns the limits in force.
        leaving: Returns whether connections should end.
        metrics: Counts outcomes.
        active: Counts requests that are being answered.
        ending: When this process ends.
        dialect: Header names towards callers.
        caller_header: Header that names the caller.
        origin: Service of the VM at which requests begin, empty if unknown.
        identify: Tells whose a request is, by host, path, method and what it shows.
    """

    dispatch: Callable[[Request], Served]
    limits: Callable[[], CallerLimits]
    leaving: Callable[[], bool]
    metrics: Metrics
    active: ActiveCount
    ending: Ending
    dialect: Dialect = OWN
    caller_header: str = ""
    origin: str = ""
    identify: Callable[[str, str, str, Credential], Access | None] = lambda *_: None


class CallerConnection:
    """Answers the requests of one connection in the thread that calls `run`.

    Args:
        sock: The caller's; closed at the end.
        remote: IP number of the caller.
        desk: What to work with.
    """

    def __init__(self, sock: socket.socket, remote: str, desk: ConnectionContext) -> None:
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
        since = clock.now()
        try:
            head = self._read_head(since)
        except RefusedError as refused:
            self._refuse(refused, "", since)
            return False
        with self._desk.active:
            return self._serve(head)

    def _serve(self, head: Head) -> bool:
        try:
            request = self._request(head)
        except RefusedError as refused:
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

    def _dispatch(self, request: Request, head: Head) -> tuple[bytes, bool]:
        """Return the answer, and whether the connection is kept after it."""
        try:
            served = self._desk.dispatch(request)
            kept = head.keeps and (not self._desk.leaving() or self._has_next())
            connection = _connection(kept=kept, old=head.is_old)
            answer = outcome_bytes(served.outcome, head.method, self._desk.dialect, connection)
        except Exception:
            _log.exception("a request of %s failed", self._remote)
            self._count(OutcomeKey("", "", "unknown", "internal-error"), head.read_at)
            headers = [(OUTCOME_HEADER, "unknown")] if self._desk.dialect.own_prefix else []
            return own_answer(502, headers, "unknown: internal-error\n", head.method), False
        self._count(_key(served), head.read_at)
        return answer, kept

    def _has_next(self) -> bool:
        """Tell whether a next request has come already: it would be lost with the connection."""
        if self._codec.trailing_data[0]:
            return True
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # nothing has come, or the caller is gone, which its answer will show
            return False

    def _refuse(self, refused: RefusedError, method: str, since: float) -> None:
        outcome = NotRun(refused.reason)
        self._count(_key(Served(outcome)), since)
        headers = outcome_headers(outcome, self._desk.dialect)
        self._write(own_answer(refused.status, headers, text_of(outcome), method))

    def _count(self, key: OutcomeKey, since: float) -> None:
        self._desk.metrics.record(key, clock.now() - since)

    def _wait_for_byte(self) -> bytes:
        """Wait for a request to begin; an idle connection ends in silence."""
        since = clock.now()
        while True:
            left_s = since + self._desk.limits().idle_timeout_s - clock.now()
            data = self._receive(min(IDLE_STEP_S, left_s))
            if data is not None:
                return data
            if left_s <= IDLE_STEP_S or self._desk.leaving():
                raise _GoneError

    def _read_head(self, since: float) -> Head:
        self._limits = self._desk.limits()
        max_bytes = self._limits.max_header_bytes
        self._codec = h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)
        self._codec.receive_data(self._ahead)
        fed = len(self._ahead)
        while not isinstance(event := self._event(), h11.Request):
            fed += self._feed(since + self._limits.header_timeout_s)
        if fed - len(self._codec.trailing_data[0]) > max_bytes:
            raise RefusedError(431, Reason.TOO_LARGE)
        if event.http_version not in _HTTP_VERSIONS:
            raise RefusedError(400, Reason.BAD_REQUEST)
        return Head.from_event(event, clock.now())

    def _read_body(self, head: Head) -> bytes:
        max_bytes = self._limits.max_body_bytes
        if int(head.header("Content-Length") or 0) > max_bytes:
            raise RefusedError(413, Reason.TOO_LARGE)
        until = head.read_at + max(self._limits.header_timeout_s, BODY_MIN_S)
        body = bytearray()
        while not isinstance(event := self._event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > max_bytes:
                    raise RefusedError(413, Reason.TOO_LARGE)
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
                raise RefusedError(431, Reason.TOO_LARGE) from error
            raise RefusedError(400, Reason.BAD_REQUEST) from error

    def _feed(self, until: float) -> int:
        """Give the codec what comes; return how many bytes came."""
        data: bytes | None = None
        while data is None:
            now, last_start = clock.now(), self._desk.ending.last_start(0.0)
            if now >= last_start:  # told while it still can be: nothing of it has run
                raise RefusedError(503, Reason.LEAVING)
            if now >= until:
                raise RefusedError(408, Reason.BAD_REQUEST)
            data = self._receive(min(IDLE_STEP_S, until - now, last_start - now))
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
        until = clock.now() + LINGER_S
        while (left_s := until - clock.now()) > 0:
            self._receive(left_s)

    def _request(self, head: Head) -> Request:
        """Read the rest of a request, unless its key says that it is not taken."""
        dialect = self._desk.dialect
        host, path = head.where()
        access = self._identify(head, host, path)
        deadline = head.deadline(dialect.deadline)
        key = head.key()
        body = self._read_body(head)
        if body:  # it may have taken long, and the key may be gone meanwhile
            access = self._identify(head, host, path)
        named, proof = self._caller(head, access)
        return Request(
            host=host,
            method=head.method,
            path=path,
            headers=head.forwarded(dialect, host, self._remote, withholds=access is not None),
            body=body,
            caller=named or self._remote,
            deadline=deadline,
            key=key,
            repeat=head.is_repeat,
            id=head.header(dialect.request_id) if dialect.caller_sets_id else "",
            origin=self._desk.origin,
            fingerprint=fingerprint(host, head.method, path, named or proof, body),
            access=access,
        )

    def _caller(self, head: Head, access: Access | None) -> tuple[str, str]:
        """Return how a caller is named, and by what else it is told from others.

        Where there are customers they are the callers; else callers name themselves, or what they
        show tells them apart wherever they come.
        """
        if access is not None and access.customer is not None:
            return access.customer.name, ""
        proof = "" if access is not None else head.header(self._desk.dialect.authorization)
        return head.header(self._desk.caller_header), proof

    def _identify(self, head: Head, host: str, path: str) -> Access | None:
        """Return whose a request is.

        Raises:
            RefusedError: Nobody's who may send it.
        """
        dialect = self._desk.dialect
        credential = Credential.from_headers(head.headers, dialect.authorization, dialect.scheme)
        access = self._desk.identify(host, path, head.method, credential)
        if access is None or access.refusal is None:
            return access
        decided(
            "ingress",
            "refused",
            request=head.header(dialect.request_id) if dialect.caller_sets_id else "",
            host=host,
            path=path,
            outcome=access.refusal.reason.value,
            shown=credential.shown,
        )
        raise RefusedError(status_of(access.refusal), access.refusal.reason)


class _GoneError(Exception):
    """The connection ends without another word."""


def _connection(*, kept: bool, old: bool) -> str:
    if not kept:
        return "close"
    return "keep-alive" if old else ""


def _key(served: Served) -> OutcomeKey:
    match served.outcome:
        case Answered():
            name, reason = "answered", ""
        case NotRun(reason=why):
            name, reason = "not-run", why.value
        case Unknown(reason=why):
            name, reason = "unknown", why.value
    return OutcomeKey(served.service, served.traffic_class, name, reason)

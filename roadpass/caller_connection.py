"""A caller's connection: reads requests one at a time, dispatches them and responds in order."""

import logging
import socket
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from typing import NamedTuple

import h11

from roadpass import clock
from roadpass.access import Access
from roadpass.active_count import ActiveCount
from roadpass.body_source import UPLOAD_BYTES
from roadpass.body_stream import CallerBody
from roadpass.byte_gate import ByteGate, KeptBytes, current
from roadpass.caller_bytes import begin_stream, log_broken, take_body, write_kept
from roadpass.caller_limits import CallerLimits
from roadpass.caller_response import (
    generated_response,
    outcome_bytes,
    outcome_headers,
    outcome_text,
)
from roadpass.customer import Credential
from roadpass.decision import decided
from roadpass.dialect import OWN, Dialect
from roadpass.disconnect_watch import READ_BYTES, SocketWatch
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
from roadpass.request_head import Head, RefusedError
from roadpass.shutdown import Shutdown

BODY_MIN_S = 10.0
"""Minimum timeout for a request body, so that a short header timeout does not cut slow uploads."""
WRITE_LIMIT_S = 10.0
"""Timeout for writing a response; a caller that does not read must not block a thread for ever."""
LINGER_S = 1.0
"""Seconds to go on reading after the last response. Closing a socket with unread data sends a
reset, which may discard the response before the caller reads it."""
UPLOAD_LINGER_S = 5.0
"""The same behind a body that was not read whole: 360 KB take that long at 600 kbit/s."""
IDLE_POLL_S = 0.4
"""Interval at which an idle connection checks whether the node is shutting down."""
READ_MIN_S = 0.001
"""Minimum socket timeout; 0 would make the socket non-blocking, which is an error here."""

_HTTP_VERSIONS = (b"1.0", b"1.1")

_log = logging.getLogger("roadpass.ingress")


class ConnectionContext(NamedTuple):
    """Dependencies and settings shared by all connections of an ingress.

    Args:
        dispatch: Processes a request and returns its outcome.
        limits: Returns the limits currently in force.
        ready: Returns whether these are of a configuration.
        leaving: Returns whether connections should be closed because the node is leaving.
        metrics: Counts outcomes.
        active: Counts the requests being handled.
        shutdown: Shutdown deadline of this process.
        dialect: Header names used with callers.
        caller_header: Header in which callers name themselves.
        origin: Service of the VM at which requests originate, empty if unknown.
        identify: Returns who sent a request, by host, path, method and credential.
        gate: Bounds the bytes kept for callers, `None` for no bound.
        is_upload: Returns whether a body is to be streamed, by host, path and method.
    """

    dispatch: Callable[[Request], Served]
    limits: Callable[[], CallerLimits]
    leaving: Callable[[], bool]
    metrics: Metrics
    active: ActiveCount
    shutdown: Shutdown
    dialect: Dialect = OWN
    caller_header: str = ""
    origin: str = ""
    identify: Callable[[str, str, str, Credential], Access | None] = lambda *_: None
    gate: ByteGate | None = None
    is_upload: Callable[[str, str, str], bool] = lambda *_: False
    ready: Callable[[], bool] = lambda: True


class CallerConnection:
    """Handles the requests of one connection in the thread that calls `run`.

    Args:
        sock: The caller's socket; closed at the end.
        remote: IP address of the caller.
        context: Dependencies shared by all connections.
    """

    def __init__(self, sock: socket.socket, remote: str, context: ConnectionContext) -> None:
        self._sock = sock
        self._remote = remote
        self._is_local = _own_address(sock) == remote
        self._context = context
        self._limits = CallerLimits()
        self._codec = h11.Connection(h11.SERVER)
        self._ahead = b""
        self._streamed: CallerBody | None = None

    def run(self) -> None:
        """Handle requests until the caller or this node ends the connection; never raises."""
        try:
            while self._serve_next():
                pass
            self._linger()
        except _ConnectionEndedError:
            pass
        except Exception:
            _log.exception("connection from %s failed", self._remote)
        finally:
            self._sock.close()

    def _serve_next(self) -> bool:
        """Handle one request; return whether to keep the connection open."""
        if not self._ahead:
            self._ahead = self._wait_for_byte()
        since = clock.now()
        try:
            head = self._read_head(since)
        except RefusedError as refused:
            self._refuse(refused, "", since)
            return False
        with self._context.active, self._keeping():
            return self._serve(head)

    def _keeping(self) -> AbstractContextManager[KeptBytes | None]:
        """Account for the bytes kept for one request, if that is on."""
        gate = self._context.gate
        return nullcontext() if gate is None else gate.holding(self._cut)

    def _cut(self) -> None:
        """Disconnect the caller; the thread of the connection then finds it closed."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _serve(self, head: Head) -> bool:
        try:
            request = self._request(head)
        except RefusedError as refused:
            self._refuse(refused, head.method, head.read_at)
            return False
        self._sock.settimeout(0)
        watch = self._streamed or SocketWatch(
            self._sock, self._codec, ahead=len(self._codec.trailing_data[0])
        )
        answer, kept = self._dispatch(request._replace(watch=watch), head)
        if self._streamed is not None:
            log_broken(self._streamed, request.id, self._context.metrics)
        if watch.was_gone:
            raise _ConnectionEndedError
        self._write(answer)
        self._ahead = self._codec.trailing_data[0]
        return kept

    def _dispatch(self, request: Request, head: Head) -> tuple[bytes, bool]:
        """Return the response, and whether to keep the connection open after it."""
        try:
            served = self._context.dispatch(request)
            is_read = self._streamed is None or self._streamed.complete
            kept = (
                head.wants_keep_alive
                and is_read
                and (not self._context.leaving() or self._has_pipelined_request())
            )
            connection = _connection(kept=kept, is_http_10=head.is_http_10)
            answer = outcome_bytes(served.outcome, head.method, self._context.dialect, connection)
        except Exception:
            _log.exception("a request of %s failed", self._remote)
            self._count(OutcomeKey("", "", "unknown", "internal-error"), head.read_at)
            headers = [(OUTCOME_HEADER, "unknown")] if self._context.dialect.own_prefix else []
            return generated_response(502, headers, "unknown: internal-error\n", head.method), False
        self._count(_key(served), head.read_at)
        return answer, kept

    def _has_pipelined_request(self) -> bool:
        """Return whether another request has already arrived, which closing now would lose."""
        if self._codec.trailing_data[0]:
            return True
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # no data, or the caller is gone: then writing the response fails
            return False

    def _refuse(self, refused: RefusedError, method: str, since: float) -> None:
        if refused.reason is Reason.TOO_LARGE and not self._context.ready():
            refused = RefusedError(503, Reason.NOT_READY)  # a configuration may allow it
        outcome = NotRun(refused.reason)
        self._count(_key(Served(outcome)), since)
        headers = outcome_headers(outcome, self._context.dialect)
        self._write(generated_response(refused.status, headers, outcome_text(outcome), method))

    def _count(self, key: OutcomeKey, since: float) -> None:
        self._context.metrics.record(key, clock.now() - since)

    def _wait_for_byte(self) -> bytes:
        """Wait for the first bytes of a request; close an idle connection without a response."""
        since = clock.now()
        while True:
            left_s = since + self._context.limits().idle_timeout_s - clock.now()
            data = self._receive(min(IDLE_POLL_S, left_s))
            if data is not None:
                return data
            if left_s <= IDLE_POLL_S or self._context.leaving():
                raise _ConnectionEndedError

    def _read_head(self, since: float) -> Head:
        self._streamed = None
        self._limits = self._context.limits()
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

    def _take_body(self, head: Head, deadline: float | None, *, is_upload: bool) -> bytes:
        """Return the body; one that is streamed is set as `_streamed` instead, and stays unread."""
        length = head.body_length
        if length is not None and length > self._limits.max_body_bytes:
            raise RefusedError(413, Reason.TOO_LARGE)
        kept = current()
        if (is_upload and length != 0) or not self._try_keep_whole(kept, length):
            self._stream_body(head, deadline)
            return b""
        if length is not None and length <= UPLOAD_BYTES:
            take_body(kept, length, deadline)
        return self._read_body(head, deadline)

    def _try_keep_whole(self, kept: KeptBytes | None, length: int | None) -> bool:
        """Return whether to keep a body whole, so that it can be sent to a second target.

        The bytes of a body that takes more of them than streaming does are granted here or not at
        all; those of a short one are asked for later, as it may wait for them.
        """
        if kept is None or length is None or length <= UPLOAD_BYTES:
            return True
        return length <= self._whole_bytes and kept.add(length)

    @property
    def _whole_bytes(self) -> int:
        gate = self._context.gate
        return self._limits.max_body_bytes if gate is None else gate.whole_bytes

    def _stream_body(self, head: Head, deadline: float | None, received: bytes = b"") -> None:
        self._streamed = begin_stream(
            self._sock,
            self._codec,
            head,
            self._limits.max_body_bytes,
            deadline=deadline,
            received=received,
        )

    def _read_body(self, head: Head, deadline: float | None) -> bytes:
        """Read a body that is to be kept whole; stream a chunked one that gets too long for it."""
        length = head.body_length
        kept = current()
        until = head.read_at + max(self._limits.header_timeout_s, BODY_MIN_S)
        body = bytearray()
        while not isinstance(event := self._event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise RefusedError(413, Reason.TOO_LARGE)
                if length is None:
                    take_body(kept, len(event.data), deadline)
                if len(body) > self._whole_bytes:
                    self._stream_body(head, deadline, bytes(body))
                    return b""
                continue
            if self._codec.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                self._write(self._codec.send(interim))
            size = self._feed(until)
            if kept is not None:
                kept.record_progress(size)
        if kept is not None:
            kept.expect_none()
            kept.admit()
        return bytes(body)

    def _event(self) -> object:
        try:
            return self._codec.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                raise RefusedError(431, Reason.TOO_LARGE) from error
            raise RefusedError(400, Reason.BAD_REQUEST) from error

    def _feed(self, until: float) -> int:
        """Pass received data to the codec; return the number of bytes."""
        data: bytes | None = None
        while data is None:
            now, last_start = clock.now(), self._context.shutdown.last_start(0.0)
            if now >= last_start:  # refused while there is time to respond: it has not run
                raise RefusedError(503, Reason.LEAVING)
            if now >= until:
                raise RefusedError(408, Reason.BAD_REQUEST)
            data = self._receive(min(IDLE_POLL_S, until - now, last_start - now))
        self._codec.receive_data(data)
        return len(data)

    def _receive(self, wait_s: float) -> bytes | None:
        """Return the next received bytes, `None` on a timeout."""
        try:
            self._sock.settimeout(max(wait_s, READ_MIN_S))
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return None
        except OSError as error:
            raise _ConnectionEndedError from error
        if not data:
            raise _ConnectionEndedError
        return data

    def _write(self, data: bytes) -> None:
        kept = current()
        try:
            self._sock.settimeout(WRITE_LIMIT_S)
            if kept is None:
                self._sock.sendall(data)
            else:
                write_kept(self._sock, kept, data, WRITE_LIMIT_S)
        except OSError as error:
            _log.info("cannot write the response to %s: %s", self._remote, error)
            raise _ConnectionEndedError from error

    def _linger(self) -> None:
        """Shut down the sending side, then discard what the caller sends for up to `LINGER_S`."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise _ConnectionEndedError from error
        has_rest = self._streamed is not None or self._codec.their_state is h11.SEND_BODY
        until = clock.now() + (UPLOAD_LINGER_S if has_rest else LINGER_S)
        while (left_s := until - clock.now()) > 0:
            self._receive(left_s)

    def _request(self, head: Head) -> Request:
        """Read the rest of a request, unless its credential is refused."""
        dialect = self._context.dialect
        host, path = head.host_and_path()
        access = self._identify(head, host, path)
        deadline = head.deadline(dialect.deadline)
        key = head.key()
        is_upload = self._context.is_upload(host, path, head.method)
        body = self._take_body(head, deadline, is_upload=is_upload)
        if body:  # it may have taken long, and the key may have been revoked meanwhile
            access = self._identify(head, host, path)
        named, proof = self._caller(head, access)
        return Request(
            host=host,
            method=head.method,
            path=path,
            headers=head.forwarded(
                dialect, host, self._remote, drop_authorization=access is not None
            ),
            body=body,
            caller=named or self._remote,
            deadline=deadline,
            key=key,
            repeat=head.is_repeat,
            id=head.header(dialect.request_id) if dialect.caller_sets_id else "",
            origin=self._context.origin,
            fingerprint=""
            if self._streamed is not None
            else fingerprint(host, head.method, path, named or proof, body),
            access=access,
            local=self._is_local,
        )

    def _caller(self, head: Head, access: Access | None) -> tuple[str, str]:
        """Return the caller's name and, where no customers are configured, its credential.

        Where customers are configured, they are the callers. Otherwise callers name themselves in a
        header, or their credentials distinguish them on every node.
        """
        if access is not None and access.customer is not None:
            return access.customer.name, ""
        proof = "" if access is not None else head.header(self._context.dialect.authorization)
        return head.header(self._context.caller_header), proof

    def _identify(self, head: Head, host: str, path: str) -> Access | None:
        """Return who sent a request, `None` where no customers are configured.

        Raises:
            RefusedError: The credential does not entitle the caller to send it.
        """
        dialect = self._context.dialect
        credential = Credential.from_headers(head.headers, dialect.authorization, dialect.scheme)
        access = self._context.identify(host, path, head.method, credential)
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


class _ConnectionEndedError(Exception):
    """The connection is to be closed without sending anything more."""


def _connection(*, kept: bool, is_http_10: bool) -> str:
    if not kept:
        return "close"
    return "keep-alive" if is_http_10 else ""


def _key(served: Served) -> OutcomeKey:
    match served.outcome:
        case Answered():
            name, reason = "answered", ""
        case NotRun(reason=why):
            name, reason = "not-run", why.value
        case Unknown(reason=why):
            name, reason = "unknown", why.value
    return OutcomeKey(served.service, served.traffic_class, name, reason)


def _own_address(sock: socket.socket) -> str:
    """Return the IP address at which a connection was accepted, empty if it has none."""
    try:
        name = sock.getsockname()
    except OSError:
        return ""
    return str(name[0]) if isinstance(name, tuple) else ""

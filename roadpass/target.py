"""HTTP client for a target: complete responses only, no implicit retries, cancellation by close."""

import math
import re
import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeAlias

from roadpass import clock
from roadpass.body_source import BodySource, streamed
from roadpass.dialect import OWN, Dialect
from roadpass.errors import TargetRefusedError
from roadpass.hop_by_hop import end_to_end
from roadpass.outcome import Headers
from roadpass.request import CallerWatch
from roadpass.target_answer import MISDIRECTED, TargetAnswer, TargetLoad, read_answer
from roadpass.target_connection import (
    MAX_ANSWER_BYTES,
    AnswerRules,
    CallerLeftError,
    RawAnswer,
    ResponseHead,
    TargetConnection,
    TargetLostError,
    TargetProtocolError,
    TargetTimeoutError,
    WireRequest,
    values_of,
)
from roadpass.target_notice import TargetNotice, read_notice

__all__ = [
    "MAX_ANSWER_BYTES",
    "CallerLeftError",
    "TargetAnswer",
    "TargetClient",
    "TargetProtocolError",
    "TargetLoad",
    "TargetLostError",
    "TargetTimeoutError",
]

CONNECT_TIMEOUT_S = 0.3
"""Seconds to connect; the target is on the same VM, where the kernel connects within a millisecond
or drops the packet and retries a second later. The attempt counts as started all that time."""
PROBE_TIMEOUT_S = 0.05
"""Seconds to find out whether a target of this VM accepts connections: a refusal comes at once."""
MAX_IDLE = 32
"""Maximum idle connections; more than that many are needed at once too rarely to keep them."""
IDLE_LIMIT_S = 4.0
"""Seconds that an idle connection is kept; common servers close it after 5 s without notice."""
ANSWER_MARGIN_S = 0.05
ANSWER_MARGIN_SHARE = 0.05
"""The deadline sent to the target is earlier than the attempt's, by the smaller of these seconds
and this share of the time left, so that the target's own time-out response arrives in time to be
forwarded. If both ended at once, some attempts would be aborted instead, which a node that is
shutting down must never do."""
KEEP_ALIVE_MARGIN_S = 1.0
"""Seconds by which the target's announced keep-alive time-out is shortened, so that a request does
not cross its close."""
FRESH_IDLE_S = 0.2
"""Maximum idle seconds of a connection for a request that must not be retried: targets may drop
connections that are idle for longer, and reset requests that arrive on them."""
IDLE_LIMIT_FACTOR = 0.5
IDLE_LIMIT_DOUBLING_S = 5.0
"""After a loss on a reused connection, this share of its idle time becomes the limit for reuse. The
limit doubles again every this many seconds, as targets drop connections only for seconds at a
time."""
_WITH_LENGTH = ("POST", "PUT", "PATCH")
_CODING = re.compile(r"\s*([^\s;]+)\s*(?:;\s*q\s*=\s*([0-9]+(?:\.[0-9]*)?)\s*)?")
_KEEP_ALIVE = re.compile(r"(?:^|[,;\s])timeout\s*=\s*([0-9]{1,6})(?![0-9])", re.IGNORECASE)


OnNotice: TypeAlias = Callable[[TargetNotice, float], None]
"""Called with what a response states about its target, and the clock seconds at which the request
was sent, -inf if unknown."""


class _Call(NamedTuple):
    """A request before its connection and the time it is sent are known."""

    id: str
    method: str
    path: str
    headers: Headers
    body: bytes
    instance: str
    origin: str
    customer: str = ""


class TargetClient:
    """HTTP client with a pool of connections to one target; thread-safe.

    Args:
        address: `ip:port` of the target.
        max_connections: Maximum concurrent connections; here it only limits the idle ones.
        dialect: Header names and rules to talk to the target.
    """

    def __init__(self, address: str, *, max_connections: int = 200, dialect: Dialect = OWN) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host.strip("[]")
        self._port = int(port)
        self._dialect = dialect
        self._max_idle = min(MAX_IDLE, max_connections)
        self._idle: list[TargetConnection] = []
        self._active: dict[str, TargetConnection] = {}
        self._closed = False
        self._learned_idle_s = math.inf
        self._lowered_at = 0.0
        self._lock = threading.Lock()

    def send(
        self,
        attempt_id: str,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        *,
        timeout_s: float,
        fresh: bool,
        request_id: str = "",
        instance: str = "",
        origin: str = "",
        customer: str = "",
        watch: CallerWatch | None = None,
        on_notice: OnNotice | None = None,
    ) -> TargetAnswer:
        """Send one request and wait for its complete response.

        Args:
            attempt_id: Id of the attempt, also sent to the target unless callers set their own.
            method: HTTP method.
            path: Path with query.
            headers: The caller's headers.
            body: Complete body.
            timeout_s: Seconds until the complete response must have arrived.
            fresh: Whether to use only a new or recently used connection, as for requests that
                must not be retried.
            request_id: The caller's id of the request, sent if the dialect lets callers set it.
            instance: The instance that the request is for, empty for any.
            origin: Service of the VM at which the request entered the fleet.
            customer: The customer it belongs to, empty if none.
            watch: Detects that the caller has disconnected.
            on_notice: Called for each head of a response of this instance.

        Raises:
            TargetRefusedError: Nothing was sent.
            TargetTimeoutError: No complete response in time; the request may have run.
            TargetLostError: The connection was lost; the request may have run.
            TargetProtocolError: No valid response to this request; it may have run.
            CallerLeftError: The caller disconnected or cancelled; the request may have run.
        """
        deadline = clock.now() + timeout_s
        name = (request_id or attempt_id) if self._dialect.caller_sets_id else attempt_id
        call = _Call(name, method, path, list(headers), body, instance, origin, customer)
        connection = self._connect(timeout_s, fresh)
        with self._lock:
            self._active[attempt_id] = connection
        keep_s = 0.0
        try:
            raw, service_ms = self._exchange(connection, call, deadline, watch, on_notice)
            keep_s = _idle_limit_s(raw)
        except TargetTimeoutError:
            if connection.reused:
                self._lower_idle_limit(connection)
            raise
        except TargetLostError as error:
            if connection.reused:
                self._lower_idle_limit(connection)
            if connection.cancelled:
                raise CallerLeftError("The request was cancelled.") from error
            raise
        finally:
            with self._lock:
                del self._active[attempt_id]
            self._release(connection, keep_s)
        return read_answer(raw, service_ms, self._dialect, instance)

    def cancel(self, attempt_id: str) -> bool:
        """Cancel a running request by closing its connection to the target.

        Returns:
            Whether the request was running.
        """
        with self._lock:
            connection = self._active.get(attempt_id)
            if connection is None:
                return False
            connection.cancel()
        return True

    def extend_deadline(self, attempt_id: str, until: float) -> bool:
        """Extend the deadline of a running request.

        Args:
            attempt_id: Id of the attempt.
            until: New deadline in clock seconds; an earlier one than the current has no effect.

        Returns:
            Whether the request was running.
        """
        with self._lock:
            connection = self._active.get(attempt_id)
            if connection is not None:
                connection.extended_until = until
        return connection is not None

    def refuses_connections(self) -> bool:
        """Return whether the target refuses connections, which means that its process has exited.

        After a lost connection this distinguishes a crash from a reset. A connection that succeeds
        is kept for the next request.
        """
        try:
            connection = TargetConnection.open(self._host, self._port, PROBE_TIMEOUT_S)
        except TargetRefusedError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self._release(connection, IDLE_LIMIT_S)
        return False

    def close(self) -> None:
        """Close idle connections now, and those in use when their requests end."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _connect(self, timeout_s: float, fresh: bool) -> TargetConnection:
        if timeout_s <= 0.0:
            raise TargetTimeoutError("The deadline passed before a connection was opened.")
        connection = self._reuse(fresh)
        if connection is not None:
            return connection
        return TargetConnection.open(self._host, self._port, min(timeout_s, CONNECT_TIMEOUT_S))

    def _lower_idle_limit(self, connection: TargetConnection) -> None:
        """Lower the idle limit: the target may have dropped a connection idle for that long."""
        idle_s = connection.taken_at - connection.idle_since
        if connection.cancelled or idle_s <= FRESH_IDLE_S:
            return
        with self._lock:
            self._learned_idle_s = IDLE_LIMIT_FACTOR * idle_s
            self._lowered_at = clock.now()
            idle, self._idle = self._idle, []
        for kept in idle:
            kept.close()

    def _max_idle_s(self, now: float, fresh: bool) -> float:
        """Return for how many seconds a connection may have been idle to be reused."""
        idle_limit_s = self._learned_idle_s
        if idle_limit_s < math.inf:
            idle_limit_s *= 2.0 ** min(10.0, (now - self._lowered_at) / IDLE_LIMIT_DOUBLING_S)
        return min(idle_limit_s, FRESH_IDLE_S) if fresh else idle_limit_s

    def _reuse(self, fresh: bool) -> TargetConnection | None:
        """Take the most recently used idle connection, `None` if there is no suitable one."""
        while True:
            now = clock.now()
            max_idle_s = self._max_idle_s(now, fresh)
            with self._lock:
                if not self._idle or now - self._idle[-1].idle_since > max_idle_s:
                    return None
                connection = self._idle.pop()
            if now < connection.idle_until and connection.is_idle():
                connection.reused = True
                connection.taken_at = now
                return connection
            connection.close()

    def _exchange(
        self,
        connection: TargetConnection,
        call: _Call,
        deadline: float,
        watch: CallerWatch | None,
        on_notice: OnNotice | None,
    ) -> tuple[RawAnswer, float]:
        dialect = self._dialect
        rules = AnswerRules(
            ends_by_close=dialect.ends_by_close,
            echo=dialect.request_id if dialect.echoes_id else "",
            id=call.id,
            reject_encoded=dialect.echoes_id and not _accepts_encoding(call.headers),
        )
        started = clock.now()
        if started >= deadline:
            raise TargetTimeoutError("The deadline passed before the request was sent.")
        source = streamed(watch)
        sent = _sent_headers(call, dialect, self.address, deadline - started, source)
        message = WireRequest(call.method, call.path, sent, call.body, source)

        def on_head(head: ResponseHead) -> None:
            if on_notice is not None and _is_from(head, dialect, call.instance):
                notice = read_notice(head.headers, dialect)
                on_notice(notice, started if head.own else -math.inf)

        raw = connection.exchange(message, rules, deadline, watch, on_head=on_head)
        if source is not None:  # the time of the caller is not that of the target
            started = max(started, source.waited_at)
        return raw, (clock.now() - started) * 1000.0

    def _release(self, connection: TargetConnection, keep_s: float) -> None:
        """Return a connection to the pool for some seconds, and close expired ones."""
        now = clock.now()
        connection.idle_since = now
        connection.extended_until = 0.0
        connection.idle_until = now + keep_s
        with self._lock:
            old = [kept for kept in self._idle if kept.idle_until <= now]
            self._idle = [kept for kept in self._idle if kept.idle_until > now]
            room = len(self._idle) < self._max_idle and not self._closed
            if keep_s > 0.0 and room and not connection.cancelled:
                self._idle.append(connection)
            else:
                old.append(connection)
        for kept in old:
            kept.close()


def announced_timeout_s(left_s: float) -> float:
    """Return the time limit sent to the target, out of the seconds left for its response."""
    return left_s - min(ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * left_s)


def _accepts_encoding(headers: Headers) -> bool:
    """Return whether the caller accepts a body with a content encoding."""
    codings = ",".join(values_of(headers, "accept-encoding")).lower().split(",")
    return any(
        found is not None and found[1] != "identity" and not _is_zero(found[2])
        for found in map(_CODING.fullmatch, codings)
    )


def _is_zero(weight: str | None) -> bool:
    """Return whether a weight says that its coding is not accepted."""
    return weight is not None and float(weight) == 0.0


def _sent_headers(
    call: _Call, dialect: Dialect, address: str, left_s: float, source: BodySource | None = None
) -> Headers:
    """Return the headers for the target; the fleet's own replace those from the caller."""
    own = [
        (dialect.request_id, call.id),
        (dialect.deadline, str(max(1, int(announced_timeout_s(left_s) * 1000.0)))),
        (dialect.expected_instance, call.instance),
        (dialect.origin_service, call.origin),
        (dialect.customer, call.customer),
    ]
    dropped = {name.lower() for name, _ in own} | {"expect", "content-length"}
    sent = end_to_end(call.headers, dropped)
    if not values_of(sent, "host"):
        sent.insert(0, ("Host", address))
    for name, value in own:
        if name and (value or name == dialect.origin_service):
            sent.append((name, value))
    if source is not None:
        sent.append(source.framing)
    elif call.body or call.method in _WITH_LENGTH:
        sent.append(("Content-Length", str(len(call.body))))
    return sent


def _is_from(head: ResponseHead, dialect: Dialect, instance: str) -> bool:
    """Return whether a response is from the instance that the request was meant for."""
    if not (dialect.expected_instance and instance):
        return True
    named = values_of(head.headers, dialect.instance) if dialect.instance else []
    return head.status != MISDIRECTED and set(named) <= {instance}


def _idle_limit_s(raw: RawAnswer) -> float:
    """Return for how many seconds the connection may stay idle, 0 to close it."""
    if not raw.reusable:
        return 0.0
    match = _KEEP_ALIVE.search(",".join(values_of(raw.headers, "keep-alive")))
    return float(match[1]) - KEEP_ALIVE_MARGIN_S if match else IDLE_LIMIT_S

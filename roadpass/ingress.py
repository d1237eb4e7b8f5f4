"""The ingress: takes callers' requests over HTTP and answers each with its own outcome."""

import logging
import time

from cheroot.errors import MaxSizeExceeded

from roadpass._actor import Actor
from roadpass.dispatch import Dispatcher
from roadpass.metric import Metrics, OutcomeKey
from roadpass.outcome import (
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
from roadpass.settings import Settings
from roadpass.view import View
from roadpass.web import WebGateway, WebServer

MAX_BODY_BYTES = 8 * 1024 * 1024
DEADLINE_HEADER = "Roadpass-Deadline-Ms"
REPEAT_HEADER = "Roadpass-Repeat"
KEY_HEADER = "Idempotency-Key"
OWN_PREFIX = "roadpass-"
MAX_KEY = 128

_log = logging.getLogger("roadpass.ingress")


class _Owner:
    """What each request's gateway works with."""

    def __init__(
        self, settings: Settings, dispatcher: Dispatcher, view: View, metrics: Metrics
    ) -> None:
        self.settings = settings
        self.dispatcher = dispatcher
        self.view = view
        self.metrics = metrics


class _CallerGateway(WebGateway):
    """Turns one HTTP request into a dispatch and its outcome into an answer."""

    def answer(self) -> None:
        owner: _Owner = self.req.server.owner
        started = time.monotonic()
        request = self._request(owner, started)
        match request:
            case NotRun():
                served = Served(request)
            case Request():
                served = owner.dispatcher.dispatch(request)
        self._count(owner, served, time.monotonic() - started)
        self._reply(served.outcome, close=owner.view.leaving)

    def _request(self, owner: _Owner, started: float) -> Request | NotRun:
        deadline = None
        wanted = self.header(DEADLINE_HEADER)
        if wanted:
            if not wanted.isascii() or not wanted.isdigit():
                return NotRun(Reason.BAD_REQUEST)
            deadline = started + int(wanted) / 1000.0
        key = self.header(KEY_HEADER)
        if len(key) > MAX_KEY:
            return NotRun(Reason.BAD_REQUEST)
        try:
            body = self.body()
        except MaxSizeExceeded:
            return NotRun(Reason.TOO_LARGE)
        except (OSError, ValueError):
            return NotRun(Reason.BAD_REQUEST)
        if len(body) < int(self.header("Content-Length") or 0):
            return NotRun(Reason.BAD_REQUEST)
        remote: str = self.req.conn.remote_addr or ""
        return Request(
            host=self.header("Host"),
            method=self.method,
            path=self.uri,
            headers=self._forwarded(remote),
            body=body,
            caller=self.header(owner.settings.caller_header) or remote,
            deadline=deadline,
            key=key,
            repeat=self.header(REPEAT_HEADER).lower() in ("1", "true"),
            sock=self.sock,
        )

    def _forwarded(self, remote: str) -> Headers:
        headers = [
            (name, value)
            for name, value in self.headers()
            if not name.lower().startswith(OWN_PREFIX)
        ]
        headers.append(("X-Forwarded-For", remote))
        return headers

    def _reply(self, outcome: Outcome, *, close: bool) -> None:
        headers = caller_headers(outcome)
        match outcome:
            case Answered(status=status, headers=given, body=body):
                self.reply(status, [*given, *headers], body, close=close)
            case NotRun(reason=reason) | Unknown(reason=reason):
                text = f"{headers[0][1]}: {reason.value}\n".encode()
                headers.append(("Content-Type", "text/plain"))
                self.reply(status_of(outcome), headers, text, close=close)

    @staticmethod
    def _count(owner: _Owner, served: Served, latency_s: float) -> None:
        match served.outcome:
            case Answered():
                name, reason = "answered", ""
            case NotRun(reason=why):
                name, reason = "not-run", why.value
            case Unknown(reason=why):
                name, reason = "unknown", why.value
        key = OutcomeKey(served.service, served.traffic_class, name, reason)
        owner.metrics.record(key, latency_s)


class Ingress(Actor):
    """Owns the callers' listening socket and its worker threads.

    Args:
        settings: Of this node.
        dispatcher: Sees requests to their outcomes.
        view: Tells whether the node is leaving.
        metrics: Counts outcomes.
    """

    def __init__(
        self, settings: Settings, dispatcher: Dispatcher, view: View, metrics: Metrics
    ) -> None:
        super().__init__()
        address = (settings.address, settings.ports.callers)
        owner = _Owner(settings, dispatcher, view, metrics)
        self._server = WebServer(address, _CallerGateway, owner, threads=settings.threads)
        self._server.max_request_body_size = MAX_BODY_BYTES

    @property
    def active(self) -> int:
        """Requests that are being answered."""
        active: int = self._server.active
        return active

    def on_start(self) -> None:
        """Listen."""
        self._server.start_thread()
        _log.info("listening for callers on %s:%d", *self._server.bind_addr)

    def on_stop(self) -> None:
        """Stop to listen; whoever stops the actor has seen to it that nothing is in flight."""
        self._server.stop()

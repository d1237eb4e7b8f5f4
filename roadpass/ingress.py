"""The ingress: accepts callers' HTTP connections and answers each request with its outcome."""

import logging
import select
import socket
import threading
from typing import Protocol

from roadpass._actor import Actor
from roadpass.access import identify
from roadpass.active_count import ActiveCount
from roadpass.body_source import BUFFER_BYTES
from roadpass.byte_gate import ByteGate
from roadpass.caller_connection import CallerConnection, ConnectionContext
from roadpass.dialect import OWN, Dialect
from roadpass.metric import Metrics
from roadpass.request import Request, Served
from roadpass.settings import Settings
from roadpass.view import View

BACKLOG = 1024
"""Connections that may wait to be accepted: after the loss of another VM many callers connect at
once."""
ACCEPT_POLL_S = 0.2
"""Seconds between checks whether to stop listening."""
MAX_CONNECTIONS = 3000
"""Connections open at once, each with a thread; more would take memory that the VM's other
processes need."""
STACK_BYTES = 256 * 1024
"""Bytes of stack of a connection's thread; the default of 8 MiB is far more than it needs."""
STOP_LIMIT_S = 1.0
"""Seconds to wait for the accepting thread to end; it checks several times within them."""

_log = logging.getLogger("roadpass.ingress")


class RequestHandler(Protocol):
    """Processes the requests that the ingress receives; implemented by `Dispatcher`."""

    def dispatch(self, request: Request) -> Served:
        """Process one request and return its outcome."""


class Ingress(Actor):
    """Owns the callers' listening socket, and a thread for each of their connections.

    Args:
        settings: Settings of this node.
        dispatcher: Processes the requests.
        view: Holds the limits, and whether the node is leaving.
        metrics: Counts outcomes.
        dialect: Header names used with callers.
        origin: Service of the VM that receives the requests, empty if unknown.
        gate: Bounds the bytes kept for callers, `None` for no bound.
    """

    def __init__(
        self,
        settings: Settings,
        dispatcher: RequestHandler,
        view: View,
        metrics: Metrics,
        *,
        dialect: Dialect = OWN,
        origin: str = "",
        gate: ByteGate | None = None,
    ) -> None:
        super().__init__()
        self._address = (settings.address, settings.ports.callers)
        self._stopped = threading.Event()
        self._active = ActiveCount()
        self._connections = ActiveCount()
        self._open: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self._context = ConnectionContext(
            dispatch=dispatcher.dispatch,
            limits=lambda: view.limits,
            leaving=lambda: view.leaving or self._stopped.is_set(),
            metrics=metrics,
            active=self._active,
            shutdown=view.shutdown,
            dialect=dialect,
            caller_header=settings.caller_header,
            origin=origin,
            identify=lambda *what: identify(view.fleet, *what),
            gate=gate,
            is_upload=lambda *what: gate is not None and _is_upload(view, *what),
            ready=lambda: view.ready,
        )

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return self._active.value

    @property
    def unread(self) -> int:
        """Connections with unread input, and one more if a connection waits to be accepted.

        It shows work that a node short of processor time has not read yet.
        """
        poller = select.poll()
        for sock in (*self._open.copy(), self._listener):
            number = sock.fileno() if sock is not None else -1
            if number >= 0:  # the connection thread may close it at any moment
                poller.register(number, select.POLLIN)
        return sum(not events & select.POLLNVAL for _, events in poller.poll(0))

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port for callers; a port chosen by the system is known once it listens."""
        return self._address

    def on_start(self) -> None:
        """Open the listening socket and start to accept connections."""
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        listener = socket.create_server(self._address, family=family, backlog=BACKLOG)
        for buffer in (socket.SO_RCVBUF, socket.SO_SNDBUF):  # accepted connections inherit them
            listener.setsockopt(socket.SOL_SOCKET, buffer, BUFFER_BYTES)
        listener.settimeout(ACCEPT_POLL_S)
        self._listener = listener
        self._address = listener.getsockname()[:2]
        self._thread = threading.Thread(
            target=self._accept_all, args=(listener,), name="ingress", daemon=True
        )
        self._thread.start()
        _log.info("listening for callers on %s:%d", *self._address)

    def on_stop(self) -> None:
        """Stop listening; the caller has made sure that no request is in flight."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join(STOP_LIMIT_S)
        if self._listener is not None:
            self._listener.close()

    def _accept_all(self, listener: socket.socket) -> None:
        while not self._stopped.is_set():
            try:
                sock, address = listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                _log.warning("cannot accept a connection: %s", error)
                self._stopped.wait(ACCEPT_POLL_S)
                continue
            self._accept(sock, address[0])

    def _accept(self, sock: socket.socket, remote: str) -> None:
        if self._connections.value >= MAX_CONNECTIONS:
            _log.warning(
                "closed a connection of %s: the limit of %d connections is reached",
                remote,
                MAX_CONNECTIONS,
            )
            sock.close()
            return
        self._connections.add(1)
        self._open.add(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._start_thread(sock, remote)
        except (OSError, RuntimeError) as error:
            self._connections.add(-1)
            self._open.discard(sock)
            _log.warning("closed a connection of %s: %s", remote, error)
            sock.close()

    def _start_thread(self, sock: socket.socket, remote: str) -> None:
        default = threading.stack_size(STACK_BYTES)
        try:
            thread = threading.Thread(
                target=self._run, args=(sock, remote), name="caller", daemon=True
            )
            thread.start()
        finally:
            threading.stack_size(default)

    def _run(self, sock: socket.socket, remote: str) -> None:
        try:
            CallerConnection(sock, remote, self._context).run()
        finally:
            self._open.discard(sock)
            self._connections.add(-1)


def _is_upload(view: View, host: str, path: str, method: str) -> bool:
    fleet = view.fleet
    route = fleet.find_route(host, path, method)
    return fleet.sharing.streamed_bodies and route is not None and route.upload

"""The ingress: takes callers' requests over HTTP and answers each with its own outcome."""

import logging
import select
import socket
import threading
from typing import Protocol

from roadpass._actor import Actor
from roadpass.access import identify
from roadpass.active_count import ActiveCount
from roadpass.caller_connection import CallerConnection, ConnectionContext
from roadpass.dialect import OWN, Dialect
from roadpass.metric import Metrics
from roadpass.request import Request, Served
from roadpass.settings import Settings
from roadpass.view import View

BACKLOG = 1024
"""Connections that may wait to be accepted; callers all come at once after another VM's loss."""
ACCEPT_POLL_S = 0.2
"""Seconds between looks at whether to stop listening."""
MAX_CONNECTIONS = 3000
"""Connections held at once, each by a thread; more would cost memory that others need."""
STACK_BYTES = 256 * 1024
"""Bytes of stack of a connection's thread; the usual 8 MiB are far more than it needs."""
STOP_LIMIT_S = 1.0
"""Seconds to wait for the end of the accepting thread; it looks several times in that time."""

_log = logging.getLogger("roadpass.ingress")


class Dispatches(Protocol):
    """What the ingress hands requests to; `Dispatcher` is one."""

    def dispatch(self, request: Request) -> Served:
        """See one request to its outcome."""


class Ingress(Actor):
    """Owns the callers' listening socket, and a thread for each of their connections.

    Args:
        settings: Of this node.
        dispatcher: Sees requests to their outcomes.
        view: Tells the limits, and whether the node is leaving.
        metrics: Counts outcomes.
        dialect: Header names towards callers.
        origin: Service of the VM at which requests begin, empty if unknown.
    """

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatches,
        view: View,
        metrics: Metrics,
        *,
        dialect: Dialect = OWN,
        origin: str = "",
    ) -> None:
        super().__init__()
        self._address = (settings.address, settings.ports.callers)
        self._stopped = threading.Event()
        self._active = ActiveCount()
        self._connections = ActiveCount()
        self._open: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self._desk = ConnectionContext(
            dispatch=dispatcher.dispatch,
            limits=lambda: view.limits,
            leaving=lambda: view.leaving or self._stopped.is_set(),
            metrics=metrics,
            active=self._active,
            ending=view.ending,
            dialect=dialect,
            caller_header=settings.caller_header,
            origin=origin,
            identify=lambda *what: identify(view.fleet, *what),
        )

    @property
    def active(self) -> int:
        """Requests that are being answered."""
        return self._active.value

    @property
    def unread(self) -> int:
        """Connections on which something waits to be read, one that waits to be accepted included.

        A node that gets little processor time has not read what its callers have sent.
        """
        poller = select.poll()
        for sock in (*self._open.copy(), self._listener):
            number = sock.fileno() if sock is not None else -1
            if number >= 0:  # its thread may close it at any moment
                poller.register(number, select.POLLIN)
        return sum(not events & select.POLLNVAL for _, events in poller.poll(0))

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port that callers reach; the port is known once it listens."""
        return self._address

    def on_start(self) -> None:
        """Listen."""
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        listener = socket.create_server(self._address, family=family, backlog=BACKLOG)
        listener.settimeout(ACCEPT_POLL_S)
        self._listener = listener
        self._address = listener.getsockname()[:2]
        self._thread = threading.Thread(
            target=self._accept_all, args=(listener,), name="ingress", daemon=True
        )
        self._thread.start()
        _log.info("listening for callers on %s:%d", *self._address)

    def on_stop(self) -> None:
        """Stop to listen; whoever stops the actor has seen to it that nothing is in flight."""
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
                _log.warning("cannot accept a caller: %s", error)
                self._stopped.wait(ACCEPT_POLL_S)
                continue
            self._accept(sock, address[0])

    def _accept(self, sock: socket.socket, remote: str) -> None:
        if self._connections.value >= MAX_CONNECTIONS:
            _log.warning("closed a connection of %s, there are %d", remote, MAX_CONNECTIONS)
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
        usual = threading.stack_size(STACK_BYTES)
        try:
            thread = threading.Thread(
                target=self._run, args=(sock, remote), name="caller", daemon=True
            )
            thread.start()
        finally:
            threading.stack_size(usual)

    def _run(self, sock: socket.socket, remote: str) -> None:
        try:
            CallerConnection(sock, remote, self._desk).run()
        finally:
            self._open.discard(sock)
            self._connections.add(-1)

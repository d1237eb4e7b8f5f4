"""Shared base of a node's HTTP servers: a gateway without WSGI that writes complete responses."""

import socket
import threading
import time
from abc import abstractmethod
from collections.abc import Iterable
from email.utils import formatdate
from functools import lru_cache
from typing import Any

from cheroot.server import Gateway, HTTPServer

KEEP_ALIVE_CONNECTIONS = 2000
REQUEST_QUEUE = 512
SOCKET_TIMEOUT_S = 30
POLL_S = 0.5


class WebServer(HTTPServer):
    """A cheroot server that counts the requests it is handling.

    Args:
        address: IP address and port.
        gateway: Class that handles one request.
        owner: Object that the gateway uses as its application.
        threads: Worker threads.
    """

    def __init__(
        self, address: tuple[str, int], gateway: type[Gateway], owner: Any, *, threads: int
    ) -> None:
        super().__init__(
            address, gateway, minthreads=threads, maxthreads=threads, server_name="roadpass"
        )
        self.owner = owner
        self.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        self.request_queue_size = REQUEST_QUEUE
        self.timeout = SOCKET_TIMEOUT_S
        self.expiration_interval = POLL_S
        self.nodelay = True
        self.active = 0
        self._active_lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name="web", daemon=True)

    def start_thread(self) -> None:
        """Bind the address and serve in a new thread; binding errors are raised here."""
        self.prepare()
        self._thread.start()

    def add_active(self, change: int) -> None:
        """Change the number of requests being handled; thread-safe."""
        with self._active_lock:
            self.active += change

    def _run(self) -> None:
        self.serve()


class WebGateway(Gateway):
    """Handles one request; subclasses implement `answer`."""

    @abstractmethod
    def answer(self) -> None:
        """Handle the request, usually with one call of `reply`."""

    def respond(self) -> None:
        """Call `answer`, counting the request as active meanwhile."""
        server = self.req.server
        server.add_active(1)
        try:
            self.answer()
        finally:
            server.add_active(-1)

    @property
    def method(self) -> str:
        """HTTP method of the request."""
        method: str = self.req.method.decode("latin-1")
        return method

    @property
    def uri(self) -> str:
        """Path of the request with its query string."""
        path: str = self.req.path.decode("latin-1")
        query: str = self.req.qs.decode("latin-1")
        return f"{path}?{query}" if query else path

    @property
    def sock(self) -> socket.socket:
        """Socket of the caller's connection."""
        sock: socket.socket = self.req.conn.socket
        return sock

    def header(self, name: str) -> str:
        """Return the value of a request header, empty if it is missing."""
        value: bytes = self.req.inheaders.get(name.encode("latin-1"), b"")
        return value.decode("latin-1")

    def headers(self) -> list[tuple[str, str]]:
        """Return all request headers."""
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.req.inheaders.items()
        ]

    def body(self) -> bytes:
        """Read the whole request body."""
        body: bytes = self.req.rfile.read()
        return body

    def reply(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        *,
        close: bool = False,
    ) -> None:
        """Write a complete response; `Content-Length` and `Date` are added."""
        req = self.req
        req.status = f"{status} {_PHRASES.get(status, 'Status')}".encode("latin-1")
        req.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        req.outheaders.append((b"Content-Length", str(len(body)).encode()))
        req.outheaders.append((b"Date", _date(int(time.time()))))
        if close:
            req.close_connection = True
        req.ensure_headers_sent()
        if body and self.method != "HEAD":
            req.write(body)


@lru_cache(maxsize=2)
def _date(second: int) -> bytes:
    """Return the value of the `Date` header; cached, so it is formatted once per second."""
    return formatdate(second, usegmt=True).encode()


_PHRASES = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

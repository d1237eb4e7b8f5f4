"""A target that the test plays by hand, and a client that sends requests in threads."""

import contextlib
import socket
import struct
import threading
from concurrent.futures import Future
from typing import Any

from roadpass.dialect import OWN, Dialect
from roadpass.target import TargetAnswer, TargetClient

OK = b"HTTP/1.1 200 OK\r\n"
PLAIN = Dialect(
    deadline="X-Deadline",
    request_id="X-Id",
    caller_sets_id=True,
    echoes_id=True,
    expected_instance="X-Expected",
    instance="X-Instance",
    origin_service="X-Origin",
    not_run="X-Not-Run",
    load="X-Load",
    ends_by_close=True,
    own_prefix="",
)
BY_CLOSE = OWN._replace(ends_by_close=True)
WHOLE = OK + b"Content-Length: 2\r\n\r\nhi"
LONG = 64 * 1024 * 1024
"""Length of a body that exceeds every socket buffer, in bytes."""


class Caller:
    """A caller that the test can disconnect, watched over a socket pair."""

    watchable = True

    def __init__(self) -> None:
        self.near, self.far = socket.socketpair()
        self.checks = 0

    def fileno(self) -> int:
        """Return the watched descriptor."""
        return self.near.fileno()

    def gone(self) -> bool:
        """Read what has arrived; return whether the caller has closed."""
        self.checks += 1
        return not self.near.recv(100)


class Fleet:
    """A listening target that the test plays by hand, and a client of it."""

    def __init__(self, listener: socket.socket, dialect: Dialect = OWN, **options: int) -> None:
        self.listener = listener
        listener.settimeout(5.0)
        host, port = listener.getsockname()
        self.client = TargetClient(f"{host}:{port}", dialect=dialect, **options)

    def ask(self, attempt_id: str = "a/1/1", **changes: Any) -> "Future[TargetAnswer]":
        """Start a request in a thread; `changes` replace arguments of `TargetClient.send`."""
        given: dict[str, Any] = {"method": "GET", "path": "/x", "headers": [], "body": b""}
        given |= {"timeout_s": 5.0, "fresh": False, "request_id": "r1"}
        given |= changes
        future: Future[TargetAnswer] = Future()

        def run() -> None:
            try:
                future.set_result(self.client.send(attempt_id, **given))
            except Exception as error:
                future.set_exception(error)

        threading.Thread(target=run, daemon=True).start()
        return future

    def accept(self) -> socket.socket:
        """Accept the next connection of the client."""
        sock, _ = self.listener.accept()
        sock.settimeout(5.0)
        return sock

    def no_connection(self) -> bool:
        """Return whether the client opens no connection for 0.1 s."""
        self.listener.settimeout(0.1)
        try:
            self.listener.accept()
        except TimeoutError:
            return True
        finally:
            self.listener.settimeout(5.0)
        return False

    def idle_connection(self, answer: bytes = WHOLE) -> socket.socket:
        """Run one request; return its connection, which the client may keep for reuse."""
        future = self.ask()
        sock = self.accept()
        head_of(sock)
        sock.sendall(answer)
        assert future.result(5.0).answer.body == b"hi"
        return sock

    def opens_connection(self, **changes: Any) -> bool:
        """Run another request; return whether it used a new connection."""
        self.listener.settimeout(0.1)
        future = self.ask(**changes)
        try:
            sock = self.accept()
        except TimeoutError:
            return False
        finally:
            self.listener.settimeout(5.0)
        head_of(sock)
        sock.sendall(OK + b"X-Id: r1\r\nContent-Length: 2\r\n\r\nhi")
        assert future.result(5.0).answer.body == b"hi"
        return True


def head_of(sock: socket.socket) -> list[str]:
    """Read the head of a request; return its lines."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(1)
        assert part, "the client closed"
        data += part
    return data.decode().split("\r\n")[:-2]


def reset(sock: socket.socket) -> None:
    """Reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def closed(sock: socket.socket) -> bool:
    """Read until the client has closed; return true."""
    with contextlib.suppress(ConnectionResetError):
        while sock.recv(1 << 20):
            pass
    return True


def exchange(fleet: Fleet, answer: bytes, **changes: Any) -> TargetAnswer:
    """Run one request to which the target sends `answer` and then closes."""
    future = fleet.ask(**changes)
    with fleet.accept() as sock:
        head_of(sock)
        sock.sendall(answer)
    return future.result(5.0)

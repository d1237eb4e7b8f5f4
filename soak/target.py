"""A target that fails as it is told and notes what arrives."""

import contextlib
import random
import select
import socket
import struct
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from math import inf
from socketserver import ThreadingTCPServer

from roadpass import clock
from soak.history import Arrival, History, Instance, Request

ENDING = "/ending"
"""In the path of a request that ends each target that runs it."""
SICK_SHARE = 0.6
"""Share of requests to which a fault applies: a sick target is half alive."""
NOT_RUN = ("reset-early", "shed", "foreign")
PORT, WORK_S, SLOW_S, HANG_LIMIT_S = 8110, 0.004, (0.3, 1.2), 5.0
RESET = struct.pack("ii", 1, 0)
"""Socket option by which a close resets the connection."""


def answer_body(request: str, path: str) -> bytes:
    """Return the whole answer to a request; its length differs from others'."""
    return f"{request} {path} ".encode() + b"x" * (sum(request.encode()) % 997)


class SoakTarget(ThreadingTCPServer):
    """A target at one address, as one instance after another; `fault` is empty for none."""

    allow_reuse_address = daemon_threads = True
    request_queue_size = 128

    def __init__(self, ip: str, instance: Instance, history: History) -> None:
        super().__init__((ip, PORT), _Handler)
        self.ip, self.address = ip, f"{ip}:{PORT}"
        self.instance, self.history, self.fault = instance, history, ""
        self.rng = random.Random(instance.name)
        self.open: set[socket.socket] = set()
        self.down = False
        self._ending = threading.Lock()
        self.on_end: Callable[[SoakTarget], None] = lambda target: None
        self._serve()

    def crash(self) -> None:
        """Reset all connections, and be another instance."""
        name, _, number = self.instance.name.rpartition("-")
        name = f"{name}-{int(number) + 1}"
        self.fault, self.instance = "", Instance(name, self.instance.service, self.instance.node)
        for sock in self.open.copy():
            _reset(sock)

    def end(self) -> None:
        """End as a process does that is killed: no connection is taken from now on."""
        with self._ending:
            if self.down:
                return
            self.down = True
        self.socket.shutdown(socket.SHUT_RDWR)
        self.on_end(self)
        for sock in self.open.copy():
            _reset(sock)

    def start_again(self) -> None:
        """Listen again, as another instance."""
        self.shutdown()
        self.server_close()
        self.crash()
        self.socket = socket.socket(self.address_family, self.socket_type)
        self.server_bind()
        self.server_activate()
        self.down = False
        self._serve()

    def _serve(self) -> None:
        threading.Thread(target=self.serve_forever, args=(0.1,), daemon=True).start()

    def handle_error(self, *_: object) -> None:
        """Say nothing of lost connections, which are wanted."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: SoakTarget

    def do_GET(self) -> None:
        self.server.open.add(self.connection)
        length = int(self.headers.get("Content-Length", "0"))
        if len(self.rfile.read(length)) == length:
            self._answer(self.server)

    do_POST = do_GET

    def _answer(self, target: SoakTarget) -> None:
        """Run one request as the fault says, and note that it came."""
        fault = target.fault if target.rng.random() < SICK_SHARE else ""
        instance = target.instance
        if self.headers.get("Expected-Instance", instance.name) != instance.name:
            fault = "foreign"
        request = target.history.requests[self.headers["Request-Id"]]
        told = self.headers.get("Tenant-Id", "")
        shown = "Authorization" in self.headers
        ran = fault not in NOT_RUN
        request.arrivals.append(Arrival(clock.now(), instance, ran, told, shown))
        arrival = request.arrivals[-1]
        try:
            if ENDING in self.path and ran:
                self._end(target, arrival)
            elif ran and request.work_s and self._is_left(arrival, request.work_s):
                return
            else:
                self._play(fault, request, arrival)
        finally:
            arrival.done = clock.now()

    def _play(self, fault: str, request: Request, arrival: Arrival) -> None:
        """Answer a request as the fault says."""
        target = self.server
        time.sleep(target.rng.uniform(*SLOW_S) if fault == "slow" else WORK_S)
        self.close_connection |= fault in ("reset-early", "reset-late", "hang", "garbled")
        body = answer_body(request.id, self.path)
        match fault:
            case "reset-early" | "reset-late":
                _reset(self.connection)
            case "hang":
                self._is_left(arrival, HANG_LIMIT_S)
            case "garbled":
                self.wfile.write(b"HTTP/1.1 2x0 ?\r\n\r\n" + body)
            case "fail":
                self._reply(500, body)
            case "foreign":
                self._reply(421, b"another instance")
            case "shed":
                self._reply(503, b"shed", "Not-Executed: 1\r\nRetry-After: 1\r\n")
            case "extra" if target.rng.random() < 0.5:
                self._reply(200, body)
                self._reply(200, b"a second answer")
            case "extra":
                self._reply(200, b"an answer to an earlier request", identity="c0-0")
                self._reply(200, body)
            case _:
                self._reply(200, body)

    def _is_left(self, arrival: Arrival, seconds: float) -> bool:
        """Be at work for so long, and tell whether the connection ended meanwhile."""
        try:
            left = is_readable(self.connection, seconds)
        except (OSError, ValueError):  # closed by now
            left = True
        own = self.server.down or self.server.instance is not arrival.instance
        arrival.cut = left and not own
        self.close_connection |= left
        return left

    def _end(self, target: SoakTarget, arrival: Arrival) -> None:
        """End the target; one that leaves only loses the request, as it ends by a schedule."""
        self.close_connection = True
        if arrival.instance.left < inf:
            _reset(self.connection)
        else:
            target.history.ends.append(arrival.at)
            target.end()

    def _reply(self, status: int, body: bytes, headers: str = "", identity: str = "") -> None:
        identity = identity or self.headers["Request-Id"]
        head = f"HTTP/1.1 {status} Status\r\nRequest-Id: {identity}\r\n{headers}"
        self.wfile.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


def is_readable(sock: socket.socket, seconds: float) -> bool:
    """Wait so long for bytes or an end; also for descriptors that `select` does not take."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(seconds * 1000.0))


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RD)
        sock.close()

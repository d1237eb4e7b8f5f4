"""A target with injected faults, which records the requests that arrive."""

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

POISON_PATH = "/ending"
"""Part of the path of the poison request, which crashes each target that runs it."""
SIZE_PATH = "/kb-"
"""Part of a path that is followed by the kilobytes of the response's body."""
FAULT_SHARE = 0.6
"""Share of requests to which a fault applies: a faulty target still serves the others."""
NOT_RUN = ("reset-early", "shed", "foreign")
MISDIRECTED = 421
PORT, WORK_S, SLOW_S, HANG_LIMIT_S = 8110, 0.004, (0.3, 1.2), 5.0
LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""


def response_body(request: str, path: str) -> bytes:
    """Return the response body of a request; its content and length depend on the request."""
    _, _, size_kb = path.partition(SIZE_PATH)
    filler = sum(request.encode()) % 997 + int(size_kb or 0) * 1024
    return f"{request} {path} ".encode() + b"x" * filler


class SoakTarget(ThreadingTCPServer):
    """A target at one address; each restart makes a new instance, and an empty `fault` is none."""

    allow_reuse_address = daemon_threads = True
    request_queue_size = 128

    def __init__(self, ip: str, instance: Instance, history: History) -> None:
        super().__init__((ip, PORT), _Handler)
        self.ip, self.address = ip, f"{ip}:{PORT}"
        self.instance, self.history, self.fault = instance, history, ""
        self.rng = random.Random(instance.name)
        self.connections: set[socket.socket] = set()
        self.down = False
        self._kill_lock = threading.Lock()
        self.on_crash: Callable[[SoakTarget], None] = lambda target: None
        self._serve()

    def restart(self) -> None:
        """Reset all connections and continue as a new instance without a fault."""
        name, _, number = self.instance.name.rpartition("-")
        name = f"{name}-{int(number) + 1}"
        self.fault, self.instance = "", Instance(name, self.instance.service, self.instance.node)
        for sock in self.connections.copy():
            _reset(sock)

    def set_limit(self, limit_per_s: float) -> None:
        """Name another limit in all responses from now on; inf for none."""
        self.instance.limits.append((clock.now(), limit_per_s))

    def kill(self) -> None:
        """Behave like a killed process: reset all connections and accept no new ones."""
        with self._kill_lock:
            if self.down:
                return
            self.down = True
        self.socket.shutdown(socket.SHUT_RDWR)
        self.on_crash(self)
        for sock in self.connections.copy():
            _reset(sock)

    def start(self) -> None:
        """Listen again, as a new instance."""
        self.shutdown()
        self.server_close()
        self.restart()
        self.socket = socket.socket(self.address_family, self.socket_type)
        self.server_bind()
        self.server_activate()
        self.down = False
        self._serve()

    def _serve(self) -> None:
        threading.Thread(target=self.serve_forever, args=(0.1,), daemon=True).start()

    def handle_error(self, *_: object) -> None:
        """Print nothing, as lost connections are intended."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: SoakTarget

    def do_GET(self) -> None:
        self.server.connections.add(self.connection)
        length = int(self.headers.get("Content-Length", "0"))
        body = self.rfile.read(length)
        if len(body) == length:
            self._handle_request(self.server, body)

    do_POST = do_GET

    def _handle_request(self, target: SoakTarget, body: bytes) -> None:
        """Record the arrival of a request and serve it as the fault requires."""
        fault = target.fault if target.rng.random() < FAULT_SHARE else ""
        instance = target.instance
        if self.headers.get("Expected-Instance", instance.name) != instance.name:
            fault = "foreign"
        request = target.history.requests[self.headers["Request-Id"]]
        customer = self.headers.get("Tenant-Id", "")
        key_forwarded = "Authorization" in self.headers
        ran = fault not in NOT_RUN
        request.arrivals.append(Arrival(clock.now(), instance, ran, customer, key_forwarded))
        self._arrival = arrival = request.arrivals[-1]
        arrival.body_bytes = body if request.body_bytes else None
        try:
            if POISON_PATH in self.path and ran:
                self._kill_target(target, arrival)
            elif ran and request.work_s and self._wait_for_close(arrival, request.work_s):
                return
            else:
                self._respond(fault, request, arrival)
        finally:
            arrival.finished_at = clock.now()

    def _respond(self, fault: str, request: Request, arrival: Arrival) -> None:
        """Send the response that the fault requires."""
        target = self.server
        time.sleep(target.rng.uniform(*SLOW_S) if fault == "slow" else WORK_S)
        self.close_connection |= fault in ("reset-early", "reset-late", "hang", "garbled")
        body = response_body(request.id, self.path)
        match fault:
            case "reset-early" | "reset-late":
                _reset(self.connection)
            case "hang":
                self._wait_for_close(arrival, HANG_LIMIT_S)
            case "garbled":
                self.wfile.write(b"HTTP/1.1 2x0 ?\r\n\r\n" + body)
            case "fail":
                self._reply(500, body)
            case "foreign":
                self._reply(MISDIRECTED, b"another instance")
            case "shed":
                self._reply(503, b"shed", "Not-Executed: 1\r\nRetry-After: 1\r\n")
            case "extra" if target.rng.random() < 0.5:
                self._reply(200, body)
                self._reply(200, b"a second answer")
            case "extra":
                self._reply(200, b"an answer to an earlier request", request_id="c0-0")
                self._reply(200, body)
            case _:
                self._reply(200, body)

    def _wait_for_close(self, arrival: Arrival, seconds: float) -> bool:
        """Work on a request for a time; return whether its connection was closed meanwhile."""
        try:
            closed = is_readable(self.connection, seconds)
        except (OSError, ValueError):  # already closed
            closed = True
        ended_here = self.server.down or self.server.instance is not arrival.instance
        arrival.cancelled = closed and not ended_here
        self.close_connection |= closed
        return closed

    def _kill_target(self, target: SoakTarget, arrival: Arrival) -> None:
        """Crash the target; a draining one only resets the request, as its restart is scheduled."""
        self.close_connection = True
        if arrival.instance.draining_at < inf:
            _reset(self.connection)
        else:
            target.history.poison_crashes.append(arrival.at)
            target.kill()

    def _reply(self, status: int, body: bytes, headers: str = "", request_id: str = "") -> None:
        request_id = request_id or self.headers["Request-Id"]
        head = f"HTTP/1.1 {status} Status\r\nRequest-Id: {request_id}\r\n{headers}"
        if status != MISDIRECTED:
            head += self._statements()
        self.wfile.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def _statements(self) -> str:
        """Return the headers that say who responds, its limit, and that it leaves."""
        instance = self._arrival.instance
        limit_per_s = instance.limit_per_s
        headers = f"Server-Signature: {instance.name}\r\n"
        if limit_per_s < inf:
            self._arrival.named_limit = True
            headers += f"Server-Limit: {limit_per_s:g}\r\n"
        if instance.leaving_at < inf:
            headers += "Server-Leaving: 1\r\n"
        return headers


def is_readable(sock: socket.socket, seconds: float) -> bool:
    """Wait for data or the end of a connection; `poll` takes descriptors that `select` refuses."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(seconds * 1000.0))


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        sock.shutdown(socket.SHUT_RD)
        sock.close()

"""Shared stage of the script cases 4 and up: store, nodes as the deploy file says, records.

Everything runs on loopback addresses of one network that was free when the stage was made. The
store is the project's stand-in; nodes get settings as the platform fills the template for a small
deployment.
"""

import fcntl
import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import threading
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

from stand_ins.store import StoreState, config, entry, store_server

ROOT = Path(__file__).resolve().parent.parent
CALLERS, STREAM, ADMIN, METRICS, STORE, TARGET = 8147, 7380, 8141, 9464, 8142, 8145
MAX_BODY_BYTES = 8_000_000
TERMS = ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "platform"]
HELD, BROKEN, NOT_RUN = 0, 1, 2
RESTART_S = 0.5
"""Seconds from the end of a process to its next start."""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_network() -> str:
    """Return the first three numbers of a loopback network whose ports are free."""
    for _ in range(200):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 13):
                for port in (CALLERS, STREAM, ADMIN, TARGET):
                    with socket.socket() as sock:
                        sock.bind((f"{network}.{host}", port))
            with socket.socket() as sock:
                sock.bind((f"{network}.250", STORE))
            return network
        except OSError:
            continue
    raise RuntimeError("no loopback network has its ports free")


class Record:
    """The file `record.txt` of a case; each line begins with the seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str, *, show: bool = False) -> None:
        """Write one line; with `show` also to standard output."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        with self._lock:
            self._file.write(line + "\n")
        if show:
            print(line, flush=True)


class Node:
    """One machine's process of the system, started as the deploy file says."""

    def __init__(self, ip: str, path: Path, settings: dict[str, Any]) -> None:
        self.ip = ip
        self._path = path
        self._lock = threading.Lock()
        self._closed = False
        self.settings = settings
        self.write_settings()
        self._log = path.with_suffix(".log").open("ab")
        self.start()

    def write_settings(self, **changes: Any) -> None:
        """Write the settings file, as the platform does before each start and with a SIGHUP."""
        self.settings |= changes
        written = self._path.with_suffix(".new")
        written.write_text(json.dumps(self.settings, indent=1))
        written.replace(self._path)

    def start(self) -> None:
        """Start the process, unless the case is over."""
        with self._lock:
            if not self._closed:
                self._start()

    def close(self) -> None:
        """End the process for good."""
        with self._lock:
            self._closed = True
            self.kill()

    def _start(self) -> None:
        path = f"{ROOT / 'target' / 'deps'}"
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = {**keep, "PYTHONPATH": path, "ROADPASS_SETTINGS": str(self._path)}
        command = [sys.executable, "-m", "roadpass.daemon"]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=self._log, stderr=subprocess.STDOUT
        )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def terminate(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.process.send_signal(signal.SIGTERM)
        killer = threading.Timer(grace_s, self.process.kill)
        killer.daemon = True
        killer.start()

    def hang_up(self) -> None:
        """Send SIGHUP, which says that the settings file has changed."""
        self.process.send_signal(signal.SIGHUP)

    def is_ready(self) -> bool:
        """Return whether the node answers the platform's question with 200."""
        connection = http.client.HTTPConnection(self.ip, ADMIN, timeout=1.0)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def memory_mb(self) -> float:
        """Return the memory of the process without shared files, in megabytes."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) for line in lines if line.startswith("RssAnon:")) / 1024.0


class Stage:
    """The store and the nodes of a case; each node has one target beside it.

    Args:
        count: Number of machines.
        memory_mb: Memory of each.
        timeout_s: Timeout of both routes, `/get/` (idempotent) and `/post/` (non_idempotent).
    """

    def __init__(self, count: int, *, memory_mb: int, timeout_s: int) -> None:
        self.network = free_network()
        self.ips = [f"{self.network}.{host}" for host in range(1, count + 1)]
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._timeout_s = timeout_s
        self._memory_mb = memory_mb
        self.store = StoreState()
        self.store.page_items = 50
        self.store.put("op/config", self._config())
        self._server = store_server((f"{self.network}.250", STORE), self.store)
        self._server.start_thread()
        self.nodes: list[Node] = []
        self._closed = False
        _stages.append(self)

    def publish(self, number: int, instance: str, slots: int) -> None:
        """Write the entry of the target beside a machine."""
        value = entry(f"{self.ips[number]}:{TARGET}")
        value["Info"]["Capacity"] = slots
        self.store.put(f"servers/{instance}", value)

    def start(self) -> None:
        """Start all nodes, and wait until they are ready."""
        for ip in self.ips:
            path = Path(self._folder.name) / f"{ip}.jsonc"
            self.nodes.append(Node(ip, path, self._settings(ip)))
        if not wait_until(lambda: all(node.is_ready() for node in self.nodes), 20.0):
            self.close()
            raise RuntimeError("the nodes did not get ready")

    def close(self) -> None:
        """End all processes; may be called again."""
        if self._closed:
            return
        self._closed = True
        for node in self.nodes:
            node.close()
        self._server.stop()
        self._folder.cleanup()

    def _settings(self, ip: str) -> dict[str, Any]:
        return {
            **{"vm": ip, "hall": "h", "region": "r", "address": ip, "origin_service": "s"},
            **{"memory_mb": self._memory_mb, "cores": 1, "cpu_share": 0.86},
            "ports": {
                **{"callers": f"{ip}:{CALLERS}", "admin": f"{ip}:{ADMIN}"},
                **{"stream": STREAM, "gossip": STREAM, "metrics": METRICS},
            },
            "store": {
                "address": f"{self.network}.250:{STORE}",
                **{"floor_share": 0.7, "retry_ratio": 0.2, "retry_slack": 166},
                **{"retry_window_s": "10s", "in_force_s": "2500ms"},
                "terms": TERMS,
            },
            "stop_limit_s": "6s",
            "log": {"level": "info", "format": "json"},
        }

    def _config(self) -> Any:
        rows = [
            ["get", "h.example", "/get/", "idempotent", "s", None],
            ["post", "h.example", "/post/", "non_idempotent", "s", None],
        ]
        value = config(3, rows)
        value["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES
        columns = value["Routes"]["Columns"]
        for row in value["Routes"]["Rows"]:
            row[columns.index("Timeout")] = f"{self._timeout_s}s"
            row[columns.index("TargetLatency")] = "5s"
        return value


_stages: list[Stage] = []


def run_case(case: Callable[[], int]) -> NoReturn:
    """Run a case, end all that it started, and exit: with 2 if it could not run to its end."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    status = NOT_RUN
    try:
        status = case()
    except Exception:
        traceback.print_exc()
    finally:
        for stage in _stages:
            stage.close()
    raise SystemExit(status)


def wait_until(holds: Callable[[], bool], limit_s: float) -> bool:
    """Wait until `holds` returns true; return whether it did within some seconds."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if holds():
            return True
        time.sleep(0.05)
    return False


class Target:
    """A sound target: it answers each request at once with `body`, and records what it ran.

    An answer of which nothing was read for some seconds is cut off, as the pages say.
    """

    CUT_S = 5.0

    def __init__(
        self,
        ip: str,
        instance: str,
        body: bytes,
        record: Record,
        *,
        pause_s: float = 0.0,
    ) -> None:
        self._instance = instance
        self._pause_s = pause_s
        self._body = body
        self._record = record
        self._lock = threading.Lock()
        self.ran: dict[str, float] = {}
        self.began: dict[str, float] = {}
        self.cut: set[str] = set()
        self.answered: dict[str, float] = {}
        self._listener = socket.create_server((ip, TARGET), backlog=256)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as file:
            try:
                while head := _read_head(file):
                    self._answer(sock, file, head)
            except OSError:
                return

    def _answer(self, sock: socket.socket, file: Any, head: dict[str, str]) -> None:
        request = head.get("request-id", "")
        if not self._read_body(file, int(head.get("content-length", "0")), head[""], request):
            raise ConnectionError("the body broke off")
        headers = f"Request-Id: {request}\r\n"
        if head.get("expected-instance", self._instance) != self._instance:
            sock.sendall(f"HTTP/1.1 421 X\r\n{headers}Content-Length: 0\r\n\r\n".encode())
            return
        with self._lock:
            self.ran[request] = time.monotonic()
        self._record.write(f"{self._instance} ran {request}")
        headers += f"Server-Signature: {self._instance}.{request}\r\n"
        body = self._body
        sock.sendall(f"HTTP/1.1 200 OK\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode())
        rest = memoryview(body)
        sock.settimeout(self.CUT_S)
        try:
            while rest:
                rest = rest[sock.send(rest[:65536]) :]
        except TimeoutError:
            self.cut.add(request)
            self._record.write(f"{self._instance} cut off the answer to {request}: unread")
            raise
        sock.settimeout(None)
        self.answered[request] = time.monotonic()

    def _read_body(self, file: Any, length: int, line: str, request: str) -> bool:
        """Read a body; a slow target pauses before the last bytes, whose number the path ends with.

        Returns:
            Whether the body came whole.
        """
        last = line.split()[1].rpartition("/")[2]
        if not self._pause_s or not last.isdigit():
            return len(file.read(length)) == length
        self._record.write(f"{self._instance} began to work on {request}")
        self.began[request] = time.monotonic()
        read = len(file.read(length - int(last)))
        time.sleep(self._pause_s)
        read += len(file.read(int(last)))
        self._record.write(f"{self._instance} read {read} of {length} bytes of {request}")
        return read == length


def _read_head(file: Any) -> dict[str, str]:
    """Read the head of a request; empty at the end of the connection."""
    first = file.readline()
    if not first:
        return {}
    head = {"": first.decode("latin-1")}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        head[name.lower()] = value.strip()
    return head


class Answer:
    """What a client got for one request.

    Attributes:
        status: 0 if no head came.
        got: Bytes of the body.
        length: Announced bytes of the body.
        sent: Whether all bytes of the request were taken by the node's machine within a second.
        took_s: Seconds from the end of the request to the end of the answer or connection.
        end: How it ended: `whole`, `closed` or the name of an error.
    """

    def __init__(self) -> None:
        self.status = 0
        self.got = 0
        self.length = -1
        self.took_s = 0.0
        self.sent = False
        self.end = ""


def ask(
    ip: str, request: str, path: str, deadline_s: float, rate: float, body: bytes = b"body"
) -> Answer:
    """Send one POST on a new connection, and read its answer.

    Args:
        ip: Address of the node.
        request: Id of the request.
        path: Its path.
        deadline_s: Seconds that the client waits.
        rate: Bytes a second that the client reads, 0 for as fast as it can.
        body: Body of the request.
    """
    answer = Answer()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.settimeout(deadline_s)
        began = time.monotonic()
        try:
            sock.connect((ip, CALLERS))
            sock.sendall(
                f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request}\r\n"
                f"Deadline-Ms: {int(deadline_s * 1000)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            began = time.monotonic()
            answer.sent = wait_until(lambda: _unacknowledged(sock) == 0, 1.0)
            _read_answer(sock, answer, began, deadline_s, rate)
        except OSError as error:
            answer.end = type(error).__name__
        answer.took_s = time.monotonic() - began
    return answer


def _unacknowledged(sock: socket.socket) -> int:
    """Return the bytes that the other side's machine has not acknowledged."""
    found: int = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]
    return found


def _read_answer(
    sock: socket.socket, answer: Answer, began: float, deadline_s: float, rate: float
) -> None:
    head = b""
    while b"\r\n\r\n" not in head:
        data = sock.recv(4096)
        if not data:
            answer.end = "closed"
            return
        head += data
    head, _, rest = head.partition(b"\r\n\r\n")
    answer.status = int(head.split()[1])
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            answer.length = int(line.split(b":")[1])
    answer.got = len(rest)
    reading = time.monotonic()
    while answer.got < answer.length:
        if rate:
            ahead = answer.got / rate - (time.monotonic() - reading)
            time.sleep(max(0.0, ahead))
        sock.settimeout(max(0.01, began + deadline_s - time.monotonic()))
        data = sock.recv(16384)
        if not data:
            answer.end = "closed"
            return
        answer.got += len(data)
    answer.end = "whole"

"""Stand-ins for a small deployment on loopback: store, servers, clients, and nodes as processes.

They follow the users' pages: the store speaks `kv-range` and `kv-watch`, servers answer with
`Request-Id` and `Server-Signature`, answer 421 to another `Expected-Instance`, and record what they
run. Only the standard library is used.
"""

import base64
import contextlib
import json
import os
import shutil
import socket
import struct
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
START_LIMIT_S = 20.0
DRAIN_S = 2.0
MEMORY_MB = 300
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 67108864,
    "HeaderTimeout": "3000ms",
    "IdleTimeout": "15000ms",
}
"""As `fleetbench wire` prints them."""


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, written to `record.txt` at the end."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        with self._lock:
            self._lines.append(f"{time.monotonic() - self._start:8.3f} {text}")

    def write(self, verdict: str) -> None:
        """Write all lines and the verdict."""
        with self._lock:
            self._path.write_text("\n".join([*self._lines, verdict, ""]))
        print(verdict)


def route_row(
    name: str, prefix: str, kind: str, service: str, timeout: str = "3000ms"
) -> list[Any]:
    """Return a row of the configuration's routes."""
    return [name, HOST, prefix, kind, timeout, "800ms", 1, service, 2, None]


def config(version: int, rows: list[list[Any]], services: list[str]) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    columns = ["Name", "Host", "PathPrefix", "Kind", "Timeout", "TargetLatency", "Priority"]
    return {
        "Version": version,
        "Routes": {
            "Columns": [*columns, "Service", "MaxAttempts", "TrafficSplit"],
            "Rows": rows,
        },
        "Services": {
            "Columns": ["Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls"],
            "Rows": [[name, "/healthz", 390, "h1", False] for name in services],
        },
        "Limits": LIMITS,
    }


def receive_head(sock: socket.socket, rest: bytes = b"") -> tuple[bytes, bytes]:
    """Return the head of a message and the bytes behind it; the head is empty at the end."""
    data = rest
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return b"", data
        data += more
    head, _, rest = data.partition(b"\r\n\r\n")
    return head, rest


def header(head: bytes, name: str) -> str:
    """Return a header's value, empty if it is missing."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.decode("latin-1").lower() == name.lower():
            return value.decode("latin-1").strip()
    return ""


def receive_body(sock: socket.socket, head: bytes, rest: bytes) -> tuple[int, bytes]:
    """Read a body with a length; return its length and the bytes behind it."""
    length = int(header(head, "Content-Length") or 0)
    got = len(rest)
    while got < length:
        more = sock.recv(min(262144, length - got))
        if not more:
            raise ConnectionError("the body ended early")
        got += len(more)
        rest = b""
    return length, rest[length:] if len(rest) > length else b""


class Server:
    """A listening socket with a thread for each connection."""

    def __init__(self, address: tuple[str, int], serve: Callable[[socket.socket], None]) -> None:
        self.listener = socket.create_server(address, backlog=256)
        self.address = self.listener.getsockname()[:2]
        self._serve = serve
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve(sock)


class Store:
    """The platform's metadata store: linearizable ranges, and watches that wait."""

    def __init__(self, ip: str) -> None:
        self.changed = threading.Condition()
        self.revision = 0
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.watches: dict[int, bool] = {}
        """The watches that wait, by the port of their client, and whether they are to be cut."""
        self._server = Server((ip, 0), self._serve)
        self.address = "{}:{}".format(*self._server.address)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def put(self, key: str, value: Any) -> float:
        """Write an item; return when that was acknowledged."""
        with self.changed:
            self.revision += 1
            raw = base64.b64encode(json.dumps(value).encode()).decode()
            item = {"TlsKey": key, "Value": raw, "Revision": self.revision}
            item |= {"CreatedAt": self.revision, "Lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
            return time.monotonic()

    def delete(self, key: str) -> float:
        """Remove an item; return when that was acknowledged."""
        with self.changed:
            self.revision += 1
            self.items.pop(key)
            self.events.append({"TlsKey": key, "Revision": self.revision, "Deleted": True})
            self.changed.notify_all()
            return time.monotonic()

    def cut_watch(self, port: int) -> bool:
        """Close the connection of a watch; return whether it waited."""
        with self.changed:
            if port not in self.watches:
                return False
            self.watches[port] = True
            self.changed.notify_all()
            return True

    def _serve(self, sock: socket.socket) -> None:
        rest = b""
        while True:
            head, rest = receive_head(sock, rest)
            if not head:
                return
            parts = urlsplit(head.split(b" ", 2)[1].decode())
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            port = sock.getpeername()[1]
            is_range = parts.path == "/v1/kv-range"
            answer = self._range(query) if is_range else self._watch(query, port)
            if answer is None:
                return
            body = json.dumps(answer).encode()
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                % len(body)
                + body
            )

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("PathPrefix", ""), query.get("after", "")
        with self.changed:
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys]
            return {"items": items, "HasMore": False, "AtRev": self.revision}

    def _watch(self, query: dict[str, str], port: int) -> dict[str, Any] | None:
        """Return what came after a revision, `None` if the waiting watch is cut."""
        prefix, after = query.get("PathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000.0
        with self.changed:
            self.watches[port] = False
            try:
                while True:
                    if self.watches[port]:
                        return None
                    found = [
                        event
                        for event in self.events
                        if event["Revision"] > after and event["TlsKey"].startswith(prefix)
                    ]
                    left_s = until - time.monotonic()
                    if found or left_s <= 0.0:
                        return {"events": found, "AtRev": self.revision}
                    self.changed.wait(left_s)
            finally:
                del self.watches[port]


class Backend:
    """A server of a service: runs requests for `work_s` and records them."""

    def __init__(
        self, ip: str, port: int, instance: str, service: str, record: Record, work_s: float = 0.02
    ) -> None:
        self.ip, self.instance, self.service = ip, instance, service
        self.work_s = work_s
        self.runs: list[tuple[float, str, str]] = []
        """When each request arrived, its id and its path."""
        self.encoding: Callable[[], tuple[str, bytes] | None] = lambda: None
        """Returns a header and another body for an answer that is to be spoilt."""
        self._record = record
        self._connections: set[socket.socket] = set()
        self._server = Server((ip, port), self._serve)
        self.address = f"{ip}:{port}"

    def entry(self, zone: str, state: str = "ready", capacity: int = 40) -> dict[str, Any]:
        """Return the entry that it writes into the store."""
        info = {"Service": self.service, "Version": "v1", "Zone": zone, "Capacity": capacity}
        status = {"State": state, "Sequence": 1, "WarmupLeft": "0ms"}
        return {"Address": self.address, "Info": info, "Status": status}

    def body_of(self, request: str) -> bytes:
        """Return the whole body of the answer to a request."""
        return f"{self.service} {request} ".encode() * 8

    def signature(self, request: str) -> str:
        """Return the signature of the answer to a request."""
        return f"{self.instance}.{request}"

    def end(self) -> None:
        """End as a process does: stop listening and reset all connections."""
        self._server.close()
        for sock in self._connections.copy():
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
                sock.close()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def _serve(self, sock: socket.socket) -> None:
        self._connections.add(sock)
        rest = b""
        while True:
            head, rest = receive_head(sock, rest)
            if not head:
                self._connections.discard(sock)
                return
            _, rest = receive_body(sock, head, rest)
            request = header(head, "Request-Id")
            expected = header(head, "Expected-Instance")
            if expected and expected != self.instance:
                sock.sendall(
                    b"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %b\r\n"
                    b"Instance-Id: %b\r\nContent-Length: 0\r\n\r\n"
                    % (request.encode(), self.instance.encode())
                )
                continue
            path = head.split(b" ", 2)[1].decode()
            self.runs.append((time.monotonic(), request, path))
            self._record.add(f"run {request} {path} at {self.instance} of {self.service}")
            time.sleep(self.work_s)
            extra, body = self.encoding() or ("", self.body_of(request))
            sock.sendall(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
                f"Server-Signature: {self.signature(request)}\r\n{extra}"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )


class Node:
    """A node, started with the command of the deploy file; its settings are the filled template."""

    def __init__(
        self, ip: str, zone: str, service: str, store: str, ports: dict[str, int], folder: Path
    ) -> None:
        self.ip, self.ports = ip, ports
        self._settings = folder / f"{ip}.jsonc"
        self._settings.write_text(json.dumps(_settings(ip, zone, service, store, ports)))
        self.log_path = folder / f"{ip}.log"
        self._start()

    @property
    def callers(self) -> tuple[str, int]:
        """Address at which clients send requests."""
        return self.ip, self.ports["callers"]

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self.process.poll() is None

    def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        with (
            contextlib.suppress(OSError),
            socket.create_connection((self.ip, self.ports["admin"]), 1.0) as sock,
        ):
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in sock.recv(64)
        return False

    def memory_mb(self) -> float:
        """Return the memory of its process without shared files, 0 once it has ended."""
        with contextlib.suppress(OSError, ValueError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024.0
        return 0.0

    def has_connection(self, port: int) -> bool:
        """Return whether a TCP connection from a local port is that of its process."""
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
        rows = (line.split() for line in lines)
        inodes = {row[9] for row in rows if int(row[1].rpartition(":")[2], 16) == port}
        for link in Path(f"/proc/{self.process.pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                if os.readlink(link).removeprefix("socket:[").removesuffix("]") in inodes:
                    return True
        return False

    def close(self) -> None:
        """End its process."""
        if self.is_running:
            self.process.kill()
        self.process.wait()
        self._log.close()

    def _start(self) -> None:
        self._log = self.log_path.open("ab")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ROADPASS_SETTINGS": str(self._settings),
        }
        self.process = subprocess.Popen(
            _command(), stdout=self._log, stderr=subprocess.STDOUT, cwd=ROOT, env=environment
        )


class Deployment:
    """A store, and machines with a node and a server each, all on addresses `127.x.y.n`."""

    def __init__(self, record: Record, services: list[str]) -> None:
        self.record = record
        self._folder = Path(tempfile.mkdtemp(prefix="roadpass-review-"))
        net = f"127.{os.getpid() // 250 % 200 + 20}.{os.getpid() % 250 + 1}"
        ips = [f"{net}.{number}" for number in range(1, len(services) + 1)]
        numbers = _free_ports(ips, 4)
        ports = dict(zip(("callers", "stream", "admin"), numbers, strict=False))
        self.store = Store(f"{net}.250")
        self.services = sorted(set(services))
        self.backends = [
            Backend(ip, numbers[3], f"i-{number}", service, record)
            for number, (ip, service) in enumerate(zip(ips, services, strict=True), 1)
        ]
        self.nodes: list[Node] = []
        self._ports = ports

    def start(self, configuration: dict[str, Any]) -> bool:
        """Write configuration and entries, start the nodes; return whether all became ready."""
        self.store.put("op/config", configuration)
        for backend in self.backends:
            self.store.put(f"servers/{backend.instance}", backend.entry("zone-a"))
        self.nodes += [
            Node(b.ip, "zone-a", b.service, self.store.address, self._ports, self._folder)
            for b in self.backends
        ]
        until = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until:
            if all(node.is_ready() for node in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            node.close()
        for backend in self.backends:
            backend.close()
        self.store.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self._folder, ignore_errors=True)


class Answer:
    """An answer as a client received it; status 0 if the connection ended without one."""

    def __init__(self, status: int = 0, head: bytes = b"", body: bytes = b"") -> None:
        self.status, self.head, self.body = status, head, body


class Client:
    """A client's connection, which is kept for further requests."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self._record = record
        self._sock = socket.create_connection(address, 2.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._rest = b""

    def ask(
        self,
        method: str,
        path: str,
        request: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 3000,
        headers: str = "",
        pace: int = 0,
    ) -> Answer:
        """Send a request and wait for its answer; `pace` is in bytes a second, 0 for no limit."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{headers}"
        )
        head += f"Content-Length: {len(body)}\r\n\r\n" if method != "GET" else "\r\n"
        self._record.add(f"sent {method} {path} {request}, {len(body)} bytes")
        answer = Answer()
        try:
            self._sock.settimeout(deadline_ms / 1000.0 + 2.0)
            self._send(head.encode() + body, pace)
            answer = self._receive()
        except OSError as error:
            self._record.add(f"connection of {request} ended: {error!r}")
        self._record.add(f"answered {request} {answer.status} {answer.body[:40]!r}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _send(self, data: bytes, pace: int) -> None:
        if not pace:
            self._sock.sendall(data)
            return
        start = time.monotonic()
        for at in range(0, len(data), 65536):
            time.sleep(max(0.0, start + at / pace - time.monotonic()))
            self._sock.sendall(data[at : at + 65536])

    def _receive(self) -> Answer:
        head, rest = receive_head(self._sock, self._rest)
        if not head:
            return Answer()
        length = int(header(head, "Content-Length") or 0)
        while len(rest) < length:
            more = self._sock.recv(65536)
            if not more:
                return Answer()
            rest += more
        self._rest = rest[length:]
        return Answer(int(head.split(b" ", 2)[1]), head, rest[:length])


def _command() -> list[str]:
    """Return the command of the deploy file."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        name, _, value = line.partition("=")
        if name.strip() == "run":
            return value.strip().strip('"').split()
    raise LookupError("The deploy file has no command.")


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at all addresses."""
    found: list[int] = []
    for _ in range(200):
        with socket.create_server((ips[0], 0)) as probe:
            port = probe.getsockname()[1]
        if port not in found and all(_is_free(ip, port) for ip in ips):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with contextlib.suppress(OSError), socket.create_server((ip, port)):
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with udp:
            udp.bind((ip, port))
            return True
    return False


def _settings(
    ip: str, zone: str, service: str, store: str, ports: dict[str, int]
) -> dict[str, Any]:
    """Return the settings as the template has them for a small deployment."""
    return {
        "vm": ip,
        "hall": zone,
        "region": "region-a",
        "address": ip,
        "origin_service": service,
        "memory_mb": MEMORY_MB,
        "cores": 1,
        "cpu_share": 0.86,
        "ports": {**ports, "gossip": ports["stream"]},
        "store": {
            "address": store,
            "floor_share": 0.7,
            "retry_ratio": 0.2,
            "retry_slack": 64,
            "retry_window_s": "10s",
            "in_force_s": "2000ms",
            "terms": ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"],
        },
        "stop_limit_s": "6s",
        "log": {"level": "info", "format": "json"},
    }

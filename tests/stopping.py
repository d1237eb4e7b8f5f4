"""Nodes as processes that receive SIGTERM, targets with a set service time, and callers.

Each node has its own address, and its target listens on a port of that address. The path of a
request gives its service time in seconds: `/get/1.5`.
"""

import http.client
import json
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from roadpass import clock
from stand_ins.store import StoreState, config, entry, store_server

PORTS = {"callers": 8101, "stream": 8102, "gossip": 8102, "admin": 8103}
STORE_PORT, TARGET_PORT = 8104, 8110
GRACE_S = 6.0
"""Seconds from SIGTERM to SIGKILL."""
TIMEOUT_S, OBJECTIVE_S = 20, 4
"""Timeout and latency objective of both routes.

The timeout is so long that it ends no request before the shutdown of its node. While the typical
latency of a kind is unknown, the objective lets queued requests wait until the middle of the
shutdown.
"""
POLL_S = 0.02


class TimedTarget:
    """Runs requests for the time that each path gives; records when each arrived.

    Attributes:
        headers: Additional headers of all responses, each with its line end.
    """

    def __init__(self, ip: str) -> None:
        self.received_at: dict[str, float] = {}
        self.headers = b""
        self.listener = socket.create_server((ip, TARGET_PORT), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening, and end the thread that accepts."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            while head := _receive(sock):
                identity = _header(head, b"Request-Id")
                self.received_at[identity.decode()] = clock.now()
                took_s = float(head.split(b" ", 2)[1].rpartition(b"/")[2])
                if select.select([sock], [], [], took_s)[0]:  # the client has closed the connection
                    return
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nRequest-Id: " + identity + b"\r\nServer-Signature: s1\r\n"
                    b"Content-Length: 2\r\n" + self.headers + b"\r\nok"
                )


class CallerRequest(threading.Thread):
    """One request in a thread, with its status, 0 if the connection ended without a response.

    Args:
        ip: Address of the node.
        method: `GET` may be repeated, `POST` must not.
        took_s: Service time at the target, in seconds.
        identity: Request id that the caller sends.

    Attributes:
        told_at: Time at which the caller had the response, or its connection ended.
    """

    def __init__(self, ip: str, method: str, took_s: float, identity: str) -> None:
        super().__init__(daemon=True)
        self.status = 0
        self.retry_after = ""
        self.told_at = 0.0
        self._identity = identity
        self._method = method
        self._path = f"/{method.lower()}/{took_s}"
        self._connection = http.client.HTTPConnection(ip, PORTS["callers"], timeout=30.0)
        self.start()

    def run(self) -> None:
        headers = {"Host": "h.example", "Request-Id": self._identity}
        headers |= {"Deadline-Ms": str(TIMEOUT_S * 1000)}
        try:
            self._connection.request(self._method, self._path, headers=headers)
            response = self._connection.getresponse()
            response.read()
            self.retry_after = response.getheader("Retry-After") or ""
            self.status = response.status
        except (OSError, http.client.HTTPException):
            self.status = 0
        self.told_at = clock.now()


class NodeProcesses:
    """Nodes with a target of one slot each, and the store that publishes the targets.

    Args:
        folder: Folder for settings and logs.
        net: Third byte of the addresses.
        nodes: Number of nodes.
        served: Numbers of the nodes whose targets are published; all by default.
    """

    def __init__(self, folder: Path, net: int, nodes: int, served: tuple[int, ...] = ()) -> None:
        self._folder = folder
        self.ips = [f"127.0.{net}.{number + 1}" for number in range(nodes)]
        self.targets = [TimedTarget(ip) for ip in self.ips]
        self.store = StoreState()
        self.store.put("op/config", _config())
        self._store_address = (f"127.0.{net}.250", STORE_PORT)
        self._server = store_server(self._store_address, self.store)
        self._server.start_thread()
        for number in served or range(nodes):
            self.publish(number)
        self.processes = [self._start(ip) for ip in self.ips]
        for ip in self.ips:
            wait_until(lambda ip=ip: _is_ready(ip), 15.0)  # type: ignore[misc]

    def publish(self, number: int) -> None:
        """Publish a node's target in the store."""
        value = entry(f"{self.ips[number]}:{TARGET_PORT}")
        value["Info"]["Capacity"] = 1
        self.store.put(f"servers/i-{number}", value)

    def ask(self, node: int, method: str, took_s: float, identity: str) -> CallerRequest:
        """Send one request to a node."""
        return CallerRequest(self.ips[node], method, took_s, identity)

    def ask_target(
        self, node: int, target: int, method: str, took_s: float, name: str
    ) -> CallerRequest:
        """Send one request, and wait until it has reached a target."""
        asked = self.ask(node, method, took_s, name)
        wait_until(lambda: name in self.targets[target].received_at, 5.0)
        return asked

    def send_sigterm(self, number: int) -> float:
        """Send SIGTERM, and SIGKILL after `GRACE_S`; return the time of the SIGTERM."""
        process = self.processes[number]
        sent_at = clock.now()
        process.send_signal(signal.SIGTERM)
        killer = threading.Timer(GRACE_S, process.kill)
        killer.daemon = True
        killer.start()
        return sent_at

    def restart(self, number: int) -> None:
        """Kill a node, and start it again."""
        self.processes[number].kill()
        self.processes[number].wait()
        self.processes[number] = self._start(self.ips[number])
        wait_until(lambda: _is_ready(self.ips[number]), 15.0)

    def log(self, number: int) -> list[dict[str, Any]]:
        """Return the JSON log lines of a node."""
        lines = (self._folder / f"{self.ips[number]}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def close(self) -> None:
        """Kill all nodes, and close the targets and the store."""
        for process in self.processes:
            process.kill()
            process.wait()
        self._server.stop()
        for target in self.targets:
            target.close()

    def _start(self, ip: str) -> "subprocess.Popen[bytes]":
        host, port = self._store_address
        settings = {
            **{"vm": ip, "address": ip, "hall": "h", "region": "r", "origin_service": "mine"},
            "ports": PORTS,
            "store": {"address": f"{host}:{port}", "retry_ratio": 0.2, "retry_slack": 10},
            "stop_limit_s": f"{GRACE_S:g}s",
            "log": {"format": "json"},
        }
        path = self._folder / f"{ip}.jsonc"
        path.write_text(json.dumps(settings))
        with (self._folder / f"{ip}.log").open("ab") as log:
            command = [sys.executable, "-m", "roadpass.daemon", f"--settings={path}"]
            return subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)


def wait_until(holds: Callable[[], bool], limit_s: float) -> None:
    """Wait until `holds` returns true; fail after `limit_s`."""
    deadline = clock.now() + limit_s
    while not holds():
        assert clock.now() < deadline, "condition not met in time"
        time.sleep(POLL_S)


def _is_ready(ip: str) -> bool:
    connection = http.client.HTTPConnection(ip, PORTS["admin"], timeout=1.0)
    try:
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def _config() -> Any:
    rows = [
        ["get", "h.example", "/get/", "idempotent", "s", None],
        ["post", "h.example", "/post/", "non_idempotent", "s", None],
    ]
    value = config(3, rows)
    columns = value["Routes"]["Columns"]
    for row in value["Routes"]["Rows"]:
        row[columns.index("Timeout")] = f"{TIMEOUT_S}s"
        row[columns.index("TargetLatency")] = f"{OBJECTIVE_S}s"
    return value


def _receive(sock: socket.socket) -> bytes:
    try:
        return sock.recv(65536)
    except OSError:
        return b""


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name.lower():
            return value
    return b""

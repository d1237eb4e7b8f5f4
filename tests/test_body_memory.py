"""Memory of real nodes while bodies of any route are large, in both directions.

Guards against the failure "large bodies": a node outgrew its memory and was killed with all that
it had accepted, as bytes were bounded only where a route takes uploads.
"""

import json
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from roadpass import clock
from roadpass.body_source import UPLOAD_BYTES
from roadpass.byte_gate import WHOLE_SHARE
from stand_ins.store import StoreState, config, entry, store_server
from tests.calling import Caller, post
from tests.test_body_stream import CHUNKED, chunks, record_bodies
from tests.upload_path import Handler, RawTarget, Received, opened

BODY = bytes(range(256)) * 80_000
"""More than a frame may have."""
MEMORY_MB = 200
"""Memory of the smallest VM."""
LARGE_BYTES = 14 << 20
MAX_BODY_BYTES = 64 << 20
SENDERS = 10
START_LIMIT_S = 30.0
PORTS = {"callers": 8101, "stream": 8102, "gossip": 8102, "admin": 8103}
STORE = ("127.0.46.250", 8104)
IPS = ("127.0.46.1", "127.0.46.2")


@pytest.mark.parametrize("vm", ["vm-1", "vm-2"])
def test_large_body_of_any_route_is_streamed(vm: str) -> None:
    """Guards against keeping a body whole that no route announces, with or without a length."""
    with opened(vm, upload=False) as (node, target):
        record_bodies(target)
        caller = node.caller()
        assert caller.ask(post(BODY)).status == 200
        assert caller.ask(CHUNKED + chunks(BODY[:2_000_000], 300_000)).status == 200
        assert target.bodies == [BODY, BODY[:2_000_000]]
        most = UPLOAD_BYTES + int(node.budgets[0].limit * WHOLE_SHARE) + 64 * 1024
        assert max(budget.peak for budget in node.budgets) < most


@pytest.mark.parametrize("vm", ["vm-1", "vm-2"])
def test_short_body_goes_to_another_target(vm: str) -> None:
    """Guards against streaming every body: what is kept whole can be sent again."""
    with opened(vm, upload=False) as (node, target):
        record_bodies(target)
        short = BODY[:100_000]
        assert node.caller().ask(post(short)).status == 200
        assert target.bodies == [short]
        assert node.metrics.get("uploads_streamed") == 0


class SmallNode:
    """A daemon on a VM with little memory, and its target."""

    def __init__(self, ip: str, folder: Path, handle: Handler) -> None:
        self.ip = ip
        self._target = RawTarget((ip, 8110))
        self._target.handle = handle
        path = folder / f"{ip}.jsonc"
        path.write_text(json.dumps(self._settings()))
        self._log = (folder / f"{ip}.log").open("wb")
        command = [sys.executable, "-m", "roadpass.daemon", f"--settings={path}"]
        self.daemon = subprocess.Popen(command, stdout=self._log, stderr=subprocess.STDOUT)

    def wait_ready(self) -> None:
        """Wait until the node is ready."""
        until = clock.now() + START_LIMIT_S
        while clock.now() < until:
            try:
                caller = Caller((self.ip, PORTS["admin"]))
                if caller.ask(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status == 200:
                    return
            except OSError:
                threading.Event().wait(0.1)
        raise TimeoutError(f"{self.ip} is not ready")

    def peak_mb(self) -> float:
        """Return the most memory that the process has had, in megabytes."""
        lines = Path(f"/proc/{self.daemon.pid}/status").read_text().splitlines()
        (peak,) = (line.split()[1] for line in lines if line.startswith("VmHWM:"))
        return int(peak) / 1024.0

    def close(self) -> None:
        """End the node and its target."""
        self.daemon.kill()
        self.daemon.wait()
        self._log.close()
        self._target.close()

    def _settings(self) -> dict[str, Any]:
        return {
            "vm": self.ip,
            "hall": "h",
            "region": "r",
            "address": self.ip,
            "origin_service": "mine",
            "memory_mb": MEMORY_MB,
            "ports": PORTS,
            "store": {"address": "{}:{}".format(*STORE), "retry_ratio": 0.2, "retry_slack": 10},
            "log": {"format": "json"},
        }


def answer(received: Received, body: bytes) -> None:
    """Read the head of a request, drop its body and send a response."""
    received.read_head()
    head = received.head.lower()
    left = int(head.partition(b"content-length:")[2].split(b"\r\n")[0] or 0) - len(received.data)
    while left > 0:
        data = received.sock.recv(1 << 18)
        if not data:
            raise EOFError
        left -= len(data)
    identity = head.partition(b"request-id: ")[2].split(b"\r\n")[0]
    received.sock.sendall(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\n"
        % (identity, len(body))
        + body
    )
    received.data = b""


class Stage:
    """Two small nodes; all requests go to the target of the second."""

    def __init__(self, folder: Path) -> None:
        self.body = b"ok"
        store = StoreState()
        rows = [
            ["post", "h.example", "/b/", "non_idempotent", "s", None],
            ["get", "h.example", "/a/", "idempotent", "s", None],
        ]
        value = config(3, rows, ("s", "mine"))
        value["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES
        columns = value["Routes"]["Columns"]
        for row in value["Routes"]["Rows"]:
            row[columns.index("Timeout")] = "20s"
            row[columns.index("TargetLatency")] = "10s"
        store.put("op/config", value)
        for ip, service in zip(IPS, ("mine", "s"), strict=True):
            item = entry(f"{ip}:8110", service=service)
            item["Info"]["Capacity"] = 2 * SENDERS
            store.put(f"servers/{ip}", item)
        self.server = store_server(STORE, store)
        self.server.start_thread()
        self.nodes = [SmallNode(ip, folder, self._answer_all) for ip in IPS]
        for node in self.nodes:
            node.wait_ready()

    def _answer_all(self, received: Received) -> None:
        while True:
            answer(received, self.body)

    def ask(self, number: int, method: str, body: bytes, pause_s: float) -> tuple[int, int]:
        """Send a request, read its response slowly; return its status and the bytes of its body."""
        path = "/b/x" if method == "POST" else "/a/x"
        head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r{number}\r\n"
        head += f"Deadline-Ms: 20000\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection((IPS[0], PORTS["callers"]), timeout=20.0) as sock:
            sock.sendall(head.encode() + body)
            data = b""
            while b"\r\n\r\n" not in data:
                data += sock.recv(4096)
            status, got = int(data.split()[1]), len(data.partition(b"\r\n\r\n")[2])
            length = int(data.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            while got < length and (more := sock.recv(1 << 18)):
                got += len(more)
                threading.Event().wait(pause_s)
            return status, got

    def ask_all(self, method: str, body: bytes, pause_s: float = 0.0) -> list[tuple[int, int]]:
        """Send as many requests at once as there are senders; return what they got."""
        results: list[tuple[int, int]] = []

        def ask(number: int) -> None:
            results.append(self.ask(number, method, body, pause_s))

        threads = [threading.Thread(target=ask, args=(n,)) for n in range(SENDERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def peak_mb(self) -> float:
        """Return the most memory that either node has had, in megabytes."""
        peaks = [node.peak_mb() for node in self.nodes]
        print("peaks:", *(f"{peak:.0f} MB" for peak in peaks))
        return max(peaks)

    def close(self) -> None:
        """End everything."""
        for node in self.nodes:
            node.close()
        self.server.stop()


@pytest.fixture
def stage(tmp_path: Path) -> Iterator[Stage]:
    """Run two small nodes."""
    made = Stage(tmp_path)
    yield made
    made.close()


def test_large_bodies_of_many_callers(stage: Stage) -> None:
    """Guards against the failure "large bodies": ten of 14 MiB took a node over its memory."""
    answers = stage.ask_all("POST", bytes(range(256)) * (LARGE_BYTES // 256))
    assert answers == [(200, 2)] * SENDERS
    assert stage.peak_mb() < MEMORY_MB


def test_largest_allowed_body_is_served_on_another_vm(stage: Stage) -> None:
    """Guards against the failure "body longer than a frame": it was never served elsewhere."""
    assert stage.ask(0, "POST", bytes(MAX_BODY_BYTES), 0.0) == (200, 2)
    assert stage.peak_mb() < MEMORY_MB


def test_large_responses_to_slow_callers(stage: Stage) -> None:
    """Guards against the failure "large responses": each was in memory until it had been read."""
    stage.body = bytes(range(256)) * (LARGE_BYTES // 256)
    answers = stage.ask_all("GET", b"", pause_s=0.01)
    assert {status for status, _ in answers} <= {200, 503, 504}
    assert (200, LARGE_BYTES) in answers
    assert all(got == LARGE_BYTES for status, got in answers if status == 200)
    assert stage.peak_mb() < MEMORY_MB

"""End-to-end tests of the platform's protocol: a daemon, a stand-in for the store, raw targets."""

import http.client
import json
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from roadpass import clock
from stand_ins.store import StoreState, config, entry, store_server

IP = "127.0.44.1"
PORTS = {"callers": 8101, "stream": 8102, "gossip": 8102, "admin": 8103}
TARGET = (IP, 8110)


class RawTarget:
    """Echoes the request id, or closes the connection; records the heads received."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []
        self.resets = 0
        self.listener = socket.create_server(TARGET)
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
            while head := sock.recv(65536):
                self.heads.append(head)
                if self.resets:
                    self.resets -= 1
                    return
                identity = header(head, b"Request-Id")
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nRequest-Id: " + identity + b"\r\nServer-Signature: s1\r\n"
                    b"Instance-Load: 1,0,4\r\nContent-Length: 2\r\n\r\nok"
                )


def header(head: bytes, name: bytes) -> bytes:
    """Return a header's value, empty if it is missing."""
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name.lower():
            return value
    return b""


class Stage:
    """The daemon, store and target of one test."""

    def __init__(self, folder: Path) -> None:
        self.target = RawTarget()
        self.store = StoreState()
        rows = [
            ["get", "h.example", "/a/", "idempotent", "s", None],
            ["post", "h.example", "/b/", "non_idempotent", "s", None],
        ]
        self.store.put("op/config", config(3, rows))
        self.store.put("servers/i-1", entry(f"{TARGET[0]}:{TARGET[1]}"))
        self.server = store_server((IP, 8104), self.store)
        self.server.start_thread()
        settings: dict[str, Any] = {
            "vm": IP,
            "hall": "h",
            "region": "r",
            "address": IP,
            "origin_service": "mine",
            "ports": PORTS,
            "store": {"address": f"{IP}:8104", "retry_ratio": 0.2, "retry_slack": 10},
            "stop_limit_s": "6s",
            "log": {"format": "json"},
        }
        self.settings = settings
        self.path = folder / "settings.jsonc"
        self.path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "roadpass.daemon", f"--settings={self.path}"]
        self.log = (folder / "log").open("wb")
        self.daemon = subprocess.Popen(command, stdout=self.log, stderr=subprocess.STDOUT)

    def ask(self, method: str, path: str, port: int = PORTS["callers"]) -> tuple[int, bytes]:
        """Send one request and return status and body."""
        connection = http.client.HTTPConnection(IP, port, timeout=5.0)
        headers = {"Host": "h.example", "Request-Id": "id-7", "Deadline-Ms": "1500"}
        connection.request(method, path, headers=headers)
        response = connection.getresponse()
        body = response.read()
        connection.close()
        return response.status, body

    def wait_ready(self, status: int = 200) -> None:
        """Wait until the readiness check responds with this status."""
        deadline = clock.now() + 10.0
        while clock.now() < deadline:
            try:
                if self.ask("GET", "/ready", PORTS["admin"])[0] == status:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise AssertionError("readiness status not reached in time")

    def wait_for_line(self, part: str, times: int = 1) -> None:
        """Wait until the daemon has logged a text so many times."""
        deadline = clock.now() + 10.0
        while Path(self.log.name).read_text().count(part) < times:
            assert clock.now() < deadline, "log text not found in time"
            time.sleep(0.05)

    def close(self) -> None:
        """Stop the daemon, the store and the target."""
        self.daemon.kill()
        self.daemon.wait()
        self.log.close()
        self.server.stop()
        self.target.close()


@pytest.fixture
def stage(tmp_path: Path) -> Iterator[Stage]:
    """Start everything and wait until the daemon is ready."""
    made = Stage(tmp_path)
    try:
        made.wait_ready()
        yield made
    finally:
        made.close()


def test_a_request_and_the_headers_its_target_receives(stage: Stage) -> None:
    """Id, path and host are unchanged; deadline, instance and origin have their headers."""
    assert stage.ask("GET", "/a/x?q=1") == (200, b"ok")
    head = stage.target.heads[-1]
    assert head.startswith(b"GET /a/x?q=1 HTTP/1.1\r\n")
    assert header(head, b"Request-Id") == b"id-7"
    assert header(head, b"Expected-Instance") == b"i-1"
    assert header(head, b"Caller-Service") == b"mine"
    assert header(head, b"Host") == b"h.example"
    assert 0 < int(header(head, b"Deadline-Ms")) <= 1500
    assert stage.ask("GET", "/other/")[0] == 404


def test_after_a_lost_response_non_repeatable_requests_are_refused(stage: Stage) -> None:
    """The first outcome is unknown; later requests are refused before a byte is sent."""
    stage.target.resets = 1
    assert stage.ask("POST", "/b/x")[0] == 504
    sent = len(stage.target.heads)
    assert stage.ask("POST", "/b/x")[0] == 503
    assert len(stage.target.heads) == sent
    assert stage.ask("GET", "/a/x")[0] == 200


def test_a_stopping_node_still_serves_for_a_while(stage: Stage) -> None:
    """It is not ready at once, serves for two more seconds, then exits by itself."""
    stage.daemon.send_signal(signal.SIGTERM)
    stage.wait_ready(503)
    assert stage.ask("GET", "/a/x") == (200, b"ok")
    assert stage.daemon.wait(timeout=8.0) == 0


def test_sighup_reloads_the_settings_without_interruption(stage: Stage) -> None:
    """Two signals at once with an invalid file, then one with a valid file."""
    stage.path.write_text("{ no settings")
    for _ in range(2):
        stage.daemon.send_signal(signal.SIGHUP)
    stage.wait_for_line("keeping those in force")
    assert stage.ask("GET", "/a/x") == (200, b"ok")
    stage.path.write_text(json.dumps({**stage.settings, "stop_limit_s": "5s", "hall": "other"}))
    stage.daemon.send_signal(signal.SIGHUP)
    stage.wait_for_line('"after_a_restart": ["hall"]')
    assert stage.ask("GET", "/a/x") == (200, b"ok")
    assert stage.daemon.poll() is None


def test_a_changed_settings_file_is_reloaded_without_a_signal(stage: Stage) -> None:
    """The new retry budget then applies."""
    store = {**stage.settings["store"], "retry_slack": 90}
    stage.path.write_text(json.dumps({**stage.settings, "store": store}))
    stage.wait_for_line("settings-in-force")
    stage.wait_for_line('"what": "fleet-in-force"', times=2)
    assert stage.ask("GET", "/a/x") == (200, b"ok")


def test_without_a_configuration_it_answers_503_and_not_404(tmp_path: Path) -> None:
    """The routes are not known yet."""
    stage = Stage(tmp_path)
    stage.store.status = 503
    try:
        stage.wait_ready(503)
        assert stage.ask("GET", "/a/x")[0] == 503
        stage.store.status = 200
        stage.wait_ready()
        assert stage.ask("GET", "/a/x") == (200, b"ok")
    finally:
        stage.close()

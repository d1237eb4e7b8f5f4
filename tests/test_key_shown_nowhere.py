"""Callers send API keys to real nodes: no output contains a key, targets get the customer's name.

Frames and datagrams between nodes are compressed, so they are checked as messages, before they are
encoded.
"""

import http.client
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from roadpass import clock
from roadpass.journal import Journal
from roadpass.platform import decode
from roadpass.position import START, Position
from roadpass.quota import Report
from roadpass.source import Changes, ConfigPublished
from stand_ins.store import StoreState, config, entry, store_server
from tests.test_platform_path import RawTarget

IPS = ("127.0.44.1", "127.0.44.2")
PORTS = {"callers": 8101, "stream": 8102, "gossip": 8102, "admin": 8103}
KEY, REMOVED_KEY, ADDED_KEY = "kept-key-8f3a91c2d0", "gone-key-5b7e10aa42", "later-key-77c0e1f9b3"
PAGES = ("/status", "/targets", "/members", "/audit", "/metrics", "/metrics.json", "/ready")
LIMIT_S = 15.0


def ask(ip: str, headers: dict[str, str], path: str = "/a/1") -> tuple[int, str]:
    """Send a request; return the status, and the headers and body as text."""
    connection = http.client.HTTPConnection(ip, PORTS["callers"], timeout=5.0)
    base = {"Host": "h.example", "Request-Id": "id-7", "Deadline-Ms": "1500"}
    connection.request("GET", path, headers=base | headers)
    response = connection.getresponse()
    text = f"{response.getheaders()} {response.read()!r}"
    connection.close()
    return response.status, text


def token(key: str) -> dict[str, str]:
    """Return headers with a key, and with a forged customer name."""
    return {"Authorization": f"Token {key}", "Tenant-Id": "forged"}


def until(done: Any) -> None:
    """Wait until `done` returns true; fail after `LIMIT_S`."""
    limit = clock.now() + LIMIT_S
    while clock.now() < limit:
        try:
            if done():
                return
        except OSError:
            pass
        time.sleep(0.1)
    raise AssertionError("condition not met in time")


def page(ip: str, path: str) -> str:
    """Return a page of a node's administration API."""
    connection = http.client.HTTPConnection(ip, PORTS["admin"], timeout=5.0)
    connection.request("GET", path)
    text = connection.getresponse().read().decode()
    connection.close()
    return text


def published(version: int, *keys: str) -> Any:
    """Return a configuration with one customer that has these keys."""
    rows = [["get", "h.example", "/a/", "idempotent", "s", None]]
    return config(version, rows, customers=[["library", list(keys), 100, 100]])


def start(ip: str, folder: Path) -> "subprocess.Popen[bytes]":
    """Start a node; its output goes to a file."""
    settings = {
        "vm": ip,
        "hall": "h",
        "region": "r",
        "address": ip,
        "ports": PORTS,
        "store": {"address": f"{IPS[0]}:8104", "retry_ratio": 0.2, "retry_slack": 10},
        "stop_limit_s": "4s",
        "log": {"format": "json", "level": "debug"},
    }
    path = folder / f"{ip}.jsonc"
    path.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "roadpass.daemon", f"--settings={path}"]
    log = (folder / f"{ip}.log").open("wb")
    return subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)


def test_no_message_between_nodes_contains_a_key() -> None:
    """Neither a source update with a configuration nor a report of a customer's requests."""
    journal = Journal()
    journal.record(
        Changes(Position(0, 3), (ConfigPublished(decode.config(published(3, KEY))),), full=True),
        1.0,
    )
    update = journal.since(START)
    assert update is not None
    written = repr(update.to_message(2.0)) + repr(Report("library", 1, 2, 2, 1.0))
    assert "library" in written
    assert KEY not in written
    assert KEY.encode().hex() not in written


def test_no_output_of_real_nodes_contains_a_key(tmp_path: Path) -> None:
    """Debug logs, pages, metrics, responses and target requests; a removed key is rejected."""
    target, store = RawTarget(), StoreState()
    store.put("op/config", published(3, KEY, REMOVED_KEY))
    store.put("servers/i-1", entry(f"{IPS[0]}:8110"))
    server = store_server((IPS[0], 8104), store)
    server.start_thread()
    nodes = [start(ip, tmp_path) for ip in IPS]
    texts = []
    try:
        for ip in IPS:
            until(lambda ip=ip: ask(ip, token(REMOVED_KEY))[0] == 200)
            for shown in (token(KEY), token(KEY + "x"), {"Authorization": KEY}, {}):
                texts.append(ask(ip, shown)[1])
            texts.append(ask(ip, token(KEY), "/none/")[1])
            with socket.create_connection((ip, PORTS["callers"])) as sock:
                sock.sendall(
                    b"GET / nonsense\r\nAuthorization: Token " + KEY.encode() + b"\r\n\r\n"
                )
                texts.append(repr(sock.recv(4096)))
        store.put("op/config", published(4, KEY, ADDED_KEY))
        for ip in IPS:
            until(lambda ip=ip: ask(ip, token(ADDED_KEY))[0] == 200)
            until(lambda ip=ip: ask(ip, token(REMOVED_KEY))[0] == 401)
        texts += [page(ip, path) for ip in IPS for path in PAGES]
    finally:
        for node in nodes:
            node.send_signal(signal.SIGTERM)
        for node in nodes:
            node.wait(20.0)
        server.stop()
        target.close()
    texts += [(tmp_path / f"{ip}.log").read_text() for ip in IPS]
    texts += [repr(head) for head in target.heads]
    assert not [
        text[:200] for text in texts for key in (KEY, REMOVED_KEY, ADDED_KEY) if key in text
    ]
    assert target.heads
    assert all(b"Tenant-Id: library" in head for head in target.heads)
    assert not any(b"forged" in head for head in target.heads)

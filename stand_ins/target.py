"""Stand-in for a target with slots, cold start, load shedding and gray failures.

Tests set its behaviour through `POST /_control` with fields of `Behaviour`. `GET /_ledger` returns
how often each request id (the caller's `X-Request` header) was begun and how often it finished.
"""

import argparse
import json
import random
import select
import threading
import time
from collections import Counter
from dataclasses import dataclass
from urllib.parse import urlsplit

from roadpass import clock
from roadpass.web import WebGateway, WebServer

THREADS = 64
PROBE_PATH = "/health"
HANG_LIMIT_S = 60.0
REQUEST_HEADER = "X-Request"


@dataclass
class Behaviour:
    """Latency and faults of the target; times in the unit of their suffix.

    `median_ms` and `spread` set the log-normal latency. `flap_s` is the length of alternating
    faulty and healthy periods. `sick_for` is the only caller, by its `X-Ingress` header, that gets
    the faults, empty for all. `lying_probe` keeps health checks successful despite the faults.
    `shed` is not limited to those periods and callers.
    """

    median_ms: float = 5.0
    spread: float = 0.3
    slow_factor: float = 1.0
    fail_share: float = 0.0
    hang: bool = False
    hang_share: float = 0.0
    flap_s: float = 0.0
    sick_for: str = ""
    shed: bool = False
    lying_probe: bool = True
    cut_answers: bool = False
    body_bytes: int = 0

    def is_faulty(self, caller: str) -> bool:
        """Return whether the faults apply to this caller now."""
        if self.flap_s and int(clock.now() / self.flap_s) % 2:
            return False
        return not self.sick_for or self.sick_for == caller


class TargetState:
    """Behaviour, slots and ledger of one target, which is slower for its first `cold_s` seconds."""

    def __init__(self, name: str, slots: int, cold_s: float) -> None:
        self.name = name
        self.behaviour = Behaviour()
        self.cold_until = clock.now() + cold_s
        self.slots = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.begun: Counter[str] = Counter()
        self.finished: Counter[str] = Counter()
        self.cancelled = 0
        self.served = 0

    def begin(self, request_id: str) -> None:
        """Record that a request starts to run."""
        with self.lock:
            self.begun[request_id] += 1
            self.served += 1

    def finish(self, request_id: str) -> None:
        """Record that the work on a request is done."""
        with self.lock:
            self.finished[request_id] += 1


class TargetGateway(WebGateway):
    """Serves requests as the behaviour requires."""

    def answer(self) -> None:
        """Serve a request, a health check or a control call of a test."""
        state: TargetState = self.req.server.owner
        path = urlsplit(self.uri).path
        if path.startswith("/_"):
            self._control(state, path)
        elif path == PROBE_PATH:
            self._probe(state)
        elif state.behaviour.shed or not state.slots.acquire(timeout=1.0):
            self.reply(503, [("Retry-After", "1")], b"shed")
        else:
            try:
                self._run(state)
            finally:
                state.slots.release()

    def _run(self, state: TargetState) -> None:
        request_id = self.header(REQUEST_HEADER)
        body = self.body()
        state.begin(request_id)
        behaviour = state.behaviour
        faulty = behaviour.is_faulty(self.header("X-Ingress"))
        if faulty and (behaviour.hang or random.random() < behaviour.hang_share):
            self._hang(state)
            return
        factor = behaviour.slow_factor if faulty else 1.0
        if clock.now() < state.cold_until:
            factor *= 3.0
        time.sleep(behaviour.median_ms / 1e3 * factor * random.lognormvariate(0, behaviour.spread))
        state.finish(request_id)
        if faulty and random.random() < behaviour.fail_share:
            self.reply(500, [], b"failed")
            return
        answer = {
            "id": request_id,
            "path": self.uri,
            "target": state.name,
            "got": len(body),
            "pad": "x" * behaviour.body_bytes,
        }
        content = json.dumps(answer).encode()
        if faulty and behaviour.cut_answers:
            self._truncate(content)
            return
        self.reply(200, [("Content-Type", "application/json")], content)

    def _hang(self, state: TargetState) -> None:
        """Hold the request until its connection is closed, which cancels it."""
        deadline = clock.now() + HANG_LIMIT_S
        while clock.now() < deadline:
            poller = select.poll()
            poller.register(self.sock, select.POLLIN)
            if poller.poll(50):
                break
        with state.lock:
            state.cancelled += 1
        self.req.close_connection = True
        self.reply(500, [], b"cancelled", close=True)

    def _truncate(self, content: bytes) -> None:
        req = self.req
        req.status = b"200 OK"
        req.outheaders = [(b"Content-Length", str(len(content)).encode())]
        req.close_connection = True
        req.ensure_headers_sent()
        req.write(content[: len(content) // 2])

    def _probe(self, state: TargetState) -> None:
        healthy = state.behaviour.lying_probe or not state.behaviour.is_faulty("")
        self.reply(200 if healthy else 500, [], b"ok" if healthy else b"sick")

    def _control(self, state: TargetState, path: str) -> None:
        if path == "/_control":
            changes = json.loads(self.body())
            state.behaviour = Behaviour(**changes)
            self.reply(200, [], b"{}")
        elif path == "/_ledger":
            with state.lock:
                ledger = {
                    "begun": dict(state.begun),
                    "finished": dict(state.finished),
                    "served": state.served,
                    "cut": state.cancelled,
                }
            self.reply(200, [], json.dumps(ledger).encode())
        else:
            self.reply(404, [], b"")


def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="target")
    parser.add_argument("--address", default="127.0.0.1:9000")
    parser.add_argument("--slots", type=int, default=10)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--median-ms", type=float, default=5.0)
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    state = TargetState(options.name, options.slots, options.cold_s)
    state.behaviour.median_ms = options.median_ms
    WebServer((host, int(port)), TargetGateway, state, threads=THREADS).safe_start()


if __name__ == "__main__":
    main()

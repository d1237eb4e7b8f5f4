"""Stand-in for the platform: a read-only interface of manifest, documents, watch and VM list.

Tests set faults through `POST /_control` (`down`, `slow_s`, `stale`), publish revisions through
`POST /_publish` and set the VM list through `POST /_vms`; `GET /_calls` returns the call count.
"""

import argparse
import hashlib
import json
import threading
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from roadpass import clock
from roadpass.web import WebGateway, WebServer

THREADS = 64
POLL_S = 0.01


class PlatformState:
    """Contents and faults of the platform.

    `down` answers all reads with 503, `slow_s` delays them, and `stale` hides revisions above it.
    """

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.manifests: list[dict[str, Any]] = []
        self.documents: dict[str, bytes] = {}
        self.vms: list[dict[str, Any]] = []
        self.calls = 0
        self.down = False
        self.slow_s = 0.0
        self.stale: int | None = None

    def publish(self, documents: dict[str, str], revision: int | None = None) -> int:
        """Publish a revision; `revision` overrides its number, as operators who race would do."""
        with self.lock:
            number = revision or (self.manifests[-1]["revision"] + 1 if self.manifests else 1)
            entries = []
            for name, text in sorted(documents.items()):
                content = text.encode()
                digest = hashlib.sha256(content).hexdigest()
                self.documents[digest] = content
                entries.append({"name": name, "hash": digest, "size": len(content)})
            self.manifests.append({"revision": number, "documents": entries})
            self.lock.notify_all()
            return number

    def newest(self) -> dict[str, Any] | None:
        """Return the newest visible manifest, `None` if there is none."""
        if self.stale is not None:
            visible = [m for m in self.manifests if m["revision"] <= self.stale]
            return visible[-1] if visible else None
        return self.manifests[-1] if self.manifests else None

    def watch(self, after: int, wait_s: float) -> dict[str, Any] | None:
        """Wait for a manifest newer than a revision; `None` on timeout."""
        deadline = clock.now() + wait_s
        with self.lock:
            while True:
                newest = self.newest()
                if newest is not None and newest["revision"] > after:
                    return newest
                remaining_s = deadline - clock.now()
                if remaining_s <= 0.0 or self.down:
                    return None
                self.lock.wait(remaining_s)


class _PlatformGateway(WebGateway):
    """Serves reads and the control calls of tests."""

    def answer(self) -> None:
        state: PlatformState = self.req.server.owner
        parts = urlsplit(self.uri)
        if parts.path.startswith("/_"):
            self._control(state, parts.path)
            return
        state.calls += 1
        if state.slow_s:
            time.sleep(state.slow_s)
        if state.down:
            self.reply(503, [], b"")
            return
        self._read(state, parts.path, parse_qs(parts.query))

    def _read(self, state: PlatformState, path: str, query: dict[str, list[str]]) -> None:
        if path == "/manifest":
            self._json(state.newest())
        elif path == "/watch":
            found = state.watch(int(query["after"][0]), float(query["wait"][0]))
            self._json(found) if found else self.reply(204, [], b"")
        elif path == "/vms":
            self._json(state.vms)
        elif path.startswith("/documents/") and query["hash"][0] in state.documents:
            self.reply(200, [], state.documents[query["hash"][0]])
        else:
            self.reply(404, [], b"")

    def _control(self, state: PlatformState, path: str) -> None:
        body = json.loads(self.body() or b"null")
        if path == "/_calls":
            self._json({"calls": state.calls})
        elif path == "/_publish":
            revision = state.publish(body["documents"], body.get("revision"))
            self._json({"revision": revision})
        elif path == "/_vms":
            state.vms = body
            self._json({})
        elif path == "/_control":
            with state.lock:
                for name, value in body.items():
                    setattr(state, name, value)
                state.lock.notify_all()
            self._json({})
        else:
            self.reply(404, [], b"")

    def _json(self, value: Any) -> None:
        status = 404 if value is None else 200
        self.reply(status, [("Content-Type", "application/json")], json.dumps(value).encode())


def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=7000)
    options = parser.parse_args()
    address = (options.address, options.port)
    WebServer(address, _PlatformGateway, PlatformState(), threads=THREADS).safe_start()


if __name__ == "__main__":
    main()

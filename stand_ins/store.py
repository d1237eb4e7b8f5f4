"""Stand-in for the store: items under one increasing revision, ranges, watches and faults."""

import base64
import json
import socket
import threading
import time
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from roadpass import clock
from roadpass.web import WebGateway, WebServer

THREADS = 16
PAGE_ITEMS = 3
"""Items of a page: few, so that every test gets more than one page."""


LATE_S = 0.6
"""Seconds by which the answer to a delayed watch is late."""


class WatchFault(Exception):
    """Ends a watch that waits; the text says how: `cut`, `late` or `error`."""


class StoreBackup(NamedTuple):
    """A copy of the store's contents."""

    revision: int
    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]]


class StoreState:
    """Contents and faults of the store; safe for any thread.

    A `status` other than 200 answers every call, `oldest_revision` is the oldest one a watch may
    start from, `calls` counts all calls, `page_items` is the maximum number of items on a page.
    `era` counts the restorations from a backup; a store that does not report it has `None`.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 0
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.oldest_revision = 0
        self.status = 200
        self.calls = 0
        self.page_items = PAGE_ITEMS
        self.era: int | None = 0
        self.watch_faults: list[str] = []
        """How the next watches that wait end, see `WatchFault`."""

    def put(self, key: str, value: Any) -> None:
        """Write an item; `bytes` are stored as they are, other values as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            item = {
                "TlsKey": key,
                "Value": base64.b64encode(raw).decode(),
                "Revision": self.revision,
                "CreatedAt": self.revision,
                "Lease": 0,
            }
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def delete(self, key: str) -> None:
        """Remove an item that exists."""
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"TlsKey": key, "Revision": self.revision, "Deleted": True})
            self.changed.notify_all()

    def discard_history(self) -> None:
        """Discard all events, so that watches cannot start from earlier revisions."""
        with self.changed:
            self.oldest_revision = self.revision
            self.events.clear()

    def backup(self) -> StoreBackup:
        """Return a copy of the contents."""
        with self.changed:
            return StoreBackup(self.revision, dict(self.items), list(self.events))

    def restore(self, backup: StoreBackup) -> None:
        """Restore a backup: revisions are assigned again, and waiting watches end with `None`."""
        with self.changed:
            self.revision = backup.revision
            self.items, self.events = dict(backup.items), list(backup.events)
            self.oldest_revision = min(self.oldest_revision, backup.revision)
            self.era = (self.era or 0) + 1
            self.changed.notify_all()

    def range(self, prefix: str, after: str) -> dict[str, Any]:
        """Return a page of items whose keys follow `after`."""
        with self.changed:
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[: self.page_items]]
            more = len(keys) > self.page_items
            return {"items": page, "HasMore": more, "AtRev": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Wait for events after a revision; `None` if it is unknown or its history is discarded."""
        deadline = clock.now() + wait_s
        with self.changed:
            start_era = self.era
            while True:
                if after < self.oldest_revision or after > self.revision or start_era != self.era:
                    return None
                found = [
                    event
                    for event in self.events
                    if event["Revision"] > after and event["TlsKey"].startswith(prefix)
                ]
                remaining_s = deadline - clock.now()
                if found or remaining_s <= 0.0:
                    return {"events": found, "AtRev": self.revision}
                if self.watch_faults:
                    raise WatchFault(self.watch_faults.pop(0))
                self.changed.wait(remaining_s)


class _StoreGateway(WebGateway):
    """Serves range and watch calls."""

    def answer(self) -> None:
        state: StoreState = self.req.server.owner
        state.calls += 1
        if state.status != 200:
            self._reply(state, state.status, b"")
            return
        parts = urlsplit(self.uri)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("PathPrefix", "")
        if parts.path == "/v1/kv-range":
            response: dict[str, Any] | None = state.range(prefix, query.get("after", ""))
        else:
            try:
                wait_s = int(query["WaitMs"]) / 1000.0
                response = state.watch(prefix, int(query["after"]), wait_s)
            except WatchFault as fault:
                self._end_watch(state, str(fault), prefix, int(query["after"]))
                return
        if state.status != 200:  # the store became unavailable while a watch waited
            self._reply(state, state.status, b"")
        elif response is None:
            self._reply(state, 410, b"")
        else:
            self._reply(state, 200, json.dumps(response).encode())

    def _end_watch(self, state: StoreState, fault: str, prefix: str, after: int) -> None:
        """End a watch that waited as a fault requires."""
        match fault:
            case "cut":
                self.req.sent_headers = self.req.close_connection = True
                self.sock.shutdown(socket.SHUT_RDWR)
            case "late":
                time.sleep(LATE_S)
                response = state.watch(prefix, after, 0.0)
                self._reply(state, 410 if response is None else 200, json.dumps(response).encode())
            case _:
                self._reply(state, 503, b"")

    def _reply(self, state: StoreState, status: int, body: bytes) -> None:
        headers = [("Content-Type", "application/json")] if body else []
        if state.era is not None:
            headers.append(("Store-Era", str(state.era)))
        self.reply(status, headers, body)


def store_server(address: tuple[str, int], state: StoreState) -> WebServer:
    """Return a server for the store that is not started yet."""
    return WebServer(address, _StoreGateway, state, threads=THREADS)


def entry(
    address: str, *, service: str = "s", zone: str = "h", state: str = "ready", born: int = 0
) -> dict[str, Any]:
    """Return the entry that a target writes about itself; a `born` of 0 is left out."""
    written: dict[str, Any] = {
        "Address": address,
        "Info": {"Service": service, "Version": "v1", "Zone": zone, "Capacity": 4},
        "Status": {"State": state, "Sequence": 1, "WarmupLeft": "0ms"},
    }
    return written | ({"born": born} if born else {})


def config(
    version: int,
    rows: list[list[Any]],
    services: tuple[str, ...] = ("s",),
    customers: list[list[Any]] | None = None,
) -> Any:
    """Return a configuration.

    Args:
        version: Its number.
        rows: Routes: name, host, path prefix, kind, service, traffic split.
        services: Names of the services.
        customers: Name, keys, requests per second and burst; `None` leaves the table out.
    """
    columns = ["Name", "ApiKeys", "RatePerS", "Burst"]
    customer_table = (
        {} if customers is None else {"Tenants": {"Columns": columns, "Rows": customers}}
    )
    return _config(version, rows, services) | customer_table


def _config(version: int, rows: list[list[Any]], services: tuple[str, ...]) -> dict[str, Any]:
    columns = ["Name", "Host", "PathPrefix", "Kind", "Service", "TrafficSplit"]
    extra = ["Timeout", "TargetLatency", "Priority", "MaxAttempts"]
    return {
        "Version": version,
        "Routes": {
            "Columns": columns + extra,
            "Rows": [[*row, "2000ms", "800ms", 1, 2] for row in rows],
        },
        "Services": {
            "Columns": ["Name", "HealthCheckPath", "MaxConnections"],
            "Rows": [[name, "/healthz", 330] for name in services],
        },
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 65536,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15s",
        },
    }

"""Callers of runs with bounds: large bodies and responses, and paths near the prefix of a route."""

import http.client
import time

from soak.caller import LONG_DEADLINE_S, ROUTES, Caller
from soak.history import Request
from soak.target import SIZE_PATH
from soak.upload import UploadCaller

MAX_BODY_BYTES = 64 << 20
LARGE_ROUTES = {"l": "POST", "m": "GET"}
"""Method of the routes of large bodies and of large responses."""
SIZES_KB = (64, 512, 2048, 14 * 1024)
NESTED_ROUTE, NESTED_PREFIX = "n", "/a/n/"
"""A route of every second version, below the prefix of another route."""
SLOW_SHARE, READ_BYTES, READ_PAUSE_S = 0.3, 256 * 1024, 0.02
"""Share of the responses that are read slowly, and how: 12 MB/s."""


class LargeCaller(UploadCaller):
    """Sends large bodies, and requests with large responses, some of which it reads slowly."""

    routes, deadline_s, broken_off_share = LARGE_ROUTES, LONG_DEADLINE_S, 0.1

    def _choose_path(self, request_id: str) -> tuple[str, str]:
        route = self._rng.choice(list(self.routes))
        size_kb = self._rng.choice(SIZES_KB)
        return route, f"/{route}/{request_id}{SIZE_PATH}{size_kb if route == 'm' else 0}"

    def _body_bytes(self, route: str) -> int:
        return self._rng.choice(SIZES_KB) * 1024 if self.routes[route] == "POST" else 0

    def _read_response(self, connection: http.client.HTTPConnection, request: Request) -> None:
        self._pause_s = READ_PAUSE_S if self._rng.random() < SLOW_SHARE else 0.0
        super()._read_response(connection, request)

    def _read_body(self, response: http.client.HTTPResponse) -> bytes:
        parts = []
        while part := response.read(READ_BYTES):
            parts.append(part)
            time.sleep(self._pause_s)
        if response.length:  # partial reads do not report that a connection ended early
            raise http.client.IncompleteRead(b"", response.length)
        return b"".join(parts)


class NearPathCaller(Caller):
    """Sends requests for paths that a prefix nearly begins, and for the nested route."""

    routes = dict.fromkeys((*ROUTES, NESTED_ROUTE, ""), "GET")
    """The empty name stands for no route."""

    def _choose_path(self, request_id: str) -> tuple[str, str]:
        name = self._rng.choice("abcd")
        near = (
            ("a", NESTED_PREFIX.rstrip("/")),
            ("a", f"{NESTED_PREFIX.rstrip('/')}?q=/"),
            ("a", f"{NESTED_PREFIX.rstrip('/')}%2f{request_id}"),
            (NESTED_ROUTE, f"{NESTED_PREFIX}{request_id}"),
            ("", f"/{name}"),
            ("", f"/{name}?q=/"),
            ("", f"/{name}%2f{request_id}"),
            ("", f"//{name}/{request_id}"),
            ("", "/"),
        )
        return self._rng.choice(near)

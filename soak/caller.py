"""Caller threads, which send requests over idle and new connections and record each outcome."""

import contextlib
import http.client
import itertools
import random
import socket
import threading

from roadpass import clock
from soak.customer import CUSTOMERS, UNKNOWN_KEY, permanent_key, rotating_key, rotating_key_owner
from soak.history import CLOSED, MALFORMED, TIMED_OUT, History, NodeProcess, Request
from soak.node import SoakNode
from soak.target import POISON_PATH, is_readable, response_body

HOST = "soak.example"
ROUTES = {"a": "GET", "b": "POST", "c": "GET", "d": "POST"}
LONG_ROUTES = {"e": "GET", "f": "POST", "g": "GET", "h": "POST"}
"""Method by route; requests of a GET route are repeatable. Requests of long routes take seconds or
hang, and their callers wait longer than a node may take to stop."""
DEADLINE_S: float = 1.5
LONG_DEADLINE_S: float = 15.0
PAUSE_ALLOWANCE_S: float = 4.5
"""Deadlines of requests, and what a pause of three seconds adds to the wait for a response."""
LONG_WORK_S, LONGEST_WORK_S, HANG_S = (0.2, 2.0), (2.0, 6.0), 30.0
LONGEST_SHARE, HANG_SHARE = 0.25, 0.08
"""How long a target works on a request of a long route, and the shares of requests that take the
longer time or hang."""
NEW_CONNECTION_SHARE = 0.15
"""Share of requests that drop an idle connection, so that new connections are tested too."""
UNKNOWN_KEY_SHARE, ROTATING_KEY_SHARE = 0.04, 0.1
"""Shares of requests with a key of no customer, and with one that the next version withdraws."""
THINK_TIME_S, MAX_BODY_BYTES = (0.06, 0.26), 3000


class Caller(threading.Thread):
    """Sends requests to nodes in rotation or with an idle connection, until `stopped` is set."""

    routes, deadline_s = ROUTES, DEADLINE_S

    def __init__(self, name: str, history: History, nodes: list[SoakNode], seed: int) -> None:
        super().__init__(name=name, daemon=True)
        self.stopped = threading.Event()
        self._history, self._nodes = history, nodes
        self._rng = random.Random(f"{seed} {name}")
        self._key_rng = random.Random(f"{seed} {name} keys")
        self._customer = self._key_rng.choice(CUSTOMERS)
        self._idle: dict[NodeProcess, http.client.HTTPConnection] = {}
        self._timeout_s = self.deadline_s + PAUSE_ALLOWANCE_S

    def run(self) -> None:
        """Send one request after another until stopped."""
        for number in itertools.count():
            if self.stopped.wait(self._rng.uniform(*THINK_TIME_S)):
                return
            processes = [*self._in_rotation(), *self._idle]
            process = self._rng.choice(processes) if processes else None
            connection = self._connection(process) if process else None
            if process and connection and self._send(process, connection, f"{self.name}-{number}"):
                self._idle[process] = connection
            elif connection:
                connection.close()

    def _in_rotation(self) -> list[NodeProcess]:
        return [node.process for node in self._nodes if node.in_rotation]

    def _connection(self, process: NodeProcess) -> http.client.HTTPConnection | None:
        """Return an idle or new connection; `None` if the node is out of rotation or down."""
        idle = self._idle.pop(process, None)
        with contextlib.suppress(OSError):
            if idle and self._rng.random() > NEW_CONNECTION_SHARE and not _is_closed(idle.sock):
                return idle
            if process in self._in_rotation():
                connection = http.client.HTTPConnection(*process.address, timeout=self._timeout_s)
                connection.connect()
                return connection
        return None

    def _send(
        self, process: NodeProcess, connection: http.client.HTTPConnection, request_id: str
    ) -> bool:
        """Send a request and record its outcome; return whether the connection stays usable."""
        route, path = self._choose_path(request_id)
        method = self.routes[route]
        customer, key = self._choose_key()
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": f"{self.deadline_s * 1000:.0f}",
        }
        headers |= {"Authorization": f"Token {key}", "Tenant-Id": "somebody-else"}
        body = b"y" * self._rng.randrange(MAX_BODY_BYTES) if method == "POST" else None
        request = Request(request_id, route, method == "GET", process, clock.now(), path=path)
        request.customer, request.key = customer, key
        request.work_s, request.deadline_s = self._work_s(), self.deadline_s
        self._history.requests[request_id] = request
        try:
            connection.request(method, path, body, headers)
            self._read_response(connection, request)
        except TimeoutError:
            request.error = TIMED_OUT
        except (OSError, http.client.IncompleteRead):
            request.error = CLOSED
        except http.client.HTTPException:
            request.error = MALFORMED
        request.ended_at = clock.now()
        return not request.error and bool(connection.sock)

    def _read_response(self, connection: http.client.HTTPConnection, request: Request) -> None:
        response = connection.getresponse()
        request.status = response.status
        request.answered_by = response.getheader("Server-Signature") or ""
        request.told_limit = response.getheader("Server-Limit") is not None
        request.told_leaving = response.getheader("Server-Leaving") is not None
        request.body_matches = self._read_body(response) == response_body(request.id, request.path)

    def _read_body(self, response: http.client.HTTPResponse) -> bytes:
        return response.read()

    def _choose_key(self) -> tuple[str, str]:
        """Return the customer, empty for an unknown key, and the key of the next request."""
        drawn = self._key_rng.random()
        if drawn < UNKNOWN_KEY_SHARE:
            return "", UNKNOWN_KEY
        if drawn < UNKNOWN_KEY_SHARE + ROTATING_KEY_SHARE:
            version = self._history.configurations[-1].version
            return rotating_key_owner(version), rotating_key(version)
        return self._customer, permanent_key(self._customer)

    def _choose_path(self, request_id: str) -> tuple[str, str]:
        """Return the route and the path of the next request."""
        route = self._rng.choice(list(self.routes))
        return route, f"/{route}/{request_id}?q={self._rng.randrange(100)}"

    def _work_s(self) -> float:
        """Return how long the target works on the next request, 0 for the target's default."""
        return 0.0


class LongRouteCaller(Caller):
    """Sends requests that take seconds or hang, and waits for their responses."""

    routes, deadline_s = LONG_ROUTES, LONG_DEADLINE_S

    def _work_s(self) -> float:
        drawn = self._rng.random()
        if drawn < HANG_SHARE:
            return HANG_S
        longest = drawn < HANG_SHARE + LONGEST_SHARE
        return self._rng.uniform(*(LONGEST_WORK_S if longest else LONG_WORK_S))


class PoisonCaller(Caller):
    """Repeats one poison request, which crashes each target that runs it."""

    def _choose_path(self, request_id: str) -> tuple[str, str]:
        return "a", f"/a{POISON_PATH}"

    def _choose_key(self) -> tuple[str, str]:
        return "library", permanent_key("library")


def _is_closed(sock: socket.socket) -> bool:
    return is_readable(sock, 0.0) and not sock.recv(1, socket.MSG_PEEK)

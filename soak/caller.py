"""Callers: threads that send requests over kept and new connections and note every answer."""

import contextlib
import http.client
import itertools
import random
import socket
import threading

from roadpass import clock
from soak.customer import CUSTOMERS, NEVER, kept_key, passing_key, passing_owner
from soak.history import CLOSED, GARBLED, LATE, History, Life, Request
from soak.node import SoakNode
from soak.target import ENDING, answer_body, is_readable

HOST = "soak.example"
ROUTES = {"a": "GET", "b": "POST", "c": "GET", "d": "POST"}
LONG_ROUTES = {"e": "GET", "f": "POST", "g": "GET", "h": "POST"}
"""Method by route; a route's requests are repeatable if it is GET. Those of long routes take
seconds or hang, and their callers wait longer than a node that stops may take."""
DEADLINE_S, LONG_DEADLINE_S, PAUSED_S = 1.5, 15.0, 4.5
"""For an answer: the requests' own, and what a pause of three seconds adds to it."""
LONG_WORK_S, LONGEST_WORK_S, HANG_S = (0.2, 2.0), (2.0, 6.0), 30.0
LONGEST_SHARE, HANG_SHARE = 0.25, 0.08
"""How long a target is at work on a request of a long route, and how many take so long."""
FRESH_SHARE = 0.15
"""Share of requests for which a kept connection is given up, so that new ones are seen too."""
NEVER_SHARE, PASSING_SHARE = 0.04, 0.1
"""Shares of requests with a key that nobody has, and with one that goes with the next version."""
REST_S, MAX_BODY_BYTES = (0.06, 0.26), 3000


class Caller(threading.Thread):
    """Sends requests until `stopped` is set, to nodes that are offered or still connected."""

    routes, deadline_s = ROUTES, DEADLINE_S

    def __init__(self, name: str, history: History, nodes: list[SoakNode], seed: int) -> None:
        super().__init__(name=name, daemon=True)
        self.stopped = threading.Event()
        self._history, self._nodes = history, nodes
        self._rng = random.Random(f"{seed} {name}")
        self._key_rng = random.Random(f"{seed} {name} keys")
        self._customer = self._key_rng.choice(CUSTOMERS)
        self._kept: dict[Life, http.client.HTTPConnection] = {}
        self._patience_s = self.deadline_s + PAUSED_S

    def run(self) -> None:
        """Send until stopped."""
        for number in itertools.count():
            if self.stopped.wait(self._rng.uniform(*REST_S)):
                return
            lives = [*self._offered(), *self._kept]
            life = self._rng.choice(lives) if lives else None
            connection = self._connection(life) if life else None
            if life and connection and self._ask(life, connection, f"{self.name}-{number}"):
                self._kept[life] = connection
            elif connection:
                connection.close()

    def _offered(self) -> list[Life]:
        return [node.life for node in self._nodes if node.offered]

    def _connection(self, life: Life) -> http.client.HTTPConnection | None:
        """Return the kept connection, or a new one where these may go; `None` if there is none."""
        kept = self._kept.pop(life, None)
        with contextlib.suppress(OSError):
            if kept and self._rng.random() > FRESH_SHARE and not _is_closed(kept.sock):
                return kept
            if life in self._offered():
                made = http.client.HTTPConnection(*life.address, timeout=self._patience_s)
                made.connect()
                return made
        return None

    def _ask(self, life: Life, connection: http.client.HTTPConnection, identity: str) -> bool:
        """Send a request and note its end; return whether the connection is kept."""
        route, path = self._work(identity)
        method = self.routes[route]
        whose, key = self._key()
        headers = {
            "Host": HOST,
            "Request-Id": identity,
            "Deadline-Ms": f"{self.deadline_s * 1000:.0f}",
        }
        headers |= {"Authorization": f"Token {key}", "Tenant-Id": "somebody-else"}
        body = b"y" * self._rng.randrange(MAX_BODY_BYTES) if method == "POST" else None
        request = Request(identity, route, method == "GET", life, clock.now(), path=path)
        request.customer, request.key = whose, key
        request.work_s, request.limit_s = self._work_s(), self.deadline_s
        self._history.requests[identity] = request
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            request.status = response.status
            request.whole = response.read() == answer_body(identity, path)
        except TimeoutError:
            request.lost = LATE
        except (OSError, http.client.IncompleteRead):
            request.lost = CLOSED
        except http.client.HTTPException:
            request.lost = GARBLED
        request.told = clock.now()
        return not request.lost and bool(connection.sock)

    def _key(self) -> tuple[str, str]:
        """Return whose key the next request shows, nobody's for an empty name, and the key."""
        drawn = self._key_rng.random()
        if drawn < NEVER_SHARE:
            return "", NEVER
        if drawn < NEVER_SHARE + PASSING_SHARE:
            version = self._history.configurations[-1].version
            return passing_owner(version), passing_key(version)
        return self._customer, kept_key(self._customer)

    def _work(self, identity: str) -> tuple[str, str]:
        """Return the route and the path of the next request."""
        route = self._rng.choice(list(self.routes))
        return route, f"/{route}/{identity}?q={self._rng.randrange(100)}"

    def _work_s(self) -> float:
        """Return how long the target of the next request is at work, 0 for its usual time."""
        return 0.0


class PatientCaller(Caller):
    """Sends requests that take seconds or hang, and waits for their answers."""

    routes, deadline_s = LONG_ROUTES, LONG_DEADLINE_S

    def _work_s(self) -> float:
        drawn = self._rng.random()
        if drawn < HANG_SHARE:
            return HANG_S
        most = drawn < HANG_SHARE + LONGEST_SHARE
        return self._rng.uniform(*(LONGEST_WORK_S if most else LONG_WORK_S))


class EndingCaller(Caller):
    """Sends one request again and again that ends each target that runs it."""

    def _work(self, identity: str) -> tuple[str, str]:
        return "a", f"/a{ENDING}"

    def _key(self) -> tuple[str, str]:
        return "library", kept_key("library")


def _is_closed(sock: socket.socket) -> bool:
    return is_readable(sock, 0.0) and not sock.recv(1, socket.MSG_PEEK)

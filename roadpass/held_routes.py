"""Routes whose new requests are held back while the calls that they make cannot be served.

A request whose call is refused is lost, and it has held a slot until then. Which services the
requests of a route call, and how these calls fare, is learnt at the VM of the target that makes
them. While most new requests of a route would be lost, only one now and then is started as a trial.
"""

import math
import threading
from dataclasses import dataclass, field

from roadpass.decision import decided

MEMORY_S = 2.0
"""Time constant in seconds of the moving sums, about two service times of a request with calls."""
HOLD_LOSS = 0.8
"""Expected share of a route's new requests that lose a call from which on they are held back. Below
it more are served if all are started: what holding back leaves idle at the called service is lost.
With 0.5, searches of the load `callee_sheds` (tests/loads.py) were held back whose calls were
mostly shed at random."""
RELEASE_LOSS = 0.5
"""Share below which they are started again; lower, so that a single call does not flip it."""
MIN_CALLS = 2.0
"""Calls, in the moving sum, before a route is held back; one refused call can be chance."""
RELEASE_CALLS = 0.3
"""Calls in the moving sum below which too little is known to go on holding a route back. With a
trial every `MAX_TRIAL_S` it stays above that; without any call it falls below in some seconds."""
RELEASE_SERVED = 2
"""Calls served in a row after which the shortage counts as over."""
TRIAL_S = 1.0
MAX_TRIAL_S = 2.0
"""First and longest time in seconds between two trials of a held route at one target. Targets have
a few slots and serve some requests a second, so trials take a small part of them. A longer time
would leave too few calls to judge by, see `RELEASE_CALLS`."""
MAX_ROUTES = 1024
"""Routes that are remembered; at the limit all are dropped and learnt again."""


@dataclass(slots=True)
class _Sum:
    """Moving sum that decays with `MEMORY_S`."""

    at: float
    value: float = 0.0

    def add(self, now: float, value: float) -> None:
        self.value = self.read(now) + value
        self.at = max(self.at, now)

    def read(self, now: float) -> float:
        return self.value * math.exp(min(0.0, self.at - now) / MEMORY_S)


@dataclass(slots=True)
class _Calls:
    """Calls of a route's requests to one service."""

    number: _Sum
    unserved: _Sum


@dataclass(slots=True)
class _Route:
    starts: _Sum
    calls: dict[str, _Calls] = field(default_factory=dict)
    held: bool = False
    served_in_row: int = 0
    trial_s: float = TRIAL_S
    next_trial: float = 0.0

    def number(self, now: float) -> float:
        return sum(one.number.read(now) for one in self.calls.values())

    def expected_loss(self, now: float) -> float:
        """Return the expected share of new requests that lose a call."""
        starts = max(self.starts.read(now), 1e-9)
        loss = 0.0
        for one in self.calls.values():
            number = one.number.read(now)
            if number > 0.0:
                loss += one.unserved.read(now) / number * min(1.0, number / starts)
        return min(1.0, loss)


class HeldRoutes:
    """Decides for the targets of one VM which routes are held back; thread-safe.

    Attributes:
        enabled: Whether routes are held back at all.
    """

    def __init__(self) -> None:
        self.enabled = False
        self._routes: dict[str, _Route] = {}
        self._lock = threading.Lock()

    def held(self) -> dict[str, float]:
        """Return the routes that are held back, as a gauge."""
        with self._lock:
            return {name: 1.0 for name, route in self._routes.items() if route.held}

    def record_start(self, now: float, route: str) -> None:
        """Record that a request of a route was started."""
        if self.enabled:
            with self._lock:
                self._of(now, route).starts.add(now, 1.0)

    def record_call(self, now: float, route: str, service: str, *, served: bool) -> None:
        """Record how a call of a route's request ended.

        Args:
            now: Clock seconds.
            route: Route of the request that made the call.
            service: Service that was called.
            served: Whether a target of the service ran it in the time that it had.
        """
        if not self.enabled:
            return
        with self._lock:
            found = self._of(now, route)
            calls = found.calls.setdefault(service, _Calls(_Sum(now), _Sum(now)))
            calls.number.add(now, 1.0)
            calls.unserved.add(now, float(not served))
            found.served_in_row = found.served_in_row + 1 if served else 0
            if found.served_in_row >= RELEASE_SERVED and found.held:
                found.calls.clear()
            self._judge(now, route, found)

    def wait_s(self, now: float, route: str) -> float:
        """Return 0 if a request of a route may start now, else the seconds until the next trial."""
        with self._lock:
            return self._wait_s(now, route)

    def take(self, now: float, route: str) -> float:
        """Return what `wait_s` returns; a request that may start now is the trial if one is due."""
        with self._lock:
            wait_s = self._wait_s(now, route)
            found = self._routes.get(route)
            if wait_s > 0.0 or not self.enabled or found is None or not found.held:
                return wait_s
            found.next_trial = now + found.trial_s
            found.trial_s = min(MAX_TRIAL_S, 2.0 * found.trial_s)
        decided("parents", "trial", route=route)
        return 0.0

    def _wait_s(self, now: float, route: str) -> float:
        found = self._routes.get(route)
        if not self.enabled or found is None or not found.held:
            return 0.0
        self._judge(now, route, found)
        return max(0.0, found.next_trial - now) if found.held else 0.0

    def _of(self, now: float, route: str) -> _Route:
        found = self._routes.get(route)
        if found is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes = {}
            found = self._routes[route] = _Route(_Sum(now))
        return found

    @staticmethod
    def _judge(now: float, name: str, route: _Route) -> None:
        """Hold a route back or release it, by what is known now; the caller holds the lock."""
        loss, number = route.expected_loss(now), route.number(now)
        if not route.held and loss >= HOLD_LOSS and number >= MIN_CALLS:
            route.held = True
            route.trial_s, route.next_trial = TRIAL_S, now + TRIAL_S
        elif route.held and (loss < RELEASE_LOSS or number < RELEASE_CALLS):
            route.held = False
        else:
            return
        decided(
            "parents",
            "held-back" if route.held else "released",
            route=name,
            loss=round(loss, 2),
            calls=round(number, 1),
            services=sorted(route.calls),
        )

"""Statistics of an ingress by route: duration, size, and when losses are detected."""

from dataclasses import dataclass, field

from roadpass.latency_estimate import LatencyEstimate
from roadpass.outcome import SERVER_ERROR, Answered, Outcome, Reason, Unknown

SIZE_SMOOTHING = 0.1
LOST_SMOOTHING = 0.2
"""Weights of one answer in the average size of a route's requests, and of one loss in the average
time until a loss is detected."""
OBJECTIVE_FACTOR_MAX = 4.0
"""Largest multiple of its latency objective that a comparatively short request may take."""
ROUTES_MAX = 4096
"""Routes with statistics, 0.2 KB each; at the limit all are dropped and learnt again."""
_LOSSES = frozenset((Reason.TIMEOUT, Reason.TARGET_LOST, Reason.STREAM_LOST))


@dataclass(slots=True)
class RouteStats:
    """Statistics of the requests of one route.

    Args:
        duration: Their service time at a target.
        size_kb: Kilobytes of a request's body and its answer's body.
        lost_ms: Milliseconds after which a lost attempt is usually detected, 0 if none was lost.
    """

    duration: LatencyEstimate = field(default_factory=LatencyEstimate)
    size_kb: float = 1.0
    lost_ms: float = 0.0

    def learn_size(self, size_kb: float) -> None:
        """Update the size with that of one request and its answer."""
        self.size_kb += SIZE_SMOOTHING * (size_kb - self.size_kb)

    def learn_loss(self, took_ms: float) -> None:
        """Update the detection time with that of one lost attempt."""
        self.lost_ms += LOST_SMOOTHING * (took_ms - self.lost_ms)


class RouteStatsTable:
    """Statistics of all routes at an ingress."""

    def __init__(self) -> None:
        self._by_route: dict[str, RouteStats] = {}
        self._all = LatencyEstimate()

    def of(self, route: str) -> RouteStats:
        """Return the statistics of a route, new ones at its first request."""
        found = self._by_route.get(route)
        if found is None:
            if len(self._by_route) >= ROUTES_MAX:
                self._by_route = {}
            found = self._by_route[route] = RouteStats()
        return found

    def objective_factor(self, stats: RouteStats) -> float:
        """Return the multiple of its latency objective that a request of a route may take.

        A request that is short compared to the others delays them little, and often one of them
        waits for it while it occupies a slot itself.
        """
        own_ms = stats.duration.typical_ms
        if own_ms <= 0.0:
            return 1.0
        return min(OBJECTIVE_FACTOR_MAX, max(1.0, self._all.typical_ms / own_ms))

    def learn(self, route: str, outcome: Outcome, *, body_bytes: int, took_ms: float) -> None:
        """Learn from the end of an attempt.

        Args:
            route: Route of the request.
            outcome: Outcome of the attempt.
            body_bytes: Size of the request body.
            took_ms: Milliseconds that the attempt took.
        """
        stats = self.of(route)
        match outcome:
            case Answered(status=status) if status >= SERVER_ERROR:
                stats.learn_loss(took_ms)
            case Answered(body=body, service_ms=service_ms):
                self._all.add(service_ms)
                stats.duration.add(service_ms)
                stats.learn_size((body_bytes + len(body)) / 1000.0)
            case Unknown(reason=reason) if reason in _LOSSES:
                stats.learn_loss(took_ms)
            case _:
                pass

"""What an ingress knows of each kind of request, by its route: time, size, and when it is lost."""

from dataclasses import dataclass, field

from roadpass.outcome import SERVER_ERROR, Answered, Outcome, Reason, Unknown
from roadpass.usual import LatencyEstimate

SIZE_SMOOTHING = 0.1
LOST_SMOOTHING = 0.2
"""Weights of one answer in the size, and of one loss in the time after which losses are noticed,
that requests of a route are taken to have."""
PATIENCE_MAX = 4.0
"""How many times its objective a request may take at the most that is short beside the others."""
KINDS_MAX = 4096
"""Routes that are known, 0.2 KB each; at the limit all are learnt anew."""
_LOSSES = frozenset((Reason.TIMEOUT, Reason.TARGET_LOST, Reason.STREAM_LOST))


@dataclass(slots=True)
class Kind:
    """The requests of one route.

    Args:
        latency: Their time at a target.
        size_kb: Kilobytes of a request's body and its answer's.
        lost_ms: Milliseconds after which a lost one is usually known to be lost.
    """

    latency: LatencyEstimate = field(default_factory=LatencyEstimate)
    size_kb: float = 1.0
    lost_ms: float = 0.0

    def learn_size(self, size_kb: float) -> None:
        """Take in the size of one request and its answer."""
        self.size_kb += SIZE_SMOOTHING * (size_kb - self.size_kb)

    def learn_loss(self, took_ms: float) -> None:
        """Take in after which time one was found lost."""
        self.lost_ms += LOST_SMOOTHING * (took_ms - self.lost_ms)


class Kinds:
    """The kinds of requests that an ingress has seen."""

    def __init__(self) -> None:
        self._kinds: dict[str, Kind] = {}
        self._all = LatencyEstimate()

    def of(self, route: str) -> Kind:
        """Return what is known of the requests of a route."""
        found = self._kinds.get(route)
        if found is None:
            if len(self._kinds) >= KINDS_MAX:
                self._kinds = {}
            found = self._kinds[route] = Kind()
        return found

    def patience(self, kind: Kind) -> float:
        """Return how many times its objective a request of a kind may take.

        One that is short beside the others delays them by little, and often one of them waits for
        it, its slot in hand.
        """
        own_ms = kind.latency.typical_ms
        if own_ms <= 0.0:
            return 1.0
        return min(PATIENCE_MAX, max(1.0, self._all.typical_ms / own_ms))

    def learn(self, route: str, outcome: Outcome, *, body_bytes: int, took_ms: float) -> None:
        """Learn from the end of an attempt.

        Args:
            route: Of the request.
            outcome: The attempt's.
            body_bytes: Of the request.
            took_ms: Milliseconds that the attempt took.
        """
        kind = self.of(route)
        match outcome:
            case Answered(status=status) if status >= SERVER_ERROR:
                kind.learn_loss(took_ms)
            case Answered(body=body, service_ms=service_ms):
                self._all.add(service_ms)
                kind.latency.add(service_ms)
                kind.learn_size((body_bytes + len(body)) / 1000.0)
            case Unknown(reason=reason) if reason in _LOSSES:
                kind.learn_loss(took_ms)
            case _:
                pass

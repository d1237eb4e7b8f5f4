"""A caller's request at the ingress, and what is noted of it on its way."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from roadpass.access import Access
from roadpass.customer import Customer
from roadpass.detect import Sample, Scores
from roadpass.message import Attempt
from roadpass.outcome import Headers, Outcome


class CallerWatch(Protocol):
    """Tells whether the caller of a request has left; used by one thread at a time."""

    @property
    def watchable(self) -> bool:
        """Whether polling `fileno` for input can still tell anything new."""

    def fileno(self) -> int:
        """Return the descriptor of the caller's connection."""

    def gone(self) -> bool:
        """Take in what has come, without waiting, and tell whether the caller has closed."""


class Request(NamedTuple):
    """A caller's request.

    Args:
        deadline: Clock seconds by which the caller wants an answer, `None` for the route's.
        key: The caller's idempotency key, empty for none.
        repeat: Whether the caller says that it sent this request before.
        watch: Tells when the caller has left, `None` if nobody can.
        id: The caller's name for this request, empty for none.
        origin: Service of the VM at which the request began, empty if unknown.
        fingerprint: What it has in common with others for the same work, empty if unknown.
        access: Whose key it shows, `None` where there were no customers when it was looked at.
    """

    host: str
    method: str
    path: str
    headers: Headers
    body: bytes
    caller: str
    deadline: float | None = None
    key: str = ""
    repeat: bool = False
    watch: CallerWatch | None = None
    id: str = ""
    origin: str = ""
    fingerprint: str = ""
    access: Access | None = None

    @property
    def customer(self) -> Customer | None:
        """Whose request it is, `None` if nobody's in particular."""
        return self.access.customer if self.access is not None else None


class Served(NamedTuple):
    """An outcome with the service and class it is counted under, empty without a route."""

    outcome: Outcome
    service: str = ""
    traffic_class: str = ""


class Observation(NamedTuple):
    """What an attempt showed, for the health actor."""

    service: str
    target: str
    sample: Sample | None
    scores: Scores | None
    latency_ms: float = 0.0
    at: float = 0.0
    counted_slow: bool = False


@dataclass(slots=True)
class Pending:
    """An attempt under way.

    Args:
        service: Of its route.
        target: To which it was sent.
        since: Clock seconds at which it was.
        vm: Of the target.
        usual_ms: Milliseconds that one of its kind usually takes, 0 if unknown.
        until: Clock seconds until which it may take,
        deadline: and until which its request may.
        times_overdue: How often it was found to be pending for too long.
    """

    service: str
    target: str
    since: float
    vm: str = ""
    usual_ms: float = 0.0
    until: float = 0.0
    deadline: float = 0.0
    times_overdue: int = 0

    @classmethod
    def of(cls, attempt: Attempt, service: str, vm: str, now: float, deadline: float) -> "Pending":
        """Return an attempt that is sent now, of a request with a deadline."""
        until = now + attempt.remaining_ms / 1000.0
        return cls(service, attempt.target, now, vm, attempt.usual_ms, until, deadline)


class Way(NamedTuple):
    """Where a request is that is under way.

    Args:
        request: The caller's name for it.
        since: Clock seconds at which it came.
        arrivals: Attempts that reached a target before.
        attempt: Id of the attempt that is under way, empty while a target is looked for.
        attempt_since: Clock seconds at which that was sent.
        target: To which it went,
        vm: and where that is.
    """

    request: str
    since: float
    arrivals: int
    attempt: str = ""
    attempt_since: float = 0.0
    target: str = ""
    vm: str = ""

"""A caller's request at the ingress, and records of its attempts."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from roadpass.access import Access
from roadpass.body_source import BodySource
from roadpass.customer import Customer
from roadpass.failure_detector import Sample, Scores
from roadpass.message import Attempt
from roadpass.outcome import Headers, Outcome
from roadpass.parent_requests import Parent


class CallerWatch(Protocol):
    """Detects whether the caller of a request has disconnected; used by one thread at a time."""

    @property
    def watchable(self) -> bool:
        """Whether polling `fileno` for input can still reveal anything new."""

    def fileno(self) -> int:
        """Return the descriptor of the caller's connection."""

    def gone(self) -> bool:
        """Read the available input without blocking; tell whether the caller closed."""


class Request(NamedTuple):
    """A caller's request.

    Args:
        deadline: Clock seconds by which the caller wants an answer, `None` for the timeout of the
            route.
        key: The caller's idempotency key, empty for none.
        repeat: Whether the caller says that it sent this request before.
        watch: Detects that the caller has disconnected, `None` if that is not possible.
        id: The caller's id of this request, empty for none.
        origin: Service of the VM that received the request, empty if unknown.
        fingerprint: The same for all requests for the same work, empty if unknown.
        access: Result of checking its API key, `None` if no customers were configured then.
        local: Whether it came from the VM's own address, so that a target of the VM may have made
            it.
        parent: The request for which a target of the VM made it, `None` if it is no call.
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
    local: bool = False
    parent: Parent | None = None

    @property
    def charged(self) -> Customer | None:
        """The customer whose quota it counts against; a parent's customer has been charged."""
        customer = self.customer
        if customer is None or self.parent is None or self.parent.customer != customer.name:
            return customer
        return None

    @property
    def shared_by(self) -> str:
        """Name of the customer in whose share it is, empty for none."""
        if self.parent is not None:
            return self.parent.customer
        return self.customer.name if self.customer is not None else ""

    @property
    def body_bytes(self) -> int:
        """Length of its body as far as it is known."""
        return self.watch.size if isinstance(self.watch, BodySource) else len(self.body)

    @property
    def body_is_spent(self) -> bool:
        """Whether a part of its body was passed on, so that it cannot be sent to another target."""
        return isinstance(self.watch, BodySource) and self.watch.passed_on

    @property
    def customer(self) -> Customer | None:
        """The customer whose key it carries, `None` if there is none."""
        return self.access.customer if self.access is not None else None


class Served(NamedTuple):
    """An outcome with the service and class under which it is counted, empty without a route."""

    outcome: Outcome
    service: str = ""
    traffic_class: str = ""


class Observation(NamedTuple):
    """What an attempt revealed about its target, for the health actor."""

    service: str
    target: str
    sample: Sample | None
    scores: Scores | None
    latency_ms: float = 0.0
    at: float = 0.0
    counted_slow: bool = False


@dataclass(slots=True)
class Pending:
    """An attempt in flight.

    Args:
        service: Service of its route.
        target: Target to which it was sent.
        since: Clock seconds at which it was sent.
        vm: VM of the target.
        usual_ms: Typical latency on its route in milliseconds, 0 if unknown.
        until: Clock seconds at which it times out.
        deadline: Clock seconds of the request's deadline.
        times_overdue: How often it was found to be overdue.
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
        """Return the record of an attempt that is sent now.

        Args:
            attempt: The attempt.
            service: Service of its route.
            vm: VM of the target.
            now: Clock seconds.
            deadline: Deadline of its request, in clock seconds.
        """
        until = now + attempt.remaining_ms / 1000.0
        return cls(service, attempt.target, now, vm, attempt.usual_ms, until, deadline)


class RequestProgress(NamedTuple):
    """The progress of a current request.

    Args:
        request: The caller's id of the request.
        since: Clock seconds at which it was received.
        arrivals: Earlier attempts that reached a target.
        attempt: Id of the attempt in flight, empty while a target is being chosen.
        attempt_since: Clock seconds at which that attempt was sent.
        target: Target to which it was sent.
        vm: VM of the target.
    """

    request: str
    since: float
    arrivals: int
    attempt: str = ""
    attempt_since: float = 0.0
    target: str = ""
    vm: str = ""

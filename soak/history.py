"""Events recorded during a soak; times are in seconds of `roadpass.clock`."""

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from roadpass import clock

STORE = "store"
"""Subject of the store's disturbances; others have the name of a node or of a target instance."""
CLOSED, TIMED_OUT, MALFORMED = "connection closed", "no response in time", "malformed HTTP"
"""Errors of requests that got no complete response."""


@dataclass(eq=False)
class NodeProcess:
    """One process of a node.

    `killed` is set if a fault killed it, `overdue` if it was killed because it was still running
    at the end of the grace period, `over_memory_mb` if it was killed with that much memory.
    """

    node: str
    address: tuple[str, int] = ("", 0)
    sigterm_at: float = inf
    exited_at: float = inf
    exit_code: int = 0
    killed: bool = False
    overdue: bool = False
    over_memory_mb: float = 0.0


@dataclass(eq=False)
class Instance:
    """One instance of a target.

    Args:
        draining_at: When the store accepted its draining state.
        withdrawn_at: When the store accepted that its entry is gone, although it goes on serving.
        leaving_at: When it began to say in its responses that it leaves.
        limits: The limits that it names in its responses, in requests a second, and since when; inf
            for none.
    """

    name: str
    service: str
    node: str
    published_at: float = inf
    draining_at: float = inf
    withdrawn_at: float = inf
    leaving_at: float = inf
    limits: list[tuple[float, float]] = field(default_factory=list)

    @property
    def is_listed(self) -> bool:
        """Whether the store has its entry, as ready."""
        return self.published_at < inf and min(self.draining_at, self.withdrawn_at) == inf

    @property
    def limit_per_s(self) -> float:
        """The limit that it names now, inf for none."""
        return self.limits[-1][1] if self.limits else inf


@dataclass(eq=False)
class Arrival:
    """A request that a target has read completely.

    Args:
        at: Time of arrival.
        instance: The target instance.
        ran: Whether the target ran it.
        customer: The customer that the node named in its headers.
        key_forwarded: Whether the node forwarded the caller's key.
        finished_at: When the target's work ended, with or without a response.
        cancelled: Whether the sender closed the connection during that work.
        named_limit: Whether the response named a limit.
        body_bytes: The body of an upload, `None` for other requests.
    """

    at: float
    instance: Instance
    ran: bool = True
    customer: str = ""
    key_forwarded: bool = False
    finished_at: float = inf
    cancelled: bool = False
    named_limit: bool = False
    body_bytes: bytes | None = None


@dataclass(eq=False)
class Request:
    """A caller's request and its outcome.

    `body_matches` is set if the response body belongs to this request. `customer` is the owner of
    `key`, empty for an unknown key. `work_s` is how long its target works on it, 0 for the target's
    default; `deadline_s` is the request's own deadline. `answered_by` is the target instance whose
    response the caller got; `told_limit` and `told_leaving` are what its headers said.
    `body_bytes` is the body of an upload.
    """

    id: str
    route: str
    repeatable: bool
    process: NodeProcess
    sent_at: float
    ended_at: float = inf
    status: int = 0
    body_matches: bool = False
    error: str = ""
    arrivals: list[Arrival] = field(default_factory=list)
    path: str = ""
    customer: str = ""
    key: str = ""
    work_s: float = 0.0
    deadline_s: float = inf
    answered_by: str = ""
    told_limit: bool = False
    told_leaving: bool = False
    body_bytes: bytes = b""


class ConfigWrite(NamedTuple):
    """A configuration written to the store; `services` maps each route to its service."""

    at: float
    version: int
    services: dict[str, str]


@dataclass(eq=False)
class Disturbance:
    """A period in which a node, a target instance or the store is faulty or down."""

    subject: str
    kind: str
    begin: float
    end: float = inf


class History:
    """All events of a run; its containers only grow, so that any thread may add to them.

    Attributes:
        poison_crashes: Times at which the poison request crashed a target.
    """

    def __init__(self) -> None:
        self.started_at = clock.now()
        self.requests: dict[str, Request] = {}
        self.node_processes: list[NodeProcess] = []
        self.instances: list[Instance] = []
        self.configurations: list[ConfigWrite] = []
        self.disturbances: list[Disturbance] = []
        self.poison_crashes: list[float] = []

    def begin_disturbance(self, subject: str, kind: str) -> Disturbance:
        """Record the begin of a disturbance; the caller sets `end` on the returned object."""
        self.disturbances.append(Disturbance(subject, kind, clock.now()))
        return self.disturbances[-1]

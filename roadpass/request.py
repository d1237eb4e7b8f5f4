"""A caller's request at the ingress, and what is noted of it on its way."""

import socket
from dataclasses import dataclass
from typing import NamedTuple

from roadpass.detect import Sample, Scores
from roadpass.outcome import Headers, Outcome


class Request(NamedTuple):
    """A caller's request.

    Args:
        deadline: Monotonic seconds by which the caller wants an answer, `None` for the route's.
        key: The caller's idempotency key, empty for none.
        repeat: Whether the caller says that it sent this request before.
        sock: The caller's socket, watched for its closing.
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
    sock: socket.socket | None = None


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
    """An attempt under way; `looks` counts how often it was found to be pending too long."""

    service: str
    target: str
    since: float
    looks: int = 0

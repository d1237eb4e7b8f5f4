"""What was seen and done during a soak, in seconds of the clock."""

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from roadpass import clock

STORE = "store"
"""Subject of the store's troubles; others have the name of a node or of a target's instance."""
CLOSED, LATE, GARBLED = "connection closed", "no answer in time", "no HTTP"
"""How a request may be lost."""


@dataclass(eq=False)
class Life:
    """One process of a node.

    `killed` tells whether it was ended from outside, `overdue` whether that was as it was still
    there at the end of the grace time.
    """

    node: str
    address: tuple[str, int] = ("", 0)
    stopping: float = inf
    ended: float = inf
    code: int = 0
    killed: bool = False
    overdue: bool = False


@dataclass(eq=False)
class Instance:
    """One instance of a target; `left` is when the store took its leaving."""

    name: str
    service: str
    node: str
    born: float = inf
    left: float = inf


@dataclass(eq=False)
class Arrival:
    """A target has read a whole request.

    Args:
        at: When.
        instance: The target.
        ran: Whether it ran it.
        customer: Whose request it was told that it is.
        key_shown: Whether it was shown a key.
        done: When its work ended, with or without an answer.
        cut: Whether whoever had sent the request ended that work.
    """

    at: float
    instance: Instance
    ran: bool = True
    customer: str = ""
    key_shown: bool = False
    done: float = inf
    cut: bool = False


@dataclass(eq=False)
class Request:
    """A caller's request and its end; `whole` tells whether the body is the request's own.

    `customer` is whose key it shows, `key` that key; `work_s` is how long its target is at work,
    `limit_s` when it ends by its own deadline.
    """

    id: str
    route: str
    repeatable: bool
    life: Life
    asked: float
    told: float = inf
    status: int = 0
    whole: bool = False
    lost: str = ""
    arrivals: list[Arrival] = field(default_factory=list)
    path: str = ""
    customer: str = ""
    key: str = ""
    work_s: float = 0.0
    limit_s: float = inf


class Configured(NamedTuple):
    """A configuration was written; `services` has the service of each route."""

    at: float
    version: int
    services: dict[str, str]


@dataclass(eq=False)
class Trouble:
    """A time in which something is not in order."""

    subject: str
    what: str
    begin: float
    end: float = inf


class History:
    """All that happened; everything only grows, so that any thread may add to it.

    Attributes:
        ends: When a target ended under the request that ends them all.
    """

    def __init__(self) -> None:
        self.began = clock.now()
        self.requests: dict[str, Request] = {}
        self.lives: list[Life] = []
        self.instances: list[Instance] = []
        self.configurations: list[Configured] = []
        self.troubles: list[Trouble] = []
        self.ends: list[float] = []

    def trouble(self, subject: str, what: str) -> Trouble:
        """Note that trouble begins; its end is set on what is returned."""
        self.troubles.append(Trouble(subject, what, clock.now()))
        return self.troubles[-1]

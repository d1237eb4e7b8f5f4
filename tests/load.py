"""Types for `tests.crowd`: loads and the results of their requests."""

import math
from typing import NamedTuple

from roadpass.outcome import Answered, NotRun, Outcome
from roadpass.sharing import OFF, Sharing


class Kind(NamedTuple):
    """A kind of request.

    Args:
        service: Service that it calls.
        work_ms: Mean service time at a target.
        objective_ms: Latency objective of its route.
        timeout_ms: Timeout of its route.
        repeatable: Whether it may run more than once.
        per_s: Requests per second of all callers; 0 if only targets call it.
        call: Kind that the target calls while it runs this one, empty for none.
        call_share: Share of its requests that make the call.
        spread: Standard deviation of the logarithm of the service time.
        crashes: Whether it crashes each target that runs it, which loses all its requests.
        fails: Whether every target fails it at once.
        path: Path below that of the route, for all its requests; empty if each has its own.
        body: Body of its requests.
        route: Kind that owns the route it uses, empty for its own.
        triggered_by: Kind that triggers it: with each request of that kind, one of this kind is
            sent to the same node.
        until_s: Seconds after which no more of them come.
        traffic_class: Class of its route; those of a service rank by name.
        leaves_s: Seconds after which their callers disconnect.
    """

    service: str
    work_ms: float
    objective_ms: int
    timeout_ms: int
    repeatable: bool
    per_s: float = 0.0
    call: str = ""
    call_share: float = 0.0
    spread: float = 0.3
    crashes: bool = False
    fails: bool = False
    path: str = ""
    body: bytes = b""
    route: str = ""
    triggered_by: str = ""
    until_s: float = math.inf
    leaves_s: float = math.inf
    traffic_class: str = "p000"


class TargetFault(NamedTuple):
    """A fault that targets show for a time.

    Args:
        begin: Begin, in seconds since the first request.
        end: End, in seconds since the first request.
        share: Share of the requests received in that time that are affected.
        how: `reset`, `shed`, `fail` (responds with 500 at once) or `hang`.
        service: Service whose targets are all affected, if `targets` is empty.
        targets: Names of the affected targets.
    """

    begin: float
    end: float
    share: float
    how: str
    service: str = ""
    targets: frozenset[str] = frozenset()


class TargetLimit(NamedTuple):
    """A limit that targets name in their responses for a time.

    Args:
        begin: Begin, in seconds since the first request.
        end: End, in seconds since the first request.
        rate_per_s: Requests a second that each of them names.
        service: Service whose targets all name it, if `targets` is empty.
        targets: Names of the targets.
    """

    begin: float
    end: float
    rate_per_s: float
    service: str = ""
    targets: frozenset[str] = frozenset()


class ColdPeriod(NamedTuple):
    """A warm-up of targets, during which they are slow.

    Args:
        begin: When they turn cold, in seconds since the first request.
        seconds: How long they warm up.
        slowness: Factor on their service times at the beginning; it falls to 1 until the end.
        targets: Names of the targets.
    """

    begin: float
    seconds: float
    slowness: float
    targets: frozenset[str]


class Load(NamedTuple):
    """A load: requests, targets and faults.

    Args:
        kinds: Kinds of requests by name.
        targets: Number of targets by service; each has a node on its VM.
        slots: Slots of each target.
        seconds: Seconds during which requests arrive.
        faults: Faults of the targets.
        slack: Repeats allowed per service in ten seconds, beyond a fifth of its requests.
        halls: Data halls over which the targets are spread.
        partition: Begin and end, in seconds, of a partition between all data halls.
        crash_records_lost: Begin and end, in seconds, of the time in which the nodes lose their
            crash records, one after the other, as on a restart.
        limits: Limits that targets name.
        sharing: Ways of sharing capacity that are in force.
        cut_off: VMs that no other node reaches for a time, as if they were gone.
        cut_off_s: Begin and end of that time, in seconds.
        datagrams_lost: Share of the datagrams on capacity and of loans that are lost; some others
            of loans are doubled.
        restarts: Times, in seconds, at which nodes restart, and their numbers.
        cold: Warm-ups of targets.
        warm_up: Whether the nodes decide by warm-ups.
    """

    kinds: dict[str, Kind]
    targets: dict[str, int]
    slots: int = 3
    seconds: float = 20.0
    faults: tuple[TargetFault, ...] = ()
    slack: float = 60.0
    halls: int = 1
    partition: tuple[float, float] = (0.0, 0.0)
    crash_records_lost: tuple[float, float] = (0.0, 0.0)
    limits: tuple[TargetLimit, ...] = ()
    sharing: Sharing = OFF
    datagrams_lost: float = 0.0
    cut_off: frozenset[str] = frozenset()
    cut_off_s: tuple[float, float] = (0.0, 0.0)
    restarts: tuple[tuple[float, int], ...] = ()
    cold: tuple[ColdPeriod, ...] = ()
    warm_up: bool = False


class RequestResult(NamedTuple):
    """The result of one request of a caller.

    Args:
        kind: Its kind.
        at: When it was sent, in seconds since the first request.
        took_ms: Milliseconds until its outcome.
        outcome: Its outcome.
        free_s: Longest time in seconds for which a target of its service had a free slot then.
    """

    kind: str
    at: float
    took_ms: float
    outcome: Outcome
    free_s: float = 0.0

    @property
    def result(self) -> str:
        """Return `served`, `refused` or `failed`."""
        match self.outcome:
            case Answered(status=200):
                return "served"
            case NotRun():
                return "refused"
            case _:
                return "failed"

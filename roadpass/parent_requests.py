"""The requests that run at the targets of one VM, and which of them made a call.

A target calls other services through the node on its VM. Such a call looks like any other request
without a customer. But it comes from the VM's own address and begins after its parent began. Where
targets make hierarchical request ids, its id is that of its parent, `ID_SEPARATOR` and more, which
decides. Otherwise it ends with the deadline that the parent's target was told. A caller on the same
VM may come from that address too, but it knows neither.
"""

import threading
from dataclasses import dataclass
from typing import NamedTuple

from roadpass.fleet import Service
from roadpass.held_routes import HeldRoutes
from roadpass.message import Attempt

MATCH_EARLY_S = 0.005
"""Seconds by which a call's deadline may appear earlier than that of its parent: both are sent as
whole milliseconds, rounded down."""
MATCH_LATE_S = 0.03
"""Seconds by which it may appear later: the target computes the time left, and this node adds it to
the moment at which it reads the call, some milliseconds later on a busy VM."""
MATCH_LATE_SHARE = 0.6
"""Share of the margin between the deadline of an attempt and the one told to its target that
`MATCH_LATE_S` may use. Another request that the parent's caller sent at the same moment has the
deadline of the attempt, so it is not taken for a call."""
ID_SEPARATOR = "."
"""Ends the parent's id in a hierarchical request id."""
MAX_ENDED = 64
"""Requests remembered after their response was given up; more than a VM's targets have slots."""


class Parent(NamedTuple):
    """The request that made a call.

    Args:
        attempt: Id of its attempt.
        route: Its route, empty if several requests on different routes may have made the call.
        traffic_class: Its traffic class.
        customer: Name of its customer, empty for none.
        repeat: Whether it may be a retry, or a call made by one.
        candidates: Number of requests that may have made the call.
    """

    attempt: str
    route: str
    traffic_class: str
    customer: str
    repeat: bool
    candidates: int = 1


@dataclass(slots=True)
class _Running:
    """An attempt at a target of this VM.

    Args:
        rank: Index of its class among those of its service, the most urgent first.
        began: Clock seconds of its start.
        told: Deadline as told to the target, in clock seconds.
        late_s: Seconds by which the deadline of a call may be later.
    """

    attempt: Attempt
    rank: int
    began: float
    told: float
    late_s: float

    @property
    def repeat(self) -> bool:
        return self.attempt.retry or self.attempt.repeat or bool(self.attempt.parent_repeat)

    def may_have_made(self, began: float, deadline: float) -> bool:
        """Return whether it may have made a call that began then and has this deadline."""
        return self.began <= began and -MATCH_EARLY_S <= deadline - self.told <= self.late_s


class ParentRequests:
    """The requests that run at the targets of one VM; thread-safe.

    Attributes:
        held: Routes of which no new requests are started, because their calls are not served.
    """

    def __init__(self) -> None:
        self.held = HeldRoutes()
        self._enabled = False
        self._running: dict[str, _Running] = {}
        self._ended: dict[str, _Running] = {}
        self._lock = threading.Lock()

    @property
    def enabled(self) -> bool:
        """Whether requests are recorded."""
        return self._enabled

    @enabled.setter
    def enabled(self, enabled: bool) -> None:
        self._enabled = self.held.enabled = enabled

    @property
    def size(self) -> int:
        """Number of requests that are remembered."""
        return len(self._running) + len(self._ended)

    def begin(
        self, now: float, attempt: Attempt, service: Service, *, deadline: float, told: float
    ) -> None:
        """Record the start of an attempt.

        Args:
            now: Clock seconds.
            attempt: The attempt.
            service: Service of its target.
            deadline: When its response is no longer waited for, in clock seconds.
            told: Deadline that its target is told, in clock seconds.
        """
        if not self.enabled:
            return
        late_s = min(MATCH_LATE_S, MATCH_LATE_SHARE * (deadline - told))
        kept = attempt._replace(headers=[], body=b"")
        classes = [entry.name for entry in service.classes]
        known = attempt.traffic_class in classes
        rank = classes.index(attempt.traffic_class) if known else len(classes)
        self.held.record_start(now, attempt.route)
        with self._lock:
            self._running[attempt.id] = _Running(kept, rank, now, told, late_s)

    def end(self, now: float, attempt_id: str, *, answered: bool) -> None:
        """Record the end of an attempt.

        Without a response the target may still be at work on the request and make calls, so it is
        remembered until the deadline that the target was told.

        Args:
            now: Clock seconds.
            attempt_id: Id of the attempt; does nothing for an unknown one.
            answered: Whether the target has sent a response.
        """
        with self._lock:
            running = self._running.pop(attempt_id, None)
            self._ended = {name: one for name, one in self._ended.items() if one.told >= now}
            if running is None or answered or running.told < now:
                return
            if len(self._ended) >= MAX_ENDED:
                del self._ended[next(iter(self._ended))]
            self._ended[attempt_id] = running

    def find(self, began: float, deadline: float, request_id: str = "") -> Parent | None:
        """Return the request that made a call, `None` if none can have made it.

        If several may have made it, the most urgent class counts, and in it the closest deadline.
        The call counts as made by a retry if one of them is a retry.

        Args:
            began: When the call began, in clock seconds.
            deadline: Its deadline in clock seconds.
            request_id: Its id, empty if unknown.
        """
        if not self.enabled:
            return None
        with self._lock:
            known = [*self._running.values(), *self._ended.values()]
        named = request_id.rpartition(ID_SEPARATOR)[0]
        found = [one for one in known if named and one.attempt.request_id == named]
        if not found:
            found = [one for one in known if one.may_have_made(began, deadline)]
        if not found:
            return None
        first = min(found, key=lambda one: (one.rank, abs(deadline - one.told)))
        routes = {one.attempt.route for one in found}
        return Parent(
            first.attempt.id,
            first.attempt.route if len(routes) == 1 else "",
            first.attempt.traffic_class,
            first.attempt.customer,
            any(one.repeat for one in found),
            len(found),
        )

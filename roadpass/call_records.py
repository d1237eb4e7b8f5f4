"""Calls of local targets at one ingress: whose calls they are, and how they fare."""

from roadpass.decision import decided
from roadpass.metric import Metrics
from roadpass.outcome import Answered, NotRun, Outcome, Reason
from roadpass.parent_requests import ParentRequests
from roadpass.request import Request

LATE_SHARE = 0.8
"""Share of the time that a call had to wait from which on it counts as not served: with a little
more load it would have come too late."""
_SHORTAGES = frozenset(
    (
        Reason.BUSY,
        Reason.DOUBTFUL,
        Reason.EXPIRED,
        Reason.FAILING,
        Reason.HELD_BACK,
        Reason.LIMITED,
        Reason.NO_CAPACITY,
        Reason.QUEUE_FULL,
        Reason.REPEATS_SPENT,
        Reason.SHED,
        Reason.TOO_LATE,
        Reason.WAITING_LIMIT,
    )
)
"""Refusals that a later call would get as well."""


class CallRecords:
    """Finds the parents of calls, and records how the calls end; thread-safe.

    Args:
        parents: The requests that run at the targets of this VM.
        metrics: Counts the calls.
    """

    def __init__(self, parents: ParentRequests, metrics: Metrics) -> None:
        self._parents = parents
        self._metrics = metrics

    @property
    def enabled(self) -> bool:
        """Whether the parents of calls are looked for."""
        return self._parents.enabled

    def with_parent(self, now: float, request: Request) -> Request:
        """Return a request with its parent, if a target of this VM made it for another request.

        Args:
            now: Clock seconds at which the request was received.
            request: The request.
        """
        if not self._parents.enabled or not request.local or request.deadline is None:
            return request
        parent = self._parents.find(now, request.deadline, request.id)
        self._metrics.count("calls_unmatched" if parent is None else "calls_matched")
        if parent is None:
            return request
        decided(
            "parents",
            "call",
            request=request.id,
            parent=parent.attempt,
            route=parent.route,
            traffic_class=parent.traffic_class,
            repeat=parent.repeat,
            candidates=parent.candidates,
        )
        return request._replace(parent=parent)

    def record_end(
        self,
        now: float,
        request: Request,
        service: str,
        outcome: Outcome,
        started: float,
        *,
        latest_start: float,
    ) -> None:
        """Record the end of a request, if it is a call whose parent's route is known.

        Args:
            now: Clock seconds.
            request: The request.
            service: Service that it went to.
            outcome: Its outcome.
            started: When it was received, in clock seconds.
            latest_start: When it must have started to be answered by its deadline.
        """
        parent = request.parent
        if parent is None or not parent.route:
            return
        served = _served(outcome, now - started, latest_start - started)
        if served is not None:
            self._parents.held.record_call(now, parent.route, service, served=served)


def _served(outcome: Outcome, took_s: float, allowed_s: float) -> bool | None:
    """Return whether a call was served in the time it had, `None` if its end does not tell."""
    match outcome:
        case Answered(service_ms=service_ms):
            return took_s - service_ms / 1000.0 <= LATE_SHARE * max(0.0, allowed_s)
        case NotRun(reason=reason) if reason in _SHORTAGES:
            return False
        case _:
            return None

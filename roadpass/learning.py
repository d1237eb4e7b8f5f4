"""What an attempt showed of its target, noted wherever it counts.

It takes the time from its caller. The choice among targets, the belief of their load, the usual
requests of a route, the quarantine and the health of targets all learn from the same end.
"""

from collections import deque
from collections.abc import Callable

from roadpass.choice import Choice
from roadpass.detect import Sample, Scores
from roadpass.fleet import Target
from roadpass.kind import Kinds
from roadpass.load import LoadTable
from roadpass.message import LoadReport, Reply
from roadpass.outcome import SERVER_ERROR, Answered, NotRun, Outcome, Reason, Unknown
from roadpass.pause import PauseWatch
from roadpass.quarantine import Quarantine
from roadpass.request import Observation, Pending
from roadpass.trip import Trip
from roadpass.view import View


class AttemptFeedback:
    """Takes the ends of attempts at one ingress; used by the threads of all callers at once.

    Args:
        view: Has the revision in force here.
        choice: Among targets.
        loads: Beliefs of the targets' load.
        kinds: What is usual for the requests of each route.
        quarantine: What the node knows of requests under which targets ended.
        pause: Tells when this process stood still.
        behind: Called with a VM and its revision when that is newer than the own one.

    Attributes:
        observations: What attempts showed, for the health monitor to take away.
    """

    def __init__(
        self,
        view: View,
        choice: Choice,
        loads: LoadTable,
        kinds: Kinds,
        quarantine: Quarantine,
        pause: PauseWatch,
        *,
        behind: Callable[[str, int], None],
    ) -> None:
        self._view = view
        self._choice = choice
        self._loads = loads
        self._kinds = kinds
        self._quarantine = quarantine
        self._pause = pause
        self._behind = behind
        self.observations: deque[Observation] = deque(maxlen=100_000)

    def record(
        self,
        now: float,
        trip: Trip,
        target: Target,
        reply: Reply,
        pending: Pending,
        started: float,
        *,
        last: bool,
    ) -> None:
        """Note the end of an attempt.

        Args:
            now: Clock seconds.
            trip: Of the request.
            target: To which the attempt went.
            reply: What is known of its end, and of its target.
            pending: The attempt, as it was watched while it was under way.
            started: Clock seconds at which it was sent.
            last: Whether the request would have been lost with the attempt.
        """
        took_ms = (now - started) * 1000.0
        scores, latency_ms = None, 0.0
        body_bytes = len(trip.request.body)
        self._kinds.learn(trip.route.name, reply.outcome, body_bytes=body_bytes, took_ms=took_ms)
        self._choice.learn(now, trip, target, reply, last=last)
        if reply.crash is not None:
            self._quarantine.hear(now, reply.crash)
        if reply.load is not None:
            self._loads.report(now, target.name, reply.load)
            if reply.load.revision > self._view.fleet.revision:
                self._behind(target.vm, reply.load.revision)
            scores, latency_ms = _scores(reply.load), reply.load.latency_ms
        stalled = self._pause.last_stall >= started
        sample = None if stalled else _sample(reply.outcome, took_ms)
        service, looks = trip.service.name, pending.looks
        self.observations.append(
            Observation(service, target.name, sample, scores, latency_ms, now, looks > 0)
        )


def _sample(outcome: Outcome, took_ms: float) -> Sample | None:
    """Return what an outcome tells of its target's health, `None` for nothing."""
    match outcome:
        case Answered(status=status, service_ms=service_ms):
            return Sample(status >= SERVER_ERROR, service_ms)
        case NotRun(reason=Reason.REFUSED | Reason.UNREACHABLE | Reason.FENCED):
            return Sample(True, took_ms)
        case Unknown(
            reason=Reason.CANCELLED | Reason.KEY_USED | Reason.DUPLICATE | Reason.TARGET_LOST
        ):
            return None
        case Unknown():
            return Sample(True, took_ms)
        case _:
            return None


def _scores(load: LoadReport) -> Scores:
    return Scores(load.failure_score, load.slow_score)

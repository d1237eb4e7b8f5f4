"""Passes the outcome of an attempt to everything that learns from it.

Target selection, load estimates, typical latencies per route, the quarantine and the health checks
all learn from the same outcome. The time is passed in by the caller.
"""

from collections import deque
from collections.abc import Callable

from roadpass.failure_detector import Sample, Scores
from roadpass.fleet import Target
from roadpass.load_table import LoadTable
from roadpass.message import LoadReport, Reply
from roadpass.outcome import SERVER_ERROR, Answered, NotRun, Outcome, Reason, Unknown
from roadpass.pause import PauseWatch
from roadpass.quarantine import Quarantine
from roadpass.request import Observation, Pending
from roadpass.request_state import RequestState
from roadpass.route_stats import RouteStatsTable
from roadpass.target_chooser import TargetChooser
from roadpass.view import View


class AttemptFeedback:
    """Records the outcomes of attempts at one ingress; used concurrently by all caller threads.

    Args:
        view: Has the configuration revision in force here.
        chooser: Selection among targets.
        loads: Load estimates of the targets.
        route_stats: Typical sizes and latencies of the requests of each route.
        quarantine: Crash records of this node.
        pause: Detects pauses of this process.
        behind: Called with a VM and its revision if that is newer than the local one.

    Attributes:
        observations: Health observations, consumed by the health monitor.
    """

    def __init__(
        self,
        view: View,
        chooser: TargetChooser,
        loads: LoadTable,
        route_stats: RouteStatsTable,
        quarantine: Quarantine,
        pause: PauseWatch,
        *,
        behind: Callable[[str, int], None],
    ) -> None:
        self._view = view
        self._chooser = chooser
        self._loads = loads
        self._route_stats = route_stats
        self._quarantine = quarantine
        self._pause = pause
        self._behind = behind
        self.observations: deque[Observation] = deque(maxlen=100_000)

    def record(
        self,
        now: float,
        state: RequestState,
        target: Target,
        reply: Reply,
        pending: Pending,
        started: float,
        *,
        last: bool,
    ) -> None:
        """Record the end of an attempt.

        An attempt during which this process was paused gives no health sample, as its latency
        says nothing about the target.

        Args:
            now: Clock seconds.
            state: State of the request.
            target: Target of the attempt.
            reply: Outcome, and the load report and crash record that came with it, if any.
            pending: The attempt as it was tracked while in flight.
            started: Clock seconds at which it was sent.
            last: Whether no other attempt was left for the request.
        """
        took_ms = (now - started) * 1000.0
        scores, latency_ms = None, 0.0
        body_bytes = state.request.body_bytes
        self._route_stats.learn(
            state.route.name, reply.outcome, body_bytes=body_bytes, took_ms=took_ms
        )
        self._chooser.learn(now, state, target, reply, last=last)
        if reply.crash is not None:
            self._quarantine.merge(now, reply.crash)
        if reply.notice is not None and target.vm != self._view.vm:
            self._view.notices.merge(now, target.name, reply.notice, "sidecar")
        if reply.load is not None:
            limited = self._view.notices.rate_per_s(target.name) is not None
            self._loads.report(now, target.name, reply.load, limited=limited)
            if reply.load.revision > self._view.fleet.revision:
                self._behind(target.vm, reply.load.revision)
            scores, latency_ms = _scores(reply.load), reply.load.latency_ms
        stalled = self._pause.last_stall >= started
        sample = None if stalled else _sample(reply.outcome, took_ms)
        service, times_overdue = state.service.name, pending.times_overdue
        self.observations.append(
            Observation(service, target.name, sample, scores, latency_ms, now, times_overdue > 0)
        )


def _sample(outcome: Outcome, took_ms: float) -> Sample | None:
    """Return the health sample of an outcome, `None` if it says nothing about the target."""
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

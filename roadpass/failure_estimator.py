"""Bayesian estimate of the probability that a target is failing its requests now.

A target with a gray failure has failure periods: for some seconds it loses most of its requests, by
resetting the connection at once or by never responding, while its health check passes. The filter
has two hidden states, healthy and failing, and learns how often failure periods begin and how long
they last. Every request is evidence about the moment at which it was sent to the target: a
response, an error, an immediate loss, and also the time without a response so far, compared with
the typical latency of that kind of request. Waiting counts gradually from the first moment on, so
later requests avoid the target without any request having to time out first.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto

from roadpass.baseline_failures import BaselineFailures
from roadpass.latency_estimate import LatencyEstimate

FAILING_LOSS_SHARE = 0.75
"""Assumed share of requests that a target fails during a failure period; the higher it is, the more
a successful response proves."""
HEALTHY_LOSS_SHARE = 0.001
"""Assumed share of requests that a healthy target loses at once: so rare that the first loss trips
the circuit breaker even of a target that has just responded."""
ACCEPTED_AFTER_S = 0.03
"""Seconds after which a request was not lost at once: several times what a reset takes to come."""
LATE_LOSS_S = 0.1
"""Seconds after which a loss no longer predicts whether the next request is accepted: more than
`ACCEPTED_AFTER_S`, since a node that is short of CPU time notices an immediate loss late."""
HEALTHY_PRIOR_S = 15.0
FAILING_PRIOR_S = 4.0
"""Assumed seconds between failure periods, and length of one, before any was observed."""
PERIOD_BEGINS_AT = 0.7
PERIOD_ENDS_AT = 0.2
"""Probabilities at which a failure period counts as begun and as ended, to learn how often they
occur and how long they last."""
PROBABILITY_MAX = 0.93
"""The estimate stays between this and `PROBABILITY_MIN`, so that a few responses can turn it."""
PROBABILITY_MIN = 0.01
TRACKED_MAX = 64
"""Requests that are tracked one by one; beyond that, the oldest are folded into the estimate with
the evidence that they have given so far."""
KINDS_MAX = 512
"""Kinds of requests whose latency is kept, 0.1 KB each; the oldest is dropped first."""
RESETS_PRIOR = 0.1
UNANSWERED_PRIOR = 0.9
"""Prior counts of resets and of requests without a response: so low that the first reset shows how
the target fails; until then a request that was not reset at once proves nothing."""
FAILURES_PRIOR = 0.5
"""Prior count of error responses: until some were observed, a quarter of the requests in a failure
period are expected to end with one."""
LOSS_MEMORY = 20.0
"""Number of losses above which the counts by type are halved."""


class End(Enum):
    """How a request ended, as evidence about its target.

    `LOST` is a broken connection; `NO_RESPONSE` covers timeouts and cancelled requests.
    `DEPENDENCY_FAILED` is a failure not attributed to the target: a call that it made to serve the
    request failed. `INCONCLUSIVE` is no evidence.
    """

    ANSWERED = auto()
    FAILED = auto()
    LOST = auto()
    NO_RESPONSE = auto()
    DEPENDENCY_FAILED = auto()
    INCONCLUSIVE = auto()


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request that the target has or had.

    Args:
        kind: Kind of request, such as its route.
        started: Clock seconds at which it was sent.
        trial: Whether it was admitted although the target was probably failing.
        observed_from: Clock seconds from which on the wait for its response counts.
        expected_ms: Typical latency of its kind according to the ingress, 0 if unknown.
        customer: The customer it belongs to, empty if none.
        likelihood_ratio: How many times likelier its outcome is at a failing target than at a
            healthy one; `None` while it is in flight.
        counted_unanswered: Whether it was counted as a loss without any response.
    """

    kind: str
    started: float
    trial: bool
    observed_from: float
    expected_ms: float = 0.0
    customer: str = ""
    likelihood_ratio: float | None = None
    counted_unanswered: bool = False

    @property
    def categories(self) -> tuple[str, ...]:
        """Keys under which its baseline failure rate is learned."""
        route = f"route {self.kind}"
        return (route, f"customer {self.customer}") if self.customer else (route,)


class FailureEstimator:
    """Estimates one target's failure probability; does no I/O, the caller holds a lock.

    Args:
        now: Clock seconds.
    """

    def __init__(self, now: float) -> None:
        self._at = now
        self._latencies: dict[str, LatencyEstimate] = {}
        self._tracked: list[TrackedRequest] = []
        self._baseline_failures = BaselineFailures()
        self._resets = RESETS_PRIOR
        self._unanswered_losses = UNANSWERED_PRIOR
        self._failures = 0.0
        self._in_failure_period = False
        self._periods_begun = 1.0
        self._periods_ended = 1.0
        self._healthy_s = HEALTHY_PRIOR_S
        self._failing_s = FAILING_PRIOR_S
        self._updated_at = now
        self._bad = self._stationary_probability

    @property
    def running(self) -> list[TrackedRequest]:
        """Requests in flight, the oldest first."""
        return [tracked for tracked in self._tracked if tracked.likelihood_ratio is None]

    def latency(self, kind: str) -> LatencyEstimate:
        """Return the latency estimate of a kind of request, a new one for an unknown kind."""
        found = self._latencies.get(kind)
        if found is None:
            if len(self._latencies) >= KINDS_MAX:
                del self._latencies[next(iter(self._latencies))]
            found = self._latencies[kind] = LatencyEstimate()
        return found

    def bad(self, now: float) -> float:
        """Return the probability that the target is in a failure period, 0 to 1."""
        bad, at = self._bad, self._at
        for tracked in self._tracked:
            bad = _bayes_update(
                self._drift(bad, tracked.started - at), self.likelihood_ratio(now, tracked)
            )
            at = max(at, tracked.started)
        return self._drift(bad, now - at)

    def likelihood_ratio(self, now: float, tracked: TrackedRequest) -> float:
        """Return how many times likelier a request's evidence so far is at a failing target."""
        if tracked.likelihood_ratio is not None:
            return tracked.likelihood_ratio
        age_s = now - tracked.observed_from
        if age_s < ACCEPTED_AFTER_S:
            return 1.0
        share_longer = self.latency(tracked.kind).share_longer(age_s * 1000.0, tracked.expected_ms)
        if_failing = (
            FAILING_LOSS_SHARE * self._unanswered_share + (1.0 - FAILING_LOSS_SHARE) * share_longer
        )
        return if_failing / share_longer

    def begin(
        self,
        now: float,
        kind: str,
        *,
        trial: bool = False,
        expected_ms: float = 0.0,
        customer: str = "",
    ) -> TrackedRequest:
        """Start to track a request; the result must be passed to `end`.

        Args:
            now: Clock seconds.
            kind: Kind of request, such as its route.
            trial: Whether it is admitted although the target is probably failing.
            expected_ms: Typical latency of its kind according to the ingress, 0 if unknown.
            customer: The customer it belongs to, empty if none.
        """
        tracked = TrackedRequest(kind, now, trial, now, expected_ms, customer)
        self._tracked.append(tracked)
        if len(self._tracked) > TRACKED_MAX:
            self._fold_in(now, self._tracked.pop(0))
        return tracked

    def end(
        self, now: float, tracked: TrackedRequest, end: End, *, stalled_at: float = -math.inf
    ) -> None:
        """Record how a request ended.

        Args:
            now: Clock seconds.
            tracked: What `begin` returned.
            end: How it ended.
            stalled_at: When this process last resumed after a stall; the wait for a response
                before that is no evidence.
        """
        tracked.observed_from = max(tracked.observed_from, min(now, stalled_at))
        self._learn(now, tracked, end, stalled=stalled_at >= tracked.started)
        tracked.likelihood_ratio = self._final_likelihood_ratio(now, tracked, end)
        while self._tracked and self._tracked[0].likelihood_ratio is not None:
            self._fold_in(now, self._tracked.pop(0))
        self._learn_periods(now)
        self._learn_failures(now, tracked, end)

    def discount_stall(self, now: float) -> None:
        """Ignore the wait for responses up to now, because this process was stalled."""
        for tracked in self._tracked:
            tracked.observed_from = max(tracked.observed_from, now)

    def count_unanswered(self, now: float) -> None:
        """Count requests as losses once they are probably lost, before they time out."""
        for tracked in self.running:
            self._count_unanswered(now, tracked)

    def _count_unanswered(self, now: float, tracked: TrackedRequest) -> None:
        if not tracked.counted_unanswered and self.likelihood_ratio(now, tracked) > 1.0 / (
            1.0 - FAILING_LOSS_SHARE
        ):
            tracked.counted_unanswered = True
            self._unanswered_losses += 1.0

    @property
    def _stationary_probability(self) -> float:
        begin_rate, end_rate = self._rates()
        return begin_rate / (begin_rate + end_rate)

    @property
    def _unanswered_share(self) -> float:
        return self._unanswered_losses / self._losses

    @property
    def _failed_share(self) -> float:
        """Share of requests that the target answers with an error during a failure period."""
        return (
            FAILING_LOSS_SHARE * (self._failures + FAILURES_PRIOR) / (self._losses + FAILURES_PRIOR)
        )

    @property
    def _losses(self) -> float:
        return self._unanswered_losses + self._resets + self._failures

    def _rates(self) -> tuple[float, float]:
        """Return failure periods begun per healthy second and ended per failing second."""
        return self._periods_begun / self._healthy_s, self._periods_ended / self._failing_s

    def _drift(self, bad: float, elapsed_s: float) -> float:
        """Return the probability after a time without evidence, in seconds."""
        if elapsed_s <= 0.0:
            return bad
        begin_rate, end_rate = self._rates()
        stationary = begin_rate / (begin_rate + end_rate)
        return stationary + (bad - stationary) * math.exp(-(begin_rate + end_rate) * elapsed_s)

    def _final_likelihood_ratio(self, now: float, tracked: TrackedRequest, end: End) -> float:
        match end:
            case End.ANSWERED:
                return 1.0 - FAILING_LOSS_SHARE
            case End.FAILED:
                baseline = self._baseline_failures.of(tracked.categories)
                return max(1.0, self._failed_share / baseline)
            case End.LOST if now - tracked.started < LATE_LOSS_S:
                return FAILING_LOSS_SHARE / HEALTHY_LOSS_SHARE
            case End.NO_RESPONSE:
                return self.likelihood_ratio(now, tracked)
            case _:
                return 1.0

    def _learn(self, now: float, tracked: TrackedRequest, end: End, *, stalled: bool) -> None:
        """Learn latencies and how losses come about from a request's end."""
        match end:
            case End.ANSWERED | End.FAILED:
                self._unanswered_losses = max(
                    UNANSWERED_PRIOR, self._unanswered_losses - tracked.counted_unanswered
                )
                if end is End.ANSWERED and not stalled:
                    self.latency(tracked.kind).add((now - tracked.observed_from) * 1000.0)
            case End.LOST if now - tracked.started < LATE_LOSS_S:
                self._resets += 1.0
            case End.NO_RESPONSE:
                self._count_unanswered(now, tracked)
            case _:
                return
        self._forget_losses()

    def _learn_failures(self, now: float, tracked: TrackedRequest, end: End) -> None:
        """Learn baseline failure rates, and how many losses are error responses."""
        match end:
            case End.ANSWERED:
                self._failures += self._baseline_failures.succeeded(
                    tracked.categories, self.bad(now)
                )
            case End.FAILED:
                self._failures += self._baseline_failures.failed(tracked.categories, self.bad(now))
            case _:
                return
        self._forget_losses()

    def _forget_losses(self) -> None:
        if self._losses > LOSS_MEMORY:
            self._resets *= 0.5
            self._unanswered_losses *= 0.5
            self._failures *= 0.5

    def _fold_in(self, now: float, tracked: TrackedRequest) -> None:
        """Fold a request's evidence into the stored probability; it is no longer tracked."""
        likelihood_ratio = self.likelihood_ratio(now, tracked)
        self._bad = _bayes_update(
            self._drift(self._bad, tracked.started - self._at), likelihood_ratio
        )
        self._at = max(self._at, tracked.started)

    def _learn_periods(self, now: float) -> None:
        """Learn how often failure periods begin and how long they last."""
        passed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        if self._in_failure_period:
            self._failing_s += passed_s
        else:
            self._healthy_s += passed_s
        bad = self.bad(now)
        if not self._in_failure_period and bad >= PERIOD_BEGINS_AT:
            self._in_failure_period = True
            self._periods_begun += 1.0
        elif self._in_failure_period and bad <= PERIOD_ENDS_AT:
            self._in_failure_period = False
            self._periods_ended += 1.0


def _bayes_update(bad: float, likelihood_ratio: float) -> float:
    """Return the probability after evidence with this likelihood ratio, within its bounds."""
    updated = bad * likelihood_ratio / (bad * likelihood_ratio + 1.0 - bad)
    return min(PROBABILITY_MAX, max(PROBABILITY_MIN, updated))

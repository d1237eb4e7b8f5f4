"""One belief per target: how probable it is that it fails what it is given now.

A gray target has bad spells: for some seconds it loses most of what it gets, by a reset at once or
by saying nothing at all, while its health check stays good. The filter here has two hidden states,
sound and bad, and learns how often spells begin and how long they last. Every request is evidence
for the moment at which it was given to the target: an answer, a failure, a loss at once, and also
the silence so far, measured against the usual time of that kind of request. Silence counts from
the first moment on, graded, and by kind: nothing has to time out before the next request goes
elsewhere.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto

from roadpass.failure_share import BaselineFailures
from roadpass.usual import LatencyEstimate

FAILING_LOSS_SHARE = 0.75
"""Share of its requests that a target is taken to fail in a bad spell; the higher, the more a good
answer proves."""
HEALTHY_LOSS_SHARE = 0.001
"""Share of its requests that a sound target loses at once: so rare that the first loss shuts the
door even of a target that has just answered."""
ACCEPTED_AFTER_S = 0.03
"""Seconds after which a request was not lost at once: several times what a reset takes to come."""
LATE_LOSS_S = 0.1
"""Seconds after which a loss tells nothing of whether the next request is taken: more than
`ACCEPTED_AFTER_S`, since a node that gets little processor time notices a loss at once late."""
HEALTHY_PRIOR_S = 15.0
FAILING_PRIOR_S = 4.0
"""Seconds from spell to spell, and of a spell, that are assumed before any was seen."""
PERIOD_BEGINS_AT = 0.7
PERIOD_ENDS_AT = 0.2
"""Beliefs from which on a spell is counted as begun, and as over, to learn how often and long."""
PROBABILITY_MAX = 0.93
"""The belief never goes beyond this and its opposite, so that a few good answers turn it."""
PROBABILITY_MIN = 0.01
TRACKED_MAX = 64
"""Requests whose evidence is kept apart; beyond, the oldest count by what they showed so far."""
KINDS_MAX = 512
"""Kinds of requests whose usual time is kept, 0.1 KB each; the oldest goes first."""
RESETS_PRIOR = 0.1
UNANSWERED_PRIOR = 0.9
"""Losses at once, and in silence, that are taken to have been seen before any was: so few that the
first reset tells how the target fails; until then a request that is kept proves nothing."""
FAILURES_PRIOR = 0.5
"""The same for answers that are failures: until some were seen, a quarter of a spell's work is
expected to end so."""
LOSS_MEMORY = 20.0
"""Losses of which it is remembered how they came."""


class End(Enum):
    """How a request at a target ended, as far as it tells of the target.

    An excused one failed because a call that its target made for it has failed.
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
        kind: Of the request, such as its route.
        started: Clock seconds.
        trial: Whether it was let in although the target was believed bad.
        observed_from: From when on its silence counts, clock seconds.
        expected_ms: What its ingress says is typical for its kind, 0 for nothing.
        customer: Whose it is, empty if nobody's in particular.
        likelihood_ratio: How many times likelier what it showed is at a failing target; `None`
            while it runs.
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
        """By which it is known how often its like fail at sound targets."""
        route = f"route {self.kind}"
        return (route, f"customer {self.customer}") if self.customer else (route,)


class FailureEstimator:
    """A filter over all that one target shows; pure, the caller's lock guards it.

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
        """The requests that the target has."""
        return [tracked for tracked in self._tracked if tracked.likelihood_ratio is None]

    def latency(self, kind: str) -> LatencyEstimate:
        """Return the usual time of a kind of request at this target."""
        found = self._latencies.get(kind)
        if found is None:
            if len(self._latencies) >= KINDS_MAX:
                del self._latencies[next(iter(self._latencies))]
            found = self._latencies[kind] = LatencyEstimate()
        return found

    def bad(self, now: float) -> float:
        """Return how probable it is that the target is in a bad spell, from 0 to 1."""
        bad, at = self._bad, self._at
        for tracked in self._tracked:
            bad = _bayes_update(
                self._drift(bad, tracked.started - at), self.likelihood_ratio(now, tracked)
            )
            at = max(at, tracked.started)
        return self._drift(bad, now - at)

    def likelihood_ratio(self, now: float, tracked: TrackedRequest) -> float:
        """Return how many times more probable what a request shows so far is at a bad target."""
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
        """Note that the target gets a request; what is returned is to be handed to `end`.

        Args:
            now: Clock seconds.
            kind: Of the request.
            trial: Whether it is let in although the target is believed bad.
            expected_ms: What its ingress says is typical for its kind, 0 for nothing.
            customer: Whose it is, empty if nobody's in particular.
        """
        tracked = TrackedRequest(kind, now, trial, now, expected_ms, customer)
        self._tracked.append(tracked)
        if len(self._tracked) > TRACKED_MAX:
            self._fold_in(now, self._tracked.pop(0))
        return tracked

    def end(
        self, now: float, tracked: TrackedRequest, end: End, *, stalled_at: float = -math.inf
    ) -> None:
        """Note how a request ended.

        Args:
            now: Clock seconds.
            tracked: What `begin` returned.
            end: How it ended.
            stalled_at: When this process last stood still: silence before that tells nothing.
        """
        tracked.observed_from = max(tracked.observed_from, min(now, stalled_at))
        self._learn(now, tracked, end, stalled=stalled_at >= tracked.started)
        tracked.likelihood_ratio = self._final_likelihood_ratio(now, tracked, end)
        while self._tracked and self._tracked[0].likelihood_ratio is not None:
            self._fold_in(now, self._tracked.pop(0))
        self._learn_periods(now)
        self._learn_failures(now, tracked, end)

    def discount_stall(self, now: float) -> None:
        """Note that this process stood still until now: silence up to here tells nothing."""
        for tracked in self._tracked:
            tracked.observed_from = max(tracked.observed_from, now)

    def count_unanswered(self, now: float) -> None:
        """Count what is probably lost in silence as soon as it is, not when its time is over."""
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
        begin, over = self._rates()
        return begin / (begin + over)

    @property
    def _unanswered_share(self) -> float:
        return self._unanswered_losses / self._losses

    @property
    def _failed_share(self) -> float:
        """Share of its requests that the target answers with a failure in a spell."""
        return (
            FAILING_LOSS_SHARE * (self._failures + FAILURES_PRIOR) / (self._losses + FAILURES_PRIOR)
        )

    @property
    def _losses(self) -> float:
        return self._unanswered_losses + self._resets + self._failures

    def _rates(self) -> tuple[float, float]:
        """Return how many spells begin, and are over, a second of being sound or bad."""
        return self._periods_begun / self._healthy_s, self._periods_ended / self._failing_s

    def _drift(self, bad: float, for_s: float) -> float:
        """Return the belief after so many seconds without evidence."""
        if for_s <= 0.0:
            return bad
        begin, over = self._rates()
        stationary = begin / (begin + over)
        return stationary + (bad - stationary) * math.exp(-(begin + over) * for_s)

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
        """Learn usual times and shares from a request's end."""
        match end:
            case End.ANSWERED | End.FAILED:
                self._unanswered_losses = max(
                    UNANSWERED_PRIOR, self._unanswered_losses - tracked.counted_unanswered
                )
                if end is End.ANSWERED and not stalled:
                    self.latency(tracked.kind).add((now - tracked.started) * 1000.0)
            case End.LOST if now - tracked.started < LATE_LOSS_S:
                self._resets += 1.0
            case End.NO_RESPONSE:
                self._count_unanswered(now, tracked)
            case _:
                return
        self._forget_losses()

    def _learn_failures(self, now: float, tracked: TrackedRequest, end: End) -> None:
        """Learn whose failures are usual, and whether those of spells are by answers."""
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
        """Make a request's evidence part of the belief for good."""
        likelihood_ratio = self.likelihood_ratio(now, tracked)
        self._bad = _bayes_update(
            self._drift(self._bad, tracked.started - self._at), likelihood_ratio
        )
        self._at = max(self._at, tracked.started)

    def _learn_periods(self, now: float) -> None:
        """Learn how often spells begin and how long they last."""
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
    """Return the belief after evidence that is so many times more probable at a bad target."""
    updated = bad * likelihood_ratio / (bad * likelihood_ratio + 1.0 - bad)
    return min(PROBABILITY_MAX, max(PROBABILITY_MIN, updated))

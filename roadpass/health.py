"""Health of the targets of one service, as seen by one ingress."""

from collections.abc import Mapping
from dataclasses import dataclass
from statistics import median_low
from typing import NamedTuple

from roadpass.ejector import Ejector, Fact, State, Step
from roadpass.failure_detector import FAILURE_BASE, Detector, Sample, Scores, threshold
from roadpass.fleet import Service

SLOW_MIN_MS = 5.0
PENDING_FACTOR = 4.0
"""A request that is pending this many times longer than the slow threshold counts as evidence."""
PENDING_GROWTH = 1.5
"""Factor between one such limit and the next, at which the request counts again."""
OWN_LATENCY_FACTOR = 3.0
"""Multiple of the target's own 95th percentile that counts as slow while no other target's latency
is known."""
LATENCY_TTL_S = 60.0
"""Seconds for which a sidecar's report of its target's latency is used."""
HINT_TTL_S = 5.0
"""Seconds for which a sidecar's scores of its target are used."""
NODE_DEAD_SCORE = 2.0
"""Score of a target whose node is considered dead: higher than that of any faulty target."""
_NO_EVIDENCE = Scores(0.0, 0.0)


class Presence(NamedTuple):
    """Availability of a target.

    Args:
        slots: Its slots.
        leaving: Whether it or its VM has announced its shutdown.
        node_dead: Whether its node is considered dead.
    """

    slots: int
    leaving: bool = False
    node_dead: bool = False


@dataclass(slots=True)
class _TargetHealth:
    detector: Detector
    hint: Scores = _NO_EVIDENCE
    hint_at: float = float("-inf")
    bad: bool = False
    slow_ms: float = 0.0
    others_failure: float = FAILURE_BASE
    reported_ms: float = 0.0
    reported_at: float = float("-inf")


def pending_limit_ms(slow_ms: float, times_overdue: int) -> float:
    """Return the age in milliseconds at which a pending attempt counts as evidence next.

    Args:
        slow_ms: Service time that counts as slow, 0 if unknown; the result is then 0.
        times_overdue: How often the attempt was counted before.
    """
    return PENDING_FACTOR * slow_ms * PENDING_GROWTH**times_overdue


class ServiceHealth:
    """Combines this ingress's evidence with the sidecars' scores and ejects targets by it.

    Slowness counts only as far as a target is slower than the others of its service: the median
    slow score of the others is subtracted, so a slowdown of all targets ejects none.

    Not thread-safe.

    Args:
        service: Configuration of the service.
    """

    def __init__(self, service: Service) -> None:
        self._service = service
        self._h = threshold(service.false_ejections_per_target_week)
        self._ejector = Ejector(
            floor_slots=service.floor_slots,
            slow_start_s=service.slow_start_s,
            trial_weight=service.judgement.trial_weight,
            trial_successes=service.judgement.trial_successes,
        )
        self._targets: dict[str, _TargetHealth] = {}
        self._alarmed = False

    @property
    def alarmed(self) -> bool:
        """Whether a score has reached the threshold since the last step."""
        return self._alarmed

    @property
    def names(self) -> list[str]:
        """Names of the targets seen in the last step."""
        return list(self._targets)

    def configure(self, service: Service) -> None:
        """Apply changed settings; a changed rate of false ejections clears all evidence."""
        if service.false_ejections_per_target_week != (
            self._service.false_ejections_per_target_week
        ):
            self._h = threshold(service.false_ejections_per_target_week)
            for health in self._targets.values():
                health.detector = Detector(self._h)
        self._service = service
        self._ejector.configure(floor_slots=service.floor_slots, slow_start_s=service.slow_start_s)

    def record(
        self,
        target: str,
        sample: Sample,
        *,
        counted_slow: bool = False,
        at: float | None = None,
    ) -> None:
        """Record the outcome of one attempt; ignored for unknown targets.

        Args:
            target: Name of the target.
            sample: The outcome.
            counted_slow: Whether `record_pending` already counted the attempt.
            at: When it ended, in seconds; `None` to ignore overlaps between slow samples.
        """
        health = self._targets.get(target)
        if health is None:
            return
        slow = 0.0 < health.slow_ms < sample.service_ms
        if sample.failed or slow:
            health.bad = True
        health.detector.observe(
            sample,
            slow_ms=health.slow_ms,
            base_failure=health.others_failure,
            counted_slow=counted_slow,
            at=at,
        )
        self._alarm(health)

    def record_pending(self, target: str) -> None:
        """Record that a pending attempt passed its limit, see `pending_ms`."""
        health = self._targets.get(target)
        if health is None:
            return
        health.bad = True
        health.detector.observe_pending()
        self._alarm(health)

    def hint(self, now: float, target: str, scores: Scores, *, latency_ms: float = 0.0) -> None:
        """Record a sidecar's scores of its target; ignored for unknown targets.

        Args:
            now: Seconds.
            target: Name of the target.
            scores: The sidecar's evidence against it.
            latency_ms: 95th percentile of its service time, 0 if unknown.
        """
        health = self._targets.get(target)
        if health is None:
            return
        health.hint = scores
        health.hint_at = now
        if scores.worst >= 1.0:
            self._alarmed = True
        if latency_ms > 0.0:
            health.reported_ms = latency_ms
            health.reported_at = now

    def slow_ms(self, target: str) -> float:
        """Return the service time in milliseconds that counts as slow, 0 if not known yet."""
        health = self._targets.get(target)
        return health.slow_ms if health else 0.0

    def pending_ms(self, target: str, *, times_overdue: int = 0) -> float:
        """Return the age in milliseconds at which a pending attempt counts, 0 if not known yet.

        Args:
            target: Name of the target.
            times_overdue: How often the attempt was counted before.
        """
        health = self._targets.get(target)
        if health is None:
            return 0.0
        slow_ms = health.slow_ms or OWN_LATENCY_FACTOR * health.detector.latency_ms
        return pending_limit_ms(slow_ms, times_overdue)

    def state(self, target: str) -> State | None:
        """Return a target's state, `None` if it is unknown."""
        return self._ejector.state(target)

    def weight(self, target: str, now: float) -> float:
        """Return a target's traffic weight, 0 to 1, relative to one in full service."""
        return self._ejector.weight(target, now)

    def scores(self, now: float, target: str) -> Scores:
        """Return the evidence against a target: the higher of own and recent sidecar scores."""
        health = self._targets[target]
        own = health.detector.scores
        if now - health.hint_at > HINT_TTL_S:
            return own
        return Scores(max(own.failure, health.hint.failure), max(own.slow, health.hint.slow))

    def step(self, now: float, present: Mapping[str, Presence]) -> Step:
        """Update the reference latencies and failure rates, and then all states.

        Args:
            now: Seconds.
            present: Every target of the service by name; targets not listed are dropped.
        """
        self._alarmed = False
        for name in [name for name in self._targets if name not in present]:
            del self._targets[name]
        for name in present:
            if name not in self._targets:
                self._targets[name] = _TargetHealth(Detector(self._h))
        self._update_references(now)
        scores = {name: self.scores(now, name) for name in present}
        facts = {name: self._fact(name, present[name], scores) for name in present}
        step = self._ejector.step(now, facts)
        for change in step.changes:
            self._on_change(change.target, change.new)
        for name in present:
            self._targets[name].bad = False
        return step

    def _alarm(self, health: _TargetHealth) -> None:
        if health.detector.scores.worst >= 1.0:
            self._alarmed = True

    def _fact(self, name: str, presence: Presence, scores: Mapping[str, Scores]) -> Fact:
        health = self._targets[name]
        own = scores[name]
        others = [other.slow for key, other in scores.items() if key != name]
        slow = own.slow - median_low(others) if others else 0.0
        evidence = (
            f"failure {own.failure:.2f}, slow {slow:.2f} of threshold "
            f"after {health.detector.samples} samples"
        )
        if presence.node_dead:
            evidence = "node is considered dead"
        return Fact(
            slots=presence.slots,
            leaving=presence.leaving,
            node_dead=presence.node_dead,
            score=max(own.failure, slow, NODE_DEAD_SCORE if presence.node_dead else 0.0),
            good_run=health.detector.good_run,
            bad=health.bad,
            evidence=evidence,
        )

    def _on_change(self, target: str, new: State) -> None:
        health = self._targets[target]
        if new in (State.TRIAL, State.RAMPING, State.EJECTED):
            health.detector.reset()
            health.hint = _NO_EVIDENCE

    def _update_references(self, now: float) -> None:
        margin = self._service.judgement.slow_margin
        latencies = {}
        for name, health in self._targets.items():
            reported = now - health.reported_at <= LATENCY_TTL_S
            latency_ms = health.reported_ms if reported else health.detector.latency_ms
            if latency_ms > 0.0:
                latencies[name] = latency_ms
        rates = {name: health.detector.failure_rate for name, health in self._targets.items()}
        for name, health in self._targets.items():
            others = [value for key, value in latencies.items() if key != name]
            if others:
                health.slow_ms = max(SLOW_MIN_MS, margin * median_low(others))
            failures = [value for key, value in rates.items() if key != name]
            health.others_failure = median_low(failures) if failures else FAILURE_BASE

"""Health monitor: an actor that evaluates targets and publishes views for the dispatcher."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from roadpass import clock
from roadpass._actor import Actor
from roadpass._ticker import Ticker
from roadpass.audit import AuditTrail, Kind
from roadpass.balance import Candidate
from roadpass.dispatch import Dispatcher
from roadpass.ejector import State, Step
from roadpass.failure_detector import Scores
from roadpass.fleet import Fleet
from roadpass.health import Presence, ServiceHealth
from roadpass.hint import FAULTY_SCORE
from roadpass.pause import PauseWatch
from roadpass.request import Observation
from roadpass.sidecar import Sidecar
from roadpass.view import ServiceView, View

TICK_S = 0.05
STEP_S = 0.1
"""Minimum interval between evaluations of a service that has new samples."""
REFRESH_S = 0.5
"""Maximum interval between evaluations of a service."""
ACTIVE_S = 60.0
HOUSEKEEPING_S = 1.0

_log = logging.getLogger("roadpass.health")


class Tick(NamedTuple):
    """Sent by the ticker every `TICK_S` seconds."""


class FleetChanged(NamedTuple):
    """Another revision of the configuration is in force."""

    fleet: Fleet


class HintReceived(NamedTuple):
    """A sidecar's scores of its target arrived by gossip."""

    target: str
    scores: Scores


class TargetStatus(NamedTuple):
    """A target as the administration API shows it; the field names are part of the API."""

    target: str
    service: str
    vm: str
    state: str
    reason: str
    failure_score: float
    slow_score: float


class _Active:
    """Health of a service with recent traffic."""

    def __init__(self, health: ServiceHealth, now: float) -> None:
        self.health = health
        self.used_at = now
        self.stepped_at = float("-inf")
        self.dirty = True


class HealthMonitor(Actor):
    """Owns the health state of the services that this ingress sends requests to.

    Args:
        view: Where service views are published.
        dispatcher: Source of observations and pending attempts.
        sidecar: Source of the scores of this VM's targets.
        pause: Reports stalls of this process.
        report_hint: Spreads the scores of a target of this VM by gossip.
        audit: The audit trail.
    """

    def __init__(
        self,
        view: View,
        dispatcher: Dispatcher,
        sidecar: Sidecar,
        pause: PauseWatch,
        report_hint: Callable[[str, Scores], None],
        audit: AuditTrail,
    ) -> None:
        super().__init__()
        self._view = view
        self._dispatcher = dispatcher
        self._sidecar = sidecar
        self._pause = pause
        self._report_hint = report_hint
        self._audit = audit
        self._services: dict[str, _Active] = {}
        self._reasons: dict[str, str] = {}
        self._next_housekeeping = 0.0
        self._ticker = Ticker("health-tick", TICK_S, lambda: self.actor_ref.tell(Tick()))

    def on_start(self) -> None:
        """Start the ticker."""
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop the ticker."""
        self._ticker.stop()

    def handle(self, message: Any) -> None:
        """Handle one message; called on the actor's thread."""
        match message:
            case Tick():
                self._on_tick(clock.now())
            case FleetChanged(fleet=fleet):
                self._on_fleet(fleet)
            case HintReceived(target=target, scores=scores):
                self._on_hint(target, scores)
            case _:
                _log.error("unknown message %r", message)

    def statuses(self) -> list[TargetStatus]:
        """Return every configured target's state and its reason; callable from any thread."""
        now = clock.now()
        return [self._status(now, name) for name in sorted(self._view.fleet.targets)]

    def _status(self, now: float, name: str) -> TargetStatus:
        target = self._view.fleet.targets[name]
        active = self._services.get(target.service)
        state: State | None = None
        scores = Scores(0.0, 0.0)
        unjudged = "no traffic from here yet"
        if active is not None and name in active.health.names:
            state, unjudged = active.health.state(name), ""
            scores = active.health.scores(now, name)
        return TargetStatus(
            name,
            target.service,
            target.vm,
            state.value if state else "not-judged",
            self._statement(name) or self._reasons.get(name, unjudged),
            round(scores.failure, 3),
            round(scores.slow, 3),
        )

    def _statement(self, name: str) -> str:
        """Return what a target states about itself, empty for nothing."""
        notices = self._view.notices
        if notices.is_leaving(name):
            return "its responses say that it is leaving"
        rate_per_s = notices.rate_per_s(name)
        return "" if rate_per_s is None else f"it names a limit of {rate_per_s:g} requests/s"

    def _on_tick(self, now: float) -> None:
        self._take_observations(now)
        self._scan_pending(now)
        for name, local in self._sidecar.targets.items():
            local.scan_running(now)
            if local.scores.worst >= FAULTY_SCORE:
                self._report_hint(name, local.scores)
                self._on_hint(name, local.scores)
        for name, active in list(self._services.items()):
            age_s = now - active.stepped_at
            due = age_s >= REFRESH_S or (active.dirty and age_s >= STEP_S)
            if due or active.health.alarmed:
                self._step(now, name, active)
        if now >= self._next_housekeeping:
            self._next_housekeeping = now + HOUSEKEEPING_S
            self._housekeeping(now)

    def _take_observations(self, now: float) -> None:
        observations = self._dispatcher.observations
        for _ in range(len(observations)):
            self._observe(now, observations.popleft())

    def _observe(self, now: float, seen: Observation) -> None:
        active = self._activate(now, seen.service)
        if active is None:
            return
        sample = seen.sample and self._view.warm_ups.excused(
            now, seen.target, seen.sample, active.health.slow_ms(seen.target)
        )
        if sample is not None:
            active.health.record(seen.target, sample, counted_slow=seen.counted_slow, at=seen.at)
        if seen.scores is not None:
            active.health.hint(now, seen.target, seen.scores, latency_ms=seen.latency_ms)
        active.dirty = True

    def _activate(self, now: float, service: str) -> _Active | None:
        active = self._services.get(service)
        if active is None:
            configured = self._view.fleet.services.get(service)
            if configured is None:
                return None
            active = self._services[service] = _Active(ServiceHealth(configured), now)
            active.health.step(now, self._presence(service))
        active.used_at = now
        return active

    def _scan_pending(self, now: float) -> None:
        for pending in self._dispatcher.pending.copy().values():
            active = self._services.get(pending.service)
            if active is None:
                continue
            limit_ms = active.health.pending_ms(pending.target, times_overdue=pending.times_overdue)
            load = self._dispatcher.loads.load(pending.target, now)
            queue_ms = load.utilization * load.latency_ms
            cold_at = self._view.warm_ups.cold_at(now, pending.target)
            seen_since = max(pending.since, self._pause.last_stall, cold_at)
            if limit_ms and (now - seen_since) * 1000.0 > limit_ms + queue_ms:
                if pending.times_overdue == 0:
                    self._dispatcher.loads.mark_overdue(pending.target)
                pending.times_overdue += 1
                active.health.record_pending(pending.target)
                active.dirty = True

    def _on_fleet(self, fleet: Fleet) -> None:
        for name in [name for name in self._services if name not in fleet.services]:
            del self._services[name]
            self._view.services.pop(name, None)
        for name, active in self._services.items():
            active.health.configure(fleet.services[name])
            active.dirty = True
        self._dispatcher.loads.keep_only(set(fleet.targets))
        self._view.room.keep_only(set(fleet.targets))
        self._reasons = {n: why for n, why in self._reasons.items() if n in fleet.targets}
        self._on_tick(clock.now())

    def _on_hint(self, name: str, scores: Scores) -> None:
        target = self._view.fleet.targets.get(name)
        active = self._services.get(target.service) if target else None
        if active is not None:
            active.health.hint(clock.now(), name, scores)
            active.dirty = True

    def _step(self, now: float, name: str, active: _Active) -> None:
        active.dirty = False
        active.stepped_at = now
        step = active.health.step(now, self._presence(name))
        self._report(name, step)
        self._publish(now, name, active.health)

    def _presence(self, service: str) -> dict[str, Presence]:
        present = {}
        for target in self._view.fleet.targets_of(service):
            if target.vm == self._view.vm:
                leaving = self._view.is_leaving(target) or self._view.leaving
                present[target.name] = Presence(target.slots, leaving)
                continue
            node = self._view.nodes.get(target.vm)
            node_dead = node is None or not node.alive
            leaving = self._view.is_leaving(target)
            present[target.name] = Presence(target.slots, leaving, node_dead)
        return present

    def _report(self, service: str, step: Step) -> None:
        for change in step.changes:
            self._reasons[change.target] = change.evidence
            old = change.old.value if change.old else "unknown"
            evidence = f"{old} to {change.new.value}: {change.evidence}"
            self._audit.record(Kind.TARGET_STATE, change.target, evidence)
        for bound in step.bound:
            evidence = f"kept in service by the floor of {service}: {bound.evidence}"
            self._audit.record(Kind.FLOOR_BOUND, bound.target, evidence)

    def _publish(self, now: float, name: str, health: ServiceHealth) -> None:
        candidates = {}
        slow_ms = {}
        for target in self._view.fleet.targets_of(name):
            weight = min(
                health.weight(target.name, now),
                self._view.warm_ups.weight(now, target.name, target.slots),
            )
            slow_ms[target.name] = health.slow_ms(target.name)
            if weight > 0.0:
                trial = health.state(target.name) is State.TRIAL
                tier = self._view.tier(target)
                candidates[target.name] = Candidate(target.name, tier, weight, trial)
        self._view.services[name] = ServiceView(candidates, slow_ms=slow_ms)

    def _housekeeping(self, now: float) -> None:
        for name in [n for n, a in self._services.items() if now - a.used_at > ACTIVE_S]:
            del self._services[name]
            self._view.services.pop(name, None)
        for local in self._sidecar.targets.values():
            local.forget_old_evidence(now)
        self._sidecar.expire()

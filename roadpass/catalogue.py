"""A node's copy of a source: the newest configuration, the targets, and the fleet built from them.

Holds state only: no sockets, threads or clocks. A withdrawn target stays in service for a moment,
as its entry may have lapsed only because the source was unavailable, and then returns at once.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from roadpass.fleet import Fleet, Judgement, Service, Target, TrafficClass, joined_class
from roadpass.offer import FAR_LOSS_PER_KB
from roadpass.restored_entries import RestoredEntries
from roadpass.settings import StoreSettings
from roadpass.sharing import OFF, Sharing
from roadpass.source import (
    Changes,
    ConfigPublished,
    InvalidItem,
    PublishedConfig,
    PublishedService,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
)

WITHDRAWN_GRACE_S = 0.7
"""Seconds for which a withdrawn target still receives requests; it must get none after 2 s."""
MAX_WITHDRAWN_AGE_S = 1.6
"""Limit in seconds on the same, counted from the last time its entry is known to have existed."""
REPUBLISH_GRACE_S = 2.5
"""Seconds after an outage of the source in which withdrawn targets are kept: entries that lapsed in
it are written again about 2 s after its end."""
FALSE_EJECTIONS_PER_TARGET_WEEK = 0.1
"""Accepted rate of false ejections, for each target and week."""
ATTEMPT_TIMEOUT_MS = 60_000
"""So long that single attempts are bounded only by the deadline of their request."""
WAITING_LIMIT = 400
"""Requests of one service and class that may wait at an ingress; each takes a thread, 0.1 MB."""
QUEUE_LIMIT = 24
"""Requests that may wait at a target's sidecar; the expected wait limits them earlier."""
RETRY_SHARE = 0.57
"""Share of the allowed retries that is used. The rest is reserved for the calls that a retried
request makes in turn: they count as retries of the called service, which cannot recognize them."""
JUDGEMENT = Judgement(slow_margin=6.0, trial_weight=0.15, trial_successes=3)
"""Targets differ in speed and requests in length, so only six times the others' latency counts as
slow. An ingress sends a target about one request in two seconds, so a trial is short."""
MAX_REMEMBERED_STARTS = 10_000
"""Instance ids whose newest start is remembered, also after their entries are gone: an entry of an
earlier start may arrive late, from a peer or a stale read. About 0.1 KB each."""
SLOW_START_S = 2.0
"""Seconds of the ramp-up of a new target; published targets report their own warm-up, which takes a
few seconds."""


class Policy(NamedTuple):
    """Operator settings that apply to all published services.

    Args:
        floor_share: Share of a service's slots that is never ejected, whatever the evidence.
        retry_ratio: Retries per request that a service may receive, over the whole fleet.
        retry_slack: Additional retries in each window, over the whole fleet.
        retry_window_s: Length of the window in seconds.
        far_loss_per_kb: Cost of a kilobyte sent to another data hall, as a share of a lost request.
        sharing: Ways of sharing capacity that the settings call for.
    """

    floor_share: float = 0.7
    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    far_loss_per_kb: float = FAR_LOSS_PER_KB
    sharing: Sharing = OFF

    @classmethod
    def from_settings(cls, store: StoreSettings, sharing: Sharing) -> "Policy":
        """Return the policy in a node's store settings, with the switches that these call for."""
        same = [name for name in cls._fields if name != "sharing"]
        return cls(**{name: getattr(store, name) for name in same}, sharing=sharing)


class Catalogue:
    """The newest configuration and the known targets; not safe for use by several threads.

    Args:
        policy: Applied to the fleets that are built.
    """

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._config: PublishedConfig | None = None
        self._targets: dict[str, TargetEntry] = {}
        self._withdrawn: dict[str, float] = {}
        self._newest_starts: dict[str, int] = {}
        self._unavailable_until = float("-inf")
        self._restored = RestoredEntries()
        self._era: int | None = None

    @property
    def config(self) -> PublishedConfig | None:
        """The newest configuration, `None` before the first update."""
        return self._config

    @property
    def targets(self) -> Mapping[str, TargetEntry]:
        """Targets by instance id, including those withdrawn a moment ago."""
        return self._targets

    def set_policy(self, policy: Policy) -> None:
        """Use another policy for the fleets that are built from now on."""
        self._policy = policy

    def mark_source_unavailable(self, until: float) -> None:
        """Record an outage of the source: entries withdrawn now may only have lapsed.

        Args:
            until: Clock seconds at which it ended.
        """
        self._unavailable_until = max(self._unavailable_until, until)

    def apply(
        self, now: float, changes: Changes, *, confirmed_at: float = math.inf
    ) -> tuple[bool, list[InvalidItem]]:
        """Apply an update.

        Args:
            now: Clock seconds.
            changes: The update.
            confirmed_at: Clock seconds at which the source was last confirmed to have nothing
                newer than the state before: what it withdraws may have been gone since then.

        Returns:
            Whether the fleet has changed, and the items that could not be used.
        """
        changed = False
        invalid: list[InvalidItem] = []
        restored = self._era is not None and changes.position.era > self._era
        self._era = changes.position.era
        if restored:  # targets missing in the backup write their entries again, as after an outage
            self.mark_source_unavailable(now)
        for change in changes.changes:
            match change:
                case ConfigPublished(config=config):
                    changed |= self._apply_config(config)
                case TargetPublished(entry=entry):
                    if not self._restored.hold(now, entry, restored=restored, full=changes.full):
                        changed |= self._apply_target(entry)
                case TargetWithdrawn(instance=instance):
                    self._withdraw(now, confirmed_at, instance)
                case InvalidItem(instance=instance):
                    invalid.append(change)
                    self._withdraw(now, confirmed_at, instance)
        if changes.full:
            self._withdraw_missing(now, confirmed_at, changes, ended=not restored)
        return changed, invalid

    def expire(self, now: float) -> bool:
        """Drop withdrawn targets after their grace period, add restored ones that did not lapse.

        Returns:
            Whether the fleet has changed.
        """
        expired = [name for name, until in self._withdrawn.items() if until <= now]
        for name in expired:
            del self._withdrawn[name]
            self._targets.pop(name, None)
        added = [self._apply_target(entry) for entry in self._restored.release(now)]
        return bool(expired) or any(added)

    def next_expiry_s(self, now: float) -> float:
        """Return the seconds until `expire` has something to do, infinite if nothing is pending."""
        until = min(self._withdrawn.values(), default=math.inf)
        return max(0.0, min(until, self._restored.next_release_at()) - now)

    def fleet(self) -> Fleet:
        """Return the fleet built from the current state, empty without a configuration."""
        if self._config is None:
            return Fleet.empty()
        return build_fleet(self._config, self._targets.values(), self._policy)

    def _apply_config(self, config: PublishedConfig) -> bool:
        if self._config is not None and config.version <= self._config.version:
            return False
        self._config = config
        return True

    def _apply_target(self, entry: TargetEntry) -> bool:
        entry = entry._replace(warm_up_ms=0.0, warm_up_invalid="")  # kept by `WarmUps`
        known = self._targets.get(entry.instance)
        if not entry.born and known is not None:  # without a start time, assume the known start
            entry = entry._replace(born=known.born)
        if 0 < entry.born < self._newest_starts.get(entry.instance, 0):
            return False
        if entry.born:
            self._remember_start(entry)
        self._withdrawn.pop(entry.instance, None)
        if known == entry:
            return False
        self._targets[entry.instance] = entry
        return True

    def _remember_start(self, entry: TargetEntry) -> None:
        """Remember the newest start of an instance id; the oldest record is evicted first."""
        self._newest_starts.pop(entry.instance, None)
        self._newest_starts[entry.instance] = entry.born
        if len(self._newest_starts) > MAX_REMEMBERED_STARTS:
            del self._newest_starts[next(iter(self._newest_starts))]

    def _withdraw(
        self, now: float, confirmed_at: float, instance: str, *, ended: bool = True
    ) -> None:
        """Start the grace period of a target whose entry is gone.

        Args:
            now: Clock seconds.
            confirmed_at: Clock seconds at which the entry is known to have existed.
            instance: Id of the target.
            ended: Whether the target has ended, rather than being absent from a backup.
        """
        self._restored.discard(instance)
        if instance in self._targets and instance not in self._withdrawn:
            kept_until = min(now + WITHDRAWN_GRACE_S, confirmed_at + MAX_WITHDRAWN_AGE_S)
            kept_until = max(kept_until, self._unavailable_until + REPUBLISH_GRACE_S)
            self._withdrawn[instance] = kept_until
            if ended:
                self._restored.remember_withdrawn(self._targets[instance])

    def _withdraw_missing(
        self, now: float, confirmed_at: float, changes: Changes, *, ended: bool
    ) -> None:
        present = {
            change.entry.instance
            for change in changes.changes
            if isinstance(change, TargetPublished)
        }
        self._restored.discard_others(present)
        for instance in self._targets:
            if instance not in present:
                self._withdraw(now, confirmed_at, instance, ended=ended)


def build_fleet(config: PublishedConfig, entries: Iterable[TargetEntry], policy: Policy) -> Fleet:
    """Build the fleet from a configuration and the known targets.

    Args:
        config: The configuration.
        entries: Targets; those of services missing in the configuration are left out.
        policy: Operator settings for all services.
    """
    targets = {
        entry.name: _target(entry, config.services[entry.service])
        for entry in entries
        if entry.service in config.services
    }
    services = {
        name: _service(name, [t for t in targets.values() if t.service == name], config, policy)
        for name in config.services
    }
    routes = {route.name: route for route in config.routes}
    return Fleet(
        services,
        targets,
        routes,
        (),
        revision=config.version,
        digest=str(config.version),
        customers=config.customers,
        sharing=_sharing(config, policy),
    )


def _sharing(config: PublishedConfig, policy: Policy) -> Sharing:
    """Return what settings and configuration call for; shares need customers to share among."""
    sharing = policy.sharing.union(config.sharing)
    return sharing._replace(fair_shares=sharing.fair_shares and bool(config.customers))


def _target(entry: TargetEntry, service: PublishedService) -> Target:
    return Target(
        name=entry.name,
        service=entry.service,
        vm=entry.vm,
        address=entry.address,
        slots=entry.slots,
        connections=service.max_connections,
        hall=entry.hall,
        labels={},
        leaving=entry.leaving,
        instance=entry.instance,
    )


def _classes(name: str, config: PublishedConfig) -> tuple[TrafficClass, ...]:
    """Return a service's traffic classes: those of its routes, joined with those of customers.

    With customer classes alone and all customers in one class, urgent requests had no priority: in
    an overload half of them were served, but three quarters of the others.
    """
    classes = {
        route.traffic_class or ""
        for route in config.routes
        if any(part.service == name for part in route.parts)
    }
    named = config.customers.traffic_classes
    if named:
        own = [joined_class(each, each) for each in classes]  # for requests without a customer
        classes = {joined_class(one, each) for one in named for each in classes}.union(own)
    return tuple(TrafficClass(each, 0.0) for each in sorted(classes)) or (TrafficClass("", 0.0),)


def _service(name: str, targets: list[Target], config: PublishedConfig, policy: Policy) -> Service:
    serving = [target for target in targets if not target.leaving]
    slots = sum(target.slots for target in serving)
    slack = policy.retry_slack * RETRY_SHARE
    target_slack = slack / max(1, len(serving))
    return Service(
        name=name,
        retry_burst=math.inf,
        target_repeats=max(1.0, target_slack),
        retry_window_s=policy.retry_window_s,
        fleet_ratio=policy.retry_ratio,
        fleet_slack=policy.retry_slack,
        floor_slots=math.ceil(slots * policy.floor_share),
        false_ejections_per_target_week=FALSE_EJECTIONS_PER_TARGET_WEEK,
        timeout_ms=ATTEMPT_TIMEOUT_MS,
        attempt_timeout_ms=ATTEMPT_TIMEOUT_MS,
        queue_limit=QUEUE_LIMIT,
        waiting_limit=WAITING_LIMIT,
        retry_ratio=policy.retry_ratio * RETRY_SHARE,
        slow_start_s=SLOW_START_S,
        shed_status=None,
        classes=_classes(name, config),
        judgement=JUDGEMENT,
        far_loss_per_kb=policy.far_loss_per_kb,
    )

"""Estimates of the load of targets at one ingress."""

import threading
from dataclasses import dataclass
from typing import NamedTuple

from roadpass.balance import Load
from roadpass.message import LoadReport
from roadpass.offer import Offer

REPORT_TTL_S = 1.0
"""Seconds after which a report is no longer used; its weight falls linearly until then."""
SMOOTHING = 0.1
AVERAGE_SMOOTHING = 0.02
"""Weight of one report in the average load from other ingresses, which stands in for a target whose
own report is old. If such a target were taken for idle, full ones would be probed again and again
while the service is overloaded."""
AVOID_S = 2.0
AVOIDED = Load(1e6, 1e6)
UNREACHABLE_S = 1.0
UNREACHABLE_GROWTH = 2.0
UNREACHABLE_MAX_S = 4.0
"""Seconds for which an unreachable target is not probed, the first time and at most. A probe costs
a request 0.1 s, and network partitions last for seconds."""
OFFER_TTL_S = 0.06
FAR_OFFER_TTL_MIN_S = 0.15
FAR_OFFER_TTL_MAX_S = 0.4
"""Seconds for which the reply of a target that is full or likely to fail is reused for other
requests: probing it for every request costs time if it is near, and bytes if it is far. The reply
of a far target is reused for as long as the wait that it announced, within the latter two
limits, and so is that of a near one that names a limit: no slot becomes free sooner there."""
DEFAULT_LIMIT = 10
FULL = 1.0


@dataclass(slots=True)
class _Entry:
    own: int = 0
    overdue: int = 0
    latency_ms: float = 0.0
    others: int = 0
    limit: int = DEFAULT_LIMIT
    failure_risk: float = 0.0
    reported_at: float = float("-inf")
    avoid_until: float = float("-inf")
    unreachable_until: float = float("-inf")
    unreachable_s: float = 0.0
    next_start_at: float = float("-inf")


class CachedOffer(NamedTuple):
    """A reply, and the clock seconds until which it is reused."""

    offer: Offer
    until: float


class LoadTable:
    """Own attempts in flight, the sidecars' load reports and smoothed latencies; thread-safe."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._cached: dict[str, CachedOffer] = {}
        self._average_others = 0.0
        self._lock = threading.Lock()

    def load(self, target: str, now: float) -> Load:
        """Return the estimated load of a target.

        Args:
            target: Name of the target.
            now: Clock seconds.
        """
        entry = self._entries.get(target)
        if entry is None:
            return Load(self._average_others, 0.0)
        if now < entry.avoid_until:
            return AVOIDED
        fresh = max(0.0, 1.0 - (now - entry.reported_at) / REPORT_TTL_S)
        others = entry.others * fresh + self._average_others * entry.limit * (1.0 - fresh)
        utilization = (entry.own + others) / entry.limit
        if entry.overdue:
            utilization = FULL + max(utilization, float(entry.overdue))
        elif now < entry.next_start_at:
            utilization = max(FULL, utilization)
        return Load(utilization, entry.latency_ms, entry.failure_risk * fresh)

    def begin(self, target: str) -> None:
        """Count an attempt that was started at a target."""
        with self._lock:
            self._entries.setdefault(target, _Entry()).own += 1

    def mark_overdue(self, target: str) -> None:
        """Count an attempt that is overdue; the target counts as full until it ends."""
        with self._lock:
            self._entries[target].overdue += 1

    def end(self, target: str, latency_ms: float | None, *, overdue: bool = False) -> None:
        """Count an attempt that ended.

        Args:
            target: Where it was sent.
            latency_ms: Service time of the attempt, if it was answered.
            overdue: Whether `mark_overdue` was called for it.
        """
        with self._lock:
            entry = self._entries[target]
            entry.own -= 1
            entry.overdue -= overdue
            if latency_ms is None:
                return
            if entry.latency_ms == 0.0:
                entry.latency_ms = latency_ms
            entry.latency_ms += SMOOTHING * (latency_ms - entry.latency_ms)

    def report(self, now: float, target: str, report: LoadReport, *, limited: bool = False) -> None:
        """Store a sidecar's load report, less the attempts of this ingress that it includes.

        Args:
            now: Clock seconds.
            target: Name of the target.
            report: The report.
            limited: Whether the target names a limit; it counts as full until its next start.
        """
        with self._lock:
            entry = self._entries.setdefault(target, _Entry())
            entry.others = max(0, report.in_flight + report.queued - entry.own)
            entry.limit = max(1, report.limit)
            used = entry.others / entry.limit
            self._average_others += AVERAGE_SMOOTHING * (used - self._average_others)
            entry.failure_risk = report.bad
            entry.reported_at = now
            entry.next_start_at = now + report.wait_ms / 1000.0 if limited else now

    def avoid(self, now: float, target: str, *, for_s: float = AVOID_S) -> None:
        """Avoid a target that accepts no work, by default while configuration changes spread."""
        with self._lock:
            self._entries.setdefault(target, _Entry()).avoid_until = now + for_s

    def record_unreachable(self, now: float, target: str) -> None:
        """Record that a target could not be reached, with exponential back-off."""
        with self._lock:
            entry = self._entries.setdefault(target, _Entry())
            entry.unreachable_s = (
                min(UNREACHABLE_MAX_S, entry.unreachable_s * UNREACHABLE_GROWTH)
                if entry.unreachable_s
                else UNREACHABLE_S
            )
            entry.unreachable_until = entry.avoid_until = now + entry.unreachable_s

    def record_reachable(self, target: str) -> None:
        """Record that a target's sidecar replied, which resets the back-off."""
        entry = self._entries.get(target)
        if entry is not None and entry.unreachable_s:
            with self._lock:
                entry.unreachable_s = 0.0

    def unreachable(self, now: float) -> set[str]:
        """Return the targets that are not probed because they could not be reached."""
        return {
            name for name, entry in self._entries.copy().items() if now < entry.unreachable_until
        }

    def cache_offer(self, now: float, target: str, offer: Offer, *, last: bool) -> None:
        """Store the reply of a target that is full or likely to fail, for use by other requests.

        Args:
            now: Clock seconds.
            target: Name of the target.
            offer: The reply.
            last: Whether a failure would have lost the request, so that it accepted only a very low
                risk. The reply of a target with a free slot is not stored then: a request that
                would be repeated accepts it.
        """
        if offer.wait_ms <= 0.0 and last:
            return
        wait_s = offer.wait_ms / 1000.0
        ttl_s = OFFER_TTL_S
        if offer.far:
            ttl_s = min(FAR_OFFER_TTL_MAX_S, max(FAR_OFFER_TTL_MIN_S, wait_s))
        elif offer.limited:
            ttl_s = min(FAR_OFFER_TTL_MAX_S, max(OFFER_TTL_S, wait_s))
        self._cached[target] = CachedOffer(offer, now + ttl_s)

    def discard_offer(self, target: str) -> None:
        """Drop the stored reply of a target that replied otherwise since."""
        self._cached.pop(target, None)

    def cached_offers(self, now: float) -> list[tuple[str, Offer]]:
        """Return the replies that are still reused, by target."""
        cached = self._cached.copy().items()
        return [(name, one.offer) for name, one in cached if one.until > now]

    def avoided(self, now: float) -> set[str]:
        """Return the targets that are avoided now, unreachable ones included."""
        return {name for name, entry in self._entries.copy().items() if now < entry.avoid_until}

    def keep_only(self, targets: set[str]) -> None:
        """Forget targets that are no longer configured; those with attempts in flight stay."""
        with self._lock:
            for name in [n for n, e in self._entries.items() if n not in targets and not e.own]:
                del self._entries[name]
            for name in [name for name in self._cached if name not in targets]:
                del self._cached[name]

"""What an ingress knows of the free capacity ("room") of targets, by their sidecars' reports."""

import threading
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

REPORT_TTL_S = 1.0
"""Seconds after which a report is void: twice the heartbeat of a target that has work, so that one
lost datagram does not make its capacity unknown."""
IDLE_REPORT_TTL_S = 3.0
"""The same for a target that had no work; its heartbeat is every 2 s."""
TRANSIT_S = 0.005
"""Seconds that an attempt takes to a sidecar at most, as a rule. A report that was made within this
time after the attempt was sent may not include it."""
SENT_TTL_S = 1.0
"""Seconds for which an attempt of this ingress is subtracted from the reported slots; after that
the report itself is void or newer."""
CUT_OFF_TARGETS = 2
CUT_OFF_S = 1.0
"""Targets of a data hall that were found unreachable within this many seconds, from which on its
data hall counts as cut off. One alone may be a single VM that is gone."""
RISK_BANDS = (0.04, 0.4, 0.6)
"""Risks at which requests decide otherwise: what is lost if it fails, what would be repeated, and
the threshold of the circuit breaker."""

TRIPPED_RISK = 0.9
"""Least risk that is reported while the circuit breaker is tripped, so that the target takes trials
only. It is more than shedding alone can cost (0.8): what sheds takes requests as ever."""


class RoomReport(NamedTuple):
    """A sidecar's report on one target.

    Args:
        target: Name of the target.
        free: Slots that a new request would get now, 0 if the circuit breaker refuses it.
        queued: Requests that wait for a slot of the target or of its service.
        service_ms: Mean service time in milliseconds, 0 if unknown.
        risk: Expected cost of sending a request there, as a share of a lost request.
        age_ms: Milliseconds since the report was made.
    """

    target: str
    free: int
    queued: int
    service_ms: float
    risk: float
    age_ms: float = 0.0

    def to_row(self) -> list[Any]:
        """Return the wire form."""
        return [*self[:3], round(self.service_ms), round(self.risk, 3), round(self.age_ms)]


def risk_band(risk: float) -> int:
    """Return the number of thresholds in `RISK_BANDS` that a risk has reached."""
    return sum(risk >= limit for limit in RISK_BANDS)


@dataclass(slots=True)
class _Entry:
    report: RoomReport | None = None
    made_at: float = float("-inf")
    ttl_s: float = REPORT_TTL_S
    sent: list[float] = field(default_factory=list)


class RoomTable:
    """The latest report of each target, less what this ingress has sent since; thread-safe."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._unreachable: dict[str, dict[str, float]] = {}
        self._lock = threading.Lock()

    def receive(self, now: float, report: RoomReport, *, idle: bool = False) -> bool:
        """Store a report unless a newer one is known.

        Args:
            now: Clock seconds.
            report: The report.
            idle: Whether it says that the target has no work, so that it stays valid for longer.

        Returns:
            Whether it was stored.
        """
        made_at = now - report.age_ms / 1000.0
        with self._lock:
            entry = self._entries.setdefault(report.target, _Entry())
            if made_at < entry.made_at:
                return False
            entry.report, entry.made_at = report, made_at
            entry.ttl_s = IDLE_REPORT_TTL_S if idle else REPORT_TTL_S
            entry.sent = [at for at in entry.sent if at > made_at - TRANSIT_S]
        return True

    def get(self, now: float, target: str) -> RoomReport | None:
        """Return what is known of a target now, `None` if its latest report is void."""
        with self._lock:
            entry = self._entries.get(target)
            if entry is None or entry.report is None or now - entry.made_at > entry.ttl_s:
                return None
            sent = sum(at > now - SENT_TTL_S for at in entry.sent)
            free = max(0, entry.report.free - sent)
            return entry.report._replace(free=free, age_ms=(now - entry.made_at) * 1000.0)

    def known(self, now: float, targets: Iterable[str]) -> list[RoomReport]:
        """Return what is known of some targets, without those whose reports are void."""
        found = (self.get(now, target) for target in targets)
        return [report for report in found if report is not None]

    def begin(self, now: float, target: str) -> None:
        """Count an attempt that this ingress sends now."""
        with self._lock:
            entry = self._entries.setdefault(target, _Entry())
            entry.sent = [at for at in entry.sent if at > now - SENT_TTL_S]
            entry.sent.append(now)

    def end(self, target: str, began: float) -> None:
        """Stop counting an attempt: it has ended, and its slot is free again."""
        with self._lock:
            entry = self._entries.get(target)
            if entry is not None and began in entry.sent:
                entry.sent.remove(began)

    def take_free(self, now: float, target: str) -> None:
        """Record that a target has no free slot, as a refusal without a report says."""
        with self._lock:
            entry = self._entries.get(target)
            if entry is not None and entry.report is not None:
                entry.report = entry.report._replace(free=0)

    def record_unreachable(
        self, now: float, target: str, hall: str, targets: Collection[str]
    ) -> bool:
        """Record that a target could not be reached, and whether that cuts off its data hall.

        Args:
            now: Clock seconds.
            target: Name of the target.
            hall: Its data hall.
            targets: All targets of the data hall.

        Returns:
            Whether the reports of the data hall are void now.
        """
        with self._lock:
            recent = self._unreachable.setdefault(hall, {})
            recent[target] = now
            for name in [name for name, at in recent.items() if at <= now - CUT_OFF_S]:
                del recent[name]
            self._void(target)
            if len(recent) < CUT_OFF_TARGETS:
                return False
            for name in targets:
                self._void(name)
        return True

    def keep_only(self, targets: Collection[str]) -> None:
        """Forget targets that are no longer configured."""
        with self._lock:
            for name in [name for name in self._entries if name not in targets]:
                del self._entries[name]

    def _void(self, target: str) -> None:
        entry = self._entries.get(target)
        if entry is not None:
            entry.report = None

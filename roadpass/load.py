"""What an ingress believes of the load of targets."""

import threading
from dataclasses import dataclass
from typing import NamedTuple

from roadpass.balance import Load
from roadpass.message import LoadReport

REPORT_S = 1.0
"""A report older than this is not believed; between, its weight falls off linearly."""
SMOOTHING = 0.1
USUAL_SMOOTHING = 0.02
"""Weight of one report in the load that a target is believed to have of others while its own report
is old: were it taken for idle, in a crowded moment the full ones would be asked again and again."""
AVOID_S = 2.0
AVOIDED = Load(1e6, 1e6)
CUT_S = 1.0
CUT_GROWTH = 2.0
CUT_MAX_S = 4.0
"""Seconds for which a target to which the way is cut is not asked, the first time and at most:
asking costs a request 0.1 s, cuts last for seconds."""
OFFER_TTL_S = 0.06
FAR_OFFER_TTL_MIN_S = 0.15
FAR_OFFER_TTL_MAX_S = 0.4
"""Seconds for which a target is taken at its word that it is full or doubtful: asked again by every
request, the near ones cost time, the far ones bytes. A far one's word holds as long as the wait
that it told, within the latter two."""
DEFAULT_LIMIT = 10
FULL = 1.0


@dataclass(slots=True)
class _Entry:
    own: int = 0
    overdue: int = 0
    latency_ms: float = 0.0
    others: int = 0
    limit: int = DEFAULT_LIMIT
    bad: float = 0.0
    reported_at: float = float("-inf")
    avoid_until: float = float("-inf")
    cut_until: float = float("-inf")
    cut_s: float = 0.0


class Said(NamedTuple):
    """A target's word that it has no free slot or is doubtful.

    Args:
        bad: How probable it is that it is in a bad spell.
        wait_ms: Milliseconds until it has a free slot.
        until: Clock seconds up to which the word is taken.
    """

    bad: float
    wait_ms: float
    until: float


class LoadTable:
    """Own attempts in flight, the sidecars' reports and smoothed latencies; for any thread."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._words: dict[str, Said] = {}
        self._usual_others = 0.0
        self._lock = threading.Lock()

    def load(self, target: str, now: float) -> Load:
        """Return the belief of a target's load.

        Args:
            target: Its name.
            now: Seconds.
        """
        entry = self._entries.get(target)
        if entry is None:
            return Load(self._usual_others, 0.0)
        if now < entry.avoid_until:
            return AVOIDED
        fresh = max(0.0, 1.0 - (now - entry.reported_at) / REPORT_S)
        others = entry.others * fresh + self._usual_others * entry.limit * (1.0 - fresh)
        utilization = (entry.own + others) / entry.limit
        if entry.overdue:
            utilization = FULL + max(utilization, float(entry.overdue))
        return Load(utilization, entry.latency_ms, entry.bad * fresh)

    def begin(self, target: str) -> None:
        """Count an attempt that starts."""
        with self._lock:
            self._entries.setdefault(target, _Entry()).own += 1

    def mark_overdue(self, target: str) -> None:
        """Count an attempt that is pending far too long: until it ends the target is full."""
        with self._lock:
            self._entries[target].overdue += 1

    def end(self, target: str, latency_ms: float | None, *, overdue: bool = False) -> None:
        """Count an attempt that ended.

        Args:
            target: Where it was sent.
            latency_ms: Its service time, if it had an answer.
            overdue: Whether it was marked so.
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

    def report(self, now: float, target: str, report: LoadReport) -> None:
        """Take in a sidecar's report; what it counts of this ingress's own is taken off."""
        with self._lock:
            entry = self._entries.setdefault(target, _Entry())
            entry.others = max(0, report.in_flight + report.queued - entry.own)
            entry.limit = max(1, report.limit)
            used = entry.others / entry.limit
            self._usual_others += USUAL_SMOOTHING * (used - self._usual_others)
            entry.bad = report.bad
            entry.reported_at = now

    def avoid(self, now: float, target: str, *, for_s: float = AVOID_S) -> None:
        """Keep away from a target that takes no work, until the views have caught up."""
        with self._lock:
            self._entries.setdefault(target, _Entry()).avoid_until = now + for_s

    def note_cut(self, now: float, target: str) -> None:
        """Note that a target could not be reached: it is asked again later and later."""
        with self._lock:
            entry = self._entries.setdefault(target, _Entry())
            entry.cut_s = min(CUT_MAX_S, entry.cut_s * CUT_GROWTH) if entry.cut_s else CUT_S
            entry.cut_until = entry.avoid_until = now + entry.cut_s

    def note_reached(self, target: str) -> None:
        """Note that a target's sidecar gave its word."""
        entry = self._entries.get(target)
        if entry is not None and entry.cut_s:
            with self._lock:
                entry.cut_s = 0.0

    def cut_off(self, now: float) -> set[str]:
        """Return the targets to which the way is believed to be cut."""
        return {name for name, entry in self._entries.copy().items() if now < entry.cut_until}

    def note_word(
        self, now: float, target: str, bad: float, wait_ms: float, *, far: bool, last: bool
    ) -> None:
        """Note what a target said of itself.

        Args:
            now: Clock seconds.
            target: Its name.
            bad: How probable it is that it is in a bad spell.
            wait_ms: Milliseconds until it has a free slot.
            far: Whether it is in another data hall.
            last: Whether the request that asked wanted a target that is as good as sure: one that
                would be repeated takes others.
        """
        if wait_ms <= 0.0 and last:
            return
        quarantined_s = (
            min(FAR_OFFER_TTL_MAX_S, max(FAR_OFFER_TTL_MIN_S, wait_ms / 1000.0))
            if far
            else OFFER_TTL_S
        )
        until = now + quarantined_s
        self._words[target] = Said(bad, wait_ms, until)

    def forget_word(self, target: str) -> None:
        """Note that a target's word does not hold any more."""
        self._words.pop(target, None)

    def words(self, now: float) -> list[tuple[str, Said]]:
        """Return the words that are still taken."""
        return [(name, said) for name, said in self._words.copy().items() if said.until > now]

    def avoided(self, now: float) -> set[str]:
        """Return the targets that refused for a time that is not over."""
        return {name for name, entry in self._entries.copy().items() if now < entry.avoid_until}

    def keep_only(self, targets: set[str]) -> None:
        """Forget targets that are no longer configured."""
        with self._lock:
            for name in [n for n, e in self._entries.items() if n not in targets and not e.own]:
                del self._entries[name]
            for name in [name for name in self._words if name not in targets]:
                del self._words[name]

"""What targets have stated about themselves: their rate limits, and which of them are leaving.

The name of a target stands for one incarnation of it; the next one has stated nothing. A sidecar
hears its own target's responses. All other nodes are told by sidecars and by each other, and tell a
sidecar that was restarted what its target stated before.
"""

import math
import threading
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

from roadpass.decision import decided
from roadpass.target_notice import TargetNotice

MAX_ENTRIES = 4096
"""Targets with statements that a node remembers, about 1 MB; those that have stated something least
recently are dropped first."""
WITHDRAWN_TTL_S = 60.0
"""Seconds for which statements are kept once the target is no longer configured: an entry that
lapsed while the source was unavailable comes back under the same name."""
ROWS = 4
"""Targets in one datagram, about 35 bytes each."""
IN_FORCE_ROWS = 2
"""How many of these may have been sent often enough before, so that a node that has just started
learns of them."""
TRANSMISSIONS = 8
"""How often a node sends a change: about the logarithm of a fleet of thousands of nodes, with an
allowance for lost datagrams."""
NO_LIMIT = -1.0
"""Rate in a row of a target whose limit has ended."""
CLOCK_ERROR_S = 0.01
"""Seconds by which a limit must be younger than the known one to replace it: the age that comes
with it is rounded, and shorter by the transit time."""
LARGE_CHANGE = 1.25
"""Factor by which a limit must change to be sent to other nodes again."""

Row: TypeAlias = list[Any]
"""A statement as it is sent: requests a second, `NO_LIMIT`, or `None` if no limit was ever named;
whether the target is leaving; age of the first in seconds."""


@dataclass(slots=True)
class _Entry:
    """What is known of a target.

    `limit_at` is when the limit was named last, or ended; `heard` is whether it was heard from the
    target itself. `stated_at` is when something changed last; `gone_at` is when the target was
    withdrawn from the configuration.
    """

    rate_per_s: float | None = None
    leaving: bool = False
    limit_at: float = -math.inf
    heard: bool = False
    invalid: tuple[tuple[str, str], ...] = ()
    stated_at: float = -math.inf
    gone_at: float = math.inf
    sent: int = TRANSMISSIONS
    sent_rate: float | None = None

    @property
    def in_force(self) -> bool:
        """Whether the target has a limit or is leaving."""
        return self.leaving or self.rate_per_s is not None

    @property
    def empty(self) -> bool:
        """Whether the target has stated nothing yet."""
        return not self.leaving and self.limit_at == -math.inf

    def state(self) -> "_State":
        """Return the part whose changes are logged."""
        return _State(self.rate_per_s, self.leaving, self.invalid)

    def row(self, now: float) -> Row:
        """Return the statement as it is sent."""
        if self.limit_at == -math.inf:
            return [None, self.leaving, 0.0]
        rate = NO_LIMIT if self.rate_per_s is None else self.rate_per_s
        return [rate, self.leaving, round(max(0.0, now - self.limit_at), 3)]


class _State(NamedTuple):
    rate_per_s: float | None
    leaving: bool
    invalid: tuple[tuple[str, str], ...]


class NoticeTable:
    """The statements of targets that one node knows; thread-safe.

    Attributes:
        on_target: Called with the name of a target whose limit or leaving state changed.
        on_change: Called when there is a change to send to other nodes; it must not block.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._configured: Collection[str] = ()
        self._lock = threading.Lock()
        self.on_target: Callable[[str], None] = lambda target: None
        self.on_change: Callable[[], None] = lambda: None

    @property
    def size(self) -> int:
        """Number of targets with an entry."""
        return len(self._entries)

    def rate_per_s(self, target: str) -> float | None:
        """Return the limit that a target names, in requests a second, `None` for none."""
        entry = self._entries.get(target)
        return entry.rate_per_s if entry is not None else None

    def is_leaving(self, target: str) -> bool:
        """Return whether a target has stated that it is shutting down."""
        entry = self._entries.get(target)
        return entry is not None and entry.leaving

    def limits(self) -> dict[str, float]:
        """Return the limits in force, in requests a second by target."""
        known = self._entries.copy().items()
        return {name: one.rate_per_s for name, one in known if one.rate_per_s is not None}

    def row(self, now: float, target: str) -> Row | None:
        """Return the statement of a target as it is sent, `None` if there is none."""
        entry = self._entries.get(target)
        return entry.row(now) if entry is not None and not entry.empty else None

    def hear(
        self, now: float, target: str, notice: TargetNotice, started: float, *, request: str = ""
    ) -> None:
        """Record the statements of a response that this node's sidecar received.

        Responses overtake each other: one without a limit ends the limit only if its request
        started after the limit was named last. A limit that this process was only told of was named
        before it started any request.

        Args:
            now: Clock seconds.
            target: The target that responded.
            notice: Its statements.
            started: Clock seconds at which the request was sent, -inf if unknown.
            request: Id of the request, for the log.
        """
        with self._lock:
            entry = self._entry(now, target)
            before = entry.state()
            overtaken = started == -math.inf or (entry.heard and started < entry.limit_at)
            entry.heard = entry.heard or not overtaken
            entry.leaving |= notice.leaving
            entry.invalid = notice.invalid
            if notice.rate_per_s is not None:
                entry.rate_per_s, entry.limit_at, entry.heard = notice.rate_per_s, now, True
            elif entry.rate_per_s is not None and not (notice.limit_ignored or overtaken):
                entry.rate_per_s, entry.limit_at = None, now
            changed = self._note_change(now, entry, before)
        self._publish(target, before, entry.state(), request, "response", changed=changed)

    def merge(self, now: float, target: str, row: Sequence[Any], source: str) -> None:
        """Merge the statement of a target that another node sent.

        Args:
            now: Clock seconds.
            target: The target that it is about.
            row: As sent, with its types checked.
            source: Where it came from, for the log.
        """
        rate, leaving, age_s = row
        with self._lock:
            entry = self._entry(now, target)
            before = entry.state()
            entry.leaving |= leaving
            at = now - max(0.0, age_s)
            newer = math.isfinite(age_s) and at > entry.limit_at + CLOCK_ERROR_S
            if rate is not None and math.isfinite(rate) and newer and not entry.heard:
                entry.rate_per_s, entry.limit_at = None if rate < 0.0 else rate, at
            changed = self._note_change(now, entry, before)
        self._publish(target, before, entry.state(), "", source, changed=changed)

    def rows(self, now: float) -> list[Row]:
        """Return the rows for the next datagram: least-sent changes, then those in force.

        Each is preceded by the name of its target. Targets that are not configured here are left
        out, so that nodes do not keep each other's statements alive.
        """
        with self._lock:
            known = [(name, one) for name, one in self._entries.items() if not one.empty]
            known = [(name, one) for name, one in known if name in self._configured]
            known.sort(key=lambda item: item[1].sent)
            changed = [item for item in known if item[1].sent < TRANSMISSIONS][:ROWS]
            old = [item for item in known if item[1].sent >= TRANSMISSIONS and item[1].in_force]
            rows = []
            for name, entry in [*changed, *old[:IN_FORCE_ROWS]][:ROWS]:
                entry.sent += 1
                rows.append([name, *entry.row(now)])
            return rows

    def configure(self, now: float, targets: Collection[str]) -> None:
        """Apply the names of all configured targets."""
        with self._lock:
            self._configured = targets
            for name, entry in self._entries.items():
                entry.gone_at = math.inf if name in targets else min(entry.gone_at, now)

    def expire(self, now: float) -> None:
        """Drop the statements of targets that were withdrawn some time ago."""
        with self._lock:
            expired = [n for n, e in self._entries.items() if now - e.gone_at >= WITHDRAWN_TTL_S]
            dropped = {name: self._entries.pop(name) for name in expired}
        for name, entry in dropped.items():
            if entry.rate_per_s is not None:
                decided("notice", "limit-expired", target=name, before=entry.rate_per_s)

    def _entry(self, now: float, target: str) -> _Entry:
        """Return the entry of a target, a new one if there is none."""
        entry = self._entries.get(target)
        if entry is None:
            gone_at = math.inf if target in self._configured else now
            entry = self._entries[target] = _Entry(gone_at=gone_at)
            self._make_room(target)
        return entry

    def _note_change(self, now: float, entry: _Entry, before: _State) -> bool:
        """Have a large change sent to other nodes; return whether there is one."""
        if entry.state()[:2] == before[:2]:
            return False
        entry.stated_at = now
        if entry.leaving == before.leaving and not _differs(entry.sent_rate, entry.rate_per_s):
            return False
        entry.sent, entry.sent_rate = 0, entry.rate_per_s
        return True

    def _publish(
        self,
        target: str,
        before: _State,
        after: _State,
        request: str,
        source: str,
        *,
        changed: bool,
    ) -> None:
        """Log a change, apply it to the target, and have it sent to other nodes."""
        if after == before:
            return
        _log_change(target, before, after, request, source)
        if after[:2] != before[:2]:
            self.on_target(target)
        if changed:
            self.on_change()

    def _make_room(self, new: str) -> None:
        """Drop the target that stated something least recently if there are too many."""
        if len(self._entries) > MAX_ENTRIES:
            others = [name for name in self._entries if name != new]
            del self._entries[min(others, key=lambda name: self._entries[name].stated_at)]


def _differs(sent: float | None, rate: float | None) -> bool:
    """Return whether a limit differs so much from the one sent last that it is sent again."""
    if sent is None or rate is None:
        return sent is not rate
    return max(sent, rate) > LARGE_CHANGE * min(sent, rate)


def _log_change(target: str, before: _State, after: _State, request: str, source: str) -> None:
    """Log what changed in the statements of a target, one line for each."""
    rate = after.rate_per_s
    if rate != before.rate_per_s:
        what = "limit-ended" if rate is None else "limit-named"
        decided(
            "notice",
            what,
            request=request,
            target=target,
            rate_per_s=rate,
            before=before.rate_per_s,
            source=source,
        )
    if after.leaving and not before.leaving:
        decided("notice", "leaving-named", request=request, target=target, source=source)
    if after.invalid and after.invalid != before.invalid:
        headers = dict(after.invalid)
        decided("notice", "ignored", request=request, target=target, headers=headers)

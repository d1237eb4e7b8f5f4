"""Quarantine of requests that may crash targets, with the crash records that nodes exchange.

When the process of a target ends, its sidecar sees all requests that the target was processing. Any
of them may be the cause, and each may be sent again under a new id, at any VM. So a crash is
recorded under the fingerprints of these requests, and the records are spread over the fleet. A
request that was present at three crashes, and was not answered in between, is kept from further
targets for a while. An answer proves the opposite, since a crashing target gives none: it clears
the earlier crashes, on every node that learns of it.

A record is the set of crashes of a fingerprint and the time of its latest answer. Both only grow
and can be merged in any order, so all connected nodes end up with the same records whichever nodes
or connections fail meanwhile.
"""

import heapq
import math
import threading
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeAlias

from roadpass.decision import decided

MIN_CRASHES = 3
"""Crashes that put a request into quarantine. One or two often happen to requests that are not the
cause: with two, a repeatable request whose first and second target crash for other reasons would be
refused for minutes."""
QUARANTINE_S = 600.0
"""Seconds after the latest crash for which a request is refused. The next one after that is a
trial: one more crash renews the quarantine, an answer clears the request. So a request that keeps
coming crashes about one target in this time, and an innocent one is not refused for ever."""
RECORD_TTL_S = 2.0 * QUARANTINE_S
"""Seconds after its latest crash for which a fingerprint is remembered."""
ANSWER_VALID_S = 10.0
"""Seconds after an answer in which crashes do not count against the request. A popular request is
in flight wherever targets crash, and is answered elsewhere every few seconds."""
CLEARED_TTL_S = 30.0
"""Seconds for which a cleared record is kept, so that all nodes learn of the answer."""
MAX_RECORDS = 512
"""Fingerprints with crashes that a node remembers, 0.3 MB; those with the fewest crashes are
evicted first."""
EVICTION_BATCH = 64
"""Records that are selected for eviction at a time. A scan of all records costs 2.8 ms, and the
loss of a data hall brings hundreds of crashes, each with all requests that its target had."""
MAX_ANSWERS = 1024
"""Fingerprints whose latest answer a sidecar remembers, 0.14 MB. The one answered least recently is
dropped first, so popular ones stay."""
ROWS = 4
"""Records in one datagram, under 90 bytes each: they fit in addition to members and hints."""
QUARANTINED_ROWS = 2
"""How many of these may be quarantined records that were sent often enough before. From them a node
that has just started learns which requests are in quarantine."""
RENEWAL_MIN_S = 1.0
"""Seconds by which a later crash must extend a quarantine to be sent to other nodes, which need not
agree to the second."""
TRANSMISSIONS = 8
"""How often a node sends a change: about the logarithm of a fleet of thousands of nodes, with an
allowance for lost datagrams."""

Row: TypeAlias = list[Any]
"""A record as it is sent: fingerprint, age of the answer or -1, and pairs of crash and age."""


class _Summary(NamedTuple):
    """Number of crashes that count, and the time of the latest crash."""

    crashes: int
    last_at: float

    def differs(self, before: "_Summary") -> bool:
        """Return whether other nodes should be sent the change."""
        return self.crashes != before.crashes or self.last_at > before.last_at + RENEWAL_MIN_S


class _Event(NamedTuple):
    """A change of what is known of a request."""

    what: str
    crashes: int
    last_age_s: float


@dataclass(slots=True)
class _Record:
    """Crashes by name with their times, and the latest answer, on the clock of this node."""

    crashes: dict[str, float] = field(default_factory=dict)
    answered_at: float = -math.inf
    sent: int = 0

    @property
    def count(self) -> int:
        """Crashes that no answer clears."""
        return sum(at > self.answered_at + ANSWER_VALID_S for at in self.crashes.values())

    @property
    def last_at(self) -> float:
        """Time of the latest crash."""
        return max(self.crashes.values(), default=-math.inf)

    def quarantined_s(self, now: float) -> float:
        """Return for how many more seconds the request is refused, 0 if it is not."""
        return max(0.0, self.last_at + QUARANTINE_S - now) if self.count >= MIN_CRASHES else 0.0

    def expired(self, now: float) -> bool:
        """Return whether the record is no longer needed."""
        if self.count:
            return now - self.last_at >= RECORD_TTL_S
        return now - max(self.last_at, self.answered_at) >= CLEARED_TTL_S

    def add(self, crash: str, at: float) -> None:
        """Add a crash; the latest few are enough and the older ones are dropped."""
        self.crashes.setdefault(crash, at)
        if len(self.crashes) > MIN_CRASHES:
            del self.crashes[min(self.crashes, key=self.crashes.__getitem__)]

    def summary(self) -> "_Summary":
        """Return the part whose changes are sent to other nodes."""
        return _Summary(self.count, self.last_at)


class Quarantine:
    """Crash records of requests at one node; thread-safe.

    Attributes:
        on_change: Called when there is a change to send to other nodes; it must not block.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._evictable: list[tuple[str, _Summary]] = []
        self._answers: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()
        self.on_change: Callable[[], None] = lambda: None

    @property
    def size(self) -> int:
        """Number of records, cleared ones included."""
        return len(self._records)

    def quarantined_s(self, now: float, fingerprint: str) -> float:
        """Return for how many more seconds a request is refused, 0 if it is not.

        Args:
            now: Clock seconds.
            fingerprint: Fingerprint of the request, empty if unknown.
        """
        if fingerprint not in self._records:
            return 0.0
        with self._lock:
            record = self._records.get(fingerprint)
            return record.quarantined_s(now) if record is not None else 0.0

    def is_suspect(self, now: float, fingerprint: str) -> bool:
        """Return whether a request was present at a crash, and was not answered since."""
        if fingerprint not in self._records:
            return False
        with self._lock:
            record = self._records.get(fingerprint)
            return record is not None and record.count > 0 and not record.expired(now)

    def record_crash(self, now: float, fingerprint: str, crash: str) -> None:
        """Record that a target crashed while it processed a request.

        Args:
            now: Clock seconds.
            fingerprint: Fingerprint of the request; an empty one is not recorded.
            crash: Name of the crash, the same for all requests that the target had.
        """
        if not fingerprint:
            return
        with self._lock:
            record = self._records.setdefault(fingerprint, _Record())
            before = record.summary()
            record.add(crash, now)
            self._apply_recent_answer(fingerprint, record)
            event = _change(now, record, record.summary().differs(before))
            self._make_room(now)
        self._publish(event, fingerprint, "own")

    def record_answer(self, now: float, fingerprint: str) -> None:
        """Record that a target answered a request, so that the request does not crash targets."""
        if not fingerprint:
            return
        with self._lock:
            self._answers[fingerprint] = now
            self._answers.move_to_end(fingerprint)
            if len(self._answers) > MAX_ANSWERS:
                self._answers.popitem(last=False)
            record = self._records.get(fingerprint)
            if record is None or record.count == 0:
                return
            record.answered_at = now
            event = _change(now, record, True)
        self._publish(event, fingerprint, "own")

    def row(self, now: float, fingerprint: str) -> Row | None:
        """Return the record of a request as it is sent, `None` if there is none."""
        with self._lock:
            record = self._records.get(fingerprint)
            return _row(now, fingerprint, record) if record is not None else None

    def rows(self, now: float) -> list[Row]:
        """Return the records for the next datagram: least-sent changes, then quarantined ones.

        Expired records are dropped.
        """
        with self._lock:
            for fingerprint in [name for name, one in self._records.items() if one.expired(now)]:
                del self._records[fingerprint]
            by_sent = sorted(self._records.items(), key=lambda item: item[1].sent)
            changed = [item for item in by_sent if item[1].sent < TRANSMISSIONS][:ROWS]
            quarantined = [
                one for one in by_sent if one[1].sent >= TRANSMISSIONS and one[1].quarantined_s(now)
            ]
            rows = []
            for fingerprint, record in [*changed, *quarantined[:QUARANTINED_ROWS]][:ROWS]:
                record.sent += 1
                rows.append(_row(now, fingerprint, record))
            return rows

    def merge(self, now: float, row: Sequence[Any]) -> None:
        """Merge the record of another node into the local one.

        Args:
            now: Clock seconds.
            row: As sent, with its types checked.
        """
        fingerprint, answer_age_s, crashes = row
        with self._lock:
            record = self._records.setdefault(fingerprint, _Record())
            before = record.summary()
            for crash, age_s in crashes[:MIN_CRASHES]:
                record.add(crash, now - max(0.0, age_s))
            if answer_age_s >= 0.0:
                record.answered_at = max(record.answered_at, now - answer_age_s)
            self._apply_recent_answer(fingerprint, record)
            contradicts = record.count < _count(answer_age_s, crashes)
            event = _change(now, record, contradicts or record.summary().differs(before))
            self._make_room(now)
        self._publish(event, fingerprint, "heard")

    def _apply_recent_answer(self, fingerprint: str, record: _Record) -> None:
        """Let an answer that this node saw a moment ago clear a record."""
        answered_at = self._answers.get(fingerprint, -math.inf)
        record.answered_at = max(record.answered_at, answered_at)

    def _publish(self, event: _Event | None, fingerprint: str, source: str) -> None:
        """Log a change, and have it sent to other nodes."""
        if event is None:
            return
        decided(
            "quarantine",
            event.what,
            fingerprint=fingerprint,
            source=source,
            ends=event.crashes,
            last_end_age_s=round(event.last_age_s, 3),
        )
        self.on_change()

    def _make_room(self, now: float) -> None:
        """Evict the records with the fewest crashes, the oldest first, while there are too many."""
        while len(self._records) > MAX_RECORDS:
            if not self._evictable:
                self._evictable = self._select_evictable(now)
            name, summary = self._evictable.pop()
            record = self._records.get(name)
            if record is not None and record.summary() == summary:
                del self._records[name]

    def _select_evictable(self, now: float) -> list[tuple[str, _Summary]]:
        """Return the records to evict first, in reverse order."""
        ranked = (
            (not one.expired(now), one.count, one.last_at, name)
            for name, one in self._records.items()
        )
        least = [name for *_, name in heapq.nsmallest(EVICTION_BATCH, ranked)]
        return [(name, self._records[name].summary()) for name in reversed(least)]


def _change(now: float, record: _Record, changed: bool) -> _Event | None:
    """Return the change of a record, `None` if there is none to send."""
    if not changed:
        return None
    record.sent = 0
    what = "held" if record.quarantined_s(now) else "doubted" if record.count else "cleared"
    return _Event(what, record.count, now - record.last_at)


def _count(answer_age_s: float, crashes: Sequence[tuple[str, float]]) -> int:
    """Return how many crashes count according to another node's record."""
    if answer_age_s < 0.0:
        return len(crashes)
    return sum(answer_age_s > age_s + ANSWER_VALID_S for _, age_s in crashes)


def _row(now: float, fingerprint: str, record: _Record) -> Row:
    answered = record.answered_at > -math.inf
    answer_age_s = round(now - record.answered_at, 2) if answered else -1.0
    return [
        fingerprint,
        answer_age_s,
        [[crash, round(now - at, 2)] for crash, at in record.crashes.items()],
    ]

"""Requests under which targets ended: which of them are kept from reaching more.

A sidecar sees its target's process end with all the requests that it had. Any of them may be the
cause, and each comes again under a new id, at any VM. So the ends are noted by the requests'
fingerprints, spread over the fleet, and counted: what was there when three targets ended, and was
never answered meanwhile, reaches no more of them for a while. An answer proves the opposite, since
a target that ends gives none: it voids the ends before it, on every node that hears of it.

What is known is a set of ends and the latest answer of each fingerprint. Both only grow and merge
in any order, so nodes and ways may fail at any moment and all that are connected agree in the end.
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
"""Targets that must have ended. One or two are often bystanders' lot: with two, a repeatable
request whose first and second target end by themselves would be refused for minutes."""
HOLD_S = 600.0
"""Seconds after the latest end for which a request is refused. After that the next one is a trial:
one more end renews the hold, an answer ends the doubt. So a request that comes for ever ends about
one target in that time, and an innocent one is not refused for ever."""
KEPT_S = 2.0 * HOLD_S
"""Seconds after its latest end for which a fingerprint is remembered."""
ANSWER_S = 10.0
"""Seconds for which an answer also speaks for a request whose next targets end: a popular one is in
flight wherever targets end, and is answered elsewhere every few seconds."""
VOID_KEPT_S = 30.0
"""Seconds for which a voided record is kept, so that all hear of the answer."""
MAX_RECORDS = 512
"""Fingerprints with ends that a node remembers, 0.3 MB; the least proved go first."""
LOOKED_UP = 64
"""Records that are to be forgotten next are looked up so many at a time: a look at all costs 2.8
ms, and the loss of a data hall brings hundreds of ends, each with all that its target had."""
MAX_ANSWERS = 1024
"""Fingerprints whose latest answer a sidecar remembers, 0.14 MB: the popular stay among them."""
ROWS = 4
"""Records on one datagram, under 90 bytes each: it has room for them beside members and hints."""
HELD_ROWS = 2
"""Of these, how many that were told often enough: a node that starts hears the held ones so."""
RENEWED_S = 1.0
"""Seconds by which a later end must renew a hold to be told: nodes need not agree to the second."""
TRANSMISSIONS = 8
"""How often a node tells a change: about the logarithm of a fleet of thousands, and some losses."""

Row: TypeAlias = list[Any]
"""A record in its written form: fingerprint, age of the answer or -1, and pairs of end and age."""


class _Standing(NamedTuple):
    """Ends that count, and the time of the latest end."""

    ends: int
    last_at: float

    def differs(self, before: "_Standing") -> bool:
        """Tell whether other nodes should hear of the change."""
        return self.ends != before.ends or self.last_at > before.last_at + RENEWED_S


class _Event(NamedTuple):
    """A change of what is believed of a request."""

    what: str
    ends: int
    last_age_s: float


@dataclass(slots=True)
class _Record:
    """Ends by their names with their times, and the latest answer, on this node's clock."""

    ends: dict[str, float] = field(default_factory=dict)
    answered_at: float = -math.inf
    sent: int = 0

    @property
    def count(self) -> int:
        """Ends that no answer speaks against."""
        return sum(at > self.answered_at + ANSWER_S for at in self.ends.values())

    @property
    def last_at(self) -> float:
        """Time of the latest end."""
        return max(self.ends.values(), default=-math.inf)

    def quarantined_s(self, now: float) -> float:
        """Return for how many more seconds the request is refused, 0 if it is not."""
        return max(0.0, self.last_at + HOLD_S - now) if self.count >= MIN_CRASHES else 0.0

    def over(self, now: float) -> bool:
        """Tell whether it says nothing any more."""
        if self.count:
            return now - self.last_at >= KEPT_S
        return now - max(self.last_at, self.answered_at) >= VOID_KEPT_S

    def add(self, end: str, at: float) -> None:
        """Add an end; the latest few tell all."""
        self.ends.setdefault(end, at)
        if len(self.ends) > MIN_CRASHES:
            del self.ends[min(self.ends, key=self.ends.__getitem__)]

    def standing(self) -> "_Standing":
        """Return what is told when it changes."""
        return _Standing(self.count, self.last_at)


class Quarantine:
    """What a node knows of requests under which targets ended; any thread may use it.

    Attributes:
        on_change: Called once there is something to tell other nodes; it must not block.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._least: list[tuple[str, _Standing]] = []
        self._answers: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()
        self.on_change: Callable[[], None] = lambda: None

    @property
    def size(self) -> int:
        """Fingerprints with ends, or voided ones, that are remembered."""
        return len(self._records)

    def quarantined_s(self, now: float, fingerprint: str) -> float:
        """Return for how many more seconds a request is refused, 0 if it is not.

        Args:
            now: Seconds.
            fingerprint: Of the request, empty if unknown.
        """
        if fingerprint not in self._records:
            return 0.0
        with self._lock:
            record = self._records.get(fingerprint)
            return record.quarantined_s(now) if record is not None else 0.0

    def is_suspect(self, now: float, fingerprint: str) -> bool:
        """Tell whether a request was there when a target ended, and not answered since."""
        if fingerprint not in self._records:
            return False
        with self._lock:
            record = self._records.get(fingerprint)
            return record is not None and record.count > 0 and not record.over(now)

    def record_crash(self, now: float, fingerprint: str, end: str) -> None:
        """Note that a target ended with a request.

        Args:
            now: Seconds.
            fingerprint: Of the request; an empty one is not noted.
            end: Names the end, alike for all requests that the target had.
        """
        if not fingerprint:
            return
        with self._lock:
            record = self._records.setdefault(fingerprint, _Record())
            before = record.standing()
            record.add(end, now)
            self._recall_answer(fingerprint, record)
            event = _changed(now, record, record.standing().differs(before))
            self._make_room(now)
        self._tell(event, fingerprint, "own")

    def record_answer(self, now: float, fingerprint: str) -> None:
        """Note that a target answered a request, so that it is not what targets end under."""
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
            event = _changed(now, record, True)
        self._tell(event, fingerprint, "own")

    def row(self, now: float, fingerprint: str) -> Row | None:
        """Return the written form of what is known of a request, `None` if that is nothing."""
        with self._lock:
            record = self._records.get(fingerprint)
            return _row(now, fingerprint, record) if record is not None else None

    def rows(self, now: float) -> list[Row]:
        """Return what the next datagram tells: the news least told, and some that are held."""
        with self._lock:
            for fingerprint in [name for name, one in self._records.items() if one.over(now)]:
                del self._records[fingerprint]
            told = sorted(self._records.items(), key=lambda item: item[1].sent)
            news = [item for item in told if item[1].sent < TRANSMISSIONS][:ROWS]
            held = [
                one for one in told if one[1].sent >= TRANSMISSIONS and one[1].quarantined_s(now)
            ]
            rows = []
            for fingerprint, record in [*news, *held[:HELD_ROWS]][:ROWS]:
                record.sent += 1
                rows.append(_row(now, fingerprint, record))
            return rows

    def merge(self, now: float, row: Sequence[Any]) -> None:
        """Take in what another node knows of a request.

        Args:
            now: Seconds.
            row: In its checked written form.
        """
        fingerprint, answer_age_s, ends = row
        with self._lock:
            record = self._records.setdefault(fingerprint, _Record())
            before = record.standing()
            for end, age_s in ends[:MIN_CRASHES]:
                record.add(end, now - max(0.0, age_s))
            if answer_age_s >= 0.0:
                record.answered_at = max(record.answered_at, now - answer_age_s)
            self._recall_answer(fingerprint, record)
            objects = record.count < _counted(answer_age_s, ends)
            event = _changed(now, record, objects or record.standing().differs(before))
            self._make_room(now)
        self._tell(event, fingerprint, "heard")

    def _recall_answer(self, fingerprint: str, record: _Record) -> None:
        """Let an answer that was seen here lately speak for a request."""
        answered_at = self._answers.get(fingerprint, -math.inf)
        record.answered_at = max(record.answered_at, answered_at)

    def _tell(self, event: _Event | None, fingerprint: str, source: str) -> None:
        """Log a change, and have other nodes told of it."""
        if event is None:
            return
        decided(
            "quarantine",
            event.what,
            fingerprint=fingerprint,
            source=source,
            ends=event.ends,
            last_end_age_s=round(event.last_age_s, 3),
        )
        self.on_change()

    def _make_room(self, now: float) -> None:
        """Forget the records that prove least, the oldest first, where there are too many."""
        while len(self._records) > MAX_RECORDS:
            if not self._least:
                self._least = self._least_proved(now)
            name, standing = self._least.pop()
            record = self._records.get(name)
            if record is not None and record.standing() == standing:
                del self._records[name]

    def _least_proved(self, now: float) -> list[tuple[str, _Standing]]:
        """Return the records that prove least, the least of them last."""
        proved = (
            (not one.over(now), one.count, one.last_at, name) for name, one in self._records.items()
        )
        least = [name for *_, name in heapq.nsmallest(LOOKED_UP, proved)]
        return [(name, self._records[name].standing()) for name in reversed(least)]


def _changed(now: float, record: _Record, news: bool) -> _Event | None:
    """Return the change of a record, `None` if there is none to tell."""
    if not news:
        return None
    record.sent = 0
    what = "held" if record.quarantined_s(now) else "doubted" if record.count else "cleared"
    return _Event(what, record.count, now - record.last_at)


def _counted(answer_age_s: float, ends: Sequence[tuple[str, float]]) -> int:
    """Return how many ends count by what another node knows."""
    if answer_age_s < 0.0:
        return len(ends)
    return sum(answer_age_s > age_s + ANSWER_S for _, age_s in ends)


def _row(now: float, fingerprint: str, record: _Record) -> Row:
    answered = record.answered_at > -math.inf
    answer_age_s = round(now - record.answered_at, 2) if answered else -1.0
    return [
        fingerprint,
        answer_age_s,
        [[end, round(now - at, 2)] for end, at in record.ends.items()],
    ]

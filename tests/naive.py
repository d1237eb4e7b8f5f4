"""Reference implementations: the simplest correct form of each decision, to test against."""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from zoneinfo import ZoneInfo

from roadpass.balance import Candidate
from roadpass.route import ANY_HOST, Route
from roadpass.selector import DAYS, Labelled, Selector, Window


def in_window(window: Window, instant: datetime) -> bool:
    """Check the windows that start yesterday and today, in local time."""
    local = instant.astimezone(ZoneInfo(window.zone)).replace(tzinfo=None)
    for back in (0, 1):
        day = (local - timedelta(days=back)).date()
        if day.weekday() not in window.days:
            continue
        midnight = datetime(day.year, day.month, day.day)
        start = midnight + timedelta(minutes=window.start)
        length = (window.end - window.start) % (24 * 60) or 24 * 60
        if start <= local < start + timedelta(minutes=length):
            return True
    return False


def select(
    selectors: Sequence[Selector],
    service: str,
    labels: Mapping[str, str],
    targets: Sequence[Labelled],
    instant: datetime,
) -> list[set[str]]:
    """Return the groups of target names, as the documentation defines them."""
    applicable = [
        s
        for s in selectors
        if s.service in (None, service)
        and all(labels.get(k) in v or ("*" in v and k in labels) for k, v in s.routes.items())
    ]
    if not applicable:
        return [{t.name for t in targets}] if targets else []
    groups: list[set[str]] = []
    for rule in applicable:
        if rule.windows and not any(in_window(w, instant) for w in rule.windows):
            continue
        used = set().union(*groups)
        group = {
            t.name
            for t in targets
            if all(
                t.labels.get(k) in v or ("*" in v and k in t.labels)
                for k, v in rule.targets.items()
            )
        } - used
        if group:
            groups.append(group)
            if not rule.spill:
                break
    return groups


def find_route(routes: Sequence[Route], host: str, path: str, method: str) -> Route | None:
    """Return the best of the routes of a host: the one with the longest prefix that begins a path.

    A prefix without a slash at its end stands for itself, and for what it begins with a slash.
    """
    best: tuple[tuple[bool, int, bool], str, Route] | None = None
    for route in routes:
        if route.host not in (host, ANY_HOST):
            continue
        begins = path.startswith(route.path if route.path.endswith("/") else f"{route.path}/")
        if not begins and (route.path.endswith("/") or path != route.path):
            continue
        if route.methods and method not in route.methods:
            continue
        rank = (route.host != ANY_HOST, len(route.path), bool(route.methods))
        if best is None or rank > best[0] or (rank == best[0] and route.name < best[1]):
            best = (rank, route.name, route)
    return best[2] if best else None


@dataclass
class Fences:
    """The at-most-once table as a plain history of starts and fences."""

    started: set[str] = field(default_factory=set)
    fenced: set[str] = field(default_factory=set)
    started_keys: set[str] = field(default_factory=set)
    tokens: dict[str, str] = field(default_factory=dict)

    def claim(self, attempt: str, key: str, repeat: bool) -> bool:
        """Return whether an attempt may start, and record that it does."""
        if attempt in self.started or attempt in self.fenced or key in self.started_keys:
            return False
        if key in self.tokens and not (repeat and self.tokens[key] == attempt):
            return False
        if repeat and key not in self.tokens:
            return False
        self.started.add(attempt)
        if key:
            self.started_keys.add(key)
        return True

    def fence(self, attempt: str) -> bool:
        """Return whether an attempt will never start from now on."""
        if attempt in self.started:
            return False
        self.fenced.add(attempt)
        return True

    def fence_key(self, key: str, token: str) -> bool:
        """Return whether only `token` may still start a key."""
        if key in self.started_keys:
            return False
        self.tokens[key] = token
        return True


class NaiveEjector:
    """Ejects a target for 30 s after five consecutive failures; at most half of them at once."""

    FAILURES = 5
    OUT_S = 30.0

    def __init__(self, names: Sequence[str]) -> None:
        self._row = dict.fromkeys(names, 0)
        self._until = dict.fromkeys(names, float("-inf"))
        self.ejections = 0

    def serving(self, now: float) -> list[str]:
        """Return the targets that are not ejected."""
        return [name for name, until in self._until.items() if now >= until]

    def record(self, now: float, name: str, failed: bool) -> None:
        """Record one outcome."""
        self._row[name] = self._row[name] + 1 if failed else 0
        out = len(self._until) - len(self.serving(now))
        if self._row[name] >= self.FAILURES and out + 1 <= len(self._until) // 2:
            self._until[name] = now + self.OUT_S
            self._row[name] = 0
            self.ejections += 1


ALL_DAYS = frozenset(range(len(DAYS)))


def cusum(outcomes: Sequence[bool], base: float, faulty: float) -> float:
    """Return the largest log-likelihood ratio over all suffixes; the real one has a cap."""
    steps = [
        math.log(faulty / base) if bad else math.log((1.0 - faulty) / (1.0 - base))
        for bad in outcomes
    ]
    return max(sum(steps[n:]) for n in range(len(steps) + 1))


def ejected(scores: Mapping[str, float], slots: int, floor: int) -> set[str]:
    """Return the targets that are ejected, worst first, while the floor allows it.

    All were in service before.
    """
    out: set[str] = set()
    for name in sorted(scores, key=lambda n: (-scores[n], n)):
        left = (len(scores) - len(out) - 1) * slots
        if scores[name] >= 1.0 and left >= floor:
            out.add(name)
    return out


def pickable(
    groups: Sequence[Sequence[Candidate]],
    full: Mapping[str, bool],
    excluded: Collection[str],
    repeatable: bool,
) -> set[str]:
    """Return every name that a pick may return; cost and chance decide between them."""

    def usable(group: Sequence[Candidate]) -> list[Candidate]:
        return [
            one
            for one in group
            if one.weight > 0.0 and one.name not in excluded and (repeatable or not one.trial)
        ]

    found: set[str] = set()
    settled = usable(groups[0]) if groups else []
    found |= {one.name for one in settled if not one.trial and not full[one.name]}
    for group in groups:
        for tier in range(3):
            names = [one.name for one in usable(group) if one.tier == tier]
            found |= set(names)
            if names and not any(full[name] for name in names):
                return found
    return found


class NaiveAdmission:
    """Slots, reserved shares and a queue as plain lists; every request has its own caller.

    The real admission may differ if one caller sends several requests (fair turns), if a deadline
    is near (early refusal) and for retries: this reference has none of them.
    """

    def __init__(self, reserved: Sequence[float], slots: int, queue_limit: int) -> None:
        self.reserved = reserved
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = [0] * len(reserved)
        self.waiting: list[tuple[int, int]] = []

    def offer(self, number: int, rank: int) -> str:
        """Return `run`, `wait` or `refuse` for a request of the class of that rank."""
        if not any(r == rank for r, _ in self.waiting) and self._may_run(rank):
            self.running[rank] += 1
            return "run"
        if len(self.waiting) >= self.queue_limit:
            lower = [one for one in self.waiting if one[0] > rank]
            if not lower:
                return "refuse"
            self.waiting.remove(max(lower))
        self.waiting.append((rank, number))
        return "wait"

    def release(self, rank: int) -> list[int]:
        """Return the numbers of the requests that start when one of the class ends."""
        self.running[rank] -= 1
        started = []
        for one in sorted(self.waiting):
            if self._may_run(one[0]):
                self.waiting.remove(one)
                self.running[one[0]] += 1
                started.append(one[1])
        return started

    def _may_run(self, rank: int) -> bool:
        kept = sum(
            max(0.0, share * self.slots - used)
            for n, (share, used) in enumerate(zip(self.reserved, self.running, strict=True))
            if n != rank
        )
        return sum(self.running) + 1 + int(kept) <= self.slots

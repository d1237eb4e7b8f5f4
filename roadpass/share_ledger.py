"""Demands for the slots of the classes that one node owns, and the share of each ingress."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from roadpass.decision import decided
from roadpass.fair_share import Demand, Share, ShareKey, fair_level, part_of_ingress

ROW_EXPIRY_S = 1.5
"""Seconds without a report after which a row is dropped: three lost reports, or an ingress that has
crashed, is cut off, or has had nobody waiting since."""
SMOOTHING_S = 5.0
"""Time constant in seconds of the averages that are divided. Requests that arrive at random put a
customer above its share in single moments: in the model of tests/share_model.py customers within
their shares got 0.98 of them with 1 s, and 0.996 with 5 s. A customer with ten times the level
exceeds it after 0.5 s all the same."""
STEP_S = 0.05
"""Seconds between two updates of the averages."""
FORGET_BELOW = 0.05
"""Average demand in slots below which a customer without requests is dropped."""
MAX_ROWS = 20_000
"""Rows that are kept, 0.2 KB each; further ones are not accounted for. 100 ingresses with 100
customers in two classes each fill it."""
MAX_LOGGED = 8
"""Customers that one log line names."""


class _RowKey(NamedTuple):
    customer: str
    ingress: str


@dataclass(slots=True)
class _Row:
    running: int
    total: int
    at: float


@dataclass(slots=True)
class _Class:
    """Demands for the slots of one class, with their sums, and the averages of these."""

    at: float
    rows: dict[_RowKey, _Row] = field(default_factory=dict)
    by_customer: Counter[str] = field(default_factory=Counter)
    running: int = 0
    mean_by_customer: dict[str, float] = field(default_factory=dict)
    mean_running: float = 0.0
    short: bool = False

    def average(self, now: float) -> None:
        """Update the averages; they begin with the first values."""
        passed_s = now - self.at
        if passed_s < STEP_S and self.mean_by_customer:
            return
        weight = 1.0 - math.exp(-passed_s / SMOOTHING_S) if self.mean_by_customer else 1.0
        self.at = now
        self.mean_running += weight * (self.running - self.mean_running)
        for name in self.mean_by_customer.keys() | self.by_customer.keys():
            mean, total = self.mean_by_customer.get(name, 0.0), self.by_customer.get(name, 0)
            mean += weight * (total - mean)
            self.mean_by_customer[name] = mean
            if not total and mean < FORGET_BELOW:
                del self.mean_by_customer[name]

    def set(self, key: _RowKey, row: _Row) -> None:
        self.drop(key)
        if row.total > 0:
            self.rows[key] = row
            self.running += row.running
            self.by_customer[key.customer] += row.total

    def drop(self, key: _RowKey) -> None:
        row = self.rows.pop(key, None)
        if row is None:
            return
        self.running -= row.running
        self.by_customer[key.customer] -= row.total
        if self.by_customer[key.customer] <= 0:
            del self.by_customer[key.customer]

    def level(self) -> float:
        """Return the largest share of any customer.

        While requests wait, what runs is what the class gets of the service's slots, whatever other
        classes, failing targets and limits leave of them.
        """
        return fair_level(max(1.0, self.mean_running), self.mean_by_customer.values())


class ShareLedger:
    """Demands for the classes that one node owns; not thread-safe.

    Args:
        logs: Whether to log when the slots of a class become too few.
    """

    def __init__(self, *, logs: bool = True) -> None:
        self._logs = logs
        self._classes: dict[ShareKey, _Class] = {}

    @property
    def size(self) -> int:
        """Number of rows."""
        return sum(len(one.rows) for one in self._classes.values())

    def levels(self) -> dict[str, float]:
        """Return the slots that a customer may use at most, by class, where they are short."""
        levels = {key.hashed: one.level() for key, one in self._classes.copy().items()}
        return {name: level for name, level in levels.items() if level < math.inf}

    def apply(self, now: float, ingress: str, demands: Iterable[Demand]) -> list[Share]:
        """Account for the demands of one ingress, and return its shares.

        Args:
            now: Clock seconds.
            ingress: Name of the node that sent them.
            demands: Rows that it sent; a row without requests ends the earlier one.
        """
        rows = list(demands)
        for demand in rows:
            if demand.total > 0 and self.size >= MAX_ROWS:
                continue
            one = self._classes.setdefault(demand.key, _Class(now))
            row = _Row(demand.running, demand.total, now)
            one.set(_RowKey(demand.customer, ingress), row)
        levels = {}
        for key in {row.key for row in rows} & self._classes.keys():
            self._classes[key].average(now)
            levels[key] = self._classes[key].level()
        for key, level in levels.items():
            self._log_change(key, level)
        return [self._share(demand, levels[demand.key]) for demand in rows if demand.key in levels]

    def expire(self, now: float) -> None:
        """Drop rows that were not repeated, and classes without rows."""
        for key, one in list(self._classes.items()):
            for name in [name for name, row in one.rows.items() if now - row.at > ROW_EXPIRY_S]:
                one.drop(name)
            if not one.rows:
                if one.short:
                    self._log_change(key, math.inf)
                del self._classes[key]

    def _share(self, demand: Demand, level: float) -> Share:
        one = self._classes[demand.key]
        mean = one.mean_by_customer.get(demand.customer, 0.0)
        total = one.by_customer.get(demand.customer, 0)
        slots = part_of_ingress(level, mean, total, demand.total)
        return Share(demand.service, demand.traffic_class, demand.customer, round(slots, 3))

    def _log_change(self, key: ShareKey, level: float) -> None:
        """Log when the slots of a class become too few for its customers, and when they suffice."""
        one = self._classes[key]
        short = level < math.inf
        if short is one.short or not self._logs:
            return
        one.short = short
        decided(
            "shares",
            "short" if short else "enough",
            service=key.service,
            traffic_class=key.traffic_class,
            level=round(level, 2) if short else None,
            running=round(one.mean_running, 1),
            customers=len(one.by_customer),
            above=[name for name, mean in one.mean_by_customer.items() if mean > level][
                :MAX_LOGGED
            ],
        )

"""What one ingress admits of each customer's requests, by its owner's word or by itself."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from roadpass.quota import (
    IDLE_S,
    LIMITED_REPORT_S,
    RATE_MEMORY_S,
    REPORT_S,
    SHARE_MIN,
    Allowance,
    Limit,
    Rate,
    Report,
    owner_of,
)

OWNER_TIMEOUT_S = 0.3
"""Seconds from a report without a word after which an ingress is by itself: that report and the one
after it are lost or cut. A word comes within 0.1 s. Until then the latest word holds, however old:
without new requests there was nothing to tell. With a limit on a word's age instead a crowd that
came in the moment of a cut was let through for that long, and rare requests of small customers were
refused."""
UNCONFIRMED_MAX = 2
"""Requests of a customer that an ingress admits before it ever heard its owner: all nodes that
start anew at once would else admit a crowd for that long."""
ISOLATED_SHARE = 0.35
"""Share of its part of the limit that an ingress by itself admits: an owner that does not hear it
hands out all that it holds, until it takes the ingress for dead some seconds later."""
RESEND_S = 2.0
"""Seconds for which a report without a word is repeated although nothing new has come."""
SURGE_MIN = 1.0
"""Requests beyond twice the usual after which an ingress reports at once."""
BUCKET_DEPTH = 1.0
"""Requests at once that an ingress admits by itself."""
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
"""Bounds of the time after which a customer over its limit is told to come back."""
_ROUNDING = 1e-9


@dataclass(slots=True)
class _Demand:
    """What an ingress knows of one customer."""

    limit: Limit
    seen_at: float
    rate: Rate
    owner: str = ""
    epoch: int = 0
    wanted: int = 0
    admitted: int = 0
    reported_wanted: int = 0
    reported_at: float = -math.inf
    reported_per_s: float = 0.0
    share: float = 1.0
    part_per_s: float = 0.0
    unanswered_since: float = math.inf
    has_allowance: bool = False
    credit: float = 0.0
    tokens: float = BUCKET_DEPTH
    tokens_at: float = 0.0


class QuotaGate:
    """What one ingress admits; the caller's lock guards it.

    Args:
        epoch: Of this process; higher than that of an earlier one.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._demands: dict[str, _Demand] = {}

    @property
    def size(self) -> int:
        """Customers that are known."""
        return len(self._demands)

    def admit(self, now: float, customer: str, limit: Limit, fleet_size: int) -> float:
        """Decide on one request.

        Args:
            now: Seconds.
            customer: Whose it is.
            limit: In force.
            fleet_size: VMs that share the limit.

        Returns:
            0 if it is admitted, else the seconds after which there should be room.
        """
        demand = self._demands.get(customer)
        if demand is None:
            demand = self._demands[customer] = _Demand(limit, now, Rate(now), tokens_at=now)
        demand.limit = limit
        demand.seen_at = now
        demand.wanted += 1
        demand.rate.add(now, 1.0 / RATE_MEMORY_S)
        if self._admits(now, demand, fleet_size):
            demand.admitted += 1
            return 0.0
        return _wait_s(now, demand, fleet_size)

    def refund(self, customer: str) -> None:
        """Note that an admitted request has not run after all."""
        demand = self._demands.get(customer)
        if demand is not None:
            demand.admitted -= 1

    def receive(self, now: float, owner: str, allowance: Allowance) -> None:
        """Take an owner's word; one of another node than the owner that was told says nothing."""
        demand = self._demands.get(allowance.customer)
        if demand is None or demand.owner != owner:
            return
        demand.share = min(1.0, max(SHARE_MIN, allowance.share))
        demand.part_per_s = max(0.0, allowance.part_per_s)
        demand.unanswered_since = math.inf
        demand.has_allowance = True

    def due(self, now: float, nodes: Iterable[str]) -> dict[str, list[Report]]:
        """Return the reports that are due, by the owner to tell.

        Args:
            now: Seconds.
            nodes: That are believed to live, this one included.
        """
        living = tuple(nodes)
        reports: dict[str, list[Report]] = {}
        for customer, demand in list(self._demands.items()):
            if now - demand.seen_at > IDLE_S:
                del self._demands[customer]
            elif self._is_due(now, demand):
                owner = owner_of(customer, living)
                if owner != demand.owner:
                    self._set_owner(demand, owner)
                reports.setdefault(owner, []).append(self._report(now, customer, demand))
        return reports

    def _admits(self, now: float, demand: _Demand, fleet_size: int) -> bool:
        even_per_s = demand.limit.sustained_per_s / max(1, fleet_size)
        assigned_per_s = demand.part_per_s if demand.has_allowance else even_per_s
        part_per_s = (
            ISOLATED_SHARE * (assigned_per_s + even_per_s) / 2.0
        )  # adds up to one over the fleet
        earned = (now - demand.tokens_at) * part_per_s
        demand.tokens = min(max(BUCKET_DEPTH, part_per_s), demand.tokens + earned)
        demand.tokens_at = now
        if now - demand.unanswered_since > OWNER_TIMEOUT_S:
            if demand.tokens < BUCKET_DEPTH - _ROUNDING:
                return False
            demand.tokens -= BUCKET_DEPTH
            return True
        if not demand.has_allowance and demand.admitted >= UNCONFIRMED_MAX:
            return False
        demand.credit += demand.share
        if demand.credit < 1.0 - _ROUNDING:
            return False
        demand.credit -= 1.0
        demand.tokens = max(0.0, demand.tokens - 1.0)
        return True

    def _is_due(self, now: float, demand: _Demand) -> bool:
        new = demand.wanted - demand.reported_wanted
        age_s = now - demand.reported_at
        if not new:  # a report or its word was lost, or the owner is gone
            return age_s >= LIMITED_REPORT_S and 0.0 <= now - demand.unanswered_since <= RESEND_S
        if demand.share < 1.0 or demand.unanswered_since < math.inf:
            return age_s >= LIMITED_REPORT_S
        return age_s >= REPORT_S or new > SURGE_MIN + 2.0 * demand.reported_per_s * age_s

    def _set_owner(self, demand: _Demand, owner: str) -> None:
        """Begin to tell an owner; what was told another one does not concern it."""
        self._epoch += 1
        demand.owner, demand.epoch = owner, self._epoch
        demand.admitted = min(demand.admitted, demand.wanted - demand.reported_wanted)
        demand.wanted -= demand.reported_wanted
        demand.reported_wanted = 0

    def _report(self, now: float, customer: str, demand: _Demand) -> Report:
        demand.reported_wanted, demand.reported_at = demand.wanted, now
        demand.unanswered_since = min(demand.unanswered_since, now)
        demand.reported_per_s = demand.rate.read(now)
        per_s = round(demand.reported_per_s, 2)
        return Report(customer, demand.epoch, demand.wanted, demand.admitted, per_s)


def _wait_s(now: float, demand: _Demand, fleet_size: int) -> float:
    """Return when this ingress will probably admit the next request of a customer."""
    admitted_per_s = max(
        demand.share * demand.rate.read(now),
        demand.limit.sustained_per_s / max(1, fleet_size),
    )
    if admitted_per_s <= 0.0:
        return RETRY_MAX_S
    return min(RETRY_MAX_S, max(RETRY_MIN_S, 1.0 / admitted_per_s))

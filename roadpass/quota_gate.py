"""Admission of customers' requests at one ingress, by the owner's allowance or without one."""

import math
from collections.abc import Iterable, Mapping, Sequence
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
from roadpass.vm_size import NO_SIZES, OwnerSizes, weighted_owner

OWNER_TIMEOUT_S = 0.3
"""Seconds after an unanswered report until an ingress treats its owner as unreachable. A reply
takes up to 0.1 s, so by then this report and the next were lost. Until then the latest allowance
applies, however old, as without new requests there is nothing to report. A limit on the age of an
allowance instead admitted a whole traffic peak for that time if it began with a network partition,
and refused infrequent requests of small customers."""
UNCONFIRMED_MAX = 2
"""Requests of a customer that an ingress admits before the first allowance. Without this limit all
nodes that restart at the same time would admit a traffic peak for `OWNER_TIMEOUT_S`."""
ISOLATED_SHARE = 0.35
"""Share of its part of the limit that an ingress admits while its owner is unreachable. An owner
that receives no reports from it hands out the whole limit to the others until it considers the
ingress dead some seconds later."""
RESEND_S = 2.0
"""Seconds for which an unanswered report is sent again even without new requests."""
SURGE_MIN = 1.0
"""Requests above twice the last reported rate at which an ingress reports immediately."""
BUCKET_DEPTH = 1.0
"""Requests that an ingress may admit at the same moment while its owner is unreachable."""
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
"""Bounds of the retry delay given to a customer over its limit."""
_ROUNDING = 1e-9


@dataclass(slots=True)
class _Demand:
    """State of one customer at an ingress; `reported_...` as of the last report to the owner."""

    limit: Limit
    seen_at: float
    rate: Rate
    owner: str = ""
    other_owner: str = ""
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
    """Admits or refuses customers' requests at one ingress; not thread-safe, the caller locks.

    Args:
        epoch: Start epoch of this process, higher than that of any earlier process of this node.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._demands: dict[str, _Demand] = {}

    @property
    def size(self) -> int:
        """Number of customers with state here."""
        return len(self._demands)

    def admit(self, now: float, customer: str, limit: Limit, fleet_size: int) -> float:
        """Decide whether to admit one request.

        Args:
            now: Clock seconds.
            customer: Name of the customer.
            limit: Limit that is enforced.
            fleet_size: Number of VMs that share the limit.

        Returns:
            0 if the request is admitted, else the seconds after which a retry should succeed.
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
        """Take back the count of an admitted request that was not executed."""
        demand = self._demands.get(customer)
        if demand is not None:
            demand.admitted -= 1

    def receive(self, now: float, owner: str, allowance: Allowance) -> None:
        """Apply an allowance; ignored unless it comes from the node that was last reported to."""
        demand = self._demands.get(allowance.customer)
        if demand is None or demand.owner != owner:
            return
        demand.share = min(1.0, max(SHARE_MIN, allowance.share))
        demand.part_per_s = max(0.0, allowance.part_per_s)
        demand.unanswered_since = math.inf
        demand.has_allowance = True

    def due(
        self, now: float, nodes: Iterable[str], sizes: OwnerSizes = NO_SIZES
    ) -> dict[str, list[Report]]:
        """Return the reports that are due, by the owner to send them to.

        Also discards the state of customers without requests for `IDLE_S`.

        Args:
            now: Clock seconds.
            nodes: Nodes that are believed to be alive, including this one.
            sizes: Sizes of VMs, by which owners are chosen.
        """
        living = tuple(nodes)
        reports: dict[str, list[Report]] = {}
        for customer, demand in list(self._demands.items()):
            if now - demand.seen_at > IDLE_S:
                del self._demands[customer]
            elif self._is_due(now, demand):
                owner = _owner(customer, living, sizes.current)
                if owner != demand.owner:
                    self._set_owner(demand, owner)
                other = owner if sizes.other is None else _owner(customer, living, sizes.other)
                demand.other_owner = other
                report = self._report(now, customer, demand)
                for each in dict.fromkeys((owner, other)):
                    reports.setdefault(each, []).append(report)
        return reports

    def _admits(self, now: float, demand: _Demand, fleet_size: int) -> bool:
        even_per_s = demand.limit.sustained_per_s / max(1, fleet_size)
        assigned_per_s = demand.part_per_s if demand.has_allowance else even_per_s
        # Over the whole fleet both of these parts add up to the limit, and so does their mean.
        part_per_s = ISOLATED_SHARE * (assigned_per_s + even_per_s) / 2.0
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
        if not new:  # the report or its reply was lost, or the owner is unreachable
            return age_s >= LIMITED_REPORT_S and 0.0 <= now - demand.unanswered_since <= RESEND_S
        if demand.share < 1.0 or demand.unanswered_since < math.inf:
            return age_s >= LIMITED_REPORT_S
        return age_s >= REPORT_S or new > SURGE_MIN + 2.0 * demand.reported_per_s * age_s

    def _set_owner(self, demand: _Demand, owner: str) -> None:
        """Change the owner; counts reported to the previous owner are not reported again.

        An owner that already got the same reports continues with the same counts.
        """
        if owner == demand.other_owner:
            demand.owner = owner
            return
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


def _owner(customer: str, nodes: Sequence[str], sizes: Mapping[str, float]) -> str:
    return weighted_owner(customer, nodes, sizes) if sizes else owner_of(customer, nodes)


def _wait_s(now: float, demand: _Demand, fleet_size: int) -> float:
    """Estimate the seconds until this ingress admits the next request of a customer."""
    admitted_per_s = max(
        demand.share * demand.rate.read(now),
        demand.limit.sustained_per_s / max(1, fleet_size),
    )
    if admitted_per_s <= 0.0:
        return RETRY_MAX_S
    return min(RETRY_MAX_S, max(RETRY_MIN_S, 1.0 / admitted_per_s))

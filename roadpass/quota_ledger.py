"""What the owner of a customer counts, and what it lets each ingress admit."""

from dataclasses import dataclass, field

from roadpass.quota import IDLE_S, SHARE_MIN, Allowance, Limit, Rate, Report

INGRESS_EXPIRY_S = 10.0
"""Seconds after which an ingress that tells nothing is forgotten."""
REFILL_S = 1.0
"""Seconds in which what is left of a burst is handed out, or a debt is paid back."""
FIRST_REPORT_MAX = 10
"""Requests that an owner counts of an ingress's first report; an older one's count goes far back,
to before this owner was the owner."""
MAX_DEBT_S = 3.0
"""Seconds' worth of the limit that a debt has at the most: nobody is shut out for longer."""


@dataclass(slots=True)
class _Ingress:
    """What an owner knows of one ingress's part of a customer's requests."""

    epoch: int
    wanted: int
    admitted: int
    at: float
    rate: Rate


@dataclass(slots=True)
class _Account:
    """What an owner knows of one customer; it begins with nothing of its burst.

    Nothing of what lasts on top of the rate is handed out in its first window either: another owner
    may have handed it out before.
    """

    opened_at: float
    at: float
    rate: Rate
    level: float = 0.0
    ingresses: dict[str, _Ingress] = field(default_factory=dict)


class QuotaLedger:
    """What one node counts of the customers that it owns; pure, for one thread."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    @property
    def size(self) -> int:
        """Customers that are counted."""
        return len(self._accounts)

    def apply_report(
        self, now: float, ingress: str, report: Report, limit: Limit, alive_share: float
    ) -> Allowance:
        """Take a report in.

        Args:
            now: Seconds.
            ingress: Who tells.
            report: What it tells.
            limit: In force here.
            alive_share: Of the VMs that share the limit, those that this node believes to live:
                in a part of a fleet that fell apart, an owner hands out that part of the limit.

        Returns:
            The word to that ingress, which waits for one.
        """
        account = self._accounts.get(report.customer)
        if account is None:
            account = self._accounts[report.customer] = _Account(now, now, Rate(now))
        opening = now - account.opened_at < limit.window_s
        rate_per_s = limit.rate_per_s if opening else limit.sustained_per_s
        rate_per_s *= alive_share
        admitted = self._count(now, account, ingress, report)
        level = account.level + (now - account.at) * rate_per_s - admitted
        account.level = min(limit.immediate_burst, max(level, -MAX_DEBT_S * rate_per_s))
        account.at = now
        return self._allowance(now, account, ingress, report.customer, rate_per_s)

    def expire_idle(self, now: float) -> None:
        """Drop the customers and ingresses that nothing was heard of for long."""
        for name, account in list(self._accounts.items()):
            for vm, one in list(account.ingresses.items()):
                if now - one.at > INGRESS_EXPIRY_S:
                    del account.ingresses[vm]
            if now - account.at > IDLE_S:
                del self._accounts[name]

    @staticmethod
    def _count(now: float, account: _Account, ingress: str, report: Report) -> int:
        """Note an ingress's counts; return how many requests it has admitted since the last."""
        known = account.ingresses.get(ingress)
        if known is None or known.epoch != report.epoch:
            known = _Ingress(report.epoch, 0, 0, now, Rate(now))
            account.ingresses[ingress] = known
            if report.wanted > FIRST_REPORT_MAX:
                known.wanted, known.admitted = report.wanted, report.admitted
        wanted = report.wanted - known.wanted
        if wanted < 0:  # an older datagram that was overtaken
            return 0
        admitted = report.admitted - known.admitted
        account.rate.add(now, report.per_s - known.rate.read(now))
        known.rate = Rate(now, report.per_s)
        known.wanted, known.admitted, known.at = report.wanted, report.admitted, now
        return admitted

    @staticmethod
    def _allowance(
        now: float, account: _Account, ingress: str, customer: str, rate_per_s: float
    ) -> Allowance:
        known = account.ingresses[ingress]
        demand_per_s = account.rate.read(now)
        allowed_per_s = max(0.0, rate_per_s + account.level / REFILL_S)
        share = min(1.0, allowed_per_s / demand_per_s) if demand_per_s > 0.0 else 1.0
        part_per_s = rate_per_s * known.rate.read(now) / demand_per_s if demand_per_s > 0.0 else 0.0
        return Allowance(customer, round(max(SHARE_MIN, share), 3), round(part_per_s, 3))

"""Accounting of customers' requests at their owner, and the allowance of each ingress."""

from dataclasses import dataclass, field

from roadpass.quota import IDLE_S, SHARE_MIN, Allowance, Limit, Rate, Report

INGRESS_EXPIRY_S = 10.0
"""Seconds without a report after which an ingress is dropped from an account."""
REFILL_S = 1.0
"""Seconds over which the rest of a burst is handed out, or a debt is paid back."""
FIRST_REPORT_MAX = 10
"""Largest request count in an ingress's first report that is charged to the account. A higher count
includes requests from before this node became the owner."""
MAX_DEBT_S = 3.0
"""Largest debt, as seconds of the limit's rate, so no customer is refused entirely for longer."""


@dataclass(slots=True)
class _Ingress:
    """Latest report of one ingress on a customer."""

    epoch: int
    wanted: int
    admitted: int
    at: float
    rate: Rate


@dataclass(slots=True)
class _Account:
    """An owner's account of one customer.

    It starts without any burst, and during its first window only the plain rate is handed out, not
    the burst spread over the window: a previous owner may have handed that out already.
    """

    opened_at: float
    at: float
    rate: Rate
    level: float = 0.0
    ingresses: dict[str, _Ingress] = field(default_factory=dict)


class QuotaLedger:
    """Accounts of the customers that one node owns; not thread-safe."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    @property
    def size(self) -> int:
        """Number of accounts."""
        return len(self._accounts)

    def apply_report(
        self, now: float, ingress: str, report: Report, limit: Limit, alive_share: float
    ) -> Allowance:
        """Charge a report to the customer's account.

        Args:
            now: Clock seconds.
            ingress: Name of the node that sent the report.
            report: Its counts.
            limit: Limit that is enforced.
            alive_share: Share of the VMs under the limit that this node believes to be alive. In a
                partition of the fleet an owner hands out only that share of the limit.

        Returns:
            The allowance to send back to that ingress.
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
        """Drop customers without a report for `IDLE_S`, ingresses for `INGRESS_EXPIRY_S`."""
        for name, account in list(self._accounts.items()):
            for vm, one in list(account.ingresses.items()):
                if now - one.at > INGRESS_EXPIRY_S:
                    del account.ingresses[vm]
            if now - account.at > IDLE_S:
                del self._accounts[name]

    @staticmethod
    def _count(now: float, account: _Account, ingress: str, report: Report) -> int:
        """Store an ingress's counts; return the requests admitted since its previous report."""
        known = account.ingresses.get(ingress)
        if known is None or known.epoch != report.epoch:
            known = _Ingress(report.epoch, 0, 0, now, Rate(now))
            account.ingresses[ingress] = known
            if report.wanted > FIRST_REPORT_MAX:
                known.wanted, known.admitted = report.wanted, report.admitted
        wanted = report.wanted - known.wanted
        if wanted < 0:  # datagram delivered out of order
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

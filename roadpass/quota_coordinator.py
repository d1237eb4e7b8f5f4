"""Exchanges quota reports and allowances with the other nodes."""

import logging
import threading
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple, TypeVar

from roadpass import clock
from roadpass._actor import Actor
from roadpass._generated.message_types import Datagram
from roadpass._ticker import Ticker
from roadpass.customer import Customer
from roadpass.decision import decided
from roadpass.fair_share import Demand, Share
from roadpass.quota import Allowance, Limit, QuotaPolicy, Report
from roadpass.quota_gate import QuotaGate
from roadpass.quota_ledger import QuotaLedger
from roadpass.share_exchange import FairShares
from roadpass.view import View
from roadpass.vm_size import NO_SIZES, OwnerSizes, SizeHandover

TICK_S = 0.1
"""Seconds between checks for due reports, short so that a sudden rise in traffic is reported
quickly."""
MAX_ROWS_BYTES = 500
"""Bytes of rows in one datagram; the rest is left for the fields that every datagram carries."""
ROW_BYTES = 30
"""Estimated size in bytes of a row without its names."""

_log = logging.getLogger("roadpass.quota")
_Row = TypeVar("_Row", Report, Allowance, Demand, Share)


class QuotaMessage(NamedTuple):
    """Rows about quotas and shares from or to one node; `vm` is the other node."""

    vm: str
    reports: tuple[Report, ...] = ()
    allowances: tuple[Allowance, ...] = ()
    demands: tuple[Demand, ...] = ()
    shares: tuple[Share, ...] = ()

    @property
    def fields(self) -> dict[str, tuple[NamedTuple, ...]]:
        """The rows by the name of their field in datagrams."""
        rows: dict[str, tuple[NamedTuple, ...]] = {
            "usage": self.reports,
            "allowances": self.allowances,
            "demand": self.demands,
            "shares": self.shares,
        }
        return {name: value for name, value in rows.items() if value}

    @classmethod
    def from_datagram(cls, message: Datagram) -> "QuotaMessage":
        """Build from a checked datagram; without rows if it has none."""
        return cls(
            message["sender"],
            tuple(Report(*row) for row in message.get("usage", ())),
            tuple(Allowance(*row) for row in message.get("allowances", ())),
            tuple(Demand(*row) for row in message.get("demand", ())),
            tuple(Share(*row) for row in message.get("shares", ())),
        )


class Tick(NamedTuple):
    """Triggers the periodic check for due reports."""


class Quotas:
    """Quota checks of one ingress; thread-safe.

    Args:
        epoch: Start epoch of this process, higher than that of any earlier process of this node.
        policy: How precisely limits are enforced.

    Attributes:
        shares: Shares of customers in the slots of a class.
    """

    def __init__(self, epoch: int = 1, policy: QuotaPolicy = QuotaPolicy()) -> None:  # noqa: B008
        self._policy = policy
        self._gate = QuotaGate(epoch)
        self.shares = FairShares()
        self._lock = threading.Lock()

    def set_policy(self, policy: QuotaPolicy) -> None:
        """Replace the policy; it applies from the next request on."""
        self._policy = policy

    def limit_of(self, customer: Customer) -> Limit:
        """Return the limit that is enforced for a customer."""
        return self._policy.limit(customer.rate_per_s, customer.burst)

    def quota_wait_s(self, now: float, customer: Customer | None, fleet_size: int) -> float:
        """Return the seconds after which to retry a request, 0 if it is admitted.

        Args:
            now: Clock seconds.
            customer: Customer of the request. Requests without a customer, or of one without a
                limit, are always admitted.
            fleet_size: Number of VMs that share the limit.
        """
        if customer is None or customer.rate_per_s <= 0.0:
            return 0.0
        limit = self.limit_of(customer)
        with self._lock:
            return self._gate.admit(now, customer.name, limit, fleet_size)

    def refund(self, customer: Customer | None) -> None:
        """Take back the count of an admitted request that was not executed."""
        if customer is not None and customer.rate_per_s > 0.0:
            with self._lock:
                self._gate.refund(customer.name)

    def receive(self, now: float, owner: str, allowances: Sequence[Allowance]) -> None:
        """Apply the allowances that an owner sent."""
        with self._lock:
            for allowance in allowances:
                self._gate.receive(now, owner, allowance)

    def due(
        self, now: float, nodes: Sequence[str], sizes: OwnerSizes = NO_SIZES
    ) -> dict[str, list[Report]]:
        """Return the reports that are due, by the node to send them to; see `QuotaGate.due`."""
        with self._lock:
            return self._gate.due(now, nodes, sizes)


class QuotaCoordinator(Actor):
    """Owns this node's quota ledger, sends reports to other owners and answers reports.

    Args:
        quotas: Quota checks of the local ingress.
        view: Has the customers' limits and the nodes.
        send: Sends a message to another node; must not block.
    """

    def __init__(self, quotas: Quotas, view: View, send: Callable[[QuotaMessage], None]) -> None:
        super().__init__()
        self._quotas = quotas
        self._view = view
        self._send = send
        self._ledger = QuotaLedger()
        self._sizes = SizeHandover()
        self._limited: set[str] = set()
        self._tick_queued = False
        self._ticker = Ticker("quota-tick", TICK_S, self._queue_tick)

    def on_start(self) -> None:
        """Start the ticker."""
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop the ticker."""
        self._ticker.stop()

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Tick():
                self._tick_queued = False
                self._on_tick()
            case QuotaMessage(vm=vm, reports=reports, allowances=allowances):
                self._quotas.receive(clock.now(), vm, allowances)
                self._reply(vm, reports)
                self._quotas.shares.receive(clock.now(), vm, message.shares)
                self._reply_shares(vm, message.demands)
            case _:
                _log.error("unknown message %r", message)

    def _queue_tick(self) -> None:
        if not self._tick_queued:
            self._tick_queued = True
            self.actor_ref.tell(Tick())

    def _on_tick(self) -> None:
        now = clock.now()
        owners = self._owners()
        sizes = self._sizes.update(now, self._view.sizes.agreed(owners))
        if not self._view.fleet.customers:
            return
        self._ledger.expire_idle(now)
        for owner, reports in self._quotas.due(now, owners, sizes).items():
            if owner == self._view.vm:
                self._reply(owner, reports)
                continue
            for rows in _batches(reports):
                self._send(QuotaMessage(owner, reports=tuple(rows)))
        if self._view.fleet.sharing.fair_shares:
            self._report_demands(now)

    def _report_demands(self, now: float) -> None:
        """Report what customers run and wait for here to the owners of their classes."""
        for owner, demands in self._quotas.shares.due(now, self._owners()).items():
            if owner == self._view.vm:
                self._reply_shares(owner, demands)
                continue
            for rows in _batches(demands):
                self._send(QuotaMessage(owner, demands=tuple(rows)))

    def _reply_shares(self, vm: str, demands: Sequence[Demand]) -> None:
        """Account for an ingress's demands, and send it its shares."""
        if not demands or not self._view.fleet.sharing.fair_shares:
            return
        now = clock.now()
        shares = self._quotas.shares.apply(now, vm, demands)
        if vm == self._view.vm:
            self._quotas.shares.receive(now, vm, shares)
            return
        for rows in _batches(shares):
            self._send(QuotaMessage(vm, shares=tuple(rows)))

    def _reply(self, vm: str, reports: Sequence[Report]) -> None:
        """Charge an ingress's reports, and send it its allowances."""
        now = clock.now()
        allowances = [
            allowance
            for report in reports
            if (allowance := self._allowance(now, vm, report)) is not None
        ]
        if vm == self._view.vm:
            self._quotas.receive(now, vm, allowances)
            return
        for rows in _batches(allowances):
            self._send(QuotaMessage(vm, allowances=tuple(rows)))

    def _allowance(self, now: float, vm: str, report: Report) -> Allowance | None:
        customer = self._view.fleet.customers.by_name.get(report.customer)
        if customer is None or customer.rate_per_s <= 0.0:
            return None
        limit = self._quotas.limit_of(customer)
        allowance = self._ledger.apply_report(now, vm, report, limit, self._alive_share())
        self._log_change(allowance, limit)
        return allowance

    def _log_change(self, allowance: Allowance, limit: Limit) -> None:
        """Log when a customer exceeds its limit, and when it is below it again."""
        limited = allowance.share < 1.0
        if limited is (allowance.customer in self._limited):
            return
        (self._limited.add if limited else self._limited.discard)(allowance.customer)
        decided(
            "quota",
            "over" if limited else "below",
            customer=allowance.customer,
            share=allowance.share,
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
        )

    def _owners(self) -> list[str]:
        """Return the nodes that own customers: this one and all that are alive and not leaving."""
        nodes = self._view.nodes.copy().values()
        return [self._view.vm, *(n.vm for n in nodes if n.alive and not n.leaving)]

    def _alive_share(self) -> float:
        """Return the share of the fleet's VMs that this node believes to be alive."""
        alive = 1 + sum(node.alive for node in self._view.nodes.copy().values())
        return min(1.0, alive / max(1, self._view.fleet.size))


def _batches(rows: Sequence[_Row]) -> Iterator[list[_Row]]:
    """Split rows so that each batch fits into a datagram."""
    batch: list[_Row] = []
    size = 0
    for row in rows:
        row_bytes = ROW_BYTES + sum(len(one.encode()) for one in row if isinstance(one, str))
        size += row_bytes
        if batch and size > MAX_ROWS_BYTES:
            yield batch
            batch, size = [], row_bytes
        batch.append(row)
    if batch:
        yield batch

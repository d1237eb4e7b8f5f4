"""Keeps customers' quotas with the other nodes: what is told, to whom, and when."""

import logging
import threading
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple, TypeVar

from roadpass import clock
from roadpass._actor import Actor
from roadpass._ticker import Ticker
from roadpass.customer import Customer
from roadpass.decision import decided
from roadpass.quota import Allowance, Limit, QuotaPolicy, Report
from roadpass.quota_gate import QuotaGate
from roadpass.quota_ledger import QuotaLedger
from roadpass.view import View

TICK_S = 0.1
"""Seconds between looks at what other nodes should hear: a sudden crowd is told at once."""
MAX_ROWS_BYTES = 500
"""Bytes of rows in one datagram: they leave room for what every datagram tells."""
ROW_BYTES = 30
"""Bytes of a row without the customer's name."""

_log = logging.getLogger("roadpass.quota")
_Row = TypeVar("_Row", Report, Allowance)


class QuotaMessage(NamedTuple):
    """What one node tells another of customers' quotas."""

    vm: str
    reports: tuple[Report, ...] = ()
    allowances: tuple[Allowance, ...] = ()


class Tick(NamedTuple):
    """Time passes."""


class Quotas:
    """What the threads of one ingress ask before they take a customer's request.

    Args:
        epoch: Of this process; higher than that of an earlier one.
        terms: How exactly limits are to be kept.
    """

    def __init__(self, epoch: int = 1, terms: QuotaPolicy = QuotaPolicy()) -> None:  # noqa: B008
        self._terms = terms
        self._gate = QuotaGate(epoch)
        self._lock = threading.Lock()

    def set_policy(self, terms: QuotaPolicy) -> None:
        """Put other terms in force."""
        self._terms = terms

    def limit_of(self, customer: Customer) -> Limit:
        """Return the limit from which on a customer is refused."""
        return self._terms.limit(customer.rate_per_s, customer.burst)

    def quota_wait_s(self, now: float, customer: Customer | None, fleet_size: int) -> float:
        """Return the seconds after which a request has room, 0 if it is admitted.

        Args:
            now: Clock seconds.
            customer: Whose it is; nobody's is admitted, and one without a limit.
            fleet_size: VMs that share the limit.
        """
        if customer is None or customer.rate_per_s <= 0.0:
            return 0.0
        limit = self.limit_of(customer)
        with self._lock:
            return self._gate.admit(now, customer.name, limit, fleet_size)

    def refund(self, customer: Customer | None) -> None:
        """Note that an admitted request has not run after all."""
        if customer is not None and customer.rate_per_s > 0.0:
            with self._lock:
                self._gate.refund(customer.name)

    def receive(self, now: float, owner: str, allowances: Sequence[Allowance]) -> None:
        """Take an owner's words."""
        with self._lock:
            for allowance in allowances:
                self._gate.receive(now, owner, allowance)

    def due(self, now: float, nodes: Sequence[str]) -> dict[str, list[Report]]:
        """Return the reports that are due, by the node to tell."""
        with self._lock:
            return self._gate.due(now, nodes)


class QuotaCoordinator(Actor):
    """Owns what this node counts of the customers that it owns, and tells what is to be told.

    Args:
        quotas: Of the own ingress.
        view: Tells the customers' limits and the nodes.
        send: Tells another node; it must not block.
    """

    def __init__(self, quotas: Quotas, view: View, send: Callable[[QuotaMessage], None]) -> None:
        super().__init__()
        self._quotas = quotas
        self._view = view
        self._send = send
        self._ledger = QuotaLedger()
        self._limited: set[str] = set()
        self._tick_queued = False
        self._ticker = Ticker("quota-tick", TICK_S, self._queue_tick)

    def on_start(self) -> None:
        """Begin to look."""
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop to look."""
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
            case _:
                _log.error("unknown message %r", message)

    def _queue_tick(self) -> None:
        if not self._tick_queued:
            self._tick_queued = True
            self.actor_ref.tell(Tick())

    def _on_tick(self) -> None:
        if not self._view.fleet.customers:
            return
        now = clock.now()
        self._ledger.expire_idle(now)
        for owner, reports in self._quotas.due(now, self._owners()).items():
            if owner == self._view.vm:
                self._reply(owner, reports)
                continue
            for rows in _batches(reports):
                self._send(QuotaMessage(owner, reports=tuple(rows)))

    def _reply(self, vm: str, reports: Sequence[Report]) -> None:
        """Count what an ingress tells, and tell it what it may admit."""
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
        """Log that a customer has come over its limit, or is below it again."""
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
        """Return the nodes among which the customers are divided."""
        nodes = self._view.nodes.copy().values()
        return [self._view.vm, *(n.vm for n in nodes if n.alive and not n.leaving)]

    def _alive_share(self) -> float:
        """Return the share of the fleet's VMs that this node believes to live."""
        alive = 1 + sum(node.alive for node in self._view.nodes.copy().values())
        return min(1.0, alive / max(1, self._view.fleet.size))


def _batches(rows: Sequence[_Row]) -> Iterator[list[_Row]]:
    """Divide rows so that each part fits into a datagram."""
    batch: list[_Row] = []
    size = 0
    for row in rows:
        size += ROW_BYTES + len(row.customer)
        if batch and size > MAX_ROWS_BYTES:
            yield batch
            batch, size = [], ROW_BYTES + len(row.customer)
        batch.append(row)
    if batch:
        yield batch

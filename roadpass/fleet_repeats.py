"""A node's part in the fleet-wide limit on repeats: its accounts, their loans, and its knowledge.

An account belongs to the sidecar and a service, so it outlives the targets, which are replaced when
they restart. While `Sharing.fleet_repeats` is off, nothing here decides or sends anything.
"""

import math
import random
import threading
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from roadpass.decision import decided
from roadpass.fleet import Fleet, Service
from roadpass.message import Attempt
from roadpass.repeat_account import RepeatAccount
from roadpass.repeat_loans import LENDER_HOLD_S, RETURN_S, Kind, LoanBook, LoanMessage, LoanRow
from roadpass.retry import ROUNDING
from roadpass.slack_share import SlackShare
from roadpass.spare_table import MIN_LOAN, SpareTable

CALL_RESERVE = 0.35
"""Repeats reserved for each call that a target makes while its ingress does not mark the calls of
repeats: more than the share of calls that repeats make while the called service sheds load."""
WANTED_S = 2.0
"""Seconds after an account was short in which its service's accounts announce what they have."""
REFRESH_S = 1.0
"""Seconds after which an unchanged announcement is sent again."""
SPARE_NEAR = 3
SPARE_FAR = 1
"""Nodes of the own and of other data halls that get an announcement; the next one goes to others.
Bytes between data halls are expensive."""
MAX_REQUESTS = 2
"""Requests for loans of one account between two ticks. The next may follow a grant at once; without
a limit, accounts that all have too little would ask each other without end."""
MILLI = 1000.0
"""Repeats are sent in steps of a thousandth."""


class Neighbours(NamedTuple):
    """VMs of the other nodes that are alive, in the own data hall and in others."""

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()


class _Held(NamedTuple):
    account: RepeatAccount
    slack: SlackShare


class FleetRepeats:
    """The accounts of one sidecar, and what its node knows of the others; thread-safe.

    Args:
        vm: Name of this VM.
        incarnation: Number of this process in milliseconds, higher than that of earlier ones.
        rng: Source of randomness.
    """

    def __init__(self, vm: str, incarnation: int, rng: random.Random) -> None:
        self._vm = vm
        self._rng = rng
        self._book = LoanBook(incarnation, rng)
        self._spares = SpareTable()
        self._held: dict[str, _Held] = {}
        self._services: dict[str, Service] = {}
        self._vms: dict[str, set[str]] = {}
        self._addresses: dict[str, set[str]] = {}
        self._wanted_at: dict[str, float] = {}
        self._announced: dict[str, tuple[float, float]] = {}
        self._known: set[str] = set()
        self._asked: dict[str, int] = {}
        self._confirmed_at = -math.inf
        self._on = False
        self._lock = threading.Lock()

    @property
    def on(self) -> bool:
        """Whether the fleet's sidecars lend each other repeats."""
        return self._on

    def configure(self, now: float, fleet: Fleet) -> None:
        """Apply a fleet.

        Args:
            now: Clock seconds.
            fleet: The fleet in force.
        """
        with self._lock:
            self._on = fleet.sharing.fleet_repeats
            if not self._on:
                self._held.clear()
                return
            self._services = dict(fleet.services)
            self._vms = {name: {t.vm for t in fleet.targets_of(name)} for name in fleet.services}
            self._addresses = {}
            for target in fleet.targets.values():
                host = target.address.rpartition(":")[0]
                self._addresses.setdefault(target.vm, {target.vm}).add(host)
            for name, vms in self._vms.items():
                self._configure_account(now, self._services[name], vms)

    def _configure_account(self, now: float, service: Service, vms: set[str]) -> None:
        held = self._held.get(service.name)
        if held is None:
            account = RepeatAccount(service.fleet_ratio, window_s=service.retry_window_s)
            held = self._held[service.name] = _Held(account, SlackShare(self._vm))
        held.account.configure(service.fleet_ratio, window_s=service.retry_window_s)
        held.slack.record(now, vms)

    def confirm(self, at: float) -> None:
        """Record that the targets of the fleet were confirmed, at a time in clock seconds."""
        with self._lock:
            self._confirmed_at = max(self._confirmed_at, at)

    def has_repeat_left(self, now: float, service: str, traffic_class: str) -> bool:
        """Return whether a repeat may arrive here now; if not, the account counts as short.

        Args:
            now: Clock seconds.
            service: Service of the target.
            traffic_class: Class of the repeat.
        """
        with self._lock:
            held = self._held.get(service)
            if held is None:
                return False
            urgent = self._is_urgent(service, traffic_class)
            available = held.account.available(now, self._slack(now, service), urgent=urgent)
            if available + ROUNDING >= 1.0:
                return True
            self._record_short(now, service)
        decided("repeats", "refused", service=service, left=round(available, 3), urgent=urgent)
        return False

    def take(self, now: float, service: str, traffic_class: str) -> bool:
        """Take a repeat that arrives now; return `False` if there is none.

        Args:
            now: Clock seconds.
            service: Service of the target.
            traffic_class: Class of the repeat.
        """
        with self._lock:
            held = self._held.get(service)
            if held is None:
                return False
            urgent = self._is_urgent(service, traffic_class)
            slack = self._slack(now, service)
            taken = held.account.take(now, slack, urgent=urgent)
            if not taken:
                self._record_short(now, service)
        decided("repeats", "taken" if taken else "refused", service=service, slack=round(slack, 3))
        return taken

    def record_first(self, now: float, service: str, attempt: Attempt) -> None:
        """Count the first arrival of a request.

        For a call that may have been made by a repeat, repeats are reserved.

        Args:
            now: Clock seconds.
            service: Service of the target.
            attempt: The attempt, which is no repeat.
        """
        with self._lock:
            held = self._held.get(service)
            if held is not None:
                reserved = CALL_RESERVE if self._is_unmarked_call(attempt) else 0.0
                held.account.record_first(now, reserved=reserved)

    def record_refusal(self, now: float, service: str, vm: str) -> None:
        """Record that a sidecar replied to this ingress that it has no repeat left."""
        with self._lock:
            self._spares.record_refusal(now, service, vm)

    def spent(self, now: float, service: str, vms: Collection[str]) -> set[str]:
        """Return the VMs whose accounts are known to have no repeat left."""
        with self._lock:
            return self._spares.spent(now, service, vms)

    def with_repeats(self, now: float, service: str, vms: Collection[str]) -> set[str]:
        """Return the VMs whose accounts are known to have a repeat left."""
        with self._lock:
            return self._spares.with_repeats(now, service, vms)

    def tick(self, now: float, neighbours: Neighbours) -> list[LoanMessage]:
        """Return the messages that are due; called regularly.

        Args:
            now: Clock seconds.
            neighbours: The other nodes.
        """
        with self._lock:
            if not self._on:
                return []
            self._book.expire(now)
            self._spares.forget_old(now)
            self._asked.clear()
            self._known = {*neighbours.near, *neighbours.far}
            messages = [m for name in self._held for m in self._return_loans(now, name)]
            for name in self._book.short(now):
                messages += self._borrow(now, name, self._known)
            rows = [row for name in self._wanted(now) for row in self._announcement(now, name)]
            if rows:
                messages += [LoanMessage(vm, tuple(rows)) for vm in self._listeners(neighbours)]
            return messages

    def receive(self, now: float, message: LoanMessage) -> list[LoanMessage]:
        """Handle the rows of another node, and return the replies.

        Args:
            now: Clock seconds.
            message: What the node sent.
        """
        replies: list[LoanRow] = []
        requests: list[LoanMessage] = []
        with self._lock:
            if not self._on:
                return []
            for row in message.rows:
                match row.kind:
                    case Kind.SPARE:
                        self._spares.hear(now, row.service, message.vm, row.repeats)
                        if row.number:
                            self._book.refused(message.vm, row.service)
                    case Kind.GRANT:
                        requests += self._accept(now, message.vm, row)
                    case Kind.REQUEST if self._book.is_new_request(now, message.vm, row.number):
                        replies += self._lend(now, message.vm, row)
        return [LoanMessage(message.vm, tuple(replies)), *requests] if replies else requests

    def gauge(self, read: Callable[[RepeatAccount], float]) -> dict[str, float]:
        """Return a figure of each service's account."""
        with self._lock:
            return {name: round(read(held.account), 3) for name, held in self._held.items()}

    def left(self, now: float) -> dict[str, float]:
        """Return the repeats left of each service's account."""
        with self._lock:
            return {
                name: round(held.account.left(now, self._slack(now, name)), 3)
                for name, held in self._held.items()
            }

    def _record_short(self, now: float, service: str) -> None:
        """Record that a repeat was wanted and not left; called with the lock held."""
        self._book.record_short(now, service)
        self._wanted_at[service] = now

    def _slack(self, now: float, service: str) -> float:
        held = self._held[service]
        share = held.slack.share(now, held.account.window_s, self._confirmed_at)
        return share * self._services[service].fleet_slack if share else 0.0

    def _is_urgent(self, service: str, traffic_class: str) -> bool:
        return self._services[service].classes[0].name == traffic_class

    def _has_classes(self, service: str) -> bool:
        """Return whether there are less urgent classes, for which a share is not to be used."""
        return len(self._services[service].classes) > 1

    def _is_unmarked_call(self, attempt: Attempt) -> bool:
        """Return whether a target may have sent a request, and its ingress would not say so."""
        if attempt.parent_repeat is not None:
            return False
        return attempt.caller in self._addresses.get(attempt.ingress, ())

    def _borrow(self, now: float, service: str, known: set[str]) -> Iterable[LoanMessage]:
        """Return the request of an account that is short, for what it lacks of one repeat."""
        held = self._held.get(service)
        if held is None or self._asked.get(service, 0) >= MAX_REQUESTS:
            return
        urgent = not self._has_classes(service)
        available = held.account.available(now, self._slack(now, service), urgent=urgent)
        need = math.ceil((1.0 - available) * MILLI) / MILLI
        if need <= 0.0:
            self._book.end_shortage(service)
            return
        others = (self._vms.get(service, set()) & known) - {self._vm}
        message = self._book.request(now, service, need, others, self._spares)
        if message is not None:
            self._asked[service] = self._asked.get(service, 0) + 1
            decided("repeats", "loan-requested", service=service, lender=message.vm, repeats=need)
            yield message

    def _return_loans(self, now: float, service: str) -> list[LoanMessage]:
        """Return what is left of the loans that are about to expire."""
        loans = self._held[service].account.return_loans(now + RETURN_S)
        return [
            self._book.returned(loan, service, rounded)
            for loan in loans
            if (rounded := math.floor(loan.repeats * MILLI) / MILLI) > 0.0
        ]

    def _lend(self, now: float, vm: str, row: LoanRow) -> list[LoanRow]:
        """Debit a loan and return its grant, or what is left if that is too little."""
        held = self._held.get(row.service)
        self._wanted_at[row.service] = now
        if held is None:
            return [LoanRow(row.service, Kind.SPARE, row.number, 0.0)]
        slack, until = self._slack(now, row.service), now + LENDER_HOLD_S
        spare = self._spare(now, row.service)
        granted = min(spare, row.repeats)
        if row.service in self._book.short(now) and spare > 1.0 - row.repeats:
            granted = 0.0  # of two that are short, the one with more becomes whole
        if granted >= MIN_LOAN and held.account.lend(now, slack, granted, until=until):
            decided("repeats", "lent", service=row.service, to=vm, repeats=granted)
            grant = LoanRow(row.service, Kind.GRANT, row.number, granted)
            self._book.record_lent(vm, grant)
            return [grant]
        return [LoanRow(row.service, Kind.SPARE, row.number, spare)]

    def _accept(self, now: float, vm: str, row: LoanRow) -> list[LoanMessage]:
        """Credit a loan, or what is returned of one; return the next request, if one is due."""
        held = self._held.get(row.service)
        returned = self._book.take_back(vm, row)
        if returned is not None and held is not None:
            repeats, granted_at = returned
            held.account.credit_returned(repeats, until=granted_at + LENDER_HOLD_S)
            decided("repeats", "returned", service=row.service, borrower=vm, repeats=repeats)
            return []
        loan = self._book.accept(now, vm, row)
        if held is None or loan is None:
            return []
        held.account.borrow(loan)
        decided("repeats", "borrowed", service=row.service, lender=vm, repeats=row.repeats)
        return list(self._borrow(now, row.service, self._known))

    def _spare(self, now: float, service: str) -> float:
        """Return the repeats that could be lent, rounded down to what can be sent."""
        account, slack = self._held[service].account, self._slack(now, service)
        held_back = account.held_back(now, slack) if self._has_classes(service) else 0.0
        spare = account.spare(now, slack, until=now + LENDER_HOLD_S, held_back=held_back)
        return math.floor(spare * MILLI) / MILLI

    def _wanted(self, now: float) -> list[str]:
        """Return the services of which some account was short a moment ago."""
        for service in [s for s, at in self._wanted_at.items() if now - at > WANTED_S]:
            del self._wanted_at[service]
            self._announced.pop(service, None)
        return [s for s in self._wanted_at if self._vm in self._vms.get(s, ()) and s in self._held]

    def _announcement(self, now: float, service: str) -> list[LoanRow]:
        """Return the row that announces what an account has to spare, if it is due."""
        spare = self._spare(now, service)
        self._spares.hear(now, service, self._vm, spare)
        before, at = self._announced.get(service, (0.0, -math.inf))
        if (spare >= 1.0) is (before >= 1.0) and now - at < REFRESH_S:
            return []
        self._announced[service] = (spare, now)
        return [LoanRow(service, Kind.SPARE, 0, spare)]

    def _listeners(self, neighbours: Neighbours) -> list[str]:
        near = self._rng.sample(neighbours.near, min(SPARE_NEAR, len(neighbours.near)))
        return near + self._rng.sample(neighbours.far, min(SPARE_FAR, len(neighbours.far)))

"""Loans of repeats between the accounts of a service: who asks whom, and which grant counts.

A sidecar that is short asks one other account for what it lacks (`request`). That account debits
the loan and grants it (`grant`), or says what it has left (`spare`). A number names each loan. The
borrower counts the life of a loan from its request, the lender from its grant, which is later:
- a grant that is lost or late is debited but never used;
- a doubled grant is used once, as its number is then no longer awaited;
- a doubled request is granted once, as the lender remembers the numbers;
- numbers of a process are not used again by a later one, so it does not accept earlier grants.

What is left of a loan is returned before it expires: `grant` with the next, odd number, so that it
is not taken for a grant of the other node with the same number. The borrower gives it up first, and
the lender takes back each loan once, so a lost or doubled return creates no repeats either.

Holds state only: no sockets, threads or clocks.
"""

import random
from collections.abc import Collection
from enum import StrEnum
from typing import Any, NamedTuple

from roadpass.repeat_account import Loan
from roadpass.spare_table import SpareTable

LOAN_LIFE_S = 1.0
"""Seconds after its request in which a loan may be used: time for the exchange and for one more
repeat to arrive. An unused loan is lost, and a longer life delays the slack of new accounts."""
LENDER_HOLD_S = LOAN_LIFE_S + 0.1
"""Seconds after its grant in which the lender expects its use; more, as clocks differ in rate."""
RETURN_S = 0.25
"""Seconds before its end at which the rest of a loan is returned: two ticks and a round trip."""
REPLY_WAIT_S = 0.2
"""Seconds after a request without a reply in which no other account is asked."""
SHORT_S = 0.5
"""Seconds after a refused repeat in which an account counts as short."""
NUMBERS_PER_MS = 1000
"""Numbers of loans kept for each millisecond of the life of a process; far more than are used."""


class Kind(StrEnum):
    """What a row says."""

    SPARE = "spare"
    REQUEST = "request"
    GRANT = "grant"


class LoanRow(NamedTuple):
    """A row of the datagram field `loans`.

    Args:
        service: Service of the accounts.
        kind: What the row says.
        number: Number of the loan, 0 for `SPARE` that is no reply.
        repeats: Repeats that are left, requested or granted; fractions add up to whole ones.
    """

    service: str
    kind: str
    number: int
    repeats: float


class LoanMessage(NamedTuple):
    """Rows from or to one node; `vm` is the other node."""

    vm: str
    rows: tuple[LoanRow, ...]

    @classmethod
    def from_rows(cls, vm: str, rows: Collection[Any]) -> "LoanMessage":
        """Build a message from the checked rows of a datagram."""
        return cls(vm, tuple(LoanRow(*row) for row in rows))


class _Request(NamedTuple):
    service: str
    vm: str
    sent_at: float


class LoanBook:
    """The requests of one sidecar, and those that it has answered; not thread-safe.

    Args:
        incarnation: Number of this process in milliseconds, higher than that of earlier ones.
        rng: Source of randomness.
    """

    def __init__(self, incarnation: int, rng: random.Random) -> None:
        self._next = incarnation * NUMBERS_PER_MS  # even
        self._rng = rng
        self._short_at: dict[str, float] = {}
        self._requests: dict[int, _Request] = {}
        self._answered: dict[tuple[str, int], float] = {}
        self._lent: dict[tuple[str, int], LoanRow] = {}

    def record_short(self, now: float, service: str) -> None:
        """Record that an account lacked a repeat.

        Args:
            now: Clock seconds.
            service: Service of the account.
        """
        self._short_at[service] = now

    def short(self, now: float) -> list[str]:
        """Return the services whose accounts lacked a repeat a moment ago."""
        return [name for name, at in self._short_at.items() if now - at <= SHORT_S]

    def end_shortage(self, service: str) -> None:
        """Record that an account has a repeat again."""
        self._short_at.pop(service, None)

    def request(
        self, now: float, service: str, need: float, vms: Collection[str], spares: SpareTable
    ) -> LoanMessage | None:
        """Return a request for a loan, `None` while one is awaited or nobody is worth asking.

        Args:
            now: Clock seconds.
            service: Service of the account.
            need: Repeats that it lacks.
            vms: VMs with other accounts of the service.
            spares: What is known of those.
        """
        if any(
            one.service == service and now - one.sent_at < REPLY_WAIT_S
            for one in self._requests.values()
        ):
            return None
        lender = spares.choose_lender(now, service, vms, need, self._rng)
        if lender is None:
            return None
        self._next += 2
        self._requests[self._next] = _Request(service, lender, now)
        return LoanMessage(lender, (LoanRow(service, Kind.REQUEST, self._next, need),))

    def is_new_request(self, now: float, vm: str, number: int) -> bool:
        """Return whether a request has not been received before, and remember it."""
        if (vm, number) in self._answered:
            return False
        self._answered[vm, number] = now
        return True

    def accept(self, now: float, vm: str, row: LoanRow) -> Loan | None:
        """Return the loan of a grant, `None` if it is not awaited, or late.

        Args:
            now: Clock seconds.
            vm: VM that sent it.
            row: The grant.
        """
        request = self._requests.get(row.number)
        if request is None or (request.service, request.vm) != (row.service, vm):
            return None
        del self._requests[row.number]
        expires_at = request.sent_at + LOAN_LIFE_S
        return Loan(expires_at, row.number, vm, row.repeats) if now < expires_at else None

    def record_lent(self, vm: str, row: LoanRow) -> None:
        """Remember a loan that was granted to a VM, until it can no longer be returned."""
        self._lent[vm, row.number] = row

    def take_back(self, vm: str, row: LoanRow) -> tuple[float, float] | None:
        """Return what is left of a loan that its borrower has given up, and when it was granted.

        Args:
            vm: VM of the borrower.
            row: What it sent.

        Returns:
            The repeats, at most those lent, and clock seconds; `None` if there is no such loan.
        """
        key = (vm, row.number - 1)
        lent = self._lent.get(key)
        if lent is None or lent.service != row.service:
            return None
        del self._lent[key]
        return min(row.repeats, lent.repeats), self._answered[key]

    @staticmethod
    def returned(loan: Loan, service: str, repeats: float) -> LoanMessage:
        """Return the message that gives back what is left of a loan."""
        return LoanMessage(loan.lender, (LoanRow(service, Kind.GRANT, loan.number + 1, repeats),))

    def refused(self, vm: str, service: str) -> None:
        """Record that an account has nothing to lend, so that another one may be asked."""
        for number, one in list(self._requests.items()):
            if (one.service, one.vm) == (service, vm):
                del self._requests[number]

    def expire(self, now: float) -> None:
        """Forget requests whose loans could no longer be used; called regularly."""
        for number, one in list(self._requests.items()):
            if now - one.sent_at > LOAN_LIFE_S:
                del self._requests[number]
        for key, at in list(self._answered.items()):
            if now - at > 2.0 * LOAN_LIFE_S:
                del self._answered[key]
                self._lent.pop(key, None)
        for service in self._short_at.keys() - self.short(now):
            del self._short_at[service]

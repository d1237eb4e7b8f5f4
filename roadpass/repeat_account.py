"""Repeats that one sidecar may let arrive at the targets of one service.

The limit holds over the whole fleet and in every window. No node sees the whole fleet, so each
account keeps a limit of its own whose sum over all accounts is the limit of the fleet:

- The sum of the largest of several windows is more than the largest of the sums. So all accounts
  weigh the windows of the rule alike (`WEIGHTS`): a weighted mean is at most the largest.
- A repeat belongs to all windows that begin in the last window's length. An account checks every
  one of them, and counts only requests that have arrived.
- A loan debits the lender before it credits the borrower, in every window in which the borrower may
  use it. What the borrower uses of it is not debited again.

Holds state only: no sockets, threads or clocks.
"""

import itertools
import math
from collections import deque
from typing import NamedTuple

from roadpass.retry import ROUNDING

BUCKET_S = 0.05
"""Seconds of arrivals that are counted together. Partly covered buckets count for repeats and not
for requests, which costs 1 of 100 requests of a window of 10 s."""
LAG_S = 0.05
"""Seconds from the count of an attempt to its arrival at the target: many times what it takes on a
busy VM."""


class Weights(NamedTuple):
    """Weights of the windows of the rule, whose sum is 1.

    Args:
        before: The window before.
        straddling: The one that began half a window earlier.
        same: The same window; what has not arrived of it does not count.
    """

    before: float
    straddling: float
    same: float


WEIGHTS = Weights(before=0.25, straddling=0.5, same=0.25)
"""Half of the share of steady requests may be used at once, and all of it within a window. Weight
on the earlier windows allows more at once, and weight on the same window more while the load rises.
"""
HELD_BACK_SHARE = 0.1
"""Share of an account's allowance that only the most urgent class may use."""


class Loan(NamedTuple):
    """Borrowed repeats.

    Args:
        expires_at: Clock seconds until which they may be used.
        number: Number of the loan.
        lender: VM of the account that lent them.
        repeats: Repeats that are left of the loan, which may be a fraction.
    """

    expires_at: float
    number: int
    lender: str
    repeats: float


class _Series:
    """Amounts in buckets of time, the oldest first."""

    def __init__(self) -> None:
        self._rows: deque[tuple[int, float]] = deque()

    def add(self, bucket: int, amount: float) -> None:
        """Add an amount; it may belong to an earlier bucket than the latest."""
        later: list[tuple[int, float]] = []
        while self._rows and self._rows[-1][0] > bucket:
            later.append(self._rows.pop())
        if self._rows and self._rows[-1][0] == bucket:
            amount += self._rows.pop()[1]
        self._rows.append((bucket, amount))
        self._rows.extend(reversed(later))

    def forget(self, before: int) -> None:
        """Drop the buckets before one."""
        while self._rows and self._rows[0][0] < before:
            self._rows.popleft()

    def sums(self, begin: int, end: int) -> list[float]:
        """Return the running sums at the begin of each bucket from `begin` to `end`."""
        amounts = [0.0] * (end - begin)
        for bucket, amount in self._rows:
            if begin <= bucket < end:
                amounts[bucket - begin] += amount
        return list(itertools.accumulate(amounts, initial=0.0))


class RepeatAccount:
    """The repeats of one service at one sidecar; not thread-safe.

    Args:
        ratio: Repeats allowed for each request.
        window_s: Length in seconds of the window in which they are counted.

    Attributes:
        used: Repeats that arrived, since the start.
        lent: Repeats lent and not returned, since the start.
        borrowed: Repeats borrowed and not returned, since the start.
    """

    def __init__(self, ratio: float, *, window_s: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._firsts = _Series()
        self._debits = _Series()
        self._loans: list[Loan] = []
        self.used = 0.0
        self.lent = 0.0
        self.borrowed = 0.0

    @property
    def window_s(self) -> float:
        """Length of the window in seconds."""
        return self._window_s

    def configure(self, ratio: float, *, window_s: float) -> None:
        """Apply changed settings; what arrived before still counts."""
        self._ratio = ratio
        self._window_s = window_s

    def record_first(self, now: float, *, reserved: float = 0.0) -> None:
        """Count the first arrival of a request that is not known to be a repeat.

        Args:
            now: Clock seconds.
            reserved: Repeats that are not used, in case such requests are repeats.
        """
        if self._ratio > 0.0:
            self._firsts.add(_bucket(now), 1.0 - reserved / self._ratio)
        self._forget(now)

    def left(self, now: float, slack: float, *, until: float | None = None) -> float:
        """Return the repeats left of the account's own, less than 0 if its slack has shrunk.

        Args:
            now: Clock seconds.
            slack: Repeats allowed in each window beyond the share of the requests.
            until: Clock seconds at which a repeat that is debited now may arrive last.
        """
        first, last = self._checked(now, until)
        allowed = self._allowed(now, first, last)
        end = last + 1 + math.ceil(self._window_s / BUCKET_S)
        debits = self._debits.sums(first, end)
        total = debits[-1]
        return slack + min(
            of_requests - (total - debits[place]) for place, of_requests in enumerate(allowed)
        )

    def allowance(self, now: float, slack: float) -> float:
        """Return the repeats that are allowed in the window that ends now."""
        first = _bucket(now) - _whole(self._window_s)
        return slack + self._allowed(now, first, first)[0]

    def held_back(self, now: float, slack: float) -> float:
        """Return the repeats that are left for the most urgent class alone."""
        return HELD_BACK_SHARE * self.allowance(now, slack)

    def available(self, now: float, slack: float, *, urgent: bool) -> float:
        """Return the repeats that a class may use now, own and borrowed.

        Args:
            now: Clock seconds.
            slack: Repeats allowed in each window beyond the share of the requests.
            urgent: Whether it is the most urgent class.
        """
        kept = 0.0 if urgent else self.held_back(now, slack)
        return max(0.0, self.left(now, slack) - kept) + self._live_loans(now)

    def take(self, now: float, slack: float, *, urgent: bool) -> bool:
        """Take one repeat that arrives now; return `False` if there is none.

        Args:
            now: Clock seconds.
            slack: Repeats allowed in each window beyond the share of the requests.
            urgent: Whether it is of the most urgent class.
        """
        if self.available(now, slack, urgent=urgent) + ROUNDING < 1.0:
            return False
        due = self._use_loans(1.0)
        if due > 0.0:
            self._debits.add(_bucket(now + LAG_S), due)
        self.used += 1.0
        self._forget(now)
        return True

    def lend(self, now: float, slack: float, repeats: float, *, until: float) -> bool:
        """Debit a loan; return `False` if there is less left.

        Args:
            now: Clock seconds.
            slack: Repeats allowed in each window beyond the share of the requests.
            repeats: Repeats to lend.
            until: Clock seconds at which the borrower may use it last.
        """
        if self.spare(now, slack, until=until) + ROUNDING < repeats:
            return False
        self._debits.add(_bucket(until + LAG_S), repeats)
        self.lent += repeats
        self._forget(now)
        return True

    def spare(self, now: float, slack: float, *, until: float, held_back: float = 0.0) -> float:
        """Return the repeats that could be lent, all but the share that is held back.

        Args:
            now: Clock seconds.
            slack: Repeats allowed in each window beyond the share of the requests.
            until: Clock seconds at which the borrower may use them last.
            held_back: Repeats that are left for the most urgent class here.
        """
        return max(0.0, self.left(now, slack, until=until) - held_back)

    def borrow(self, loan: Loan) -> None:
        """Credit a loan that another account has debited."""
        self._loans.append(loan)
        self.borrowed += loan.repeats

    def return_loans(self, expiring_by: float) -> list[Loan]:
        """Give up the loans that expire by a time, and return what is left of them."""
        expiring = [loan for loan in self._loans if loan.expires_at <= expiring_by]
        self._loans = [loan for loan in self._loans if loan.expires_at > expiring_by]
        self.borrowed -= sum(loan.repeats for loan in expiring)
        return expiring

    def credit_returned(self, repeats: float, *, until: float) -> None:
        """Take back the debit of a loan, as far as the borrower has given it up.

        Args:
            repeats: Repeats that were not used.
            until: Clock seconds until which the loan was debited.
        """
        self._debits.add(_bucket(until + LAG_S), -repeats)
        self.lent -= repeats

    def _live_loans(self, now: float) -> float:
        self._loans = [loan for loan in self._loans if loan.expires_at > now]
        return sum(loan.repeats for loan in self._loans)

    def _use_loans(self, due: float) -> float:
        """Use loans, the first to expire first; return what is due beyond them."""
        rest: list[Loan] = []
        for loan in sorted(self._loans):
            used = min(due, loan.repeats)
            due -= used
            if loan.repeats > used:
                rest.append(loan._replace(repeats=loan.repeats - used))
        self._loans = rest
        return due if due > ROUNDING else 0.0

    def _checked(self, now: float, until: float | None) -> tuple[int, int]:
        """Return the first and last bucket in which a window to be checked may begin."""
        first = _bucket(now) - math.ceil(self._window_s / BUCKET_S)
        return first, _bucket((now if until is None else until) + LAG_S)

    def _allowed(self, now: float, first: int, last: int) -> list[float]:
        """Return the repeats that the requests allow in windows that begin in some buckets.

        A window may begin anywhere in its bucket, so buckets at both ends of the earlier windows
        count only if they are covered wherever it begins, and whatever the lag.
        """
        whole, half, count = _whole(self._window_s), _whole(self._window_s / 2.0), last - first + 1
        if half < 2:
            return [0.0] * count
        sums = self._firsts.sums(first - whole, last + whole)
        spans = (  # first bucket that counts and the one after the last, for the first window
            (WEIGHTS.before, 1, whole - 1),
            (WEIGHTS.straddling, whole - half + 1, whole + half - 1),
            (WEIGHTS.same, whole + 1, 2 * whole - 1),
        )
        allowed = [0.0] * count
        for weight, begin, end in spans:
            per_first = self._ratio * weight
            counted = zip(allowed, sums[begin:], sums[end:], strict=False)
            allowed = [sum_ + per_first * (late - early) for sum_, early, late in counted]
        return allowed

    def _forget(self, now: float) -> None:
        kept = math.ceil(self._window_s / BUCKET_S)
        self._firsts.forget(_bucket(now) - 2 * kept - 2)
        self._debits.forget(_bucket(now) - kept - 1)


def _bucket(at: float) -> int:
    return math.floor(at / BUCKET_S)


def _whole(seconds: float) -> int:
    """Return the number of whole buckets in a time."""
    return math.floor(seconds / BUCKET_S + ROUNDING)

"""The limit of one account of repeats, and the part of the slack that it has."""

import math

from hypothesis import given
from hypothesis import strategies as st

from roadpass.repeat_account import BUCKET_S, LAG_S, WEIGHTS, Loan, RepeatAccount
from roadpass.slack_share import MARGIN_S, STALE_S, SlackShare
from tests.crowd_repeats import largest_excess

WINDOW_S = 10.0
RATIO = 0.2
SLACK = 3.0


class NaiveAccount:
    """The same limit from the times of all arrivals, without buckets."""

    def __init__(self) -> None:
        self.firsts: list[float] = []
        self.repeats: list[float] = []

    def left(self, now: float) -> float:
        """Return the repeats left in the windows that begin at any time that makes a difference."""
        edges = {now - WINDOW_S, now}
        for at in (*self.firsts, *self.repeats):
            for shift in (0.0, WINDOW_S / 2.0, WINDOW_S, -WINDOW_S / 2.0):
                edges |= {at + shift - 1e-9, at + shift, at + shift + 1e-9}
        return min(self._left_in(begin) for begin in edges if now - WINDOW_S <= begin <= now)

    def _left_in(self, begin: float) -> float:
        def count(times: list[float], since: float) -> int:
            return sum(since <= at < since + WINDOW_S for at in times)

        counted = (
            WEIGHTS.before * count(self.firsts, begin - WINDOW_S)
            + WEIGHTS.straddling * count(self.firsts, begin - WINDOW_S / 2.0)
            + WEIGHTS.same * count(self.firsts, begin)
        )
        return SLACK + RATIO * counted - count(self.repeats, begin)


@given(st.lists(st.tuples(st.floats(0.0, 2.0), st.booleans()), max_size=80))
def test_an_account_never_allows_more_than_its_naive_twin_and_no_window_has_too_many(
    steps: list[tuple[float, bool]],
) -> None:
    """Counting in buckets must not create repeats at the edges of the windows."""
    account, naive, now = RepeatAccount(RATIO, window_s=WINDOW_S), NaiveAccount(), 100.0
    for wait_s, repeat in steps:
        now += wait_s
        assert account.left(now, SLACK) <= naive.left(now) + 1e-6
        if not repeat:
            account.record_first(now)
            naive.firsts.append(now)
        elif account.take(now, SLACK, urgent=True):
            naive.repeats.append(now)
    excess = largest_excess(
        naive.repeats, naive.firsts, ratio=RATIO, slack=SLACK, window_s=WINDOW_S
    )
    assert excess <= 1e-6


def test_steady_requests_allow_nearly_all_of_their_share() -> None:
    """The buckets at the edges of the windows must not cost more than 2 of 100 repeats."""
    account = RepeatAccount(RATIO, window_s=WINDOW_S)
    for number in range(4000):
        account.record_first(100.0 + 0.01 * number)
    used = 0
    for number in range(1000):
        now = 140.0 + 0.01 * number
        account.record_first(now)
        used += account.take(now, 0.0, urgent=True)
    assert 0.98 * RATIO * 1000 <= used <= RATIO * 1000


def test_two_accounts_with_their_requests_in_different_windows_do_not_add_up() -> None:
    """The sum of each account's best window was up to twice the best window of the service.

    One account has its requests early, the other late; each may use its repeats within one window.
    """
    early, late = (RepeatAccount(RATIO, window_s=WINDOW_S) for _ in range(2))
    firsts, repeats = [], []
    for number in range(400):
        now = 100.0 + 0.05 * number
        account = early if now < 110.0 else late
        for _ in range(5):
            account.record_first(now)
            firsts.append(now)
        repeats += [now for one in (early, late) if one.take(now, 0.0, urgent=True)]
    assert repeats
    assert largest_excess(repeats, firsts, ratio=RATIO, slack=0.0, window_s=WINDOW_S) <= 1e-6


def test_a_loan_is_debited_until_its_last_use_may_have_left_the_window() -> None:
    """A loan that the borrower uses late must not be free again at the lender before."""
    lender = RepeatAccount(RATIO, window_s=WINDOW_S)
    assert lender.lend(100.0, SLACK, 2.0, until=101.0)
    used_at = 101.0 + LAG_S
    for now in (100.0, 105.0, 110.5, used_at + WINDOW_S - BUCKET_S):
        assert lender.left(now, SLACK) == SLACK - 2.0
    assert math.isclose(lender.left(used_at + WINDOW_S + 2 * BUCKET_S, SLACK), SLACK)


def test_more_is_never_lent_than_is_left() -> None:
    """Two borrowers that ask at once must not both get the last repeat."""
    lender = RepeatAccount(RATIO, window_s=WINDOW_S)
    assert lender.lend(100.0, 1.5, 1.0, until=101.0)
    assert not lender.lend(100.0, 1.5, 1.0, until=101.0)
    assert lender.lend(100.0, 1.5, 0.5, until=101.0)


def test_fractions_of_loans_and_of_the_own_allowance_add_up_to_a_repeat() -> None:
    """With whole repeats only, sixteen accounts left half a repeat each unused."""
    borrower = RepeatAccount(RATIO, window_s=WINDOW_S)
    assert not borrower.take(100.0, 0.4, urgent=True)
    borrower.borrow(Loan(101.0, 2, "vm-2", 0.6))
    assert borrower.take(100.5, 0.4, urgent=True)
    assert borrower.left(100.5, 0.4) < 0.01
    assert not borrower.take(100.5, 0.4, urgent=True)


def test_an_expired_or_returned_loan_is_not_used() -> None:
    """The lender has the repeats back after its hold, so both would use them."""
    borrower = RepeatAccount(RATIO, window_s=WINDOW_S)
    borrower.borrow(Loan(101.0, 2, "vm-2", 1.0))
    assert not borrower.take(101.0, 0.0, urgent=True)
    borrower.borrow(Loan(103.0, 4, "vm-2", 1.0))
    assert [loan.number for loan in borrower.return_loans(103.0)] == [4]
    assert not borrower.take(102.0, 0.0, urgent=True)


def test_the_last_repeats_are_held_back_for_the_most_urgent_class() -> None:
    """While little is left, less urgent requests must not use what urgent ones would need."""
    account = RepeatAccount(RATIO, window_s=WINDOW_S)
    taken = 0
    while account.take(100.0, 20.0, urgent=False):
        taken += 1
    assert taken == 18
    assert account.take(100.0, 20.0, urgent=True)


def test_a_process_has_no_slack_until_a_window_has_passed() -> None:
    """The process before it may have used its part in that window."""
    share = SlackShare("vm-1")
    share.record(100.0, ["vm-1", "vm-2"])
    known_s = WINDOW_S + MARGIN_S
    assert share.share(100.0 + known_s - 0.1, WINDOW_S, math.inf) == 0.0
    assert share.share(100.0 + known_s + 0.1, WINDOW_S, math.inf) == 0.5


def test_a_vm_that_left_is_counted_for_another_window() -> None:
    """It may have used its part just before it left; the others must not have it yet."""
    share = SlackShare("vm-1")
    share.record(0.0, ["vm-1", "vm-2"])
    share.record(100.0, ["vm-1"])
    assert share.share(100.0 + WINDOW_S, WINDOW_S, math.inf) == 0.5
    assert share.share(100.1 + WINDOW_S + MARGIN_S, WINDOW_S, math.inf) == 1.0


def test_a_node_that_cannot_confirm_the_targets_has_no_slack() -> None:
    """In a partition into halves, each half would have all of the slack once entries lapse."""
    share = SlackShare("vm-1")
    share.record(0.0, ["vm-1", "vm-2"])
    assert share.share(100.0, WINDOW_S, 100.0 - STALE_S) == 0.5
    assert share.share(100.0, WINDOW_S, 99.9 - STALE_S) == 0.0


def test_a_vm_whose_target_was_gone_waits_again_for_its_slack() -> None:
    """The others stop counting it a window after it was gone."""
    share = SlackShare("vm-1")
    share.record(0.0, ["vm-1"])
    share.record(100.0, ["vm-2"])
    share.record(101.0, ["vm-1", "vm-2"])
    assert share.share(105.0, WINDOW_S, math.inf) == 0.0
    assert share.share(101.1 + WINDOW_S + MARGIN_S, WINDOW_S, math.inf) == 0.5

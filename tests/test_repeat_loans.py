"""Loans of repeats: each message that is lost, doubled or late, and who is asked."""

import random
from typing import Any

import pytest

from roadpass.message import check_gossip
from roadpass.repeat_loans import (
    LOAN_LIFE_S,
    RETURN_S,
    Kind,
    LoanBook,
    LoanMessage,
    LoanRow,
)
from roadpass.spare_table import SPARE_S, SPENT_S, SpareTable

NOW = 100.0


def book(incarnation: int = 1) -> LoanBook:
    """Return a new book."""
    return LoanBook(incarnation, random.Random(1))


def requested(one: LoanBook, need: float = 0.5, now: float = NOW) -> LoanRow:
    """Let a book request a loan from the VM `lender`; return the request."""
    message = one.request(now, "s", need, ["lender"], SpareTable())
    assert message is not None
    assert message.vm == "lender"
    return message.rows[0]


def granted(request: LoanRow) -> LoanRow:
    """Return the grant of a request."""
    return request._replace(kind=Kind.GRANT)


def test_a_doubled_grant_is_used_once() -> None:
    """Otherwise a doubled datagram creates repeats that nobody debited."""
    one = book()
    grant = granted(requested(one))
    assert one.accept(NOW, "lender", grant) is not None
    assert one.accept(NOW, "lender", grant) is None


def test_a_late_grant_is_not_used() -> None:
    """The lender counts the life of the loan from its grant, which may have been long before."""
    one = book()
    assert one.accept(NOW + LOAN_LIFE_S, "lender", granted(requested(one))) is None


def test_a_grant_counts_from_its_request_on() -> None:
    """Counted from its arrival, a grant that was under way for long would outlive its debit."""
    one = book()
    loan = one.accept(NOW + 0.9 * LOAN_LIFE_S, "lender", granted(requested(one)))
    assert loan is not None
    assert loan.expires_at == NOW + LOAN_LIFE_S


@pytest.mark.parametrize(
    ("vm", "changed"), [("other", {}), ("lender", {"service": "t"}), ("lender", {"number": 7})]
)
def test_a_grant_that_was_not_requested_is_ignored(vm: str, changed: dict[str, Any]) -> None:
    """Of another VM, service or number."""
    one = book()
    assert one.accept(NOW, vm, granted(requested(one))._replace(**changed)) is None


def test_a_process_does_not_accept_grants_that_its_predecessor_requested() -> None:
    """They were debited for an earlier time, so its number must not be used again."""
    grant = granted(requested(book(incarnation=1_700_000_000_000)))
    later = book(incarnation=1_700_000_000_001)
    requested(later)
    assert later.accept(NOW, "lender", grant) is None


def test_a_doubled_request_is_answered_once() -> None:
    """The second grant would only be lost."""
    one = book()
    assert one.is_new_request(NOW, "borrower", 2)
    assert not one.is_new_request(NOW, "borrower", 2)
    assert one.is_new_request(NOW, "other", 2)


def test_what_is_returned_is_credited_once_and_is_at_most_what_was_lent() -> None:
    """A doubled return must not create repeats."""
    lender, borrower = book(), book()
    request = requested(borrower)
    assert lender.is_new_request(NOW, "borrower", request.number)
    lender.record_lent("borrower", granted(request))
    loan = borrower.accept(NOW, "lender", granted(request))
    assert loan is not None
    row = borrower.returned(loan, "s", 5.0).rows[0]
    assert lender.take_back("other", row) is None
    assert lender.take_back("borrower", row) == (0.5, NOW)
    assert lender.take_back("borrower", row) is None


def test_a_grant_is_not_taken_for_a_return() -> None:
    """Processes that start at once use the same numbers, and may ask each other.

    The lender would take back a loan that its borrower still uses.
    """
    one, other = book(), book()
    of_one, of_other = requested(one), requested(other)
    assert of_one.number == of_other.number
    assert one.is_new_request(NOW, "lender", of_other.number)
    one.record_lent("lender", granted(of_other))
    assert one.take_back("lender", granted(of_one)) is None
    assert one.accept(NOW, "lender", granted(of_one)) is not None


def test_nobody_is_asked_while_a_reply_is_awaited() -> None:
    """An account that is short must not flood the others."""
    one = book()
    requested(one)
    assert one.request(NOW + 0.1, "s", 0.5, ["lender"], SpareTable()) is None
    one.refused("lender", "s")
    assert one.request(NOW + 0.1, "s", 0.5, ["lender"], SpareTable()) is not None


def test_the_account_with_enough_to_lend_is_asked_first() -> None:
    """Then one with a part, then one that is not known, and never one known to have nothing."""
    spares, rng, vms = SpareTable(), random.Random(1), ["a", "b", "c"]
    spares.hear(NOW, "s", "a", 0.0)
    assert {spares.choose_lender(NOW, "s", vms, 0.5, rng) for _ in range(20)} == {"b", "c"}
    spares.hear(NOW, "s", "b", 0.2)
    assert spares.choose_lender(NOW, "s", vms, 0.5, rng) == "b"
    spares.hear(NOW, "s", "c", 2.0)
    assert spares.choose_lender(NOW, "s", vms, 0.5, rng) == "c"
    assert spares.choose_lender(NOW, "s", ["a"], 0.5, rng) is None


def test_what_an_ingress_learned_ends() -> None:
    """Accounts get new repeats all the time, so an old refusal or announcement means nothing."""
    spares = SpareTable()
    spares.hear(NOW, "s", "a", 2.0)
    spares.record_refusal(NOW, "s", "b")
    assert spares.with_repeats(NOW, "s", ["a", "b", "c"]) == {"a"}
    assert spares.spent(NOW, "s", ["a", "b", "c"]) == {"b"}
    assert spares.spent(NOW + SPENT_S + 0.01, "s", ["a", "b", "c"]) == set()
    assert spares.with_repeats(NOW + SPARE_S + 0.1, "s", ["a", "b", "c"]) == set()


def test_a_refusal_ends_an_earlier_announcement() -> None:
    """Otherwise all repeats would be led to an account that has just been used up."""
    spares = SpareTable()
    spares.hear(NOW, "s", "a", 2.0)
    spares.record_refusal(NOW + 0.1, "s", "a")
    assert spares.with_repeats(NOW + 0.1, "s", ["a"]) == set()
    spares.hear(NOW + 0.2, "s", "a", 2.0)
    assert spares.with_repeats(NOW + 0.2, "s", ["a"]) == {"a"}


def test_rows_pass_the_schema_check() -> None:
    """With fractions of repeats, and numbers as large as a process of today uses."""
    rows = [requested(book(1_800_000_000_000)), LoanRow("s", Kind.SPARE, 0, 1.25)]
    fields = {"t": "announce", "sender": "v", "n": 0, "news": [], "revision": 0, "digest": ""}
    checked = check_gossip({**fields, "loans": [list(row) for row in rows]})
    assert LoanMessage.from_rows("v", checked["loans"]).rows == tuple(rows)


def test_a_return_arrives_before_the_loan_has_expired() -> None:
    """There must be time for two ticks of 0.1 s, or unused loans are lost."""
    assert 0.2 < RETURN_S < LOAN_LIFE_S / 2.0

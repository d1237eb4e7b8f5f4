"""What a node knows that targets have stated, and which of several statements counts."""

import math

import pytest

from roadpass.message import check_gossip
from roadpass.notice_table import (
    MAX_ENTRIES,
    NO_LIMIT,
    ROWS,
    TRANSMISSIONS,
    WITHDRAWN_TTL_S,
    NoticeTable,
)
from roadpass.target_notice import TargetNotice

IGNORED = TargetNotice(limit_ignored=True, invalid=(("Limit", "x"),))


def test_a_later_response_without_a_limit_ends_it() -> None:
    """A change applies at once."""
    table = NoticeTable()
    table.hear(10.0, "t", TargetNotice(2.0), 9.0)
    table.hear(11.0, "t", TargetNotice(1.0), 9.5)
    assert table.rate_per_s("t") == 1.0
    table.hear(12.0, "t", TargetNotice(), 11.0)
    assert table.rate_per_s("t") is None


def test_a_response_that_was_overtaken_ends_no_limit() -> None:
    """Its request started before the limit was named, or at an unknown time."""
    table = NoticeTable()
    table.hear(10.0, "t", TargetNotice(2.0), 9.0)
    table.hear(11.0, "t", TargetNotice(), 9.9)
    table.hear(12.0, "t", TargetNotice(limit_ignored=True), 11.0)
    table.hear(13.0, "t", TargetNotice(), float("-inf"))
    assert table.rate_per_s("t") == 2.0


def test_leaving_is_final() -> None:
    """Responses that were begun before do not revoke it."""
    table = NoticeTable()
    table.hear(10.0, "t", TargetNotice(leaving=True), 9.0)
    table.hear(11.0, "t", TargetNotice(), 10.5)
    assert table.is_leaving("t")
    assert not table.is_leaving("u")


def test_each_change_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """The lines name the target, the limit and the request."""
    table = NoticeTable()
    with caplog.at_level("INFO", logger="roadpass.notice"):
        for _ in range(3):
            table.hear(10.0, "t", TargetNotice(2.0, leaving=True), 9.0, request="r1")
        for _ in range(3):
            table.hear(11.0, "t", IGNORED, 10.0, request="r2")
        table.hear(12.0, "t", TargetNotice(), 11.0, request="r3")
    lines = [(record.message, record.decision["request"]) for record in caplog.records]  # type: ignore[attr-defined]
    assert lines == [
        ("limit-named", "r1"),
        ("leaving-named", "r1"),
        ("ignored", "r2"),
        ("limit-ended", "r3"),
    ]


# Guards against a limit that comes back after its end, as peers that missed the end still tell it.
def test_own_responses_outweigh_statements_of_peers() -> None:
    """Even if these seem younger: all work passes this node, so they are older."""
    table = NoticeTable()
    table.hear(10.0, "t", TargetNotice(2.0), 9.0)
    table.hear(12.0, "t", TargetNotice(), 11.0)
    table.merge(12.5, "t", [2.0, False, 0.0], "ingress")
    assert table.rate_per_s("t") is None


# Guards against a node that forgets its target's limit when it is restarted.
def test_a_restarted_node_takes_the_latest_statement_of_its_peers() -> None:
    """Limits and ends come in any order; the ages that come with them decide."""
    table = NoticeTable()
    table.merge(100.0, "t", [2.0, False, 8.0], "ingress")
    assert table.rate_per_s("t") == 2.0
    table.merge(100.1, "t", [1.0, False, 9.0], "gossip")
    assert table.rate_per_s("t") == 2.0
    table.merge(100.2, "t", [NO_LIMIT, False, 3.0], "ingress")
    table.merge(100.3, "t", [2.0, False, 8.3], "ingress")
    assert table.rate_per_s("t") is None
    table.merge(100.4, "t", [0.5, False, 1.0], "gossip")
    assert table.rate_per_s("t") == 0.5


def test_the_first_own_response_ends_a_limit_that_peers_told() -> None:
    """Its request started after everything that the earlier process was told."""
    table = NoticeTable()
    table.merge(100.0, "t", [2.0, False, 0.0], "ingress")
    table.hear(100.2, "t", TargetNotice(), 99.9)
    assert table.rate_per_s("t") is None


def test_a_stray_response_does_not_end_a_limit_that_peers_told() -> None:
    """Nobody knows when its request started."""
    table = NoticeTable()
    table.merge(100.0, "t", [2.0, False, 0.0], "ingress")
    table.hear(100.2, "t", TargetNotice(), -math.inf)
    assert table.rate_per_s("t") == 2.0


def test_leaving_is_learnt_from_anybody() -> None:
    """Also by a node that has heard the target, and without any statement on a limit."""
    table = NoticeTable()
    table.hear(10.0, "t", TargetNotice(2.0), 9.0)
    table.merge(11.0, "t", [None, True, 0.0], "gossip")
    assert table.is_leaving("t")
    assert table.rate_per_s("t") == 2.0


@pytest.mark.parametrize(
    "row", [[math.nan, False, 0.0], [math.inf, False, 0.0], [1.0, False, math.nan]]
)
def test_values_that_are_no_numbers_are_ignored(row: list[object]) -> None:
    """A peer may run another build."""
    table = NoticeTable()
    table.merge(10.0, "t", row, "gossip")
    assert table.rate_per_s("t") is None


def test_a_statement_survives_a_short_withdrawal_of_its_target() -> None:
    """An entry that lapsed comes back under the same name; another incarnation has another one."""
    table = NoticeTable()
    table.configure(0.0, {"t@1"})
    table.hear(1.0, "t@1", TargetNotice(2.0, leaving=True), 0.5)
    table.configure(2.0, set())
    table.expire(2.0 + WITHDRAWN_TTL_S - 1.0)
    table.configure(10.0, {"t@1", "t@2"})
    assert table.is_leaving("t@1")
    assert not table.is_leaving("t@2")
    table.configure(20.0, {"t@2"})
    table.expire(20.0 + WITHDRAWN_TTL_S)
    assert table.size == 0


def test_the_limit_of_a_withdrawn_target_is_logged_when_it_expires(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Otherwise the log would show it as in force."""
    table = NoticeTable()
    table.merge(0.0, "t", [2.0, False, 0.0], "gossip")
    with caplog.at_level("INFO", logger="roadpass.notice"):
        table.expire(WITHDRAWN_TTL_S)
    assert [record.message for record in caplog.records] == ["limit-expired"]


def test_rows_carry_changes_first_and_what_is_in_force_for_nodes_that_start() -> None:
    """Their number is bounded, and they pass the check of datagrams."""
    table = NoticeTable()
    names = [f"t{number}" for number in range(3 * ROWS)]
    table.configure(0.0, names)
    for name in names:
        table.hear(1.0, name, TargetNotice(2.0), 0.5)
    sent = [row for _ in range(3 * TRANSMISSIONS) for row in table.rows(2.0)]
    assert {row[0] for row in sent} == set(names)
    assert all(len(table.rows(2.0)) <= ROWS for _ in range(9))
    table.hear(3.0, "t5", TargetNotice(), 2.5)
    assert table.rows(3.5)[0] == ["t5", NO_LIMIT, False, 0.5]
    head = {"t": "ping", "sender": "vm", "n": 1, "revision": 0, "digest": "", "news": []}
    check_gossip({**head, "notices": table.rows(4.0)})


def test_targets_that_are_not_configured_are_not_passed_on() -> None:
    """Else nodes would keep each other's statements on former targets alive."""
    table = NoticeTable()
    table.merge(0.0, "former", [2.0, True, 0.0], "gossip")
    assert table.rows(0.1) == []


def test_small_changes_of_a_limit_are_not_sent_again() -> None:
    """A target may name another limit in each response."""
    table = NoticeTable()
    changes: list[float] = []
    table.on_change = lambda: changes.append(table.rate_per_s("t") or 0.0)
    for rate_per_s in (10.0, 10.5, 11.0, 9.5, 20.0, 21.0, 3.0):
        table.hear(1.0, "t", TargetNotice(rate_per_s), 0.5)
    assert changes == [10.0, 20.0, 3.0]


def test_the_number_of_entries_is_bounded() -> None:
    """The targets that stated something least recently are dropped."""
    table = NoticeTable()
    for number in range(MAX_ENTRIES + 10):
        table.merge(float(number), f"t{number}", [1.0, False, 0.0], "gossip")
    assert table.size == MAX_ENTRIES
    assert table.rate_per_s("t0") is None
    assert table.rate_per_s(f"t{MAX_ENTRIES + 9}") == 1.0

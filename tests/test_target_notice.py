"""What responses state about their targets, and which of several responses counts."""

import pytest

from roadpass.dialect import OWN
from roadpass.notice_table import NoticeTable
from roadpass.platform.dialect import PLATFORM
from roadpass.target_notice import MAX_SHOWN, TargetNotice, read_notice

LIMIT, LEAVING = PLATFORM.limit, PLATFORM.leaving
IGNORED = TargetNotice(limit_ignored=True, invalid=((LIMIT, "x"),))


@pytest.mark.parametrize(
    ("values", "rate_per_s"),
    [
        ([], None),
        (["1.1"], 1.1),
        (["20"], 20.0),
        ([" .5 "], 0.5),
        (["0"], 0.0),
        (["2", "3"], 2.0),
        (["3, 2"], 2.0),
        (["1.1000000000000001"], 1.1),
    ],
)
def test_a_limit_is_a_decimal_number(values: list[str], rate_per_s: float | None) -> None:
    """The lowest of several limits counts."""
    notice = read_notice([(LIMIT.lower(), value) for value in values], PLATFORM)
    assert notice == TargetNotice(rate_per_s)


@pytest.mark.parametrize(
    "value",
    ["", "many", "-1", "+1", "nan", "inf", "1e300", "2,x", "0x2", "1.2.3", "9" * 8192, "٣", "."],
)
def test_an_invalid_limit_is_reported_and_ignored(value: str) -> None:
    """Its value is shortened for the log."""
    notice = read_notice([(LIMIT, value)], PLATFORM)
    assert notice == TargetNotice(limit_ignored=True, invalid=((LIMIT, value[:MAX_SHOWN]),))


@pytest.mark.parametrize(
    ("values", "notice"),
    [
        (["1"], TargetNotice(leaving=True)),
        (["0"], TargetNotice()),
        (["0", "1"], TargetNotice(leaving=True)),
        (["yes"], TargetNotice(invalid=((LEAVING, "yes"),))),
        (["1", "yes"], TargetNotice(leaving=True, invalid=((LEAVING, "1,yes"),))),
    ],
)
def test_a_leaving_target_sends_1(values: list[str], notice: TargetNotice) -> None:
    """Any other value than 0 is reported and ignored."""
    assert read_notice([(LEAVING, value) for value in values], PLATFORM) == notice


def test_a_dialect_without_names_reads_nothing() -> None:
    """The product's own dialect has no such headers."""
    assert read_notice([(LIMIT, "1"), (LEAVING, "1"), ("", "1")], OWN) == TargetNotice()


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

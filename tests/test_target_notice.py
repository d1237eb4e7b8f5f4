"""Headers in which targets state a limit, or that they leave; valid and invalid values."""

import pytest

from roadpass.dialect import OWN
from roadpass.platform.dialect import PLATFORM
from roadpass.target_notice import MAX_SHOWN, TargetNotice, read_notice

LIMIT, LEAVING = PLATFORM.limit, PLATFORM.leaving


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

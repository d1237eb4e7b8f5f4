"""What a target states about itself in its response headers: a rate limit, or that it leaves."""

import re
from typing import Any, NamedTuple

from roadpass.dialect import Dialect
from roadpass.outcome import Headers

MAX_SHOWN = 40
"""Characters of an invalid value that are logged."""
MAX_WARM_UP_MS = 86_400_000.0
"""Longest warm-up that is accepted, a day; no target takes that long, so more is an error."""

_LEAVING = "1"
_DECIMAL = re.compile(r"(?:[0-9]{1,9}(?:\.[0-9]{0,20})?|\.[0-9]{1,20})")


class TargetNotice(NamedTuple):
    """The statements of one response.

    Args:
        rate_per_s: Requests a second that the target accepts from the whole fleet, `None` if the
            response names no limit.
        leaving: Whether the target is shutting down.
        limit_ignored: Whether it names an invalid limit, which neither sets a limit nor ends one.
        invalid: Names and values of the headers that were ignored.
        warm_up_ms: Milliseconds for which the target is still cold, `None` if it does not say.
        warm_up_invalid: An invalid warm-up as it is logged, empty if there is none.
    """

    rate_per_s: float | None = None
    leaving: bool = False
    limit_ignored: bool = False
    invalid: tuple[tuple[str, str], ...] = ()
    warm_up_ms: float | None = None
    warm_up_invalid: str = ""


def valid_warm_up_ms(value: Any) -> bool:
    """Return whether a value is a remaining warm-up in milliseconds."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0.0 <= value <= MAX_WARM_UP_MS  # also false for NaN


def read_notice(headers: Headers, dialect: Dialect) -> TargetNotice:
    """Return the statements in the headers of a response.

    A repeated limit, or a list of limits, means the lowest of them, as the target accepts no more
    than that by any reading. A list with an invalid member is ignored.

    Args:
        headers: All headers of the response.
        dialect: Names of the headers.
    """
    limits = _members(headers, dialect.limit)
    leaving = _members(headers, dialect.leaving)
    invalid = []
    limit_ignored = not all(map(_DECIMAL.fullmatch, limits))
    if limit_ignored:
        invalid.append((dialect.limit, ",".join(limits)[:MAX_SHOWN]))
        limits = []
    if not set(leaving) <= {_LEAVING, "0"}:
        invalid.append((dialect.leaving, ",".join(leaving)[:MAX_SHOWN]))
    rate_per_s = min(map(float, limits), default=None)
    warm_up_ms, warm_up_invalid = _read_warm_up(_members(headers, dialect.warm_up))
    return TargetNotice(
        rate_per_s,
        _LEAVING in leaving,
        limit_ignored,
        tuple(invalid),
        warm_up_ms,
        warm_up_invalid,
    )


def _read_warm_up(values: list[str]) -> tuple[float | None, str]:
    """Return the longest of the warm-ups named, or how they are shown if one of them is invalid."""
    valid = all(_DECIMAL.fullmatch(value) and valid_warm_up_ms(float(value)) for value in values)
    if not valid:
        return None, ",".join(values)[:MAX_SHOWN]
    return max(map(float, values), default=None), ""


def _members(headers: Headers, name: str) -> list[str]:
    """Return the members of all headers with a name, which may be lists."""
    if not name:
        return []
    values = [value for given, value in headers if given.lower() == name.lower()]
    return [member.strip() for value in values for member in value.split(",")]

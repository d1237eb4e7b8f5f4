"""A target's response: what is forwarded to the caller, and what it says about the target."""

import re
from typing import NamedTuple

from roadpass.dialect import Dialect
from roadpass.hop_by_hop import connection_tokens, end_to_end
from roadpass.outcome import Answered, Headers
from roadpass.target_connection import RawAnswer, values_of

MISDIRECTED = 421
"""Status of a target that is not the instance the request is for."""
_REPLACED_BY_OWN = frozenset(("date", "server"))
_LOAD = re.compile(r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*")


class TargetLoad(NamedTuple):
    """Load reported by a target: running and waiting requests, and its number of slots."""

    running: int
    waiting: int
    slots: int


class TargetAnswer(NamedTuple):
    """A complete response of a target.

    Args:
        answer: The part that is forwarded to the caller.
        not_run: Whether the target states that it did not run the request.
        instance: The instance that responded, empty if not reported.
        load: The target's load, `None` if not reported.
    """

    answer: Answered
    not_run: bool
    instance: str
    load: TargetLoad | None


def read_answer(
    raw: RawAnswer, service_ms: float, dialect: Dialect, expected_instance: str
) -> TargetAnswer:
    """Return the parts of a complete response to a request for an instance."""
    instance_sent = bool(dialect.expected_instance and expected_instance)
    refused = bool(dialect.not_run and values_of(raw.headers, dialect.not_run))
    instances = values_of(raw.headers, dialect.instance) if dialect.instance else []
    return TargetAnswer(
        Answered(raw.status, _forwarded_headers(raw.headers, dialect), raw.body, service_ms),
        not_run=refused or (instance_sent and raw.status == MISDIRECTED),
        instance=instances[0] if instances else "",
        load=_load(raw.headers, dialect),
    )


def _load(headers: Headers, dialect: Dialect) -> TargetLoad | None:
    values = values_of(headers, dialect.load) if dialect.load else []
    match = _LOAD.fullmatch(values[0]) if len(values) == 1 else None
    return TargetLoad(*map(int, match.groups())) if match else None


def _forwarded_headers(headers: Headers, dialect: Dialect) -> Headers:
    """Return the response headers that are forwarded to the caller."""
    dropped = {dialect.load.lower(), dialect.instance.lower(), dialect.not_run.lower()}
    dropped |= {"content-length"} | connection_tokens(headers)
    prefix = dialect.own_prefix
    if prefix:
        dropped |= _REPLACED_BY_OWN
    forwarded = end_to_end(headers, dropped)
    return [(n, v) for n, v in forwarded if not (prefix and n.lower().startswith(prefix))]

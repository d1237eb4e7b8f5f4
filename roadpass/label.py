"""Matching of labels."""

from collections.abc import Mapping
from typing import TypeAlias

Labels: TypeAlias = Mapping[str, str]
Match: TypeAlias = Mapping[str, tuple[str, ...]]


def matches(match: Match, labels: Labels) -> bool:
    """Return whether labels have one of the wanted values for each key; `*` matches any value."""
    for key, wanted in match.items():
        value = labels.get(key)
        if value is None:
            return False
        if value not in wanted and "*" not in wanted:
            return False
    return True


def match_from_config(value: Mapping[str, str | list[str]]) -> Match:
    """Build a match from its configured form, in which a single value needs no list."""
    return {
        key: (wanted,) if isinstance(wanted, str) else tuple(wanted)
        for key, wanted in value.items()
    }

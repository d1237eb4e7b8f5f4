"""Labels and their matching."""

from collections.abc import Mapping
from typing import TypeAlias

Labels: TypeAlias = Mapping[str, str]
Match: TypeAlias = Mapping[str, tuple[str, ...]]


def matches(match: Match, labels: Labels) -> bool:
    """Tell whether labels meet a match: for each key, one of its values; `*` is any value."""
    for key, wanted in match.items():
        value = labels.get(key)
        if value is None:
            return False
        if value not in wanted and "*" not in wanted:
            return False
    return True


def match_from_config(value: Mapping[str, str | list[str]]) -> Match:
    """Build a match from its written form, where a single value may stand alone."""
    return {
        key: (wanted,) if isinstance(wanted, str) else tuple(wanted)
        for key, wanted in value.items()
    }

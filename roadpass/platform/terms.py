"""Translates the platform's terms of a deployment into the switches of this package."""

from collections.abc import Collection
from functools import reduce

from roadpass.sharing import OFF, Sharing

SWITCHES = {"pressure": OFF}
"""Switches that a term calls for. `pressure` (callers compete for too little room) calls for
none: it is open whether `room` stays within the processor time of a node in data halls of 20."""


def sharing_of(terms: Collection[str]) -> Sharing:
    """Return the switches that the terms in the settings call for."""
    return reduce(Sharing.union, (SWITCHES.get(term, OFF) for term in terms), OFF)

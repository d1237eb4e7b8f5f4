"""Translates the platform's terms of a deployment into the switches of this package."""

from collections.abc import Collection

from roadpass.sharing import OFF, UNDER_PRESSURE, Sharing

PRESSURE = "pressure"
"""Term of a deployment whose callers compete for too little room."""


def sharing_of(terms: Collection[str]) -> Sharing:
    """Return the switches that the terms in the settings call for."""
    return UNDER_PRESSURE if PRESSURE in terms else OFF

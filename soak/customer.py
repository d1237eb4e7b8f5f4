"""The soak's customers: permanent keys, one key per configuration version, and a rate limit."""

from typing import Any

CUSTOMERS = ("library", "school", "museum")
LIMITED, RATE_PER_S, BURST = "museum", 8.0, 8.0
"""The customer with a fleet-wide rate limit, its requests per second and its burst; the limit is
half of what its callers send."""
WINDOW_S, EXCESS_SHARE, EXCESS_REQUESTS = 5.0, 0.25, 20.0
"""Excess tolerated in every window: a share of the limit, and a number of requests."""
UNKNOWN_KEY = "never-held"
"""A key that no configuration contains."""


def permanent_key(customer: str) -> str:
    """Return the key that a customer has in all versions."""
    return f"kept-key-of-{customer}"


def rotating_key(version: int) -> str:
    """Return the key that only this version contains, for the customer `rotating_key_owner`."""
    return f"passing-key-{version}"


def rotating_key_owner(version: int) -> str:
    """Return the customer that has the rotating key of a version."""
    return CUSTOMERS[version % len(CUSTOMERS)]


def rows(version: int) -> list[list[Any]]:
    """Return the customers of a version: name, keys, requests per second, burst."""
    keys = {name: [permanent_key(name)] for name in CUSTOMERS}
    keys[rotating_key_owner(version)].append(rotating_key(version))
    limits = {LIMITED: (RATE_PER_S, BURST)}
    return [[name, owned, *limits.get(name, (0.0, 0.0))] for name, owned in keys.items()]

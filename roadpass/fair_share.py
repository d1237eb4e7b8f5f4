"""Max-min fair shares of a traffic class's slots among customers, over the whole fleet.

One node, the owner of a service's class, hears from each ingress how many requests of each customer
run and wait there (`Demand`) and replies with the slots that this ingress may use for the customer
(`Share`). Shares do not refuse anything: a request above its customer's share has the standing
`ABOVE_SHARE` and goes after the others of its class, so room that nobody else wants is lent.

The owner's accounting is in `share_ledger`, the decision at the ingress in `share_gate`. These
modules contain only the decisions, without sockets, threads or clocks.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

MAX_NAME_BYTES = 200
"""Longest name that rows may have, see the schema; a longer one is shared out at each ingress."""
UNBOUNDED_SLOTS = 1e6
"""Slots that mean no bound, because messages cannot hold an infinite number."""


class ShareKey(NamedTuple):
    """A traffic class of a service; its slots are shared."""

    service: str
    traffic_class: str

    @property
    def hashed(self) -> str:
        """Name by which its owner is chosen."""
        return f"{self.service}/{self.traffic_class}"

    @property
    def sendable(self) -> bool:
        """Whether its names fit into rows."""
        return is_sendable(self.service) and len(self.traffic_class.encode()) <= MAX_NAME_BYTES


class Demand(NamedTuple):
    """What one ingress has of one customer in one class.

    Args:
        running: Requests that hold a slot.
        waiting: Requests that wait for one.
    """

    service: str
    traffic_class: str
    customer: str
    running: int
    waiting: int

    @property
    def key(self) -> ShareKey:
        """The class."""
        return ShareKey(self.service, self.traffic_class)

    @property
    def total(self) -> int:
        """Slots that the customer could use now."""
        return self.running + self.waiting


class Share(NamedTuple):
    """Slots of one class that one ingress may use for one customer."""

    service: str
    traffic_class: str
    customer: str
    slots: float

    @property
    def key(self) -> ShareKey:
        """The class."""
        return ShareKey(self.service, self.traffic_class)


def is_sendable(name: str) -> bool:
    """Return whether a name fits into a row."""
    return 0 < len(name.encode()) <= MAX_NAME_BYTES


def fair_level(capacity: float, demands: Iterable[float]) -> float:
    """Return the largest share of anyone in a max-min fair division.

    Who demands less gets all of it; the others get this level each.

    Args:
        capacity: What there is to share.
        demands: What each one could use.

    Returns:
        The level; infinite if there is enough for all.
    """
    left = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return level
        left -= demand
    return math.inf


def max_min(capacity: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Divide a capacity among customers with max-min fairness.

    Args:
        capacity: What there is to share.
        demands: What each customer could use.
    """
    level = fair_level(capacity, demands.values())
    return {name: min(demand, level) for name, demand in demands.items()}


def part_of_ingress(level: float, mean: float, total: float, own: float) -> float:
    """Return the slots that one ingress may use for a customer.

    A customer above the level has its share divided by where its demand is; an ingress without any
    is told what its next request there would get. A customer below the level may use what it lacks
    to the level at any ingress: its next requests may come anywhere.

    Args:
        level: Largest share of any customer.
        mean: Average demand of the customer over all ingresses.
        total: Its demand over all ingresses now.
        own: Its demand at this ingress now.
    """
    counted = max(1.0, own)
    if mean > level:
        return level * counted / (total + counted - own)
    return min(UNBOUNDED_SLOTS, counted + level - mean)

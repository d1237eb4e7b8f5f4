"""Distributed rate limiting of customers over the whole fleet, without shared state.

A customer's requests may arrive at any VM, and its limit applies to their sum. One node of the
fleet, the owner, counts the requests of each customer: the ingresses report how many requests they
received and admitted, and the owner replies with the share of requests that they may admit
(`quota_ledger`). Below the limit that share is 1, so no request waits for a reply. The limit is
handed out as a share of the traffic and not as a number of requests per ingress: with a few
requests a second on each of a hundred ingresses, fixed parts would remain unused at one ingress and
be exhausted at the next.

Requests admitted before the owner knows of a sudden rise in traffic are a debt, which lower shares
pay back afterwards. An ingress without a recent reply admits only its own part of the limit
(`quota_gate`). So nodes that cannot reach an owner, or a partitioned fleet with an owner in each
partition, do not exceed the limit in total.

These modules contain only the decisions, without sockets, threads or clocks.
"""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

WINDOW_S = 5.0
"""Default length of the windows in which a limit applies, in seconds."""
TOLERANCE_USED = 0.25
"""Share of the tolerated excess over a limit that a customer may use permanently."""
IMMEDIATE_BURST_SHARE = 0.3
"""Share of a burst that is available immediately on top of the sustained rate. A window that begins
with it exceeds the limit by at most this share of the burst, which is less than the tolerated
excess."""
RATE_MEMORY_S = 1.0
"""Time constant of the exponentially weighted request rate, in seconds. Averaging the intervals
between requests at each ingress instead would give twice the true rate at one request a second."""
REPORT_S = 0.5
"""Seconds between an ingress's reports on a customer. When the traffic of a customer with 40
requests a second on 60 VMs rises 16-fold, an interval of 1.0 admits 13 requests more than tolerated
in five seconds, and this interval 70 fewer than tolerated."""
LIMITED_REPORT_S = 0.2
"""Seconds between reports while the customer is limited: its share is below 1, or a report is
unanswered."""
SHARE_MIN = 0.005
"""Smallest share that is assigned. With a smaller one the owner would not notice the end of a
traffic peak."""
IDLE_S = 30.0
"""Seconds without a request after which the state of a customer is discarded."""


class Limit(NamedTuple):
    """A customer's limit: in any window, the rate times the window length plus the burst.

    A token bucket filled once with the burst is stricter than that: with traffic between the rate
    and what the windows allow, it refused one in twenty requests on a day with little traffic,
    although none of them exceeded the limit.

    Args:
        rate_per_s: Requests a second.
        burst: Requests per window in addition to the rate.
        window_s: Length of a window in seconds.
        slack: Requests above the sustained rate that random arrivals may bring in a moment.
    """

    rate_per_s: float
    burst: float
    window_s: float = WINDOW_S
    slack: float = 0.0

    @property
    def immediate_burst(self) -> float:
        """Requests that may arrive at the same moment on top of the sustained rate."""
        return IMMEDIATE_BURST_SHARE * self.burst + self.slack

    @property
    def sustained_per_s(self) -> float:
        """Requests a second that the limit allows permanently: the rate plus a burst per window."""
        return self.rate_per_s + self.burst / self.window_s


class QuotaPolicy(NamedTuple):
    """How precisely limits are enforced, as configured by the operators.

    Args:
        window_s: Length in seconds of the windows in which limits apply.
        excess_share: Tolerated excess as a share of the limit.
        slack: Requests per window that are tolerated in addition.
    """

    window_s: float = WINDOW_S
    excess_share: float = 0.0
    slack: float = 0.0

    def limit(self, rate_per_s: float, burst: float) -> Limit:
        """Return the limit that is enforced for a customer.

        The fleet's total is known with a delay. Enforcing the limit itself would refuse requests of
        a customer exactly at its limit by chance, and more than the excess of a customer slightly
        over it. So `TOLERANCE_USED` of the tolerated excess is granted, and the rest is left for
        requests that the owner counts late.
        """
        excess_factor = 1.0 + TOLERANCE_USED * self.excess_share
        slack = TOLERANCE_USED * self.slack
        rate_per_s = rate_per_s * excess_factor + slack / self.window_s
        return Limit(rate_per_s, burst * excess_factor, self.window_s, slack)


class Report(NamedTuple):
    """An ingress's report to a customer's owner, with counts since its first report to this owner.

    Args:
        customer: Name of the customer.
        epoch: Changes with each start of the ingress and with each change of owner.
        wanted: Requests received, admitted or not.
        admitted: Number of these that were admitted and not refunded.
        per_s: Requests received a second, averaged over `RATE_MEMORY_S`.
    """

    customer: str
    epoch: int
    wanted: int
    admitted: int
    per_s: float


class Allowance(NamedTuple):
    """An owner's reply to one ingress.

    Args:
        customer: Name of the customer.
        share: Share of the received requests that the ingress may admit.
        part_per_s: This ingress's part of the limit, in requests a second and proportional to its
            share of the demand.
    """

    customer: str
    share: float
    part_per_s: float


def owner_of(customer: str, nodes: Iterable[str]) -> str:
    """Return the owner of a customer by rendezvous hashing, empty without nodes.

    This spreads the customers over the nodes. When a node joins or leaves, only the customers that
    it owns change their owner.
    """
    name = customer.encode()
    return max(
        nodes,
        key=lambda node: hashlib.blake2b(name, digest_size=8, key=node.encode()[:64]).digest(),
        default="",
    )


@dataclass(slots=True)
class Rate:
    """Exponentially decaying average of requests a second.

    It decays with time alone: without new requests, a node that received a value from another one
    reads the same average as the sender.
    """

    at: float
    per_s: float = 0.0

    def add(self, now: float, per_s: float) -> None:
        """Add to the average; one request adds `1 / RATE_MEMORY_S`."""
        self.per_s = self.read(now) + per_s
        self.at = max(self.at, now)

    def read(self, now: float) -> float:
        """Return the average, decayed up to `now`."""
        return self.per_s * math.exp(min(0.0, self.at - now) / RATE_MEMORY_S)

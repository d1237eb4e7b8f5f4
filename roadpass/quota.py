"""Quotas of customers over the whole fleet, without shared state: who counts, and what is told.

A customer's requests come to any VM, and its limit holds for their sum. One node of the fleet, the
owner, counts each customer: the ingresses tell it what came and what they admitted, and it tells
them which share of what comes they may admit (`quota_ledger`). While a customer stays below its
limit that share is all, so nothing waits for a word. A share wastes nothing where a customer has a
few requests a second on each of a hundred ingresses: parts of the limit would be left over at one
and missing at the next.

What is admitted before the owner has heard of a sudden crowd is a debt that the shares then pay
back. Whoever has no fresh word admits no more than its part of the limit by itself (`quota_gate`),
so that nodes which cannot reach an owner, or each own a part of a fleet that fell apart, do not add
up to more.

These modules decide; they know no sockets, threads or clocks.
"""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

WINDOW_S = 5.0
"""Seconds of the windows in which a limit counts, where nobody sets them."""
TOLERANCE_USED = 0.25
"""Share of what is borne beyond a limit that a customer may have for ever."""
IMMEDIATE_BURST_SHARE = 0.3
"""Share of a burst that is there at once besides what lasts: windows that begin with it are passed
by as much at the most, which is less than what is borne."""
RATE_MEMORY_S = 1.0
"""Seconds over which requests a second are averaged, each moment weighing less than the next. An
average of each ingress's own intervals would be twice too high where it has a request a second."""
REPORT_S = 0.5
"""Seconds between an ingress's reports on a customer. With 1.0 a customer of 40 requests a second
on 60 VMs, of which suddenly 16 times as many come, got 13 more in five seconds than is borne, with
this 70 less."""
LIMITED_REPORT_S = 0.2
"""The same once not all is admitted."""
SHARE_MIN = 0.005
"""Least share; a smaller one would hide from the owner that the crowd is over."""
IDLE_S = 30.0
"""Seconds without a request after which a customer is forgotten."""


class Limit(NamedTuple):
    """A customer's limit: in any window a rate times its length, and a burst on top.

    Taken as a bucket that a burst fills once, a customer between the rate and what its windows
    allow lost one in twenty requests of a quiet day, none of which was beyond its limit.

    Args:
        rate_per_s: Requests a second.
        burst: Requests on top.
        window_s: Seconds of a window.
        slack: Requests beyond what lasts that chance may bring in a moment.
    """

    rate_per_s: float
    burst: float
    window_s: float = WINDOW_S
    slack: float = 0.0

    @property
    def immediate_burst(self) -> float:
        """Requests that may come at once besides what lasts."""
        return IMMEDIATE_BURST_SHARE * self.burst + self.slack

    @property
    def sustained_per_s(self) -> float:
        """Requests a second that it allows for ever."""
        return self.rate_per_s + self.burst / self.window_s


class QuotaPolicy(NamedTuple):
    """How exactly limits are to be kept, as the operators set it.

    Args:
        window_s: Seconds of the windows in which limits count.
        excess_share: Share of a limit that is borne beyond it.
        slack: Requests in a window that are borne beyond that.
    """

    window_s: float = WINDOW_S
    excess_share: float = 0.0
    slack: float = 0.0

    def limit(self, rate_per_s: float, burst: float) -> Limit:
        """Return the limit from which on a customer is refused.

        Its sum over the fleet is known a little late, so a customer that is just at its limit would
        be refused by chance, and one slightly over it lost more than it was over. So it is refused
        once it is `TOLERANCE_USED` into what is borne; the rest is left for what is known late.
        """
        beyond = 1.0 + TOLERANCE_USED * self.excess_share
        slack = TOLERANCE_USED * self.slack
        rate_per_s = rate_per_s * beyond + slack / self.window_s
        return Limit(rate_per_s, burst * beyond, self.window_s, slack)


class Report(NamedTuple):
    """What an ingress tells a customer's owner: counts since it tells this owner.

    Args:
        customer: Its name.
        epoch: Changes with each start of the ingress and with each owner.
        wanted: Requests that came.
        admitted: Of these, what may run or has run.
        per_s: Requests a second that come, averaged over `RATE_MEMORY_S`.
    """

    customer: str
    epoch: int
    wanted: int
    admitted: int
    per_s: float


class Allowance(NamedTuple):
    """An owner's word to one ingress.

    Args:
        customer: Its name.
        share: Of what comes, that may be admitted.
        part_per_s: Requests a second that are this ingress's part of the limit, by its demand.
    """

    customer: str
    share: float
    part_per_s: float


def owner_of(customer: str, nodes: Iterable[str]) -> str:
    """Return the node that counts a customer: each of a fleet's customers has another one.

    When a node comes or goes only its own customers change hands. Empty without nodes.
    """
    name = customer.encode()
    return max(
        nodes,
        key=lambda node: hashlib.blake2b(name, digest_size=8, key=node.encode()[:64]).digest(),
        default="",
    )


@dataclass(slots=True)
class Rate:
    """Requests a second, averaged over the last moments.

    What one node read and tells, another may read on: without further requests both read the same.
    """

    at: float
    per_s: float = 0.0

    def add(self, now: float, per_s: float) -> None:
        """Add to the average; a request adds one in `RATE_MEMORY_S`."""
        self.per_s = self.read(now) + per_s
        self.at = max(self.at, now)

    def read(self, now: float) -> float:
        """Return the average."""
        return self.per_s * math.exp(min(0.0, self.at - now) / RATE_MEMORY_S)

"""Standing of customers' requests at one ingress, by the owner's shares or without them."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from roadpass.fair_share import Demand, Share, ShareKey, is_sendable
from roadpass.quota import owner_of
from roadpass.share_ledger import ShareLedger
from roadpass.standing import ABOVE_SHARE, CALL, FRESH

CHANGED_REPORT_S = 0.2
"""Seconds between reports on a class while its numbers change."""
REPORT_S = 0.5
"""Seconds between reports while they do not: the owner drops rows that are not repeated."""
WAIT_MIN_S = 0.05
"""Seconds for which requests must have been waiting before anything is reported. It takes some
milliseconds to find a free slot, which is no shortage."""
WORD_TTL_S = 1.2
"""Seconds for which an owner's shares apply; two reports or replies in a row may be lost."""
SHARE_TTL_S = 5.0
"""Seconds for which the share of a customer applies whose requests here have ended."""
UNKNOWN_SLOTS = 2.0
"""Slots of a customer that the owner has named no share for, because it had no requests here; by
the next report it has one."""
CREDIT_MAX_S = 1.0
DEBT_MAX_S = 3.0
"""Bounds of the slot seconds that a customer may use later, or has used too early, by which the
fraction of a slot is granted. Shares change within seconds, so a longer memory would be wrong."""
ASSUMED_SERVICE_S = 1.0
SERVICE_SMOOTHING = 0.1
MIN_SERVICE_S = 0.05
"""Service time in seconds until one is known, weight of one request in its average, and the time
below which a request was refused by a target rather than run."""
IDLE_S = 10.0
"""Seconds without requests after which the state of a class is dropped."""


@dataclass(slots=True, eq=False)
class ShareTicket:
    """A request in progress, as `ShareGate` counts it.

    Args:
        key: Its class.
        customer: Its customer, empty for none; then it is not counted.
        standing: Its order within the class.
        at: Clock seconds at which it came.
        running: Whether it holds a slot.
        running_since: Since when, in clock seconds.
    """

    key: ShareKey
    customer: str
    standing: int
    at: float = 0.0
    running: bool = False
    running_since: float = 0.0


@dataclass(slots=True)
class _Use:
    """Requests of one customer in one class at this ingress.

    Args:
        within: Requests with the standing `FRESH`.
        within_running: Those of them that hold a slot.
        credit_s: Slot seconds left of the fraction of its share, negative if it used more.
    """

    at: float
    running: int = 0
    waiting: set[ShareTicket] = field(default_factory=set)
    within: int = 0
    within_running: int = 0
    credit_s: float = 0.0

    @property
    def total(self) -> int:
        return self.running + len(self.waiting)

    def demand(self, now: float, key: ShareKey, customer: str, service_s: float) -> Demand:
        """Return the row to report.

        Only what came within a service time counts as waiting. Who waits longer would count again
        the slots that the ones before it could use, so that a customer whose requests wait would
        seem to want more than one whose requests are served.
        """
        waiting = sum(now - ticket.at <= service_s for ticket in self.waiting)
        return Demand(*key, customer, self.running, waiting)


class _Told(NamedTuple):
    """A customer's share as the owner told it."""

    slots: float
    at: float


@dataclass(slots=True)
class _Class:
    """Requests of one class at this ingress, and what was exchanged with its owner."""

    seen_at: float
    uses: dict[str, _Use] = field(default_factory=dict)
    waiting_since: float = math.inf
    owner: str = ""
    reported: dict[str, Demand] = field(default_factory=dict)
    reported_at: float = -math.inf
    shares: dict[str, _Told] = field(default_factory=dict)
    own_shares: dict[str, _Told] = field(default_factory=dict)
    word_at: float = -math.inf
    service_s: float = ASSUMED_SERVICE_S

    @property
    def waiting(self) -> int:
        return sum(len(use.waiting) for use in self.uses.values())

    def learn(self, took_s: float) -> None:
        """Learn from the time for which a request held a slot."""
        if took_s >= MIN_SERVICE_S:
            self.service_s += SERVICE_SMOOTHING * (took_s - self.service_s)


class ShareGate:
    """Requests of customers at one ingress; not thread-safe, the caller locks.

    Args:
        rng: Decides on the first request of a customer whose share is a fraction of a slot.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._own = ShareLedger(logs=False)
        self._classes: dict[ShareKey, _Class] = {}

    @property
    def size(self) -> int:
        """Number of customers with requests, summed over the classes."""
        return sum(len(one.uses) for one in self._classes.values())

    def enter(self, now: float, key: ShareKey, customer: str, *, call: bool = False) -> ShareTicket:
        """Count a new request, which waits, and return it with its standing.

        Args:
            now: Clock seconds.
            key: Its class.
            customer: Its customer, empty for none.
            call: Whether it is the call of a running request.
        """
        if not customer:
            return ShareTicket(key, "", CALL if call else FRESH)
        one = self._classes.setdefault(key, _Class(now))
        one.seen_at = now
        use = one.uses.get(customer)
        if use is None:
            fraction = self._slots(now, one, customer) % 1.0
            credit_s = self._rng.uniform(fraction - 1.0, fraction)
            use = one.uses[customer] = _Use(now, credit_s=credit_s)
        if not one.waiting:
            one.waiting_since = now
        ticket = ShareTicket(key, customer, CALL, now)
        use.waiting.add(ticket)
        if not call:
            ticket.standing = self._standing(now, one, customer, use)
        use.within += ticket.standing == FRESH
        return ticket

    def set_running(self, now: float, ticket: ShareTicket, *, running: bool) -> None:
        """Record that a request got a slot, or that it waits again."""
        if not ticket.customer or ticket.running is running:
            return
        one = self._classes[ticket.key]
        use = one.uses[ticket.customer]
        self._accrue(now, use, self._slots(now, one, ticket.customer))
        if not running and not one.waiting:
            one.waiting_since = now
        ticket.running = running
        step = 1 if running else -1
        use.running += step
        if running:
            ticket.running_since = now
            use.waiting.discard(ticket)
        else:
            one.learn(now - ticket.running_since)
            use.waiting.add(ticket)
        use.within_running += step * (ticket.standing == FRESH)

    def leave(self, now: float, ticket: ShareTicket) -> None:
        """Record the end of a request."""
        if not ticket.customer:
            return
        self.set_running(now, ticket, running=False)
        one = self._classes[ticket.key]
        use = one.uses[ticket.customer]
        use.waiting.discard(ticket)
        use.within -= ticket.standing == FRESH

    def receive(self, now: float, owner: str, shares: Iterable[Share]) -> None:
        """Apply an owner's shares; ignored unless they come from the node last reported to."""
        for share in shares:
            one = self._classes.get(share.key)
            if one is not None and one.owner == owner:
                one.word_at = now
                one.shares[share.customer] = _Told(share.slots, now)

    def due(self, now: float, nodes: Iterable[str]) -> dict[str, list[Demand]]:
        """Return the rows that are due, by the owner to send them to.

        Also drops the state of customers and classes without requests.

        Args:
            now: Clock seconds.
            nodes: Nodes that are believed to be alive, including this one.
        """
        living = tuple(nodes)
        self._own.expire(now)
        rows: dict[str, list[Demand]] = {}
        for key, one in list(self._classes.items()):
            self._drop_idle(now, key, one)
            waits = one.waiting > 0 and now - one.waiting_since >= WAIT_MIN_S
            if waits:
                self._divide_own(now, key, one)
            if not key.sendable:
                continue
            ended = not one.waiting and bool(one.reported)
            if not waits and not ended:
                continue
            owner = owner_of(key.hashed, living)
            if owner != one.owner:
                one.owner, one.reported, one.reported_at = owner, {}, -math.inf
                one.shares, one.word_at = {}, -math.inf
            new = self._rows_to_send(now, key, one)
            if new:
                rows.setdefault(owner, []).extend(new)
            if new and ended:  # the owner keeps these numbers for as long as they matter
                one.reported = {}
        return rows

    def _rows_to_send(self, now: float, key: ShareKey, one: _Class) -> list[Demand]:
        """Return the rows of a class if they are due, with empty ones for customers that left."""
        current = {
            name: use.demand(now, key, name, one.service_s)
            for name, use in one.uses.items()
            if use.total and is_sendable(name)
        }
        age_s = now - one.reported_at
        if age_s < (REPORT_S if current == one.reported else CHANGED_REPORT_S):
            return []
        gone = [Demand(*key, name, 0, 0) for name in one.reported if name not in current]
        one.reported, one.reported_at = current, now
        return [*current.values(), *gone]

    def _divide_own(self, now: float, key: ShareKey, one: _Class) -> None:
        """Divide what this ingress gets of the slots among its own customers."""
        rows = [use.demand(now, key, name, one.service_s) for name, use in one.uses.items()]
        for share in self._own.apply(now, "", rows):
            one.own_shares[share.customer] = _Told(share.slots, now)

    def _drop_idle(self, now: float, key: ShareKey, one: _Class) -> None:
        idle = [
            name
            for name, use in one.uses.items()
            if not use.total and now - use.at > DEBT_MAX_S + CREDIT_MAX_S
        ]
        for name in idle:
            del one.uses[name]
        for shares in (one.shares, one.own_shares):
            for name in [name for name, told in shares.items() if now - told.at > SHARE_TTL_S]:
                del shares[name]
        if not one.uses and now - one.seen_at > IDLE_S:
            del self._classes[key]

    def _standing(self, now: float, one: _Class, customer: str, use: _Use) -> int:
        if one.waiting <= 1:  # nobody else waits here, so there is nobody to yield to
            return FRESH
        slots = self._slots(now, one, customer)
        self._accrue(now, use, slots)
        if use.total <= slots or use.within + 1 <= slots:
            return FRESH
        whole = math.floor(slots)
        fraction_left = slots > whole and use.within <= whole and use.credit_s >= 0.0
        return FRESH if fraction_left else ABOVE_SHARE

    @staticmethod
    def _slots(now: float, one: _Class, customer: str) -> float:
        """Return the slots that a customer may use here, by the owner's word or without it."""
        if now - one.word_at <= WORD_TTL_S:
            told = one.shares.get(customer)
        else:
            told = one.own_shares.get(customer)
        return told.slots if told is not None else UNKNOWN_SLOTS

    @staticmethod
    def _accrue(now: float, use: _Use, slots: float) -> None:
        """Add the fraction of a slot since the last change, less what ran beyond whole slots."""
        passed_s = max(0.0, now - use.at)
        use.at = max(use.at, now)
        whole = math.floor(slots)
        gain = slots - whole - max(0, use.within_running - whole)
        use.credit_s = min(CREDIT_MAX_S, max(-DEBT_MAX_S, use.credit_s + gain * passed_s))

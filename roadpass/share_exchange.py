"""Shares of customers at one node: its requests as an ingress, and its classes as an owner."""

import random
import threading
from collections.abc import Iterable, Sequence

from roadpass.fair_share import Demand, Share, ShareKey
from roadpass.share_gate import ShareGate, ShareTicket
from roadpass.share_ledger import ShareLedger


class FairShares:
    """Thread-safe `ShareGate` and `ShareLedger` of one node."""

    def __init__(self) -> None:
        self._gate = ShareGate(random.Random())
        self._ledger = ShareLedger()
        self._lock = threading.Lock()

    def enter(self, now: float, key: ShareKey, customer: str, *, call: bool) -> ShareTicket:
        """Count a new request at this ingress; see `ShareGate`."""
        with self._lock:
            return self._gate.enter(now, key, customer, call=call)

    def set_running(self, now: float, ticket: ShareTicket, *, running: bool) -> None:
        """Record that a request got a slot, or that it waits again."""
        with self._lock:
            self._gate.set_running(now, ticket, running=running)

    def leave(self, now: float, ticket: ShareTicket) -> None:
        """Record the end of a request."""
        with self._lock:
            self._gate.leave(now, ticket)

    def due(self, now: float, nodes: Sequence[str]) -> dict[str, list[Demand]]:
        """Return the rows that are due, by the owner to send them to; also drops old state."""
        with self._lock:
            self._ledger.expire(now)
            return self._gate.due(now, nodes)

    def receive(self, now: float, owner: str, shares: Iterable[Share]) -> None:
        """Apply the shares that an owner sent."""
        with self._lock:
            self._gate.receive(now, owner, shares)

    def apply(self, now: float, ingress: str, demands: Iterable[Demand]) -> list[Share]:
        """Account for the demands of an ingress as an owner, and return its shares."""
        with self._lock:
            return self._ledger.apply(now, ingress, demands)

    def levels(self) -> dict[str, float]:
        """Return the slots that a customer may use at most in classes that this node owns."""
        with self._lock:
            return self._ledger.levels()

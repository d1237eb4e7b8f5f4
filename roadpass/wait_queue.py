"""Requests of one service that wait at their ingress for a slot."""

from bisect import insort
from collections.abc import Callable
from typing import Any, NamedTuple

from roadpass.wait_order import WaitOrder

MAX_WAITERS = 64
"""Requests that wait for one service at an ingress. Each keeps its caller's thread, and a node has
about as many threads under load."""
MAX_BYTES = 8_000_000
"""Bytes of bodies that wait for one service; small VMs have 200 MB of memory."""


class Grant(NamedTuple):
    """A slot for a waiting request.

    Args:
        target: Name of the target.
        slot: Number of the slot that its sidecar holds, `None` if its free slot is only known from
            a report.
    """

    target: str
    slot: int | None


class Waiter:
    """A waiting request; `signal` is set and used by the waiting code only.

    Args:
        order: Its place in the order.
        size: Bytes of its body.
        accepts: Returns whether it takes a slot of a target at a time in clock seconds.
        near: Whether it may take slots of the own data hall; it may have tried all targets there.
    """

    __slots__ = ("accepts", "displaced", "grant", "near", "order", "signal", "size")

    def __init__(
        self,
        order: WaitOrder,
        size: int,
        accepts: Callable[[float, str], bool],
        *,
        near: bool = True,
    ) -> None:
        self.near = near
        self.order = order
        self.size = size
        self.accepts = accepts
        self.grant: Grant | None = None
        self.displaced = False
        self.signal: Any = None


class WaitQueue:
    """Waiting requests of one service, the first in order first; not thread-safe."""

    def __init__(self) -> None:
        self._waiters: list[tuple[WaitOrder, int, Waiter]] = []
        self._number = 0
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def first(self) -> Waiter | None:
        """The waiter that gets the next slot, `None` if nobody waits."""
        return self._waiters[0][2] if self._waiters else None

    def all(self) -> list[Waiter]:
        """Return all waiters, the first one first."""
        return [waiter for _, _, waiter in self._waiters]

    def near(self) -> list[Waiter]:
        """Return the waiters that may take slots of the own data hall, the first one first."""
        return [waiter for _, _, waiter in self._waiters if waiter.near]

    def ahead_of(self, order: WaitOrder) -> int:
        """Return the number of waiters that get a slot before a request of an order."""
        return sum(one <= order for one, _, _ in self._waiters)

    def add(self, waiter: Waiter) -> list[Waiter] | None:
        """Add a waiter.

        Returns:
            The waiters behind it that were displaced to make room, or `None` if it was not added
            because the queue is full of waiters ahead of it.
        """
        displaced: list[Waiter] = []
        count, size = len(self._waiters) + 1, self._bytes + waiter.size
        for order, _, other in reversed(self._waiters):
            if (count <= MAX_WAITERS and size <= MAX_BYTES) or order <= waiter.order:
                break
            displaced.append(other)
            count, size = count - 1, size - other.size
        if count > MAX_WAITERS or size > MAX_BYTES:
            return None
        for other in displaced:
            other.displaced = True
            self.remove(other)
        self._number += 1
        insort(self._waiters, (waiter.order, self._number, waiter))
        self._bytes += waiter.size
        return displaced

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return whether it was there."""
        for place, (_, _, other) in enumerate(self._waiters):
            if other is waiter:
                del self._waiters[place]
                self._bytes -= waiter.size
                return True
        return False

    def hand(self, now: float, grant: Grant) -> Waiter | None:
        """Hand a slot to the first waiter that takes one of that target.

        Returns:
            The waiter, which is removed, or `None` if nobody takes it.
        """
        for order, _, waiter in self._waiters:
            if order.latest_start > now and waiter.accepts(now, grant.target):
                self.remove(waiter)
                waiter.grant = grant
                return waiter
        return None

"""Grants the free slots of this VM's targets to ingresses whose requests wait."""

import threading
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from roadpass import clock
from roadpass.decision import decided
from roadpass.metric import Metrics
from roadpass.slot_grants import FAR_HOLD_S, NEAR_HOLD_S, Hold, SlotGrants
from roadpass.wait_order import WaitOrder


class SlotOwner(Protocol):
    """The state of a target at its sidecar, as far as slots are granted."""

    @property
    def name(self) -> str:
        """Name of the target."""

    @property
    def service_name(self) -> str:
        """Name of its service."""

    def hold_slot(self, rank: int) -> str | None:
        """Hold a free slot for a class by its rank; return the class, `None` if none is free."""

    def release_hold(self, traffic_class: str) -> None:
        """Release a held slot that was not used."""


class SlotOffers:
    """Announced waiting requests and held slots of one sidecar; thread-safe.

    The lock is never held while a target's lock is awaited by a thread that needs this one: code
    that holds a target's lock does not call this class.

    Args:
        first_slot: Number of the first slot, see `SlotGrants`.
        metrics: Counts slots that were granted, returned and expired.

    Attributes:
        enabled: Whether slots are granted at all.
        send: Sends a grant to its ingress, called without the lock.
        is_near: Returns whether the VM of an ingress is in the own data hall.
    """

    def __init__(self, first_slot: int, metrics: Metrics) -> None:
        self._grants = SlotGrants(first_slot)
        self._metrics = metrics
        self._lock = threading.Lock()
        self.enabled = False
        self.send: Callable[[Hold, float], None] = lambda hold, hold_s: None
        self.is_near: Callable[[str], bool] = lambda vm: True

    def waiting(self, service: str) -> int:
        """Return the number of requests of a service that wait at ingresses of the data hall.

        Those of other data halls are reported there.
        """
        with self._lock:
            rows = self._grants.waiting(clock.now(), service)
        return sum(count for ingress, count in rows.items() if self.is_near(ingress))

    def announce(self, ingress: str, row: Sequence[Any]) -> None:
        """Record the waiting requests of one service at an ingress, as a row of the wire."""
        service, count, *order = row
        now = clock.now()
        with self._lock:
            self._grants.announce(now, ingress, service, count, WaitOrder.from_row(now, order))

    def assign(self, owner: SlotOwner) -> None:
        """Grant the free slots of a target to the ingresses that are first in order."""
        if not self.enabled:
            return
        granted: list[tuple[Hold, float]] = []
        with self._lock:
            while (one := self._assign_one(clock.now(), owner)) is not None:
                granted.append(one)
        for hold, hold_s in granted:
            self._metrics.count("slots_granted")
            self._log("granted", hold, hold_ms=round(hold_s * 1000.0))
            self.send(hold, hold_s)

    def extend(self, target: str, slot: int) -> bool:
        """Extend a hold whose admission check was accepted; return whether it is still held."""
        with self._lock:
            return self._grants.extend(clock.now(), target, slot)

    def take(self, target: str, slot: int) -> Hold | None:
        """End a hold because its attempt is here; its slot stays in use, `None` if it has ended."""
        with self._lock:
            return self._grants.take(clock.now(), target, slot)

    def give_back(self, target: str, slot: int) -> None:
        """Release a slot that its ingress does not need, and grant it to the next one."""
        with self._lock:
            hold = self._grants.give_back(target, slot)
        if hold is not None:
            self._metrics.count("slots_returned")
            self._log("returned", hold)
            self.release(hold)

    def expire(self) -> None:
        """Release the slots whose holds have passed, and grant them to the next ingresses."""
        with self._lock:
            ended = self._grants.expired(clock.now())
        for hold in ended:
            self._metrics.count("slots_expired")
            self._log("expired", hold)
            self.release(hold)

    def is_behind(self, service: str, wait: Sequence[Any] | None) -> bool:
        """Return whether a request without a slot is behind the first one that was announced."""
        if wait is None or not self.enabled:
            return False
        now = clock.now()
        with self._lock:
            row = self._grants.first(now, service)
        return row is not None and row.order < WaitOrder.from_row(now, wait)

    def _assign_one(self, now: float, owner: SlotOwner) -> tuple[Hold, float] | None:
        row = self._grants.first(now, owner.service_name)
        if row is None:
            return None
        traffic_class = owner.hold_slot(row.order.rank)
        if traffic_class is None:
            return None
        hold_s = NEAR_HOLD_S if self.is_near(row.ingress) else FAR_HOLD_S
        name, service = owner.name, owner.service_name
        hold = self._grants.hold(now, row, name, service, traffic_class, hold_s, owner)
        return hold, hold_s

    def release(self, hold: Hold) -> None:
        """Release the slot of a hold that has ended, and grant it to the next ingress."""
        owner: Any = hold.owner
        owner.release_hold(hold.traffic_class)
        self.assign(owner)

    @staticmethod
    def _log(what: str, hold: Hold, hold_ms: int | None = None) -> None:
        decided(
            "slots",
            what,
            target=hold.target,
            slot=hold.slot,
            ingress=hold.ingress,
            traffic_class=hold.traffic_class,
            hold_ms=hold_ms,
        )

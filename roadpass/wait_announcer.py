"""Announces the waiting requests of this ingress to sidecars, and passes on their slots."""

import random
from collections.abc import Callable, Sequence
from typing import Any

from roadpass import clock
from roadpass.capacity_messages import CapacityMessage
from roadpass.fleet import Target
from roadpass.metric import Gauge, Metrics
from roadpass.sidecar import Sidecar
from roadpass.slot_grants import Hold
from roadpass.view import View
from roadpass.wait_queue import Grant, Waiter
from roadpass.waiting_requests import WaitingRequests

ANNOUNCE_INTERVAL_S = 0.2
"""Seconds between two announcements that say nothing new; a row is valid for three of them."""
FAR_SIDECARS = 4
"""Sidecars of other data halls that are told in each interval. All of them would be some dozens of
datagrams between data halls for each ingress, for the same slots."""


class WaitAnnouncer:
    """Exchanges waiting requests and slots with the sidecars; thread-safe.

    Args:
        view: Has the nodes and targets, and the reports of free capacity.
        sidecar: The one of this VM, which is called directly.
        waits: Waiting requests of this ingress.
        send: Sends rows to other nodes; must not block.
        metrics: Gets a gauge of waiting requests.
        rng: Source of randomness.
    """

    def __init__(
        self,
        view: View,
        sidecar: Sidecar,
        waits: WaitingRequests,
        send: Callable[[CapacityMessage], None],
        *,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._sidecar = sidecar
        self._waits = waits
        self._send = send
        self._rng = rng
        self._next_at: dict[str, float] = {}
        self._far_told: dict[str, tuple[str, ...]] = {}
        waits.on_change = self._announce
        waits.on_unused = self._return_slot
        sidecar.slot_offers.send = self._grant
        sidecar.slot_offers.is_near = self._is_near
        metrics.add_gauge(Gauge("waiting_requests", "service", self._counts))

    def tick(self, now: float) -> None:
        """Grant slots of this VM, and announce waiting requests where that is due."""
        self._sidecar.assign_slots()
        for service, count in self._waits.counts().items():
            if count == 0:
                continue
            if now >= self._next_at.get(service, 0.0):
                self._announce(service)
                self._offer_unknown(now, service)
            self._offer_free_slots(now, service)

    def receive_waiting(self, sender: str, rows: Sequence[Any]) -> None:
        """Record the waiting requests of another ingress, and grant it free slots."""
        if not self._view.fleet.sharing.queue:
            return
        for row in rows:
            self._sidecar.slot_offers.announce(sender, row)
        self._sidecar.assign_slots()

    def receive_slots(self, sender: str, rows: Sequence[Any]) -> None:
        """Hand slots to waiting requests, and return those that nobody needs."""
        unused = [row[:2] for row in rows if not self._hand(Grant(row[0], row[1]))]
        if unused:
            self._send(CapacityMessage((sender,), {"returned": unused}))

    def receive_returned(self, rows: Sequence[Any]) -> None:
        """Grant slots that their ingress does not need to the next ones."""
        for target, slot in rows:
            self._sidecar.slot_offers.give_back(target, slot)

    def _announce(self, service: str) -> None:
        """Announce the waiting requests of a service to the sidecars that may have slots."""
        now = clock.now()
        self._next_at[service] = now + ANNOUNCE_INTERVAL_S
        waiters = self._waits.near(service)
        row = _row(now, service, waiters)
        targets = self._view.fleet.targets_of(service)
        near = {target.vm for target in targets if self._view.tier(target) == 0}
        far = self._choose_far(now, service, targets)
        far_vms = {*far, *self._far_told.get(service, ())}
        self._far_told[service] = far
        self._send_row(near - {self._view.vm}, row)
        self._send_row(far_vms, _row(now, service, self._waits.all(service)))
        if self._view.vm in near:
            self._sidecar.slot_offers.announce(self._view.vm, row)
            self._sidecar.assign_slots()

    def _send_row(self, vms: set[str], row: list[Any]) -> None:
        if vms:
            self._send(CapacityMessage(tuple(sorted(vms)), {"waiting": [row]}))

    def _choose_far(self, now: float, service: str, targets: Sequence[Target]) -> tuple[str, ...]:
        """Choose sidecars of other data halls whose slots the first waiter would take."""
        waiters = self._waits.all(service)
        if not waiters:
            return ()
        far = [target for target in targets if self._view.tier(target) > 0]
        some = self._rng.sample(far, min(FAR_SIDECARS, len(far)))
        return tuple(target.vm for target in some if waiters[0].accepts(now, target.name))

    def _offer_free_slots(self, now: float, service: str) -> None:
        """Hand slots that are free by the reports to waiters; their admission checks ask for them.

        A sidecar that knows the waiters has granted its free slots, so it reports none.
        """
        names = [target.name for target in self._view.fleet.targets_of(service)]
        for report in self._view.room.known(now, names):
            if report.free > 0:
                self._waits.hand(service, Grant(report.target, None))

    def _offer_unknown(self, now: float, service: str) -> None:
        """Have the first waiter probe one near target without a valid report, if there is any.

        Its sidecar may never hear of the waiters, if datagrams are lost.
        """
        unknown = [
            target.name
            for target in self._view.fleet.targets_of(service)
            if self._view.tier(target) == 0 and self._view.room.get(now, target.name) is None
        ]
        if unknown:
            self._waits.hand(service, Grant(self._rng.choice(unknown), None))

    def _hand(self, grant: Grant) -> bool:
        target = self._view.fleet.targets.get(grant.target)
        return target is not None and self._waits.hand(target.service, grant)

    def _grant(self, hold: Hold, hold_s: float) -> None:
        """Send a held slot to the ingress for which it is held."""
        if hold.ingress == self._view.vm:
            if not self._hand(Grant(hold.target, hold.slot)):
                self._sidecar.slot_offers.give_back(hold.target, hold.slot)
            return
        row = [hold.target, hold.slot, round(hold_s * 1000.0)]
        self._send(CapacityMessage((hold.ingress,), {"slots": [row]}))

    def _return_slot(self, grant: Grant) -> None:
        target = self._view.fleet.targets.get(grant.target)
        if target is None or grant.slot is None:
            return
        if target.vm == self._view.vm:
            self._sidecar.slot_offers.give_back(grant.target, grant.slot)
        else:
            row = [grant.target, grant.slot]
            self._send(CapacityMessage((target.vm,), {"returned": [row]}))

    def _is_near(self, vm: str) -> bool:
        node = self._view.nodes.get(vm)
        return vm == self._view.vm or (node is not None and node.hall == self._view.hall)

    def _counts(self) -> dict[str, float]:
        return {name: float(count) for name, count in self._waits.counts().items()}


def _row(now: float, service: str, waiters: list[Waiter]) -> list[Any]:
    """Return the announcement of waiting requests, with the place of the first one."""
    place = waiters[0].order.to_row(now) if waiters else [0, 0, 0]
    return [service, len(waiters), *place]

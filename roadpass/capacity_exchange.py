"""Exchanges with the other nodes what is known of the capacity of targets."""

import logging
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from roadpass import clock
from roadpass.capacity_messages import CapacityMessage, batches
from roadpass.decision import decided
from roadpass.metric import Gauge, Metrics
from roadpass.room import RoomReport
from roadpass.room_publisher import RoomPublisher
from roadpass.room_relay import RoomRelay
from roadpass.sidecar import Sidecar
from roadpass.view import PeerNode, View
from roadpass.wait_announcer import WaitAnnouncer
from roadpass.waiting_requests import WaitingRequests

_log = logging.getLogger("roadpass.capacity")

TICK_S = 0.025
"""Seconds between looks at the local targets: half the shortest time between two reports."""


class CapacityExchange:
    """Sends the reports of this node's targets and relays those of data halls.

    `tick` is called from one thread and `receive` from another; what they share is thread-safe.

    Args:
        view: Has the nodes, the fleet with its switches, and the table of reports.
        sidecar: Has the targets of this VM.
        waits: Requests that wait at this ingress.
        send: Sends rows to other nodes; must not block.
        is_relay: Returns whether this node reports its data hall to the others.
        metrics: Counts reports, and gets a gauge of free slots.
        rng: Source of randomness.
    """

    def __init__(
        self,
        view: View,
        sidecar: Sidecar,
        waits: WaitingRequests,
        send: Callable[[CapacityMessage], None],
        *,
        is_relay: Callable[[], bool],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._sidecar = sidecar
        self._send = send
        self._is_relay = is_relay
        self._metrics = metrics
        self._rng = rng
        self._publishers: dict[str, RoomPublisher] = {}
        self._relay = RoomRelay()
        self._announcer = WaitAnnouncer(view, sidecar, waits, send, metrics=metrics, rng=rng)
        metrics.add_gauge(Gauge("room_free_slots", "service", self._free_slots))

    def tick(self) -> None:
        """Send what is due; called every `TICK_S` seconds. An error does not end the ticks."""
        try:
            self._on_tick()
        except Exception:
            _log.exception("cannot exchange capacity, trying again")

    def _on_tick(self) -> None:
        now = clock.now()
        self._announcer.tick(now)
        if not self._view.fleet.sharing.room:
            return
        self._publish(now)
        if self._is_relay() and self._relay.is_due(now):
            self._relay_hall(now)

    def receive(self, sender: str, fields: Mapping[str, Sequence[Any]]) -> None:
        """Process the rows that another node sent."""
        if "room" in fields and self._view.fleet.sharing.room:
            self._receive_room(clock.now(), sender, fields["room"])
        if "waiting" in fields:
            self._announcer.receive_waiting(sender, fields["waiting"])
        if "slots" in fields:
            self._announcer.receive_slots(sender, fields["slots"])
        if "returned" in fields:
            self._announcer.receive_returned(fields["returned"])

    def _publish(self, now: float) -> None:
        """Store the state of this node's targets, and report it to the data hall if that is due."""
        rows = []
        targets = self._sidecar.targets
        self._publishers = {name: self._publishers.get(name) or RoomPublisher() for name in targets}
        for name, local in targets.items():
            report = local.room(self._sidecar.slot_offers.waiting(local.service_name))
            if self._sidecar.leaving:
                report = report._replace(free=0)
            idle = report.free >= local.target.slots
            self._view.room.receive(now, report, idle=idle)
            if self._publishers[name].is_due(now, report, idle=idle):
                rows.append(report.to_row())
                decided(
                    "room",
                    "reported",
                    target=name,
                    free=report.free,
                    queued=report.queued,
                    risk=round(report.risk, 3),
                )
        self._send_rows(self._hall_peers(), rows)

    def _relay_hall(self, now: float) -> None:
        """Send the due reports of the own data hall to one node of every other data hall."""
        names = [
            target.name
            for target in self._view.fleet.targets.values()
            if self._view.tier(target) == 0
        ]
        reports = self._relay.select(now, self._view.room.known(now, names))
        by_hall: dict[str, list[str]] = {}
        for node in self._alive_nodes():
            if node.hall != self._view.hall and not node.leaving:
                by_hall.setdefault(node.hall, []).append(node.vm)
        vms = tuple(self._rng.choice(by_hall[hall]) for hall in sorted(by_hall))
        self._send_rows(vms, [report.to_row() for report in reports])

    def _receive_room(self, now: float, sender: str, rows: Sequence[Any]) -> None:
        """Store reports; those from another data hall are passed on within the own one."""
        targets = self._view.fleet.targets
        for row in rows:
            report = RoomReport(*row)
            target = targets.get(report.target)
            if target is not None and report.target not in self._sidecar.targets:
                idle = report.free >= target.slots
                self._view.room.receive(now, report, idle=idle)
        node = self._view.nodes.get(sender)
        if node is not None and node.hall != self._view.hall:
            self._send_rows(self._hall_peers(), list(rows))

    def _send_rows(self, vms: tuple[str, ...], rows: Sequence[Sequence[Any]]) -> None:
        if not vms:
            return
        for batch in batches(rows):
            self._metrics.count("room_rows_sent", len(batch))
            self._send(CapacityMessage(vms, {"room": batch}))

    def _alive_nodes(self) -> list[PeerNode]:
        return [node for node in self._view.nodes.copy().values() if node.alive]

    def _hall_peers(self) -> tuple[str, ...]:
        return tuple(node.vm for node in self._alive_nodes() if node.hall == self._view.hall)

    def _free_slots(self) -> dict[str, float]:
        """Return the known free slots by service."""
        now = clock.now()
        fleet = self._view.fleet
        return {
            name: float(
                sum(
                    report.free
                    for report in self._view.room.known(
                        now, [target.name for target in fleet.targets_of(name)]
                    )
                )
            )
            for name in fleet.services
            if fleet.sharing.room
        }

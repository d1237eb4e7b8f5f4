"""Exchanges loans of repeats with the other nodes."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from roadpass import clock
from roadpass._actor import Actor
from roadpass._ticker import Ticker
from roadpass.fleet_repeats import FleetRepeats, Neighbours
from roadpass.metric import Gauge
from roadpass.repeat_loans import LoanMessage
from roadpass.view import View

TICK_S = 0.1
"""Seconds between checks for due messages: a loan that arrives within this time of a shortage still
helps the next repeat."""

_log = logging.getLogger("roadpass.repeats")


class Tick(NamedTuple):
    """Triggers the periodic check for due messages."""


class RepeatCoordinator(Actor):
    """Sends and receives the messages of the local accounts.

    Args:
        repeats: The accounts.
        view: Has the nodes.
        hall: Data hall of this node.
        send: Sends a message to another node; must not block.
    """

    def __init__(
        self, repeats: FleetRepeats, view: View, hall: str, send: Callable[[LoanMessage], None]
    ) -> None:
        super().__init__()
        self._repeats = repeats
        self._view = view
        self._hall = hall
        self._send = send
        self._tick_queued = False
        self._ticker = Ticker("repeat-tick", TICK_S, self._queue_tick, enabled=lambda: repeats.on)

    def on_start(self) -> None:
        """Start the ticker."""
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop the ticker."""
        self._ticker.stop()

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Tick():
                self._tick_queued = False
                if self._repeats.on:
                    neighbours = neighbours_of(self._view, self._hall)
                    self._send_all(self._repeats.tick(clock.now(), neighbours))
            case LoanMessage():
                self._send_all(self._repeats.receive(clock.now(), message))
            case _:
                _log.error("unknown message %r", message)

    def _queue_tick(self) -> None:
        if not self._tick_queued:
            self._tick_queued = True
            self.actor_ref.tell(Tick())

    def _send_all(self, messages: list[LoanMessage]) -> None:
        for message in messages:
            self._send(message)


def neighbours_of(view: View, hall: str) -> Neighbours:
    """Return the other nodes that are alive and not leaving, by whether they are in a data hall."""
    nodes = [node for node in view.nodes.copy().values() if node.alive and not node.leaving]
    near = tuple(node.vm for node in nodes if node.hall == hall and node.vm != view.vm)
    far = tuple(node.vm for node in nodes if node.hall != hall)
    return Neighbours(near, far)


def repeat_gauges(repeats: FleetRepeats) -> list[Gauge]:
    """Return the gauges of a node's accounts, each by service."""
    return [
        Gauge("repeats_left", "service", lambda: repeats.left(clock.now())),
        Gauge("repeats_used", "service", lambda: repeats.gauge(lambda one: one.used)),
        Gauge("repeats_lent", "service", lambda: repeats.gauge(lambda one: one.lent)),
        Gauge("repeats_borrowed", "service", lambda: repeats.gauge(lambda one: one.borrowed)),
    ]

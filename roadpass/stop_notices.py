"""Notices of a stopping node to the sidecars that hold its attempts."""

from collections.abc import Mapping

from roadpass import clock
from roadpass.request import Pending
from roadpass.transport import FENCE_S, Transport
from roadpass.view import View

SHORTENED_S = 2.0 * FENCE_S
"""Seconds by which an attempt's time limit must precede the request's deadline to count as
shortened in favour of a retry. The time reserved for a fence makes a smaller difference."""


class StopNotices:
    """Asks sidecars to let running attempts finish, and not to start queued ones.

    The sidecars do not know otherwise that this node is stopping.

    Args:
        view: Has the shutdown deadline of this node.
        pending: Attempts of this node in flight, by id.
        transport: Sends the notices.
    """

    def __init__(self, view: View, pending: Mapping[str, Pending], transport: Transport) -> None:
        self._view = view
        self._pending = pending
        self._transport = transport

    def send(self) -> None:
        """Send the notices that are due.

        They are repeated until the outcome of the attempt is known, as a notice may overtake the
        frame of its attempt.
        """
        self._keep()
        self._recall()

    def _keep(self) -> None:
        """Extend shortened attempts to the request's deadline.

        A stopping node plans no retry for which they would have to end early, and must not send an
        error to the caller while a target still works on the response.
        """
        shortened: dict[str, dict[str, float]] = {}
        for attempt_id, pending in list(self._pending.items()):
            if pending.deadline - pending.until > SHORTENED_S:
                shortened.setdefault(pending.vm, {})[attempt_id] = pending.deadline
        for vm, deadlines in shortened.items():
            self._transport.keep(vm, deadlines)

    def _recall(self) -> None:
        """Recall attempts queued at other VMs that could not be answered before the shutdown."""
        now, last_start = clock.now(), self._view.shutdown.last_start
        waiting: dict[str, list[str]] = {}
        for attempt_id, pending in list(self._pending.items()):
            if pending.vm != self._view.vm and now >= last_start(pending.usual_ms):
                waiting.setdefault(pending.vm, []).append(attempt_id)
        for vm, attempt_ids in waiting.items():
            self._transport.recall(vm, attempt_ids)

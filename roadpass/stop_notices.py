"""What a node that is told to stop tells the sidecars beside which its attempts are."""

from collections.abc import Mapping

from roadpass import clock
from roadpass.request import Pending
from roadpass.transport import FENCE_S, Transport
from roadpass.view import View

SHORTENED_S = 2.0 * FENCE_S
"""An attempt whose limit ends by so much before its request's time has been shortened for a repeat;
what is kept of that time for a fence is less."""


class StopNotices:
    """Asks sidecars to keep what runs, and not to start what waits.

    Nobody but this node knows there that it ends.

    Args:
        view: Tells when this node ends.
        pending: Its attempts under way, by id.
        transport: Carries the notices.
    """

    def __init__(self, view: View, pending: Mapping[str, Pending], transport: Transport) -> None:
        self._view = view
        self._pending = pending
        self._transport = transport

    def send(self) -> None:
        """Send what is due; each question comes again until there is a word on the attempt.

        Its frame may have been on the way.
        """
        self._keep()
        self._recall()

    def _keep(self) -> None:
        """Let attempts have all their time: a node that leaves has no repeat for which to end them.

        An answer of its own must not take the place of one that a target works on.
        """
        shortened: dict[str, dict[str, float]] = {}
        for attempt_id, pending in list(self._pending.items()):
            if pending.deadline - pending.until > SHORTENED_S:
                shortened.setdefault(pending.vm, {})[attempt_id] = pending.deadline
        for vm, deadlines in shortened.items():
            self._transport.keep(vm, deadlines)

    def _recall(self) -> None:
        """Take back what waits beside other VMs and could not be answered before this node ends."""
        now, last_start = clock.now(), self._view.shutdown.last_start
        waiting: dict[str, list[str]] = {}
        for attempt_id, pending in list(self._pending.items()):
            if pending.vm != self._view.vm and now >= last_start(pending.usual_ms):
                waiting.setdefault(pending.vm, []).append(attempt_id)
        for vm, attempt_ids in waiting.items():
            self._transport.recall(vm, attempt_ids)

"""Planned shutdown of a node: redirects callers, drains requests in flight, ends the process."""

import logging
import math
import time
from collections.abc import Callable
from typing import Protocol

from roadpass import clock
from roadpass.decision import decided
from roadpass.dispatch import Dispatcher
from roadpass.drain import Drain, DrainState
from roadpass.sidecar import Sidecar
from roadpass.view import View

LEAVE_MIN_S = 1.5
"""Minimum seconds from announcing that a node leaves to its end."""
STORE_LEAVE_S = 2.6
"""The same with a store: callers are redirected after two failed health checks a second apart, and
are served until then."""
STOP_MARGIN_S = 0.3
"""Seconds of the stop limit that are reserved for ending the process; a last check, the final log
lines and the exit take about 0.1. All other time is left to targets that still work on requests, as
their responses are delivered up to the end."""
POLL_S = 0.05
"""Seconds between checks for requests in flight."""
NOTICE_S = 0.15
"""Seconds between two notices on one attempt; a reply from another data hall takes a few ms."""
MAX_LISTED = 200
"""Requests logged one by one when the limit passes; the others appear in the counts only."""

_log = logging.getLogger("roadpass.daemon")


class Callers(Protocol):
    """The part of the ingress that a planned stop needs."""

    def active(self) -> int:
        """Return the number of callers' requests in progress."""

    def unread(self) -> int:
        """Return the number of caller connections with unread data."""


class PlannedStop:
    """Drains a node from the announcement that it leaves until its process may end.

    Args:
        view: Its shutdown deadline is set here.
        callers: Ingress of the node.
        dispatcher: Has the callers' requests in flight.
        sidecar: Has the attempts at this VM's targets.
        limit_s: Maximum seconds from the announcement to the end of the process.
        serve_s: Seconds for which new requests of callers are still served.
    """

    def __init__(
        self,
        view: View,
        callers: Callers,
        dispatcher: Dispatcher,
        sidecar: Sidecar,
        *,
        limit_s: float,
        serve_s: float,
    ) -> None:
        self._view = view
        self._callers = callers
        self._dispatcher = dispatcher
        self._sidecar = sidecar
        self._began = clock.now()
        self._limit_s = limit_s - STOP_MARGIN_S
        view.shutdown.at = self._began + self._limit_s
        self._notified_at = -math.inf
        self._overtime = False
        self._drain = Drain(self._began, leave_s=serve_s, limit_s=self._limit_s)

    def run(self, refuse: Callable[[], None]) -> bool:
        """Wait until nothing is in flight, or the limit passes.

        Args:
            refuse: Called repeatedly once new requests have to be refused.

        Returns:
            Whether nothing was left in flight.
        """
        self._log_step("leaving")
        while True:
            stage = self._drain.update(clock.now(), self._count_in_flight())
            if stage.refusing and not self._view.refusing:
                self._log_step("refusing")
            if stage.refusing:
                refuse()
            self._notify()
            if stage.over:
                self._log_end(stage)
                return stage.clean
            self._log_overtime()
            time.sleep(POLL_S)

    def _count_in_flight(self) -> int:
        """Return the requests in flight and unread connections, 1 if they cannot be counted.

        A failed count must not pass for a drained node.
        """
        try:
            return self._in_flight() + self._callers.unread()
        except Exception:
            _log.exception("cannot count requests in flight, assuming one")
            return 1

    def _notify(self) -> None:
        """Ask peers to extend running attempts, and to return queued ones in time."""
        if clock.now() - self._notified_at < NOTICE_S:
            return
        self._notified_at = clock.now()
        try:
            self._dispatcher.notices.send()
        except Exception:  # the next round sends them again; the shutdown goes on
            _log.exception("cannot send stop notices to peers, retrying")

    def _in_flight(self) -> int:
        return self._callers.active() + self._dispatcher.in_flight + self._sidecar.in_flight

    def _log_step(self, what: str) -> None:
        """Log a step of the stop with the counts of requests in flight at each stage."""
        decided(
            "stop",
            what,
            vm=self._view.vm,
            after_s=clock.now() - self._began,
            limit_s=self._limit_s,
            paused_s=self._drain.paused_s,
            callers=self._callers.active(),
            unread=self._callers.unread(),
            requests=self._dispatcher.in_flight,
            at_own_targets=self._sidecar.in_flight,
        )

    def _log_overtime(self) -> None:
        """Log the requests in flight at the limit, if the stop goes on because of a pause.

        From then on the supervisor may kill the process before it can log anything else.
        """
        if not self._overtime and clock.now() >= self._view.shutdown.at:
            self._overtime = True
            self._log_step("overtime")
            self._log_requests("overdue")

    def _log_end(self, stage: DrainState) -> None:
        self._log_step("quiet" if stage.clean else "limit-passed")
        if not stage.clean:
            _log.error("stop limit reached with requests in flight")
            self._log_requests("cut")

    def _log_requests(self, what: str) -> None:
        """Log each request in flight, with its current attempt and target."""
        for progress in self._dispatcher.in_progress()[:MAX_LISTED]:
            decided(
                "stop",
                what,
                request=progress.request,
                attempt=progress.attempt or None,
                target=progress.target or None,
                target_vm=progress.vm or None,
                arrivals=progress.arrivals,
                age_s=clock.now() - progress.since,
                attempt_s=clock.now() - progress.attempt_since if progress.attempt else None,
            )

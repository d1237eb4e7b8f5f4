"""Decides when a sidecar reports the free capacity of a target to its data hall."""

from roadpass.room import RoomReport, risk_band

MIN_INTERVAL_S = 0.05
"""Shortest time in seconds between two reports of a target: each goes to every node of the data
hall, and costs each of them 0.1 to 0.2 ms."""
BUSY_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 2.0
"""Seconds between reports that say nothing new, of a target with and without work."""
RISK_STEP = 0.02
"""Smallest change of the risk that is reported at once. The risk of a healthy target moves around
the lowest band's limit with every answer."""


class RoomPublisher:
    """Decides when to report one target; has no side effects."""

    def __init__(self) -> None:
        self._last: RoomReport | None = None
        self._sent_at = float("-inf")

    def is_due(self, now: float, report: RoomReport, *, idle: bool) -> bool:
        """Return whether to send a report now, and remember that it was sent.

        Args:
            now: Clock seconds.
            report: The target's state now.
            idle: Whether the target has no work.
        """
        age_s = now - self._sent_at
        interval_s = IDLE_INTERVAL_S if idle else BUSY_INTERVAL_S
        due = age_s >= interval_s or (age_s >= MIN_INTERVAL_S and self._changed(report))
        if due:
            self._last, self._sent_at = report, now
        return due

    def _changed(self, report: RoomReport) -> bool:
        """Return whether a report says what lets ingresses decide otherwise."""
        last = self._last
        if last is None or (last.free > 0) is not (report.free > 0):
            return True
        moved = abs(report.risk - last.risk) >= RISK_STEP
        return moved and risk_band(report.risk) != risk_band(last.risk)

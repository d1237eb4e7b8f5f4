"""Decides which reports the relay of a data hall sends to the other data halls."""

from roadpass.room import RoomReport, risk_band

RELAY_INTERVAL_S = 0.25
"""Seconds between two datagrams to another data hall."""
REFRESH_S = 0.75
"""Seconds after which an unchanged report is sent again. It is below the validity of a report, so
that a target that has work stays known; sending all rows with each datagram takes three times the
bytes, and bytes between data halls are expensive."""


class _Sent:
    """A report as it was last sent to the other data halls."""

    __slots__ = ("at", "made_at", "report")

    def __init__(self, at: float, made_at: float, report: RoomReport) -> None:
        self.at = at
        self.made_at = made_at
        self.report = report


class RoomRelay:
    """Selects the rows that are due; has no side effects."""

    def __init__(self) -> None:
        self._next_at = float("-inf")
        self._sent: dict[str, _Sent] = {}

    def is_due(self, now: float) -> bool:
        """Return whether it is time for the next datagram, and count it as sent if so."""
        if now < self._next_at:
            return False
        self._next_at = now + RELAY_INTERVAL_S
        return True

    def select(self, now: float, reports: list[RoomReport]) -> list[RoomReport]:
        """Return the reports to send now: those that changed, and those that become old.

        Args:
            now: Clock seconds.
            reports: What is known of the targets of the own data hall.
        """
        self._sent = {
            report.target: self._sent[report.target]
            for report in reports
            if report.target in self._sent
        }
        chosen = [report for report in reports if self._is_news(now, report)]
        for report in chosen:
            made_at = now - report.age_ms / 1000.0
            self._sent[report.target] = _Sent(now, made_at, report)
        return chosen

    def _is_news(self, now: float, report: RoomReport) -> bool:
        sent = self._sent.get(report.target)
        if sent is None:
            return True
        if now - report.age_ms / 1000.0 <= sent.made_at + 1e-6:
            return False
        last = sent.report
        changed = (last.free > 0) is not (report.free > 0)
        changed = changed or risk_band(last.risk) != risk_band(report.risk)
        return changed or now - sent.at >= REFRESH_S

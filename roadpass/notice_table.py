"""What targets have stated about themselves: their rate limits, and which of them are leaving.

A name of a target stands for one incarnation of it; the next one has stated nothing.
"""

import math
import threading
from dataclasses import dataclass

from roadpass.decision import decided
from roadpass.target_notice import TargetNotice


@dataclass(slots=True)
class _Entry:
    """What is known of a target; `at` is when the limit was named last, or ended."""

    rate_per_s: float | None = None
    leaving: bool = False
    at: float = -math.inf
    invalid: tuple[tuple[str, str], ...] = ()


class NoticeTable:
    """The statements of targets that one node knows; thread-safe."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._lock = threading.Lock()

    def rate_per_s(self, target: str) -> float | None:
        """Return the limit that a target names, in requests a second, `None` for none."""
        entry = self._entries.get(target)
        return entry.rate_per_s if entry is not None else None

    def is_leaving(self, target: str) -> bool:
        """Return whether a target has stated that it is shutting down."""
        entry = self._entries.get(target)
        return entry is not None and entry.leaving

    def hear(
        self, now: float, target: str, notice: TargetNotice, started: float, *, request: str = ""
    ) -> None:
        """Record the statements of a response.

        Responses overtake each other: one without a limit ends the limit only if its request
        started after the limit was named last.

        Args:
            now: Clock seconds.
            target: The target that responded.
            notice: Its statements.
            started: Clock seconds at which the request was sent, -inf if unknown.
            request: Id of the request, for the log.
        """
        with self._lock:
            entry = self._entries.setdefault(target, _Entry())
            before = (entry.rate_per_s, entry.leaving, entry.invalid)
            entry.leaving |= notice.leaving
            entry.invalid = notice.invalid
            if notice.rate_per_s is not None:
                entry.rate_per_s, entry.at = notice.rate_per_s, now
            elif not notice.limit_ignored and started >= entry.at:
                entry.rate_per_s = None
            after = (entry.rate_per_s, entry.leaving, entry.invalid)
        if after != before:
            _log_change(target, before, after, request)


_Known = tuple[float | None, bool, tuple[tuple[str, str], ...]]


def _log_change(target: str, before: _Known, after: _Known, request: str) -> None:
    """Log what changed in the statements of a target, one line for each."""
    (old_rate, was_leaving, old_invalid), (rate, leaving, invalid) = before, after
    if rate != old_rate:
        what = "limit-ended" if rate is None else "limit-named"
        decided("notice", what, request=request, target=target, rate_per_s=rate, before=old_rate)
    if leaving and not was_leaving:
        decided("notice", "leaving-named", request=request, target=target)
    if invalid and invalid != old_invalid:
        decided("notice", "ignored", request=request, target=target, headers=dict(invalid))

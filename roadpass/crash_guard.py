"""Beside one target: sees under which requests it ends, and keeps those from it that may end it."""

import threading
from collections import deque
from collections.abc import Callable

from roadpass import clock
from roadpass.message import Attempt
from roadpass.outcome import RETRY_SOON_MS, NotRun, Reason
from roadpass.quarantine import Quarantine
from roadpass.target_end import TargetExit

LATELY_S = 1.0
"""Seconds for which a request that was broken off counts as there when its target ends: targets may
work on after its connection is closed."""
MAX_LATELY = 16
"""Requests that were broken off lately; a target works on fewer at a time."""


class CrashGuard:
    """Notes what a target has, and under what it ended; any thread may use it.

    Args:
        target: Its name.
        quarantine: What the node knows of requests under which targets ended.
        gone: Looks whether the target's process has ended.
    """

    def __init__(self, target: str, quarantine: Quarantine, gone: Callable[[], bool]) -> None:
        self._quarantine = quarantine
        self._gone = gone
        self._end = TargetExit(target)
        self._work: dict[str, str] = {}
        self._lately: deque[tuple[float, str]] = deque(maxlen=MAX_LATELY)
        self._lock = threading.Lock()

    def away(self) -> NotRun | None:
        """Return why nothing is sent to a target that has ended, until it is seen to be back.

        Its entry stays for seconds: of 284 losses in 5 s of targets that ended under requests, 225
        were sent there after the end.
        """
        if not self._end.down:
            return None
        with self._lock:
            still_down = self._end.still_down(clock.now(), self._gone)
        return NotRun(Reason.REFUSED, RETRY_SOON_MS) if still_down else None

    def refusal(self, attempt: Attempt) -> NotRun | None:
        """Return why a request does not reach the target, `None` if it may.

        Two in doubt are kept apart: both are there when a target ends, and apart the innocent one
        is answered at its next try, which ends the doubt.
        """
        now = clock.now()
        held_s = self._quarantine.held_s(now, attempt.fingerprint)
        if held_s > 0.0:
            return NotRun(Reason.QUARANTINED, int(held_s * 1000.0))
        if not self._quarantine.doubts(now, attempt.fingerprint):
            return None
        others = set(self._work.copy().values()) - {attempt.fingerprint}
        if any(self._quarantine.doubts(now, other) for other in others):
            return NotRun(Reason.KEPT_APART, RETRY_SOON_MS)
        return None

    def begin(self, attempt: Attempt) -> None:
        """Note that the target gets a request."""
        self._work[attempt.id] = attempt.fingerprint

    def finish(self, attempt: Attempt, *, broken_off: bool) -> None:
        """Note that a request is over, or that nobody waits for it any more."""
        del self._work[attempt.id]
        if broken_off:
            self._lately.append((clock.now(), attempt.fingerprint))

    def answered(self, attempt: Attempt) -> None:
        """Note that the target answered a request, and lives."""
        self._quarantine.note_answer(clock.now(), attempt.fingerprint)

    def lost(self, attempt: Attempt, *, leaving: bool) -> bool:
        """Find out whether a target that lost a request has ended, and note what it had.

        Args:
            attempt: Which was lost.
            leaving: Whether the target is to end, whatever it has.

        Returns:
            Whether it has ended.
        """
        if not self._gone():
            return False
        self._note_end([attempt.fingerprint], leaving=leaving)
        return True

    def refused(self, *, leaving: bool) -> None:
        """Note that the target, which had ended, took no connection; see `lost`."""
        self._note_end([], leaving=leaving)

    def _note_end(self, had: list[str], *, leaving: bool) -> None:
        now = clock.now()
        with self._lock:
            end = self._end.record(now)
            lately = [work for at, work in self._lately if now - at <= LATELY_S]
            self._lately.clear()
        if leaving:
            return
        for work in (*had, *lately):
            self._quarantine.note_end(now, work, end)

"""Detects that this process was paused, so that it reads waiting messages before it acts."""

import threading
import time

from roadpass import clock

TICK_S = 0.1
PAUSE_S = 0.5
"""Seconds between two ticks from which on the process counts as paused."""
STALL_S = 0.25
"""Seconds between two ticks from which on durations measured across them are no evidence about
targets or peers."""
SETTLE_S = 0.1
"""Seconds that readers get after a pause, for fences and updates waiting in socket buffers."""


class PauseWatch:
    """A thread that measures the time between its ticks; thread-safe.

    Code that is about to start an attempt calls `settle` first.
    """

    def __init__(self) -> None:
        self._last_tick = clock.now()
        self._settle_until = 0.0
        self._pauses = 0
        self._last_stall = float("-inf")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pause-watch", daemon=True)

    @property
    def pauses(self) -> int:
        """Number of pauses detected so far."""
        return self._pauses

    @property
    def last_stall(self) -> float:
        """Clock seconds at which this process last resumed after a stall, `-inf` if never."""
        return self._last_stall

    def resumed_at(self, now: float) -> float:
        """Return when this process last resumed after a stall, `-inf` if never.

        Args:
            now: Clock seconds; a stall that has not been noticed yet ends then.
        """
        return now if now - self._last_tick > STALL_S else self._last_stall

    def start(self) -> None:
        """Start the thread."""
        self._last_tick = clock.now()
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end; does not wait for it."""
        self._stopped.set()

    def settle(self) -> float:
        """Wait until messages that arrived during a pause have been read.

        Returns:
            Seconds waited, nearly always 0.
        """
        now = clock.now()
        if now - self._last_tick > PAUSE_S:
            self._note(now)
        wait = self._settle_until - now
        if wait <= 0.0:
            return 0.0
        time.sleep(wait)
        return wait

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            now = clock.now()
            if now - self._last_tick > STALL_S:
                self._last_stall = now
            if now - self._last_tick > PAUSE_S:
                self._note(now)
            self._last_tick = now

    def _note(self, now: float) -> None:
        self._pauses += 1
        self._settle_until = now + SETTLE_S
        self._last_tick = now

"""Notices that this process was paused, so that it reads what waits before it acts."""

import threading
import time

from roadpass import clock

TICK_S = 0.1
PAUSE_S = 0.5
"""A tick this late means that the process did not run, or could not."""
STALL_S = 0.25
"""A tick this late, and what is measured across it says nothing about others."""
SETTLE_S = 0.1
"""Time given to readers after a pause, for fences and news that wait in socket buffers."""


class PauseWatch:
    """A thread that ticks; whoever is about to start work calls `settle` first."""

    def __init__(self) -> None:
        self._last_tick = clock.now()
        self._settle_until = 0.0
        self._pauses = 0
        self._last_stall = float("-inf")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pause-watch", daemon=True)

    @property
    def pauses(self) -> int:
        """Pauses noticed so far."""
        return self._pauses

    @property
    def last_stall(self) -> float:
        """When this process last began to run again after standing still, clock seconds."""
        return self._last_stall

    def start(self) -> None:
        """Start to tick."""
        self._last_tick = clock.now()
        self._thread.start()

    def stop(self) -> None:
        """Stop to tick."""
        self._stopped.set()

    def settle(self) -> float:
        """Wait until what came during a pause has been read.

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

"""A thread that calls a function periodically, usually to send an actor its ticks."""

import threading
from collections.abc import Callable

import pykka

DISABLED_CHECK_S = 1.0
"""Seconds between checks whether a disabled ticker has been enabled. A part that is off must not
cost the wake-ups of its ticks: small VMs have less than half a core."""


class Ticker:
    """Calls a function periodically until the ticker or the actor is stopped.

    Args:
        name: Name of the thread.
        interval_s: Seconds between calls.
        tick: Function to call; it may raise `ActorDeadError` to end the ticker.
        enabled: Returns whether the function is called at all.
    """

    def __init__(
        self,
        name: str,
        interval_s: float,
        tick: Callable[[], None],
        *,
        enabled: Callable[[], bool] = lambda: True,
    ) -> None:
        self._interval_s = interval_s
        self._tick = tick
        self._enabled = enabled
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; the first call comes after one interval."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the calls; a call in progress is not awaited."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(self._next_s()):
            if not self._enabled():
                continue
            try:
                self._tick()
            except pykka.ActorDeadError:
                return

    def _next_s(self) -> float:
        return self._interval_s if self._enabled() else DISABLED_CHECK_S

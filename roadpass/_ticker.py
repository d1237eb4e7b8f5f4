"""A thread that calls a function periodically, usually to send an actor its ticks."""

import threading
from collections.abc import Callable

import pykka


class Ticker:
    """Calls a function periodically until the ticker or the actor is stopped.

    Args:
        name: Name of the thread.
        interval_s: Seconds between calls.
        tick: Function to call; it may raise `ActorDeadError` to end the ticker.
    """

    def __init__(self, name: str, interval_s: float, tick: Callable[[], None]) -> None:
        self._interval_s = interval_s
        self._tick = tick
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; the first call comes after one interval."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the calls; a call in progress is not awaited."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(self._interval_s):
            try:
                self._tick()
            except pykka.ActorDeadError:
                return

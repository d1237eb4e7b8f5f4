"""A thread that tells an actor to tick."""

import threading
from collections.abc import Callable

import pykka


class Ticker:
    """Calls a function at an interval until it is stopped or the actor is gone.

    Args:
        name: Of the thread.
        interval_s: Seconds between calls.
        tick: What to call, usually a proxy's method sent with `tell`.
    """

    def __init__(self, name: str, interval_s: float, tick: Callable[[], None]) -> None:
        self._interval_s = interval_s
        self._tick = tick
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start to tick."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to tick."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(self._interval_s):
            try:
                self._tick()
            except pykka.ActorDeadError:
                return

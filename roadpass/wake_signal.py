"""Wakes a thread that waits for an event or for its caller to disconnect."""

import os
import select
import threading

from roadpass.request import CallerWatch


class WakeSignal:
    """An event whose wait also ends when the caller's connection has input."""

    def __init__(self) -> None:
        self._fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._lock = threading.Lock()

    def set(self) -> None:
        """Wake the thread."""
        with self._lock:  # after `close` the number may belong to another descriptor
            if self._fd >= 0:
                os.eventfd_write(self._fd, 1)

    def wait(self, timeout_s: float, watch: CallerWatch | None) -> None:
        """Wait until the signal is set, the caller's connection has input, or the time passes.

        Args:
            timeout_s: Seconds to wait.
            watch: Detects that the caller has disconnected, `None` if that is not possible.
        """
        poller = select.poll()
        poller.register(self._fd, select.POLLIN)
        if watch is not None and watch.watchable:
            poller.register(watch.fileno(), select.POLLIN)
        poller.poll(max(0.0, timeout_s) * 1000.0)

    def close(self) -> None:
        """Release the descriptor."""
        with self._lock:
            os.close(self._fd)
            self._fd = -1

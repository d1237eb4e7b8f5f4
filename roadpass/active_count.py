"""Thread-safe counter of operations in progress."""

import threading


class ActiveCount:
    """Counts operations in progress; thread-safe.

    As a context manager, which may be entered several times at once, it counts one operation for
    each entry.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    @property
    def value(self) -> int:
        """Number of operations in progress."""
        return self._count

    def add(self, change: int) -> None:
        """Add a positive or negative number of operations."""
        with self._lock:
            self._count += change

    def __enter__(self) -> None:
        self.add(1)

    def __exit__(self, *_: object) -> None:
        self.add(-1)

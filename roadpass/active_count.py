"""A count of what is under way, by any thread."""

import threading


class ActiveCount:
    """Counts what is under way, by any thread; entered once for each."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    @property
    def value(self) -> int:
        """How many are under way."""
        return self._count

    def add(self, change: int) -> None:
        """Count that one began or ended."""
        with self._lock:
            self._count += change

    def __enter__(self) -> None:
        self.add(1)

    def __exit__(self, *_: object) -> None:
        self.add(-1)

"""A request body that is passed on part by part, as it arrives."""

import select
from abc import ABC, abstractmethod
from collections.abc import Callable

from roadpass import clock

PART_BYTES = 64 * 1024
"""Most bytes of a part, and of one read of a body."""
PART_POLL_S = 0.05
"""Seconds between looks for a part that has not arrived. Listeners are told at each, so that
hardly any of the wait for a caller counts as a target's."""
BUFFER_BYTES = 128 * 1024
"""Size of the kernel's buffers of a connection that carries a body, as 100 Mbit/s over 5 ms need
62 KB. The kernel lets them grow to 4 MB each, so a body would be in memory whole after all."""
UPLOAD_BYTES = 3 * PART_BYTES
"""Bytes kept for a streamed body at one node: received ones, the part being sent, and its frame."""
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
"""Poll events of a connection whose other side has closed it, also behind bytes not yet read."""


class BodyBrokenError(Exception):
    """The body ends early, stalls, is too long or is malformed; the rest of it will not come."""


class BodySource(ABC):
    """The body of one request, and the watch on who sends it; used by one thread.

    Attributes:
        complete: Whether all of the body has been taken.
        passed_on: Whether a part of it has been taken, so that it cannot be sent elsewhere.
        whole: The complete body where it has to be kept whole, `None` where it is streamed.
        waited_at: Clock seconds until which its target waited for the body, 0 before the start.
    """

    def __init__(self) -> None:
        self.complete = False
        self.passed_on = False
        self.whole: bytes | None = None
        self.waited_at = 0.0
        self._listeners: list[Callable[[float], None]] = []

    @property
    @abstractmethod
    def length(self) -> int | None:
        """The length of the body, `None` if it is not known before its end."""

    @property
    @abstractmethod
    def watchable(self) -> bool:
        """Whether polling `fileno` can reveal anything new."""

    @abstractmethod
    def fileno(self) -> int:
        """Return the descriptor of the connection that brings the body."""

    @abstractmethod
    def gone(self) -> bool:
        """Return whether the sender has closed the connection."""

    @abstractmethod
    def events(self, *, wanted: bool) -> int:
        """Return the events to poll `fileno` for.

        Args:
            wanted: Whether the next part can be sent on at once.
        """

    @abstractmethod
    def next_part(self) -> bytes | None:
        """Return the next part without waiting, empty at the end, `None` if none has arrived.

        Raises:
            BodyBrokenError: The body will not be complete.
        """

    def add_listener(self, on_wait: Callable[[float], None]) -> None:
        """Have a function called with the clock seconds until which a target waited for the body.

        That time says nothing about the target, since the caller may be slow.
        """
        self._listeners.append(on_wait)

    def take_part(self, now: float) -> bytes | None:
        """Return the next part for a target that waits for it, see `next_part`.

        Args:
            now: Clock seconds.

        Raises:
            BodyBrokenError: The body will not be complete.
        """
        self.waited_at = now
        for on_wait in self._listeners:
            on_wait(now)
        return self.next_part()

    @property
    def size(self) -> int:
        """Length of the body as far as it is known."""
        return self.length or 0

    @property
    def framing(self) -> tuple[str, str]:
        """The header that tells a target where the body ends."""
        if self.length is None:
            return "Transfer-Encoding", "chunked"
        return "Content-Length", str(self.length)

    def framed(self, part: bytes) -> bytes:
        """Return a part as it is sent to a target; the empty one is the end."""
        if self.length is not None:
            return part
        return b"%x\r\n%b\r\n" % (len(part), part)


def streamed(watch: object) -> BodySource | None:
    """Return the body that a watch brings, `None` if there is none that is streamed."""
    return watch if isinstance(watch, BodySource) and watch.whole is None else None


def watched_events(watch: object, *, wanted: bool = False) -> int:
    """Return the events to poll for on the connection of a caller.

    Args:
        watch: The watch on it.
        wanted: Whether the next part of its body can be sent on at once.
    """
    return watch.events(wanted=wanted) if isinstance(watch, BodySource) else select.POLLIN


def step_s(watch: object, *, wanted: bool) -> float:
    """Return the most seconds of one wait for a target or its caller.

    Args:
        watch: The watch on the caller.
        wanted: Whether the next part of its body can be sent on at once.
    """
    return PART_POLL_S if wanted and streamed(watch) is not None else clock.STEP_S


def is_closed(number: int) -> bool:
    """Return whether the other side of a connection has closed it."""
    if number < 0:
        return True
    poller = select.poll()
    poller.register(number, select.POLLRDHUP)
    return any(events & CLOSED for _, events in poller.poll(0))

"""Makes threads wait for the bytes of a `ByteBudget`, and disconnects callers that hold them up."""

import fcntl
import math
import socket
import struct
import termios
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from roadpass import clock
from roadpass.byte_budget import ByteBudget, Holding, Verdict
from roadpass.decision import decided
from roadpass.metric import Gauge, Metrics

WHOLE_SHARE = 1 / 8
"""Share of the budget that a body may take to be kept whole, so that it can be sent again."""
POLL_S = 0.05
"""Seconds after which a thread that waits asks again; a release wakes it at once."""

_INT = struct.Struct("i")
_current = threading.local()


class NoBytesError(Exception):
    """The bytes can never be kept, or were not granted in time."""


class KeptBytes:
    """The bytes that the current thread keeps for one request.

    Args:
        gate: Grants them.
        holding: The account of the request.
    """

    def __init__(self, gate: "ByteGate", holding: Holding) -> None:
        self._gate = gate
        self._holding = holding

    @property
    def was_cut(self) -> bool:
        """Whether the caller was disconnected because others waited for its bytes."""
        return self._holding.was_cut

    @property
    def expects_caller(self) -> bool:
        """Whether the caller is to read or to send."""
        return self._holding.waits_since is not None

    def try_take(self, size: int, limit_s: float | None = None, *, separate: bool = False) -> bool:
        """Keep more bytes; return `False` if the thread has to ask again later.

        Args:
            size: Further bytes wanted.
            limit_s: Seconds after which it waits no longer, `None` for the usual limit.
            separate: Whether they are a message of its own.

        Raises:
            NoBytesError: They will not be granted.
        """
        return self._gate.ask(self._holding, size, limit_s, separate=separate)

    def take(self, size: int, limit_s: float | None = None, *, separate: bool = False) -> None:
        """Keep more bytes, after a wait if necessary; meanwhile nothing is expected of the caller.

        Args:
            size: Further bytes wanted.
            limit_s: Seconds after which it waits no longer, `None` for the usual limit.
            separate: Whether they are a message of its own.

        Raises:
            NoBytesError: They were not granted.
        """
        expected = self.expects_caller
        self.expect_none()
        while not self.try_take(size, limit_s, separate=separate):
            self._gate.wait()
        if expected:
            self.expect_caller()

    def release(self, size: int) -> None:
        """Give back bytes."""
        self._gate.release(self._holding, size)

    def keep_at_most(self, size: int) -> None:
        """Give back all but so many bytes."""
        self.release(max(0, self._holding.kept - size))

    def add(self, size: int) -> bool:
        """Keep more bytes if they fit now; return whether they did."""
        return self._gate.add(self._holding, size)

    def admit(self) -> None:
        """Record that the request was let in: its further bytes go before those of new ones."""
        self._holding.admitted = True

    def wait(self) -> None:
        """Wait until bytes may have been released."""
        self._gate.wait()

    def expect_caller(self) -> None:
        """Record that the caller is to read or to send from now on."""
        self._gate.expect(self._holding)

    def expect_none(self) -> None:
        """Record that nothing is expected from the caller."""
        self._holding.waits_since = None

    def record_progress(self, size: int) -> None:
        """Record that the caller has read or sent so many bytes."""
        self._gate.record_progress(self._holding, size)


class ByteGate:
    """Thread-safe access to the budget of this process.

    Args:
        budget: The account.
        metrics: Counts disconnected callers and rejected requests, and shows the bytes kept.
        whole_bytes: Longest body to keep whole, `None` for a share of the budget.
        resumed_at: Returns when this process last resumed after a stall, by the clock seconds now.
    """

    def __init__(
        self,
        budget: ByteBudget,
        metrics: Metrics,
        *,
        whole_bytes: int | None = None,
        resumed_at: Callable[[float], float] = lambda now: -math.inf,
    ) -> None:
        self._resumed_at = resumed_at
        self._budget = budget
        self._metrics = metrics
        self._whole_bytes = int(budget.limit * WHOLE_SHARE) if whole_bytes is None else whole_bytes
        self._changed = threading.Condition()
        metrics.add_gauge(Gauge("bytes_kept", "which", self._figures))

    @property
    def whole_bytes(self) -> int:
        """Longest body to keep whole, in bytes; a longer one is streamed, on any route."""
        return self._whole_bytes

    @property
    def peak(self) -> int:
        """Most bytes kept at once."""
        return self._budget.peak

    @contextmanager
    def holding(self, cut: Callable[[], None] | None = None) -> Iterator[KeptBytes]:
        """Account for what the current thread keeps in this context.

        Args:
            cut: Disconnects the caller, `None` if the bytes are not kept for one.
        """
        holding = Holding(cut)
        with self._changed:
            self._budget.open(holding)
        _current.kept = kept = KeptBytes(self, holding)
        try:
            yield kept
        finally:
            _current.kept = None
            with self._changed:
                self._budget.close(holding)
                self._changed.notify_all()

    def ask(self, holding: Holding, size: int, limit_s: float | None, *, separate: bool) -> bool:
        """Return whether bytes were granted.

        Raises:
            NoBytesError: They will not be granted.
        """
        now = clock.now()
        with self._changed:
            verdict = self._budget.ask(now, holding, size, limit_s, separate=separate)
            stalled = self._budget.stalled(now, self._resumed_at(now))
            if stalled is not None:
                self._disconnect(now, stalled)
        if verdict is Verdict.NEVER:
            self._metrics.count("bytes_rejected")
            decided("bytes", "rejected", wanted=size, kept=self._budget.kept)
            raise NoBytesError(f"{size} bytes cannot be kept.")
        return verdict is Verdict.GRANTED

    def add(self, holding: Holding, size: int) -> bool:
        """Keep more bytes for a request if they fit now; return whether they did."""
        with self._changed:
            return self._budget.add(holding, size)

    def wait(self) -> None:
        """Wait until bytes may have been released."""
        with self._changed:
            self._changed.wait(POLL_S)

    def release(self, holding: Holding, size: int) -> None:
        """Give back bytes."""
        with self._changed:
            self._budget.release(holding, size)
            self._changed.notify_all()

    def expect(self, holding: Holding) -> None:
        """Record that a caller is to read or to send from now on."""
        self._budget.expect(clock.now(), holding)

    def record_progress(self, holding: Holding, size: int) -> None:
        """Record that a caller has read or sent so many bytes."""
        self._budget.record_progress(clock.now(), holding, size)

    def _disconnect(self, now: float, stalled: Holding) -> None:
        stalled.was_cut = True
        self._metrics.count("slow_callers_disconnected")
        decided(
            "bytes",
            "slow-caller-disconnected",
            stalled_s=round(now - (stalled.waits_since or now), 3),
            its_bytes=stalled.kept,
            kept=self._budget.kept,
            waiting=self._budget.waiting,
        )
        if stalled.cut is not None:
            stalled.cut()

    def _figures(self) -> dict[str, float]:
        budget = self._budget
        return {"now": budget.kept, "peak": budget.peak, "limit": budget.limit}


def current() -> KeptBytes | None:
    """Return what the current thread keeps for its request, `None` if that is not accounted for."""
    found: KeptBytes | None = getattr(_current, "kept", None)
    return found


def may_read(sock: socket.socket, most: int) -> int:
    """Return how many bytes to read of a response; after a short wait 0 if none may be kept yet.

    Args:
        sock: Has received bytes, or was closed by its peer.
        most: Most bytes of one read.

    Raises:
        NoBytesError: The response can never be kept.
    """
    kept = current()
    if kept is None:
        return most
    arrived: int = _INT.unpack(fcntl.ioctl(sock, termios.FIONREAD, bytes(_INT.size)))[0]
    size = max(1, min(most, arrived))
    if kept.try_take(size, math.inf):
        return size
    kept.wait()
    return 0

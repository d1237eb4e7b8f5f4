"""Accounts for the bytes that a process keeps for callers and targets, within a fixed limit.

It responds to many large bodies at once: request bodies that are being read, responses that their
callers have not read yet, and frames between nodes. Whoever wants to keep more bytes asks first
and does not read on until they are granted, so TCP slows the sender down. The time is an argument.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

MEMORY_SHARE = 1 / 16
"""Share of the process's memory that is the limit. A byte is in memory up to four times while it is
parsed, packed and sent, so these may take a quarter of it."""
DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024
"""Limit where the memory of the process is unknown: that of 512 MB."""
OVERDRAFT_SHARE = 1 / 12
MAX_OVERDRAFT_BYTES = 16 * 1024 * 1024
"""Bytes beyond the limit for one request at a time, as a share of the memory and at most. Without
them several long responses, each received in part, would wait for each other; the maximum is that
of a response and of a frame."""
SMALL_BYTES = 16 * 1024
"""Most bytes of a small request; most requests without an upload, and all control messages."""
SMALL_SHARE = 0.05
"""Share of the limit that only small requests may use, so that uploads never block them."""
NEW_SHARE = 0.75
"""Share of the limit up to which new requests are let in. The rest is for the responses to those
that were; without it all could wait for each other."""
WAIT_LIMIT_S = 3.0
"""Seconds to wait for bytes before the request is rejected; slow callers are disconnected within
`STALL_S`, so a longer wait means that more is needed than there is."""
WAIT_SHARE = 0.25
"""Share of a request's remaining time for which it may wait, so that it can still be served."""
WAITING_BYTES = 128 * 1024
"""Bytes that a waiting request may leave unread in its connection, which are in memory too."""
STALL_S = 1.0
"""Seconds in which a caller must read or send `PROGRESS_BYTES` while others wait for its bytes."""
PROGRESS_BYTES = 4 * 1024
"""Bytes that count as progress: 32 kbit/s at least, also with 40 callers on a link of 5 Mbit/s."""


class Verdict(Enum):
    """The answer to a request for bytes."""

    GRANTED = "granted"
    WAIT = "wait"
    NEVER = "never"


@dataclass(eq=False, slots=True)
class Holding:
    """The bytes kept for one request.

    Args:
        cut: Disconnects the caller; `None` if the bytes are not kept for a caller.

    Attributes:
        kept: Bytes granted and not released.
        waits_since: Clock seconds since which the caller has made no progress, `None` while
            nothing is expected from it.
        moved: Bytes that the caller has read or sent since then.
        was_cut: Whether the caller was disconnected.
        admitted: Whether the request was let in; its further bytes go before those of new ones.
    """

    cut: Callable[[], None] | None = None
    kept: int = 0
    waits_since: float | None = None
    moved: int = 0
    was_cut: bool = False
    admitted: bool = False


@dataclass(eq=False, slots=True)
class _Waiter:
    holding: Holding
    since: float


@dataclass
class ByteBudget:
    """The account; not thread-safe.

    Args:
        limit: Most bytes to keep.
        overdraft: Bytes beyond the limit for one request that was let in.

    Attributes:
        kept: Bytes kept now.
        peak: Most bytes kept at once.
    """

    limit: int
    overdraft: int = 0
    kept: int = 0
    peak: int = 0
    _holdings: dict[Holding, None] = field(default_factory=dict)
    _waiters: list[_Waiter] = field(default_factory=list)
    _overdrawn: Holding | None = None

    @classmethod
    def of_memory(cls, memory_mb: float) -> "ByteBudget":
        """Return the account of a process that may use so many megabytes, 0 if unknown."""
        if memory_mb <= 0.0:
            return cls(DEFAULT_LIMIT_BYTES, MAX_OVERDRAFT_BYTES)
        memory = memory_mb * 1024 * 1024
        overdraft = min(MAX_OVERDRAFT_BYTES, int(memory * OVERDRAFT_SHARE))
        return cls(int(memory * MEMORY_SHARE), overdraft)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for bytes."""
        return len(self._waiters)

    def open(self, holding: Holding) -> None:
        """Add the holding of a request, which keeps nothing yet."""
        self._holdings[holding] = None

    def close(self, holding: Holding) -> None:
        """Release all bytes of a request that has ended."""
        self.withdraw(holding)
        self.release(holding, holding.kept)
        del self._holdings[holding]
        if self._overdrawn is holding:
            self._overdrawn = None

    def ask(
        self,
        now: float,
        holding: Holding,
        size: int,
        limit_s: float | None = None,
        *,
        separate: bool = False,
    ) -> Verdict:
        """Ask for more bytes; one that has to wait keeps its place and asks again.

        Small requests wait for no others. Among the others those that were let in go first, as
        their end frees bytes.

        Args:
            now: Clock seconds.
            holding: Of the request.
            size: Further bytes wanted.
            limit_s: Seconds of waiting after which the answer is `NEVER`; `None` for the usual
                limit.
            separate: Whether they are a message of its own, which is small or not by itself.
        """
        waiter = self._waiter(holding)
        small = size + (0 if separate else holding.kept) <= SMALL_BYTES
        if holding.kept + size > self._most(holding, small=small):
            self.withdraw(holding)
            return Verdict.NEVER
        if self._has_room(holding, size, small=small):
            self.withdraw(holding)
            self._grant(holding, size)
            return Verdict.GRANTED
        if waiter is None and not holding.admitted and self._is_full_of_waiters():
            return Verdict.NEVER
        if waiter is None:
            self._waiters.append(_Waiter(holding, now))
        elif now - waiter.since >= (WAIT_LIMIT_S if limit_s is None else limit_s):
            self.withdraw(holding)
            return Verdict.NEVER
        return Verdict.WAIT

    def add(self, holding: Holding, size: int) -> bool:
        """Keep more bytes if they fit within the limit now; return whether they did."""
        bound = self._bound(holding, small=False)
        if self._is_behind(holding, small=False) or self.kept + size > bound:
            return False
        self._grant(holding, size)
        return True

    def withdraw(self, holding: Holding) -> None:
        """Stop waiting for bytes."""
        self._waiters = [one for one in self._waiters if one.holding is not holding]

    def release(self, holding: Holding, size: int) -> None:
        """Give back bytes, at most those that the request keeps."""
        size = min(size, holding.kept)
        holding.kept -= size
        self.kept -= size
        if self.kept <= self.limit:
            self._overdrawn = None

    def expect(self, now: float, holding: Holding) -> None:
        """Record that the caller is to read or to send from now on."""
        holding.waits_since, holding.moved = now, 0

    def record_progress(self, now: float, holding: Holding, size: int) -> None:
        """Record that the caller has read or sent so many bytes."""
        holding.moved += size
        if holding.moved >= PROGRESS_BYTES:
            self.expect(now, holding)

    def stalled(self, now: float, resumed_at: float = -math.inf) -> Holding | None:
        """Return the caller to disconnect, `None` if no request waits or every caller progresses.

        It is the one that has made no progress for the longest time.

        Args:
            now: Clock seconds.
            resumed_at: When this process last resumed after a stall, in which no caller could
                progress.
        """
        if not self._waiters:
            return None
        slow = [
            one
            for one in self._holdings
            if one.kept > 0
            and one.cut is not None
            and not one.was_cut
            and one.waits_since is not None
            and now - max(one.waits_since, resumed_at) >= STALL_S
        ]
        return min(slow, key=lambda one: one.waits_since or 0.0, default=None)

    def _waiter(self, holding: Holding) -> _Waiter | None:
        return next((one for one in self._waiters if one.holding is holding), None)

    def _grant(self, holding: Holding, size: int) -> None:
        holding.admitted = True
        holding.kept += size
        self.kept += size
        self.peak = max(self.peak, self.kept)
        if self.kept > self.limit:
            self._overdrawn = holding

    def _has_room(self, holding: Holding, size: int, *, small: bool) -> bool:
        """Return whether more bytes may be kept now."""
        if self._is_behind(holding, small=small):
            return False
        if self.kept + size <= self._bound(holding, small=small):
            return True
        may_overdraw = holding.admitted and self._overdrawn in (None, holding)
        return may_overdraw and self.kept + size <= self.limit + self.overdraft

    def _is_full_of_waiters(self) -> bool:
        """Return whether the unread bytes of those that wait may already fill the limit."""
        return (len(self._waiters) + 1) * WAITING_BYTES > self.limit

    def _most(self, holding: Holding, *, small: bool) -> int:
        """Return the most bytes that this request can ever keep."""
        bound = self._bound(holding, small=small)
        return max(bound, self.overdraft) if holding.admitted else bound

    def _bound(self, holding: Holding, *, small: bool) -> int:
        """Return up to how many bytes this request may fill the account."""
        if small:
            return self.limit
        return int(self.limit * (1.0 - SMALL_SHARE if holding.admitted else NEW_SHARE))

    def _is_behind(self, holding: Holding, *, small: bool) -> bool:
        """Return whether another request that waits goes first."""
        if small or self._overdrawn is holding:
            return False
        if not holding.admitted and any(one.holding.admitted for one in self._waiters):
            return True
        same = [one for one in self._waiters if one.holding.admitted == holding.admitted]
        return bool(same) and same[0].holding is not holding

"""At-most-once table of a sidecar: which attempts may still start, and which never will.

An attempt starts only through `claim`, and a fence is accepted only for an attempt that was never
claimed. Both are decided in this one table on the target's VM, so the guarantee that an attempt did
not run needs no agreement between nodes.
"""

import threading
from dataclasses import dataclass
from enum import StrEnum

from roadpass.outcome import Reason

DEFAULT_WINDOW_S = 180.0
"""Seconds for which an entry is kept: three times the longest possible deadline of a request."""


class Verdict(StrEnum):
    """A sidecar's reply to a fence of an attempt or key; the values are sent to peers."""

    NEVER_STARTS = "never_starts"
    STARTED = "started"
    CANNOT_VOUCH = "cannot_vouch"


@dataclass(slots=True)
class _Entry:
    started: bool
    kept_until: float
    token: str = ""


class FenceTable:
    """Decides starts and fences by attempt id and by the caller's idempotency key.

    Thread-safe: each decision is atomic, and the threads of all targets and streams share one
    table.

    Args:
        started_at: When this process began to accept attempts, seconds on the clock of `now`.
        window_s: Seconds for which entries are kept.
    """

    def __init__(self, *, started_at: float, window_s: float = DEFAULT_WINDOW_S) -> None:
        self._lock = threading.Lock()
        self._started_at = started_at
        self._window_s = window_s
        self._attempts: dict[str, _Entry] = {}
        self._keys: dict[str, _Entry] = {}

    @property
    def size(self) -> int:
        """Number of entries for attempts and keys together."""
        return len(self._attempts) + len(self._keys)

    def claim(
        self, now: float, attempt_id: str, key: str = "", *, repeat: bool = False
    ) -> Reason | None:
        """Claim the right to start an attempt; at most one claim of an id or key succeeds.

        Args:
            now: Seconds.
            attempt_id: Id of the attempt.
            key: The caller's idempotency key within its service, empty for none.
            repeat: Whether the caller declared this a repeat, whose key was fenced for this id.

        Returns:
            `None` if the attempt may start, otherwise the reason why it must not.
        """
        with self._lock:
            entry = self._attempts.get(attempt_id)
            if entry is not None:
                return Reason.DUPLICATE if entry.started else Reason.FENCED
            refusal = self._key_refusal(attempt_id, key, repeat)
            if refusal is not None:
                return refusal
            kept_until = now + self._window_s
            self._attempts[attempt_id] = _Entry(True, kept_until)
            if key:
                self._keys[key] = _Entry(True, kept_until, attempt_id)
            return None

    def fence(self, now: float, attempt_id: str) -> Verdict:
        """Guarantee that an attempt never starts here, unless it has started already."""
        with self._lock:
            entry = self._attempts.get(attempt_id)
            if entry is not None and entry.started:
                return Verdict.STARTED
            self._attempts[attempt_id] = _Entry(False, now + self._window_s)
            return Verdict.NEVER_STARTS

    def fence_key(self, now: float, key: str, token: str) -> Verdict:
        """Guarantee that of a key's attempts only the one with the id `token` can start here.

        A later fence replaces the token, so of two concurrent repeats at most one can start.

        Returns:
            `CANNOT_VOUCH` while this process is younger than the window: an earlier process on
            this VM may have started an attempt of the key.
        """
        with self._lock:
            entry = self._keys.get(key)
            if entry is not None and entry.started:
                return Verdict.STARTED
            if now - self._started_at < self._window_s:
                return Verdict.CANNOT_VOUCH
            self._keys[key] = _Entry(False, now + self._window_s, token)
            return Verdict.NEVER_STARTS

    def expire(self, now: float) -> int:
        """Drop entries that are older than the window.

        Returns:
            Number of dropped entries.
        """
        with self._lock:
            before = self.size
            _drop_old(self._attempts, now)
            _drop_old(self._keys, now)
            return before - self.size

    def _key_refusal(self, attempt_id: str, key: str, repeat: bool) -> Reason | None:
        entry = self._keys.get(key) if key else None
        if entry is None:
            return Reason.FENCED if repeat else None
        if entry.started:
            return Reason.KEY_USED
        if repeat and entry.token == attempt_id:
            return None
        return Reason.FENCED


def _drop_old(entries: dict[str, _Entry], now: float) -> None:
    """Remove expired entries from the front; entries are ordered by time."""
    for name in list(entries):
        if entries[name].kept_until > now:
            return
        del entries[name]

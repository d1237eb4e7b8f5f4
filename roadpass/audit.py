"""The audit trail: changes on this node and their reasons, bounded in memory and also logged."""

import logging
import threading
import time
from collections import deque
from enum import StrEnum
from typing import NamedTuple

MAX_EVENTS = 2000
MAX_EVIDENCE = 2000

_log = logging.getLogger("roadpass.audit")


class Kind(StrEnum):
    """Kinds of audit events; the values appear in logs and on the audit page."""

    START = "start"
    STOP = "stop"
    READY = "ready"
    REVISION_ACCEPTED = "revision-accepted"
    REVISION_REFUSED = "revision-refused"
    REVISION_CONFLICT = "revision-conflict"
    TARGET_STATE = "target-state"
    FLOOR_BOUND = "floor-bound"
    MEMBER_STATE = "member-state"
    PLATFORM = "platform"
    PAUSE = "pause"


class Event(NamedTuple):
    """One audit event; `at` is seconds since the epoch, `number` counts up from 1."""

    number: int
    at: float
    kind: Kind
    subject: str
    evidence: str


class AuditTrail:
    """Keeps the latest events; thread-safe.

    Args:
        max_events: Number of events that are kept.
    """

    def __init__(self, *, max_events: int = MAX_EVENTS) -> None:
        self._events: deque[Event] = deque(maxlen=max_events)
        self._count = 0
        self._lock = threading.Lock()

    def record(self, kind: Kind, subject: str, evidence: str) -> None:
        """Add an event and log it; evidence over `MAX_EVIDENCE` characters is truncated."""
        shortened = evidence[:MAX_EVIDENCE]
        with self._lock:
            self._count += 1
            event = Event(self._count, time.time(), kind, subject, shortened)
            self._events.append(event)
        _log.info("%s %s: %s", kind.value, subject, shortened)

    def since(self, number: int = 0) -> list[Event]:
        """Return the kept events after a number."""
        with self._lock:
            return [event for event in self._events if event.number > number]

"""Outcomes of attempts: answered, proved not run, or unknown."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

Headers: TypeAlias = list[tuple[str, str]]

SERVER_ERROR = 500
"""Answers with this status or a higher one count as failures of their target."""
RETRY_SOON_MS = 500
RETRY_LATER_MS = 2000
"""Milliseconds after which to retry: where another node or moment may help, and where capacity has
to return first."""
OUTCOME_HEADER = "Roadpass-Outcome"
REASON_HEADER = "Roadpass-Reason"


class Reason(StrEnum):
    """Why an attempt was not run, or why its outcome is unknown."""

    NO_ROUTE = "no-route"
    NO_CAPACITY = "no-capacity"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    EXPIRED = "expired"
    FENCED = "fenced"
    BUSY = "no-free-slot"
    LIMITED = "target-limit"
    DOUBTFUL = "target-doubtful"
    QUEUE_FULL = "queue-full"
    HELD_BACK = "held-back"
    TOO_LATE = "deadline-cannot-be-met"
    WAITING_LIMIT = "waiting-limit"
    STALE_ROUTE = "stale-route"
    UNREACHABLE = "unreachable"
    SHED = "shed-by-target"
    FAILING = "target-failing"
    REFUSED = "target-refused-connection"
    REPEATS_SPENT = "repeats-spent"
    QUARANTINED = "quarantined"
    KEPT_APART = "kept-apart"
    DUPLICATE = "duplicate"
    KEY_USED = "key-already-used"
    TIMEOUT = "timeout"
    STREAM_LOST = "stream-lost"
    TARGET_LOST = "target-lost"
    CANCELLED = "cancelled"
    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    OVER_QUOTA = "over-quota"
    TOO_LARGE = "too-large"
    NO_MEMORY = "no-memory"


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the target to this request."""

    status: int
    headers: Headers
    body: bytes
    service_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class NotRun:
    """Proof that the target never received the request and never will."""

    reason: Reason
    retry_after_ms: int = 1000


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; nothing proves that it did not."""

    reason: Reason


Outcome: TypeAlias = Answered | NotRun | Unknown

_NOT_RUN_STATUS = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.TOO_LARGE: 413,
}


def status_of(outcome: Outcome) -> int:
    """Return the HTTP status that the caller sees for an outcome."""
    match outcome:
        case Answered(status=status):
            return status
        case NotRun(reason=Reason.OVER_QUOTA):
            return 429
        case NotRun(reason=reason):
            return _NOT_RUN_STATUS.get(reason, 503)
        case Unknown():
            return 504


def caller_headers(outcome: Outcome) -> Headers:
    """Return the headers that report the outcome to the caller."""
    match outcome:
        case Answered():
            return [(OUTCOME_HEADER, "answered")]
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            headers = [(OUTCOME_HEADER, "not-run"), (REASON_HEADER, reason.value)]
            if reason not in _NOT_RUN_STATUS:
                headers.append(("Retry-After", str(max(1, -(-retry_after_ms // 1000)))))
            return headers
        case Unknown(reason=reason):
            return [(OUTCOME_HEADER, "unknown"), (REASON_HEADER, reason.value)]

"""Messages between nodes: schema checks, and conversion to and from Python types."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias

from fastjsonschema import JsonSchemaException

from roadpass._generated import (
    check_accepted,
    check_answered,
    check_attempt,
    check_body_part,
    check_catch_up,
    check_check,
    check_datagram,
    check_fence,
    check_fence_key,
    check_fenced,
    check_hello,
    check_keep,
    check_kept,
    check_news,
    check_not_run,
    check_pull,
    check_recall,
    check_recalled,
    check_revision,
    check_unknown,
)
from roadpass._generated.message_types import Datagram
from roadpass.errors import FrameError
from roadpass.outcome import Answered, NotRun, Outcome, Reason, Unknown
from roadpass.standing import FRESH

_LESS_SPECIFIC = {
    Reason.LIMITED: Reason.BUSY,
    Reason.HELD_BACK: Reason.QUEUE_FULL,
    Reason.NO_MEMORY: Reason.BUSY,
}
"""Reasons that older nodes do not know, and those that are sent to them instead."""
UNBOUNDED_MS = 1e9
"""Milliseconds that mean no limit, because messages cannot hold an infinite number."""

Message: TypeAlias = Mapping[str, Any]
"""A message that passed its schema check; the generated typed dictionaries describe the types."""

_CHECKS: Mapping[str, Callable[[Any], Any]] = {
    "hello": check_hello.validate,
    "attempt": check_attempt.validate,
    "body_part": check_body_part.validate,
    "check": check_check.validate,
    "accepted": check_accepted.validate,
    "answered": check_answered.validate,
    "not_run": check_not_run.validate,
    "unknown": check_unknown.validate,
    "fence": check_fence.validate,
    "fenced": check_fenced.validate,
    "fence_key": check_fence_key.validate,
    "keep": check_keep.validate,
    "kept": check_kept.validate,
    "recall": check_recall.validate,
    "recalled": check_recalled.validate,
    "pull": check_pull.validate,
    "revision": check_revision.validate,
    "catch_up": check_catch_up.validate,
    "news": check_news.validate,
}


class Attempt(NamedTuple):
    """One attempt at a request, as sent to the sidecar; times in milliseconds.

    Args:
        id: Ingress VM, its incarnation and a counter.
        remaining_ms: How much longer the ingress will wait for the reply.
        revision: Configuration revision by which the ingress chose the target.
        slow_ms: Latency that is slow compared to the service's other targets, 0 if unknown.
        key: The caller's idempotency key, scoped to the service, empty for none.
        repeat: Whether the caller declared the request a repeat with that key.
        request_id: Request id set by the caller, empty for none.
        origin: Service of the VM at which the request originated, empty if unknown.
        may_wait: Whether it may queue at the target; otherwise it gets a free slot or a refusal.
        pressing: Whether all targets refused it before, so that a failing one is better than none.
        last: Whether no other attempt may follow.
        most_bad: Highest acceptable probability that the target is failing, 0 to 1.
        most_wait_ms: Longest acceptable wait for a slot in milliseconds.
        usual_ms: Typical latency of such requests in milliseconds, 0 if the ingress has none.
        fingerprint: Fingerprint of the request, see `roadpass.fingerprint`; empty if not sent.
        customer: Customer that sent the request, empty for none.
        notice: What the ingress knows that the target stated, see `roadpass.notice_table`; `None`
            for nothing.
        slot: Slot that the sidecar holds for it, `None` for none.
        wait: Its place in the waiting order, see `roadpass.wait_order`; `None` if it has none.
        parent_repeat: Whether it is a call that a retry makes, so that it counts as a repeat;
            `None` if its ingress does not find the parents of calls.
        standing: Order within its class, see `roadpass.standing`.
        body_follows: Whether its body follows in parts; `body` is empty then.
        body_length: Length of a body that follows, `None` if it is not known before its end.
    """

    id: str
    target: str
    route: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    remaining_ms: float
    traffic_class: str
    caller: str
    repeatable: bool
    retry: bool
    revision: int
    slow_ms: float
    key: str = ""
    repeat: bool = False
    request_id: str = ""
    origin: str = ""
    may_wait: bool = True
    pressing: bool = False
    last: bool = False
    most_bad: float = 1.0
    most_wait_ms: float = UNBOUNDED_MS
    usual_ms: float = 0.0
    fingerprint: str = ""
    customer: str = ""
    notice: list[Any] | None = None
    slot: int | None = None
    wait: list[Any] | None = None
    parent_repeat: bool | None = None
    standing: int = FRESH
    body_follows: bool = False
    body_length: int | None = None

    @property
    def may_be_trial(self) -> bool:
        """Whether it may go to a target that will probably fail: repeatable and not yet retried."""
        return self.repeatable and not self.retry

    @property
    def spare(self) -> bool:
        """Whether the request is not lost if it fails, or would be refused without it."""
        return self.pressing or not self.last

    @property
    def ingress(self) -> str:
        """VM of the ingress that created the attempt, taken from its id."""
        return self.id.split("/", 1)[0]

    @classmethod
    def from_message(cls, message: Message) -> "Attempt":
        """Build an attempt from a checked message.

        Raises:
            FrameError: The body is not bytes.
        """
        if not isinstance(message["body"], bytes):
            raise FrameError("The attempt's body is not bytes.")
        fields = {name: message[name] for name in cls._fields if name in message}
        fields["headers"] = [(name, value) for name, value in message["headers"]]
        return cls(**fields)

    def to_message(self) -> Message:
        """Return the wire form."""
        message = {"t": "attempt", **self._asdict()}
        del message["wait"]  # its check has told it
        for name in ("notice", "slot", "body_length", "parent_repeat"):
            if message[name] is None:
                del message[name]
        if self.standing == FRESH:
            del message["standing"]
        if not self.body_follows:
            del message["body_follows"]
        return message


class AdmissionCheck(NamedTuple):
    """Asks a sidecar whether it would accept an attempt; sent before the attempt itself.

    Args:
        may_be_trial: Whether the attempt may go to a target that will probably fail.
        may_wait: Whether it may queue at the target.
        pressing: Whether all targets refused the request before.
        most_bad: Highest acceptable probability that the target is failing, 0 to 1.
        most_wait_ms: Longest acceptable wait for a slot in milliseconds.
        spare: Whether the request is not lost if the attempt fails, or is refused without it.
        repeat: Whether an earlier attempt at the request reached a target.
        route: Route of the request, by which its typical latency is looked up.
        notice: What the ingress knows that the target stated, `None` for nothing.
        slot: Slot that the sidecar holds for the attempt, `None` for none.
        wait: Place of the request in the waiting order, see `roadpass.wait_order`.
        parent_repeat: Whether the request is a call that a retry makes.
        standing: Order of the request within its class, see `roadpass.standing`.
    """

    target: str
    traffic_class: str
    may_be_trial: bool
    may_wait: bool
    pressing: bool
    most_bad: float = 1.0
    spare: bool = True
    most_wait_ms: float = UNBOUNDED_MS
    repeat: bool = False
    route: str = ""
    notice: list[Any] | None = None
    slot: int | None = None
    wait: list[Any] | None = None
    parent_repeat: bool = False
    standing: int = FRESH

    @classmethod
    def of(cls, attempt: Attempt) -> "AdmissionCheck":
        """Build the check for an attempt."""
        return cls(
            attempt.target,
            attempt.traffic_class,
            attempt.may_be_trial,
            attempt.may_wait,
            attempt.pressing,
            attempt.most_bad,
            attempt.spare,
            attempt.most_wait_ms,
            attempt.retry,
            attempt.route,
            attempt.notice,
            attempt.slot,
            attempt.wait,
            bool(attempt.parent_repeat),
            attempt.standing,
        )

    @classmethod
    def from_message(cls, message: Message) -> "AdmissionCheck":
        """Build an admission check from a checked message."""
        return cls(
            message["target"],
            message["traffic_class"],
            message["repeatable"],
            message["may_wait"],
            message["pressing"],
            message.get("most_bad", 1.0),
            message.get("spare", True),
            message.get("most_wait_ms", UNBOUNDED_MS),
            message.get("retry", False),
            message.get("route", ""),
            message.get("notice"),
            message.get("slot"),
            message.get("wait"),
            message.get("parent_repeat", False),
            message.get("standing", FRESH),
        )

    def to_message(self) -> Message:
        """Return the wire form without default values, since these messages are frequent."""
        message: dict[str, Any] = {
            "t": "check",
            "target": self.target,
            "traffic_class": self.traffic_class,
            "repeatable": self.may_be_trial,
            "may_wait": self.may_wait,
            "pressing": self.pressing,
        }
        if self.most_bad < 1.0:
            message["most_bad"] = self.most_bad
        if self.most_wait_ms < UNBOUNDED_MS:
            message["most_wait_ms"] = int(self.most_wait_ms)
        if not self.spare:
            message["spare"] = False
        if self.repeat:
            message["retry"] = True
        if self.route:
            message["route"] = self.route
        if self.notice is not None:
            message["notice"] = self.notice
        if self.slot is not None:
            message["slot"] = self.slot
        if self.wait is not None:
            message["wait"] = self.wait
        if self.parent_repeat:
            message["parent_repeat"] = True
        if self.standing != FRESH:
            message["standing"] = self.standing
        return message


class LoadReport(NamedTuple):
    """State of a target that its sidecar reports with every reply.

    Args:
        latency_ms: 95th percentile of the service time, 0 while there are too few samples.
        bad: Probability that the target is failing, 0 to 1.
        wait_ms: Milliseconds that the requester would wait for a slot.
    """

    in_flight: int
    queued: int
    limit: int
    failure_score: float
    slow_score: float
    latency_ms: float
    revision: int
    bad: float = 0.0
    wait_ms: float = 0.0


class Reply(NamedTuple):
    """A sidecar's reply: the outcome, with reports on the target and the request.

    Args:
        load: Load report of the target, if included.
        crash: Crash record of the request, if targets crashed while they processed it, see
            `roadpass.quarantine`.
        notice: What the target stated about itself, see `roadpass.notice_table`.
    """

    outcome: Outcome
    load: LoadReport | None = None
    crash: list[Any] | None = None
    notice: list[Any] | None = None

    @classmethod
    def from_message(cls, message: Message) -> "Reply":
        """Build a reply from a checked message.

        Raises:
            FrameError: The message is not a reply, or names an unknown reason.
        """
        load = LoadReport(**message["load"]) if "load" in message else None
        try:
            outcome = _outcome_from_message(message)
            return cls(outcome, load, message.get("crash"), message.get("notice"))
        except ValueError as error:
            raise FrameError(f"The reply is invalid: {error}.") from error

    def to_message(self) -> Message:
        """Return the wire form."""
        message = dict(_outcome_to_message(self.outcome))
        if self.load is not None:
            message["load"] = self.load._asdict()
        if self.crash is not None:
            message["crash"] = self.crash
        if self.notice is not None:
            message["notice"] = self.notice
        return message


def check(message: Any) -> Message:
    """Check the content of a frame against the schema of its type.

    Raises:
        FrameError: The content is malformed or its type unknown.
    """
    if not isinstance(message, dict) or not isinstance(message.get("t"), str):
        raise FrameError("The frame has no message type.")
    checker = _CHECKS.get(message["t"])
    if checker is None:
        raise FrameError("The frame has an unknown message type.")
    _run(checker, message)
    return message


def check_gossip(message: Any) -> Datagram:
    """Check the content of a datagram against its schema.

    Raises:
        FrameError: The content is malformed.
    """
    _run(check_datagram.validate, message)
    checked: Datagram = message
    return checked


def _run(checker: Callable[[Any], Any], message: Any) -> None:
    try:
        checker(message)
    except (JsonSchemaException, TypeError, ValueError, KeyError, AttributeError) as error:
        raise FrameError(f"The message is malformed: {error}.") from error


def _outcome_from_message(message: Message) -> Outcome:
    match message["t"]:
        case "answered":
            headers = [(name, value) for name, value in message["headers"]]
            body = message["body"]
            if not isinstance(body, bytes):
                raise FrameError("The body of the response is not bytes.")
            return Answered(message["status"], headers, body, message["service_ms"])
        case "not_run":
            reason = _known_detail(message) or Reason(message["reason"])
            return NotRun(reason, message["retry_after_ms"])
        case "unknown":
            return Unknown(Reason(message["reason"]))
        case other:
            raise FrameError(f"A message of type '{other}' is not a reply.")


def _outcome_to_message(outcome: Outcome) -> Message:
    match outcome:
        case Answered(status=status, headers=headers, body=body, service_ms=service_ms):
            return {
                "t": "answered",
                "status": status,
                "headers": headers,
                "body": body,
                "service_ms": service_ms,
            }
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            sent = _LESS_SPECIFIC.get(reason, reason)
            not_run = {"t": "not_run", "reason": sent.value, "retry_after_ms": retry_after_ms}
            return not_run if sent is reason else {**not_run, "detail": reason.value}
        case Unknown(reason=reason):
            return {"t": "unknown", "reason": reason.value}


def _known_detail(message: Message) -> Reason | None:
    """Return the more specific reason of a refusal, `None` if there is none known here."""
    try:
        return Reason(message.get("detail", ""))
    except ValueError:
        return None

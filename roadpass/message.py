"""Messages between nodes: their checks and the outcomes' written form."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias

from fastjsonschema import JsonSchemaException

from roadpass._generated import (
    check_accepted,
    check_answered,
    check_attempt,
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

UNBOUNDED_MS = 1e9
"""Milliseconds that stand for no bound: no message holds an infinite number."""

Message: TypeAlias = Mapping[str, Any]
"""A checked message; the generated typed dictionaries are its forms."""

_CHECKS: Mapping[str, Callable[[Any], Any]] = {
    "hello": check_hello.validate,
    "attempt": check_attempt.validate,
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
    """One attempt at a request, as the sidecar gets it; times in milliseconds.

    Args:
        id: Ingress VM, its incarnation and a counter.
        remaining_ms: Time the ingress will still wait for it.
        revision: Configuration revision the ingress chose the target by.
        slow_ms: What counts as slow among the service's other targets, 0 if unknown.
        key: The caller's idempotency key in its service, empty for none.
        repeat: Whether the caller declared a repeat of that key.
        request_id: The caller's name for its request, empty for none.
        origin: Service of the VM at which the request began, empty if unknown.
        may_wait: Whether it may queue at the target; otherwise it wants a free slot or a refusal.
        pressing: Whether every target refused it before: a failing one is better than none.
        last: Whether no other attempt may follow it.
        most_bad: How probably bad a target it takes, 0 to 1.
        most_wait_ms: Milliseconds that it would wait for a slot at the most.
        usual_ms: Milliseconds that one of its kind usually takes, 0 if the ingress does not know.
        fingerprint: Of the request, see `roadpass.fingerprint`; empty if the ingress tells none.
        customer: Whose request it is, empty if nobody's in particular.
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

    @property
    def may_be_trial(self) -> bool:
        """Whether it may go where it will probably fail: it can be repeated and has yet to be."""
        return self.repeatable and not self.retry

    @property
    def spare(self) -> bool:
        """Whether the request is not lost with it, or would be refused without it."""
        return self.pressing or not self.last

    @property
    def ingress(self) -> str:
        """VM of the ingress that made it."""
        return self.id.split("/", 1)[0]

    @classmethod
    def from_message(cls, message: Message) -> "Attempt":
        """Build an attempt from a checked message.

        Raises:
            FrameError: Its body is not bytes.
        """
        if not isinstance(message["body"], bytes):
            raise FrameError("The attempt's body is not bytes.")
        fields = {name: message[name] for name in cls._fields if name in message}
        fields["headers"] = [(name, value) for name, value in message["headers"]]
        return cls(**fields)

    def to_message(self) -> Message:
        """Return the written form."""
        return {"t": "attempt", **self._asdict()}


class AdmissionCheck(NamedTuple):
    """What a sidecar needs to know to tell whether it would take an attempt.

    Args:
        may_be_trial: Whether it may go where it will probably fail.
        may_wait: Whether it may queue there.
        pressing: Whether every target refused it before.
        most_bad: How probably bad a target it takes, 0 to 1.
        most_wait_ms: Milliseconds that it would wait for a slot at the most.
        spare: Whether the request is not lost with the attempt.
        repeat: Whether it repeats one that reached a target.
        route: Of the request, by which its usual time is known.
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

    @classmethod
    def of(cls, attempt: Attempt) -> "AdmissionCheck":
        """Build the question of an attempt."""
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
        )

    @classmethod
    def from_message(cls, message: Message) -> "AdmissionCheck":
        """Build a question from a checked message."""
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
        )

    def to_message(self) -> Message:
        """Return the written form, without what is as usual: questions are many."""
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
        return message


class LoadReport(NamedTuple):
    """What a sidecar says of one of its targets with every answer.

    Args:
        latency_ms: 95th percentile of its service time, 0 while too few samples tell.
        bad: How probable it is that the target is in a bad spell, 0 to 1.
        wait_ms: Milliseconds that who asked would wait for a slot there.
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
    """An outcome, and what its sidecar tells besides.

    Args:
        load: Report on the target, if one came with it.
        crash: What is known of the request if targets ended under it, see `roadpass.quarantine`.
    """

    outcome: Outcome
    load: LoadReport | None = None
    crash: list[Any] | None = None

    @classmethod
    def from_message(cls, message: Message) -> "Reply":
        """Build a reply from a checked message.

        Raises:
            FrameError: It is no reply, or names an unknown reason.
        """
        load = LoadReport(**message["load"]) if "load" in message else None
        try:
            return cls(_outcome_from_message(message), load, message.get("crash"))
        except ValueError as error:
            raise FrameError(f"The reply is not usable: {error}.") from error

    def to_message(self) -> Message:
        """Return the written form."""
        message = dict(_outcome_to_message(self.outcome))
        if self.load is not None:
            message["load"] = self.load._asdict()
        if self.crash is not None:
            message["crash"] = self.crash
        return message


def check(message: Any) -> Message:
    """Check a frame's content against the schema of its type.

    Raises:
        FrameError: It is malformed.
    """
    if not isinstance(message, dict) or not isinstance(message.get("t"), str):
        raise FrameError("The frame has no type.")
    checker = _CHECKS.get(message["t"])
    if checker is None:
        raise FrameError("The frame has an unknown type.")
    _run(checker, message)
    return message


def check_gossip(message: Any) -> Datagram:
    """Check a datagram's content against its schema.

    Raises:
        FrameError: It is malformed.
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
                raise FrameError("The answer's body is not bytes.")
            return Answered(message["status"], headers, body, message["service_ms"])
        case "not_run":
            return NotRun(Reason(message["reason"]), message["retry_after_ms"])
        case "unknown":
            return Unknown(Reason(message["reason"]))
        case other:
            raise FrameError(f"The frame '{other}' is no reply.")


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
            return {"t": "not_run", "reason": reason.value, "retry_after_ms": retry_after_ms}
        case Unknown(reason=reason):
            return {"t": "unknown", "reason": reason.value}

"""Sends an attempt to one target and maps the result to an outcome."""

import re

from roadpass import clock
from roadpass.crash_guard import CrashGuard
from roadpass.decision import decided
from roadpass.dialect import OWN, Dialect
from roadpass.errors import TargetError, TargetRefusedError
from roadpass.evidence import classify_end
from roadpass.failed_calls import CallLog
from roadpass.failure_estimator import End
from roadpass.fleet import Service, Target
from roadpass.message import Attempt
from roadpass.notice_table import NoticeTable
from roadpass.outcome import (
    RETRY_LATER_MS,
    RETRY_SOON_MS,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from roadpass.quarantine import Quarantine
from roadpass.request import CallerWatch
from roadpass.slots import Slots
from roadpass.target import (
    CallerLeftError,
    TargetAnswer,
    TargetClient,
    TargetLostError,
    TargetTimeoutError,
)
from roadpass.target_notice import TargetNotice
from roadpass.warm_up import WarmUps

_SECONDS = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?")


class Exchange:
    """Sends admitted attempts to a target; thread-safe.

    Args:
        target: Configuration of the target.
        service: Configuration of its service.
        slots: The target's slots, which also tell whether it is shutting down.
        quarantine: The node's record of requests during which targets exited.
        calls: Outcomes of the requests that targets of this VM may have made.
        notices: What targets state about themselves; responses are recorded there.
        dialect: Header names and rules to talk to the target.
        warm_ups: What targets state about their warm-up; responses are recorded there.

    Attributes:
        guard: Records the requests in flight, and those during which the target exited.
    """

    def __init__(
        self,
        target: Target,
        service: Service,
        slots: Slots,
        quarantine: Quarantine,
        calls: CallLog,
        notices: NoticeTable,
        *,
        dialect: Dialect = OWN,
        warm_ups: WarmUps,
    ) -> None:
        self._warm_ups = warm_ups
        self._notices = notices
        self._target = target
        self._service = service
        self._slots = slots
        self._calls = calls
        self._client = TargetClient(
            target.address, max_connections=target.connections, dialect=dialect
        )
        self.guard = CrashGuard(target.name, quarantine, lambda: self._client.refuses_connections())

    def configure(self, target: Target, service: Service) -> None:
        """Apply changed settings of a target whose address is the same."""
        self._target = target
        self._service = service

    def cancel(self, attempt_id: str) -> None:
        """Cancel a running attempt; does nothing if it does not run here."""
        self._client.cancel(attempt_id)

    def extend_deadline(self, attempt_id: str, until: float) -> bool:
        """Extend the deadline of a running attempt; return whether it runs here."""
        return self._client.extend_deadline(attempt_id, until)

    def run(
        self,
        attempt: Attempt,
        started: float,
        deadline: float,
        watch: CallerWatch | None,
        *,
        bad: float,
        trial: bool,
    ) -> tuple[Outcome, End]:
        """Send an attempt to the target and wait for its outcome.

        Args:
            attempt: The attempt, which has been admitted and holds a slot.
            started: Clock seconds of its start.
            deadline: Clock seconds by which it must have ended.
            watch: Detects that the caller has disconnected, if this node is also its ingress.
            bad: Failure probability of the target before the attempt, for the log.
            trial: Whether the attempt is a trial, for the log.

        Returns:
            The outcome of the attempt, and its class as evidence about the target.
        """
        self.guard.begin(attempt)
        end = End.INCONCLUSIVE
        try:
            self._log_start(attempt, bad=bad, trial=trial)
            outcome, end = self._outcome(attempt, started, deadline, watch)
            return outcome, end
        finally:
            self.guard.finish(attempt, aborted=end is End.NO_RESPONSE)

    def _outcome(
        self, attempt: Attempt, started: float, deadline: float, watch: CallerWatch | None
    ) -> tuple[Outcome, End]:
        try:
            outcome = self._read_answer(self._ask(attempt, deadline - started, watch))
        except TargetRefusedError as error:
            gone = isinstance(error.__cause__, ConnectionRefusedError)
            if gone:
                self.guard.record_refused_connection(leaving=self._slots.leaving)
            self._log_loss(attempt, error, gone=gone)
            return NotRun(Reason.REFUSED, RETRY_LATER_MS), End.LOST
        except TargetTimeoutError:
            return Unknown(Reason.TIMEOUT), End.NO_RESPONSE
        except CallerLeftError:
            return Unknown(Reason.CANCELLED), End.NO_RESPONSE
        except TargetError as error:
            lost = isinstance(error, TargetLostError)
            gone = lost and self.guard.detect_crash(attempt, leaving=self._slots.leaving)
            self._log_loss(attempt, error, gone=gone)
            return Unknown(Reason.TARGET_LOST), End.LOST if lost else End.INCONCLUSIVE
        now = clock.now()
        end = classify_end(outcome, now - started, deadline - started)
        if end is End.FAILED and self._calls.explains(started, now, deadline):
            end = End.DEPENDENCY_FAILED
        return outcome, end

    def _ask(self, attempt: Attempt, timeout_s: float, watch: CallerWatch | None) -> TargetAnswer:
        def on_notice(notice: TargetNotice, started: float) -> None:
            self._notices.hear(
                clock.now(), self._target.name, notice, started, request=attempt.request_id
            )
            self._warm_ups.hear(clock.now(), self._target.name, notice, request=attempt.request_id)

        return self._client.send(
            attempt.id,
            attempt.method,
            attempt.path,
            attempt.headers,
            attempt.body,
            timeout_s=timeout_s,
            fresh=not attempt.repeatable,
            request_id=attempt.request_id,
            instance=self._target.instance,
            origin=attempt.origin,
            customer=attempt.customer,
            watch=watch,
            on_notice=on_notice,
        )

    def _read_answer(self, got: TargetAnswer) -> Outcome:
        """Return the response, or `NotRun` if the target states that it did not run the request."""
        answer = got.answer
        if got.not_run or answer.status == self._service.shed_status:
            return NotRun(Reason.SHED, _retry_after_ms(answer.headers))
        return answer

    def _log_start(self, attempt: Attempt, *, bad: float, trial: bool) -> None:
        decided(
            "sidecar",
            "start",
            request=attempt.request_id,
            attempt=attempt.id,
            target=self._target.name,
            bad=round(bad, 3),
            trial=trial,
            running=self._slots.in_use,
        )

    def _log_loss(self, attempt: Attempt, error: TargetError, *, gone: bool) -> None:
        decided(
            "sidecar",
            "target-lost",
            request=attempt.request_id,
            attempt=attempt.id,
            target=self._target.name,
            error=str(error),
            fingerprint=attempt.fingerprint,
            gone=gone,
            beside=self._slots.in_use - 1,
        )


def _retry_after_ms(headers: list[tuple[str, str]]) -> int:
    """Return the wait that a target names in seconds, which may have fractions."""
    for name, value in headers:
        if name.lower() == "retry-after" and _SECONDS.fullmatch(value):
            return round(float(value) * 1000.0)
    return RETRY_SOON_MS

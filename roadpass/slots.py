"""The slots of one target: who has one, who waits for one, and for how long."""

import math
import threading
from collections.abc import Sequence

from roadpass import clock
from roadpass.admission import Admission, Admitted, Queued, Refused, Ticket
from roadpass.ending import Shutdown
from roadpass.fleet import TrafficClass
from roadpass.limit import AdaptiveLimit
from roadpass.message import Attempt
from roadpass.outcome import RETRY_SOON_MS, NotRun, Reason

WAIT_FACTOR = 1.5
WAIT_MIN_S = 0.1
"""A request leaves a target's queue after so many times the wait that was expected, and so many
seconds at the least: by then others have free slots."""


class Slots:
    """Admission and adaptive limit of one target, with the threads that wait.

    Args:
        classes: The service's classes, the most important first.
        slots: Requests the target runs at once.
        queue_limit: Requests that may wait.
        lock: Guards the state; of whoever owns this, who holds it where that is said.
        shutdown: When this process ends.
    """

    def __init__(
        self,
        classes: Sequence[TrafficClass],
        *,
        slots: int,
        queue_limit: int,
        lock: threading.Lock,
        shutdown: Shutdown,
    ) -> None:
        self._limit = AdaptiveLimit(slots)
        self._admission = Admission(classes, slots=slots, queue_limit=queue_limit)
        self._queued: dict[str, Ticket] = {}
        self._lock = lock
        self._ending = shutdown
        self._leaving = False

    @property
    def leaving(self) -> bool:
        """Whether the target leaves: nobody gets a slot any more."""
        return self._leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        """Send back who waits: at its turn it would be refused, with less time to go elsewhere."""
        self._leaving = leaving
        if leaving:
            _wake_all(list(self._queued.values()))

    @property
    def in_use(self) -> int:
        """Requests that hold a slot."""
        return self._admission.in_use

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return self._admission.waiting

    @property
    def limit(self) -> int:
        """Requests that may run at once now."""
        return self._limit.value

    @property
    def service_ms(self) -> float:
        """Smoothed service time, 0 before the first answer."""
        return self._limit.service_ms

    def resize(self, slots: int) -> None:
        """Take over a new number of slots; the caller holds the lock."""
        self._limit.resize(slots)

    def expected_wait_ms(self, traffic_class: str, typical_ms: float) -> float:
        """Return how long a new request would probably wait; see `Admission`."""
        return self._admission.expected_wait_ms(traffic_class, typical_ms)

    def take(self, attempt: Attempt, deadline: float, typical_ms: float) -> NotRun | None:
        """Take a slot for an attempt, or wait for one.

        Args:
            attempt: Which wants to run.
            deadline: Clock seconds.
            typical_ms: Milliseconds that one of its kind usually takes, 0 if unknown.

        Returns:
            Why it got none, `None` if it has one, which is to be released.
        """
        now = clock.now()
        with self._lock:
            if self._leaving or now >= self._ending.last_start(attempt.usual_ms):
                return NotRun(Reason.LEAVING, RETRY_SOON_MS)
            self._admission.set_limit(self._limit.value, self._limit.service_ms)
            decision = self._admission.offer(
                now,
                attempt.traffic_class,
                attempt.caller,
                deadline - now,
                retry=attempt.retry,
                typical_ms=typical_ms,
            )
            expected_ms = self._admission.expected_wait_ms(attempt.traffic_class, typical_ms)
            match decision:
                case Admitted():
                    return None
                case Refused(reason=reason, retry_after_ms=retry_after_ms):
                    return NotRun(reason, retry_after_ms)
                case Queued(ticket=ticket, displaced=displaced):
                    ticket.signal = threading.Event()
                    self._queued[attempt.id] = ticket
        if displaced is not None:
            _wake(displaced)
        return self._wait(attempt, ticket, deadline, now + self._patience_s(expected_ms))

    def release(self, traffic_class: str) -> None:
        """Give a slot back."""
        with self._lock:
            _wake_all(self._admission.release(clock.now(), traffic_class))

    def cancel(self, attempt_id: str) -> bool:
        """Wake an attempt that waits, if it does.

        Returns:
            Whether it waited.
        """
        with self._lock:
            ticket = self._queued.get(attempt_id)
        if ticket is not None:
            _wake(ticket)
        return ticket is not None

    def learn(self, service_ms: float, slow_ms: float) -> None:
        """Learn from one answer; the caller holds the lock.

        Args:
            service_ms: Time that the target had the request.
            slow_ms: What counts as slow among the service's other targets, 0 if unknown.
        """
        self._limit.observe(clock.now(), service_ms, slow_ms, self._admission.in_use)
        self._admission.set_limit(self._limit.value, self._limit.service_ms)

    def _patience_s(self, expected_ms: float) -> float:
        """Return the seconds that a request waits at the most, by the wait that was expected."""
        if self._limit.service_ms <= 0.0:
            return math.inf
        return max(WAIT_MIN_S, WAIT_FACTOR * expected_ms / 1000.0)

    def _wait(
        self, attempt: Attempt, ticket: Ticket, deadline: float, patient_until: float
    ) -> NotRun | None:
        signal = ticket.signal
        assert isinstance(signal, threading.Event)

        def last_start() -> float:
            """A stop may begin while it waits: it is sent back then, not cut with the process."""
            return self._ending.last_start(attempt.usual_ms)

        def until() -> float:
            return -math.inf if self._leaving else min(deadline, patient_until, last_start())

        while not signal.wait(max(0.0, min(clock.STEP_S, until() - clock.now()))):
            if clock.now() >= until():
                break
        with self._lock:
            self._queued.pop(attempt.id, None)
            if ticket.granted:
                return None
            _wake_all(self._admission.abandon(clock.now(), ticket))
        now = clock.now()
        if self._leaving or now >= last_start():
            return NotRun(Reason.LEAVING, RETRY_SOON_MS)
        if now >= deadline:
            return NotRun(Reason.TOO_LATE, RETRY_SOON_MS)
        if now >= patient_until:
            return NotRun(Reason.BUSY, RETRY_SOON_MS)
        return NotRun(Reason.QUEUE_FULL, RETRY_SOON_MS)


def _wake_all(tickets: list[Ticket]) -> None:
    for ticket in tickets:
        _wake(ticket)


def _wake(ticket: Ticket) -> None:
    if isinstance(ticket.signal, threading.Event):
        ticket.signal.set()

"""Concurrency slots of one target, and the queue of attempts that wait for one."""

import math
import threading
from collections.abc import Callable, Sequence

from roadpass import clock
from roadpass.adaptive_limit import AdaptiveLimit
from roadpass.admission import Admission, Admitted, ExpectedWait, Queued, Refused
from roadpass.class_queue import Ticket
from roadpass.fleet import TrafficClass
from roadpass.message import Attempt
from roadpass.outcome import RETRY_SOON_MS, NotRun, Reason
from roadpass.shutdown import Shutdown
from roadpass.standing import FRESH
from roadpass.start_limit import StartLimit

WAIT_FACTOR = 1.5
WAIT_MIN_S = 0.1
"""A request leaves a target's queue after this multiple of its expected wait, but not before this
many seconds: by then other targets have free slots."""
MIN_STEP_S = 0.001
"""Shortest time between two looks of a waiting attempt, in seconds."""


class Slots:
    """Admission control and adaptive concurrency limit of one target; blocks waiting threads.

    Args:
        classes: The service's traffic classes, the most important first.
        slots: Maximum number of concurrent requests at the target.
        queue_limit: Maximum number of requests that wait.
        lock: The owner's lock, which guards the state; some methods expect the caller to hold it.
        shutdown: When this process ends.
        starts: Limit of the target's starts, `None` for no limit.
        bearable: Returns how many requests the target bears at a time in clock seconds, such as
            while it is cold; `None` for all its slots.
    """

    def __init__(
        self,
        classes: Sequence[TrafficClass],
        *,
        slots: int,
        queue_limit: int,
        lock: threading.Lock,
        shutdown: Shutdown,
        starts: StartLimit | None = None,
        bearable: Callable[[float], int] | None = None,
    ) -> None:
        self._bearable = bearable
        self._limit = AdaptiveLimit(slots)
        self._starts = starts or StartLimit()
        self._admission = Admission(
            classes, slots=slots, queue_limit=queue_limit, starts=self._starts
        )
        self._queued: dict[str, Ticket] = {}
        self._lock = lock
        self._shutdown = shutdown
        self._leaving = False

    @property
    def leaving(self) -> bool:
        """Whether the target is shutting down and no more slots are given out."""
        return self._leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        """Also wakes the queue: attempts refused now have more time to run at another target."""
        self._leaving = leaving
        if leaving:
            _wake_all(list(self._queued.values()))

    @property
    def in_use(self) -> int:
        """Number of requests that hold a slot."""
        return self._admission.in_use

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._admission.waiting

    def free(self, now: float) -> int:
        """Return the slots that new requests would get now; the caller must hold the lock."""
        if self._leaving:
            return 0
        starts = 1 if self._starts.limited else self._admission.free
        return min(self._admission.free, starts) if self._starts.wait_s(now) <= 0.0 else 0

    @property
    def limit(self) -> int:
        """Current limit of concurrent requests."""
        return self._limit_at(clock.now())

    @property
    def service_ms(self) -> float:
        """Smoothed service time in milliseconds, 0 before the first response."""
        return self._limit.service_ms

    def resize(self, slots: int) -> None:
        """Apply a changed number of slots; the caller must hold the lock."""
        self._limit.resize(slots)

    def set_rate(self, now: float, rate_per_s: float | None) -> None:
        """Apply a limit of starts in requests a second, `None` for none."""
        with self._lock:
            self._starts.set_rate(now, rate_per_s)
            _wake_all(self._admission.grant_due(now))

    def expected_wait(
        self, now: float, traffic_class: str, typical_ms: float, standing: int = FRESH
    ) -> ExpectedWait:
        """Return the expected wait of a new request; see `Admission`."""
        return self._admission.expected_wait(now, traffic_class, typical_ms, standing)

    def acquire(self, attempt: Attempt, deadline: float, typical_ms: float) -> NotRun | None:
        """Acquire a slot for an attempt, waiting for one if needed.

        Args:
            attempt: The attempt that needs a slot.
            deadline: Clock seconds.
            typical_ms: Typical latency of its kind in milliseconds, 0 if unknown.

        Returns:
            `None` if it has a slot, which the caller must release; otherwise why it has none.
        """
        now = clock.now()
        with self._lock:
            if self._leaving or now >= self._shutdown.last_start(attempt.usual_ms):
                return NotRun(Reason.LEAVING, RETRY_SOON_MS)
            self._admission.set_limit(self._limit_at(now), self._limit.service_ms)
            decision = self._admission.offer(
                now,
                attempt.traffic_class,
                attempt.caller,
                deadline - now,
                retry=attempt.retry,
                typical_ms=typical_ms,
                standing=attempt.standing,
            )
            expected = self._admission.expected_wait(
                now, attempt.traffic_class, typical_ms, attempt.standing
            )
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
        return self._wait(attempt, ticket, deadline, now + self._max_wait_s(expected.ms))

    def hold(self, rank: int) -> str | None:
        """Hold a free slot for a class by its rank; return the class, `None` if none is free.

        The slot counts as in use until it is released or used.
        """
        with self._lock:
            if self._leaving:
                return None
            self._admission.set_limit(self._limit.value, self._limit.service_ms)
            return self._admission.hold(clock.now(), rank)

    def use_hold(self, held: str, attempt: Attempt) -> NotRun | None:
        """Give an attempt the slot that is held for it; otherwise release it and return why."""
        if self._leaving or clock.now() >= self._shutdown.last_start(attempt.usual_ms):
            self.release(held, started=False)
            return NotRun(Reason.LEAVING, RETRY_SOON_MS)
        with self._lock:
            self._admission.use_hold(held, attempt.traffic_class)
        return None

    def release(self, traffic_class: str, *, started: bool = True) -> None:
        """Release a slot and wake the attempts that it goes to.

        Args:
            traffic_class: Class of the attempt that had it.
            started: Whether the attempt was sent to the target.
        """
        with self._lock:
            now = clock.now()
            if self._limit_at(now) < self._limit.value:
                self._admission.set_limit(self._limit_at(now), self._limit.service_ms)
            _wake_all(self._admission.release(now, traffic_class, started=started))

    def cancel(self, attempt_id: str) -> bool:
        """End the wait of an attempt in the queue.

        Returns:
            Whether it was waiting.
        """
        with self._lock:
            ticket = self._queued.get(attempt_id)
        if ticket is not None:
            _wake(ticket)
        return ticket is not None

    def learn(self, service_ms: float, slow_ms: float) -> None:
        """Adjust the limit by one response; the caller must hold the lock.

        Args:
            service_ms: Time that the target had the request.
            slow_ms: Service time that counts as slow, 0 if unknown.
        """
        now = clock.now()
        self._limit.observe(now, service_ms, slow_ms, self._admission.in_use)
        self._admission.set_limit(self._limit_at(now), self._limit.service_ms)

    def apply_limit(self, now: float) -> None:
        """Apply a limit that changed with time alone, and grant the slots that it adds."""
        with self._lock:
            self._admission.set_limit(self._limit_at(now), self._limit.service_ms)
            _wake_all(self._admission.grant_due(now))

    def _limit_at(self, now: float) -> int:
        """Return the limit of concurrent requests at a time in clock seconds."""
        limit = self._limit.value
        return limit if self._bearable is None else min(limit, self._bearable(now))

    def _max_wait_s(self, expected_ms: float) -> float:
        """Return the maximum wait in seconds for a given expected wait."""
        if self._limit.service_ms <= 0.0:
            return math.inf
        return max(WAIT_MIN_S, WAIT_FACTOR * expected_ms / 1000.0)

    def _wait(
        self, attempt: Attempt, ticket: Ticket, deadline: float, wait_until: float
    ) -> NotRun | None:
        signal = ticket.signal
        assert isinstance(signal, threading.Event)

        def last_start() -> float:
            """Return the latest start, read anew on each call.

            A shutdown that begins during the wait must end it, so that the attempt goes to another
            target instead of being cut when the process exits.
            """
            return self._shutdown.last_start(attempt.usual_ms)

        def until() -> float:
            return -math.inf if self._leaving else min(deadline, wait_until, last_start())

        while not signal.wait(max(0.0, min(self._step_s(), until() - clock.now()))):
            if clock.now() >= until():
                break
            self._grant_due_starts()
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
        if now >= wait_until:
            return self._refusal_after_wait(now)
        return NotRun(Reason.QUEUE_FULL, RETRY_SOON_MS)

    def _refusal_after_wait(self, now: float) -> NotRun:
        """Return the refusal of an attempt that has waited longer than was expected."""
        with self._lock:
            start_ms = int(self._starts.wait_s(now) * 1000.0)
        reason = Reason.LIMITED if start_ms else Reason.BUSY
        return NotRun(reason, max(RETRY_SOON_MS, start_ms))

    def _grant_due_starts(self) -> None:
        """Grant the starts that became due since the last look."""
        with self._lock:
            if self._starts.limited:
                _wake_all(self._admission.grant_due(clock.now()))

    def _step_s(self) -> float:
        """Return the seconds until a waiting attempt looks for a start that is due."""
        with self._lock:
            wait_s = self._starts.wait_s(clock.now())
        return min(clock.STEP_S, max(MIN_STEP_S, wait_s)) if wait_s > 0.0 else clock.STEP_S


def _wake_all(tickets: list[Ticket]) -> None:
    for ticket in tickets:
        _wake(ticket)


def _wake(ticket: Ticket) -> None:
    if isinstance(ticket.signal, threading.Event):
        ticket.signal.set()

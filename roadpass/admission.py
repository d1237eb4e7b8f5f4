"""Admission control at the sidecar: concurrency slots, short queues per traffic class, reserved
shares, fairness among callers, deadlines, and the limit of starts that a target names.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from roadpass.class_queue import ClassState, Ticket
from roadpass.fleet import TrafficClass
from roadpass.outcome import Reason
from roadpass.standing import ABOVE_SHARE, CALL, FRESH
from roadpass.start_limit import StartLimit

MIN_RETRY_AFTER_MS = 100
SHORT_SHARE = 0.75
"""A request whose typical latency is at most this share of the mean service time is put before all
queued requests: it delays them little, and is often a nested call that a running request waits for
while it holds a slot."""
SHORT_TURNS = 2
"""Short requests granted in a row before one of the others, so that a flood of short requests does
not starve these."""
RETRY_QUEUE_SHARE = 0.25
"""Retries are queued only while the queue is below this share of its limit, so they are shed
first."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may start immediately; its slot must be released."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits until its ticket is granted or abandoned.

    Attributes:
        ticket: Ticket to wait on.
        displaced: Ticket removed from the queue in favour of this one; it will never be granted.
    """

    ticket: Ticket
    displaced: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was rejected, with the delay after which to retry."""

    reason: Reason
    retry_after_ms: int


Decision: TypeAlias = Admitted | Queued | Refused


class ExpectedWait(NamedTuple):
    """Expected wait of a new request.

    Args:
        ms: Milliseconds, 0 if it may start now.
        reason: What it would wait for, `BUSY` for a slot or `LIMITED` for a start.
    """

    ms: float
    reason: Reason = Reason.BUSY


class Admission:
    """Decides for one target whether a request starts now, is queued, or is refused immediately.

    Args:
        classes: Traffic classes of the service, the most important first.
        slots: Requests that the target runs concurrently.
        queue_limit: Maximum number of queued requests.
        starts: Limit of the target's starts, `None` for no limit.
    """

    def __init__(
        self,
        classes: Sequence[TrafficClass],
        *,
        slots: int,
        queue_limit: int,
        starts: StartLimit | None = None,
    ) -> None:
        self._starts = starts or StartLimit()
        self._slots = slots
        self._queue_limit = queue_limit
        self._classes = {entry.name: ClassState(entry.reserved) for entry in classes}
        self._last_class = classes[-1].name
        self._short: deque[Ticket] = deque()
        self._short_turns = 0
        self._in_use = 0
        self._service_ms = 0.0

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return self._in_use

    @property
    def free(self) -> int:
        """Number of slots that new requests of the least important class would get now."""
        if self.waiting:
            return 0
        kept_free = sum(
            max(0.0, state.reserved * self._slots - state.in_use)
            for name, state in self._classes.items()
            if name != self._last_class
        )
        return max(0, self._slots - self._in_use - int(kept_free))

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._short) + sum(state.waiting for state in self._classes.values())

    def set_limit(self, slots: int, service_ms: float) -> None:
        """Set the adaptive concurrency limit and the measured mean service time."""
        self._slots = slots
        self._service_ms = service_ms

    def offer(
        self,
        now: float,
        traffic_class: str,
        caller: str,
        remaining_s: float,
        *,
        retry: bool,
        typical_ms: float = 0.0,
        standing: int = FRESH,
    ) -> Decision:
        """Decide on a new request.

        Args:
            now: Clock seconds.
            traffic_class: Name of its class; an unknown one counts as the least important.
            caller: Identity of the caller, for fairness among callers.
            remaining_s: Seconds until its deadline.
            retry: Whether it is a retry, which is shed first.
            typical_ms: Typical latency of such requests in milliseconds, 0 if unknown. With it a
                short request meets a deadline that the mean service time would miss.
            standing: Order within its class, see `roadpass.standing`.
        """
        standing = min(standing, ABOVE_SHARE)
        name = traffic_class if traffic_class in self._classes else self._last_class
        state = self._classes[name]
        if remaining_s * 1000.0 <= 0.0:
            return Refused(Reason.EXPIRED, MIN_RETRY_AFTER_MS)
        may_run = not self._short and state.waiting == 0 and self._may_run(name)
        if may_run and self._starts.take(now):
            self._occupy(state)
            return Admitted()
        short = self._is_short(typical_ms) and standing != CALL
        wait_ms, reason = self._estimate_wait(now, name, short=short, standing=standing)
        if wait_ms + (typical_ms or self._service_ms) > remaining_s * 1000.0:
            return self._refuse(Reason.TOO_LATE if reason is Reason.BUSY else reason, wait_ms)
        displaced = None
        if not self._has_room(state, caller, retry):
            displaced = None if retry else self._displace(state, standing)
            if displaced is None:
                return self._refuse(Reason.QUEUE_FULL, wait_ms)
        ticket = Ticket(name, caller, now + remaining_s, short=short, standing=standing)
        if short:
            self._short.append(ticket)
        else:
            state.push(ticket)
        return Queued(ticket, displaced)

    def expected_wait(
        self, now: float, traffic_class: str, typical_ms: float = 0.0, standing: int = FRESH
    ) -> ExpectedWait:
        """Estimate the wait of a new request.

        Args:
            now: Clock seconds.
            traffic_class: Name of its class.
            typical_ms: Typical latency of such requests in milliseconds, 0 if unknown.
            standing: Order within its class, see `roadpass.standing`.
        """
        standing = min(standing, ABOVE_SHARE)
        name = traffic_class if traffic_class in self._classes else self._last_class
        if self.waiting == 0 and self._may_run(name) and self._starts.wait_s(now) <= 0.0:
            return ExpectedWait(0.0)
        short = self._is_short(typical_ms) and standing != CALL
        wait = self._estimate_wait(now, name, short=short, standing=standing)
        return wait._replace(ms=max(1.0, wait.ms))

    def grant_due(self, now: float) -> list[Ticket]:
        """Return the tickets granted because the target accepts further starts by now."""
        return self._grant(now)

    def release(self, now: float, traffic_class: str, *, started: bool = True) -> list[Ticket]:
        """Release a slot.

        Args:
            now: Clock seconds.
            traffic_class: Name of the request's class.
            started: Whether the request was sent to the target.

        Returns:
            The tickets granted as a result. Expired tickets are dropped without notice, as their
            waiting threads time out at the same deadline.
        """
        name = traffic_class if traffic_class in self._classes else self._last_class
        self._classes[name].in_use -= 1
        self._in_use -= 1
        if not started:
            self._starts.give_back()
        return self._grant(now)

    def hold(self, now: float, rank: int) -> str | None:
        """Occupy a free slot for a request that is to come.

        Args:
            now: Clock seconds.
            rank: Index of its class; an unknown one counts as the least important.

        Returns:
            The class under which it counts, `None` if there is no free slot or a request waits.
        """
        name = list(self._classes)[min(rank, len(self._classes) - 1)]
        if self.waiting or not self._may_run(name) or not self._starts.take(now):
            return None
        self._occupy(self._classes[name])
        return name

    def use_hold(self, held: str, traffic_class: str) -> None:
        """Pass the slot that is held under one class on to a request of a class."""
        name = traffic_class if traffic_class in self._classes else self._last_class
        self._classes[held].in_use -= 1
        self._classes[name].in_use += 1

    def abandon(self, now: float, ticket: Ticket) -> list[Ticket]:
        """Cancel a ticket, or release its slot if it has been granted in the meantime.

        Returns:
            The tickets granted as a result.
        """
        if ticket.granted:
            return self.release(now, ticket.traffic_class, started=False)
        if not ticket.short:
            self._classes[ticket.traffic_class].remove(ticket)
        elif ticket in self._short:
            self._short.remove(ticket)
        return []

    def _grant(self, now: float) -> list[Ticket]:
        granted: list[Ticket] = []
        while self._starts.wait_s(now) <= 0.0:
            ticket = self._next()
            if ticket is None:
                break
            if ticket.expires_at <= now:
                continue
            self._starts.take(now)
            self._occupy(self._classes[ticket.traffic_class])
            ticket.granted = True
            granted.append(ticket)
        return granted

    def _next(self) -> Ticket | None:
        """Remove and return the next ticket that may run: short ones first, except every third.

        A short one does not pass a call of its own or of a more urgent class.
        """
        short = bool(self._short) and self._may_run(self._short[0].traffic_class)
        if short and self._waiting_call(self._short[0].traffic_class):
            short = False
        if short and self._short_turns < SHORT_TURNS:
            self._short_turns += 1
            return self._short.popleft()
        for name, state in self._classes.items():
            if state.waiting and self._may_run(name):
                self._short_turns = 0
                return state.pop()
        return self._short.popleft() if short else None

    def _waiting_call(self, traffic_class: str) -> bool:
        """Return whether a call of a class, or of a more urgent one, waits and may run."""
        for name, state in self._classes.items():
            if state.queues[CALL].waiting and self._may_run(name):
                return True
            if name == traffic_class:
                break
        return False

    def _is_short(self, typical_ms: float) -> bool:
        return 0.0 < typical_ms <= SHORT_SHARE * self._service_ms

    def _occupy(self, state: ClassState) -> None:
        state.in_use += 1
        self._in_use += 1

    def _may_run(self, name: str) -> bool:
        kept_free = 0.0
        for other, state in self._classes.items():
            if other != name:
                kept_free += max(0.0, state.reserved * self._slots - state.in_use)
        return self._in_use + 1 + int(kept_free) <= self._slots

    def _has_room(self, state: ClassState, caller: str, retry: bool) -> bool:
        waiting = self.waiting
        if retry:
            return waiting < self._queue_limit * RETRY_QUEUE_SHARE
        if waiting >= self._queue_limit:
            return False
        own = sum(len(queue.by_caller.get(caller, ())) for queue in state.queues)
        callers = {name for queue in state.queues for name in queue.by_caller}
        fair = max(1, self._queue_limit // (len(callers) + 1))
        return own < fair or waiting < self._queue_limit // 2

    def _displace(self, state: ClassState, standing: int) -> Ticket | None:
        """Remove the newest ticket of a less important class to make room.

        For a call, also one of its own class that is no call.
        """
        names = list(self._classes.values())
        for other in reversed(names[names.index(state) + 1 :]):
            ticket = other.pop_newest(above=CALL - 1)
            if ticket is not None:
                return ticket
        return state.pop_newest(above=CALL) if standing == CALL else None

    def _estimate_wait(self, now: float, name: str, *, short: bool, standing: int) -> ExpectedWait:
        """Estimate the wait of a request that cannot start now, for a slot or for a start."""
        ahead = self._count_ahead(name, short=short, standing=standing)
        start_ms = self._starts.wait_s(now, ahead) * 1000.0
        slot_ms = (ahead + 1) / max(1, self._slots) * self._service_ms
        if start_ms > 0.0 and (start_ms > slot_ms or self._may_run(name)):
            return ExpectedWait(start_ms, Reason.LIMITED)
        return ExpectedWait(slot_ms)

    def _count_ahead(self, name: str, *, short: bool, standing: int) -> int:
        """Count the queued requests that start before a new one of a class."""
        names = list(self._classes)
        before = names[: names.index(name)]
        if standing == CALL:
            ahead = sum(ticket.traffic_class in before for ticket in self._short)
        else:
            ahead = len(self._short)
        if short:
            calls = (self._classes[one].queues[CALL].waiting for one in (*before, name))
            return ahead + sum(calls)
        own = self._classes[name].waiting_up_to(standing)
        return ahead + sum(self._classes[one].waiting for one in before) + own

    def _refuse(self, reason: Reason, wait_ms: float) -> Refused:
        backlog_ms = self.waiting * self._service_ms / max(1, self._slots)
        return Refused(reason, max(MIN_RETRY_AFTER_MS, int(max(wait_ms, backlog_ms))))

"""Queued requests of one traffic class at a target, by standing and with turns among callers."""

from collections import OrderedDict, deque

from roadpass.standing import ABOVE_SHARE, FRESH


class Ticket:
    """A queued request; `signal` is set and used by the waiting code only."""

    __slots__ = (
        "caller",
        "expires_at",
        "granted",
        "short",
        "signal",
        "standing",
        "traffic_class",
    )

    def __init__(
        self,
        traffic_class: str,
        caller: str,
        expires_at: float,
        *,
        short: bool = False,
        standing: int = FRESH,
    ) -> None:
        self.traffic_class = traffic_class
        self.caller = caller
        self.expires_at = expires_at
        self.granted = False
        self.short = short
        self.standing = standing
        self.signal: object = None


class CallerQueue:
    """Queue of the requests of one class and standing, round robin among callers."""

    def __init__(self) -> None:
        self.waiting = 0
        self.by_caller: OrderedDict[str, deque[Ticket]] = OrderedDict()

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self.by_caller.setdefault(ticket.caller, deque()).append(ticket)
        self.waiting += 1

    def pop(self) -> Ticket:
        """Remove and return the next ticket; there must be one."""
        caller, queue = next(iter(self.by_caller.items()))
        ticket = queue.popleft()
        self.waiting -= 1
        if queue:
            self.by_caller.move_to_end(caller)
        else:
            del self.by_caller[caller]
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket; does nothing if it is not queued here."""
        queue = self.by_caller.get(ticket.caller)
        if queue is None or ticket not in queue:
            return
        queue.remove(ticket)
        self.waiting -= 1
        if not queue:
            del self.by_caller[ticket.caller]

    def newest(self) -> Ticket:
        """Return the latest ticket of the caller whose turn is last; there must be one."""
        return next(reversed(self.by_caller.values()))[-1]


class ClassState:
    """Slots in use of one class, and its queues by standing."""

    def __init__(self, reserved: float) -> None:
        self.reserved = reserved
        self.in_use = 0
        self.queues = [CallerQueue() for _ in range(ABOVE_SHARE + 1)]

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(queue.waiting for queue in self.queues)

    def waiting_up_to(self, standing: int) -> int:
        """Return the number of queued requests that go before a new one."""
        return sum(queue.waiting for queue in self.queues[: standing + 1])

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self.queues[ticket.standing].push(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the next ticket, `None` if there is none."""
        return next((queue.pop() for queue in self.queues if queue.waiting), None)

    def pop_newest(self, above: int) -> Ticket | None:
        """Remove and return the newest ticket with a standing above a given one."""
        for queue in reversed(self.queues[above + 1 :]):
            if queue.waiting:
                ticket = queue.newest()
                queue.remove(ticket)
                return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket; does nothing if it is not queued here."""
        self.queues[ticket.standing].remove(ticket)

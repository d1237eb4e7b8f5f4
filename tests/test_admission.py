"""Admission control at the sidecar: slots, reserved shares, fairness, deadlines."""

import random

from hypothesis import given
from hypothesis import strategies as st

from roadpass.admission import Admission, Admitted, Queued, Refused
from roadpass.class_queue import Ticket
from roadpass.fleet import TrafficClass
from roadpass.outcome import Reason
from roadpass.standing import ABOVE_SHARE, CALL, FRESH
from tests.naive import NaiveAdmission

CLASSES = (TrafficClass("counter", 0.5), TrafficClass("members", 0.2), TrafficClass("internal", 0))
SLOTS = 10


def admission(queue_limit: int = 20) -> Admission:
    """Return an admission with ten slots and a mean service time of 10 ms."""
    made = Admission(CLASSES, slots=SLOTS, queue_limit=queue_limit)
    made.set_limit(SLOTS, 10.0)
    return made


def take(one: Admission, name: str, count: int, caller: str = "c") -> list[object]:
    """Offer several requests of a class."""
    return [one.offer(0.0, name, caller, 1.0, retry=False) for _ in range(count)]


def fill(one: Admission) -> None:
    """Occupy all slots within the reserved shares of two classes."""
    held = [*take(one, "counter", 8), *take(one, "members", 2)]
    assert all(isinstance(decision, Admitted) for decision in held)


def test_internal_traffic_never_takes_reserved_slots() -> None:
    """A flood of internal traffic leaves the reserved slots free."""
    one = admission()
    admitted = [d for d in take(one, "internal", 50) if isinstance(d, Admitted)]
    assert len(admitted) == 3
    assert all(isinstance(d, Admitted) for d in take(one, "counter", 5))
    assert all(isinstance(d, Admitted) for d in take(one, "members", 2))


def test_important_classes_go_first_and_displace() -> None:
    """With the queue full of internal traffic, a counter request displaces one of it."""
    one = admission(queue_limit=5)
    fill(one)
    for number in range(20):
        take(one, "internal", 1, f"batch-{number}")
    (decision,) = take(one, "counter", 1)
    assert isinstance(decision, Queued)
    assert decision.displaced is not None
    assert decision.displaced.traffic_class == "internal"
    assert one.release(0.1, "counter") == [decision.ticket]


def test_slots_are_granted_round_robin_among_callers() -> None:
    """Many requests of one caller do not delay the single request of another."""
    one = admission()
    fill(one)
    take(one, "counter", 5, "many")
    (single,) = take(one, "counter", 1, "few")
    assert isinstance(single, Queued)
    granted: list[Ticket] = []
    for _ in range(2):
        granted += one.release(0.1, "counter")
    assert single.ticket in granted


def test_request_that_would_miss_its_deadline_is_refused_immediately() -> None:
    """The wait is estimated from the service time; the refusal carries a retry delay."""
    one = admission()
    fill(one)
    take(one, "counter", 10)
    decision = one.offer(0.0, "counter", "c", 0.012, retry=False)
    assert isinstance(decision, Refused)
    assert decision.reason is Reason.TOO_LATE
    assert decision.retry_after_ms >= 100


def test_retries_are_shed_first() -> None:
    """With the same queue a retry is refused where a first attempt is queued."""
    one = admission(queue_limit=8)
    fill(one)
    take(one, "counter", 3)
    assert isinstance(one.offer(0.0, "counter", "c", 1.0, retry=True), Refused)
    assert isinstance(one.offer(0.0, "counter", "c", 1.0, retry=False), Queued)


@given(st.integers(0, 2**32), st.integers(1, 12), st.integers(0, 12))
def test_limits_hold_for_any_sequence(seed: int, slots: int, queue_limit: int) -> None:
    """Slot and queue limits are never exceeded, no ticket is granted twice, no slot is lost."""
    rng = random.Random(seed)
    one = Admission(CLASSES, slots=slots, queue_limit=queue_limit)
    running: list[str] = []
    waiting: list[Ticket] = []
    for step in range(150):
        now = step / 100.0
        name = rng.choice([entry.name for entry in CLASSES])
        if rng.random() < 0.6:
            caller = rng.choice("xyz")
            match one.offer(now, name, caller, rng.uniform(0.01, 2.0), retry=rng.random() < 0.2):
                case Admitted():
                    running.append(name)
                case Queued(ticket=ticket, displaced=displaced):
                    waiting.append(ticket)
                    if displaced is not None:
                        waiting.remove(displaced)
                case Refused():
                    pass
        elif running and rng.random() < 0.8:
            done = running.pop(rng.randrange(len(running)))
            _grant(one.release(now, done), waiting, running)
        elif waiting:
            ticket = waiting.pop(rng.randrange(len(waiting)))
            _grant(one.abandon(now, ticket), waiting, running)
        assert one.in_use == len(running) <= slots
        assert one.waiting <= queue_limit
    while running:
        _grant(one.release(1e9, running.pop()), waiting, running)
    assert one.in_use == 0


def _grant(granted: list[Ticket], waiting: list[Ticket], running: list[str]) -> None:
    for ticket in granted:
        waiting.remove(ticket)
        running.append(ticket.traffic_class)


@given(
    st.lists(st.tuples(st.booleans(), st.integers(0, 2)), max_size=60),
    st.integers(1, 10),
    st.integers(0, 6),
)
def test_decisions_agree_with_naive_model(
    steps: list[tuple[bool, int]], slots: int, queue_limit: int
) -> None:
    """Compares admitted, queued, refused and next granted requests with a naive model.

    Every request has a caller of its own, as the model knows no fairness among callers.
    """
    one = Admission(CLASSES, slots=slots, queue_limit=queue_limit)
    model = NaiveAdmission([entry.reserved for entry in CLASSES], slots, queue_limit)
    numbers: dict[Ticket, int] = {}
    for number, (offers, rank) in enumerate(steps):
        name = CLASSES[rank].name
        if offers:
            decision = one.offer(0.0, name, f"caller-{number}", 60.0, retry=False)
            names = {Admitted: "run", Queued: "wait", Refused: "refuse"}
            assert names[type(decision)] == model.offer(number, rank)
            if isinstance(decision, Queued):
                numbers[decision.ticket] = number
        elif model.running[rank]:
            started = [numbers[ticket] for ticket in one.release(0.0, name)]
            assert started == model.release(rank)


def overloaded() -> tuple[Admission, list[Ticket]]:
    """Return an admission without free slots, and two long and four short queued requests."""
    one = admission()
    fill(one)
    tickets = []
    for number, typical_ms in enumerate([10.0, 10.0, 2.0, 2.0, 2.0, 2.0]):
        decision = one.offer(0.0, "members", f"c{number}", 1.0, retry=False, typical_ms=typical_ms)
        assert isinstance(decision, Queued)
        tickets.append(decision.ticket)
    return one, tickets


def test_short_requests_go_first_but_never_starve_the_others() -> None:
    """Every third grant goes to a long request, so a flood of short ones cannot starve these."""
    one, (long_1, long_2, *short) = overloaded()
    order = [ticket for _ in range(6) for ticket in one.release(0.1, "members")]
    assert order == [short[0], short[1], long_1, short[2], short[3], long_2]


def test_short_request_is_judged_by_its_own_wait() -> None:
    """Only short requests are ahead of it, and its own latency decides about its deadline."""
    one, _ = overloaded()
    assert one.expected_wait(0.0, "members", 2.0) < one.expected_wait(0.0, "members", 10.0)
    late = one.offer(0.0, "members", "x", 0.008, retry=False)
    in_time = one.offer(0.0, "members", "y", 0.008, retry=False, typical_ms=2.0)
    assert isinstance(late, Refused)
    assert isinstance(in_time, Queued)


def test_abandoned_short_request_is_not_granted() -> None:
    """After it is abandoned, the next short request gets the slot."""
    one, (_, _, first, second, *_) = overloaded()
    assert one.abandon(0.05, first) == []
    assert one.release(0.1, "members") == [second]


def _queued(one: Admission, name: str, standing: int, typical_ms: float = 0.0) -> Ticket:
    caller = f"caller-{one.waiting}"
    decision = one.offer(
        0.0, name, caller, 5.0, retry=False, standing=standing, typical_ms=typical_ms
    )
    assert isinstance(decision, Queued)
    return decision.ticket


def _grants(one: Admission, count: int) -> list[Ticket]:
    """Release the slot several times, and return the tickets that get it."""
    granted: list[Ticket] = []
    for _ in range(count):
        granted += one.release(0.0, granted[-1].traffic_class if granted else "members")
    return granted


def _full(queue_limit: int = 20) -> Admission:
    """Return an admission without reserved shares whose only slot is in use."""
    classes = [TrafficClass(entry.name, 0.0) for entry in CLASSES]
    one = Admission(classes, slots=1, queue_limit=queue_limit)
    one.set_limit(1, 10.0)
    one.offer(0.0, "members", "c", 5.0, retry=False)
    return one


def test_calls_go_first_in_their_class_and_work_above_its_share_last() -> None:
    """A running request holds its slot until its call is answered."""
    one = _full()
    order = [(name, standing) for name in ("internal", "members") for standing in (2, 1, 0)]
    tickets = {_queued(one, *each): each for each in order}
    granted = _grants(one, len(order))
    assert [tickets[ticket] for ticket in granted] == sorted(
        order, key=lambda each: ([entry.name for entry in CLASSES].index(each[0]), each[1])
    )


def test_short_request_passes_no_call_of_its_class_or_a_more_urgent_one() -> None:
    """Short requests go first whatever their class, and would delay calls of urgent requests."""
    one = _full()
    short = _queued(one, "internal", FRESH, typical_ms=1.0)
    call = _queued(one, "members", CALL, typical_ms=1.0)
    lesser = _queued(one, "internal", CALL)
    assert _grants(one, 3) == [call, lesser, short]


def test_call_displaces_fresh_work_of_its_class_from_a_full_queue() -> None:
    """Fresh work goes elsewhere unharmed; a refused call loses the request that waits for it."""
    one = _full(queue_limit=2)
    first, second = _queued(one, "members", FRESH), _queued(one, "members", FRESH)
    decision = one.offer(0.0, "members", "d", 5.0, retry=False, standing=CALL)
    assert isinstance(decision, Queued)
    assert decision.displaced is second
    assert isinstance(one.offer(0.0, "members", "e", 5.0, retry=False), Refused)
    assert _grants(one, 2) == [decision.ticket, first]


def test_expected_wait_depends_on_the_standing() -> None:
    """A call that asks would be told the wait of all fresh work, and refused beside a place."""
    one = _full()
    for standing in (CALL, FRESH, FRESH, ABOVE_SHARE):
        _queued(one, "members", standing)
    waits = [one.expected_wait(0.0, "members", 0.0, each).ms for each in (CALL, FRESH, ABOVE_SHARE)]
    assert waits == [20.0, 40.0, 50.0]

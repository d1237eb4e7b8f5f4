"""The order and bounds of requests that wait for a slot, and the slots held for ingresses."""

from roadpass.slot_grants import (
    CHECKED_HOLD_S,
    FAR_HOLD_S,
    NEAR_HOLD_S,
    ROW_TTL_S,
    SlotGrants,
)
from roadpass.standing import FRESH
from roadpass.wait_order import WaitOrder, latest_start
from roadpass.wait_queue import MAX_BYTES, MAX_WAITERS, Grant, Waiter, WaitQueue

GRANT = Grant("t", 1)


def waiter(rank: int = 0, latest: float = 10.0, size: int = 0, *targets: str) -> Waiter:
    """Return a waiter that accepts some targets, all by default."""
    order = WaitOrder(rank, FRESH, latest)
    return Waiter(order, size, lambda now, name: not targets or name in targets)


def queue_of(*waiters: Waiter) -> WaitQueue:
    """Return a queue with waiters."""
    queue = WaitQueue()
    for one in waiters:
        assert queue.add(one) == []
    return queue


def test_urgent_class_goes_first_and_then_who_can_wait_least() -> None:
    """With first come first served, urgent requests would wait behind all others."""
    late, soon, urgent = waiter(1, 5.0), waiter(1, 3.0), waiter(0, 9.0)
    queue = queue_of(late, soon, urgent)
    assert [queue.hand(0.0, GRANT) for _ in range(4)] == [urgent, soon, late, None]


def test_equal_waiters_go_in_order_of_arrival() -> None:
    """Otherwise an unlucky one is passed by all that come later."""
    first, second = waiter(), waiter()
    queue = queue_of(first, second)
    assert queue.hand(0.0, GRANT) is first


def test_slot_goes_to_the_first_that_takes_it() -> None:
    """A first waiter that has tried a target already must not block the others."""
    other, taker = waiter(0, 1.0, 0, "u"), waiter(0, 2.0, 0, "t")
    queue = queue_of(other, taker)
    assert queue.hand(0.0, GRANT) is taker
    assert taker.grant == GRANT
    assert queue.hand(0.0, GRANT) is None
    assert queue.first is other


def test_expired_waiter_gets_no_slot() -> None:
    """Its request would be answered late, and the slot is worth more to another."""
    queue = queue_of(waiter(latest=1.0))
    assert queue.hand(1.0, GRANT) is None


def test_full_queue_displaces_the_last_for_a_more_urgent_one() -> None:
    """Less urgent requests must not keep the queue full."""
    usual = [waiter(1, 5.0 + number) for number in range(MAX_WAITERS)]
    queue = queue_of(*usual)
    assert queue.add(waiter(1, 99.0)) is None
    assert queue.add(waiter(0, 99.0)) == [usual[-1]]
    assert usual[-1].displaced
    assert len(queue) == MAX_WAITERS


def test_bytes_of_waiting_bodies_are_bounded() -> None:
    """Sixty bodies of a megabyte would fill a small VM."""
    queue = queue_of(waiter(1, 5.0, MAX_BYTES - 1))
    assert queue.add(waiter(1, 9.0, 2)) is None
    assert queue.add(waiter(0, 9.0, MAX_BYTES + 1)) is None
    assert len(queue) == 1
    displaced = queue.add(waiter(0, 9.0, 2))
    assert displaced is not None
    assert len(displaced) == 1


def test_latest_start_leaves_time_to_work() -> None:
    """A start at the objective's end is late, and one long before it refuses without need."""
    until = latest_start(0.0, started=0.0, deadline=10.0, objective_ms=8000.0, typical_ms=700.0)
    assert until == 7.3
    without = latest_start(0.0, started=0.0, deadline=10.0, objective_ms=None, typical_ms=700.0)
    assert without == 9.3
    past = latest_start(9.0, started=0.0, deadline=10.0, objective_ms=8000.0, typical_ms=700.0)
    assert 9.0 < past < 9.1


def test_order_survives_the_wire() -> None:
    """Clocks of nodes differ, so the latest start is sent relative to now."""
    order = WaitOrder(2, 1, 14.5)
    assert WaitOrder.from_row(110.0, order.to_row(10.0)) == WaitOrder(2, 1, 114.5)


def announced(*rows: tuple[str, int, WaitOrder]) -> SlotGrants:
    """Return grants with announcements of ingresses."""
    grants = SlotGrants(7)
    for ingress, count, order in rows:
        grants.announce(0.0, ingress, "s", count, order)
    return grants


def next_ingress(grants: SlotGrants, now: float = 0.0, hold_s: float = NEAR_HOLD_S) -> str:
    """Hold a slot for the ingress that is first; return it, empty if nobody waits."""
    row = grants.first(now, "s")
    if row is None:
        return ""
    grants.hold(now, row, "t", "s", "class", hold_s)
    return row.ingress


def test_slots_go_to_ingresses_in_order_and_no_more_than_they_need() -> None:
    """Two ingresses with one waiter each: the more urgent one gets the first slot, not both."""
    grants = announced(("a", 1, WaitOrder(1, 1, 3.0)), ("b", 1, WaitOrder(0, 1, 9.0)))
    assert [next_ingress(grants) for _ in range(3)] == ["b", "a", ""]
    assert grants.held == 2


def test_held_slots_count_in_a_new_announcement() -> None:
    """The announcement may have crossed the grant; the same waiter must not get two slots."""
    grants = announced(("a", 1, WaitOrder(0, 1, 3.0)))
    assert next_ingress(grants) == "a"
    grants.announce(0.01, "a", "s", 1, WaitOrder(0, 1, 3.0))
    assert grants.first(0.01, "s") is None


def test_expired_hold_goes_to_the_next_ingress() -> None:
    """An ingress that is gone must not get the same slot again and again."""
    grants = announced(("a", 5, WaitOrder(0, 1, 3.0)), ("b", 5, WaitOrder(0, 1, 4.0)))
    assert next_ingress(grants) == "a"
    assert grants.expired(NEAR_HOLD_S - 0.001) == []
    assert [hold.ingress for hold in grants.expired(NEAR_HOLD_S)] == ["a"]
    assert next_ingress(grants, NEAR_HOLD_S) == "b"
    grants.announce(0.1, "a", "s", 5, WaitOrder(0, 1, 3.0))
    assert next_ingress(grants, 0.1) == "a"


def test_returned_slot_goes_to_the_next_ingress() -> None:
    """An ingress whose waiters are served returns the slot before its hold ends."""
    grants = announced(("a", 1, WaitOrder(0, 1, 3.0)), ("b", 1, WaitOrder(0, 1, 4.0)))
    row = grants.first(0.0, "s")
    assert row is not None
    hold = grants.hold(0.0, row, "t", "s", "class", NEAR_HOLD_S)
    assert grants.give_back("t", hold.slot) is hold
    assert grants.give_back("t", hold.slot) is None
    assert next_ingress(grants) == "b"


def test_hold_is_used_once_and_only_in_its_time() -> None:
    """A late or repeated attempt must not run in a slot that was granted to another."""
    grants = announced(("a", 2, WaitOrder(0, 1, 3.0)))
    row = grants.first(0.0, "s")
    assert row is not None
    used = grants.hold(0.0, row, "t", "s", "class", FAR_HOLD_S)
    late = grants.hold(0.0, row, "t", "s", "class", FAR_HOLD_S)
    assert grants.extend(0.1, "t", used.slot)
    assert not grants.extend(FAR_HOLD_S, "t", late.slot)
    assert grants.take(CHECKED_HOLD_S, "t", used.slot) is used
    assert grants.take(CHECKED_HOLD_S, "t", used.slot) is None
    assert grants.take(CHECKED_HOLD_S, "t", late.slot) is None


def test_old_announcement_is_void() -> None:
    """An ingress that is gone, or has lost its way here, must not hold slots idle."""
    grants = announced(("a", 3, WaitOrder(0, 1, 3.0)))
    assert grants.waiting(ROW_TTL_S, "s") == {"a": 3}
    assert grants.first(ROW_TTL_S + 0.01, "s") is None
    assert grants.waiting(ROW_TTL_S + 0.01, "s") == {}


def test_count_of_zero_ends_an_announcement() -> None:
    """Otherwise the slots of 0.6 s more would go there and back."""
    grants = announced(("a", 3, WaitOrder(0, 1, 3.0)))
    grants.announce(0.1, "a", "s", 0, WaitOrder(0, 0, 0.0))
    assert grants.first(0.1, "s") is None


def test_slots_of_an_earlier_process_are_unknown() -> None:
    """A grant of the sidecar's predecessor must not name a slot that another ingress has."""
    grants = announced(("a", 1, WaitOrder(0, 1, 3.0)))
    next_ingress(grants)
    assert grants.take(0.0, "t", 0) is None
    assert grants.take(0.0, "t", 7) is not None

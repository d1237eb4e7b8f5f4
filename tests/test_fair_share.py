"""Customers share the slots of a class by max-min fairness over the fleet.

The model of `share_model` has ten ingresses and 30 slots, which serve 25 requests a second, and
customers that together want 1/0.6 of that.
"""

import math
import random
from collections.abc import Callable, Mapping

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.fair_share import (
    Demand,
    Share,
    ShareKey,
    fair_level,
    is_sendable,
    max_min,
    part_of_ingress,
)
from roadpass.quota import owner_of
from roadpass.share_gate import SHARE_TTL_S, WAIT_MIN_S, WORD_TTL_S, ShareGate, ShareTicket
from roadpass.share_ledger import ROW_EXPIRY_S, ShareLedger
from roadpass.standing import ABOVE_SHARE, CALL, FRESH
from tests.share_model import Fleet, Load, Play, crowd, steady

KEY = ShareKey("desk", "default")
SMALL = {f"small-{number}": 2.0 for number in range(8)}
"""Customers with two requests a second: 2.4 slots each, of 10.8 for the hot one."""
HOT_PER_S = 25.7
NODES = [f"10.0.0.{number}" for number in range(10)]
OWNER = NODES.index(owner_of("desk/class-0", NODES))


def naive_max_min(capacity: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Raise all shares together, and stop those that have what they want."""
    shares = dict.fromkeys(demands, 0.0)
    open_ = {name for name, demand in demands.items() if demand > 0.0}
    while open_ and capacity > 1e-9:
        step = min(capacity / len(open_), *(demands[name] - shares[name] for name in open_))
        for name in open_:
            shares[name] += step
        capacity -= step * len(open_)
        open_ = {name for name in open_ if demands[name] - shares[name] > 1e-9}
    return shares


@given(
    st.floats(0.0, 100.0),
    st.dictionaries(st.text(max_size=3), st.integers(0, 40).map(float), max_size=12),
)
def test_division_agrees_with_raising_all_shares_together(
    capacity: float, demands: dict[str, float]
) -> None:
    """A wrong level would give one customer what another one lacks."""
    expected = naive_max_min(capacity, demands)
    assert max_min(capacity, demands) == pytest.approx(expected, abs=1e-6)


def test_enough_for_all_has_no_level() -> None:
    """A level would hold customers back although nobody needs the room."""
    assert fair_level(10.0, [4.0, 6.0]) == math.inf
    assert fair_level(9.0, [4.0, 6.0]) == 5.0


def test_parts_of_ingresses_add_up_to_the_share_of_a_hot_customer() -> None:
    """More ingresses would mean more slots otherwise."""
    owns = [1.0, 4.0, 15.0]
    assert sum(part_of_ingress(5.0, 20.0, 20.0, own) for own in owns) == pytest.approx(5.0)
    assert part_of_ingress(5.0, 2.0, 2.0, 0.0) == 4.0
    assert part_of_ingress(5.0, 20.0, 19.0, 0.0) == 0.25


def row(customer: str, running: int, waiting: int) -> Demand:
    """Return a row of the class."""
    return Demand(*KEY, customer, running, waiting)


def test_silent_ingress_is_forgotten() -> None:
    """The demand of a crashed ingress would take slots from the others forever."""
    ledger = ShareLedger()
    ledger.apply(0.0, "a", [row("hot", 2, 8)])
    assert ledger.apply(0.0, "b", [row("small", 1, 0)])[0].slots >= 1.0
    assert ledger.levels() == {"desk/default": 2.0}
    ledger.expire(ROW_EXPIRY_S + 0.1)
    assert (ledger.size, ledger.levels()) == (0, {})


def test_row_without_requests_ends_the_earlier_one() -> None:
    """It would count until it expires, beside the same requests at another ingress."""
    ledger = ShareLedger()
    ledger.apply(0.0, "a", [row("hot", 2, 8)])
    ledger.apply(0.1, "a", [row("hot", 0, 0)])
    assert ledger.size == 0


def gate() -> ShareGate:
    """Return a gate with a fixed seed."""
    return ShareGate(random.Random(1))


def test_nothing_is_sent_while_nobody_waits() -> None:
    """Bytes between data halls are expensive."""
    one = gate()
    tickets = [one.enter(0.0, KEY, "a") for _ in range(3)]
    for ticket in tickets:
        one.set_running(0.01, ticket, running=True)
    assert one.due(1.0, NODES) == {}
    waiter = one.enter(1.0, KEY, "a")
    assert one.due(1.0 + WAIT_MIN_S / 2.0, NODES) == {}
    ((owner, rows),) = one.due(1.1, NODES).items()
    assert (owner, rows) == (owner_of("desk/default", NODES), [row("a", 3, 1)])
    assert one.due(1.2, NODES) == {}
    one.leave(1.25, waiter)
    assert one.due(1.4, NODES) == {owner: [row("a", 3, 0)]}
    assert one.due(3.0, NODES) == {}


def test_customer_that_left_is_reported_once_as_gone() -> None:
    """Its slots would stay with it until its row expires."""
    one = gate()
    first, _ = one.enter(0.0, KEY, "a"), one.enter(0.0, KEY, "b")
    one.due(0.1, NODES)
    one.leave(0.2, first)
    assert list(one.due(0.4, NODES).values()) == [[row("b", 0, 1), row("a", 0, 0)]]
    assert list(one.due(1.0, NODES).values()) == [[row("b", 0, 1)]]


def told(one: ShareGate, now: float, **slots: float) -> None:
    """Report, and have the owner answer with shares."""
    for owner in one.due(now, NODES):
        one.receive(now, owner, [Share(*KEY, name, value) for name, value in slots.items()])


def test_request_above_the_owners_share_goes_last() -> None:
    """A customer within its share waited behind all requests of a hot one."""
    one = gate()
    for _ in range(4):
        one.enter(0.0, KEY, "hot")
    one.enter(0.0, KEY, "small")
    told(one, 0.1, hot=2.0, small=3.0)
    assert one.enter(0.2, KEY, "hot").standing == ABOVE_SHARE
    assert one.enter(0.2, KEY, "small").standing == FRESH
    assert one.enter(0.2, KEY, "hot", call=True).standing == CALL
    assert one.enter(0.2, KEY, "").standing == FRESH


def test_shares_of_another_node_are_ignored() -> None:
    """An earlier owner does not know of the demand since."""
    one = gate()
    for _ in range(4):
        one.enter(0.0, KEY, "hot")
    one.due(0.1, NODES)
    one.receive(0.1, "10.9.9.9", [Share(*KEY, "hot", 100.0)])
    assert one.enter(0.2, KEY, "hot").standing == ABOVE_SHARE


def test_without_the_owners_word_own_customers_share() -> None:
    """Every customer would be unbounded at an ingress that is cut off."""
    one = gate()
    running = [one.enter(0.0, KEY, "hot") for _ in range(4)]
    for ticket in running:
        one.set_running(0.0, ticket, running=True)
    for _ in range(8):
        one.enter(0.0, KEY, "hot")
    one.enter(0.0, KEY, "small")
    told(one, 0.1, hot=100.0, small=0.0)
    assert one.enter(0.2, KEY, "hot").standing == FRESH
    late = 0.1 + WORD_TTL_S
    one.due(late, NODES)
    assert one.enter(late + 0.1, KEY, "hot").standing == ABOVE_SHARE
    assert one.enter(late + 0.1, KEY, "small").standing == FRESH


def test_fraction_of_a_slot_is_granted_in_time() -> None:
    """With more ingresses than slots each share is below one, and none would ever be granted."""
    one, granted = gate(), 0
    one.enter(0.0, KEY, "other")
    running: list[tuple[float, ShareTicket]] = []
    for step in range(2000):
        now = step / 10.0
        while running and running[0][0] <= now:
            one.leave(now, running.pop(0)[1])
        ticket = one.enter(now, KEY, "hot")
        told(one, now, hot=0.25, other=1.0)
        if ticket.standing == FRESH:
            granted += 1
            one.set_running(now, ticket, running=True)
            running.append((now + 1.0, ticket))
        else:
            one.leave(now, ticket)
    assert 0.2 <= granted / 200.0 <= 0.3


def test_state_of_customers_without_requests_is_dropped() -> None:
    """Each customer that ever came would stay in memory."""
    one = gate()
    one.leave(0.0, one.enter(0.0, KEY, "a"))
    one.due(SHARE_TTL_S, NODES)
    assert one.size == 0


def test_names_that_no_row_can_carry_are_not_reported() -> None:
    """Their datagrams would be malformed, with all other rows in them."""
    assert not is_sendable("")
    assert not is_sendable("é" * 101)
    one = gate()
    one.enter(0.0, ShareKey("s" * 201, "default"), "a")
    one.enter(0.0, KEY, "c" * 201)
    assert one.due(0.1, NODES) == {}


def parts(play: Play, seeds: range, after: float = 5.0, before: float = 1e9) -> list[float]:
    """Return the part of its share that each customer but the hot one got, over all seeds."""
    return [
        part
        for seed in seeds
        for (name, _), part in Fleet.run(play, seed).share_served(after, before).items()
        if name != "hot"
    ]


def mean(values: list[float]) -> float:
    """Return the mean."""
    return sum(values) / len(values)


@pytest.mark.parametrize("where", [(), (1.0, *[0.0] * 9)])
def test_customer_within_its_share_beside_a_hot_one(where: tuple[float, ...]) -> None:
    """In order of arrival it gets what is left of the hot customer's crowd: 0.6 of its share."""
    hot = Load("hot", steady(HOT_PER_S), 0, where)
    play = Play((hot, *crowd(0.0, SMALL)[1:]))
    got = parts(play, range(1, 4))
    assert min(got) >= 0.95
    assert mean(got) >= 0.99
    assert mean(parts(play._replace(shares=False), range(1, 2))) <= 0.7


def test_many_customers_with_less_than_a_slot() -> None:
    """Each ingress sees a fraction of a request of each; no ingress may take that for a share."""
    loads = crowd(26.7, {f"small-{number}": 0.25 for number in range(60)})
    assert mean(parts(Play(loads, nodes=20), range(1, 3))) >= 0.98


def test_datagrams_are_lost() -> None:
    """The last word applies until the next one comes."""
    assert mean(parts(Play(crowd(HOT_PER_S, SMALL), lost=0.2), range(1, 4))) >= 0.97


def test_room_that_nobody_wants_is_lent() -> None:
    """Slots would be idle while the hot customer's requests are refused."""
    fleet = Fleet.run(Play(crowd(60.0, {"small": 0.5})))
    assert fleet.utilization() >= 0.97
    assert fleet.share_served()["small", 0] >= 0.98


def test_nothing_is_sent_without_shortage() -> None:
    """Bytes between data halls are expensive."""
    loads = crowd(4.0, {"small-1": 2.0, "small-2": 2.0})
    assert Fleet.run(Play(loads, seconds=30.0)).datagrams == []


def cut_owner(node: int, at: float) -> bool:
    """Cut off the owner for twenty seconds."""
    return node == OWNER and 20.0 < at < 40.0


def cut_all(node: int, at: float) -> bool:
    """Cut off every node from all others for twenty seconds."""
    return 20.0 < at < 40.0


@pytest.mark.parametrize(("cut", "least"), [(cut_owner, 0.93), (cut_all, 0.8)])
def test_owner_is_cut_off_and_returns(cut: Callable[[int, float], bool], least: float) -> None:
    """Without a word each ingress divides what it gets, which is coarser but no free-for-all.

    An owner that has died is the same to the others.
    """
    play = Play(crowd(HOT_PER_S, SMALL), cut=cut, seconds=75.0)
    during: list[float] = []
    after: list[float] = []
    for seed in range(1, 4):
        fleet = Fleet.run(play, seed)
        during += [v for (name, _), v in fleet.share_served(20.0, 40.0).items() if name != "hot"]
        after += [v for (name, _), v in fleet.share_served(45.0).items() if name != "hot"]
    assert mean(during) >= least
    assert mean(after) >= 0.97


def test_no_class_is_behind_a_lesser_one_and_none_starves() -> None:
    """A customer within its share would pass more urgent requests of one above it."""
    urgent = crowd(10.0, {})
    lesser = crowd(40.0, {f"small-{number}": 1.0 for number in range(6)}, rank=1)
    fleet = Fleet.run(Play((*urgent, *lesser)))
    got = fleet.share_served()
    assert got["hot", 0] >= 0.99
    assert got["hot", 1] >= 0.9
    assert min(part for (name, rank), part in got.items() if rank and name != "hot") >= 0.9

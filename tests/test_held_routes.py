"""Requests whose calls cannot be served are held back for as long as the shortage lasts.

A model in virtual time has one target with a few slots. Each of its requests makes one call, which
is served or refused. Requests arrive more often than the target can serve them.
"""

import random
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from roadpass.call_records import CallRecords
from roadpass.dispatch import HELD_BACK_REPLIES
from roadpass.held_routes import HOLD_LOSS, MAX_TRIAL_S, RELEASE_CALLS, HeldRoutes
from roadpass.message import Reply, check
from roadpass.metric import Metrics
from roadpass.outcome import Answered, NotRun, Outcome, Reason, Unknown
from roadpass.parent_requests import Parent, ParentRequests
from tests.fake_sidecar import FakeSidecar, dispatcher, request

ROUTE, CALLEE = "read", "index"
SLOTS = 5
REFUSED_S, SERVED_S = 0.1, 1.0
"""Seconds that a request takes whose call is refused, and one whose call is served."""


class Started(NamedTuple):
    """A request that was started, and whether its call was served."""

    at: float
    served: bool


def play(shortages: list[tuple[float, float]], seconds: float, seed: int = 1) -> list[Started]:
    """Run a target whose calls are refused during some times; return what it started."""
    rng, held = random.Random(seed), HeldRoutes()
    held.enabled = True
    ends: list[tuple[float, bool]] = []
    started: list[Started] = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(10.0)
        for end in sorted(one for one in ends if one[0] <= now):
            held.record_call(end[0], ROUTE, CALLEE, served=end[1])
            ends.remove(end)
        if len(ends) < SLOTS and held.take(now, ROUTE) == 0.0:
            served = not any(begin <= now < end for begin, end in shortages)
            held.record_start(now, ROUTE)
            ends.append((now + (SERVED_S if served else REFUSED_S), served))
            started.append(Started(now, served))
    return started


@given(st.integers(1, 50))
def test_route_is_held_back_in_a_shortage_and_recovers(seed: int) -> None:
    """Parents held slots only to fail; and a route that is never tried again would stay away."""
    started = play([(10.0, 30.0)], 40.0, seed)
    lost = [one for one in started if not one.served]
    assert 20.0 / MAX_TRIAL_S - 2 <= len(lost) <= 50  # about 200 arrive in that time
    assert sum(one.at >= 13.0 for one in lost) <= 20
    back = [one.at for one in started if one.at >= 30.0]
    assert back[0] <= 30.0 + MAX_TRIAL_S + 1.0
    assert sum(one.at > 35.0 for one in started) >= 18


def test_route_whose_calls_are_served_is_never_held_back() -> None:
    """Holding back work that could be done loses it."""
    assert all(one.served for one in play([], 20.0))
    assert len(play([], 20.0)) >= 80


def test_single_refused_call_holds_nothing_back() -> None:
    """Some calls are refused at any time."""
    held = _held([True, True, False, True])
    assert held.wait_s(1.0, ROUTE) == 0.0


def test_service_that_few_requests_call_holds_nothing_back() -> None:
    """A route must not stop for a service that one in five of its requests needs."""
    held = HeldRoutes()
    held.enabled = True
    for number in range(50):
        held.record_start(0.0, ROUTE)
        if number % 5 == 0:
            held.record_call(0.0, ROUTE, CALLEE, served=False)
    assert held.wait_s(0.0, ROUTE) == 0.0
    assert held.wait_s(0.0, "another") == 0.0


def test_half_of_the_calls_refused_holds_nothing_back() -> None:
    """The called service would be idle for much of the time, and serve less than without it."""
    held = _held([True, False] * 20)
    assert held.wait_s(0.0, ROUTE) == 0.0


def test_one_of_two_services_is_short() -> None:
    """Requests that call both are lost although half of their calls are served."""
    held = HeldRoutes()
    held.enabled = True
    for _ in range(4):
        held.record_start(0.0, ROUTE)
        held.record_call(0.0, ROUTE, "other", served=True)
        held.record_call(0.0, ROUTE, CALLEE, served=False)
    assert held.wait_s(0.0, ROUTE) > 0.0


def test_without_any_call_a_route_is_released() -> None:
    """Nobody is left to show that the shortage is over, so that it would be held back forever."""
    held = _held([False] * 20)
    assert held.wait_s(0.0, ROUTE) > 0.0
    assert held.held() == {ROUTE: 1.0}
    assert held.wait_s(12.0, ROUTE) == 0.0
    assert held.held() == {}


def test_only_one_request_becomes_the_trial() -> None:
    """All that wait for the next trial would be started at once otherwise."""
    held = _held([False] * 20)
    wait_s = held.wait_s(0.0, ROUTE)
    assert held.take(wait_s, ROUTE) == 0.0
    assert held.take(wait_s, ROUTE) > 0.0


def test_switched_off_nothing_is_held_back() -> None:
    """Deployments that do not call for the part must behave as before."""
    held = _held([False] * 20, on=False)
    assert held.take(0.0, ROUTE) == held.wait_s(0.0, ROUTE) == 0.0


def test_what_counts_as_a_call_that_was_not_served() -> None:
    """Refusals for lack of room and waits that used up the time; other failures hold nothing."""
    parent = Parent("a", ROUTE, "default", "", repeat=False)

    def holds(outcome: Outcome, took_s: float, *, route: str = ROUTE) -> bool:
        parents = ParentRequests()
        parents.enabled = True
        records = CallRecords(parents, Metrics())
        made = request(parent=parent._replace(route=route))
        for _ in range(5):
            parents.held.record_start(1.0, ROUTE)
            records.record_end(1.0 + took_s, made, CALLEE, outcome, 1.0, latest_start=5.0)
        return parents.held.wait_s(1.0 + took_s, ROUTE) > 0.0

    assert holds(NotRun(Reason.BUSY), 0.1)
    assert holds(NotRun(Reason.SHED), 0.1)
    assert holds(Answered(200, [], b"", 500.0), 4.4)
    assert not holds(Answered(200, [], b"", 500.0), 1.0)
    assert not holds(Answered(500, [], b"", 500.0), 1.0)
    assert not holds(Unknown(Reason.TARGET_LOST), 1.0)
    assert not holds(NotRun(Reason.NO_ROUTE), 0.1)
    assert not holds(NotRun(Reason.BUSY), 0.1, route="")


def _held(served: list[bool], *, on: bool = True) -> HeldRoutes:
    """Return a route's record after calls of one request each."""
    held = HeldRoutes()
    held.enabled = on
    for one in served:
        held.record_start(0.0, ROUTE)
        held.record_call(0.0, ROUTE, CALLEE, served=one)
    return held


def test_thresholds_leave_a_route_held_between_trials() -> None:
    """With one failed call at each trial the route must not be released by lack of calls."""
    held = _held([False] * 3)
    now = 0.0
    for _ in range(10):
        now += held.wait_s(now, ROUTE)
        assert held.take(now, ROUTE) == 0.0
        held.record_start(now, ROUTE)
        held.record_call(now + 0.2, ROUTE, CALLEE, served=False)
        now += 0.2
        assert held.held() == {ROUTE: 1.0}
    assert 0.0 < RELEASE_CALLS < 1.0
    assert HOLD_LOSS < 1.0


def test_held_back_request_is_refused_after_some_targets_said_so() -> None:
    """All targets of a service learn from the same shortage; asking forty helps nobody."""
    sidecar = FakeSidecar([NotRun(Reason.HELD_BACK, 700)] * 1000)
    one = dispatcher(sidecar)
    assert one.dispatch(request("GET")).outcome == NotRun(Reason.BUSY, 700)
    assert len(sidecar.attempts) == HELD_BACK_REPLIES


def test_older_node_reads_the_refusal_as_one_it_knows() -> None:
    """A reason that it does not know would make the reply malformed, and the outcome unknown."""
    message = Reply(NotRun(Reason.HELD_BACK, 700)).to_message()
    assert message["reason"] == Reason.QUEUE_FULL
    assert Reply.from_message(check(message)).outcome == NotRun(Reason.HELD_BACK, 700)

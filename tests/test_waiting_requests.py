"""A request that waits at its ingress: what wakes it, and when it is refused instead."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from roadpass import request_state, waiting_requests
from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import Policy, build_fleet
from roadpass.outcome import RETRY_SOON_MS, NotRun, Reason
from roadpass.request import Request
from roadpass.request_state import RequestState
from roadpass.return_schedule import ReturnSchedule
from roadpass.room import RoomReport
from roadpass.route import Route
from roadpass.route_stats import RouteStats
from roadpass.source import PublishedConfig, PublishedService, TargetEntry
from roadpass.standing import CALL, FRESH
from roadpass.target_notice import TargetNotice
from roadpass.view import View
from roadpass.wait_queue import Grant
from roadpass.waiting_requests import WaitingRequests

SLOTS = 4
OBJECTIVE_MS = 3000
GRANT = Grant("t-0", 5)


class Time:
    """A clock that only waits advance; what is due happens meanwhile."""

    def __init__(self) -> None:
        self.now = 100.0
        self.due: list[tuple[float, Callable[[], object]]] = []
        self.waits = 0

    def after(self, seconds: float, action: Callable[[], object]) -> None:
        """Plan an action."""
        self.due.append((self.now + seconds, action))

    def sleep(self, seconds: float, woken: Callable[[], bool]) -> None:
        """Advance until something wakes the sleeper, or the time has passed."""
        self.waits += 1
        end = self.now + seconds
        for at, action in sorted(self.due, key=lambda one: one[0]):
            if at > end or woken():
                break
            self.due.remove((at, action))
            self.now = max(self.now, at)
            action()
        if not woken():
            self.now = end


class Watch:
    """A caller's connection."""

    watchable = True
    left = False

    def fileno(self) -> int:
        return -1

    def gone(self) -> bool:
        return self.left


@pytest.fixture(name="time")
def _time(monkeypatch: pytest.MonkeyPatch) -> Time:
    time = Time()

    class Signal:
        def __init__(self) -> None:
            self.woken = False

        def set(self) -> None:
            self.woken = True

        def wait(self, timeout_s: float, watch: Watch | None) -> None:
            time.sleep(timeout_s, lambda: self.woken or (watch is not None and watch.gone()))

        def close(self) -> None:
            """Do nothing: it holds no descriptor."""

    clock = SimpleNamespace(now=lambda: time.now, STEP_S=0.5)
    monkeypatch.setattr(waiting_requests, "clock", clock)
    monkeypatch.setattr(waiting_requests, "WakeSignal", Signal)
    monkeypatch.setattr(request_state, "clock", clock)
    return time


def waits_of(time: Time, queued: int = 0) -> WaitingRequests:
    """Return the wait queues of an ingress beside one full target of 0.5 s service time."""
    route = Route("r", "h", "/", frozenset(), "s", None, True, {}, 9000)
    config = PublishedConfig(1, (route,), {"s": PublishedService("s", 100)}, CallerLimits())
    entry = TargetEntry("t-0", "s", "10.0.0.1:80", "hall", SLOTS, leaving=False)
    view = View("10.0.0.9", "hall", "region")
    view.fleet = build_fleet(config, [entry], Policy())
    view.room.receive(time.now, RoomReport("t-0", 0, queued, 500.0, 0.0), idle=True)
    return WaitingRequests(view, ReturnSchedule())


def state_of(waits: WaitingRequests, time: Time, watch: Any = None, **route: Any) -> RequestState:
    """Return the state of a request that has just come."""
    fleet = waits._view.fleet
    found = fleet.routes["r"]._replace(target_latency_ms=OBJECTIVE_MS)._replace(**route)
    request = Request("h", "GET", "/", [], b"", "c", watch=watch, id="1")
    return RequestState.begin(request, found, fleet.services["s"], time.now, RouteStats(), 1.0)


def wait(waits: WaitingRequests, state: RequestState) -> Grant | NotRun:
    """Wait for any slot."""
    return waits.wait(state, lambda now, name: True)


def test_slot_wakes_a_waiter(time: Time) -> None:
    """A waiter that polls would find the slot late, or take time of the processor."""
    waits = waits_of(time)
    time.after(0.3, lambda: waits.hand("s", GRANT))
    assert wait(waits, state_of(waits, time)) == GRANT
    assert time.now == pytest.approx(100.3)
    assert time.waits == 1
    assert waits.counts() == {"s": 0}


def test_first_waiter_and_the_end_are_announced(time: Time) -> None:
    """A sidecar that hears of no waiters leaves its slots free; one that hears of none any more
    must stop granting.
    """
    waits = waits_of(time)
    told: list[int] = []
    waits.on_change = lambda service: told.append(waits.counts()[service])
    time.after(0.3, lambda: waits.hand("s", GRANT))
    wait(waits, state_of(waits, time))
    assert told == [1, 0]


def test_caller_that_leaves_ends_the_wait_at_once(time: Time) -> None:
    """Its slot would run a request that nobody waits for."""
    waits, watch = waits_of(time), Watch()
    time.after(0.2, lambda: setattr(watch, "left", True))
    assert wait(waits, state_of(waits, time, watch)) == NotRun(Reason.CANCELLED, RETRY_SOON_MS)
    assert time.now == pytest.approx(100.2)
    assert waits.counts() == {"s": 0}


def test_slot_of_a_caller_that_left_is_returned(time: Time) -> None:
    """The slot and the caller's leave may come together; the slot must not stay idle."""
    waits, watch = waits_of(time), Watch()
    returned: list[Grant] = []
    waits.on_unused = returned.append

    def leave_with_slot() -> None:
        watch.left = True
        waits.hand("s", GRANT)

    time.after(0.2, leave_with_slot)
    outcome = wait(waits, state_of(waits, time, watch))
    assert isinstance(outcome, NotRun)
    assert returned == [GRANT]


def test_request_is_refused_at_its_latest_start(time: Time) -> None:
    """A start after it is answered late; its deadline, far later, must not hold it."""
    waits = waits_of(time)
    outcome = wait(waits, state_of(waits, time))
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.BUSY
    assert outcome.retry_after_ms >= RETRY_SOON_MS
    assert 1.5 < time.now - 100.0 < OBJECTIVE_MS / 1000.0


def test_without_objective_the_deadline_counts(time: Time) -> None:
    """Its work is as useful at the deadline as before."""
    waits = waits_of(time)
    wait(waits, state_of(waits, time, target_latency_ms=None))
    assert 8.5 < time.now - 100.0 <= 9.0


def test_request_that_will_not_start_in_time_is_refused_at_the_door(time: Time) -> None:
    """Forty wait elsewhere for four slots of 0.5 s each: it would wait for five seconds."""
    waits = waits_of(time, queued=40)
    outcome = wait(waits, state_of(waits, time))
    assert isinstance(outcome, NotRun)
    assert outcome.retry_after_ms >= 5000
    assert time.waits == 0


def test_refused_callers_return_one_after_the_other(time: Time) -> None:
    """If all returned at the expected end of the shortage, all but a few would be refused again."""
    waits = waits_of(time, queued=40)
    outcomes = [wait(waits, state_of(waits, time)) for _ in range(3)]
    times = [one.retry_after_ms for one in outcomes if isinstance(one, NotRun)]
    assert times == sorted(set(times))


def test_stop_of_the_node_refuses_what_cannot_start_before_it(time: Time) -> None:
    """Its caller must be told that it was not run while it can still be told."""
    waits = waits_of(time)
    time.after(0.4, lambda: setattr(waits._view.shutdown, "at", time.now + 1.5))
    outcome = wait(waits, state_of(waits, time))
    assert outcome == NotRun(Reason.LEAVING, RETRY_SOON_MS)
    assert time.now <= waits._view.shutdown.at - 0.5


def test_slot_goes_to_the_next_waiter_if_its_target_is_not_accepted(time: Time) -> None:
    """A waiter whose attempt at a target failed needs another target."""
    waits, outcomes = waits_of(time), []
    time.after(0.1, lambda: outcomes.append(waits.hand("s", GRANT)))
    waits.wait(state_of(waits, time), lambda now, name: name != GRANT.target)
    assert outcomes == [False]


def test_call_waits_until_its_parent_is_lost(time: Time) -> None:
    """By its own objective a call was refused while its parent could still be answered."""
    waits = waits_of(time)
    fresh, call = state_of(waits, time), state_of(waits, time)
    call.standing = CALL
    assert waits.order_of(fresh).standing == FRESH
    assert waits.order_of(call) < waits.order_of(fresh)
    assert waits.order_of(call).latest_start > waits.order_of(fresh).latest_start
    assert waits.order_of(call).latest_start <= call.deadline


def test_unknown_service_time_refuses_nothing_at_the_door(time: Time) -> None:
    """At the start of a fleet an assumed time refused four of nine requests that had time."""
    waits = waits_of(time)
    waits._view.room.receive(time.now, RoomReport("t-0", 0, 40, 0.0, 0.0), idle=True)
    time.after(0.3, lambda: waits.hand("s", GRANT))
    assert wait(waits, state_of(waits, time)) == GRANT


def test_limits_of_targets_count_at_the_door(time: Time) -> None:
    """By slots alone a request would wait for a start that the target's limit does not allow."""
    waits = waits_of(time, queued=2)
    waits._view.notices.configure(time.now, {"t-0"})
    waits._view.notices.hear(time.now, "t-0", TargetNotice(0.5), time.now)
    outcome = wait(waits, state_of(waits, time))
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.LIMITED
    assert outcome.retry_after_ms >= 6000
    assert time.waits == 0

"""Repeats at the sidecar and the ingress where the limit is that of the fleet."""

import random
from typing import Any, cast

import pytest

from roadpass import clock
from roadpass.circuit_breaker import CircuitBreaker
from roadpass.evidence import classify_end
from roadpass.failure_estimator import FailureEstimator
from roadpass.fleet import Fleet, Target
from roadpass.fleet_repeats import FleetRepeats, Neighbours
from roadpass.message import AdmissionCheck, Attempt
from roadpass.outcome import NotRun, Reason
from roadpass.repeat_guide import MAX_SPENT_REPLIES, RepeatGuide
from roadpass.repeat_loans import Kind, LoanMessage, LoanRow
from roadpass.request_state import RequestState
from roadpass.sharing import OFF
from roadpass.slot_wait import SlotWait
from roadpass.target_chooser import TargetChooser
from roadpass.target_repeats import MAX_SHED_COST, TargetRepeats
from roadpass.view import View
from tests.repeat_fleet import CLASS, SERVICE, SLACK, attempt_of_caller, fleet_of

NOW = 1000.0
VMS = {"vm-0", "vm-1", "vm-2"}


def repeats(fleet: Fleet | None = None) -> FleetRepeats:
    """Return the accounts of a sidecar whose part of the slack is a third."""
    made = FleetRepeats("vm-0", 1, random.Random(1))
    made.configure(0.0, fleet or fleet_of(VMS))
    made.confirm(NOW + 100.0)
    return made


def target_repeats(fleet: FleetRepeats) -> TargetRepeats:
    """Return the repeats of one target."""
    return TargetRepeats(fleet_of(VMS).services[SERVICE], fleet)


def retry(**changes: Any) -> Attempt:
    """Return a repeated attempt."""
    return attempt_of_caller()._replace(retry=True, **changes)


def test_of_two_repeats_that_were_admitted_by_the_last_one_left_one_starts() -> None:
    """The check before an attempt takes nothing, so both pass it at once."""
    one = target_repeats(repeats())
    check = AdmissionCheck.of(retry())
    for _ in range(int(SLACK / 3) - 1):
        assert one.take(NOW, retry())
    assert one.admits(NOW, check)
    assert one.admits(NOW, check)
    assert one.take(NOW, retry())
    assert not one.take(NOW, retry())
    assert not one.admits(NOW, check)


def test_an_account_outlives_the_target() -> None:
    """A target that restarts would have all its repeats again, several times in a window."""
    accounts = repeats()
    before = target_repeats(accounts)
    while before.take(NOW, retry()):
        pass
    accounts.configure(NOW, fleet_of(VMS))
    assert not target_repeats(accounts).take(NOW, retry())


def test_a_call_of_a_repeat_counts_as_a_repeat() -> None:
    """It is a first arrival, but the limit on the called service counts it."""
    one = target_repeats(repeats())
    call = attempt_of_caller()._replace(parent_repeat=True)
    while one.take(NOW, call):
        pass
    assert not one.admits(NOW, AdmissionCheck.of(call))
    assert one.admits(NOW, AdmissionCheck.of(attempt_of_caller()))


def test_a_mark_passes_the_wire_and_is_left_out_otherwise() -> None:
    """Nodes without the switch send the same bytes as before.

    With it, an attempt also says that no retry makes it: only its ingress can know.
    """
    for marked in (None, False, True):
        one = attempt_of_caller()._replace(parent_repeat=marked)
        assert ("parent_repeat" in one.to_message()) is (marked is not None)
        assert Attempt.from_message(one.to_message()).parent_repeat is marked
        check = AdmissionCheck.of(one)
        assert ("parent_repeat" in check.to_message()) is bool(marked)
        assert AdmissionCheck.from_message(check.to_message()).parent_repeat is bool(marked)


@pytest.mark.parametrize("marks", [False, True])
def test_repeats_are_reserved_for_calls_unless_their_ingress_marks_them(marks: bool) -> None:
    """An ingress that does not know the parent of a call says nothing, as an old one does."""
    accounts = repeats()
    one = target_repeats(accounts)
    arrived = attempt_of_caller()._replace(caller="vm-0", parent_repeat=False if marks else None)
    for number in range(100):
        one.record_arrival(NOW - 9.0 + 0.05 * number, arrived)
    assert (accounts.left(NOW)[SERVICE] >= SLACK / 3) is marks


def test_nothing_is_sent_or_counted_while_the_switch_is_off() -> None:
    """The targets have their own allowances then, and nodes send no byte more."""
    fleet = fleet_of(VMS)
    fleet.sharing = OFF
    accounts = repeats(fleet)
    one = target_repeats(accounts)
    assert one.take(NOW, retry())
    assert one.most_shed_cost(0.04) == 0.04
    request = LoanMessage("vm-1", (LoanRow(SERVICE, Kind.REQUEST, 2, 1.0),))
    assert accounts.receive(NOW, request) == []
    assert accounts.tick(NOW, Neighbours(("vm-1",))) == []
    allowed = fleet.services[SERVICE].target_repeats
    for _ in range(int(allowed)):
        assert one.admits(NOW, AdmissionCheck.of(retry()))
        one.record_arrival(NOW, retry())
    assert not one.admits(NOW, AdmissionCheck.of(retry()))


def test_messages_are_sent_only_while_an_account_is_short() -> None:
    """They would be traffic in calm times, also between data halls."""
    accounts = repeats()
    near = Neighbours(("vm-1", "vm-2"))
    assert accounts.tick(NOW, near) == []
    while accounts.take(NOW, SERVICE, CLASS):
        pass
    kinds = {row.kind for m in accounts.tick(NOW + 0.1, near) for row in m.rows}
    assert kinds == {Kind.REQUEST, Kind.SPARE}
    accounts.tick(NOW + 4.0, near)
    assert accounts.tick(NOW + 4.1, near) == []


def test_shed_requests_never_trip_the_circuit_breaker() -> None:
    """A target that sheds says that it did not run the request, which proves that it works."""
    estimator = FailureEstimator(NOW)
    breaker, now = CircuitBreaker(estimator), NOW
    before = estimator.bad(now)
    for _ in range(200):
        tracked = breaker.begin(now, "r")
        now += 0.002
        breaker.end(now, tracked, classify_end(NotRun(Reason.SHED), 0.002, 1.0))
    assert not breaker.tripped(now)
    assert estimator.bad(now) <= before + 0.01


def test_a_request_accepts_a_target_that_sheds_half() -> None:
    """With the limit of the failure risk 2,446 of 9,115 probes were refused; none was better."""
    one = target_repeats(repeats())
    assert one.most_shed_cost(0.04) == MAX_SHED_COST
    assert one.most_shed_cost(1.0) == 1.0


class FakeChooser:
    """Picks the first target that was not tried."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def pick(self, state: Any, *, has_repeat: bool) -> Target | None:
        left = (t for name, t in sorted(self._fleet.targets.items()) if name not in state.tried)
        return next(left, None)


class FakeState:
    """A request with a retry due."""

    def __init__(self, fleet: Fleet) -> None:
        self.service = fleet.services[SERVICE]
        self.arrivals = 1
        self.tried: set[str] = set()
        self.refused: dict[str, Reason] = {}
        self.last_resort = False


def guide(accounts: FleetRepeats) -> tuple[RepeatGuide, RequestState, Fleet]:
    """Return a guide and a request."""
    fleet = fleet_of(VMS)
    view = View("vm-0", "hall", "region")
    view.fleet = fleet
    chooser = FakeChooser(fleet)
    made = RepeatGuide(view, cast("TargetChooser", chooser), cast("SlotWait", chooser), accounts)
    return made, cast("RequestState", FakeState(fleet)), fleet


def test_a_repeat_goes_where_repeats_were_announced_and_not_where_they_are_spent() -> None:
    """Ingresses tried up to four targets in turn while others had repeats left."""
    accounts = repeats()
    one, state, _ = guide(accounts)
    row = LoanRow(SERVICE, Kind.SPARE, 0, 2.0)
    accounts.receive(clock.now(), LoanMessage("vm-2", (row,)))
    picked = one.pick(state, has_repeat=True)
    assert isinstance(picked, Target)
    assert picked.vm == "vm-2"
    assert not state.tried
    one.learn(state, picked, Reason.REPEATS_SPENT)
    picked = one.pick(state, has_repeat=True)
    assert isinstance(picked, Target)
    assert picked.vm == "vm-0"


def test_a_request_is_given_up_when_no_account_can_have_a_repeat() -> None:
    """One refusal must not end the repeats of a service, and not every target is asked."""
    accounts = repeats()
    one, state, fleet = guide(accounts)
    targets = sorted(fleet.targets.values())
    for target in targets:
        assert not one.should_give_up(state)
        assert one.has_repeat(state.service)
        state.refused[target.name] = Reason.REPEATS_SPENT
        one.learn(state, target, Reason.REPEATS_SPENT)
    assert one.should_give_up(state)
    assert not one.has_repeat(state.service)
    refused = one.pick(state, has_repeat=False)
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.REPEATS_SPENT
    assert len(targets) < MAX_SPENT_REPLIES

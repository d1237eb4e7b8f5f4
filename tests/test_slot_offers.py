"""Slots of a sidecar's targets that are held for ingresses."""

from types import SimpleNamespace

import pytest

from roadpass import slot_offers
from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import Policy, build_fleet
from roadpass.fleet import Fleet
from roadpass.message import AdmissionCheck
from roadpass.metric import Metrics
from roadpass.outcome import NotRun, Reason
from roadpass.pause import PauseWatch
from roadpass.route import Route
from roadpass.sharing import OFF, Sharing
from roadpass.sidecar import Sidecar
from roadpass.slot_grants import CHECKED_HOLD_S, FAR_HOLD_S, NEAR_HOLD_S, Hold
from roadpass.source import PublishedConfig, PublishedService, TargetEntry

SLOTS = 2
NEAR, FAR = "10.0.0.2", "10.9.0.1"


def fleet(sharing: Sharing, *, leaving: bool = False, slots: int = SLOTS) -> Fleet:
    """Return a fleet with one target on this VM."""
    route = Route("r", "h", "/", frozenset(), "s", None, True, {}, 9000)
    config = PublishedConfig(1, (route,), {"s": PublishedService("s", 100)}, CallerLimits())
    entry = TargetEntry("t", "s", "10.0.0.1:80", "hall", slots, leaving=leaving)
    return build_fleet(config, [entry], Policy(sharing=sharing))


class Stage:
    """A sidecar with one target, whose time is set by the test."""

    def __init__(self, sharing: Sharing = Sharing(queue=True)) -> None:  # noqa: B008
        self.now = 100.0
        self.granted: list[Hold] = []
        self.metrics = Metrics()
        self.sidecar = Sidecar(
            "10.0.0.1",
            1,
            PauseWatch(),
            pull=lambda message: message,
            behind=lambda vm, revision: None,
            metrics=self.metrics,
        )
        self.sidecar.configure(fleet(sharing))
        self.offers = self.sidecar.slot_offers
        self.offers.send = lambda hold, hold_s: self.granted.append(hold)
        self.offers.is_near = lambda vm: vm == NEAR

    @property
    def in_use(self) -> int:
        """Slots that count as in use."""
        return self.sidecar.targets["t"]._slots.in_use

    def announce(self, ingress: str = NEAR, count: int = 1) -> None:
        """Announce waiters of an ingress, and grant it free slots."""
        self.offers.announce(ingress, ["s", count, 0, 1, 5000.0])
        self.sidecar.assign_slots()

    def check(self, slot: int | None = None) -> NotRun | None:
        """Check an attempt, in a held slot if one is given."""
        check = AdmissionCheck("t", "", True, False, False, slot=slot)
        return self.sidecar._check_refusal(check, self.sidecar.targets["t"])

    def after(self, seconds: float) -> None:
        """Let time pass, and do the periodic work."""
        self.now += seconds
        self.sidecar.assign_slots()


@pytest.fixture(name="stage")
def _stage(monkeypatch: pytest.MonkeyPatch) -> Stage:
    stage = Stage()
    monkeypatch.setattr(slot_offers, "clock", SimpleNamespace(now=lambda: stage.now))
    return stage


def test_held_slots_count_as_in_use(stage: Stage) -> None:
    """Otherwise a request without a slot starts in one that is promised to another."""
    assert stage.check() is None
    stage.announce(count=SLOTS)
    assert [hold.ingress for hold in stage.granted] == [NEAR, NEAR]
    assert stage.in_use == SLOTS
    refusal = stage.check()
    assert refusal is not None
    assert refusal.reason is Reason.BUSY
    assert stage.check(stage.granted[0].slot) is None


@pytest.mark.parametrize(("ingress", "hold_s"), [(NEAR, NEAR_HOLD_S), (FAR, FAR_HOLD_S)])
def test_unused_hold_ends_by_itself(stage: Stage, ingress: str, hold_s: float) -> None:
    """A grant that is lost must not keep its slot idle."""
    stage.announce(ingress)
    stage.after(hold_s - 0.001)
    assert stage.in_use == 1
    stage.after(0.002)
    assert stage.in_use == 0
    assert stage.metrics.get("slots_expired") == 1


def test_expired_hold_is_granted_to_the_next_ingress_at_once(stage: Stage) -> None:
    """Waiters of another ingress would wait for its next announcement."""
    stage.announce(FAR, count=9)
    stage.announce(NEAR, count=9)
    assert {hold.ingress for hold in stage.granted} == {FAR}
    stage.after(FAR_HOLD_S + 0.001)
    assert [hold.ingress for hold in stage.granted[SLOTS:]] == [NEAR] * SLOTS
    assert stage.in_use == SLOTS


def test_returned_slot_is_granted_to_the_next_ingress_at_once(stage: Stage) -> None:
    """The first ingress has served its waiter elsewhere."""
    stage.announce(FAR, count=SLOTS)
    stage.announce(NEAR)
    stage.offers.give_back("t", stage.granted[0].slot)
    assert stage.granted[-1].ingress == NEAR
    assert stage.metrics.get("slots_returned") == 1
    stage.offers.give_back("t", stage.granted[0].slot)
    assert stage.in_use == SLOTS


def test_accepted_check_keeps_the_slot_until_the_attempt_arrives(stage: Stage) -> None:
    """A body of 360 KB takes ten times the hold of a slot."""
    stage.announce()
    stage.after(NEAR_HOLD_S - 0.001)
    assert stage.check(stage.granted[0].slot) is None
    stage.after(CHECKED_HOLD_S - 0.001)
    assert stage.in_use == 1
    stage.after(0.002)
    assert stage.in_use == 0


def test_target_that_leaves_grants_nothing_and_its_holds_end(stage: Stage) -> None:
    """A held slot of a target that is gone would keep its node from stopping."""
    stage.announce()
    stage.sidecar.configure(fleet(Sharing(queue=True), leaving=True))
    refusal = stage.check(stage.granted[0].slot)
    assert refusal is not None
    assert refusal.reason is Reason.LEAVING
    stage.announce()
    assert stage.in_use == 0
    assert stage.sidecar.in_flight == 0


def test_hold_of_a_replaced_target_does_not_admit_at_its_successor(stage: Stage) -> None:
    """The successor has other slots; counting the old hold there would free one too many."""
    stage.announce()
    local = stage.sidecar.targets["t"]
    stage.sidecar.configure(Fleet.empty())
    assert local.in_flight == 1
    stage.sidecar.configure(fleet(Sharing(queue=True)))
    attempt = SimpleNamespace(target="t", slot=stage.granted[0].slot)
    successor = stage.sidecar.targets["t"]
    assert stage.sidecar._take_slot(attempt, successor) is None  # type: ignore[arg-type]
    assert local.in_flight == 0
    assert stage.in_use == 0


def test_leaving_sidecar_grants_nothing(stage: Stage) -> None:
    """It refuses all attempts, so its slots would go there and back."""
    stage.sidecar.leaving = True
    stage.announce()
    assert stage.granted == []


def test_without_the_switch_nothing_is_granted(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node of another release may announce waiters before the switch is on here."""
    stage = Stage(OFF)
    monkeypatch.setattr(slot_offers, "clock", SimpleNamespace(now=lambda: stage.now))
    stage.announce()
    assert stage.granted == []


def test_request_behind_the_first_waiter_gets_no_free_slot(stage: Stage) -> None:
    """A request that comes by chance when a slot ends must not overtake those that wait."""
    stage.announce(count=SLOTS + 1)
    assert stage.offers.is_behind("s", [0, 1, 9000.0])
    assert not stage.offers.is_behind("s", [0, 0, 9000.0])
    assert not stage.offers.is_behind("s", None)


def test_waiters_of_other_data_halls_are_not_reported_here(stage: Stage) -> None:
    """They are announced in several data halls, and would be counted in each of them."""
    stage.offers.announce(FAR, ["s", 5, 0, 1, 5000.0])
    stage.offers.announce(NEAR, ["s", 3, 0, 1, 5000.0])
    assert stage.offers.waiting("s") == 3

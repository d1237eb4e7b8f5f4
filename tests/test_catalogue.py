"""What a node holds of a source: versions only rise, and lapsed entries get time to return."""

import math

import pytest

from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import (
    MAX_REMEMBERED_STARTS,
    REPUBLISH_GRACE_S,
    WITHDRAWN_GRACE_S,
    Catalogue,
    Policy,
    build_fleet,
)
from roadpass.customer import Customer, Customers
from roadpass.position import Position
from roadpass.revived import MAX_REMEMBERED_WITHDRAWN, RESTORED_HOLD_S
from roadpass.route import Part, Route
from roadpass.source import (
    Change,
    Changes,
    ConfigPublished,
    InvalidItem,
    PublishedConfig,
    PublishedService,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
)


def config(version: int) -> ConfigPublished:
    """Return a configuration with one route to two services."""
    split = (Part("a", 90.0), Part("b", 10.0))
    route = Route("r", "h", "/p/", frozenset(), "a", "p001", True, {}, 2000, split, 2, 800)
    services = {name: PublishedService(name, 10) for name in "ab"}
    return ConfigPublished(PublishedConfig(version, (route,), services, CallerLimits()))


def target(
    instance: str, *, service: str = "a", leaving: bool = False, born: int = 0
) -> TargetPublished:
    """Return a target's entry."""
    return TargetPublished(TargetEntry(instance, service, "10.0.0.1:80", "h", 4, leaving, born))


@pytest.fixture
def held() -> Catalogue:
    """Return a catalogue with one target of each service, and one of a service nobody knows."""
    catalogue = Catalogue(Policy(0.7, 0.2, 10.0))
    entries = (target("t1"), target("t2", service="b"), target("t3", service="unknown"))
    assert catalogue.apply(0.0, Changes(Position(0, 3), (config(5), *entries), full=True)) == (
        True,
        [],
    )
    return catalogue


def test_the_fleet_is_built_of_both(held: Catalogue) -> None:
    """Targets of unknown services are left out; floors follow the slots."""
    fleet = held.fleet()
    assert fleet.revision == 5
    assert set(fleet.targets) == {"t1", "t2"}
    assert fleet.targets["t1"].instance == "t1"
    assert fleet.targets["t1"].vm == "10.0.0.1"
    assert fleet.services["a"].floor_slots == 3
    assert fleet.may_serve("r", "t1", 0.0)
    assert fleet.may_serve("r", "t2", 0.0)


@pytest.mark.parametrize("version", [4, 5])
def test_a_version_that_is_not_newer_is_not_taken(held: Catalogue, version: int) -> None:
    """Whatever a stale or forgetful source says."""
    assert held.apply(1.0, Changes(Position(0, 4), (config(version),))) == (False, [])
    assert held.fleet().revision == 5


def test_a_withdrawn_target_goes_after_a_moment(held: Catalogue) -> None:
    """Not at once, and not later than it must."""
    held.apply(1.0, Changes(Position(0, 4), (TargetWithdrawn("t1"),)))
    assert "t1" in held.fleet().targets
    assert held.next_expiry_s(1.0) == pytest.approx(WITHDRAWN_GRACE_S)
    assert not held.expire(1.0 + WITHDRAWN_GRACE_S / 2)
    assert held.expire(1.0 + WITHDRAWN_GRACE_S)
    assert "t1" not in held.fleet().targets


def test_a_target_that_is_back_stays(held: Catalogue) -> None:
    """Its entry had lapsed."""
    held.apply(1.0, Changes(Position(0, 4), (TargetWithdrawn("t1"),)))
    held.apply(1.2, Changes(Position(0, 5), (target("t1"),)))
    assert not held.expire(9.0)
    assert "t1" in held.fleet().targets


def test_entries_that_lapsed_while_the_source_was_away_get_time_to_return(
    held: Catalogue,
) -> None:
    """About two seconds after its return."""
    held.mark_source_unavailable(10.0)
    held.apply(10.1, Changes(Position(0, 9), (config(5), target("t2", service="b")), full=True))
    assert not held.expire(10.0 + REPUBLISH_GRACE_S - 0.1)
    assert held.expire(10.0 + REPUBLISH_GRACE_S)
    assert "t1" not in held.fleet().targets


def restore(held: Catalogue, now: float, *named: TargetPublished, revision: int = 3) -> None:
    """Take the first whole reading of a restored source."""
    others = (target("t2", service="b"), target("t3", service="unknown"))
    changes: tuple[Change, ...] = (config(5), *others, *named)
    held.apply(now, Changes(Position(1, revision), changes, full=True))


@pytest.fixture
def withdrawn(held: Catalogue) -> Catalogue:
    """Return a catalogue in which a target's entry is gone, and its time over."""
    held.apply(1.0, Changes(Position(0, 4), (TargetWithdrawn("t1"),)))
    assert held.expire(1.0 + WITHDRAWN_GRACE_S)
    return held


def test_an_entry_that_a_backup_brings_back_is_held(withdrawn: Catalogue) -> None:
    """It lapses again if nobody writes it; till then, and after, there is no such target."""
    restore(withdrawn, 10.0, target("t1"))
    assert "t1" not in withdrawn.targets
    restore(withdrawn, 11.0, target("t1"), revision=4)
    assert "t1" not in withdrawn.targets
    withdrawn.apply(14.0, Changes(Position(1, 5), (TargetWithdrawn("t1"),)))
    assert not withdrawn.expire(10.0 + RESTORED_HOLD_S)
    assert "t1" not in withdrawn.targets


def test_an_entry_that_is_missing_again_is_held_no_longer(withdrawn: Catalogue) -> None:
    """A later whole reading does not name it."""
    restore(withdrawn, 10.0, target("t1"))
    restore(withdrawn, 12.0, revision=6)
    assert not withdrawn.expire(10.0 + RESTORED_HOLD_S)
    assert "t1" not in withdrawn.targets


def test_a_target_that_writes_its_entry_again_is_back_at_once(withdrawn: Catalogue) -> None:
    """Only a backup is no proof that it lives."""
    restore(withdrawn, 10.0, target("t1"))
    assert withdrawn.apply(10.5, Changes(Position(1, 4), (target("t1"),))) == (True, [])
    assert "t1" in withdrawn.targets


def test_an_entry_that_does_not_lapse_is_taken(withdrawn: Catalogue) -> None:
    """Its target keeps it, and was withdrawn only as it could not reach the source."""
    restore(withdrawn, 10.0, target("t1"))
    assert withdrawn.next_expiry_s(10.0) == pytest.approx(RESTORED_HOLD_S)
    assert not withdrawn.expire(10.0 + RESTORED_HOLD_S / 2.0)
    assert withdrawn.expire(10.0 + RESTORED_HOLD_S)
    assert "t1" in withdrawn.targets


def test_an_entry_that_one_backup_lacks_and_the_next_has_is_taken(held: Catalogue) -> None:
    """That a backup lacks it is no sign that its target has ended."""
    restore(held, 1.0)
    assert "t1" in held.targets
    changes = (config(5), target("t1"), target("t2", service="b"))
    held.apply(2.0, Changes(Position(2, 3), changes, full=True))
    held.expire(2.0 + REPUBLISH_GRACE_S)
    assert "t1" in held.targets


def test_another_start_than_the_withdrawn_one_is_taken(withdrawn: Catalogue) -> None:
    """What is held is of one start only."""
    restore(withdrawn, 10.0, target("t1"))
    restore(withdrawn, 11.0, target("t1", born=7), revision=4)
    assert withdrawn.targets["t1"].born == 7


def test_an_entry_that_is_back_without_a_restoration_is_taken(withdrawn: Catalogue) -> None:
    """It had lapsed; a whole reading in the same era is of now."""
    changes = (config(5), target("t1"), target("t2", service="b"))
    withdrawn.apply(10.0, Changes(Position(0, 9), changes, full=True))
    assert "t1" in withdrawn.targets


def test_the_withdrawn_starts_that_are_remembered_are_bounded() -> None:
    """The latest are kept."""
    catalogue = Catalogue(Policy())
    entries = tuple(target(f"t{n}") for n in (0, *range(9, MAX_REMEMBERED_WITHDRAWN + 9)))
    catalogue.apply(0.0, Changes(Position(0, 3), (config(5), *entries), full=True))
    gone = tuple(TargetWithdrawn(entry.entry.instance) for entry in entries)
    catalogue.apply(1.0, Changes(Position(0, 4), gone))
    catalogue.expire(9.0)
    restore(catalogue, 10.0, target("t0"), entries[-1])
    assert set(catalogue.targets) == {"t0", "t2", "t3"}


def test_a_leaving_target_is_leaving_at_once(held: Catalogue) -> None:
    """What it says itself needs no time."""
    assert held.apply(1.0, Changes(Position(0, 4), (target("t1", leaving=True),))) == (True, [])
    assert held.fleet().targets["t1"].leaving


@pytest.mark.parametrize("full", [False, True])
def test_an_entry_that_makes_no_sense_names_no_target(held: Catalogue, full: bool) -> None:
    """Whoever wrote it: its target goes as if the entry were gone, and the others hold."""
    bad = InvalidItem("servers/t1", "nonsense", "t1")
    others = (target("t2", service="b"), target("t3", service="unknown"))
    changed, invalid = held.apply(1.0, Changes(Position(0, 4), (bad, *others), full=full))
    assert (changed, invalid) == (False, [bad])
    assert held.expire(1.0 + WITHDRAWN_GRACE_S)
    assert set(held.targets) == {"t2", "t3"}


def test_a_target_whose_entry_can_be_read_again_is_back(held: Catalogue) -> None:
    """It writes its entry anew with every heartbeat, whatever somebody else wrote there."""
    held.apply(1.0, Changes(Position(0, 4), (InvalidItem("servers/t1", "nonsense", "t1"),)))
    held.apply(1.2, Changes(Position(0, 5), (target("t1"),)))
    assert not held.expire(9.0)
    assert "t1" in held.targets


def test_an_item_without_a_readable_key_concerns_no_target(held: Catalogue) -> None:
    """A key that only ends like an id is none of it."""
    held.apply(
        1.0, Changes(Position(0, 4), (InvalidItem("", "no key"), InvalidItem("other/t1", "noise")))
    )
    assert not held.expire(9.0)
    assert set(held.targets) == {"t1", "t2", "t3"}


def test_a_later_start_under_the_same_id_is_another_target(held: Catalogue) -> None:
    """All that was known of the earlier one is held under its own name."""
    held.apply(1.0, Changes(Position(0, 4), (target("t1", born=7),)))
    held.apply(2.0, Changes(Position(0, 5), (target("t1", born=9),)))
    fleet = held.fleet()
    assert {"t1@9", "t2"} == set(fleet.targets)
    assert fleet.targets["t1@9"].instance == "t1"


@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize("withdrawn", [False, True])
def test_an_earlier_start_that_is_heard_late_does_not_come_back(
    held: Catalogue, full: bool, withdrawn: bool
) -> None:
    """From a peer, a stale reading or after a lost history; also once the later one is gone."""
    held.apply(1.0, Changes(Position(0, 4), (target("t1", born=9),)))
    if withdrawn:
        held.apply(2.0, Changes(Position(0, 5), (TargetWithdrawn("t1"),)))
        assert held.expire(2.0 + WITHDRAWN_GRACE_S)
    for born in (7, 8):
        old = target("t1", born=born)
        held.apply(4.0, Changes(Position(0, 6), (old, target("t2", service="b")), full=full))
        held.expire(9.0)
        assert set(held.fleet().targets) == ({"t2"} if withdrawn else {"t1@9", "t2"})


def test_an_entry_that_tells_no_start_is_neither_newer_nor_older(held: Catalogue) -> None:
    """It is of the start that is known, what else it says counts, and it comes after one gone."""
    held.apply(1.0, Changes(Position(0, 4), (target("t1", born=9),)))
    held.apply(2.0, Changes(Position(0, 5), (target("t1", leaving=True),)))
    assert held.fleet().targets["t1@9"].leaving
    held.apply(3.0, Changes(Position(0, 6), (TargetWithdrawn("t1"),)))
    assert held.expire(3.0 + WITHDRAWN_GRACE_S)
    held.apply(4.0, Changes(Position(0, 7), (target("t1"),)))
    assert set(held.fleet().targets) == {"t1", "t2"}
    held.apply(5.0, Changes(Position(0, 8), (target("t1", born=11),)))
    assert set(held.fleet().targets) == {"t1@11", "t2"}


def test_the_starts_that_are_remembered_are_bounded() -> None:
    """The latest are kept: what is heard late is heard soon after."""
    catalogue = Catalogue(Policy())
    entries = tuple(target(f"t{n}", born=5) for n in range(MAX_REMEMBERED_STARTS + 1))
    catalogue.apply(0.0, Changes(Position(0, 3), (config(5), *entries), full=True))
    catalogue.apply(1.0, Changes(Position(0, 4), (config(6),), full=True))
    catalogue.expire(9.0)
    late = tuple(target(f"t{n}", born=4) for n in (0, MAX_REMEMBERED_STARTS))
    catalogue.apply(10.0, Changes(Position(0, 5), late))
    assert set(catalogue.targets) == {"t0"}


def test_the_doors_of_a_service_share_out_what_the_fleet_may_repeat() -> None:
    """Together no more than the slack of a window; an ingress keeps no part of its own."""
    catalogue = Catalogue(Policy(0.7, 0.2, 60.0, 10.0))
    entries = [
        TargetPublished(TargetEntry(f"t{n}", "a", f"10.0.0.{n}:80", "h", 4, leaving=False))
        for n in range(12)
    ]
    catalogue.apply(0.0, Changes(Position(0, 3), (config(5), *entries), full=True))
    service = catalogue.fleet().services["a"]
    assert service.retry_window_s == 10.0
    in_window = 12 * service.target_repeats
    assert 0.5 * 60.0 <= in_window <= 60.0
    assert service.retry_burst == math.inf


def test_the_operators_weight_of_bytes_between_data_halls_holds_for_every_service() -> None:
    """It is a setting of the store's nodes, as prices differ."""
    catalogue = Catalogue(Policy(far_loss_per_kb=0.02))
    catalogue.apply(0.0, Changes(Position(0, 3), (config(5), target("t1")), full=True))
    assert {service.far_loss_per_kb for service in catalogue.fleet().services.values()} == {0.02}


def test_a_customers_class_goes_before_the_routes_and_the_routes_counts_among_equals() -> None:
    """Requests that are nobody's, such as calls of targets, count as their route says."""
    urgent, usual = (
        Route(name, "h", f"/{name}/", frozenset(), "a", name, True, {}, None)
        for name in ("p000", "p001")
    )
    large, small = Customer("large", "p001"), Customer("small", "p002")
    customers = Customers.from_keys([(large, ("k1",)), (small, ("k2",)), (Customer("any"), ())])
    services = {"a": PublishedService("a", 9)}
    made = PublishedConfig(9, (urgent, usual), services, CallerLimits(), customers)
    service = build_fleet(made, (), Policy()).services["a"]
    order = [entry.name for entry in service.classes]
    asked = [(urgent, None), (urgent, large), (usual, large), (urgent, small), (usual, small)]
    places = [order.index(service.class_of(route, customer)) for route, customer in asked]
    assert places == sorted(set(places))
    assert service.class_of(usual, None) == service.class_of(usual, Customer("any"))
    assert service.class_of(usual, None) == service.class_of(usual, large)

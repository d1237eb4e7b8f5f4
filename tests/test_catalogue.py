"""A node's copy of a source: versions only increase, and lapsed entries have time to return."""

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
from roadpass.restored_entries import MAX_REMEMBERED_WITHDRAWN, RESTORED_HOLD_S
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
def catalogue() -> Catalogue:
    """Return a catalogue with one target of each service, and one of an unknown service."""
    catalogue = Catalogue(Policy(0.7, 0.2, 10.0))
    entries = (target("t1"), target("t2", service="b"), target("t3", service="unknown"))
    assert catalogue.apply(0.0, Changes(Position(0, 3), (config(5), *entries), full=True)) == (
        True,
        [],
    )
    return catalogue


def test_the_fleet_is_built_from_configuration_and_targets(catalogue: Catalogue) -> None:
    """Targets of unknown services are left out; floors are a share of the slots."""
    fleet = catalogue.fleet()
    assert fleet.revision == 5
    assert set(fleet.targets) == {"t1", "t2"}
    assert fleet.targets["t1"].instance == "t1"
    assert fleet.targets["t1"].vm == "10.0.0.1"
    assert fleet.services["a"].floor_slots == 3
    assert fleet.may_serve("r", "t1", 0.0)
    assert fleet.may_serve("r", "t2", 0.0)


@pytest.mark.parametrize("version", [4, 5])
def test_a_version_that_is_not_newer_is_ignored(catalogue: Catalogue, version: int) -> None:
    """A source that is stale or has lost writes does not replace a newer configuration."""
    assert catalogue.apply(1.0, Changes(Position(0, 4), (config(version),))) == (False, [])
    assert catalogue.fleet().revision == 5


def test_a_withdrawn_target_is_removed_after_a_grace_period(catalogue: Catalogue) -> None:
    """It stays for the grace period and no longer."""
    catalogue.apply(1.0, Changes(Position(0, 4), (TargetWithdrawn("t1"),)))
    assert "t1" in catalogue.fleet().targets
    assert catalogue.next_expiry_s(1.0) == pytest.approx(WITHDRAWN_GRACE_S)
    assert not catalogue.expire(1.0 + WITHDRAWN_GRACE_S / 2)
    assert catalogue.expire(1.0 + WITHDRAWN_GRACE_S)
    assert "t1" not in catalogue.fleet().targets


def test_a_target_that_returns_in_the_grace_period_stays(catalogue: Catalogue) -> None:
    """Its entry had only lapsed."""
    catalogue.apply(1.0, Changes(Position(0, 4), (TargetWithdrawn("t1"),)))
    catalogue.apply(1.2, Changes(Position(0, 5), (target("t1"),)))
    assert not catalogue.expire(9.0)
    assert "t1" in catalogue.fleet().targets


def test_entries_that_lapsed_while_the_source_was_unavailable_get_time_to_return(
    catalogue: Catalogue,
) -> None:
    """Targets write their entries again about two seconds after the source is back."""
    catalogue.mark_source_unavailable(10.0)
    catalogue.apply(
        10.1, Changes(Position(0, 9), (config(5), target("t2", service="b")), full=True)
    )
    assert not catalogue.expire(10.0 + REPUBLISH_GRACE_S - 0.1)
    assert catalogue.expire(10.0 + REPUBLISH_GRACE_S)
    assert "t1" not in catalogue.fleet().targets


def restore(catalogue: Catalogue, now: float, *named: TargetPublished, revision: int = 3) -> None:
    """Apply the first full snapshot of a restored source."""
    others = (target("t2", service="b"), target("t3", service="unknown"))
    changes: tuple[Change, ...] = (config(5), *others, *named)
    catalogue.apply(now, Changes(Position(1, revision), changes, full=True))


@pytest.fixture
def withdrawn_catalogue(catalogue: Catalogue) -> Catalogue:
    """Return a catalogue from which a withdrawn target was removed after its grace period."""
    catalogue.apply(1.0, Changes(Position(0, 4), (TargetWithdrawn("t1"),)))
    assert catalogue.expire(1.0 + WITHDRAWN_GRACE_S)
    return catalogue


def test_an_entry_that_a_backup_brings_back_is_held_back(withdrawn_catalogue: Catalogue) -> None:
    """It lapses again if its target does not write it; the target is never put in service."""
    restore(withdrawn_catalogue, 10.0, target("t1"))
    assert "t1" not in withdrawn_catalogue.targets
    restore(withdrawn_catalogue, 11.0, target("t1"), revision=4)
    assert "t1" not in withdrawn_catalogue.targets
    withdrawn_catalogue.apply(14.0, Changes(Position(1, 5), (TargetWithdrawn("t1"),)))
    assert not withdrawn_catalogue.expire(10.0 + RESTORED_HOLD_S)
    assert "t1" not in withdrawn_catalogue.targets


def test_a_restored_entry_that_is_missing_later_is_dropped(withdrawn_catalogue: Catalogue) -> None:
    """A later full snapshot does not contain it."""
    restore(withdrawn_catalogue, 10.0, target("t1"))
    restore(withdrawn_catalogue, 12.0, revision=6)
    assert not withdrawn_catalogue.expire(10.0 + RESTORED_HOLD_S)
    assert "t1" not in withdrawn_catalogue.targets


def test_a_target_that_writes_its_entry_again_is_back_at_once(
    withdrawn_catalogue: Catalogue,
) -> None:
    """A write proves that the target is alive; its entry in a backup does not."""
    restore(withdrawn_catalogue, 10.0, target("t1"))
    assert withdrawn_catalogue.apply(10.5, Changes(Position(1, 4), (target("t1"),))) == (True, [])
    assert "t1" in withdrawn_catalogue.targets


def test_a_restored_entry_that_does_not_lapse_is_used(withdrawn_catalogue: Catalogue) -> None:
    """Its target renews it; it was withdrawn only because the target could not reach the source."""
    restore(withdrawn_catalogue, 10.0, target("t1"))
    assert withdrawn_catalogue.next_expiry_s(10.0) == pytest.approx(RESTORED_HOLD_S)
    assert not withdrawn_catalogue.expire(10.0 + RESTORED_HOLD_S / 2.0)
    assert withdrawn_catalogue.expire(10.0 + RESTORED_HOLD_S)
    assert "t1" in withdrawn_catalogue.targets


def test_an_entry_that_one_backup_lacks_and_the_next_has_is_used(catalogue: Catalogue) -> None:
    """Its absence from a backup does not mean that its target has ended."""
    restore(catalogue, 1.0)
    assert "t1" in catalogue.targets
    changes = (config(5), target("t1"), target("t2", service="b"))
    catalogue.apply(2.0, Changes(Position(2, 3), changes, full=True))
    catalogue.expire(2.0 + REPUBLISH_GRACE_S)
    assert "t1" in catalogue.targets


def test_another_start_than_the_withdrawn_one_is_used(withdrawn_catalogue: Catalogue) -> None:
    """Only the entry of the withdrawn start is held back."""
    restore(withdrawn_catalogue, 10.0, target("t1"))
    restore(withdrawn_catalogue, 11.0, target("t1", born=7), revision=4)
    assert withdrawn_catalogue.targets["t1"].born == 7


def test_an_entry_that_is_back_without_a_restoration_is_used(
    withdrawn_catalogue: Catalogue,
) -> None:
    """It had lapsed; a full snapshot in the same era is current."""
    changes = (config(5), target("t1"), target("t2", service="b"))
    withdrawn_catalogue.apply(10.0, Changes(Position(0, 9), changes, full=True))
    assert "t1" in withdrawn_catalogue.targets


def test_the_number_of_remembered_withdrawn_starts_is_bounded() -> None:
    """The oldest are evicted first."""
    catalogue = Catalogue(Policy())
    entries = tuple(target(f"t{n}") for n in (0, *range(9, MAX_REMEMBERED_WITHDRAWN + 9)))
    catalogue.apply(0.0, Changes(Position(0, 3), (config(5), *entries), full=True))
    gone = tuple(TargetWithdrawn(entry.entry.instance) for entry in entries)
    catalogue.apply(1.0, Changes(Position(0, 4), gone))
    catalogue.expire(9.0)
    restore(catalogue, 10.0, target("t0"), entries[-1])
    assert set(catalogue.targets) == {"t0", "t2", "t3"}


def test_a_leaving_target_is_leaving_at_once(catalogue: Catalogue) -> None:
    """A target that announces that it leaves needs no grace period."""
    assert catalogue.apply(1.0, Changes(Position(0, 4), (target("t1", leaving=True),))) == (
        True,
        [],
    )
    assert catalogue.fleet().targets["t1"].leaving


@pytest.mark.parametrize("full", [False, True])
def test_an_invalid_entry_withdraws_its_target(catalogue: Catalogue, full: bool) -> None:
    """The target is removed as if its entry were gone; the others stay."""
    bad = InvalidItem("servers/t1", "nonsense", "t1")
    others = (target("t2", service="b"), target("t3", service="unknown"))
    changed, invalid = catalogue.apply(1.0, Changes(Position(0, 4), (bad, *others), full=full))
    assert (changed, invalid) == (False, [bad])
    assert catalogue.expire(1.0 + WITHDRAWN_GRACE_S)
    assert set(catalogue.targets) == {"t2", "t3"}


def test_a_target_whose_entry_is_valid_again_is_back(catalogue: Catalogue) -> None:
    """A target writes its entry with every heartbeat, which repairs what others wrote there."""
    catalogue.apply(1.0, Changes(Position(0, 4), (InvalidItem("servers/t1", "nonsense", "t1"),)))
    catalogue.apply(1.2, Changes(Position(0, 5), (target("t1"),)))
    assert not catalogue.expire(9.0)
    assert "t1" in catalogue.targets


def test_an_invalid_item_without_a_target_key_affects_no_target(catalogue: Catalogue) -> None:
    """Neither an item without a key nor a key under another prefix names a target."""
    catalogue.apply(
        1.0, Changes(Position(0, 4), (InvalidItem("", "no key"), InvalidItem("other/t1", "noise")))
    )
    assert not catalogue.expire(9.0)
    assert set(catalogue.targets) == {"t1", "t2", "t3"}


def test_a_later_start_under_the_same_id_is_another_target(catalogue: Catalogue) -> None:
    """State about the earlier start is kept under that start's own name."""
    catalogue.apply(1.0, Changes(Position(0, 4), (target("t1", born=7),)))
    catalogue.apply(2.0, Changes(Position(0, 5), (target("t1", born=9),)))
    fleet = catalogue.fleet()
    assert {"t1@9", "t2"} == set(fleet.targets)
    assert fleet.targets["t1@9"].instance == "t1"


@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize("withdrawn", [False, True])
def test_an_earlier_start_that_arrives_late_does_not_come_back(
    catalogue: Catalogue, full: bool, withdrawn: bool
) -> None:
    """It may come from a peer, a stale read or after a lost history.

    It does not come back after the later start is gone either.
    """
    catalogue.apply(1.0, Changes(Position(0, 4), (target("t1", born=9),)))
    if withdrawn:
        catalogue.apply(2.0, Changes(Position(0, 5), (TargetWithdrawn("t1"),)))
        assert catalogue.expire(2.0 + WITHDRAWN_GRACE_S)
    for born in (7, 8):
        old = target("t1", born=born)
        catalogue.apply(4.0, Changes(Position(0, 6), (old, target("t2", service="b")), full=full))
        catalogue.expire(9.0)
        assert set(catalogue.fleet().targets) == ({"t2"} if withdrawn else {"t1@9", "t2"})


def test_an_entry_without_a_start_time_is_neither_newer_nor_older(catalogue: Catalogue) -> None:
    """It counts as the known start, or as a new one after that is gone; its other fields apply."""
    catalogue.apply(1.0, Changes(Position(0, 4), (target("t1", born=9),)))
    catalogue.apply(2.0, Changes(Position(0, 5), (target("t1", leaving=True),)))
    assert catalogue.fleet().targets["t1@9"].leaving
    catalogue.apply(3.0, Changes(Position(0, 6), (TargetWithdrawn("t1"),)))
    assert catalogue.expire(3.0 + WITHDRAWN_GRACE_S)
    catalogue.apply(4.0, Changes(Position(0, 7), (target("t1"),)))
    assert set(catalogue.fleet().targets) == {"t1", "t2"}
    catalogue.apply(5.0, Changes(Position(0, 8), (target("t1", born=11),)))
    assert set(catalogue.fleet().targets) == {"t1@11", "t2"}


def test_the_number_of_remembered_starts_is_bounded() -> None:
    """The oldest are evicted first: entries that arrive late arrive soon after."""
    catalogue = Catalogue(Policy())
    entries = tuple(target(f"t{n}", born=5) for n in range(MAX_REMEMBERED_STARTS + 1))
    catalogue.apply(0.0, Changes(Position(0, 3), (config(5), *entries), full=True))
    catalogue.apply(1.0, Changes(Position(0, 4), (config(6),), full=True))
    catalogue.expire(9.0)
    late = tuple(target(f"t{n}", born=4) for n in (0, MAX_REMEMBERED_STARTS))
    catalogue.apply(10.0, Changes(Position(0, 5), late))
    assert set(catalogue.targets) == {"t0"}


def test_the_targets_of_a_service_share_the_retries_of_the_fleet() -> None:
    """Together they get no more than the slack of a window; an ingress has none of its own."""
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


def test_the_configured_cost_of_bytes_between_data_halls_applies_to_every_service() -> None:
    """It is a setting of the nodes that use a store, as prices differ."""
    catalogue = Catalogue(Policy(far_loss_per_kb=0.02))
    catalogue.apply(0.0, Changes(Position(0, 3), (config(5), target("t1")), full=True))
    assert {service.far_loss_per_kb for service in catalogue.fleet().services.values()} == {0.02}


def test_requests_are_ordered_by_customer_class_and_then_by_route_class() -> None:
    """Requests without a customer, such as calls of targets, are ordered by their route alone."""
    urgent, normal = (
        Route(name, "h", f"/{name}/", frozenset(), "a", name, True, {}, None)
        for name in ("p000", "p001")
    )
    large, small = Customer("large", "p001"), Customer("small", "p002")
    customers = Customers.from_keys([(large, ("k1",)), (small, ("k2",)), (Customer("any"), ())])
    services = {"a": PublishedService("a", 9)}
    made = PublishedConfig(9, (urgent, normal), services, CallerLimits(), customers)
    service = build_fleet(made, (), Policy()).services["a"]
    order = [entry.name for entry in service.classes]
    asked = [(urgent, None), (urgent, large), (normal, large), (urgent, small), (normal, small)]
    ranks = [order.index(service.class_of(route, customer)) for route, customer in asked]
    assert ranks == sorted(set(ranks))
    assert service.class_of(normal, None) == service.class_of(normal, Customer("any"))
    assert service.class_of(normal, None) == service.class_of(normal, large)

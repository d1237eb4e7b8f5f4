"""What a node holds of a source: versions only rise, and lapsed entries get time to return."""

import pytest

from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import RETURN_S, WITHDRAWN_KEPT_S, Catalogue, Policy
from roadpass.route import Part, Route
from roadpass.source import (
    Changes,
    ConfigPublished,
    PublishedConfig,
    PublishedService,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
    Unusable,
)


def config(version: int) -> ConfigPublished:
    """Return a configuration with one route to two services."""
    split = (Part("a", 90.0), Part("b", 10.0))
    route = Route("r", "h", "/p/", frozenset(), "a", "p001", True, {}, 2000, split, 2, 800)
    services = {name: PublishedService(name, 10) for name in "ab"}
    return ConfigPublished(PublishedConfig(version, (route,), services, CallerLimits()))


def target(instance: str, *, service: str = "a", leaving: bool = False) -> TargetPublished:
    """Return a target's entry."""
    return TargetPublished(TargetEntry(instance, service, "10.0.0.1:80", "h", 4, leaving))


@pytest.fixture
def held() -> Catalogue:
    """Return a catalogue with one target of each service, and one of a service nobody knows."""
    catalogue = Catalogue(Policy(0.7, 0.2, 10.0))
    entries = (target("t1"), target("t2", service="b"), target("t3", service="unknown"))
    assert catalogue.take(0.0, Changes(3, (config(5), *entries), whole=True)) == (True, [])
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
    assert held.take(1.0, Changes(4, (config(version),))) == (False, [])
    assert held.fleet().revision == 5


def test_a_withdrawn_target_goes_after_a_moment(held: Catalogue) -> None:
    """Not at once, and not later than it must."""
    held.take(1.0, Changes(4, (TargetWithdrawn("t1"),)))
    assert "t1" in held.fleet().targets
    assert held.next_expiry_s(1.0) == pytest.approx(WITHDRAWN_KEPT_S)
    assert not held.expire(1.0 + WITHDRAWN_KEPT_S / 2)
    assert held.expire(1.0 + WITHDRAWN_KEPT_S)
    assert "t1" not in held.fleet().targets


def test_a_target_that_is_back_stays(held: Catalogue) -> None:
    """Its entry had lapsed."""
    held.take(1.0, Changes(4, (TargetWithdrawn("t1"),)))
    held.take(1.2, Changes(5, (target("t1"),)))
    assert not held.expire(9.0)
    assert "t1" in held.fleet().targets


def test_entries_that_lapsed_while_the_source_was_away_get_time_to_return(
    held: Catalogue,
) -> None:
    """About two seconds after its return."""
    held.source_away(10.0)
    held.take(10.1, Changes(9, (config(5), target("t2", service="b")), whole=True))
    assert not held.expire(10.0 + RETURN_S - 0.1)
    assert held.expire(10.0 + RETURN_S)
    assert "t1" not in held.fleet().targets


def test_a_leaving_target_is_leaving_at_once(held: Catalogue) -> None:
    """What it says itself needs no time."""
    assert held.take(1.0, Changes(4, (target("t1", leaving=True),))) == (True, [])
    assert held.fleet().targets["t1"].leaving


def test_an_entry_that_makes_no_sense_leaves_the_last_good_state(held: Catalogue) -> None:
    """Neither the item nor, in a snapshot, its target is lost."""
    bad = Unusable("servers/t1", "nonsense")
    changed, unusable = held.take(1.0, Changes(4, (bad, target("t2", service="b")), whole=True))
    assert (changed, unusable) == (False, [bad])
    held.expire(100.0)
    assert set(held.targets) == {"t1", "t2"}


def test_the_doors_of_a_service_share_out_what_the_fleet_may_repeat() -> None:
    """Together no more than the slack of a window; one ingress may ask for more than its part."""
    catalogue = Catalogue(Policy(0.7, 0.2, 60.0, 10.0))
    entries = [
        TargetPublished(TargetEntry(f"t{n}", "a", f"10.0.0.{n}:80", "h", 4, leaving=False))
        for n in range(12)
    ]
    catalogue.take(0.0, Changes(3, (config(5), *entries), whole=True))
    service = catalogue.fleet().services["a"]
    in_window = 12 * (service.target_repeats + 10.0 * service.target_repeats_per_s)
    assert 0.7 * 60.0 <= in_window <= 60.0
    assert 2.0 * 60.0 / 12 <= service.retry_burst <= 60.0 / 2


def test_the_operators_weight_of_bytes_between_data_halls_holds_for_every_service() -> None:
    """It is a setting of the store's nodes, as prices differ."""
    catalogue = Catalogue(Policy(far_loss_per_kb=0.02))
    catalogue.take(0.0, Changes(3, (config(5), target("t1")), whole=True))
    assert {service.far_loss_per_kb for service in catalogue.fleet().services.values()} == {0.02}

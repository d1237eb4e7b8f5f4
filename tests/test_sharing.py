"""Guards the switches of load sharing: off unless configuration and settings call for them."""

import pytest

from roadpass.catalogue import Policy, build_fleet
from roadpass.customer import Customer, Customers
from roadpass.fleet import Fleet
from roadpass.platform.terms import sharing_of
from roadpass.position import Position
from roadpass.route import Route
from roadpass.sharing import OFF, STREAMED, Sharing
from roadpass.source import (
    Changes,
    ConfigPublished,
    PublishedConfig,
    PublishedService,
    TargetEntry,
)
from roadpass.source_update import SourceUpdate
from tests.test_store_reader import NO_LIMITS

EARLIER_TERMS = ("base", "drain", "config", "cost", "retry", "pool", "tenants", "quota")
KEYS = (("k" * 20,),)
ENTRY = TargetEntry("i-1", "desk", "10.0.0.1:80", "a", 4, False)


def _route(name: str, *, upload: bool = False) -> Route:
    values = {"path": f"/{name}", "service": "desk", "upload": upload}
    return Route.from_config(name, values)


def _config(*routes: Route, customers: Customers | None = None) -> PublishedConfig:
    return PublishedConfig(
        3,
        routes,
        {"desk": PublishedService("desk", 100)},
        NO_LIMITS,
        customers or Customers(),
    )


def _fleet(config: PublishedConfig, terms: tuple[str, ...] = ()) -> Fleet:
    return build_fleet(config, [ENTRY], Policy(sharing=sharing_of(terms)))


def test_terms_of_earlier_deployments_switch_nothing_on() -> None:
    """A part that is on where nothing calls for it would change deployments in service."""
    customers = Customers.from_keys([(Customer("c", None, 10.0, 10.0), KEYS[0])])
    fleet = _fleet(_config(_route("lookup"), customers=customers), EARLIER_TERMS)
    assert fleet.sharing == OFF


def test_shares_are_kept_only_where_there_are_customers() -> None:
    """Without customers there is nobody to share among."""
    customers = Customers.from_keys([(Customer("c", None, 10.0, 10.0), KEYS[0])])
    policy = Policy(sharing=Sharing(fair_shares=True))
    alone = build_fleet(_config(_route("lookup")), [ENTRY], policy)
    shared = build_fleet(_config(_route("lookup"), customers=customers), [ENTRY], policy)
    assert (alone.sharing.fair_shares, shared.sharing.fair_shares) == (False, True)


def test_term_and_named_switches_add_up() -> None:
    """Operators of a store must be able to turn a part on that no term calls for."""
    assert sharing_of(("base", "pressure")) == OFF
    both = sharing_of(("pressure",)).union(Sharing(room=True)).union(Sharing(queue=True))
    assert both == Sharing(room=True, queue=True)


def test_upload_route_calls_for_streaming_without_any_term() -> None:
    """A whole body in memory at every node on its way breaks the bound on bytes kept."""
    sharing = _fleet(_config(_route("scan", upload=True))).sharing
    assert sharing == STREAMED == Sharing(streamed_bodies=True)


@pytest.mark.parametrize("uploads", [(), ("scan",)])
def test_nodes_pass_on_which_routes_are_uploads(uploads: tuple[str, ...]) -> None:
    """A node that learns the configuration from a peer must have the same switches on.

    The rows of routes keep their length, as older nodes reject longer ones.
    """
    routes = tuple(_route(name, upload=name in uploads) for name in ("lookup", "scan"))
    changes = Changes(Position(0, 5), (ConfigPublished(_config(*routes)),))
    message = SourceUpdate(changes, 10.0).to_message(11.0)
    assert ("uploads" in message) is bool(uploads)
    assert all(len(row) == len(Route._fields) - 1 for row in message["config"][1])
    (change,) = SourceUpdate.from_message(message, 11.0).changes.changes
    assert change == ConfigPublished(_config(*routes))


def test_document_sets_switches_by_name() -> None:
    """The project's own configuration must be able to switch a single part on."""
    text = '{"services": {}, "sharing": {"room": true, "queue": false}}'
    assert Fleet.from_documents([("a", text)]).sharing == Sharing(room=True)

"""Source updates are unchanged by their transfer between nodes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.caller_limits import CallerLimits
from roadpass.customer import Customer, Customers
from roadpass.errors import FrameError
from roadpass.message import check
from roadpass.packing import pack, unpack
from roadpass.position import Position
from roadpass.route import Part, Route
from roadpass.source import (
    Change,
    Changes,
    ConfigPublished,
    PublishedConfig,
    PublishedService,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
)
from roadpass.source_update import SourceUpdate
from roadpass.target_notice import MAX_WARM_UP_MS

names = st.text(min_size=1, max_size=8)
routes = st.builds(
    Route,
    names,
    names,
    names,
    st.frozensets(names, max_size=2),
    names,
    st.none() | names,
    st.booleans(),
    st.dictionaries(names, names, max_size=2),
    st.none() | st.integers(1, 9000),
    st.lists(st.builds(Part, names, st.floats(0.1, 9.0)), max_size=2).map(tuple),
    st.none() | st.integers(1, 4),
    st.none() | st.integers(1, 9000),
    st.booleans(),
)
customers = st.dictionaries(
    st.from_regex("[!-~]{1,9}", fullmatch=True),
    st.tuples(st.none() | names, st.floats(0.0, 1e9), st.floats(0.0, 1e9), st.sets(st.uuids())),
    max_size=3,
).map(
    lambda drawn: Customers.from_keys(
        (Customer(name, traffic_class, rate, burst), tuple(map(str, keys)))
        for name, (traffic_class, rate, burst, keys) in drawn.items()
    )
)
configs = st.builds(
    PublishedConfig,
    st.integers(1, 1000),
    st.lists(routes, max_size=3).map(tuple),
    st.lists(st.builds(PublishedService, names, st.integers(1, 99)), max_size=2).map(
        lambda services: {service.name: service for service in services}
    ),
    st.just(CallerLimits(1, 2, 3.0, 4.0)),
    customers,
)
entries = st.builds(
    TargetEntry,
    names,
    names,
    names,
    names,
    st.integers(1, 9),
    st.booleans(),
    st.integers(0, 9),
    st.floats(0.0, MAX_WARM_UP_MS),
    st.just(""),  # an invalid warm-up is not sent
)


@given(configs, st.lists(entries, max_size=3), st.lists(names, max_size=2), st.booleans())
def test_updates_survive_their_wire_format(
    config: PublishedConfig, targets: list[TargetEntry], withdrawn: list[str], full: bool
) -> None:
    """Every field is preserved, including the ages."""
    changes: tuple[Change, ...] = (
        ConfigPublished(config),
        *map(TargetPublished, targets),
        *map(TargetWithdrawn, withdrawn),
    )
    update = SourceUpdate(Changes(Position(2, 7), changes, full=full), 90.0)
    written = unpack(pack(update.to_message(100.0)))
    assert SourceUpdate.from_message(check(written), 100.0) == update


def test_failed_calls_of_a_peer_are_ignored() -> None:
    """Guards against the failure "a cut watch": one node's failed call counted at all others."""
    message = dict(SourceUpdate(Changes(Position(0, 7), (), full=True), 90.0).to_message(100.0))
    expected = SourceUpdate.from_message(message, 100.0)
    read = SourceUpdate.from_message(check(message | {"away_age_s": 0.0}), 100.0)
    assert read == expected
    assert "away_age_s" not in message


def test_a_node_of_an_earlier_release_is_understood() -> None:
    """It neither sends nor reads an era; its state belongs to the first one."""
    message = SourceUpdate(Changes(Position(0, 7), (), full=True), 90.0).to_message(100.0)
    assert "era" not in message
    assert SourceUpdate.from_message(
        check(unpack(pack(message))), 100.0
    ).changes.position == Position(0, 7)


@pytest.mark.parametrize(
    "data",
    [
        [],
        ["noise"],
        [1, [1], [], []],
        [1, [], [[1]], []],
        [1, [], [], [0] * 9],
        [1, [], [], [1, 2, 3, 4], ["salt"]],
        [1, [], [], [1, 2, 3, 4], [b"salt", [["a", None, -1.0, 0.0, []]]]],
    ],
)
def test_an_invalid_configuration_is_an_error_of_the_stream(data: object) -> None:
    """Whatever a peer sends instead of one."""
    message = {"t": "news", "revision": 1, "age_s": 0.0, "whole": True, "targets": []}
    with pytest.raises(FrameError):
        SourceUpdate.from_message({**message, "withdrawn": [], "config": data}, 0.0)

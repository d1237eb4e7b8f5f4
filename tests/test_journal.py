"""A peer that asks for what came after a revision ends up with the state of the answering node."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.catalogue import Catalogue, Policy
from roadpass.journal import MAX_UPDATES, Journal
from roadpass.position import Position
from roadpass.source import (
    Change,
    Changes,
    InvalidItem,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
)

LATER_S = 100.0
"""Seconds after which the grace period of a withdrawn target is over."""


def published(instance: str, slots: int = 1) -> TargetPublished:
    """Return a target's entry."""
    return TargetPublished(TargetEntry(instance, "s", "10.0.0.1:80", "h", slots, False))


change = st.builds(published, st.sampled_from("abc"), st.integers(1, 9)) | st.builds(
    TargetWithdrawn, st.sampled_from("abc")
)
updates = st.lists(
    st.tuples(st.integers(1, 3), st.lists(change, max_size=3).map(tuple), st.booleans()),
    min_size=1,
    max_size=8,
)


def held_after(catalogue: Catalogue) -> dict[str, TargetEntry]:
    """Return the targets that remain after all grace periods."""
    catalogue.expire(LATER_S)
    return dict(catalogue.targets)


@given(updates, st.integers(0, 8))
def test_a_peer_that_asks_gets_the_same_state(
    drawn: list[tuple[int, tuple[Change, ...], bool]], known: int
) -> None:
    """It may ask from any earlier update on, or from nothing."""
    journal, own, peer = Journal(), Catalogue(Policy()), Catalogue(Policy())
    revision = after = 0
    for index, (step, changes, full) in enumerate(drawn):
        revision += step
        named = tuple(c for c in changes if isinstance(c, TargetPublished)) if full else changes
        update = Changes(Position(0, revision), named, full=full)
        journal.record(update, 0.0)
        own.apply(0.0, update)
        if index < known:
            peer.apply(0.0, update)
            after = revision
    reply = journal.since(Position(0, after))
    assert reply is not None
    assert reply.changes.position == Position(0, revision)
    peer.apply(0.0, reply.changes)
    assert held_after(peer) == held_after(own)


def test_there_is_no_reply_before_the_first_update() -> None:
    """An empty snapshot would tell the peer that there are no targets."""
    assert Journal().since(Position(0, 0)) is None


def test_a_peer_that_missed_too_much_gets_a_full_snapshot() -> None:
    """The number of kept updates is bounded."""
    journal = Journal()
    for revision in range(1, MAX_UPDATES + 3):
        journal.record(Changes(Position(0, revision), (published(str(revision)),)), 0.0)
    reply = journal.since(Position(0, 1))
    assert reply is not None
    assert reply.changes.full
    assert len(reply.changes.changes) == MAX_UPDATES + 2
    later = journal.since(Position(0, MAX_UPDATES))
    assert later is not None
    assert not later.changes.full
    assert len(later.changes.changes) == 2


def test_a_peer_that_asks_from_an_earlier_era_gets_a_full_snapshot() -> None:
    """Even if the revision it asks from was assigned again in this era."""
    journal = Journal()
    journal.record(Changes(Position(1, 3), (published("a"),), full=True), 0.0)
    journal.record(Changes(Position(1, 9), (published("b"),)), 0.0)
    journal.record(Changes(Position(2, 5), (published("c"),), full=True), 0.0)
    journal.record(Changes(Position(2, 6), (published("d"),)), 0.0)
    for after in (Position(1, 9), Position(1, 5), Position(0, 100)):
        reply = journal.since(after)
        assert reply is not None
        expected = Changes(Position(2, 6), (published("c"), published("d")), full=True)
        assert reply.changes == expected


@pytest.mark.parametrize("full", [False, True])
def test_peers_get_no_target_with_an_invalid_entry(full: bool) -> None:
    """Neither its earlier entry nor the invalid one is sent; other entries are."""
    journal = Journal()
    journal.record(Changes(Position(0, 1), (published("a"), published("b")), full=True), 0.0)
    bad = InvalidItem("servers/a", "noise", "a")
    journal.record(Changes(Position(0, 2), (bad, published("b")), full=full), 0.0)
    reply = journal.since(Position(0, 0))
    assert reply is not None
    assert reply.changes.full
    assert reply.changes.changes == (published("b"),)


def test_a_peer_gets_a_withdrawal_for_an_invalid_entry() -> None:
    """It knows the target by the earlier entry and has to remove it."""
    journal = Journal()
    journal.record(Changes(Position(0, 1), (published("a"),), full=True), 0.0)
    journal.record(Changes(Position(0, 2), (InvalidItem("servers/a", "noise", "a"),)), 0.0)
    reply = journal.since(Position(0, 1))
    assert reply is not None
    assert reply.to_message(0.0)["withdrawn"] == ["a"]


def test_the_age_is_that_of_the_latest_confirmation() -> None:
    """Late confirmations do not increase it."""
    journal = Journal()
    journal.record(Changes(Position(0, 1), (), full=True), 5.0)
    journal.confirm(9.0)
    journal.confirm(7.0)
    reply = journal.since(Position(0, 0))
    assert reply is not None
    assert reply.confirmed_at == 9.0

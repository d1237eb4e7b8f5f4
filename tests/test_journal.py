"""Whoever asks for what came after a revision ends up with what the node that answers holds."""

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
"""Seconds after which a withdrawn target is not kept any more."""


def published(instance: str, slots: int = 1) -> TargetPublished:
    """Return a target's entry."""
    return TargetPublished(TargetEntry(instance, "s", "10.0.0.1:80", "h", slots, False))


change = st.builds(published, st.sampled_from("abc"), st.integers(1, 9)) | st.builds(
    TargetWithdrawn, st.sampled_from("abc")
)
readings = st.lists(
    st.tuples(st.integers(1, 3), st.lists(change, max_size=3).map(tuple), st.booleans()),
    min_size=1,
    max_size=8,
)


def held_after(catalogue: Catalogue) -> dict[str, TargetEntry]:
    """Return the targets that stay."""
    catalogue.expire(LATER_S)
    return dict(catalogue.targets)


@given(readings, st.integers(0, 8))
def test_a_peer_that_asks_holds_the_same(
    told: list[tuple[int, tuple[Change, ...], bool]], known: int
) -> None:
    """From whatever reading on it asks, or from nothing."""
    journal, own, peer = Journal(), Catalogue(Policy()), Catalogue(Policy())
    revision = after = 0
    for index, (step, changes, full) in enumerate(told):
        revision += step
        named = tuple(c for c in changes if isinstance(c, TargetPublished)) if full else changes
        reading = Changes(Position(0, revision), named, full=full)
        journal.record(reading, 0.0)
        own.apply(0.0, reading)
        if index < known:
            peer.apply(0.0, reading)
            after = revision
    news = journal.since(Position(0, after))
    assert news is not None
    assert news.changes.position == Position(0, revision)
    peer.apply(0.0, news.changes)
    assert held_after(peer) == held_after(own)


def test_nothing_is_told_before_the_first_reading() -> None:
    """Not even that there is nothing."""
    assert Journal().since(Position(0, 0)) is None


def test_who_missed_too_much_is_told_all() -> None:
    """The readings that are kept are bounded."""
    journal = Journal()
    for revision in range(1, MAX_UPDATES + 3):
        journal.record(Changes(Position(0, revision), (published(str(revision)),)), 0.0)
    news = journal.since(Position(0, 1))
    assert news is not None
    assert news.changes.full
    assert len(news.changes.changes) == MAX_UPDATES + 2
    later = journal.since(Position(0, MAX_UPDATES))
    assert later is not None
    assert not later.changes.full
    assert len(later.changes.changes) == 2


def test_who_asks_from_an_earlier_era_is_told_all() -> None:
    """Also from a revision that was given out again."""
    journal = Journal()
    journal.record(Changes(Position(1, 3), (published("a"),), full=True), 0.0)
    journal.record(Changes(Position(1, 9), (published("b"),)), 0.0)
    journal.record(Changes(Position(2, 5), (published("c"),), full=True), 0.0)
    journal.record(Changes(Position(2, 6), (published("d"),)), 0.0)
    for after in (Position(1, 9), Position(1, 5), Position(0, 100)):
        news = journal.since(after)
        assert news is not None
        expected = Changes(Position(2, 6), (published("c"), published("d")), full=True)
        assert news.changes == expected


@pytest.mark.parametrize("full", [False, True])
def test_peers_are_told_nothing_of_what_could_not_be_read(full: bool) -> None:
    """Neither as it was before, nor as it is now; what else there is they are told."""
    journal = Journal()
    journal.record(Changes(Position(0, 1), (published("a"), published("b")), full=True), 0.0)
    bad = InvalidItem("servers/a", "noise", "a")
    journal.record(Changes(Position(0, 2), (bad, published("b")), full=full), 0.0)
    news = journal.since(Position(0, 0))
    assert news is not None
    assert news.changes.full
    assert news.changes.changes == (published("b"),)


def test_a_peer_hears_that_an_entry_makes_no_sense_any_more() -> None:
    """As a withdrawal: it held the target by the earlier entry."""
    journal = Journal()
    journal.record(Changes(Position(0, 1), (published("a"),), full=True), 0.0)
    journal.record(Changes(Position(0, 2), (InvalidItem("servers/a", "noise", "a"),)), 0.0)
    news = journal.since(Position(0, 1))
    assert news is not None
    assert news.to_message(0.0)["withdrawn"] == ["a"]


def test_the_age_is_the_latest_moment_without_news() -> None:
    """Words that come late do not make it older; an outage is told with it."""
    journal = Journal()
    journal.record(Changes(Position(0, 1), (), full=True), 5.0)
    journal.confirm(9.0)
    journal.confirm(7.0)
    journal.mark_source_unavailable(6.0)
    news = journal.since(Position(0, 0))
    assert news is not None
    assert (news.confirmed_at, news.unavailable_at) == (9.0, 6.0)

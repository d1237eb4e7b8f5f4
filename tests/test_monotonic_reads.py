"""Reads of a source never return to an older state."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.caller_limits import CallerLimits
from roadpass.monotonic_reads import MAX_REMEMBERED_LEAVING, MonotonicReads
from roadpass.position import Position
from roadpass.source import (
    Change,
    Changes,
    ConfigPublished,
    PublishedConfig,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
)


def config(version: int) -> ConfigPublished:
    """Return a configuration without any routes."""
    return ConfigPublished(PublishedConfig(version, (), {}, CallerLimits()))


def target(instance: str, *, leaving: bool = False, born: int = 0) -> TargetPublished:
    """Return a target's entry."""
    return TargetPublished(TargetEntry(instance, "s", "10.0.0.1:80", "h", 4, leaving, born))


changes = st.one_of(
    st.integers(1, 5).map(config),
    st.builds(target, st.sampled_from("ab"), leaving=st.booleans(), born=st.integers(0, 2)),
    st.sampled_from("ab").map(TargetWithdrawn),
)
updates = st.lists(
    st.builds(
        Changes,
        st.builds(Position, st.integers(0, 3), st.integers(1, 9)),
        st.lists(changes, max_size=5).map(tuple),
        st.booleans(),
    ),
    max_size=8,
)


@given(updates)
def test_no_update_undoes_an_earlier_one(drawn: list[Changes]) -> None:
    """In any order of updates, versions only increase and leaving targets keep leaving."""
    reads = MonotonicReads()
    version = 0
    left: set[str] = set()
    for update in drawn:
        applied = reads.apply(update)
        assert (applied.position, applied.full) == (update.position, update.full)
        for change in applied.changes:
            match change:
                case ConfigPublished(config=config):
                    assert config.version >= version
                    version = config.version
                case TargetPublished(entry=entry):
                    assert entry.leaving or entry.name not in left
                    left |= {entry.name} if entry.leaving else set()


@given(updates)
def test_an_update_without_older_content_is_unchanged(drawn: list[Changes]) -> None:
    """It has no older configuration and no entry of a target that has announced its leaving."""
    reads = MonotonicReads()
    version = 0
    left: set[str] = set()
    for update in drawn:
        configs = [c.config.version for c in update.changes if isinstance(c, ConfigPublished)]
        entries = [c.entry for c in update.changes if isinstance(c, TargetPublished)]
        rises = [version, *configs] == sorted([version, *configs])
        ready = {entry.name for entry in entries if not entry.leaving}
        left |= {entry.name for entry in entries if entry.leaving}
        expected: tuple[Change, ...] = update.changes
        if update.full and not configs and version:
            expected = (*expected, config(version))
        if rises and not ready & left:
            assert reads.apply(update).changes == expected
        else:
            reads.apply(update)
        version = max([version, *configs])


def test_a_full_snapshot_without_a_configuration_gets_the_newest() -> None:
    """A backup may predate the first configuration, and peers are served from the update."""
    reads = MonotonicReads()
    reads.apply(Changes(Position(0, 3), (config(7),)))
    assert reads.apply(Changes(Position(1, 1), (), full=True)).changes == (config(7),)
    assert reads.apply(Changes(Position(1, 2), ())).changes == ()


def test_another_start_under_the_same_id_is_ready() -> None:
    """Only the start that announced it is leaving."""
    reads = MonotonicReads()
    reads.apply(Changes(Position(0, 3), (target("a", leaving=True, born=7),)))
    again = Changes(Position(1, 1), (target("a", born=7), target("a", born=9)))
    assert reads.apply(again).changes == (target("a", leaving=True, born=7), target("a", born=9))


def test_the_number_of_remembered_starts_is_bounded() -> None:
    """The oldest are evicted first."""
    reads = MonotonicReads()
    entries = tuple(target(f"t{n}", leaving=True) for n in range(MAX_REMEMBERED_LEAVING + 1))
    reads.apply(Changes(Position(0, 3), entries))
    late = Changes(Position(1, 1), (target("t0"), target(f"t{MAX_REMEMBERED_LEAVING}")))
    assert reads.apply(late).changes == (
        target("t0"),
        target(f"t{MAX_REMEMBERED_LEAVING}", leaving=True),
    )

"""The end of a target: named alike for all that is lost with it, and looked after now and then."""

from roadpass.target_end import LOOK_EVERY_S, SAME_END_S, TargetEnd


def test_all_that_is_lost_at_once_is_one_end() -> None:
    """And what is lost later is another."""
    end = TargetEnd("t")
    assert not end.seen
    first = end.note(10.0)
    assert end.seen
    assert end.note(10.0 + SAME_END_S) == first
    assert end.note(10.0 + 3.0 * SAME_END_S) != first


def test_it_lasts_until_the_target_is_seen_back() -> None:
    """A look costs a connection, so not every question has one."""
    end = TargetEnd("t")
    looks: list[bool] = []

    def look(gone: bool) -> bool:
        looks.append(gone)
        return gone

    end.note(10.0)
    assert end.lasts(10.01, lambda: look(False))
    assert looks == []
    assert end.lasts(10.0 + 1.5 * LOOK_EVERY_S, lambda: look(True))
    assert end.lasts(10.0 + 2.0 * LOOK_EVERY_S, lambda: look(False))
    assert not end.lasts(10.0 + 3.0 * LOOK_EVERY_S, lambda: look(False))
    assert looks == [True, False]
    assert not end.seen

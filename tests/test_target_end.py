"""The end of a target: named alike for all that is lost with it, and looked after now and then."""

from roadpass.target_end import CHECK_INTERVAL_S, SAME_EXIT_S, TargetExit


def test_all_that_is_lost_at_once_is_one_end() -> None:
    """And what is lost later is another."""
    end = TargetExit("t")
    assert not end.down
    first = end.record(10.0)
    assert end.down
    assert end.record(10.0 + SAME_EXIT_S) == first
    assert end.record(10.0 + 3.0 * SAME_EXIT_S) != first


def test_it_lasts_until_the_target_is_seen_back() -> None:
    """A look costs a connection, so not every question has one."""
    end = TargetExit("t")
    looks: list[bool] = []

    def look(gone: bool) -> bool:
        looks.append(gone)
        return gone

    end.record(10.0)
    assert end.still_down(10.01, lambda: look(False))
    assert looks == []
    assert end.still_down(10.0 + 1.5 * CHECK_INTERVAL_S, lambda: look(True))
    assert end.still_down(10.0 + 2.0 * CHECK_INTERVAL_S, lambda: look(False))
    assert not end.still_down(10.0 + 3.0 * CHECK_INTERVAL_S, lambda: look(False))
    assert looks == [True, False]
    assert not end.down

"""Exit of a target: one identifier for all its losses, and rate-limited checks for its return."""

from roadpass.target_exit import CHECK_INTERVAL_S, SAME_EXIT_S, TargetExit


def test_losses_close_together_are_one_exit() -> None:
    """A later loss is another exit."""
    end = TargetExit("t")
    assert not end.down
    first = end.record(10.0)
    assert end.down
    assert end.record(10.0 + SAME_EXIT_S) == first
    assert end.record(10.0 + 3.0 * SAME_EXIT_S) != first


def test_a_target_is_down_until_a_check_finds_it_back() -> None:
    """Each check costs a connection, so not every call makes one."""
    end = TargetExit("t")
    checks: list[bool] = []

    def check(gone: bool) -> bool:
        checks.append(gone)
        return gone

    end.record(10.0)
    assert end.still_down(10.01, lambda: check(False))
    assert checks == []
    assert end.still_down(10.0 + 1.5 * CHECK_INTERVAL_S, lambda: check(True))
    assert end.still_down(10.0 + 2.0 * CHECK_INTERVAL_S, lambda: check(False))
    assert not end.still_down(10.0 + 3.0 * CHECK_INTERVAL_S, lambda: check(False))
    assert checks == [True, False]
    assert not end.down

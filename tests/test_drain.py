"""A drain ends when nothing is in flight, also in a process that was paused meanwhile."""

from roadpass.drain import IDLE_S, PAUSED_S, Drain, DrainState

STEP_S = 0.05
LEAVE_S = 2.6
LIMIT_S = 5.0


def drain() -> Drain:
    """Return a drain that begins at time zero."""
    return Drain(0.0, leave_s=LEAVE_S, limit_s=LIMIT_S)


def ends_at(one: Drain, start: float, busy_until: float = 0.0) -> tuple[float, DrainState]:
    """Update in steps until the drain is over; return the time and the final state."""
    now = start
    while True:
        now += STEP_S
        stage = one.update(now, int(now < busy_until))
        if stage.over:
            return now, stage


def test_an_idle_node_exits_after_announcing_its_shutdown() -> None:
    """It accepts new requests until then."""
    one = drain()
    assert one.update(STEP_S, 0) == DrainState(refusing=False, over=False)
    now, stage = ends_at(one, STEP_S)
    assert LEAVE_S <= now < LEAVE_S + 2 * STEP_S
    assert stage == DrainState(refusing=True, over=True, clean=True)


def test_requests_in_flight_are_waited_for() -> None:
    """And for an idle time after them, for requests that follow on the same connections."""
    now, stage = ends_at(drain(), 0.0, busy_until=3.5)
    assert stage.clean
    assert 3.5 + IDLE_S - STEP_S <= now < 3.5 + IDLE_S + 2 * STEP_S


def test_the_limit_ends_the_drain() -> None:
    """Even with requests in flight, and then the exit is not clean."""
    now, stage = ends_at(drain(), 0.0, busy_until=60.0)
    assert LIMIT_S <= now < LIMIT_S + 2 * STEP_S
    assert not stage.clean


# Guards against a drain that reports cut requests when the last response came just in time.
def test_a_node_with_nothing_in_flight_at_the_limit_exits_cleanly() -> None:
    """There is no time left for the idle time, but no request was cut."""
    now, stage = ends_at(drain(), 0.0, busy_until=LIMIT_S - IDLE_S / 2.0)
    assert LIMIT_S <= now < LIMIT_S + 2 * STEP_S
    assert stage.clean


def test_a_pause_right_before_the_limit_is_no_clean_exit() -> None:
    """Requests that arrived during the pause have not been read yet."""
    one = drain()
    one.update(LIMIT_S - 0.1, 1)
    assert not one.update(LIMIT_S - 0.05, 1).over
    woken = LIMIT_S + 2.0 * PAUSED_S
    assert not one.update(woken, 0).clean


def test_a_pause_is_no_idle_time() -> None:
    """Requests that arrived during a pause must be read before the node exits."""
    one = drain()
    one.update(0.4, 0)
    woken = 0.4 + 2.9
    assert one.update(woken, 0) == DrainState(refusing=True, over=False)
    now, stage = ends_at(one, woken, busy_until=woken + 0.3)
    assert stage.clean
    assert now >= woken + 0.3 + IDLE_S - STEP_S


def test_a_pause_does_not_use_up_the_limit() -> None:
    """Requests in flight are finished: the limit counts only time in which the process runs.

    Guards against a node that gets no CPU time for 2.6 s of its shutdown, wakes after the limit,
    and exits at once, which cuts its requests in flight.
    """
    one = drain()
    one.update(LIMIT_S - 0.5, 3)
    woken = LIMIT_S + 2.1
    assert one.update(woken, 3) == DrainState(refusing=True, over=False)
    now, stage = ends_at(one, woken, busy_until=woken + 0.2)
    assert stage.clean
    assert now < woken + 0.2 + IDLE_S + 2 * STEP_S


def test_the_limit_holds_after_a_pause() -> None:
    """The drain ends later by the length of the pause."""
    one = drain()
    one.update(STEP_S, 3)
    one.update(STEP_S + 2.0, 3)
    now, stage = ends_at(one, STEP_S + 2.0, busy_until=60.0)
    assert LIMIT_S + 2.0 <= now < LIMIT_S + 2.0 + 2 * STEP_S
    assert not stage.clean


def test_a_late_update_is_no_pause() -> None:
    """On a busy node updates sometimes come a little late."""
    one = drain()
    now = 0.0
    while now < LEAVE_S:
        now += PAUSED_S * 0.9
        stage = one.update(now, 0)
    assert stage.over

"""A planned stop ends when nothing is in flight, also for a process that stood still meanwhile."""

from roadpass.drain import IDLE_S, PAUSED_S, Drain, DrainState

STEP_S = 0.05
LEAVE_S = 2.6
LIMIT_S = 5.0


def drain() -> Drain:
    """Return a stop that begins at zero."""
    return Drain(0.0, leave_s=LEAVE_S, limit_s=LIMIT_S)


def ends_at(one: Drain, start: float, busy_until: float = 0.0) -> tuple[float, DrainState]:
    """Look on in steps until it is over."""
    now = start
    while True:
        now += STEP_S
        stage = one.update(now, int(now < busy_until))
        if stage.over:
            return now, stage


def test_an_idle_node_ends_once_it_is_known_to_leave() -> None:
    """It takes new work until then."""
    one = drain()
    assert one.update(STEP_S, 0) == DrainState(refusing=False, over=False)
    now, stage = ends_at(one, STEP_S)
    assert LEAVE_S <= now < LEAVE_S + 2 * STEP_S
    assert stage == DrainState(refusing=True, over=True, clean=True)


def test_work_in_flight_is_waited_for() -> None:
    """And a while more, for what follows on the same connections."""
    now, stage = ends_at(drain(), 0.0, busy_until=3.5)
    assert stage.clean
    assert 3.5 + IDLE_S - STEP_S <= now < 3.5 + IDLE_S + 2 * STEP_S


def test_the_limit_ends_it() -> None:
    """Whatever is in flight."""
    now, stage = ends_at(drain(), 0.0, busy_until=60.0)
    assert LIMIT_S <= now < LIMIT_S + 2 * STEP_S
    assert not stage.clean


# Guards against a stop that reports cut work when the last answer was out shortly before its limit.
def test_a_node_that_has_ended_its_work_at_the_limit_ends_cleanly() -> None:
    """There is no time left to wait whether more follows, and nothing was cut."""
    now, stage = ends_at(drain(), 0.0, busy_until=LIMIT_S - IDLE_S / 2.0)
    assert LIMIT_S <= now < LIMIT_S + 2 * STEP_S
    assert stage.clean


def test_a_pause_right_before_the_limit_is_no_clean_end() -> None:
    """Nobody has looked since at what came meanwhile."""
    one = drain()
    one.update(LIMIT_S - 0.1, 1)
    assert not one.update(LIMIT_S - 0.05, 1).over
    woken = LIMIT_S + 2.0 * PAUSED_S
    assert not one.update(woken, 0).clean


def test_a_pause_is_no_quiet_time() -> None:
    """Requests that came meanwhile lie unread: they are read before the node ends."""
    one = drain()
    one.update(0.4, 0)
    woken = 0.4 + 2.9
    assert one.update(woken, 0) == DrainState(refusing=True, over=False)
    now, stage = ends_at(one, woken, busy_until=woken + 0.3)
    assert stage.clean
    assert now >= woken + 0.3 + IDLE_S - STEP_S


def test_a_pause_does_not_use_up_the_limit() -> None:
    """What was in flight is seen to its end: the limit is for time in which the process runs.

    Seen in the fault soak: a node that got no processor time for 2.6 s of its stop woke after its
    limit, ended at once with its work in flight, and cut it.
    """
    one = drain()
    one.update(LIMIT_S - 0.5, 3)
    woken = LIMIT_S + 2.1
    assert one.update(woken, 3) == DrainState(refusing=True, over=False)
    now, stage = ends_at(one, woken, busy_until=woken + 0.2)
    assert stage.clean
    assert now < woken + 0.2 + IDLE_S + 2 * STEP_S


def test_the_limit_holds_after_a_pause() -> None:
    """It ends as much later as the process stood still."""
    one = drain()
    one.update(STEP_S, 3)
    one.update(STEP_S + 2.0, 3)
    now, stage = ends_at(one, STEP_S + 2.0, busy_until=60.0)
    assert LIMIT_S + 2.0 <= now < LIMIT_S + 2.0 + 2 * STEP_S
    assert not stage.clean


def test_a_late_look_is_no_pause() -> None:
    """A busy node looks a little late now and then."""
    one = drain()
    now = 0.0
    while now < LEAVE_S:
        now += PAUSED_S * 0.9
        stage = one.update(now, 0)
    assert stage.over

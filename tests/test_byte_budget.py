"""The account of kept bytes, in virtual time. Guards against memory that grows with the callers."""

import random

from roadpass import clock
from roadpass.byte_budget import (
    DEFAULT_LIMIT_BYTES,
    NEW_SHARE,
    PROGRESS_BYTES,
    SMALL_BYTES,
    STALL_S,
    WAIT_LIMIT_S,
    WAITING_BYTES,
    ByteBudget,
    Holding,
    Verdict,
)
from roadpass.pause import PauseWatch

KB = 1024
LIMIT = 1000 * KB
NEW = int(LIMIT * NEW_SHARE)
BODY = 350 * KB


def opened(budget: ByteBudget, *, caller: bool = True) -> Holding:
    """Return a new holding."""
    holding = Holding((lambda: None) if caller else None)
    budget.open(holding)
    return holding


def test_limit_is_a_part_of_the_memory() -> None:
    """Guards against a limit of the VM's whole memory, or of none where it is unknown."""
    assert ByteBudget.of_memory(200.0).limit == 200 * KB * KB // 16
    assert ByteBudget.of_memory(0.0).limit == DEFAULT_LIMIT_BYTES


def test_reader_waits_until_bytes_are_released() -> None:
    """Guards against reading on beyond the limit, and against a wait that never ends."""
    budget = ByteBudget(LIMIT)
    one, two, three = opened(budget), opened(budget), opened(budget)
    assert budget.ask(0.0, one, BODY) is budget.ask(0.0, two, BODY) is Verdict.GRANTED
    assert budget.ask(0.0, three, BODY) is Verdict.WAIT
    budget.close(one)
    assert budget.ask(0.1, three, BODY) is Verdict.GRANTED
    assert (budget.kept, budget.waiting) == (2 * BODY, 0)


def test_what_never_fits_or_waits_too_long_is_rejected() -> None:
    """Guards against a request that is held although it cannot be served."""
    budget = ByteBudget(LIMIT)
    assert budget.ask(0.0, opened(budget), NEW + 1) is Verdict.NEVER
    budget.ask(0.0, opened(budget), NEW)
    late = opened(budget)
    assert budget.ask(1.0, late, BODY) is Verdict.WAIT
    assert budget.ask(1.0 + WAIT_LIMIT_S - 0.01, late, BODY) is Verdict.WAIT
    assert budget.ask(1.0 + WAIT_LIMIT_S, late, BODY) is Verdict.NEVER
    assert budget.waiting == 0


def test_small_requests_do_not_wait_for_uploads() -> None:
    """Guards against uploads that block all other requests."""
    budget = ByteBudget(LIMIT)
    upload = opened(budget)
    budget.ask(0.0, upload, NEW)
    budget.ask(0.0, upload, int(LIMIT * 0.95) - NEW)
    assert budget.ask(0.0, opened(budget), SMALL_BYTES + 1) is Verdict.WAIT
    assert budget.ask(0.0, opened(budget), SMALL_BYTES) is Verdict.GRANTED


def test_control_messages_of_an_upload_do_not_wait() -> None:
    """Guards against taking a sidecar for unreachable, as its short reply had to wait."""
    budget = ByteBudget(LIMIT)
    upload = opened(budget)
    budget.ask(0.0, upload, NEW)
    budget.ask(0.0, upload, int(LIMIT * 0.95) - NEW)
    budget.ask(0.0, opened(budget), BODY)
    assert budget.ask(0.0, upload, 100, separate=True) is Verdict.GRANTED


def test_responses_go_before_new_requests() -> None:
    """Guards against requests that wait for each other: all let in, none able to end."""
    budget = ByteBudget(LIMIT)
    running, waiting = opened(budget), opened(budget)
    budget.ask(0.0, running, NEW)
    assert budget.ask(0.0, waiting, BODY) is Verdict.WAIT
    assert budget.ask(0.1, running, LIMIT - NEW - LIMIT // 20) is Verdict.GRANTED


def test_waiting_requests_go_in_order() -> None:
    """Guards against a large request that smaller ones overtake for ever."""
    budget = ByteBudget(LIMIT)
    running, large, smaller = opened(budget), opened(budget), opened(budget)
    budget.ask(0.0, running, BODY)
    assert budget.ask(0.0, large, NEW) is Verdict.WAIT
    assert budget.ask(0.1, smaller, BODY) is Verdict.WAIT
    budget.close(running)
    assert budget.ask(0.2, smaller, BODY) is Verdict.WAIT
    assert budget.ask(0.2, large, NEW) is Verdict.GRANTED


def test_slow_caller_is_found_only_while_others_wait() -> None:
    """Guards against slow callers that hold all bytes, and against cutting them without need."""
    budget = ByteBudget(LIMIT)
    oldest, slow, reading, peer = (opened(budget, caller=n < 3) for n in range(4))
    for at, one in enumerate((oldest, slow, reading, peer)):
        budget.ask(0.0, one, 180 * KB)
        budget.expect(at / 10.0, one)
    now = 0.5 + STALL_S
    budget.record_progress(now, slow, PROGRESS_BYTES - 1)
    budget.record_progress(now, reading, PROGRESS_BYTES)
    assert budget.stalled(now) is None
    budget.ask(now, opened(budget), BODY)
    assert budget.stalled(now) is oldest
    oldest.was_cut = True
    assert budget.stalled(now) is slow
    slow.was_cut = True
    assert budget.stalled(now) is None


def test_caller_is_not_slow_for_a_stall_of_the_node() -> None:
    """Guards against the failure "a paused node": it woke, and disconnected a caller as slow."""
    budget, pause = ByteBudget(LIMIT), PauseWatch()
    reader = opened(budget)
    budget.ask(0.0, reader, NEW)
    budget.expect(clock.now() - 3.0 * STALL_S, reader)
    budget.ask(0.0, opened(budget), BODY)
    now = clock.now() + 2.0 * STALL_S  # the watch has not ticked for that long
    assert pause.resumed_at(now) == now
    assert budget.stalled(now, pause.resumed_at(now)) is None
    assert budget.stalled(now, now - STALL_S) is reader


def test_caller_of_a_running_request_is_not_slow() -> None:
    """Guards against disconnecting a caller that waits for its response."""
    budget = ByteBudget(LIMIT)
    budget.ask(0.0, opened(budget), NEW)
    budget.ask(0.0, opened(budget), BODY)
    assert budget.stalled(100.0) is None


def test_waiters_leave_no_more_unread_than_the_limit() -> None:
    """Guards against the failure "many callers wait": each leaves a full receive buffer unread."""
    budget = ByteBudget(LIMIT)
    budget.ask(0.0, opened(budget), NEW)
    most = LIMIT // WAITING_BYTES
    verdicts = [budget.ask(0.0, opened(budget), BODY) for _ in range(most + 2)]
    assert verdicts == [Verdict.WAIT] * most + [Verdict.NEVER] * 2
    assert budget.ask(0.0, opened(budget), SMALL_BYTES) is Verdict.GRANTED


def test_responses_received_in_part_do_not_wait_for_each_other() -> None:
    """Guards against the failure "two long responses": each had a half and waited for the rest."""
    budget = ByteBudget(LIMIT, overdraft=LIMIT)
    one, two = opened(budget), opened(budget)
    half = int(LIMIT * 0.45)
    for size in (10 * KB, half):
        assert budget.ask(0.0, one, size) is budget.ask(0.0, two, size) is Verdict.GRANTED
    assert budget.ask(0.0, two, half) is Verdict.GRANTED
    assert budget.ask(0.0, one, half) is Verdict.WAIT
    assert budget.ask(0.1, two, LIMIT // 20) is Verdict.GRANTED
    assert budget.kept <= LIMIT + budget.overdraft
    budget.close(two)
    assert budget.ask(0.2, one, half) is Verdict.GRANTED


def test_bytes_behind_a_request_are_kept_only_if_they_fit() -> None:
    """Guards against the failure "pipelined requests": what callers send ahead fills a VM."""
    budget = ByteBudget(LIMIT)
    one = opened(budget)
    assert budget.add(one, BODY)
    assert not budget.add(opened(budget), NEW)
    assert (budget.kept, budget.waiting) == (BODY, 0)


def test_account_stays_within_the_limit() -> None:
    """Guards against bytes that are counted twice or never released, in random sequences."""
    rng = random.Random(7)
    budget, live = ByteBudget(LIMIT, overdraft=BODY), list[Holding]()
    for step in range(3000):
        if len(live) < 40 and rng.random() < 0.5:
            live.append(opened(budget))
        one = rng.choice(live) if live else opened(budget)
        match rng.randrange(3):
            case 0:
                budget.ask(step / 100.0, one, rng.choice((100, 10 * KB, BODY)))
            case 1:
                budget.release(one, rng.randrange(BODY))
            case _ if one in live:
                live.remove(one)
                budget.close(one)
        assert 0 <= budget.kept <= budget.peak <= LIMIT + BODY
        assert budget.kept >= sum(each.kept for each in live)

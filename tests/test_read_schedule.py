"""Read schedule: one node of a data hall reads, and the next ones take over in time if it fails."""

import random
from itertools import pairwise

import pytest

from roadpass.read_schedule import MIN_WATCH_S, ReaderRank, ReadSchedule

BOUND_S = 2.0
CALL_S = 0.25
"""Seconds of a call on a slow source."""


@pytest.mark.parametrize("rank", [0, 1, 5, 6, 400])
@pytest.mark.parametrize("jitter", [0.0, 1.0])
def test_every_node_reads_well_within_the_bound(rank: int, jitter: float) -> None:
    """Even the last in the order has time for one call before the bound."""
    schedule = ReadSchedule(BOUND_S, jitter)
    assert schedule.takeover_age_s(ReaderRank(rank, 500)) + CALL_S <= BOUND_S


def test_nodes_take_over_one_after_the_other() -> None:
    """The gap between nodes has room for a call and the confirmation that follows from it."""
    schedule = ReadSchedule(BOUND_S, 0.5)
    takeover_ages = [schedule.takeover_age_s(ReaderRank(rank, 20)) for rank in range(6)]
    assert takeover_ages[0] == 0.0
    assert all(later - sooner >= 0.05 for sooner, later in pairwise(takeover_ages))


def test_the_second_node_waits_longer_than_the_first_needs_to_confirm() -> None:
    """Otherwise two nodes would read where one is enough."""
    schedule = ReadSchedule(BOUND_S, 0.5)
    assert schedule.takeover_age_s(ReaderRank(1, 20)) > schedule.wait_s(0.0) + schedule.pause_s / 2


def test_a_read_waits_less_if_the_last_confirmation_is_old() -> None:
    """It then confirms soon; the wait never falls below the minimum."""
    schedule = ReadSchedule(BOUND_S, 0.5)
    assert schedule.wait_s(0.0) == pytest.approx(0.8)
    assert schedule.wait_s(0.5) == pytest.approx(0.3)
    assert schedule.wait_s(60.0) == MIN_WATCH_S


def test_a_hall_keeps_the_bound_whichever_readers_fail() -> None:
    """Simulated in steps of 10 ms: readers stop at any time, others take over, calls stay few."""
    rng = random.Random(7)
    for _ in range(30):
        fails_at = {rank: rng.uniform(0.0, 20.0) for rank in range(4)}
        calls, oldest = _play(rng, fails_at, members=12)
        assert oldest <= BOUND_S
        assert calls <= 80


def _play(rng: random.Random, fails_at: dict[int, float], *, members: int) -> tuple[int, float]:
    """Return the calls in 20 s and the highest age of a confirmation on a node that still runs."""
    schedules = [ReadSchedule(BOUND_S, rng.random()) for _ in range(members)]
    confirmed = [0.0] * members
    reading: dict[int, float] = {}
    calls, oldest, now = 0, 0.0, 0.0
    while now < 20.0:
        now += 0.01
        for rank in range(members):
            if fails_at.get(rank, 99.0) <= now:
                reading.pop(rank, None)
                continue
            age = now - confirmed[rank]
            oldest = max(oldest, age)
            if rank in reading and now >= reading[rank]:
                del reading[rank]
                confirmed = [now] * members
            elif rank not in reading and schedules[rank].is_due(ReaderRank(rank, 11), age):
                calls += 1
                reading[rank] = now + schedules[rank].wait_s(age)
    return calls, oldest

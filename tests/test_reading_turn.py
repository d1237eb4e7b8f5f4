"""Whose turn it is to read: one node of a data hall, and the next ones in time if it falls out."""

import random
from itertools import pairwise

import pytest

from roadpass.reading_turn import MIN_WATCH_S, ReaderRank, ReadSchedule

BOUND_S = 2.0
CALL_S = 0.25
"""Seconds of a call on a slow source."""


@pytest.mark.parametrize("rank", [0, 1, 5, 6, 400])
@pytest.mark.parametrize("jitter", [0.0, 1.0])
def test_everybody_reads_well_within_the_bound(rank: int, jitter: float) -> None:
    """Also the last, with a call's time to spare."""
    turn = ReadSchedule(BOUND_S, jitter)
    assert turn.takeover_age_s(ReaderRank(rank, 500)) + CALL_S <= BOUND_S


def test_one_reads_after_the_other() -> None:
    """A call and its word fit between the turns of the first ones."""
    turn = ReadSchedule(BOUND_S, 0.5)
    patience = [turn.takeover_age_s(ReaderRank(rank, 20)) for rank in range(6)]
    assert patience[0] == 0.0
    assert all(later - sooner >= 0.05 for sooner, later in pairwise(patience))


def test_the_second_waits_longer_than_the_first_takes_for_a_word() -> None:
    """Otherwise two would read where one is enough."""
    turn = ReadSchedule(BOUND_S, 0.5)
    assert turn.takeover_age_s(ReaderRank(1, 20)) > turn.wait_s(0.0) + turn.pause_s / 2


def test_the_staler_the_word_the_shorter_the_reading() -> None:
    """So that it is confirmed soon, and never waits for nothing."""
    turn = ReadSchedule(BOUND_S, 0.5)
    assert turn.wait_s(0.0) == pytest.approx(0.8)
    assert turn.wait_s(0.5) == pytest.approx(0.3)
    assert turn.wait_s(60.0) == MIN_WATCH_S


def test_a_hall_keeps_the_bound_whoever_falls_out() -> None:
    """In steps of 10 ms: readers stop at any moment, the next ones take over, calls stay few."""
    rng = random.Random(7)
    for _ in range(30):
        falls_out = {rank: rng.uniform(0.0, 20.0) for rank in range(4)}
        calls, oldest = _play(rng, falls_out, members=12)
        assert oldest <= BOUND_S
        assert calls <= 80


def _play(rng: random.Random, falls_out: dict[int, float], *, members: int) -> tuple[int, float]:
    """Return the calls of 20 s, and the age of the oldest word of a member that still runs."""
    turns = [ReadSchedule(BOUND_S, rng.random()) for _ in range(members)]
    confirmed = [0.0] * members
    reading: dict[int, float] = {}
    calls, oldest, now = 0, 0.0, 0.0
    while now < 20.0:
        now += 0.01
        for rank in range(members):
            if falls_out.get(rank, 99.0) <= now:
                reading.pop(rank, None)
                continue
            age = now - confirmed[rank]
            oldest = max(oldest, age)
            if rank in reading and now >= reading[rank]:
                del reading[rank]
                confirmed = [now] * members
            elif rank not in reading and turns[rank].is_due(ReaderRank(rank, 11), age):
                calls += 1
                reading[rank] = now + turns[rank].wait_s(age)
    return calls, oldest

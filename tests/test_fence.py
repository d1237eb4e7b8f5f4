"""At-most-once table against a reference model, and several sidecars against a caller's repeats."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from roadpass.fence import FenceTable, Verdict
from roadpass.outcome import Reason
from tests import naive

IDS = st.sampled_from(["a/1/1", "a/1/2", "b/1/1"])
KEYS = st.sampled_from(["", "k1", "k2"])
OLD = -1000.0


class FenceMachine(RuleBasedStateMachine):
    """Claims and fences in any order within the window."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FenceTable(started_at=OLD)
        self.model = naive.Fences()

    @rule(attempt=IDS, key=KEYS, repeat=st.booleans())
    def claim(self, attempt: str, key: str, repeat: bool) -> None:
        repeat = repeat and bool(key)
        got = self.table.claim(0.0, attempt, key, repeat=repeat)
        assert (got is None) == self.model.claim(attempt, key, repeat)

    @rule(attempt=IDS)
    def fence(self, attempt: str) -> None:
        never = self.table.fence(0.0, attempt) is Verdict.NEVER_STARTS
        assert never == self.model.fence(attempt)

    @rule(key=st.sampled_from(["k1", "k2"]), token=IDS)
    def fence_key(self, key: str, token: str) -> None:
        never = self.table.fence_key(0.0, key, token) is Verdict.NEVER_STARTS
        assert never == self.model.fence_key(key, token)


TestFence = FenceMachine.TestCase


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 1)), max_size=40))
def test_a_key_runs_once_over_several_sidecars(steps: list[tuple[int, int, int]]) -> None:
    """A first attempt at one sidecar and two declared repeats, in any interleaving."""
    tables = [FenceTable(started_at=OLD) for _ in range(3)]
    vouched: dict[int, set[int]] = {1: set(), 2: set()}
    runs = 0
    for caller, sidecar, act in steps:
        token = f"repeat/{caller}"
        if caller == 0:
            runs += tables[sidecar].claim(0.0, f"first/{sidecar}", "k") is None and sidecar == 0
        elif act == 0:
            if tables[sidecar].fence_key(0.0, "k", token) is Verdict.NEVER_STARTS:
                vouched[caller].add(sidecar)
        elif vouched[caller] == {0, 1, 2}:
            runs += tables[sidecar].claim(0.0, token, "k", repeat=True) is None
        if caller == 0 and sidecar != 0:
            return
    assert runs <= 1


def test_a_fence_is_kept_for_the_window_and_dropped_after() -> None:
    """An attempt that arrives late is refused by its fence."""
    table = FenceTable(started_at=OLD, window_s=10.0)
    assert table.fence(0.0, "a/1/1") is Verdict.NEVER_STARTS
    assert table.expire(9.0) == 0
    assert table.claim(9.0, "a/1/1") is Reason.FENCED
    assert table.expire(20.0) == 1


def test_a_recently_started_sidecar_cannot_vouch_for_a_key() -> None:
    """It does not know which attempts the previous process on the VM started."""
    table = FenceTable(started_at=0.0, window_s=10.0)
    assert table.fence_key(5.0, "k", "t") is Verdict.CANNOT_VOUCH
    assert table.fence_key(10.0, "k", "t") is Verdict.NEVER_STARTS


def test_a_duplicate_of_a_started_attempt_does_not_start_again() -> None:
    """Guards against a frame that is delivered twice."""
    table = FenceTable(started_at=OLD)
    results: list[Any] = [table.claim(0.0, "a/1/1"), table.claim(0.0, "a/1/1")]
    assert results == [None, Reason.DUPLICATE]

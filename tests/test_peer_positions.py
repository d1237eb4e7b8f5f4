"""Which peer is asked next, and which peers are skipped."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.peer_backoff import BACKOFF_S, FORGET_S, PeerBackoff
from roadpass.peer_positions import PeerPositions
from roadpass.position import Position
from roadpass.source_update import PeerPosition

VMS = [f"vm-{number}" for number in range(4)]


def announced(vm: str, revision: int, at: float = 0.0, *, near: bool = True) -> PeerPosition:
    """Return a peer's announced position."""
    return PeerPosition(Position(0, revision), at, vm, (vm, 1), near)


def test_of_equal_peers_the_most_advanced_is_asked_first() -> None:
    """Of two at the same position, the one with the latest confirmation is asked."""
    peers = PeerPositions()
    for one in (
        announced("vm-0", 5),
        announced("vm-1", 7, 1.0),
        announced("vm-2", 7, 2.0),
        announced("vm-3", 3, 9.0),
    ):
        peers.record(one)
    assert peers.best(10.0, Position(0, 4)) == announced("vm-2", 7, 2.0)
    assert peers.best(10.0, Position(0, 7)) is None


def test_a_peer_that_did_not_answer_is_skipped_for_a_while() -> None:
    """Another peer is asked meanwhile, or none if there is no other."""
    peers = PeerPositions()
    peers.record(announced("vm-0", 5))
    peers.record(announced("vm-1", 6))
    peers.fetch_failed("vm-1", 10.0)
    assert peers.best(10.0, Position(0, 4)) == announced("vm-0", 5)
    peers.fetch_failed("vm-0", 10.5)
    assert peers.best(10.6, Position(0, 4)) is None
    assert peers.best(10.0 + BACKOFF_S, Position(0, 4)) == announced("vm-1", 6)
    peers.fetch_failed("vm-1", 11.0)
    assert peers.best(11.0 + BACKOFF_S, Position(0, 4)) == announced("vm-0", 5)
    assert peers.best(11.0 + 2.0 * BACKOFF_S, Position(0, 4)) == announced("vm-0", 5), (
        "it failed less often"
    )
    peers.fetch_succeeded("vm-0")
    assert peers.best(11.0 + 2.0 * BACKOFF_S, Position(0, 4)) == announced("vm-1", 6)


def test_a_near_peer_comes_before_a_far_one_unless_it_failed() -> None:
    """If only this data hall can be reached, its peers are found at once."""
    peers = PeerPositions()
    peers.record(announced("vm-0", 9, near=False))
    peers.record(announced("vm-1", 5))
    assert peers.best(0.0, Position(0, 4)) == announced("vm-1", 5)
    peers.fetch_failed("vm-1", 0.0)
    assert peers.best(9.0, Position(0, 4)) == announced("vm-0", 9, near=False)


def test_a_peer_that_answered_is_asked_again_only_for_a_new_position() -> None:
    """Otherwise a peer that sends less than it announced would be asked forever."""
    peers = PeerPositions()
    peers.record(announced("vm-0", 5))
    peers.fetch_succeeded("vm-0")
    assert peers.best(0.0, Position(0, 4)) is None
    peers.record(announced("vm-0", 6))
    assert peers.best(0.0, Position(0, 4)) == announced("vm-0", 6)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["record", "fetch_succeeded", "fetch_failed"]),
        st.sampled_from(VMS),
        st.integers(1, 9),
        st.floats(0.01, 0.7),
    ),
    max_size=30,
)


@given(EVENTS, st.integers(0, 9))
def test_the_choice_equals_that_of_a_naive_implementation(
    events: list[tuple[str, str, int, float]], beyond: int
) -> None:
    """The naive one keeps all positions and failures and searches them at the end."""
    peers = PeerPositions()
    held: dict[str, PeerPosition] = {}
    failures: list[tuple[str, float]] = []
    successes: dict[str, float] = {}
    now = 0.0
    for what, vm, revision, step in events:
        now += step
        if what == "record":
            held[vm] = announced(vm, revision, now)
            peers.record(held[vm])
        elif what == "fetch_succeeded":
            held.pop(vm, None)
            successes[vm] = now
            peers.fetch_succeeded(vm)
        else:
            failures.append((vm, now))
            peers.fetch_failed(vm, now)
    skipped = {vm for vm in VMS if naive_is_skipped(vm, failures, successes, now)}
    candidates = [
        w for vm, w in held.items() if vm not in skipped and w.position > Position(0, beyond)
    ]
    best = peers.best(now, Position(0, beyond))
    if not candidates:
        assert best is None
    else:
        assert best in candidates
        fewest = min(naive_failures(w.vm, failures, successes) for w in candidates)
        among = [w for w in candidates if naive_failures(w.vm, failures, successes) == fewest]
        assert best in among
        assert best.position == max(w.position for w in among)


def naive_failures(vm: str, failures: list[tuple[str, float]], successes: dict[str, float]) -> int:
    """Count the failures since the last success."""
    return sum(1 for one, at in failures if one == vm and at > successes.get(vm, -1.0))


def naive_is_skipped(
    vm: str, failures: list[tuple[str, float]], successes: dict[str, float], now: float
) -> bool:
    """Return whether a peer is skipped: for 1, 2, 4, 8 s after its latest failure."""
    since = [at for one, at in failures if one == vm and at > successes.get(vm, -1.0)]
    return bool(since) and now < since[-1] + min(8.0, BACKOFF_S * 2.0 ** (len(since) - 1))


def test_failures_are_forgotten_after_a_while() -> None:
    """Memory is bounded by the number of peers that failed recently."""
    unanswered = PeerBackoff()
    for number in range(200):
        unanswered.record_failure(number, float(number) * BACKOFF_S)
    assert unanswered.avoids(199, 199.5 * BACKOFF_S)
    assert not unanswered.avoids(198, 199.5 * BACKOFF_S)
    assert unanswered.failures(198) == 1
    assert unanswered.failures(150) == 0
    assert len(unanswered._failures) <= FORGET_S / BACKOFF_S + 2

"""Which peer is asked next, and who is left alone."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.news import PeerPosition
from roadpass.peer_positions import PeerPositions
from roadpass.position import Position
from roadpass.unanswered import FORGET_S, HOLD_S, Unanswered

VMS = [f"vm-{number}" for number in range(4)]


def holds(vm: str, revision: int, at: float = 0.0, *, near: bool = True) -> PeerPosition:
    """Return up to where a peer holds the source."""
    return PeerPosition(Position(0, revision), at, vm, (vm, 1), near)


def test_of_equal_peers_who_holds_the_most_is_asked_first() -> None:
    """Of two that hold as much, the one that is known to be fresher."""
    peers = PeerPositions()
    for one in (
        holds("vm-0", 5),
        holds("vm-1", 7, 1.0),
        holds("vm-2", 7, 2.0),
        holds("vm-3", 3, 9.0),
    ):
        peers.record(one)
    assert peers.best(10.0, Position(0, 4)) == holds("vm-2", 7, 2.0)
    assert peers.best(10.0, Position(0, 7)) is None


def test_who_did_not_answer_is_left_alone_for_a_while() -> None:
    """The next one is asked meanwhile, and none where there is no other."""
    peers = PeerPositions()
    peers.record(holds("vm-0", 5))
    peers.record(holds("vm-1", 6))
    peers.fetch_failed("vm-1", 10.0)
    assert peers.best(10.0, Position(0, 4)) == holds("vm-0", 5)
    peers.fetch_failed("vm-0", 10.5)
    assert peers.best(10.6, Position(0, 4)) is None
    assert peers.best(10.0 + HOLD_S, Position(0, 4)) == holds("vm-1", 6)
    peers.fetch_failed("vm-1", 11.0)
    assert peers.best(11.0 + HOLD_S, Position(0, 4)) == holds("vm-0", 5)
    assert peers.best(11.0 + 2.0 * HOLD_S, Position(0, 4)) == holds("vm-0", 5), (
        "it was silent less often"
    )
    peers.fetch_succeeded("vm-0")
    assert peers.best(11.0 + 2.0 * HOLD_S, Position(0, 4)) == holds("vm-1", 6)


def test_a_near_one_comes_before_a_far_one_unless_it_was_silent() -> None:
    """Where only the own data hall can be reached, its peers are found at once."""
    peers = PeerPositions()
    peers.record(holds("vm-0", 9, near=False))
    peers.record(holds("vm-1", 5))
    assert peers.best(0.0, Position(0, 4)) == holds("vm-1", 5)
    peers.fetch_failed("vm-1", 0.0)
    assert peers.best(9.0, Position(0, 4)) == holds("vm-0", 9, near=False)


def test_who_answered_is_asked_again_on_a_new_position_only() -> None:
    """Else a peer that holds less than it said would be asked for ever."""
    peers = PeerPositions()
    peers.record(holds("vm-0", 5))
    peers.fetch_succeeded("vm-0")
    assert peers.best(0.0, Position(0, 4)) is None
    peers.record(holds("vm-0", 6))
    assert peers.best(0.0, Position(0, 4)) == holds("vm-0", 6)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["note", "answered", "did_not_answer"]),
        st.sampled_from(VMS),
        st.integers(1, 9),
        st.floats(0.01, 0.7),
    ),
    max_size=30,
)


@given(EVENTS, st.integers(0, 9))
def test_the_choice_is_that_of_a_plain_list(
    events: list[tuple[str, str, int, float]], beyond: int
) -> None:
    """Keep all positions and all silences, and look through them at the end."""
    peers = PeerPositions()
    held: dict[str, PeerPosition] = {}
    silent: list[tuple[str, float]] = []
    answers: dict[str, float] = {}
    now = 0.0
    for what, vm, revision, step in events:
        now += step
        if what == "note":
            held[vm] = holds(vm, revision, now)
            peers.record(held[vm])
        elif what == "answered":
            held.pop(vm, None)
            answers[vm] = now
            peers.fetch_succeeded(vm)
        else:
            silent.append((vm, now))
            peers.fetch_failed(vm, now)
    left_alone = {vm for vm in VMS if naive_hold(vm, silent, answers, now)}
    wanted = [
        w for vm, w in held.items() if vm not in left_alone and w.position > Position(0, beyond)
    ]
    best = peers.best(now, Position(0, beyond))
    if not wanted:
        assert best is None
    else:
        assert best in wanted
        fewest = min(naive_times(w.vm, silent, answers) for w in wanted)
        among = [w for w in wanted if naive_times(w.vm, silent, answers) == fewest]
        assert best in among
        assert best.position == max(w.position for w in among)


def naive_times(vm: str, silent: list[tuple[str, float]], answers: dict[str, float]) -> int:
    """Count the silences since the last answer."""
    return sum(1 for one, at in silent if one == vm and at > answers.get(vm, -1.0))


def naive_hold(
    vm: str, silent: list[tuple[str, float]], answers: dict[str, float], now: float
) -> bool:
    """Tell whether a peer is left alone: 1, 2, 4, 8 s after its latest silence."""
    since = [at for one, at in silent if one == vm and at > answers.get(vm, -1.0)]
    return bool(since) and now < since[-1] + min(8.0, HOLD_S * 2.0 ** (len(since) - 1))


def test_silences_are_forgotten_when_they_are_over() -> None:
    """What is kept is bounded by who was silent lately."""
    unanswered = Unanswered()
    for number in range(200):
        unanswered.note(number, float(number) * HOLD_S)
    assert unanswered.holds(199, 199.5 * HOLD_S)
    assert not unanswered.holds(198, 199.5 * HOLD_S)
    assert unanswered.times(198) == 1
    assert unanswered.times(150) == 0
    assert len(unanswered._silences) <= FORGET_S / HOLD_S + 2

"""Kinds of requests: their time, size and losses are learnt by route, and bounded in number."""

from roadpass.kind import KINDS_MAX, PATIENCE_MAX, Kinds
from roadpass.outcome import Answered, NotRun, Outcome, Reason, Unknown


def learn(kinds: Kinds, route: str, outcome: Outcome, *, took_ms: float = 1.0) -> None:
    """Learn from twenty attempts that end alike."""
    for _ in range(20):
        kinds.learn(route, outcome, body_bytes=1000, took_ms=took_ms)


def test_time_and_size_are_learnt_from_answers_only() -> None:
    """A failure says nothing of them, but when a loss is noticed."""
    kinds = Kinds()
    learn(kinds, "r", Answered(500, [], b"x" * 9000, 5.0), took_ms=80.0)
    assert not kinds.of("r").latency.known
    assert kinds.of("r").size_kb == 1.0
    assert kinds.of("r").lost_ms > 70.0
    learn(kinds, "r", Answered(200, [], b"x" * 4000, 50.0))
    assert 45.0 < kinds.of("r").latency.typical_ms < 55.0
    assert 4.0 < kinds.of("r").size_kb < 5.0


def test_when_a_loss_is_noticed_is_learnt_from_attempts_that_may_have_run() -> None:
    """A refusal loses nothing."""
    kinds = Kinds()
    learn(kinds, "r", NotRun(Reason.BUSY), took_ms=300.0)
    learn(kinds, "r", Unknown(Reason.CANCELLED), took_ms=300.0)
    assert kinds.of("r").lost_ms == 0.0
    learn(kinds, "r", Unknown(Reason.TIMEOUT), took_ms=300.0)
    assert kinds.of("r").lost_ms > 250.0


def test_what_is_short_beside_the_others_may_take_longer() -> None:
    """By as much as it is shorter, up to a bound; others, and unknown ones, their objective."""
    kinds = Kinds()
    learn(kinds, "short", Answered(200, [], b"", 100.0))
    assert kinds.patience(kinds.of("unknown")) == 1.0
    for _ in range(5):
        learn(kinds, "long", Answered(200, [], b"", 300.0))
    assert kinds.patience(kinds.of("long")) == 1.0
    assert 2.0 < kinds.patience(kinds.of("short")) <= PATIENCE_MAX


def test_the_number_of_kinds_is_bounded() -> None:
    """Routes come and go."""
    kinds = Kinds()
    for number in range(KINDS_MAX + 10):
        kinds.of(f"r{number}")
    assert len(kinds._kinds) <= KINDS_MAX

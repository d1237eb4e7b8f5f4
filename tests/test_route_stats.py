"""Statistics of duration, size and losses by route, for a bounded number of routes."""

from roadpass.outcome import Answered, NotRun, Outcome, Reason, Unknown
from roadpass.route_stats import OBJECTIVE_FACTOR_MAX, ROUTES_MAX, RouteStatsTable


def learn(stats: RouteStatsTable, route: str, outcome: Outcome, *, took_ms: float = 1.0) -> None:
    """Learn from twenty attempts with the same outcome."""
    for _ in range(20):
        stats.learn(route, outcome, body_bytes=1000, took_ms=took_ms)


def test_duration_and_size_are_learnt_from_answers_only() -> None:
    """A failure only updates the time until a loss is detected."""
    stats = RouteStatsTable()
    learn(stats, "r", Answered(500, [], b"x" * 9000, 5.0), took_ms=80.0)
    assert not stats.of("r").duration.known
    assert stats.of("r").size_kb == 1.0
    assert stats.of("r").lost_ms > 70.0
    learn(stats, "r", Answered(200, [], b"x" * 4000, 50.0))
    assert 45.0 < stats.of("r").duration.typical_ms < 55.0
    assert 4.0 < stats.of("r").size_kb < 5.0


def test_loss_detection_time_is_learnt_from_attempts_that_may_have_run() -> None:
    """A refusal or a cancellation is no loss."""
    stats = RouteStatsTable()
    learn(stats, "r", NotRun(Reason.BUSY), took_ms=300.0)
    learn(stats, "r", Unknown(Reason.CANCELLED), took_ms=300.0)
    assert stats.of("r").lost_ms == 0.0
    learn(stats, "r", Unknown(Reason.TIMEOUT), took_ms=300.0)
    assert stats.of("r").lost_ms > 250.0


def test_short_requests_may_exceed_their_objective() -> None:
    """By the ratio to the others' duration, up to a limit; long and unknown ones may not."""
    stats = RouteStatsTable()
    learn(stats, "short", Answered(200, [], b"", 100.0))
    assert stats.objective_factor(stats.of("unknown")) == 1.0
    for _ in range(5):
        learn(stats, "long", Answered(200, [], b"", 300.0))
    assert stats.objective_factor(stats.of("long")) == 1.0
    assert 2.0 < stats.objective_factor(stats.of("short")) <= OBJECTIVE_FACTOR_MAX


def test_the_number_of_routes_is_bounded() -> None:
    """Routes are added and removed over time."""
    stats = RouteStatsTable()
    for number in range(ROUTES_MAX + 10):
        stats.of(f"r{number}")
    assert len(stats._by_route) <= ROUTES_MAX

"""Circuit breaker: trips while its target is probably failing and recovers through trials."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.circuit_breaker import (
    BACKOFF_MAX_S,
    BACKOFF_S,
    IDLE_S,
    TRIAL_THRESHOLD,
    TRIP_THRESHOLD,
    CircuitBreaker,
)
from roadpass.failure_estimator import End, FailureEstimator

KIND = "r"
TYPICAL_S = 0.1


def ready(answers: int = 30) -> tuple[CircuitBreaker, FailureEstimator, float]:
    """Return the breaker and estimator of a target that succeeded so far, and the time."""
    estimator = FailureEstimator(0.0)
    breaker, now = CircuitBreaker(estimator), 0.0
    for _ in range(answers):
        answer(breaker, now)
        now += TYPICAL_S
    return breaker, estimator, now


def answer(breaker: CircuitBreaker, now: float) -> None:
    """Run a request that succeeds."""
    breaker.end(now + TYPICAL_S, breaker.begin(now, KIND), End.ANSWERED)


def lose(breaker: CircuitBreaker, now: float) -> None:
    """Run a request that is lost at once."""
    breaker.end(now + 0.003, breaker.begin(now, KIND), End.LOST)


def test_a_loss_trips_it_and_only_trials_are_admitted_until_it_recovers() -> None:
    """Requests that must not be retried are refused; the first trial waits for the back-off."""
    breaker, _, now = ready()
    assert breaker.admits(now, trial=False)
    lose(breaker, now)
    now += 0.01
    assert breaker.tripped(now)
    assert not breaker.admits(now, trial=True)
    now += BACKOFF_S
    trials = 0
    while breaker.tripped(now):
        assert not breaker.admits(now, trial=False)
        assert breaker.admits(now, trial=True)
        answer(breaker, now)
        now += TYPICAL_S
        trials += 1
    assert 1 <= trials <= 3
    assert breaker.admits(now, trial=False)


def test_one_good_trial_does_not_end_a_confirmed_failure_period() -> None:
    """One request in four succeeds by chance during a failure period."""
    breaker, _, now = ready()
    lose(breaker, now)
    lose(breaker, now)
    answer(breaker, now + BACKOFF_S + 0.1)
    assert breaker.tripped(now + BACKOFF_S + 0.2)


def test_one_trial_at_a_time_except_for_pressing_requests() -> None:
    """A retryable request that no other target accepts does not wait for the current trial."""
    breaker, _, now = ready()
    lose(breaker, now)
    now += 0.5
    assert breaker.begin(now, KIND).trial
    assert not breaker.admits(now, trial=True)
    assert breaker.admits(now, trial=True, pressing=True)
    assert not breaker.admits(now, trial=False, pressing=True)


def test_an_unanswered_trial_blocks_the_next_only_until_it_is_probably_lost() -> None:
    """The next trial then waits for the back-off, not for the time-out of the first."""
    breaker, _, now = ready()
    lose(breaker, now)
    now += 0.5
    breaker.begin(now, KIND)
    assert not breaker.admits(now + TYPICAL_S, trial=True)
    now += 8.0 * TYPICAL_S
    assert not breaker.admits(now, trial=True)
    assert breaker.wait_s(now) > BACKOFF_S
    assert breaker.admits(now + breaker.wait_s(now) + 0.001, trial=True)


def test_missing_responses_trip_it() -> None:
    """Two requests that are far beyond their typical latency are enough."""
    breaker, _, now = ready()
    breaker.begin(now, KIND)
    breaker.begin(now, KIND)
    assert breaker.admits(now + TYPICAL_S, trial=False)
    assert not breaker.admits(now + 6.0 * TYPICAL_S, trial=False)


def test_each_lost_trial_extends_the_back_off() -> None:
    """Up to its maximum."""
    breaker, _, now = ready()
    lose(breaker, now)
    waits = []
    for _ in range(8):
        now += 0.003
        wait_s = breaker.wait_s(now)
        waits.append(wait_s)
        now += wait_s + 0.001
        assert breaker.admits(now, trial=True)
        lose(breaker, now)
    assert waits == sorted(waits)
    assert waits[0] < waits[1]
    assert BACKOFF_MAX_S - 0.01 <= waits[-1] <= BACKOFF_MAX_S


def test_without_trials_it_recovers_with_time() -> None:
    """A service without retryable routes has no trials, but failure periods end."""
    breaker, _, now = ready()
    lose(breaker, now)
    lose(breaker, now)
    assert not breaker.admits(now + 0.5, trial=False)
    assert breaker.admits(now + 10.0, trial=False)


@given(
    steps=st.lists(
        st.tuples(st.floats(0.0, 1.0), st.booleans(), st.sampled_from(list(End))), max_size=80
    )
)
def test_a_tripped_breaker_admits_only_retryable_requests(
    steps: list[tuple[float, bool, End]],
) -> None:
    """In any sequence of waits, requests and outcomes."""
    estimator = FailureEstimator(0.0)
    breaker, now = CircuitBreaker(estimator), 0.0
    for wait_s, trial, end in steps:
        now += wait_s
        tripped = estimator.bad(now) >= TRIP_THRESHOLD
        assert breaker.tripped(now) is tripped
        if not breaker.admits(now, trial=trial):
            assert tripped
            continue
        assert trial or not tripped
        tried = estimator.bad(now) >= TRIAL_THRESHOLD
        tracked = breaker.begin(now, KIND)
        assert tracked.trial is tried
        breaker.end(now + 0.003, tracked, end)


def test_an_uncertain_target_accepts_a_trial_while_its_breaker_is_not_tripped() -> None:
    """No ingress would select it otherwise; one retryable request at a time shows its state."""
    breaker, estimator, now = ready()
    lose(breaker, now)
    while breaker.tripped(now):
        now += 0.05
    assert estimator.bad(now) > 0.04
    assert breaker.admits_as_trial(now, trial=True)
    breaker.begin(now, KIND)
    assert not breaker.admits_as_trial(now, trial=True)


def test_an_idle_target_accepts_one_request_of_any_kind() -> None:
    """Without retryable requests there are no other trials; a tripped breaker accepts none."""
    breaker, _, now = ready()
    assert not breaker.admits_as_trial(now + IDLE_S / 2.0, trial=False)
    assert breaker.admits_as_trial(now + IDLE_S, trial=False)
    lose(breaker, now)
    lose(breaker, now)
    assert breaker.tripped(now + 0.5)
    assert not breaker.admits_as_trial(now + 0.5, trial=False)


def test_error_responses_trip_it_as_losses_do() -> None:
    """Trials wait for the back-off, which each failed one extends."""
    breaker, _, now = ready()
    for _ in range(2):
        breaker.end(now + 0.001, breaker.begin(now, KIND), End.FAILED)
    assert breaker.tripped(now + 0.01)
    assert not breaker.admits(now + 0.01, trial=True)
    waits = []
    for _ in range(3):
        now += breaker.wait_s(now) + 0.01
        assert breaker.admits(now, trial=True)
        breaker.end(now + 0.001, breaker.begin(now, KIND), End.FAILED)
        waits.append(breaker.wait_s(now))
    assert waits == sorted(waits)
    assert waits[-1] > waits[0]

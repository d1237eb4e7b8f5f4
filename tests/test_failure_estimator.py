"""Failure estimate of a target, from responses, losses and missing responses."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.failure_estimator import (
    ACCEPTED_AFTER_S,
    PROBABILITY_MAX,
    PROBABILITY_MIN,
    TRACKED_MAX,
    End,
    FailureEstimator,
    TrackedRequest,
)

KIND = "r"
TYPICAL_S = 0.1


def learned(answers: int = 30) -> tuple[FailureEstimator, float]:
    """Return the estimator of a target that answered one request after another, and the time."""
    estimator, now = FailureEstimator(0.0), 0.0
    for _ in range(answers):
        tracked = estimator.begin(now, KIND)
        now += TYPICAL_S
        estimator.end(now, tracked, End.ANSWERED)
    return estimator, now


def test_responses_lower_the_estimate_and_time_without_any_raises_it() -> None:
    """A failure period may have begun since the latest response."""
    estimator, now = learned()
    just_now = estimator.bad(now)
    assert just_now < 0.05
    assert just_now < estimator.bad(now + 1.0) < estimator.bad(now + 10.0) < 0.5


def test_a_missing_response_counts_before_the_request_times_out() -> None:
    """The longer past the typical latency, the more it counts; two count more than one."""
    estimator, now = learned()
    estimator.begin(now, KIND)
    low = estimator.bad(now + ACCEPTED_AFTER_S)
    raised = estimator.bad(now + 2.0 * TYPICAL_S)
    high = estimator.bad(now + 5.0 * TYPICAL_S)
    assert low < raised < high
    estimator.begin(now, KIND)
    assert estimator.bad(now + 5.0 * TYPICAL_S) > max(high, 0.6)


def test_a_missing_response_of_an_unknown_kind_is_no_evidence() -> None:
    """Its typical latency is unknown: it may always take that long."""
    estimator, now = learned()
    tracked = estimator.begin(now, "never-answered")
    without, _ = learned()
    assert estimator.bad(now + 5.0) <= without.bad(now + 5.0)
    estimator.end(now + 5.0, tracked, End.NO_RESPONSE)
    assert estimator.bad(now + 5.0) <= without.bad(now + 5.0)


def test_one_immediate_loss_outweighs_all_responses_and_a_late_one_is_no_evidence() -> None:
    """Healthy targets lose almost nothing at once; a late loss may only affect the response."""
    estimator, now = learned()
    late = estimator.begin(now, KIND)
    estimator.end(now + 0.3, late, End.LOST)
    assert estimator.bad(now + 0.3) < 0.2
    tracked = estimator.begin(now + 0.3, KIND)
    estimator.end(now + 0.305, tracked, End.LOST)
    assert estimator.bad(now + 0.305) > 0.6


def test_a_request_that_is_not_reset_is_evidence_only_at_targets_that_reset() -> None:
    """It lowers their estimate long before its response; at targets that hang it proves nothing."""
    resetting, now = learned()
    unresponsive, _ = learned()
    for number in range(8):
        tracked = resetting.begin(now + 3.0 * number, KIND)
        resetting.end(now + 3.0 * number + 0.003, tracked, End.LOST)
        tracked = unresponsive.begin(now + 3.0 * number, KIND)
        unresponsive.end(now + 3.0 * number + 2.0, tracked, End.NO_RESPONSE)
    later = now + 60.0
    change = []
    for estimator in (resetting, unresponsive):
        before = estimator.bad(later)
        estimator.begin(later, KIND)
        change.append(estimator.bad(later + ACCEPTED_AFTER_S) / before)
    assert change[0] < 0.7
    assert change[1] > 0.8


def test_a_stall_of_this_process_does_not_count_as_waiting_for_the_target() -> None:
    """Responses could not be read during the stall."""
    estimator, now = learned()
    estimator.begin(now, KIND)
    unresponsive = estimator.bad(now + 1.0)
    estimator.discount_stall(now + 1.0)
    assert estimator.bad(now + 1.0) < unresponsive / 2.0


def test_a_few_successes_bring_down_the_highest_estimate() -> None:
    """A failure period ends when requests succeed again, not after a fixed time."""
    estimator, now = learned()
    for _ in range(10):
        tracked = estimator.begin(now, KIND)
        estimator.end(now + 0.003, tracked, End.LOST)
    assert estimator.bad(now) > 0.8
    for number in range(3):
        start = now + 0.2 * number
        estimator.end(start + TYPICAL_S, estimator.begin(start, KIND), End.ANSWERED)
    assert estimator.bad(now + 0.6) < 0.4


def test_a_target_with_frequent_failure_periods_is_trusted_for_less_time() -> None:
    """The rate at which failure periods begin is learned."""
    calm, now = learned(600)
    flapping, _ = learned(600)
    for number in range(12):
        start = now + 2.0 * number
        for _ in range(2):
            flapping.end(start + 0.003, flapping.begin(start, KIND), End.LOST)
        for step in range(8):
            begun = start + 0.5 + 0.15 * step
            flapping.end(begun + TYPICAL_S, flapping.begin(begun, KIND), End.ANSWERED)
    assert flapping.bad(now + 60.0) > 2.0 * calm.bad(now + 60.0)


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 2.0),
            st.sampled_from(["begin", "stall", *End]),
            st.sampled_from(["a", "b"]),
            st.integers(0, 5),
        ),
        max_size=120,
    )
)
def test_the_estimate_stays_a_probability_and_the_state_stays_bounded(
    steps: list[tuple[float, str | End, str, int]],
) -> None:
    """In any order of starts, ends and stalls."""
    estimator, now = FailureEstimator(0.0), 0.0
    running: list[TrackedRequest] = []
    for wait_s, what, kind, which in steps:
        now += wait_s
        match what:
            case "stall":
                estimator.discount_stall(now)
            case End() if running:
                estimator.end(now, running.pop(which % len(running)), what)
            case _:
                running.append(estimator.begin(now, kind))
        assert PROBABILITY_MIN / 2 <= estimator.bad(now) <= PROBABILITY_MAX
        assert len(estimator.running) <= TRACKED_MAX


def test_a_probably_lost_request_counts_as_a_loss_before_it_times_out() -> None:
    """The next missing response weighs more; a late response takes the count back."""
    estimator, now = learned()
    for _ in range(4):
        estimator.end(now + 0.003, estimator.begin(now, KIND), End.LOST)
    tracked = estimator.begin(now, KIND)
    early = estimator.likelihood_ratio(now + 0.8, tracked)
    estimator.count_unanswered(now + 0.8)
    assert estimator.likelihood_ratio(now + 0.8, tracked) > 1.2 * early
    estimator.end(now + 0.9, tracked, End.ANSWERED)
    later = now + 30.0
    again = estimator.begin(later, KIND)
    assert abs(estimator.likelihood_ratio(later + 0.8, again) - early) < 0.2 * early


def test_the_latency_known_to_the_ingress_is_used_until_one_is_known_here() -> None:
    """A target that starts in a failure period gives no responses to learn a latency from."""
    with_hint, without_hint = FailureEstimator(0.0), FailureEstimator(0.0)
    for number in range(2):
        with_hint.begin(0.1 * number, KIND, expected_ms=100.0)
        without_hint.begin(0.1 * number, KIND)
    assert with_hint.bad(1.0) > 0.7
    assert without_hint.bad(1.0) < 0.4


def test_a_request_that_is_not_reset_proves_nothing_before_the_first_reset() -> None:
    """At a target that hangs, requests that are not reset would wrongly lower the estimate."""
    estimator = FailureEstimator(0.0)
    before = estimator.bad(0.0)
    for number in range(5):
        estimator.begin(0.01 * number, KIND)
    assert estimator.bad(0.1) > 0.6 * before


def test_failures_of_a_failure_period_do_not_raise_the_baseline() -> None:
    """A target that fails at once is suspect from its first failure, in the next period too.

    When the baseline failure rate was learned with a fixed weight, the fifth failure of a period
    no longer proved anything, and the target got as many requests as a healthy one.
    """
    estimator, now = learned()
    firsts = []
    for number in range(10):
        tracked = estimator.begin(now, KIND)
        now += 0.005
        estimator.end(now, tracked, End.FAILED)
        assert estimator.bad(now) > 0.35
        firsts += [estimator.bad(now)] * (number == 0)
    assert estimator.bad(now) > 0.85
    for _ in range(4):
        tracked = estimator.begin(now, KIND)
        now += TYPICAL_S
        estimator.end(now, tracked, End.ANSWERED)
    assert estimator.bad(now) < 0.2
    first = estimator.begin(now, KIND)
    estimator.end(now + 0.005, first, End.FAILED)
    assert estimator.bad(now + 0.005) > 0.9 * firsts[0]


def test_a_failure_proves_little_where_healthy_targets_often_fail() -> None:
    """One in four requests of a kind fails: the baseline is learned and the target trusted."""
    estimator, now = learned()
    suspected = 0
    for number in range(160):
        tracked = estimator.begin(now, "often")
        now += TYPICAL_S
        estimator.end(now, tracked, End.FAILED if number % 4 == 0 else End.ANSWERED)
        suspected += number >= 80 and estimator.bad(now) > 0.6
    assert suspected == 0


def test_a_failure_caused_by_a_dependency_is_no_evidence() -> None:
    """A call that the target made to serve the request has failed."""
    estimator, now = learned()
    without, _ = learned()
    estimator.end(now + 0.005, estimator.begin(now, KIND), End.DEPENDENCY_FAILED)
    assert abs(estimator.bad(now + 1.0) - without.bad(now + 1.0)) < 0.01

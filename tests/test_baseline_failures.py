"""Baseline failure rates, learned by route and customer while the target was healthy."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.baseline_failures import (
    BASELINE_SHARE,
    CATEGORIES_MAX,
    JUDGE_AFTER_ANSWERS,
    BaselineFailures,
)

ROUTE = ("route r",)
HEALTHY, FAILING = 0.03, 0.9


def test_failures_of_a_failing_target_do_not_raise_the_baseline() -> None:
    """Twenty would be most of a healthy target's responses; they count as the failing one's."""
    shares = BaselineFailures()
    counted = sum(shares.failed(ROUTE, FAILING) for _ in range(20))
    assert shares.of(ROUTE) < 0.25
    assert counted > 15.0


def test_failures_followed_by_successes_raise_the_baseline() -> None:
    """One in five responses of a route fails, and the target looks healthy a moment later."""
    shares = BaselineFailures()
    for number in range(60):
        if number % 5:
            shares.succeeded(ROUTE, HEALTHY)
        else:
            shares.failed(ROUTE, 0.8)
    assert 0.12 < shares.of(ROUTE) < 0.25
    assert shares.of(("route other",)) == BASELINE_SHARE


def test_a_customer_that_always_fails_is_learned_after_a_few_failures() -> None:
    """Other customers' requests of the same route keep a low baseline."""
    shares = BaselineFailures()
    poison = ("route r", "customer poison")
    for _ in range(5):
        shares.failed(poison, 0.8)
        for _ in range(8):
            shares.succeeded(("route r", "customer good"), HEALTHY)
    assert shares.of(poison) > 0.25
    assert shares.of(("route r", "customer good")) < 0.15


def test_a_failure_is_learned_only_after_later_responses() -> None:
    """So it is judged by the later failure estimate."""
    shares = BaselineFailures()
    shares.failed(ROUTE, FAILING)
    before = shares.of(ROUTE)
    for _ in range(JUDGE_AFTER_ANSWERS):
        assert shares.of(ROUTE) <= before
        shares.succeeded(ROUTE, HEALTHY)
    shares.succeeded(ROUTE, HEALTHY)
    assert shares.of(ROUTE) > before


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 2 * CATEGORIES_MAX), st.floats(0.01, 0.93)),
        max_size=300,
    )
)
def test_the_rate_stays_between_0_and_1_and_the_state_bounded(
    steps: list[tuple[bool, int, float]],
) -> None:
    """In any order, with any number of categories."""
    shares = BaselineFailures()
    for failed, number, bad in steps:
        categories = (f"route {number}",)
        (shares.failed if failed else shares.succeeded)(categories, bad)
        assert 0.0 < shares.of(categories) < 1.0
    assert len(shares._counts) <= CATEGORIES_MAX

"""What taking a target costs, and when a refusal is better."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.offer import REFUSED_LOSS, Costs, Offer

COSTS = Costs(failure=1.0, most_wait_ms=400.0, way=0.5)
BADS = st.floats(0.0, 0.9)
WAITS = st.floats(0.0, 500.0)


@given(BADS, WAITS, BADS, WAITS)
def test_what_is_worse_in_all_costs_no_less(
    bad: float, wait_ms: float, more_bad: float, more_ms: float
) -> None:
    """More doubtful, later, further away: none of it makes a target cheaper."""
    offer = Offer(bad, wait_ms, far=False)
    worse = Offer(max(bad, more_bad), max(wait_ms, more_ms), far=True)
    assert COSTS.of(worse) >= COSTS.of(offer)


@given(BADS, WAITS, st.booleans())
def test_nothing_is_taken_that_costs_as_much_as_a_refusal(
    bad: float, wait_ms: float, far: bool
) -> None:
    """Nor anything that would be late."""
    offer = Offer(bad, wait_ms, far=far)
    if COSTS.bears(offer):
        assert COSTS.of(offer) < REFUSED_LOSS
        assert wait_ms <= COSTS.most_wait_ms


def test_a_wait_in_another_data_hall_costs_the_way_twice() -> None:
    """It takes the turn of a caller there."""
    near = COSTS.of(Offer(0.0, 100.0, far=False))
    assert COSTS.of(Offer(0.0, 100.0, far=True)) == near + 2.0 * COSTS.way
    assert COSTS.of(Offer(0.0, 0.0, far=True)) == COSTS.way

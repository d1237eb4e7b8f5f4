"""The cost of accepting an offer, and when a refusal costs less."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.offer import REFUSED_LOSS, Costs, Offer

COSTS = Costs(failure=1.0, most_wait_ms=400.0, far_cost=0.5)
BADS = st.floats(0.0, 0.9)
WAITS = st.floats(0.0, 500.0)


@given(BADS, WAITS, BADS, WAITS)
def test_an_offer_that_is_worse_in_every_respect_costs_no_less(
    bad: float, wait_ms: float, more_bad: float, more_ms: float
) -> None:
    """Neither a higher risk, nor a longer wait, nor the distance makes a target cheaper."""
    offer = Offer(bad, wait_ms, far=False)
    worse = Offer(max(bad, more_bad), max(wait_ms, more_ms), far=True)
    assert COSTS.of(worse) >= COSTS.of(offer)


@given(BADS, WAITS, st.booleans())
def test_no_offer_is_accepted_that_costs_as_much_as_a_refusal(
    bad: float, wait_ms: float, far: bool
) -> None:
    """Nor one whose wait is too long."""
    offer = Offer(bad, wait_ms, far=far)
    if COSTS.accepts(offer):
        assert COSTS.of(offer) < REFUSED_LOSS
        assert wait_ms <= COSTS.most_wait_ms


def test_a_wait_in_another_data_hall_doubles_the_transfer_cost() -> None:
    """It displaces a request of a caller there."""
    near = COSTS.of(Offer(0.0, 100.0, far=False))
    assert COSTS.of(Offer(0.0, 100.0, far=True)) == near + 2.0 * COSTS.far_cost
    assert COSTS.of(Offer(0.0, 0.0, far=True)) == COSTS.far_cost

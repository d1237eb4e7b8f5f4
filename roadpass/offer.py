"""Offers of targets that fall short of a request's limits, and the cost of accepting one.

Costs are shares of a lost request. They add up the risk of a failure, the risk of a late answer,
and the bytes carried to another data hall.
"""

from typing import NamedTuple

LATE_LOSS = 0.9
"""Cost of an answer after the latency objective, as a share of a lost request."""
REFUSED_LOSS = 1.0
"""Cost of a refusal; an offer that costs more is not accepted."""
FAR_LOSS_PER_KB = 0.1
"""Default cost of a kilobyte carried to another data hall, as a share of a lost request: where such
traffic is expensive, ten kilobytes cost as much as a request is worth."""
FAR_OVERHEAD_KB = 0.8
"""Kilobytes of frames, headers and acknowledgements beyond the bodies of request and answer."""
FAR_WAIT_FACTOR = 2.0
"""Multiple of the transfer cost for a request that would wait for a slot in another data hall: it
displaces a request of a caller there, which carries no bytes between data halls."""


class Offer(NamedTuple):
    """The reply of a target that has no free slot or start, or is likely to fail.

    Args:
        failure_risk: Probability that the target is failing.
        wait_ms: Milliseconds until it has a free slot.
        far: Whether it is in another data hall.
        limited: Whether the wait is for a start, by the limit that the target names.
    """

    failure_risk: float
    wait_ms: float
    far: bool
    limited: bool = False


class Costs(NamedTuple):
    """Decides which offer a request accepts, if any.

    Args:
        failure: Cost of a failure of the next attempt.
        most_wait_ms: Longest acceptable wait for a slot in milliseconds.
        far_cost: Cost of the transfer to another data hall.
    """

    failure: float
    most_wait_ms: float
    far_cost: float

    def of(self, offer: Offer) -> float:
        """Return the expected cost of an offer."""
        late = min(1.0, offer.wait_ms / self.most_wait_ms) * LATE_LOSS
        return offer.failure_risk * self.failure + late + self._transfer(offer)

    def accepts(self, offer: Offer) -> bool:
        """Return whether an offer costs less than a refusal and its wait is not too long."""
        return offer.wait_ms <= self.most_wait_ms and self.of(offer) < REFUSED_LOSS

    def _transfer(self, offer: Offer) -> float:
        if not offer.far:
            return 0.0
        return self.far_cost * (FAR_WAIT_FACTOR if offer.wait_ms > 0.0 else 1.0)

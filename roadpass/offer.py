"""What targets say that were asked and are not as wanted, and what taking one would cost.

Costs are shares of a lost request: what may be lost there, what comes late, and the bytes on the
way to another data hall.
"""

from typing import NamedTuple

LATE_LOSS = 0.9
"""What an answer after the objective costs, as a share of a lost request."""
REFUSED_LOSS = 1.0
"""What a refusal costs: a target that costs more is not taken."""
FAR_LOSS_PER_KB = 0.1
"""What a kilobyte carried to another data hall costs, as a share of a lost request, where nobody
sets it: the way of ten kilobytes costs as much as a request earns, where such bytes are dear."""
FAR_OVERHEAD_KB = 0.8
"""Kilobytes of frames, headers and acknowledgements that come with a request and its answer."""
FAR_WAIT_FACTOR = 2.0
"""How many times the way costs a request that would wait for a slot in another data hall: it takes
the turn of a caller there, who carries no bytes between data halls."""


class Offer(NamedTuple):
    """What a target said that was asked and is not as wanted.

    Args:
        bad: How probable it is that it is in a bad spell.
        wait_ms: Milliseconds until it has a free slot.
        far: Whether it is in another data hall.
    """

    bad: float
    wait_ms: float
    far: bool


class Costs(NamedTuple):
    """What decides which offer a request takes, if any.

    Args:
        failure: What it costs if the next attempt fails.
        most_wait_ms: Milliseconds that it would wait for a slot at the most.
        way: What its way to another data hall costs.
    """

    failure: float
    most_wait_ms: float
    way: float

    def of(self, offer: Offer) -> float:
        """Return what an offer costs in expectation."""
        late = min(1.0, offer.wait_ms / self.most_wait_ms) * LATE_LOSS
        return offer.bad * self.failure + late + self._way(offer)

    def bears(self, offer: Offer) -> bool:
        """Tell whether an offer is better than a refusal."""
        return offer.wait_ms <= self.most_wait_ms and self.of(offer) < REFUSED_LOSS

    def _way(self, offer: Offer) -> float:
        if not offer.far:
            return 0.0
        return self.way * (FAR_WAIT_FACTOR if offer.wait_ms > 0.0 else 1.0)

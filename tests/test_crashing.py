"""A request that ends each target that works on it, and the innocent ones beside it.

What was seen: targets of one service ended one after the other, 20 in 16 s, three times a day.
Under one request, whose id was new at each coming, 20 ended, up to 13 of them later than 3 s after
the third; half of what others wanted from that service was not served meanwhile.
How it came about: its target ended, its caller was told that nobody knows what became of it, and
came again at another VM; what may repeat was repeated within one coming besides.
Cause: nothing that a node knows outlived one coming. Each ingress and each sidecar saw it new.
Proof: here one path and body is in flight at every end of a target, each of its ids once or twice,
and it reaches targets for as long as it comes.
"""

from tests.crowd import Crowd
from tests.loads import crashing

SEEDS = (1, 2, 3)
CONTACT_S = 3.0
"""Seconds after the third target has ended from which on few may be reached any more."""
MOST_AFTER = 3
"""Targets that such a request may reach from then on."""
PATH = ("/launch/crashing", b"")


def reached_after(crowd: Crowd, work: tuple[str, bytes] = PATH) -> int:
    """Return how often a request was sent to targets after it was known well enough."""
    ends = sorted(crowd.crashed[work])
    if len(ends) < 3:
        return 0
    return sum(at > ends[2] + CONTACT_S for at in crowd.reached[work])


def test_a_request_that_ends_its_targets_reaches_few_of_them() -> None:
    """Whichever VM it comes to: three end, and those that it reaches before all know of it."""
    for seed in SEEDS:
        crowd = Crowd.run(crashing(seed), seed)
        assert len(crowd.crashed[PATH]) >= 3, "the load shows nothing"
        assert reached_after(crowd) <= MOST_AFTER

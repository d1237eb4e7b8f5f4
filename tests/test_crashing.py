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

import functools

from tests.crowd import FIRST_S, Crowd
from tests.load import Kind
from tests.loads import CRASHING, crashing

SEEDS = (1, 2, 3)
CONTACT_S = 3.0
"""Seconds after the third target has ended from which on few may be reached any more."""
MOST_AFTER = 3
"""Targets that such a request may reach from then on."""
PATH = ("/launch/crashing", b"")


@functools.cache
def played(seed: int, **others: Kind) -> Crowd:
    """Play the load with a seed, and with other kinds beside the one that ends targets."""
    return Crowd.run(crashing(seed, **others), seed)


def reached_after(crowd: Crowd, work: tuple[str, bytes] = PATH) -> int:
    """Return how often a request was sent to targets after it was known well enough."""
    ends = sorted(crowd.crashed[work])
    if len(ends) < 3:
        return 0
    return sum(at > ends[2] + CONTACT_S for at in crowd.reached[work])


def test_a_request_that_ends_its_targets_reaches_few_of_them() -> None:
    """Whichever VM it comes to: three end, and those that it reaches before all know of it."""
    for seed in SEEDS:
        crowd = played(seed)
        assert len(crowd.crashed[PATH]) >= 3, "the load shows nothing"
        assert reached_after(crowd) <= MOST_AFTER


def served(crowd: Crowd, kind: str) -> float:
    """Return the share of a kind that was served."""
    return crowd.share("served", [kind])


def test_others_stay_served_beside_it() -> None:
    """What has its own path: 1.0 of three seeds, 0.46 to 0.54 before."""
    for seed in SEEDS:
        crowd = played(seed)
        for kind in ("launch", "submit"):
            assert served(crowd, kind) >= 0.97, (seed, kind)


POPULAR = Kind("lab", 88.0, 300, 800, True, 25.0, path="popular", route="launch")
"""So frequent that it is in flight at most ends."""
OTHER_BODY = Kind("lab", 88.0, 300, 800, True, 2.5, path="crashing", route="launch", body=b"other")


def test_a_popular_request_and_another_body_at_the_path_stay_served() -> None:
    """Neither is taken for the one that ends targets."""
    for seed in SEEDS:
        crowd = played(seed, popular=POPULAR, other=OTHER_BODY)
        assert len(crowd.crashed[PATH]) >= 3, "the load shows nothing"
        assert reached_after(crowd) <= MOST_AFTER
        for kind in ("popular", "other"):
            assert served(crowd, kind) >= 0.97, (seed, kind)


RARE = Kind("lab", 60.0, 300, 800, True, 2.5, path="rare", route="launch")
"""As rare as the one that ends targets, and as long: it is answered only where it is not beside."""


def test_a_rare_request_that_comes_at_the_same_times_stays_served() -> None:
    """Beside an end it falls with its target, and is kept from falling so again."""
    for seed in SEEDS:
        crowd = played(seed, rare=RARE)
        assert served(crowd, "rare") >= 0.95, seed


COMPANION = Kind(
    "lab", 60.0, 300, 800, True, path="companion", route="launch", triggered_by="crashing"
)
"""Sent with each coming of the one that ends targets, at the same moment to the same node."""


def test_a_request_that_always_comes_with_it_stays_served() -> None:
    """Where both fall with one target, each is tried apart from then on."""
    for seed in SEEDS:
        crowd = played(seed, companion=COMPANION)
        assert reached_after(crowd) <= MOST_AFTER
        assert served(crowd, "companion") >= 0.9, seed


AFTERWARDS_S = (4.0, 10.0)
"""When both are known and the first targets are back; before, up to all eight are away."""


def test_two_that_end_their_targets_are_both_found() -> None:
    """Kept apart, each ends its own."""
    second = CRASHING._replace(path="second")
    for seed in SEEDS:
        crowd = played(seed, second=second)
        for path in (PATH, ("/launch/second", b"")):
            assert reached_after(crowd, path) <= MOST_AFTER
        assert crowd.share("served", ["submit"], between=AFTERWARDS_S) >= 0.97, seed


def test_data_halls_that_were_apart_know_of_it_once_they_are_joined() -> None:
    """Each counts for itself meanwhile; what one holds then, or what several saw, all hold."""
    apart_s = (0.5, 5.0)
    for seed in SEEDS:
        crowd = Crowd.run(crashing(seed)._replace(partition=apart_s), seed)
        joined = [at - FIRST_S for at in crowd.reached[PATH] if at - FIRST_S > apart_s[1]]
        assert sum(at > apart_s[1] + CONTACT_S for at in joined) <= MOST_AFTER
        assert crowd.share("served", ["submit"], between=(apart_s[1] + CONTACT_S, 10.0)) >= 0.97


def test_nodes_that_start_anew_learn_of_it_from_others() -> None:
    """Every node forgets all once, one after the other, while the request goes on coming."""
    for seed in SEEDS:
        crowd = Crowd.run(crashing(seed)._replace(crash_records_lost=(3.5, 9.0)), seed)
        assert len(crowd.crashed[PATH]) >= 3, "the load shows nothing"
        assert reached_after(crowd) <= MOST_AFTER

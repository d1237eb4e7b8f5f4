"""Simulated loads before targets that name limits: what they get, and what becomes of the rest."""

import pytest

from tests.crowd import Crowd
from tests.loads import LIMITED_S, SLACK, limited_by_all, limited_by_some
from tests.test_crowd import RATIO, SEEDS, mean, play
from tests.test_crowd import WINDOW_S as REPEATS_WINDOW_S

CONTACT_S = 3.0
"""Seconds from the first response with a limit until the limit binds the fleet."""
WINDOW_S, TOLERANCE, EXCESS_REQUESTS = 4.0, 1.5, 5
"""Requests that a target may receive in a window: this multiple of its limit, and some more."""
BOUND_S = (LIMITED_S[0] + CONTACT_S, LIMITED_S[1])
"""Begin and end of the time in which the limits bind, in seconds."""


def tolerated(rate_per_s: float) -> float:
    """Return how many requests a target with a limit may receive in any window."""
    return TOLERANCE * WINDOW_S * rate_per_s + EXCESS_REQUESTS


# Guards against limits that several ingresses exceed together.
def test_targets_get_no_more_than_their_limits_and_others_get_the_rest() -> None:
    """Hardly a request is lost: the ingresses avoid a limited target until its next start."""
    crowds = play(limited_by_some)
    for crowd in crowds:
        for limit in crowd.load.limits:
            (target,) = limit.targets
            assert crowd.most_starts(target, *BOUND_S, WINDOW_S) <= tolerated(limit.rate_per_s)
    assert mean(crowds, "served", "search", between=LIMITED_S) >= 0.98
    assert mean(crowds, "served", "hold", between=LIMITED_S) >= 0.98


# Guards against limits that each part of a fleet spends for itself.
def test_a_partition_does_not_multiply_a_limit() -> None:
    """All requests to a target pass the one node beside it, on whichever side that is."""
    for crowd in play(lambda seed: limited_by_some(seed)._replace(partition=(8.0, 14.0))):
        for limit in crowd.load.limits:
            (target,) = limit.targets
            assert crowd.most_starts(target, *BOUND_S, WINDOW_S) <= tolerated(limit.rate_per_s)


# Guards against a service whose limits are spent on retries, or not used at all.
def test_a_service_with_limits_everywhere_is_used_up_to_them() -> None:
    """What is beyond the limits is refused at once as not run, and spends no repeat."""
    crowds = play(limited_by_all)
    begin, end = BOUND_S
    for crowd in crowds:
        names = [name for name in crowd.starts if name.startswith("opac")]
        for name in names:
            assert crowd.most_starts(name, begin, end, WINDOW_S) <= tolerated(1.0)
        total = sum(begin <= at - 100.0 < end for name in names for at in crowd.starts[name])
        assert total >= 0.8 * len(names) * (end - begin)
        assert crowd.repeats_over("opac", RATIO, SLACK, REPEATS_WINDOW_S) <= 0.0
        asked = [one for one in crowd.results if begin <= one.at < end and one.result == "refused"]
        late = sum(one.took_ms > 300.0 for one in asked)
        assert late <= 0.05 * len(asked)
    assert mean(crowds, "failed", "hold", between=BOUND_S) <= 0.02
    assert mean(crowds, "served", "issue", between=BOUND_S) >= 0.98


@pytest.mark.parametrize("seed", SEEDS)
def test_a_service_recovers_when_its_limits_end(seed: int) -> None:
    """The first response without a limit ends it."""
    load = limited_by_all(seed)._replace(seconds=26.0)
    crowd = Crowd.run(load, seed)
    assert crowd.share("served", ["search", "hold"], between=(LIMITED_S[1] + 3.0, 26.0)) >= 0.97

"""Simulated loads on faulty targets: shares of served requests, and the budget of repeats."""

from collections.abc import Callable

import pytest

from tests.crowd import Crowd
from tests.load import Load
from tests.loads import (
    SLACK,
    callee_sheds,
    failing_kind,
    fast_failures,
    repeated_outages,
    shed_by_all,
    shed_by_some,
)

SEEDS = (1, 2, 3)
WINDOW_S = 10.0
RATIO = 0.2
"""Repeats allowed per request of a service, in addition to the slack."""


def play(load: Callable[[int], Load]) -> list[Crowd]:
    """Simulate a load with each seed."""
    return [Crowd.run(load(seed), seed) for seed in SEEDS]


def mean(crowds: list[Crowd], result: str, kind: str, **options: tuple[float, float]) -> float:
    """Return the share of a kind's requests that had a result, as the mean of all runs."""
    return sum(crowd.share(result, [kind], **options) for crowd in crowds) / len(crowds)


def test_same_seed_gives_same_results() -> None:
    """A simulation is deterministic: all requests have the same times with the same seed."""
    one, again = (Crowd.run(repeated_outages(7)._replace(seconds=4.0), 7) for _ in range(2))
    assert [result._replace(outcome=None) for result in one.results] == [  # type: ignore[arg-type]
        result._replace(outcome=None)  # type: ignore[arg-type]
        for result in again.results
    ]
    assert one.arrivals == again.arrivals


def test_all_requests_are_served_without_faults() -> None:
    """The targets are at about half their capacity."""
    crowd = Crowd.run(repeated_outages(1)._replace(faults=()), 1)
    assert crowd.share("served") == 1.0


def test_lost_requests_are_repeated_while_the_service_has_budget() -> None:
    """The budget of repeats is shared by all ingresses, so none runs out of repeats early.

    With a fixed share of the budget for each ingress, 16 of 1,000 of these requests failed; with a
    common budget 7 of 1,000 do.
    """
    crowds = play(repeated_outages)
    assert mean(crowds, "failed", "shelf") <= 0.01
    assert mean(crowds, "served", "search") >= 0.99


@pytest.mark.parametrize("load", [repeated_outages, shed_by_all, shed_by_some, callee_sheds])
def test_repeats_stay_within_the_budget(load: Callable[[int], Load]) -> None:
    """The budget holds in every ten seconds, with the calls that repeated requests make."""
    for crowd in play(load):
        for service in crowd.load.targets:
            assert crowd.repeats_over(service, RATIO, SLACK, WINDOW_S) <= 0.0


SHEDDING_S = (4.0, 12.0)
"""Begin and end of the shedding in `shed_by_all` and `shed_by_some`, in seconds."""


def test_requests_shed_by_all_targets_are_retried_or_refused_at_once() -> None:
    """As many requests are served as the repeats allow, and the others are refused without delay.

    Five seeds: 0.52 served and 0.02 refused after more than 0.1 s, with 0.57 of the allowed repeats
    used. If a request is held back after each shedding, 0.05 are refused that late with the three
    seeds used here.
    """
    crowds = play(shed_by_all)
    asked = [one for crowd in crowds for one in crowd.results if one.kind in ("search", "hold")]
    shed = [one for one in asked if SHEDDING_S[0] <= one.at < SHEDDING_S[1]]
    served = sum(one.result == "served" for one in shed) / len(shed)
    refused_late = sum(one.result == "refused" and one.took_ms > 100.0 for one in shed) / len(shed)
    assert served >= 0.49
    assert refused_late <= 0.04


def test_requests_shed_by_some_targets_are_served_by_others() -> None:
    """Ingresses recognize full targets after a few shed requests, and rarely try them again.

    Five seeds: 0.98 of the searches served, 0.99 with the holds; 0.90 if ingresses remember
    nothing.
    """
    crowds = play(shed_by_some)
    for kind in ("search", "hold"):
        assert mean(crowds, "served", kind, between=SHEDDING_S) >= 0.96


def test_fast_failing_targets_get_few_requests() -> None:
    """Three of ten targets have outages; perfect knowledge would lose 1.2% of what cannot repeat.

    The bound is 0.03, half of the earlier losses of 0.058 of the holds and 0.049 of the issues; for
    requests that may repeat it is 0.015.
    """
    crowds = play(fast_failures)
    assert mean(crowds, "failed", "hold") <= 0.03
    assert mean(crowds, "failed", "issue") <= 0.03
    assert mean(crowds, "failed", "search") <= 0.015
    assert mean(crowds, "failed", "shelf") <= 0.015


def test_frequent_failures_of_all_targets_cause_no_refusals() -> None:
    """Healthy targets fail a tenth of all requests; no request is refused because of that."""
    crowds = play(lambda seed: fast_failures(seed, baseline=0.1, share=0.0))
    assert mean(crowds, "refused", "hold") <= 0.01
    assert mean(crowds, "served", "hold") >= 0.87
    assert mean(crowds, "served", "search") >= 0.97


def test_a_failing_route_does_not_affect_others() -> None:
    """Its failures are not attributed to the targets."""
    for crowd in play(failing_kind):
        others = [kind for kind in crowd.load.kinds if kind not in ("poison", "heading")]
        assert crowd.share("served", others) >= 0.99

"""Simulated loads whose requests wait at their ingress for a slot."""

import pytest

from tests.crowd import Crowd
from tests.decisions import collected
from tests.loads import burst, overload, two_classes

REPORT_AGE_S = 0.75
"""Seconds of age that a report from another data hall reaches while its target has work."""


def in_time(crowd: Crowd, kind: str) -> float:
    """Return the share of a kind's requests that were served within their objective."""
    objective_ms = crowd.load.kinds[kind].objective_ms
    asked = [one for one in crowd.results if one.kind == kind]
    return sum(one.result == "served" and one.took_ms <= objective_ms for one in asked) / len(asked)


def refused_beside_free_slots(crowd: Crowd) -> list[float]:
    """Return for how long slots were free when requests were refused, beyond a report's age."""
    refused = [one.free_s for one in crowd.results if one.result == "refused"]
    return [free_s for free_s in refused if free_s > REPORT_AGE_S]


@pytest.mark.parametrize("seed", [1, 2])
def test_burst_is_served_in_time(seed: int) -> None:
    """Work for 1.6 times the slots may wait; probing alone refuses a tenth of it within 30 ms."""
    crowd = Crowd.run(burst(seed), seed)
    assert in_time(crowd, "rush") >= 0.98
    assert in_time(crowd, "usual") >= 0.98
    assert refused_beside_free_slots(crowd) == []


def test_refusals_of_an_overload_come_at_once() -> None:
    """What cannot start in time must be told so at once, and not after it has waited."""
    crowd = Crowd.run(overload(1), 1)
    refused = [one for one in crowd.results if one.result == "refused"]
    at_once = [one for one in refused if one.took_ms < 50.0]
    assert len(at_once) >= 0.95 * len(refused)


def test_overload_is_served_in_time_as_far_as_there_are_slots() -> None:
    """Waiting must neither leave slots idle nor end in late answers."""
    crowd = Crowd.run(overload(1), 1)
    assert in_time(crowd, "rush") >= 0.5
    served = [one for one in crowd.results if one.result == "served"]
    assert sum(one.took_ms > 2200 for one in served) <= 0.06 * len(served)
    assert refused_beside_free_slots(crowd) == []


def test_urgent_class_is_served_while_others_are_refused() -> None:
    """Waiting in order of arrival would refuse as much of the urgent class as of the other."""
    crowd = Crowd.run(two_classes(1), 1)
    assert in_time(crowd, "urgent") >= 0.9
    assert in_time(crowd, "urgent") >= in_time(crowd, "usual") + 0.3


@pytest.mark.parametrize("lost", [0.3, 1.0])
def test_lost_datagrams_delay_slots_only(lost: float) -> None:
    """Holds whose grants are lost end, and sidecars that hear of no waiters are probed."""
    crowd = Crowd.run(burst(1)._replace(datagrams_lost=lost), 1)
    assert in_time(crowd, "rush") >= 0.95
    assert in_time(crowd, "usual") >= 0.95


def test_each_side_of_a_cut_serves_its_own_waiters() -> None:
    """Waiters must neither hang on slots behind the cut, nor be counted there."""
    crowd = Crowd.run(burst(1)._replace(partition=(1.0, 6.0)), 1)
    assert in_time(crowd, "rush") >= 0.95
    assert refused_beside_free_slots(crowd) == []


def test_sidecar_that_is_gone_while_it_holds_slots() -> None:
    """Its grants lead nowhere: the waiters that got them go on waiting for other slots."""
    load = burst(1)._replace(cut_off=frozenset({"10.0.0.0", "10.0.0.1"}), cut_off_s=(1.0, 4.0))
    crowd = Crowd.run(load, 1)
    assert in_time(crowd, "rush") >= 0.95
    assert crowd.share("failed") == 0.0


def test_caller_that_leaves_while_it_waits() -> None:
    """Its request is dropped at once and never started, and its slot goes to another."""
    load = burst(1)
    rush = load.kinds["rush"]._replace(leaves_s=0.3)
    with collected() as lines:
        crowd = Crowd.run(load._replace(kinds={**load.kinds, "rush": rush}), 1)
    left = [one for one in crowd.results if one.kind == "rush" and one.result == "refused"]
    assert len(left) >= 50
    assert max(one.took_ms for one in left) <= 350.0
    assert in_time(crowd, "usual") >= 0.98
    waits = [line for line in lines if (line.part, line.what) == ("queue", "waits")]
    assert waits

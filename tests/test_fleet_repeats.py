"""The limit on the repeats of a service over the accounts of a fleet, with faults of all kinds."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.crowd_repeats import largest_excess
from tests.repeat_fleet import RATIO, SLACK, WINDOW_S, Faults, Network

HALVES = Faults(partition=(20.0, 45.0), changes_per_s=0.2)
RESTARTS = Faults(restarts_per_s=0.2)
CHANGES = Faults(changes_per_s=0.1)
MESSAGES = Faults(lost=0.3, doubled=0.3, late=0.3)
EVERYTHING = Faults(0.2, 0.3, 0.2, (20.0, 45.0), 0.05, 0.1)


def excess(network: Network) -> float:
    """Return the largest excess of a network's repeats over the budget in any window."""
    return largest_excess(
        network.repeats, network.firsts, ratio=RATIO, slack=SLACK, window_s=WINDOW_S
    )


@pytest.mark.parametrize("faults", [Faults(), HALVES, RESTARTS, CHANGES, MESSAGES, EVERYTHING])
@settings(max_examples=15, deadline=None)
@given(seed=st.integers(0, 1 << 30), quiet_s=st.sampled_from((0.0, 9.0, 14.0)))
def test_the_fleet_never_has_more_repeats_than_its_budget(
    faults: Faults, seed: int, quiet_s: float
) -> None:
    """In no window, whatever is lost, doubled, late, cut off, restarted, added or withdrawn."""
    network = Network(seed, faults)
    network.run(60.0, quiet_s=quiet_s)
    assert network.repeats
    assert excess(network) <= 1e-6

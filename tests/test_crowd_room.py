"""Simulated loads whose ingresses know the free capacity of targets."""

from tests.crowd import Crowd
from tests.decisions import collected, first_attempts
from tests.load import Load
from tests.loads import calm, shed_by_all_known


def first_probes(load: Load, seed: int = 1) -> tuple[Crowd, float]:
    """Simulate a load; also return the share of first probes that were accepted."""
    with collected() as lines:
        crowd = Crowd.run(load, seed)
    outcomes = [inputs["outcome"] for inputs in first_attempts(lines).values()]
    return crowd, sum(not one.startswith("not-run") for one in outcomes) / len(outcomes)


def test_first_probes_are_accepted_in_calm() -> None:
    """Half of the slots are busy; without reports a fifth of the first probes is refused."""
    crowd, accepted = first_probes(calm(1))
    assert accepted >= 0.95
    assert crowd.share("served") == 1.0


def test_lost_datagrams_fall_back_to_probing() -> None:
    """All datagrams are lost: every target of another VM is unknown, and requests probe as ever."""
    crowd, _ = first_probes(calm(1)._replace(datagrams_lost=1.0, seconds=3.0))
    assert crowd.datagrams == 0
    assert crowd.share("served") == 1.0


def test_data_hall_that_is_cut_off_has_no_free_capacity() -> None:
    """Requests must not go on trying targets behind the cut; near ones serve them."""
    crowd, _ = first_probes(calm(1)._replace(partition=(1.0, 4.0), seconds=4.0))
    assert crowd.share("served") >= 0.99


def test_requests_go_at_once_to_targets_that_all_shed() -> None:
    """While all targets shed half, a request that first asks eight of them loses its time."""
    with collected() as lines:
        Crowd.run(shed_by_all_known(1), 1)
    attempts = [line.inputs for line in lines if line.what == "attempt"]
    doubtful = [one for one in attempts if one["outcome"] == "not-run target-doubtful"]
    assert len(doubtful) <= 0.05 * len(attempts)

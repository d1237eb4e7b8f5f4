"""The whole path through separate processes: caller, ingress, sidecar, target, platform."""

from collections.abc import Iterator

import pytest

from stand_ins.caller import Caller, Load
from stand_ins.launcher import Launcher


@pytest.fixture(scope="module")
def fleet() -> Iterator[Launcher]:
    """Start the sample fleet of Granthsetu."""
    with Launcher.from_example("granthsetu") as launcher:
        yield launcher


def test_every_request_gets_its_own_whole_answer(fleet: Launcher) -> None:
    """Repeatable and not repeatable requests through three ingresses."""
    caller = Caller([fleet.ingress(vm) for vm in fleet.vms[:3]], threads=4)
    loads = [Load("GET", "/opac/search", 40.0), Load("POST", "/circulation/issue", 20.0)]
    results = caller.run(loads, 2.0)
    assert {result.outcome for result in results} == {"answered"}
    assert not any(result.wrong for result in results)


def test_no_route_is_told_as_not_run(fleet: Launcher) -> None:
    """A path that no route takes."""
    caller = Caller([fleet.ingress("vm-1")])
    result = caller.send(Load("GET", "/nothing", 1.0))
    assert (result.status, result.outcome, result.reason) == (404, "not-run", "no-route")

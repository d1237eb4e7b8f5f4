"""End-to-end requests through separate processes: caller, ingress, sidecar, target, platform."""

import socket
import time
from collections.abc import Iterator

import pytest
import urllib3
from cleo.testers.command_tester import CommandTester
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from roadpass.cli.application import application
from stand_ins.caller import Caller, Load
from stand_ins.launcher import PORTS, Launcher


@pytest.fixture(scope="module")
def fleet() -> Iterator[Launcher]:
    """Start the Granthsetu example fleet."""
    with Launcher.from_example("granthsetu") as launcher:
        yield launcher


def test_every_request_gets_its_own_complete_answer(fleet: Launcher) -> None:
    """Repeatable and other requests through three ingresses."""
    caller = Caller([fleet.ingress(vm) for vm in fleet.vms[:3]], threads=4)
    loads = [Load("GET", "/opac/search", 40.0), Load("POST", "/circulation/issue", 20.0)]
    results = caller.run(loads, 2.0)
    assert_that({result.outcome for result in results}, Equals({"answered"}))
    assert_that([result for result in results if result.wrong], HasLength(0))


def test_a_missing_route_is_reported_as_not_run(fleet: Launcher) -> None:
    """The caller gets 404 with the reason."""
    caller = Caller([fleet.ingress("vm-1")])
    result = caller.send(Load("GET", "/nothing", 1.0))
    reported = (result.status, result.outcome, result.reason)
    assert_that(reported, Equals((404, "not-run", "no-route")))


def test_administration_api_and_tool_show_a_running_node(fleet: Launcher) -> None:
    """Status, targets, audit trail and metrics, as pages and through the tool."""
    node = f"{fleet.address('vm-2')}:{PORTS['admin']}"
    for command, part in (
        ("status", "revision"),
        ("targets", "opac-1"),
        ("audit", "revision-accepted"),
    ):
        tester = CommandTester(application().find(command))
        assert_that(tester.execute(node), Equals(0))
        assert_that(tester.io.fetch_output(), Contains(part))
    text = urllib3.request("GET", f"http://{node}/metrics").data.decode()
    assert_that(text, Contains("roadpass_requests_total"))
    assert_that(urllib3.request("GET", f"http://{node}/ready").status, Equals(200))
    assert_that(urllib3.request("POST", f"http://{node}/status").status, Equals(405))
    assert_that(urllib3.request("GET", f"http://{node}/audit?after=x").status, Equals(400))


def test_a_caller_that_disconnects_cancels_its_request(fleet: Launcher) -> None:
    """A caller closes its connection while its target works; the target's connection is closed."""
    for name in ("circulation-1", "circulation-2", "circulation-3"):
        fleet.target_control(name, hang=True)
    with socket.create_connection((fleet.address("vm-1"), PORTS["callers"])) as sock:
        sock.sendall(b"POST /circulation/issue HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        time.sleep(0.3)
    time.sleep(0.7)
    cut = sum(fleet.ledger(f"circulation-{n}")["cut"] for n in (1, 2, 3))
    assert_that(cut, Equals(1))

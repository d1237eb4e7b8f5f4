"""Whole nodes before targets that name a limit in their responses, or that they leave."""

import http.client
import itertools
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from roadpass import clock
from tests.stopping import PORTS, NodeProcesses, TimedTarget, wait_until

NET = 46
NODES = 3
WORK_S = 0.02
CALLERS_PER_NODE = 2
THINK_TIME_S = 0.1
LIMIT_PER_S = 0.5
CONTACT_S = 3.0
"""Seconds from the first response with a limit until the limit binds the fleet."""
WINDOW_S, TOLERANCE, EXCESS_REQUESTS = 4.0, 1.5, 5
"""Requests that a target may receive in a window: this multiple of its limit, and some more."""
DRAIN_S = 2.0
"""Seconds for which a target may receive new requests after it has said that it leaves."""


class Load:
    """Callers of all nodes; the name of a request begins with the number of its node."""

    def __init__(self, nodes: NodeProcesses) -> None:
        self.statuses: list[int] = []
        self._nodes = nodes
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(node,), daemon=True)
            for node in range(NODES)
            for _ in range(CALLERS_PER_NODE)
        ]
        for thread in self._threads:
            thread.start()

    def _call(self, node: int) -> None:
        while not self._stopped.wait(THINK_TIME_S):
            name = f"{node}-{next(self._numbers)}"
            asked = self._nodes.ask(node, "GET", WORK_S, name)
            asked.join()
            self.statuses.append(asked.status)

    def stop(self) -> None:
        """Wait until all callers have their responses."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[NodeProcesses]:
    """Start the nodes, each beside a target."""
    made = NodeProcesses(tmp_path, NET, NODES)
    try:
        yield made
    finally:
        made.close()


def name_in_responses(target: TimedTarget, header: bytes) -> float:
    """Let a target send a header in all responses from now on; return the time."""
    target.headers = header + b"\r\n"
    return clock.now()


def arrivals(target: TimedTarget, since: float, from_nodes: str) -> list[float]:
    """Return when requests from these nodes arrived at a target."""
    received = list(target.received_at.items())
    return sorted(at for name, at in received if name[0] in from_nodes and at >= since)


def most_in_window(times: list[float]) -> int:
    """Return the largest number of arrivals in any window."""
    return max((sum(begin <= at < begin + WINDOW_S for at in times) for begin in times), default=0)


def tolerated(limit_per_s: float) -> float:
    """Return how many requests a target with a limit may receive in any window."""
    return TOLERANCE * WINDOW_S * limit_per_s + EXCESS_REQUESTS


def page(nodes: NodeProcesses, node: int, path: str) -> str:
    """Return a page of a node's administration API."""
    connection = http.client.HTTPConnection(nodes.ips[node], PORTS["admin"], timeout=5.0)
    connection.request("GET", path)
    body = connection.getresponse().read().decode()
    connection.close()
    return body


def sleep(seconds: float) -> None:
    """Wait, by the clock that the nodes use."""
    until = clock.now() + seconds
    wait_until(lambda: clock.now() >= until, seconds + 5.0)


# Guards against a limit that a target names and nobody keeps, or that each ingress keeps by itself.
def test_a_target_gets_no_more_than_the_limit_that_it_names(nodes: NodeProcesses) -> None:
    """The other targets serve what is beyond the limit of one."""
    load = Load(nodes)
    sleep(1.0)
    target = nodes.targets[0]
    named_at = name_in_responses(target, b"Server-Limit: %.1f" % LIMIT_PER_S)
    sleep(CONTACT_S + WINDOW_S)
    load.stop()
    since_bound = arrivals(target, named_at + CONTACT_S, "012")
    assert 0 < most_in_window(since_bound) <= tolerated(LIMIT_PER_S)
    assert load.statuses.count(200) == len(load.statuses)


# Guards against refusals whose cause an operator cannot find.
def test_operators_see_which_target_names_a_limit(nodes: NodeProcesses) -> None:
    """In the log with the request, in the metrics, and beside the states of the targets."""
    load = Load(nodes)
    name_in_responses(nodes.targets[0], b"Server-Limit: %.1f" % LIMIT_PER_S)
    sleep(2.0)
    load.stop()
    (line,) = [line for line in nodes.log(0) if line.get("what") == "limit-named"]
    assert (line["rate_per_s"], line["source"]) == (LIMIT_PER_S, "response")
    assert line["request"] in nodes.targets[0].received_at
    gauge = f'roadpass_target_limit_per_s{{target="{line["target"]}"}} {LIMIT_PER_S}'
    assert all(gauge in page(nodes, node, "/metrics") for node in range(NODES))
    assert "roadpass_limit_refusals_total" in page(nodes, 0, "/metrics")
    assert "it names a limit of 0.5 requests/s" in page(nodes, 1, "/targets")


# Guards against a limit that is forgotten with the process that kept it, while others know it.
def test_a_limit_outlives_the_node_beside_its_target(nodes: NodeProcesses) -> None:
    """Those that were told of the limit tell the new process before it starts their requests."""
    load = Load(nodes)
    sleep(1.0)
    target = nodes.targets[0]
    named_at = name_in_responses(target, b"Server-Limit: %.1f" % LIMIT_PER_S)
    sleep(CONTACT_S)
    nodes.restart(0)
    sleep(WINDOW_S)
    load.stop()
    since_bound = arrivals(target, named_at + CONTACT_S, "12")
    assert most_in_window(since_bound) <= tolerated(LIMIT_PER_S)


# Guards against new requests for a target that says it leaves while the source lists it as ready.
def test_a_target_that_says_it_leaves_gets_no_new_requests(nodes: NodeProcesses) -> None:
    """The source still lists it as ready, and goes on doing so."""
    load = Load(nodes)
    sleep(1.0)
    target = nodes.targets[0]
    named_at = name_in_responses(target, b"Server-Leaving: 1")
    sleep(DRAIN_S + 2.0)
    load.stop()
    assert arrivals(target, named_at + DRAIN_S, "012") == []
    assert load.statuses.count(200) == len(load.statuses)
    assert "its responses say that it is leaving" in page(nodes, 1, "/targets")


# Guards against a leaving target that comes back because the node beside it has started anew.
def test_a_leaving_target_does_not_come_back_with_its_node(nodes: NodeProcesses) -> None:
    """The new process learns from the others that the target leaves."""
    load = Load(nodes)
    sleep(1.0)
    target = nodes.targets[0]
    named_at = name_in_responses(target, b"Server-Leaving: 1")
    sleep(DRAIN_S)
    nodes.restart(0)
    sleep(2.0)
    load.stop()
    assert arrivals(target, named_at + DRAIN_S, "12") == []

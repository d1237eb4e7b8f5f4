"""A stopping node lets attempts finish that were shortened in favour of a retry.

The time limit of an attempt is set when it is sent. A read sent just before SIGTERM got its latency
objective as the limit, since a retry was to follow. The objective passed during the stop, when no
retry could be answered any more, and the caller got 504 four seconds after SIGTERM although its
target worked on it and would have answered before the node ended. So a stopping node asks the
sidecars that hold such attempts to extend them to the request's deadline. Without that the caller
gets 504 at the objective, whether the target is at this VM or at another one.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.stopping import GRACE_S, OBJECTIVE_S, NodeProcesses

SLOW_S = OBJECTIVE_S + 0.6
"""Seconds of a response that comes after the objective, but well before its node ends."""


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[NodeProcesses]:
    """Start two nodes; only the second one's target is published."""
    made = NodeProcesses(tmp_path, 46, 2, served=(1,))
    try:
        yield made
    finally:
        made.close()


@pytest.mark.parametrize("node", [0, 1])
def test_running_request_outlives_its_objective_while_its_node_stops(
    pair: NodeProcesses, node: int
) -> None:
    """The response arrives after the objective, whether the target is local or at another VM."""
    asked = pair.ask_target(node, 1, "GET", SLOW_S, "slow")
    told_at = pair.send_sigterm(node)
    asked.join(GRACE_S + 2.0)
    assert (asked.status, asked.told_at - told_at > OBJECTIVE_S) == (200, True)

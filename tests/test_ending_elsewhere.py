"""A node that is told to stop breaks off nothing that a target works on.

Seen: a read whose target took longer than its objective was told 504 by a node in the midst of its
stop, four seconds after the word, while the target worked on; it answered in time for the end.

How: the read was sent just before the word. Its attempt was given its objective, as a repeat was to
follow. The objective passed during the stop; no repeat could be answered before the end any more.

Cause: how long an attempt may take is settled when it is sent, by what its node had to offer then.
So a node that is told to stop asks those who have such attempts to keep them, all their time.

Proof: with that the answer comes, here and beside another VM, without it 504 at the objective.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.stopping import GRACE_S, OBJECTIVE_S, NodeProcesses

SLOW_S = OBJECTIVE_S + 0.6
"""Seconds of an answer that comes after its objective, but well before its node ends."""


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[NodeProcesses]:
    """Start two nodes; only the second one's target is published."""
    made = NodeProcesses(tmp_path, 46, 2, served=(1,))
    try:
        yield made
    finally:
        made.close()


@pytest.mark.parametrize("node", [0, 1])
def test_no_objective_breaks_off_what_a_target_has_once_its_node_stops(
    pair: NodeProcesses, node: int
) -> None:
    """A node that stops has no repeat to offer, also to what was sent when it still had one."""
    asked = pair.ask_target(node, 1, "GET", SLOW_S, "slow")
    told_at = pair.send_sigterm(node)
    asked.join(GRACE_S + 2.0)
    assert (asked.status, asked.told_at - told_at > OBJECTIVE_S) == (200, True)

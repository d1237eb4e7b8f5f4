"""A node that gets SIGTERM while a peer or a target is unresponsive.

A request is queued at a peer whose process freezes, as on an overloaded host, and never reports on
it. Or a slot becomes free late in the shutdown, and the target accepts no connection. The node that
has the caller gets SIGTERM.

The failure: the node waited for the peer until its own end, as long as the peer had not promised
that the request never starts. A frozen peer promises nothing; a peer that connects to its target
reports the request as started, and tries to connect for up to a second, whatever the other node's
time of shutdown. The target never received the request, and the node listed it as cut at the limit.

So the attempt to connect has to end long before the shutdown does, and the wait for an unresponsive
peer early enough to answer the caller.
"""

import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from roadpass import clock
from roadpass.shutdown import ANSWER_MIN_S
from roadpass.stop import STOP_MARGIN_S
from tests.stopping import (
    GRACE_S,
    PORTS,
    TARGET_PORT,
    CallerRequest,
    NodeProcesses,
    TimedTarget,
    wait_until,
)
from tests.test_stop import RUNS_ON_S, waits

QUEUED_S = 0.3
"""Seconds after its first refusal until a request is in the queue."""
ANSWERED_WITHIN_S = GRACE_S - 0.3
"""Seconds from SIGTERM by which the caller must have a response, before the node ends."""
SENT_AT_S = 2.3
"""Seconds from SIGTERM to the last request; the node still accepts it."""
FREE_AT_S = GRACE_S - STOP_MARGIN_S - ANSWER_MIN_S - 0.1
"""Seconds from SIGTERM until the slot is free: just early enough to start a short request."""
SHORT_S = 0.1
SAMPLES = 30
"""Requests after which nodes know the typical latency of a kind."""


class UnresponsiveTarget:
    """Listens but accepts no connection: its backlog is full."""

    def __init__(self, ip: str) -> None:
        self.listener = socket.create_server((ip, TARGET_PORT), backlog=0)
        self._filling = [socket.socket() for _ in range(3)]
        for sock in self._filling:
            sock.setblocking(False)
            sock.connect_ex((ip, TARGET_PORT))

    def close(self) -> None:
        """Stop listening."""
        for sock in (*self._filling, self.listener):
            sock.close()


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[NodeProcesses]:
    """Start two nodes; only the second one's target is published."""
    made = NodeProcesses(tmp_path, 148, 2, served=(1,))
    try:
        yield made
    finally:
        made.close()


@pytest.fixture
def unresponsive(pair: NodeProcesses) -> Iterator[list[UnresponsiveTarget]]:
    """Collect the dark targets; at the end close them and restore the working target."""
    made: list[UnresponsiveTarget] = []
    try:
        yield made
    finally:
        for target in made:
            target.close()
        if made:
            pair.targets[1] = TimedTarget(pair.ips[1])


def assert_answered(asked: CallerRequest, target: TimedTarget, sigterm_at: float) -> None:
    """Assert that no target got a request, and that its caller got a response in time."""
    asked.join(GRACE_S + 2.0)
    assert "queued" not in target.received_at
    assert asked.status in {502, 503, 504}
    assert asked.told_at < sigterm_at + ANSWERED_WITHIN_S


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_queued_at_a_frozen_peer_is_answered(pair: NodeProcesses, method: str) -> None:
    """The frozen peer neither returns the request nor answers it."""
    pair.ask_target(0, 1, "POST", RUNS_ON_S, "runs")
    queued = pair.ask(0, method, 0.0, "queued")
    wait_until(lambda: waits(pair, 0, "queued"), 5.0)
    time.sleep(QUEUED_S)
    pair.processes[1].send_signal(signal.SIGSTOP)
    sigterm_at = pair.send_sigterm(0)
    assert_answered(queued, pair.targets[1], sigterm_at)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_for_an_unresponsive_target_is_answered(
    pair: NodeProcesses, unresponsive: list[UnresponsiveTarget], method: str
) -> None:
    """It has its slot, but no connection yet when its ingress shuts down."""
    for number in range(SAMPLES):
        pair.ask(0, method, SHORT_S, f"short-{number}").join()
    head = "POST /post/{} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: runs\r\n"
    rest = "Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
    with socket.create_connection((pair.ips[0], PORTS["callers"])) as runs:
        runs.sendall((head.format(RUNS_ON_S) + rest).encode())
        wait_until(lambda: "runs" in pair.targets[1].received_at, 5.0)
        sigterm_at = pair.send_sigterm(0)
        time.sleep(sigterm_at + SENT_AT_S - clock.now())
        queued = pair.ask(0, method, SHORT_S, "queued")
        working = pair.targets[1]
        working.close()
        unresponsive.append(UnresponsiveTarget(pair.ips[1]))
        time.sleep(sigterm_at + FREE_AT_S - clock.now())
    assert_answered(queued, working, sigterm_at)

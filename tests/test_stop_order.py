"""Planned stops and requests whose steps interleave in any order."""

import itertools
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from roadpass import clock
from roadpass.fleet import Target
from roadpass.message import Attempt, LoadReport, Message, Reply
from roadpass.outcome import Answered, NotRun, Outcome, Reason
from roadpass.pause import PauseWatch
from roadpass.peer_pool import PeerPool
from roadpass.settings import Ports, Settings
from roadpass.shutdown import ANSWER_MIN_S
from roadpass.sidecar import Sidecar
from roadpass.stream_server import StreamServer
from roadpass.transport import Transport
from roadpass.view import PeerNode, View
from tests.fake_sidecar import FakeSidecar, dispatcher
from tests.stopping import GRACE_S, CallerRequest, NodeProcesses, wait_until
from tests.test_sidecar import Bench, attempt, bench
from tests.test_stop import RUNS_ON_S, assert_returned, waits

__all__ = ["bench"]

ADDRESS = "127.0.44.2"
HELLO: Message = {"t": "hello", "vm": "vm-2", "incarnation": 1}
SENT_AT_S = 0.5
"""Seconds from SIGTERM at which callers are still served."""
PAUSED_UNTIL_S = GRACE_S - 0.7
"""Seconds from SIGTERM: later than queued requests are normally returned."""
_PORTS = itertools.count(7811)


class Peer(Sidecar):
    """A peer that delays its acceptance and its replies until the test allows them."""

    def __init__(self) -> None:
        super().__init__("vm-1", 7, PauseWatch(), pull=dict, behind=lambda *_: None)
        self.may_accept = threading.Event()
        self.may_reply = threading.Event()
        self.asked = threading.Event()
        self.attempts: list[str] = []

    def answer(self, message: Message, age_s: float) -> Message:
        match message["t"]:
            case "check":
                self.asked.set()
                self.may_accept.wait(10.0)
                return {"t": "accepted"}
            case "attempt":
                self.attempts.append(message["id"])
                self.may_reply.wait(10.0)
                load = LoadReport(0, 0, 1, 0.0, 0.0, 1.0, 1)
                return Reply(Answered(200, [], b"ok"), load).to_message()
            case _:
                return super().answer(message, age_s)


class PeerLink:
    """The transport of an ingress, and a peer that it reaches over a stream."""

    def __init__(self, port: int) -> None:
        self.peer = Peer()
        settings = Settings("vm-1", "hall", "region", ADDRESS, ADDRESS, Ports(0, port, 0, 0), "")
        self.ref = StreamServer.start(settings, self.peer)
        self.ref.ask("whether it listens")
        self.view = View("vm-2", "hall", "region")
        self.target: Target = dispatcher(FakeSidecar([]))._view.fleet.targets["t0"]
        self.view.nodes["vm-1"] = PeerNode("vm-1", ADDRESS, port, "hall", "region")
        self.transport = Transport(self.view, FakeSidecar([]), PeerPool(HELLO, ()))
        self.outcomes: list[Outcome] = []

    def send(self, number: int, **changes: object) -> threading.Thread:
        """Send an attempt in a thread."""
        one = attempt(number, **changes)

        def run() -> None:
            self.outcomes.append(self.transport.send(self.target, one, None).outcome)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def close(self) -> None:
        self.peer.may_accept.set()
        self.peer.may_reply.set()
        self.ref.stop()


@pytest.fixture
def link() -> Iterator[PeerLink]:
    """Return a link to a peer."""
    made = PeerLink(next(_PORTS))
    try:
        yield made
    finally:
        made.close()


def wait_for(holds: Any) -> None:
    """Wait until `holds` returns true; fail after 5 s."""
    limit = clock.now() + 5.0
    while not holds():
        assert clock.now() < limit, "condition not met in time"
        threading.Event().wait(0.002)


def test_a_promise_never_to_start_is_reported_to_the_caller(link: PeerLink) -> None:
    """Its frame may be in flight, or its reply lost; the reply to the recall is proof enough."""
    link.peer.may_accept.set()
    thread = link.send(1)
    wait_for(lambda: link.peer.attempts)
    link.view.shutdown.at = clock.now() + ANSWER_MIN_S
    link.transport.recall("vm-1", ["vm-2/1/1"])
    thread.join(ANSWER_MIN_S)
    assert link.outcomes == [NotRun(Reason.LEAVING, 500)]


def test_the_promise_of_another_process_is_no_proof(link: PeerLink) -> None:
    """A restarted peer never had the attempt, but the process before it may have run it."""
    link.peer.may_accept.set()
    thread = link.send(1)
    wait_for(lambda: link.peer.attempts)
    link.peer._incarnation += 1
    link.view.shutdown.at = clock.now() + 9.0
    link.transport.recall("vm-1", ["vm-2/1/1"])
    thread.join(0.5)
    assert link.outcomes == []
    link.peer.may_reply.set()
    thread.join(5.0)
    assert isinstance(link.outcomes[0], Answered)


def test_a_recall_before_its_attempt_arrives(bench: Bench) -> None:
    """The attempt never starts: its reply says so, and it takes no slot."""
    assert bench.sidecar.recall(["vm-2/1/1"]) == ["vm-2/1/1"]
    assert bench.sidecar.recall(["vm-2/1/1"]) == ["vm-2/1/1"]
    outcome = bench.sidecar.run(attempt(1)).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.FENCED
    assert bench.runs == 0
    assert bench.sidecar.in_flight == 0


def test_concurrent_recalls_and_starts_are_consistent(bench: Bench) -> None:
    """A recalled attempt has not run, and every other one has been answered."""
    bench.state.behaviour.median_ms = 0.0
    recalled: set[str] = set()
    outcomes: dict[str, Outcome] = {}
    both = threading.Barrier(2)

    def run(one: Attempt) -> None:
        both.wait()
        outcomes[one.id] = bench.sidecar.run(one).outcome

    for number in range(200):
        one = attempt(number, may_wait=True, most_wait_ms=9e3)
        thread = threading.Thread(target=run, args=(one,))
        thread.start()
        both.wait()
        time.sleep(number % 8 * 1e-4)
        recalled.update(bench.sidecar.recall([one.id]))
        thread.join()
        assert isinstance(outcomes[one.id], NotRun if one.id in recalled else Answered)
    assert bench.runs == 200 - len(recalled)


@pytest.fixture
def single(tmp_path: Path) -> Iterator[NodeProcesses]:
    """Start one node with its target."""
    made = NodeProcesses(tmp_path, 46, 1)
    try:
        yield made
    finally:
        made.close()


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[NodeProcesses]:
    """Start two nodes; only the second one's target is published."""
    made = NodeProcesses(tmp_path, 46, 2, served=(1,))
    try:
        yield made
    finally:
        made.close()


def queued(stage: NodeProcesses) -> CallerRequest:
    """Queue a request of the first node at the second node's target, which is busy."""
    stage.ask_target(1, 1, "POST", RUNS_ON_S, "runs")
    asked = stage.ask(0, "POST", 0.0, "queued")
    wait_until(lambda: waits(stage, 0, "queued"), 5.0)
    return asked


@pytest.mark.parametrize("node", [0, 1])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_queued_during_a_stop_is_returned(
    pair: NodeProcesses, node: int, method: str
) -> None:
    """A stopping node has no repeats left, so a read waits on beyond its latency objective."""
    pair.ask_target(1, 1, "POST", RUNS_ON_S, "runs")
    sigterm_at = pair.send_sigterm(node)
    threading.Event().wait(SENT_AT_S)
    asked = pair.ask(node, method, 0.0, "queued")
    wait_until(lambda: waits(pair, node, "queued"), 2.0)
    assert_returned(asked, sigterm_at)
    assert "queued" not in pair.targets[1].received_at


def test_both_nodes_stop(pair: NodeProcesses) -> None:
    """Both the node that has the caller and the node that has the queue."""
    asked = queued(pair)
    sigterm_at = pair.send_sigterm(0)
    pair.send_sigterm(1)
    assert_returned(asked, sigterm_at)


def test_a_node_frozen_during_its_stop_returns_requests_when_it_resumes(
    pair: NodeProcesses,
) -> None:
    """The pause of the process does not defer the time of its SIGKILL."""
    asked = queued(pair)
    sigterm_at = pair.send_sigterm(0)
    threading.Event().wait(2.0)
    pair.processes[0].send_signal(signal.SIGSTOP)
    threading.Event().wait(sigterm_at + PAUSED_UNTIL_S - clock.now())
    pair.processes[0].send_signal(signal.SIGCONT)
    asked.join(GRACE_S + 2.0)
    assert asked.status == 503
    assert asked.told_at < sigterm_at + GRACE_S


def test_a_node_stops_while_it_starts(single: NodeProcesses) -> None:
    """SIGTERM may come before the node listens for callers."""
    single.processes[0].kill()
    single.processes[0].wait()
    lines = len(single.log(0))
    single.processes[0] = single._start(single.ips[0])
    wait_until(lambda: len(single.log(0)) > lines, 10.0)
    sigterm_at = single.send_sigterm(0)
    assert single.processes[0].wait(GRACE_S + 2.0) == 0
    assert clock.now() < sigterm_at + GRACE_S - 1.0


def test_other_signals_do_not_affect_a_stop(single: NodeProcesses) -> None:
    """Neither a second SIGTERM or SIGINT nor a SIGHUP, which reloads the settings."""
    asked = single.ask_target(0, 0, "POST", 4.5, "runs")
    single.send_sigterm(0)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        threading.Event().wait(0.3)
        single.processes[0].send_signal(number)
    asked.join(GRACE_S + 2.0)
    assert asked.status == 200
    assert single.processes[0].wait(2.0) == 0

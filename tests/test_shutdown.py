"""Queued attempts when the node of their target, or their ingress, shuts down."""

import socket
import threading

import pytest

from roadpass import clock
from roadpass.class_queue import Ticket
from roadpass.fleet import Target, TrafficClass
from roadpass.message import Attempt
from roadpass.outcome import Answered, NotRun, Outcome, Reason
from roadpass.peer_pool import PeerPool
from roadpass.shutdown import ANSWER_FACTOR, ANSWER_MIN_S, NOTIFY_S, Shutdown
from roadpass.slots import Slots
from roadpass.transport import Transport
from roadpass.view import PeerNode, View
from tests.fake_sidecar import FakeSidecar, dispatcher
from tests.test_sidecar import Bench, attempt, bench

__all__ = ["bench"]


class Waiting(threading.Thread):
    """A thread that acquires a slot for an attempt, waiting if none is free."""

    def __init__(self, slots: Slots, one: Attempt) -> None:
        super().__init__(daemon=True)
        self.slots = slots
        self.one = one
        self.refusal: NotRun | None = None
        self.over_at = 0.0
        self.start()

    def run(self) -> None:
        self.refusal = self.slots.acquire(self.one, clock.now() + 20.0, 0.0)
        self.over_at = clock.now()


def full_slots(shutdown: Shutdown) -> Slots:
    """Return the slots of a target with one slot, which is in use."""
    slots = Slots(
        (TrafficClass("default", 0.0),),
        slots=1,
        queue_limit=9,
        lock=threading.Lock(),
        shutdown=shutdown,
    )
    assert slots.acquire(attempt(99), clock.now() + 20.0, 0.0) is None
    return slots


def test_running_node_has_no_last_start() -> None:
    """Without a stop there is no deadline."""
    assert Shutdown().last_start(1e9) > clock.now() + 1e6


def test_queued_attempt_is_returned_in_time_to_answer_its_caller() -> None:
    """A stop ends the wait of queued attempts, sooner for those with a longer typical latency."""
    shutdown = Shutdown()
    slots = full_slots(shutdown)
    short = Waiting(slots, attempt(1, usual_ms=0.0))
    long = Waiting(slots, attempt(2, usual_ms=800.0))
    while slots.waiting < 2:
        threading.Event().wait(0.001)
    shutdown.at = clock.now() + 1.8
    for waiting, needs_s in ((long, ANSWER_FACTOR * 0.8), (short, ANSWER_MIN_S)):
        waiting.join(5.0)
        assert waiting.refusal is not None
        assert waiting.refusal.reason is Reason.LEAVING
        assert -0.01 < waiting.over_at - (shutdown.at - needs_s) < 0.2
    assert slots.waiting == 0


def test_attempt_that_comes_too_late_is_not_queued() -> None:
    """An attempt that arrives too late is not started either, even if a slot is free."""
    shutdown = Shutdown()
    shutdown.at = clock.now() + ANSWER_MIN_S
    slots = Slots(
        (TrafficClass("default", 0.0),),
        slots=1,
        queue_limit=9,
        lock=threading.Lock(),
        shutdown=shutdown,
    )
    refusal = slots.acquire(attempt(1), clock.now() + 20.0, 0.0)
    assert refusal is not None
    assert refusal.reason is Reason.LEAVING
    assert slots.in_use == 0


def test_attempt_queued_at_a_drained_target_is_returned_immediately(bench: Bench) -> None:
    """Otherwise it would be refused at its turn, after its deadline.

    A new revision in which the target stays leaves the queue alone.
    """
    bench.state.behaviour.median_ms = 900.0
    outcomes: list[Outcome] = []

    def run(number: int) -> None:
        one = attempt(number, may_wait=True, most_wait_ms=9e3)
        outcomes.append(bench.sidecar.run(one).outcome)

    threads = [threading.Thread(target=run, args=(number,)) for number in range(3)]
    for thread in threads:
        thread.start()
    slots = bench.sidecar.targets["t"]._slots
    while bench.runs < 2 or slots.waiting < 1:
        threading.Event().wait(0.001)
    bench.configure(revision=3)
    assert slots.waiting == 1
    bench.configure(revision=4, leaving=True)
    leaving_at = clock.now()
    while not outcomes:
        threading.Event().wait(0.001)
    assert clock.now() - leaving_at < 0.3
    assert isinstance(outcomes[0], NotRun)
    assert outcomes[0].reason is Reason.LEAVING
    for thread in threads:
        thread.join()
    assert bench.runs == 2
    bench.configure(revision=5)
    assert isinstance(bench.sidecar.run(attempt(9)).outcome, Answered)


def test_slot_granted_at_the_deadline_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """A slot granted just as the wait ends is used or released, and never lost."""
    shutdown = Shutdown()
    slots = full_slots(shutdown)
    waiting = Waiting(slots, attempt(1))
    while not slots.waiting:
        threading.Event().wait(0.001)
    granted: list[Ticket] = list(slots._queued.values())
    shutdown.at = clock.now()
    slots.release("default")
    waiting.join(5.0)
    assert granted[0].granted
    assert waiting.refusal is None
    assert slots.in_use == 1


def test_recall_returns_queued_attempts_and_leaves_running_ones(bench: Bench) -> None:
    """The table of starts decides which: a recalled attempt that was queued never starts."""
    bench.state.behaviour.median_ms = 600.0
    outcomes: dict[int, Outcome] = {}

    def run(number: int) -> None:
        outcomes[number] = bench.sidecar.run(
            attempt(number, may_wait=True, most_wait_ms=9e3)
        ).outcome

    threads = [threading.Thread(target=run, args=(number,)) for number in range(3)]
    for thread in threads:
        thread.start()
    local = bench.sidecar.targets["t"]
    while bench.runs < 2 or local._slots.waiting < 1:
        threading.Event().wait(0.001)
    names = [f"vm-2/1/{number}" for number in range(3)]
    never = bench.sidecar.recall([*names, "vm-2/1/7"])
    for thread in threads:
        thread.join()
    returned = [number for number in range(3) if isinstance(outcomes[number], NotRun)]
    assert sorted(never) == sorted([f"vm-2/1/{returned[0]}", "vm-2/1/7"])
    assert len(returned) == 1
    assert bench.runs == 2
    late = bench.sidecar.run(attempt(7)).outcome
    assert isinstance(late, NotRun)
    assert late.reason is Reason.FENCED


def test_unresponsive_peer_does_not_hold_a_request_past_the_shutdown(
    listener: socket.socket,
) -> None:
    """Connecting to the last remaining target may take two packet losses, unless the node stops."""
    view = View("vm-2", "hall", "region")
    target: Target = dispatcher(FakeSidecar([]))._view.fleet.targets["t0"]
    address, port = listener.getsockname()
    view.nodes[target.vm] = PeerNode(target.vm, address, port, "hall", "region")
    transport = Transport(view, FakeSidecar([]), PeerPool({"t": "hello"}, ()))
    view.shutdown.at = clock.now() + NOTIFY_S + 0.3
    outcome = transport.send(target, attempt(1, pressing=True), None).outcome
    assert isinstance(outcome, NotRun)
    assert clock.now() < view.shutdown.at - 0.2

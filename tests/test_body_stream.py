"""Streamed uploads over real sockets, to a target of the same VM and over a stream to another.

Guards against bodies in memory, and against a body that is cut, repeated or taken for another.
"""

import contextlib
import random
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from roadpass import body_stream, byte_budget, clock, target_connection
from roadpass.body_source import UPLOAD_BYTES
from roadpass.byte_budget import ByteBudget
from roadpass.message import Attempt
from roadpass.shutdown import ANSWER_MIN_S
from tests.calling import Caller, post, until
from tests.upload_path import OK, Path, RawTarget, Received, answer_all, fleet_of, free_port, opened

BODY = random.Random(1).randbytes(1_000_000)
HEAD = b"POST /a HTTP/1.1\r\nHost: shop\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OK_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
LEFT_S = 0.5
"""Seconds in which a target's connection must be closed after its caller left."""

VMS = pytest.mark.parametrize("vm", ["vm-1", "vm-2"])


@pytest.fixture(params=["vm-1", "vm-2"])
def path(request: pytest.FixtureRequest) -> Iterator[tuple[Path, RawTarget]]:
    """Run a path to a target of the same VM, and to one of another."""
    with opened(request.param) as made:
        yield made


def record_bodies(target: RawTarget) -> None:
    """Make a target keep the bodies that it receives."""

    def handle(received: Received) -> None:
        while True:
            received.read_head()
            target.bodies.append(received.read_body())
            received.sock.sendall(OK)
            received.data = b""

    target.handle = handle


def chunks(body: bytes, size: int) -> bytes:
    """Return a chunked body."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def test_body_arrives_unchanged(path: tuple[Path, RawTarget]) -> None:
    """Guards against lost or added bytes, a second copy, and a connection that is not kept."""
    node, target = path
    record_bodies(target)
    caller = node.caller()
    assert caller.ask(post(BODY)).status == 200
    assert caller.ask(CHUNKED + chunks(BODY, 100_001)).status == 200
    assert caller.ask(post(b"")).status == 200
    assert target.bodies == [BODY, BODY, b""]
    assert max(budget.peak for budget in node.budgets) < UPLOAD_BYTES + 16 * 1024
    assert node.metrics.get("uploads_streamed") == 2
    until(lambda: all(budget.kept == 0 for budget in node.budgets))


def test_pipelined_request_behind_a_body(path: tuple[Path, RawTarget]) -> None:
    """Guards against taking the start of the next request for the body, or losing it."""
    node, target = path
    record_bodies(target)
    caller = node.caller()
    caller.send(post(BODY) + post(b"second"))
    assert caller.reply().status == caller.reply().status == 200
    assert target.bodies == [BODY, b"second"]


def test_body_that_came_with_an_earlier_request(path: tuple[Path, RawTarget]) -> None:
    """Guards against a part that is longer than a frame may be."""
    node, target = path
    record_bodies(target)
    caller = node.caller()
    caller.send(post(b"", "Connection: keep-alive\r\n") + post(BODY[:250_000]))
    assert caller.reply().status == caller.reply().status == 200
    assert target.bodies == [b"", BODY[:250_000]]


def test_body_is_asked_for_once_a_target_accepted(path: tuple[Path, RawTarget]) -> None:
    """Guards against reading a body that no target has accepted; `Expect` is honoured."""
    node, target = path
    record_bodies(target)
    caller = node.caller()
    caller.send(post(b"abc", "Expect: 100-continue\r\n")[:-3])
    assert caller._line() == "HTTP/1.1 100 Continue"
    assert caller._line() == ""
    until(lambda: len(target.connections) == 1)
    assert caller.ask(b"abc").status == 200
    node.view.refusing = True
    refused = node.caller()
    refused.send(post(b"abc", "Expect: 100-continue\r\n")[:-3])
    reply = refused.reply()
    assert (reply.status, reply.header("Connection")) == (503, "close")


@VMS
def test_request_goes_elsewhere_before_its_body(vm: str) -> None:
    """Guards against losing an upload to a target that refuses connections."""
    target = RawTarget()
    record_bodies(target)
    node = Path({"t1": (vm, free_port()), "t2": (vm, target.port)})
    try:
        for _ in range(4):
            assert node.caller().ask(post(BODY)).status == 200
        assert target.bodies == [BODY] * 4
    finally:
        node.close()
        target.close()


@VMS
def test_upload_is_not_repeated(vm: str) -> None:
    """Guards against a second attempt behind a target that took a part and then shed it."""
    first, second = RawTarget(), RawTarget()

    def shed(received: Received) -> None:
        received.read_head()
        received.read_body()
        received.sock.sendall(b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n")

    first.handle = second.handle = shed
    node = Path({"t1": (vm, first.port), "t2": (vm, second.port)}, shed_status=429)
    try:
        reply = node.caller().ask(post(BODY))
        assert (reply.status, reply.header("Roadpass-Reason")) == (503, "shed-by-target")
        assert len(first.connections) + len(second.connections) == 1
    finally:
        node.close()
        first.close()
        second.close()


def broken_at_target(target: RawTarget) -> Received:
    """Wait until a target's only connection has ended, and return it."""
    until(lambda: len(target.connections) == 1 and target.connections[0].closed.is_set())
    return target.connections[0]


def test_caller_leaves_within_its_body(path: tuple[Path, RawTarget]) -> None:
    """Guards against the failure "a body breaks off" that looks complete to the target."""
    node, target = path
    caller = node.caller()
    caller.send(post(BODY)[:500_000])
    until(lambda: bool(target.connections) and len(target.connections[0].data) > 400_000)
    left = clock.now()
    caller.close()
    received = broken_at_target(target)
    assert clock.now() - left < LEFT_S
    assert BODY.startswith(received.data)
    assert len(received.data) < len(BODY)
    until(lambda: node.metrics.get("uploads_broken") == 1)
    until(lambda: node.active == 0)
    assert node.caller().ask(post(b"next")).status == 200
    assert len(target.connections) == 2


def test_malformed_chunks_break_the_body(path: tuple[Path, RawTarget]) -> None:
    """Guards against a clean end behind chunks that cannot be read."""
    node, target = path
    caller = node.caller()
    caller.send(CHUNKED + chunks(BODY, 100_000)[:-5] + b"xyz\r\n")
    reply = caller.reply()
    assert (reply.status, reply.header("Roadpass-Outcome")) == (504, "unknown")
    assert caller.rest() == b""
    assert not broken_at_target(target).data.endswith(b"0\r\n\r\n")


def test_caller_stops_sending(
    path: tuple[Path, RawTarget], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller that holds a slot with a body that never ends."""
    monkeypatch.setattr(body_stream, "CALLER_STALL_S", 0.1)
    node, target = path
    caller = node.caller()
    caller.send(post(BODY)[:300_000])
    reply = caller.reply()
    assert (reply.status, reply.header("Roadpass-Outcome")) == (504, "unknown")
    broken_at_target(target)


def test_target_stops_reading(
    path: tuple[Path, RawTarget], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the failure "a target stops reading": a slot and a caller held for long."""
    monkeypatch.setattr(target_connection, "TARGET_STALL_S", 0.2)
    node, target = path

    def read_nothing(received: Received) -> None:
        received.read_head()
        received.closed.wait(3.0)

    target.handle = read_nothing
    caller = node.caller()
    sender = Sender(caller, post(BODY * 20))
    reply = caller.reply()
    assert (reply.status, reply.header("Roadpass-Reason")) == (504, "timeout")
    assert max(budget.peak for budget in node.budgets) < UPLOAD_BYTES + 16 * 1024
    sender.join()


def test_early_response(path: tuple[Path, RawTarget]) -> None:
    """Guards against the failure "an early response": late, or with the rest as a next request."""
    node, target = path
    rest: list[bytes] = []

    def answer_early(received: Received) -> None:
        received.read_head()
        received.sock.sendall(OK)
        received.read_rest()
        rest.append(received.data)

    target.handle = answer_early
    caller = node.caller()
    trick = b"GET /b HTTP/1.1\r\nHost: shop\r\n\r\n" * 10_000
    caller.send(post(trick)[:100_000])
    reply = caller.reply()
    assert (reply.status, reply.body, reply.header("Connection")) == (200, b"ok", "close")
    with contextlib.suppress(OSError):
        caller.send(trick)
    until(lambda: len(rest) == 1)
    assert trick.startswith(rest[0])
    until(lambda: node.active == 0)
    assert len(target.connections) == 1
    target.handle = answer_all
    assert node.caller().ask(post(b"next")).status == 200
    assert len(target.connections) == 2


def test_response_head_before_the_end_of_the_body(path: tuple[Path, RawTarget]) -> None:
    """Guards against cutting the body of a target that answers while it reads on."""
    node, target = path

    def answer_meanwhile(received: Received) -> None:
        received.read_head()
        received.sock.sendall(OK[:-2])
        target.bodies.append(received.read_body())
        received.sock.sendall(OK[-2:])

    target.handle = answer_meanwhile
    assert node.caller().ask(post(BODY)).status == 200
    assert target.bodies == [BODY]


def test_caller_leaves_before_the_response(path: tuple[Path, RawTarget]) -> None:
    """Guards against a target that works on for a caller that has left."""
    node, target = path

    def hang(received: Received) -> None:
        received.read_head()
        received.read_body()
        target.bodies.append(b"")
        received.read_rest()

    target.handle = hang
    caller = node.caller()
    caller.send(post(BODY))
    until(lambda: len(target.bodies) == 1)
    left = clock.now()
    caller.close()
    broken_at_target(target)
    assert clock.now() - left < LEFT_S


def test_caller_leaves_while_the_target_does_not_read(path: tuple[Path, RawTarget]) -> None:
    """Guards against overlooking a caller's end behind bytes that are not read yet."""
    node, target = path

    def wait(received: Received) -> None:
        received.read_head()
        time.sleep(0.2)
        received.read_rest()

    target.handle = wait
    caller = node.caller()
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8 * 1024 * 1024)
    caller.send(post(BODY * 20)[:700_000])
    until(lambda: bool(target.connections))
    caller.close()
    left = clock.now()
    until(lambda: node.active == 0)
    assert clock.now() - left < LEFT_S
    broken_at_target(target)


def test_sidecar_that_takes_no_parts() -> None:
    """Guards against the failure "an old sidecar": it would end a stream with unknown messages."""
    with opened("vm-2", old=True) as (node, target):
        record_bodies(target)
        caller = node.caller()
        assert caller.ask(post(BODY)).status == 200
        assert caller.ask(CHUNKED + chunks(BODY, 70_000)).status == 200
        assert target.bodies == [BODY, BODY]
        assert node.metrics.get("uploads_sent_whole") == 2
        assert node.metrics.get("uploads_streamed") == 0


def test_slow_caller_is_no_evidence_against_a_target(path: tuple[Path, RawTarget]) -> None:
    """Guards against ejecting a target, or a wrong typical latency, for the pace of callers."""
    node, target = path
    record_bodies(target)
    caller = node.caller()
    caller.send(post(BODY)[:-1])
    until(lambda: bool(target.connections) and len(target.connections[0].data) > 900_000)
    time.sleep(0.3)
    pending = next(iter(node.dispatcher.pending.values()))
    until(lambda: clock.now() - pending.since < 0.1)
    assert caller.ask(BODY[-1:]).status == 200
    local = next(one for side in node.sidecars for one in side.targets.values())
    assert local._estimator.latency("put").typical_ms < 200.0


def test_short_upload_is_kept_whole_while_streaming_is_off() -> None:
    """Guards against streaming what fits in memory without the switch, and not counting it."""
    short = BODY[:200_000]
    with opened("vm-2", old=True) as (node, target):
        record_bodies(target)
        node.view.fleet = fleet_of({"t1": ("vm-2", target.port)}, streamed=False)
        assert node.caller().ask(post(short)).status == 200
        assert target.bodies == [short]
        assert node.budgets[0].peak >= len(short)
        assert node.metrics.counters().keys() & {"uploads_streamed", "uploads_sent_whole"} == set()
    message = Attempt(
        "vm-1/1/1", "t", "r", "PUT", "/", [], b"", 1.0, "c", "c", False, False, 1, 0.0
    ).to_message()
    assert message.keys() & {"body_follows", "body_length"} == set()


def test_upload_is_refused_during_a_stop(path: tuple[Path, RawTarget]) -> None:
    """Guards against starting an upload that cannot be answered before the process ends."""
    node, target = path
    node.view.shutdown.at = clock.now() + ANSWER_MIN_S / 2.0
    caller = node.caller()
    caller.send(post(BODY)[:1000])
    reply = caller.reply()
    assert (reply.status, reply.header("Roadpass-Reason")) == (503, "leaving")
    assert target.connections == []


@VMS
def test_forty_uploads_that_read_nothing(vm: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the failure "callers stop reading": their responses fill a VM of 200 MB."""
    monkeypatch.setattr(byte_budget, "STALL_S", 0.1)
    target = RawTarget()

    def echo(received: Received) -> None:
        received.read_head()
        body = received.read_body()
        received.sock.sendall(OK_CLOSE % len(body) + body)

    target.handle = echo
    limit = ByteBudget.of_memory(200.0).limit
    node = Path({"t1": (vm, target.port)}, limit=limit, slots=40)
    try:
        callers = [node.caller() for _ in range(40)]
        for caller in callers:
            caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        senders = [Sender(caller, post(BODY[:360_000])) for caller in callers]
        for sender in senders:
            sender.wait()
        time.sleep(0.5)  # the responses arrive, and nobody reads them
        for sender in senders:
            sender.join()
        until(lambda: all(budget.kept == 0 for budget in node.budgets))
        peaks = [budget.peak for budget in node.budgets]
        print(f"{vm}: peaks {peaks}, limit {limit}, {len(target.connections)} at the target")
        assert 0 < max(peaks) <= limit
        assert len(target.connections) >= 10  # the others were refused, by the rules of admission
    finally:
        node.close()
        target.close()


class Sender:
    """Sends in a thread, as the ingress may not read everything."""

    def __init__(self, caller: Caller, data: bytes) -> None:
        self._caller, self._data = caller, data
        self._thread = threading.Thread(target=self._send, daemon=True)
        self._thread.start()

    def wait(self) -> None:
        """Wait until everything is sent, or the connection has ended."""
        self._thread.join(5.0)

    def join(self) -> None:
        """Wait for its end, which the close of the connection brings."""
        self._caller.close()
        self._thread.join(5.0)

    def _send(self) -> None:
        try:
            self._caller.send(self._data)
        except OSError:
            return

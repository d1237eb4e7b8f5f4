"""A sidecar before a target that names a limit in its responses, or that it leaves."""

import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from roadpass import clock
from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import Policy, build_fleet
from roadpass.fleet import Fleet
from roadpass.message import AdmissionCheck, Attempt, Reply, check
from roadpass.metric import Metrics
from roadpass.notice_table import NO_LIMIT, NoticeTable
from roadpass.outcome import RETRY_SOON_MS, Answered, NotRun, Reason
from roadpass.pause import PauseWatch
from roadpass.platform.dialect import PLATFORM
from roadpass.route import Route
from roadpass.sidecar import Sidecar
from roadpass.source import PublishedConfig, PublishedService, TargetEntry
from roadpass.target_notice import TargetNotice

IP, PORT = "127.0.47.1", 8110
OK, SHED = b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
LENGTH = b"Content-Length: 2\r\n"
BODY = b"\r\nok"
LIMIT = b"Server-Limit: 2.0\r\n"
LEAVING = b"Server-Leaving: 1\r\n"
WAIT_MS = 500
"""Milliseconds between two starts at that limit."""


class ScriptedTarget:
    """Sends the next scripted response to each request, the last one again and again.

    Attributes:
        responses: Responses with the request id left out; `hold` delays them.
        received: Ids of the requests that arrived.
    """

    def __init__(self) -> None:
        self.responses = [OK + LENGTH + BODY]
        self.received: list[str] = []
        self.hold = threading.Event()
        self.hold.set()
        self.listener = socket.create_server((IP, PORT), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening, and end the thread that accepts."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            while head := sock.recv(65536):
                name = head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
                self.received.append(name.decode())
                response = self.responses.pop(0) if self.responses[1:] else self.responses[0]
                self.hold.wait(5.0)
                status, _, rest = response.partition(b"\r\n")
                sock.sendall(status + b"\r\nRequest-Id: " + name + b"\r\n" + rest)
                if not rest.endswith(BODY):
                    return


class Stage:
    """One sidecar and its target, in one incarnation after the other."""

    def __init__(self) -> None:
        self.target = ScriptedTarget()
        self.metrics = Metrics()
        self.restart()

    def restart(self, notices: NoticeTable | None = None) -> None:
        """Start the sidecar anew, without its memory."""
        self.sidecar = Sidecar(
            IP,
            1,
            PauseWatch(),
            pull=dict,
            behind=lambda vm, revision: None,
            dialect=PLATFORM,
            notices=notices,
            metrics=self.metrics,
        )
        self.sidecar.configure(_fleet(1))

    def run(self, number: int, **changes: Any) -> Reply:
        """Run an attempt; it does not wait unless `changes` allow it."""
        return self.sidecar.run(attempt(number, **changes))


@pytest.fixture
def stage() -> Iterator[Stage]:
    """Return a sidecar with a target that names nothing yet."""
    made = Stage()
    yield made
    made.target.hold.set()
    made.target.close()


def _fleet(born: int, slots: int = 2) -> Fleet:
    """Return a fleet with one target in one of its incarnations."""
    route = Route("r", "h", "/", frozenset(), "s", "", False, {}, None)
    services = {"s": PublishedService("s", 10)}
    config = PublishedConfig(2, (route,), services, CallerLimits())
    entry = TargetEntry("i-1", "s", f"{IP}:{PORT}", "h", slots, False, born)
    return build_fleet(config, [entry], Policy())


def attempt(number: int, **changes: Any) -> Attempt:
    """Return an attempt that takes no wait."""
    made = Attempt(
        id=f"vm-2/1/{number}",
        target="i-1@1",
        route="r",
        method="POST",
        path="/x",
        headers=[],
        body=b"",
        remaining_ms=3000.0,
        traffic_class="p000",
        caller="c",
        repeatable=False,
        retry=False,
        revision=2,
        slow_ms=0.0,
        request_id=f"r-{number}",
        most_wait_ms=0.0,
    )
    return made._replace(**changes)


def refused(reply: Reply) -> NotRun:
    """Return the refusal of an attempt."""
    assert isinstance(reply.outcome, NotRun)
    return reply.outcome


def sleep(seconds: float) -> None:
    """Wait."""
    threading.Event().wait(seconds)


def test_a_request_beyond_the_limit_is_refused_at_once_with_the_wait(stage: Stage) -> None:
    """It has not run. The limit, and the wait, go with each reply."""
    stage.target.responses = [OK + LENGTH + LIMIT + BODY]
    first = stage.run(1)
    assert isinstance(first.outcome, Answered)
    assert ("Server-Limit", "2.0") in first.outcome.headers
    assert first.notice is not None
    assert first.notice[:2] == [2.0, False]
    assert first.load is not None
    assert 0.8 * WAIT_MS <= first.load.wait_ms <= WAIT_MS
    second = refused(stage.run(2))
    assert second.reason is Reason.LIMITED
    assert 0.8 * WAIT_MS <= second.retry_after_ms <= WAIT_MS
    asked = stage.sidecar.check(AdmissionCheck.of(attempt(3)))
    assert Reply.from_message(check(asked)).outcome == NotRun(
        Reason.LIMITED, asked["retry_after_ms"]
    )
    assert stage.target.received == ["r-1"]
    assert stage.metrics.get("limit_refusals") == 2


# Guards against a limit that is heard only in answers that are passed on.
@pytest.mark.parametrize(
    "response",
    [
        SHED + LENGTH + LIMIT + BODY,
        OK + b"Content-Length: 90\r\n" + LIMIT + b"\r\nsome",
        OK + b"Content-Encoding: gzip\r\n" + LENGTH + LIMIT + BODY,
        b"HTTP/1.1 500 Error\r\n" + LENGTH + LIMIT + BODY,
    ],
)
def test_every_complete_head_counts(stage: Stage, response: bytes) -> None:
    """Also of a response that is retried, not accepted, or whose body breaks off."""
    stage.target.responses = [response]
    stage.run(1)
    assert stage.sidecar.notices.rate_per_s("i-1@1") == 2.0


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 421 Misdirected\r\n" + LENGTH + LIMIT + LEAVING + BODY,
        OK + b"Instance-Id: i-2\r\n" + LENGTH + LIMIT + LEAVING + BODY,
    ],
)
def test_another_instance_at_the_address_speaks_for_itself(stage: Stage, response: bytes) -> None:
    """Addresses are used again, by other services too."""
    stage.target.responses = [response]
    stage.run(1)
    assert stage.sidecar.notices.row(0.0, "i-1@1") is None


def test_waiting_requests_start_at_the_rate(stage: Stage) -> None:
    """Those that may wait long enough, in their order; one that may not goes elsewhere."""
    stage.target.responses = [OK + LENGTH + LIMIT + BODY]
    stage.run(1)
    named_at = clock.now()
    ended: list[tuple[float, Reply]] = []

    def wait(number: int) -> None:
        reply = stage.run(number, most_wait_ms=2500.0, caller=f"c{number}")
        ended.append((clock.now() - named_at, reply))

    threads = [threading.Thread(target=wait, args=(number,)) for number in (2, 3, 4)]
    for thread in threads:
        thread.start()
    sleep(0.1)
    assert refused(stage.run(5, most_wait_ms=300.0)).reason is Reason.LIMITED
    for thread in threads:
        thread.join()
    assert all(isinstance(reply.outcome, Answered) for _, reply in ended)
    times = sorted(at for at, _ in ended)
    assert times == pytest.approx([0.5, 1.0, 1.5], abs=0.15)


def test_a_response_without_the_limit_ends_it(stage: Stage) -> None:
    """The next requests start at once."""
    stage.target.responses = [OK + LENGTH + LIMIT + BODY, OK + LENGTH + BODY]
    stage.run(1)
    sleep(WAIT_MS / 1000.0)
    for number in range(2, 9):
        assert isinstance(stage.run(number).outcome, Answered)
    last = stage.run(9)
    assert last.notice is not None
    assert last.notice[:2] == [NO_LIMIT, False]


# Guards against a limit that is forgotten with the process that kept it.
def test_an_attempt_brings_the_limit_back_to_a_restarted_sidecar(stage: Stage) -> None:
    """Before it starts; the check that precedes it brings it, too."""
    stage.target.responses = [OK + LENGTH + LIMIT + BODY]
    told = stage.run(1).notice
    stage.restart()
    assert refused(stage.run(2, notice=told)).reason is Reason.LIMITED
    stage.restart()
    asked = AdmissionCheck.from_message(AdmissionCheck.of(attempt(3, notice=told)).to_message())
    assert stage.sidecar.check(asked)["detail"] == "target-limit"
    assert stage.target.received == ["r-1"]


def test_the_limit_survives_changed_settings_of_the_target(stage: Stage) -> None:
    """A new incarnation has named none."""
    stage.target.responses = [OK + LENGTH + LIMIT + BODY]
    stage.run(1)
    stage.sidecar.configure(_fleet(1, slots=4))
    assert refused(stage.run(2)).reason is Reason.LIMITED
    stage.sidecar.configure(_fleet(2))
    assert isinstance(stage.run(3, target="i-1@2").outcome, Answered)


class Interleaved(NoticeTable):
    """Ends a limit in another thread while the first reader of that limit is about to apply it."""

    def __init__(self) -> None:
        super().__init__()
        self.ends: list[threading.Thread] = []

    def rate_per_s(self, target: str) -> float | None:
        rate_per_s = super().rate_per_s(target)
        if rate_per_s is not None and not self.ends:
            now = clock.now()
            end = threading.Thread(target=self.hear, args=(now, target, TargetNotice(), now))
            self.ends.append(end)
            end.start()
            end.join(0.3)
        return rate_per_s


# Guards against a limit that stays for ever, as two threads apply its begin and its end at once.
def test_a_limit_that_ends_while_it_is_applied_ends(stage: Stage) -> None:
    """The last change applies, whichever thread is faster."""
    notices = Interleaved()
    stage.restart(notices)
    notices.hear(clock.now(), "i-1@1", TargetNotice(2.0), clock.now())
    notices.ends[0].join()
    for number in range(4):
        assert isinstance(stage.run(number).outcome, Answered)


def test_a_limit_is_no_evidence_against_its_target(stage: Stage) -> None:
    """Refusals by it neither raise its scores nor trip its circuit breaker."""
    stage.target.responses = [OK + LENGTH + LIMIT + BODY]
    for number in range(50):
        stage.run(number)
    report = stage.sidecar.targets["i-1@1"].report(2)
    assert report.failure_score == report.slow_score == 0.0
    assert report.bad < 0.1


# Guards against new work for a target that says in its responses that it leaves.
def test_a_leaving_target_gets_nothing_new(stage: Stage) -> None:
    """What waits is returned at once as not run, while what runs is answered."""
    stage.target.hold.clear()
    replies: list[Reply] = []
    options = {"most_wait_ms": 2500.0}
    threads = [
        threading.Thread(target=lambda n=n: replies.append(stage.run(n, caller=f"c{n}", **options)))
        for n in range(3)
    ]
    for thread in threads:
        thread.start()
    while len(stage.target.received) < 2 or stage.sidecar.in_flight < 3:
        sleep(0.005)
    stage.target.responses = [OK + LENGTH + LEAVING + BODY]
    stage.sidecar.notices.merge(clock.now(), "i-1@1", [None, True, 0.0], "gossip")
    while not replies:
        sleep(0.005)
    assert refused(replies[0]).reason is Reason.LEAVING
    stage.target.hold.set()
    for thread in threads:
        thread.join()
    assert sum(isinstance(reply.outcome, Answered) for reply in replies) == 2
    stage.sidecar.configure(_fleet(1, slots=3))
    assert refused(stage.run(9)).reason is Reason.LEAVING
    assert len(stage.target.received) == 2


def test_a_restarted_sidecar_is_told_that_its_target_leaves(stage: Stage) -> None:
    """By the first ingress that knows; another incarnation is in service."""
    stage.target.responses = [OK + LENGTH + LEAVING + BODY]
    told = stage.run(1).notice
    stage.restart()
    assert refused(stage.run(2, notice=told)).reason is Reason.LEAVING
    stage.target.responses = [OK + LENGTH + BODY]
    stage.sidecar.configure(_fleet(2))
    assert isinstance(stage.run(3, target="i-1@2").outcome, Answered)


# Guards against a target's own wait that is dropped because it is a fraction of a second.
@pytest.mark.parametrize(
    ("value", "retry_after_ms"),
    [
        (b"2", 2000),
        (b"0.25", 250),
        (b"1.5", 1500),
        (b"soon", RETRY_SOON_MS),
        (b"-1", RETRY_SOON_MS),
        (b"1e9", RETRY_SOON_MS),
        (b"Wed, 21 Oct 2015 07:28:00 GMT", RETRY_SOON_MS),
    ],
)
def test_a_shed_request_carries_the_wait_that_its_target_names(
    stage: Stage, value: bytes, retry_after_ms: int
) -> None:
    """Other values than seconds mean the default."""
    stage.target.responses = [SHED + b"Retry-After: " + value + b"\r\n" + LENGTH + BODY]
    assert refused(stage.run(1)) == NotRun(Reason.SHED, retry_after_ms)


def test_older_nodes_are_sent_a_reason_that_they_know() -> None:
    """They read a message with an unknown reason as a broken connection."""
    message = Reply(NotRun(Reason.LIMITED, 400)).to_message()
    assert message["reason"] == "no-free-slot"
    assert Reply.from_message(check(message)).outcome == NotRun(Reason.LIMITED, 400)
    unknown = {**message, "detail": "not-invented-yet"}
    assert Reply.from_message(check(unknown)).outcome == NotRun(Reason.BUSY, 400)

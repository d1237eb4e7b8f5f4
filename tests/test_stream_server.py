"""The peer stream server goes on accepting after a connection failed, and finishes its replies."""

import random
import threading
import time

import pytest

from roadpass.drain import IDLE_S
from roadpass.errors import ConnectError
from roadpass.message import LoadReport, Message, Reply
from roadpass.outcome import Answered
from roadpass.pause import PauseWatch
from roadpass.settings import Ports, Settings
from roadpass.sidecar import Sidecar
from roadpass.stream import Stream
from roadpass.stream_server import StreamServer
from tests.calling import until

ADDRESS = "127.0.44.1"
HELLO: Message = {"t": "hello", "vm": "vm-2", "incarnation": 1}
LARGE_BYTES = 12_000_000
"""Size of a response that does not fit into the socket buffers between two processes."""


class AnsweringSidecar(Sidecar):
    """Replies to each message with a large, incompressible response."""

    def answer(self, message: Message, age_s: float) -> Message:
        load = LoadReport(0, 0, 1, 0.0, 0.0, 1.0, 1)
        return Reply(Answered(200, [], random.Random(1).randbytes(LARGE_BYTES)), load).to_message()


def test_a_reply_being_written_to_a_peer_is_in_flight() -> None:
    """A node that shuts down waits for the reply, because its target has run the request.

    The target's slot is free by then, so nothing else counts the request; on a slow link writing
    the reply takes seconds.
    """
    settings = Settings("vm-1", "hall", "region", ADDRESS, ADDRESS, Ports(0, 7802, 0, 0), "")
    sidecar = AnsweringSidecar("vm-1", 7, PauseWatch(), pull=dict, behind=lambda *_: None)
    ref = StreamServer.start(settings, sidecar)
    ref.ask("whether it listens")
    stream = Stream.connect((ADDRESS, settings.ports.stream), (), HELLO)
    try:
        assert sidecar.in_flight == 0
        stream.send({"t": "fence", "id": "vm-2/1/1"})
        until(lambda: sidecar.in_flight == 1)
        time.sleep(IDLE_S)
        assert sidecar.in_flight == 1
        assert len(stream.receive(5.0).message["body"]) == LARGE_BYTES
        until(lambda: sidecar.in_flight == 0)
    finally:
        stream.close()
        ref.stop()


def test_accepting_continues_if_a_thread_cannot_be_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only that connection is closed; the next peer is served.

    On a machine that had run out of threads, the accept loop of a node ended with `RuntimeError:
    can't start new thread`, and no peer could open a stream to it any more.
    """
    settings = Settings("vm-1", "hall", "region", ADDRESS, ADDRESS, Ports(0, 7801, 0, 0), "")
    sidecar = Sidecar("vm-1", 7, PauseWatch(), pull=dict, behind=lambda vm, revision: None)
    ref = StreamServer.start(settings, sidecar)
    ref.ask("whether it listens")
    start = threading.Thread.start
    refused: list[threading.Thread] = []

    def start_but_for_the_first(thread: threading.Thread) -> None:
        if thread.name == "stream" and not refused:
            refused.append(thread)
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_but_for_the_first)
    peer = (ADDRESS, settings.ports.stream)
    try:
        with pytest.raises(ConnectError):
            Stream.connect(peer, (), HELLO)
        Stream.connect(peer, (), HELLO).close()
    finally:
        ref.stop()
    assert len(refused) == 1

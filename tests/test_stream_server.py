"""The server of peers' streams: it goes on accepting, whatever becomes of one connection."""

import threading

import pytest

from roadpass.errors import ConnectError
from roadpass.message import Message
from roadpass.pause import PauseWatch
from roadpass.settings import Ports, Settings
from roadpass.sidecar import Sidecar
from roadpass.stream import Stream
from roadpass.stream_server import StreamServer


def test_a_thread_that_cannot_be_started_ends_no_accepting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """That one connection is closed; the next peer is served.

    Seen on a machine whose threads were used up: the accept loop of a node ended with
    `RuntimeError: can't start new thread`, and no peer could open a stream to it any more.
    """
    address = "127.0.44.1"
    settings = Settings("vm-1", "hall", "region", address, address, Ports(0, 7801, 0, 0), "")
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
    hello: Message = {"t": "hello", "vm": "vm-2", "incarnation": 1}
    peer = (address, settings.ports.stream)
    try:
        with pytest.raises(ConnectError):
            Stream.connect(peer, (), hello)
        Stream.connect(peer, (), hello).close()
    finally:
        ref.stop()
    assert len(refused) == 1

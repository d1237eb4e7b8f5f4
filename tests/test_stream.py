"""Streams between nodes: frame ages, keys, time-outs and malformed frames."""

import socket
import struct
import threading
import time

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass import message
from roadpass.errors import FrameError, ReplyTimeoutError, StreamError
from roadpass.stream import Stream

HELLO = {"t": "hello", "vm": "vm-1", "incarnation": 7}
FENCE = {"t": "fence", "id": "a/1/1"}
KEY, OTHER = b"k" * 16, b"o" * 16


def pair(
    client_keys: tuple[bytes, ...] = (), server_keys: tuple[bytes, ...] = ()
) -> tuple[Stream, Stream]:
    """Return both ends of a connected stream."""
    listener = socket.create_server(("127.0.0.1", 0))
    accepted: list[Stream | StreamError] = []

    def accept() -> None:
        try:
            accepted.append(Stream.accept(listener.accept()[0], server_keys, HELLO))
        except StreamError as error:
            accepted.append(error)

    thread = threading.Thread(target=accept)
    thread.start()
    try:
        client = Stream.connect(listener.getsockname(), client_keys, HELLO)
    finally:
        thread.join(5.0)
        listener.close()
    (server,) = accepted
    assert isinstance(server, Stream)
    return client, server


def test_age_of_a_delayed_frame() -> None:
    """A frame that stays unread while the reader is paused has an age."""
    client, server = pair()
    assert client.peer_incarnation == 7
    client.send(FENCE)
    assert server.receive(1.0).age_s < 0.2
    client.send(FENCE)
    time.sleep(0.5)
    assert server.receive(1.0).age_s > 0.4


def test_no_reply_in_time() -> None:
    """Waiting for a frame ends with `ReplyTimeoutError`."""
    client, _server = pair()
    with pytest.raises(ReplyTimeoutError):
        client.receive(0.05)


def test_key_rotation_and_unknown_keys() -> None:
    """Each of two configured keys is accepted; no key or an unknown one is refused."""
    client, server = pair((OTHER, KEY), (KEY, OTHER))
    client.send(FENCE)
    assert server.receive(1.0).message == FENCE
    for keys in ((), (b"x" * 16,)):
        with pytest.raises(StreamError):
            pair(keys, (KEY,))


@given(st.binary(max_size=300))
def test_any_frame_is_a_message_or_a_stream_error(payload: bytes) -> None:
    """No other exception is raised, whatever bytes arrive."""
    one, other = socket.socketpair()
    one.sendall(struct.pack(">I", len(payload)) + payload)
    one.close()
    stream = Stream(other, (), client=False)
    with pytest.raises(StreamError):
        stream.receive(1.0)
    stream.close()


VALUES = st.recursive(
    st.none() | st.integers(-5, 5) | st.text(max_size=3) | st.binary(max_size=3),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=4,
)
KEYS = st.sampled_from(["t", "id", "vm", "incarnation", "news", "n", "sender", "load", "status"])


@given(st.dictionaries(KEYS, VALUES | st.sampled_from(["fence", "hello", "answered", "ping"])))
def test_any_map_is_a_message_or_a_frame_error(value: dict[str, object]) -> None:
    """The schema checks of frames and datagrams raise only `FrameError`."""
    for check in (message.check, message.check_gossip):
        try:
            check(msgpack.unpackb(msgpack.packb(value)))
        except FrameError:
            continue


def test_a_frame_that_is_too_long_is_refused_before_it_is_read() -> None:
    """The length in the header is enough to refuse it."""
    one, other = socket.socketpair()
    one.sendall(struct.pack(">I", 2**31))
    stream = Stream(other, (), client=False)
    with pytest.raises(FrameError, match="too long"):
        stream.receive(1.0)

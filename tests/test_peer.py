"""Pools of streams: a question to a peer is over in its time, whatever the peer does."""

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from roadpass import clock
from roadpass.errors import ConnectError, StreamError
from roadpass.message import Message
from roadpass.peer import Address, PeerPool
from roadpass.stream import MAGIC, NONCE_BYTES, Stream

HELLO: Message = {"t": "hello", "vm": "vm-1", "incarnation": 7}
FENCED: Message = {"t": "fenced", "verdict": "never-starts", "incarnation": 7}
FENCE: Message = {"t": "fence", "id": "a/1/1"}
LIMIT_S = 0.3
SLACK_S = 0.3
"""For threads that are late."""
STALL_S = 2.0


class Written(socket.socket):
    """Stand-in for a socket that only keeps what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.content = b""

    def sendall(self, content: bytes, *_: object) -> None:  # type: ignore[override]
        """Keep it."""
        self.content += content


def frame(message: Message) -> bytes:
    """Return a message as it goes over a stream without keys."""
    written = Written()
    Stream(written, (), client=False).send(message)
    written.close()
    return written.content


@pytest.fixture
def listening() -> Iterator[Callable[[Callable[[socket.socket], None]], Address]]:
    """Return what starts a peer that treats its one connection as told."""
    listeners: list[socket.socket] = []

    def listen(treat: Callable[[socket.socket], None]) -> Address:
        listener = socket.create_server(("127.0.0.1", 0))
        listeners.append(listener)

        def serve() -> None:
            sock, _ = listener.accept()
            with sock:
                treat(sock)

        threading.Thread(target=serve, daemon=True).start()
        host, port = listener.getsockname()
        return host, port

    yield listen
    for listener in listeners:
        listener.close()


def shake_hands(sock: socket.socket) -> None:
    """Take part in the handshake as far as the peer's hello."""
    sock.sendall(MAGIC + b"n" * NONCE_BYTES)
    sock.recv(len(MAGIC) + NONCE_BYTES)


def dribble(sock: socket.socket, content: bytes) -> None:
    """Send a byte at a time, each well within the limit of the whole."""
    for byte in content:
        try:
            sock.sendall(bytes([byte]))
        except OSError:
            return
        time.sleep(LIMIT_S / 3.0)


def half_a_reply(sock: socket.socket) -> None:
    """Say hello, then send half of a reply and no more."""
    shake_hands(sock)
    sock.sendall(frame(HELLO))
    reply = frame(FENCED)
    sock.sendall(reply[: len(reply) // 2])
    time.sleep(STALL_S)


def a_slow_reply(sock: socket.socket) -> None:
    """Say hello, then send a reply byte by byte."""
    shake_hands(sock)
    sock.sendall(frame(HELLO))
    dribble(sock, frame(FENCED))


def half_a_hello(sock: socket.socket) -> None:
    """Send half of the hello and no more."""
    shake_hands(sock)
    hello = frame(HELLO)
    sock.sendall(hello[: len(hello) // 2])
    time.sleep(STALL_S)


def a_slow_greeting(sock: socket.socket) -> None:
    """Send what begins the handshake byte by byte."""
    dribble(sock, MAGIC + b"n" * NONCE_BYTES)


@pytest.mark.parametrize("treat", [half_a_reply, a_slow_reply, half_a_hello, a_slow_greeting])
def test_an_exchange_ends_in_time_wherever_the_peer_stalls(
    listening: Callable[[Callable[[socket.socket], None]], Address],
    treat: Callable[[socket.socket], None],
) -> None:
    """The time that is given is for all of it, not for its first byte or for each."""
    pool = PeerPool(HELLO, ())
    address = listening(treat)
    began = clock.now()
    with pytest.raises(StreamError):
        pool.exchange(address, FENCE, timeout_s=LIMIT_S)
    assert clock.now() - began < LIMIT_S + SLACK_S


@pytest.mark.parametrize("timeout_s", [0.0, -0.2])
def test_a_connection_for_which_no_time_is_left_is_not_made(timeout_s: float) -> None:
    """A process that stood still has none left for some requests: nothing of them was sent."""
    with pytest.raises(ConnectError):
        PeerPool(HELLO, ()).acquire(("127.0.0.1", 1), timeout_s=timeout_s)

"""Stream pools: an exchange ends within its timeout, whatever the peer does."""

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from roadpass import clock
from roadpass.errors import ConnectError, StreamError
from roadpass.message import Message
from roadpass.peer_pool import Address, PeerPool
from roadpass.stream import MAGIC, NONCE_BYTES, Stream

HELLO: Message = {"t": "hello", "vm": "vm-1", "incarnation": 7}
FENCED: Message = {"t": "fenced", "verdict": "never-starts", "incarnation": 7}
FENCE: Message = {"t": "fence", "id": "a/1/1"}
LIMIT_S = 0.3
SLACK_S = 0.3
"""Allowance for thread scheduling."""
STALL_S = 2.0


class RecordingSocket(socket.socket):
    """Stand-in for a socket that only records what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.content = b""

    def sendall(self, content: bytes, *_: object) -> None:  # type: ignore[override]
        """Record the content."""
        self.content += content


def frame(message: Message) -> bytes:
    """Return the bytes of a message on a stream without keys."""
    written = RecordingSocket()
    Stream(written, (), client=False).send(message)
    written.close()
    return written.content


@pytest.fixture
def listening() -> Iterator[Callable[[Callable[[socket.socket], None]], Address]]:
    """Return a function that starts a peer with the given handler for its only connection."""
    listeners: list[socket.socket] = []

    def listen(handle: Callable[[socket.socket], None]) -> Address:
        listener = socket.create_server(("127.0.0.1", 0))
        listeners.append(listener)

        def serve() -> None:
            sock, _ = listener.accept()
            with sock:
                handle(sock)

        threading.Thread(target=serve, daemon=True).start()
        host, port = listener.getsockname()
        return host, port

    yield listen
    for listener in listeners:
        listener.close()


def do_handshake(sock: socket.socket) -> None:
    """Perform the handshake up to the hello messages."""
    sock.sendall(MAGIC + b"n" * NONCE_BYTES)
    sock.recv(len(MAGIC) + NONCE_BYTES)


def send_slowly(sock: socket.socket, content: bytes) -> None:
    """Send one byte at a time, each well within the timeout of the whole exchange."""
    for byte in content:
        try:
            sock.sendall(bytes([byte]))
        except OSError:
            return
        time.sleep(LIMIT_S / 3.0)


def send_half_a_reply(sock: socket.socket) -> None:
    """Send a hello and then only half of a reply."""
    do_handshake(sock)
    sock.sendall(frame(HELLO))
    reply = frame(FENCED)
    sock.sendall(reply[: len(reply) // 2])
    time.sleep(STALL_S)


def send_reply_slowly(sock: socket.socket) -> None:
    """Send a hello and then a reply byte by byte."""
    do_handshake(sock)
    sock.sendall(frame(HELLO))
    send_slowly(sock, frame(FENCED))


def send_half_a_hello(sock: socket.socket) -> None:
    """Send only half of the hello."""
    do_handshake(sock)
    hello = frame(HELLO)
    sock.sendall(hello[: len(hello) // 2])
    time.sleep(STALL_S)


def send_handshake_slowly(sock: socket.socket) -> None:
    """Send the start of the handshake byte by byte."""
    send_slowly(sock, MAGIC + b"n" * NONCE_BYTES)


@pytest.mark.parametrize(
    "handle", [send_half_a_reply, send_reply_slowly, send_half_a_hello, send_handshake_slowly]
)
def test_an_exchange_ends_in_time_wherever_the_peer_stalls(
    listening: Callable[[Callable[[socket.socket], None]], Address],
    handle: Callable[[socket.socket], None],
) -> None:
    """The timeout covers the whole exchange, not the first byte or each byte."""
    pool = PeerPool(HELLO, ())
    address = listening(handle)
    started_at = clock.now()
    with pytest.raises(StreamError):
        pool.exchange(address, FENCE, timeout_s=LIMIT_S)
    assert clock.now() - started_at < LIMIT_S + SLACK_S


@pytest.mark.parametrize("timeout_s", [0.0, -0.2])
def test_no_connection_is_made_if_no_time_is_left(timeout_s: float) -> None:
    """A process that was paused may find requests past their deadline: nothing of them is sent."""
    with pytest.raises(ConnectError):
        PeerPool(HELLO, ()).acquire(("127.0.0.1", 1), timeout_s=timeout_s)

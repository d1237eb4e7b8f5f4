"""HTTP to a target that answers badly: a whole answer or an error, never a part."""

import socket
import threading
from collections.abc import Iterator

import pytest

from roadpass.errors import TargetError, TargetRefusedError
from roadpass.outcome import Answered
from roadpass.target import TargetClient, TargetTimeoutError

OK = b"HTTP/1.1 200 OK\r\n"


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Return a listening socket that the test answers on."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening


def ask(listener: socket.socket, answer: bytes | None, timeout_s: float = 2.0) -> Answered:
    """Send a request to a target that answers with some bytes and closes, or not at all."""
    held: list[socket.socket] = []

    def serve() -> None:
        sock, _ = listener.accept()
        sock.recv(65536)
        if answer is None:
            held.append(sock)
            return
        sock.sendall(answer)
        sock.close()

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    client = TargetClient(f"{host}:{port}")
    return client.send("a/1/1", "GET", "/x", [], b"", timeout_s=timeout_s, fresh=True)


def test_whole_answers(listener: socket.socket) -> None:
    """With a length, and in chunks."""
    got = ask(listener, OK + b"Content-Length: 2\r\nX-A: b\r\nRoadpass-Outcome: lie\r\n\r\nhi")
    assert (got.status, got.body, got.headers) == (200, b"hi", [("X-A", "b")])
    got = ask(listener, OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
    assert got.body == b"hi"


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"nonsense\r\n\r\n",
        OK + b"Content-Length: 5\r\n\r\nhi",
        OK + b"Content-Length: five\r\n\r\nhi",
        OK + b"Content-Length: 99999999999\r\n\r\nhi",
        OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        OK + b"\r\nno length at all",
        OK + b"Content-Length: 2",
    ],
)
def test_anything_else_is_an_error(listener: socket.socket, answer: bytes) -> None:
    """Cut, malformed, or without an end that can be told."""
    with pytest.raises(TargetError):
        ask(listener, answer)


def test_no_answer_and_no_connection(listener: socket.socket) -> None:
    """A timeout may have run; a refused connection cannot have."""
    with pytest.raises(TargetTimeoutError):
        ask(listener, None, timeout_s=0.2)
    client = TargetClient("127.0.0.1:1")
    with pytest.raises(TargetRefusedError):
        client.send("a/1/1", "GET", "/x", [], b"", timeout_s=1.0, fresh=False)

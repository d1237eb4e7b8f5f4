"""The watch over a caller's connection while its request is under way."""

import socket

import h11

MAX_AHEAD_BYTES = 256 * 1024
"""Bytes kept of requests that come before their turn; bounds the memory of a connection."""
READ_BYTES = 64 * 1024
"""Bytes asked for by one read; large enough that most requests come in one."""


class SocketWatch:
    """Tells whether a caller has left; keeps what it sends in the meantime for later.

    Args:
        sock: The caller's, not blocking.
        codec: Takes in the bytes that come.
    """

    def __init__(self, sock: socket.socket, codec: h11.Connection) -> None:
        self._sock = sock
        self._codec = codec
        self._ahead = len(codec.trailing_data[0])
        self._gone = False

    @property
    def watchable(self) -> bool:
        """Whether polling `fileno` for input can still tell anything new."""
        return not self._gone and self._ahead < MAX_AHEAD_BYTES

    @property
    def was_gone(self) -> bool:
        """Whether the caller was found to have closed."""
        return self._gone

    def fileno(self) -> int:
        """Return the descriptor of the caller's connection."""
        return self._sock.fileno()

    def gone(self) -> bool:
        """Take in what has come, without waiting, and tell whether the caller has closed."""
        while self.watchable:
            try:
                data = self._sock.recv(min(READ_BYTES, MAX_AHEAD_BYTES - self._ahead))
            except BlockingIOError:
                break
            except OSError:
                data = b""
            if data:
                self._ahead += len(data)
                self._codec.receive_data(data)
            else:
                self._gone = True
        return self._gone

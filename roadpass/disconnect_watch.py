"""Detects that a caller has disconnected while its request is in progress."""

import socket

import h11

MAX_AHEAD_BYTES = 256 * 1024
"""Maximum bytes buffered for pipelined requests; bounds the memory used by a connection."""
READ_BYTES = 64 * 1024
"""Size of one read; large enough for most requests to arrive in one."""


class SocketWatch:
    """Detects a disconnect of the caller; buffers what it sends meanwhile for later.

    Args:
        sock: The caller's socket, non-blocking.
        codec: Receives the bytes that arrive.
    """

    def __init__(self, sock: socket.socket, codec: h11.Connection) -> None:
        self._sock = sock
        self._codec = codec
        self._ahead = len(codec.trailing_data[0])
        self._gone = False

    @property
    def watchable(self) -> bool:
        """Whether polling `fileno` for input can still reveal a change."""
        return not self._gone and self._ahead < MAX_AHEAD_BYTES

    @property
    def was_gone(self) -> bool:
        """Whether an earlier call of `gone` found the connection closed."""
        return self._gone

    def fileno(self) -> int:
        """Return the file descriptor of the caller's connection, -1 once it is closed."""
        return self._sock.fileno()

    def gone(self) -> bool:
        """Read what has arrived, without waiting, and return whether the caller has closed."""
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

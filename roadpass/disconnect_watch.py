"""Detects that a caller has disconnected while its request is in progress."""

import socket

import h11

from roadpass.byte_gate import current

MAX_AHEAD_BYTES = 256 * 1024
"""Maximum bytes buffered for pipelined requests; bounds the memory used by a connection."""
READ_BYTES = 64 * 1024
"""Size of one read; large enough for most requests to arrive in one."""


class SocketWatch:
    """Detects a disconnect of the caller; buffers what it sends meanwhile for later.

    Args:
        sock: The caller's socket, non-blocking.
        codec: Receives the bytes that arrive.
        ahead: Bytes behind the request that were received with it.
    """

    def __init__(self, sock: socket.socket, codec: h11.Connection, *, ahead: int = 0) -> None:
        self._sock = sock
        self._codec = codec
        self._kept = current()
        self._ahead = 0
        self._is_full = False
        self._gone = False
        self._keep_ahead(ahead)

    @property
    def watchable(self) -> bool:
        """Whether polling `fileno` for input can still reveal a change."""
        return not (self._gone or self._is_full) and self._ahead < MAX_AHEAD_BYTES

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
                self._keep_ahead(len(data))
                self._codec.receive_data(data)
            else:
                self._gone = True
        return self._gone

    def _keep_ahead(self, size: int) -> None:
        """Account for bytes of later requests; read no more of them once there is no memory."""
        self._ahead += size
        if self._kept is not None and size:
            self._is_full = not self._kept.add(size)

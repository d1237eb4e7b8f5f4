"""Streams between nodes: packed frames of limited length over TCP, with an age and a keyed MAC.

A connection carries one exchange at a time. Each frame contains the time of its sender's clock, see
`roadpass.clock`. The smallest difference from the receiver's clock seen on the connection is taken
as the transit time of an undelayed frame; the amount by which a frame exceeds it is its age.
"""

import hmac
import secrets
import select
import socket
import struct
from collections.abc import Sequence
from typing import NamedTuple

from roadpass import clock
from roadpass.body_source import watched_events
from roadpass.errors import ConnectError, FrameError, ReplyTimeoutError, StreamError
from roadpass.message import Message, check
from roadpass.packing import LEVEL, pack
from roadpass.request import CallerWatch
from roadpass.stream_frame import is_readable, keep_bytes, unpack_frame

MAGIC = b"RPS2"
NONCE_BYTES = 16
MAC_BYTES = 16
MAX_FRAME_BYTES = 16 * 1024 * 1024
HELLO_LIMIT_S = 1.0
"""Handshake timeout. The handshake's delay bounds the error of a frame's age."""
FRAME_LIMIT_S = 10.0
"""Timeout for writing a frame, and for reading one from its first byte to its last where no request
waits for it: 16 MB take that long on a link of 13 Mbit/s."""
READ_MIN_S = 0.001
"""Minimum socket timeout, so that data that has already arrived is read after the deadline."""
READ_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 256 * 1024
"""Size of the kernel's receive buffer, whose bytes are in memory while nobody reads them."""
_HEADER = struct.Struct(">I")
_SEQUENCE = struct.Struct(">Q")
_NS = 1e9


class Received(NamedTuple):
    """A checked message and its age in seconds, which excludes the normal transit time."""

    message: Message
    age_s: float


class CallerDisconnectedError(StreamError):
    """The caller disconnected before the reply arrived."""


class Stream:
    """One authenticated connection after its handshake.

    Args:
        sock: Connected socket; the stream takes ownership of it.
        keys: The first one signs, all are accepted; empty for no MAC.
        client: Whether this side opened the connection.

    Attributes:
        extended_deadline: Clock seconds until which to wait for the first byte of a frame, even
            past the timeout of the read.
        takes_parts: Whether the peer has said that it takes a body in parts.
        byte_count: Bytes of frames sent and received since it was last reset to zero.
    """

    def __init__(self, sock: socket.socket, keys: Sequence[bytes], *, client: bool) -> None:
        self._sock = sock
        self._keys = keys
        self._client = client
        self._nonce = b""
        self._sent = 0
        self._received = 0
        self._transit_ns: int | None = None
        self._buffer = bytearray()
        self.peer_incarnation = 0
        self.idle_since = 0.0
        self.extended_deadline = 0.0
        self.takes_parts = False
        self.byte_count = 0

    @classmethod
    def connect(
        cls,
        address: tuple[str, int],
        keys: Sequence[bytes],
        hello: Message,
        *,
        timeout_s: float = HELLO_LIMIT_S,
        source: str = "",
    ) -> "Stream":
        """Open a connection and exchange hellos.

        Args:
            address: IP address and port.
            keys: See the class.
            hello: This node's hello message.
            timeout_s: Timeout for connecting and the handshake together.
            source: IP address to connect from, empty for any.

        Raises:
            ConnectError: The peer could not be reached in time; nothing but the hello was sent.
        """
        limit = min(timeout_s, HELLO_LIMIT_S)
        if limit <= 0.0:
            raise ConnectError(f"Deadline passed before connecting to {address[0]}:{address[1]}.")
        deadline = clock.now() + limit
        try:
            sock = socket.create_connection(
                address, timeout=limit, source_address=(source, 0) if source else None
            )
        except OSError as error:
            raise ConnectError(f"Cannot connect to {address[0]}:{address[1]}: {error}.") from error
        stream = cls(sock, keys, client=True)
        try:
            stream._handshake(deadline)
            stream.send(hello, timeout_s=deadline - clock.now())
            reply = stream.receive(deadline - clock.now()).message
        except (StreamError, OSError) as error:
            stream.close()
            raise ConnectError(f"No handshake with {address[0]}:{address[1]}: {error}.") from error
        if reply["t"] != "hello":
            stream.close()
            raise ConnectError(f"{address[0]}:{address[1]} did not send a hello message.")
        stream.peer_incarnation = reply["incarnation"]
        return stream

    @classmethod
    def accept(cls, sock: socket.socket, keys: Sequence[bytes], hello: Message) -> "Stream":
        """Perform the server side of the handshake on an accepted socket.

        Raises:
            StreamError: The peer does not use this protocol or lacks the key, or is too slow.
        """
        stream = cls(sock, keys, client=False)
        deadline = clock.now() + HELLO_LIMIT_S
        try:
            stream._handshake(deadline)
            first = stream.receive(deadline - clock.now()).message
            if first["t"] != "hello":
                raise FrameError("The first frame is not a hello message.")
            stream.send(hello, timeout_s=deadline - clock.now())
        except OSError as error:
            stream.close()
            raise StreamError(f"The handshake failed: {error}.") from error
        except StreamError:
            stream.close()
            raise
        return stream

    @property
    def reusable(self) -> bool:
        """Whether the connection is open and has no unsolicited data to read."""
        if self._buffer:
            return False
        return not is_readable(self._sock, 0.0)

    def fileno(self) -> int:
        """Return the descriptor of the connection, -1 once it is closed."""
        return self._sock.fileno()

    def frame(self, message: Message, level: int = LEVEL) -> bytes:
        """Return the frame of a message, which must be the next that is sent.

        Args:
            message: Content of the frame.
            level: Level of its compression, see `pack`.

        Raises:
            FrameError: The frame is too long.
        """
        payload = pack((clock.now_ns(), message), level)
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError("The frame to send is too long.")
        mac = self._mac(self._keys[0], self._client, self._sent, payload) if self._keys else b""
        self._sent += 1
        return _HEADER.pack(len(payload) + len(mac)) + payload + mac

    def send_some(self, data: memoryview) -> int:
        """Send part of a frame without waiting; return the number of bytes.

        Raises:
            StreamError: The connection was lost.
        """
        try:
            self._sock.settimeout(0.0)
            sent = self._sock.send(data) if data else 0
        except BlockingIOError:
            return 0
        except OSError as error:
            raise StreamError(f"Sending a frame failed: {error}.") from error
        self.byte_count += sent
        return sent

    def poll_frame(self, most: int) -> Message | None:
        """Return the next message without waiting, `None` if its frame is not complete.

        Args:
            most: Most bytes of the frame.

        Raises:
            StreamError: The connection was lost or the frame is invalid.
        """
        self._sock.settimeout(0.0)
        while True:
            frame = self._buffered_frame(most)
            if frame is not None:
                self.byte_count += _HEADER.size + len(frame)
                return self._open(frame).message
            try:
                chunk = self._sock.recv(READ_BYTES)
            except BlockingIOError:
                return None
            except OSError as error:
                raise StreamError(f"The connection was lost: {error}.") from error
            if not chunk:
                raise StreamError("The peer closed the connection.")
            self._buffer += chunk

    def _buffered_frame(self, most: int) -> bytes | None:
        if len(self._buffer) < _HEADER.size:
            return None
        (length,) = _HEADER.unpack(self._buffer[: _HEADER.size])
        if length > most:
            raise FrameError("The received frame is too long.")
        if len(self._buffer) < _HEADER.size + length:
            return None
        frame = bytes(self._buffer[_HEADER.size : _HEADER.size + length])
        del self._buffer[: _HEADER.size + length]
        return frame

    def limit_send_buffer(self, size: int) -> None:
        """Have the kernel keep only so many bytes for the peer, instead of up to megabytes."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def end_sending(self) -> None:
        """Shut down the sending side, behind everything that was sent."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def drop_received(self, wait_s: float) -> bool:
        """Drop received bytes; return `False` once the connection has ended or nothing comes."""
        self._buffer.clear()
        try:
            self._sock.settimeout(max(READ_MIN_S, wait_s))
            return bool(self._sock.recv(READ_BYTES))
        except OSError:
            return False

    def send(self, message: Message, *, timeout_s: float = FRAME_LIMIT_S) -> None:
        """Write one frame.

        Args:
            message: Content of the frame.
            timeout_s: Timeout for writing the whole frame.

        Raises:
            FrameError: The frame is too long; nothing was sent.
            StreamError: Sending failed; part of the frame may have been written.
        """
        frame = self.frame(message)
        try:
            self._sock.settimeout(max(READ_MIN_S, timeout_s))
            self._sock.sendall(frame)
            self.byte_count += len(frame)
        except OSError as error:
            raise StreamError(f"Sending a frame failed: {error}.") from error

    def receive(
        self, timeout_s: float, *, caller: CallerWatch | None = None, frame_timeout_s: float = 0.0
    ) -> Received:
        """Wait for one frame.

        Args:
            timeout_s: Timeout for the whole frame: an actor must not block because a peer, or the
                network path from it, stalls in the middle of a frame.
            caller: Reports when the caller has disconnected, which ends the wait for the first
                byte.
            frame_timeout_s: Time allowed from the first byte to the last, if that ends later.

        Raises:
            ReplyTimeoutError: The frame did not arrive in time.
            CallerDisconnectedError: The caller closed its connection.
            StreamError: The connection was lost or the frame is invalid.
        """
        deadline = clock.now() + timeout_s
        if not self._buffer:
            self._await_data(timeout_s, caller)
        deadline = max(deadline, clock.now() + frame_timeout_s)
        try:
            header = self._read(_HEADER.size, deadline)
            (length,) = _HEADER.unpack(header)
            if length > MAX_FRAME_BYTES + MAC_BYTES:
                raise FrameError("The received frame is too long.")
            keep_bytes(length, deadline if self._client else 0.0)
            frame = self._read(length, deadline)
            self.byte_count += _HEADER.size + length
        except TimeoutError as error:
            raise ReplyTimeoutError("The frame was not received completely in time.") from error
        except OSError as error:
            raise StreamError(f"The connection was lost: {error}.") from error
        return self._open(frame)

    def close(self) -> None:
        """Close the connection; the stream cannot be used afterwards."""
        self._sock.close()

    def shutdown(self) -> None:
        """Shut the connection down, which wakes a thread that waits on it."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _handshake(self, deadline: float) -> None:
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.settimeout(max(READ_MIN_S, deadline - clock.now()))
        own = secrets.token_bytes(NONCE_BYTES)
        self._sock.sendall(MAGIC + own)
        greeting = self._read(len(MAGIC) + NONCE_BYTES, deadline)
        if not greeting.startswith(MAGIC):
            raise FrameError("The peer uses another protocol or version.")
        theirs = greeting[len(MAGIC) :]
        self._nonce = own + theirs if self._client else theirs + own

    def _await_data(self, timeout_s: float, caller: CallerWatch | None) -> None:
        deadline = clock.now() + timeout_s
        while True:
            left = min(clock.STEP_S, max(deadline, self.extended_deadline) - clock.now())
            poller = select.poll()
            poller.register(self._sock, select.POLLIN)
            if caller is not None and caller.watchable:
                poller.register(caller.fileno(), watched_events(caller))
            ready = {fd for fd, _ in poller.poll(max(0.0, left) * 1000.0)}
            if self._sock.fileno() in ready:
                return
            if caller is not None and ready:
                if caller.gone():
                    raise CallerDisconnectedError("The caller closed its connection.")
            elif not ready and clock.now() >= max(deadline, self.extended_deadline):
                raise ReplyTimeoutError("The peer did not reply in time.")

    def _read(self, size: int, deadline: float) -> bytes:
        while len(self._buffer) < size:
            self._sock.settimeout(max(READ_MIN_S, deadline - clock.now()))
            chunk = self._sock.recv(max(READ_BYTES, size - len(self._buffer)))
            if not chunk:
                raise StreamError("The peer closed the connection.")
            self._buffer += chunk
            if len(self._buffer) < size and clock.now() >= deadline:
                raise ReplyTimeoutError("The frame was not received completely in time.")
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _open(self, frame: bytes) -> Received:
        payload = frame
        if self._keys:
            payload, mac = frame[:-MAC_BYTES], frame[-MAC_BYTES:]
            if not self._authentic(payload, mac):
                raise FrameError("The frame's MAC matches none of the keys.")
        self._received += 1
        sent_ns, message = unpack_frame(payload)
        difference = clock.now_ns() - sent_ns
        if self._transit_ns is None or difference < self._transit_ns:
            self._transit_ns = difference
        received = Received(check(message), (difference - self._transit_ns) / _NS)
        body = received.message.get("body", b"")
        if isinstance(body, bytes) and len(body) > len(frame):  # it was compressed
            keep_bytes(len(body) - len(frame), 0.0)
        return received

    def _authentic(self, payload: bytes, mac: bytes) -> bool:
        expected = (self._mac(key, not self._client, self._received, payload) for key in self._keys)
        return any(hmac.compare_digest(mac, one) for one in expected)

    def _mac(self, key: bytes, from_client: bool, sequence: int, payload: bytes) -> bytes:
        side = b"c" if from_client else b"s"
        content = self._nonce + side + _SEQUENCE.pack(sequence) + payload
        return hmac.digest(key, content, "sha256")[:MAC_BYTES]

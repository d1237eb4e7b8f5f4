"""Connection pool for streams to other nodes."""

import threading
from collections.abc import Sequence
from typing import TypeAlias

from roadpass import clock
from roadpass.errors import StreamError
from roadpass.message import Message
from roadpass.stream import Stream

Address: TypeAlias = tuple[str, int]

IDLE_LIMIT_S = 8.0
"""Shorter than the time that a node waits for the next frame, so that the client closes first. Each
idle stream occupies a thread of the peer; a new one costs three round trips, which are milliseconds
within a region."""
MAX_IDLE = 16


class PeerPool:
    """Idle streams by address; each stream serves one exchange at a time. Thread-safe.

    Args:
        hello: This node's hello message.
        keys: Keys for the MAC of frames.
        source: IP address to connect from, empty for any.
    """

    def __init__(self, hello: Message, keys: Sequence[bytes], *, source: str = "") -> None:
        self._hello = hello
        self._keys = keys
        self._source = source
        self._idle: dict[Address, list[Stream]] = {}
        self._lock = threading.Lock()

    def acquire(self, address: Address, *, timeout_s: float) -> Stream:
        """Take an idle stream from the pool or open a new one.

        Raises:
            ConnectError: The peer could not be reached.
        """
        while True:
            with self._lock:
                idle = self._idle.get(address)
                stream = idle.pop() if idle else None
            if stream is None:
                return Stream.connect(
                    address,
                    self._keys,
                    self._hello,
                    timeout_s=timeout_s,
                    source=self._source,
                )
            if clock.now() - stream.idle_since < IDLE_LIMIT_S and stream.reusable:
                return stream
            stream.close()

    def drop(self, address: Address) -> None:
        """Close the idle streams to a node: one became unresponsive, and the others may be too."""
        with self._lock:
            streams = self._idle.pop(address, [])
        for stream in streams:
            stream.close()

    def release(self, address: Address, stream: Stream) -> None:
        """Return a stream to the pool after a complete exchange."""
        stream.idle_since = clock.now()
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE:
                idle.append(stream)
                return
        stream.close()

    def exchange(
        self, address: Address, message: Message, *, timeout_s: float, frame_timeout_s: float = 0.0
    ) -> Message:
        """Send one message and return the reply.

        Args:
            address: Of the peer.
            message: The message to send.
            timeout_s: Timeout of the whole exchange, including the connection.
            frame_timeout_s: Timeout from the reply's first byte to its last, if that is longer.

        Raises:
            StreamError: No complete reply came in time.
        """
        deadline = clock.now() + timeout_s
        stream = self.acquire(address, timeout_s=timeout_s)
        try:
            stream.send(message, timeout_s=deadline - clock.now())
            left_s = max(0.0, deadline - clock.now())
            reply = stream.receive(left_s, frame_timeout_s=frame_timeout_s).message
        except StreamError:
            stream.close()
            raise
        self.release(address, stream)
        return reply

    def expire(self) -> None:
        """Close streams that have been idle for longer than the limit; call it regularly."""
        limit = clock.now() - IDLE_LIMIT_S
        stale: list[Stream] = []
        with self._lock:
            for address in list(self._idle):
                streams = self._idle[address]
                stale += [s for s in streams if s.idle_since < limit]
                fresh = [s for s in streams if s.idle_since >= limit]
                if fresh:
                    self._idle[address] = fresh
                else:
                    del self._idle[address]
        for stream in stale:
            stream.close()

    def close(self) -> None:
        """Close all idle streams."""
        with self._lock:
            streams = [stream for idle in self._idle.values() for stream in idle]
            self._idle.clear()
        for stream in streams:
            stream.close()

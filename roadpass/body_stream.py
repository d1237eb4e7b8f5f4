"""Uploads on their way: from the caller's connection, over a stream, to the sidecar of a target.

Each side takes a part only when the part before it has been sent, so a target that reads slowly
slows its caller down, and a node keeps `UPLOAD_BYTES` of a body of any size.
"""

import select
import socket

import h11

from roadpass import clock
from roadpass.body_source import (
    BUFFER_BYTES,
    PART_BYTES,
    BodyBrokenError,
    BodySource,
    is_closed,
    step_s,
)
from roadpass.byte_gate import NoBytesError
from roadpass.disconnect_watch import SocketWatch
from roadpass.errors import FrameError, StreamError
from roadpass.message import Attempt, Message
from roadpass.packing import LEVEL, STORED
from roadpass.stream import CallerDisconnectedError, Stream

CALLER_STALL_S = 5.0
"""Seconds without a byte of a caller after which its upload is given up; a lost packet is sent
again several times in them."""
COMPRESSIBLE_SHARE = 0.9
"""A part that does not get shorter than this has the next ones sent as they are: compressing 64 KB
of random data takes 10 ms, storing them 0.02 ms."""
DROP_S = 1.0
"""Seconds in which a sidecar drops the rest of a body after an early reply. The ingress closes the
stream once it has the reply; closing before that would reset the connection and lose it."""


GO_ON: Message = {"t": "accepted"}
"""Asks an ingress for the body of the attempt that it has sent."""


class CallerBody(SocketWatch, BodySource):
    """The body that a caller sends, taken from its connection.

    Args:
        sock: The caller's socket, non-blocking.
        codec: Has parsed the head, and may have received a part of the body.
        length: Length of the body, `None` if it is chunked.
        max_bytes: Most bytes of a chunked body.
        received: The part of the body that was read already.

    Attributes:
        compressible: Whether its parts are compressed between nodes.
        error: Why it will not be complete, empty if that is not known.
    """

    def __init__(
        self,
        sock: socket.socket,
        codec: h11.Connection,
        length: int | None,
        max_bytes: int,
        received: bytes = b"",
    ) -> None:
        SocketWatch.__init__(self, sock, codec)
        BodySource.__init__(self)
        self._length = length
        self._max_bytes = max_bytes
        self._received = 0
        self._stalled_since: float | None = None
        self._rest = received
        self.compressible = True
        self.error = ""

    @property
    def length(self) -> int | None:
        """The length of the body, `None` if it is not known before its end."""
        return self._length

    @property
    def size(self) -> int:
        """Length of the body as far as it is known."""
        return self._received if self._length is None else self._length

    @property
    def received(self) -> int:
        """Bytes of the body taken so far."""
        return self._received

    @property
    def watchable(self) -> bool:
        """Whether polling `fileno` can reveal anything new."""
        return not self._gone if not self.complete else super().watchable

    def gone(self) -> bool:
        """Return whether the caller has closed; reads ahead only behind the end of the body."""
        if self.complete:
            return super().gone()
        if not self._gone and is_closed(self.fileno()):
            self._gone = True
            self._broken("The caller closed its connection.")
        return self._gone

    def events(self, *, wanted: bool) -> int:
        """Return the events to poll `fileno` for; nothing is expected of the caller unless wanted.

        Args:
            wanted: Whether the next part can be sent on at once.
        """
        if not wanted and self._kept is not None:
            self._kept.expect_none()
        if not wanted:
            self._stalled_since = None
        if self.complete:
            return select.POLLIN if self.watchable else select.POLLRDHUP
        return select.POLLRDHUP | (select.POLLIN if wanted else 0)

    def next_part(self) -> bytes | None:
        """Return the next part without waiting, empty at the end, `None` if none has arrived.

        Raises:
            BodyBrokenError: The body will not be complete.
        """
        if self._rest:
            return self._split(self._rest)
        while not self.complete:
            try:
                event = self._codec.next_event()
            except h11.RemoteProtocolError as error:
                raise self._broken(f"The body is malformed: {error}.") from error
            if isinstance(event, h11.Data):
                return self._split(bytes(event.data))
            if isinstance(event, h11.EndOfMessage):
                self._finish()
            elif not self._receive():
                return None
        return b""

    def read_whole(self, until: float) -> bytes:
        """Read the complete body and keep it, for a sidecar that takes no parts.

        Args:
            until: Clock seconds.

        Raises:
            BodyBrokenError: The body will not be complete in time, or cannot be kept.
        """
        body = bytearray()
        while not self.complete:
            part = self.next_part()
            if part is None:
                self._wait(until)
                continue
            self._keep(len(part))
            body += part
        self.whole = bytes(body)
        self.passed_on = False
        return self.whole

    def _broken(self, error: str) -> BodyBrokenError:
        """Record why the body will not be complete."""
        self.error = error
        return BodyBrokenError(error)

    def _split(self, data: bytes) -> bytes:
        """Return the first part of data, of which more may have come with an earlier request."""
        self._rest = data[PART_BYTES:]
        return self._taken(data[:PART_BYTES])

    def _taken(self, part: bytes) -> bytes:
        self._received += len(part)
        self._stalled_since = None
        self.passed_on = True
        if self._received > self._max_bytes:
            raise self._broken("The body is too long.")
        return part

    def _finish(self) -> None:
        self.complete = True
        self._keep_ahead(len(self._codec.trailing_data[0]))
        if self._kept is not None:
            self._kept.expect_none()

    def _receive(self) -> bool:
        """Pass received bytes to the codec; return whether there were any."""
        if self._codec.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
            self._sock.send(self._codec.send(interim) or b"")
        try:
            data = self._sock.recv(PART_BYTES)
        except BlockingIOError:
            self._check_stall()
            return False
        except OSError:
            data = b""
        if not data:
            self._gone = True
            raise self._broken("The caller closed its connection.")
        if self._kept is not None:
            self._kept.record_progress(len(data))
        self._codec.receive_data(data)
        return True

    def _check_stall(self) -> None:
        now = clock.now()
        if self._kept is not None and not self._kept.expects_caller:
            self._kept.expect_caller()
        if self._stalled_since is None:
            self._stalled_since = now
        elif now - self._stalled_since >= CALLER_STALL_S:
            raise self._broken("The caller stopped sending.")

    def _wait(self, until: float) -> None:
        left_s = until - clock.now()
        if left_s <= 0.0:
            raise self._broken("The body did not arrive in time.")
        poller = select.poll()
        poller.register(self.fileno(), self.events(wanted=True))
        poller.poll(min(clock.STEP_S, left_s) * 1000.0)

    def _keep(self, size: int) -> None:
        if self._kept is None:
            return
        try:
            self._kept.take(size)
        except NoBytesError as error:
            raise self._broken(f"The body cannot be kept: {error}") from error


class FrameBody(BodySource):
    """The body that an ingress sends on a stream, part by part behind its attempt.

    It is asked for once the target is connected; until then the request may go elsewhere.

    Args:
        stream: The stream, of which the attempt was just read.
        length: Length of the body, `None` if it is not known before its end.
    """

    def __init__(self, stream: Stream, length: int | None) -> None:
        super().__init__()
        self._stream = stream
        self._length = length
        self._asked = False

    @classmethod
    def of(cls, stream: Stream, message: Message) -> "FrameBody | None":
        """Return the body that follows a message, `None` if none does."""
        if message["t"] != "attempt" or not message.get("body_follows", False):
            return None
        return cls(stream, message.get("body_length"))

    @property
    def length(self) -> int | None:
        """The length of the body, `None` if it is not known before its end."""
        return self._length

    @property
    def watchable(self) -> bool:
        """Whether polling `fileno` can reveal anything new."""
        return self.fileno() >= 0

    def fileno(self) -> int:
        """Return the descriptor of the stream."""
        return self._stream.fileno()

    def gone(self) -> bool:
        """Return whether the ingress has closed the stream: it does not wait for the reply."""
        return is_closed(self.fileno())

    def events(self, *, wanted: bool) -> int:
        """Return the events to poll `fileno` for.

        Args:
            wanted: Whether the next part can be sent on at once.
        """
        return select.POLLRDHUP | (select.POLLIN if wanted and not self.complete else 0)

    def next_part(self) -> bytes | None:
        """Return the next part without waiting, empty at the end, `None` if none has arrived.

        Raises:
            BodyBrokenError: The body will not be complete.
        """
        if self.complete:
            return b""
        try:
            if not self._asked:
                self._asked = True
                self._stream.send(GO_ON)
            message = self._stream.poll_frame(2 * PART_BYTES)
            return None if message is None else self._part(message)
        except StreamError as error:
            raise BodyBrokenError(f"The stream broke within the body: {error}") from error

    def drop_rest(self) -> None:
        """Read and drop what still comes, until the ingress closes the stream."""
        until = clock.now() + DROP_S
        self._stream.end_sending()
        while (left_s := until - clock.now()) > 0.0 and self._stream.drop_received(left_s):
            pass

    def _part(self, message: Message) -> bytes:
        if message["t"] != "body_part" or not isinstance(message["data"], bytes):
            raise FrameError("The stream has something else than a part of the body.")
        if len(message["data"]) > PART_BYTES:
            raise FrameError("The part of the body is too long.")
        self.complete = message["end"]
        if message["data"]:
            self.passed_on = True
        return bytes(message["data"])


def with_body(attempt: Attempt, body: CallerBody) -> Attempt:
    """Return an attempt with the body that is kept whole, or one whose body follows."""
    if body.whole is not None:
        return attempt._replace(body=body.whole, body_follows=False, body_length=None)
    return attempt._replace(body_follows=True, body_length=body.length)


def send_body(stream: Stream, body: CallerBody, until: float) -> bool:
    """Send a body that was asked for on a stream; return whether all of it was sent.

    It ends early once anything is received on the stream: a reply, or its end.

    Args:
        stream: On which the attempt was sent.
        body: The body.
        until: Clock seconds after which no more is sent.

    Raises:
        CallerDisconnectedError: The body will not be complete, as its caller left or stalled.
        StreamError: The connection was lost.
    """
    stream.limit_send_buffer(BUFFER_BYTES)
    unsent = memoryview(b"")
    while clock.now() < max(until, stream.extended_deadline):
        if not unsent:
            if body.complete:
                return True
            unsent = memoryview(_next_frame(stream, body))
        idle = not unsent
        unsent = unsent[stream.send_some(unsent) :]
        wait_s = step_s(body, wanted=not unsent) if idle or unsent else 0.0
        if _wait(stream, body, wait_s, sending=bool(unsent)):
            return False
    return False


def _next_frame(stream: Stream, body: CallerBody) -> bytes:
    """Return the frame of the next part, empty if none has arrived."""
    try:
        part = body.take_part(clock.now())
    except BodyBrokenError as error:
        raise CallerDisconnectedError(str(error)) from error
    if part is None:
        return b""
    level = LEVEL if body.compressible else STORED
    frame = stream.frame({"t": "body_part", "data": part, "end": body.complete}, level)
    if part:
        body.compressible = len(frame) < COMPRESSIBLE_SHARE * len(part)
    return frame


def _wait(stream: Stream, body: CallerBody, wait_s: float, *, sending: bool) -> bool:
    """Wait for the stream or the caller; return whether anything was received on the stream."""
    poller = select.poll()
    poller.register(stream.fileno(), select.POLLIN | (select.POLLOUT if sending else 0))
    poller.register(body.fileno(), body.events(wanted=not sending))
    ready = dict(poller.poll(wait_s * 1000.0))
    if body.fileno() in ready and body.gone():
        raise CallerDisconnectedError("The caller closed its connection.")
    return bool(ready.get(stream.fileno(), 0) & ~select.POLLOUT)

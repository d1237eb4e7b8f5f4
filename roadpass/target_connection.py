"""One connection to a target: a request out, its whole answer in, over a socket that is polled."""

import math
import select
import socket
from typing import NamedTuple

import h11

from roadpass import clock
from roadpass.errors import TargetError, TargetRefusedError
from roadpass.outcome import Headers
from roadpass.request import CallerWatch

WRITE_BYTES = 64 * 1024
"""Bytes per write; a shorter request goes out at once, a longer one gives way to an answer."""
READ_BYTES = 256 * 1024
"""Bytes per read; large, so that a long answer takes few turns."""
MAX_HEAD_BYTES = 64 * 1024
"""Bytes of an answer's head; more than servers in use send, and bounded."""
MAX_ANSWER_BYTES = 15 * 1024 * 1024
"""Bytes of an answer's body; what a node is willing to hold for one request."""
_BODILESS = (204, 304)


class TargetTimeoutError(TargetError):
    """The target did not answer in time."""


class TargetLostError(TargetError):
    """The connection ended before the answer was whole; the request may have run."""


class TargetGarbledError(TargetError):
    """What came is no answer to this request, which may have run."""


class CallerLeftError(TargetError):
    """The caller has closed; so has the connection, and the request may have run."""


class WireRequest(NamedTuple):
    """A request as it goes to a target."""

    method: str
    path: str
    headers: Headers
    body: bytes


class AnswerRules(NamedTuple):
    """What an answer must show to be taken.

    Args:
        ends_by_close: Whether one without a length is whole once the connection ends cleanly.
        echo: Header that must carry `id`, empty for none.
        id: What the request was called.
        reject_encoded: Whether an answer with a content encoding is refused.
    """

    ends_by_close: bool = False
    echo: str = ""
    id: str = ""
    reject_encoded: bool = False


class RawAnswer(NamedTuple):
    """A whole answer; `reusable` tells whether the connection may serve another request."""

    status: int
    headers: Headers
    body: bytes
    reusable: bool


def values_of(headers: Headers, name: str) -> list[str]:
    """Return the values of all headers of a name, in whatever case."""
    return [value for given, value in headers if given.lower() == name.lower()]


class _AnswerReader:
    """Takes in bytes until the whole answer to one request is there."""

    def __init__(self, message: WireRequest, rules: AnswerRules, reused: bool) -> None:
        self._message = message
        self._rules = rules
        self._reused = reused
        self._skipped = False
        self.head = self._begin(b"")

    def _begin(self, received: bytes) -> bytes:
        """Expect an answer from these bytes on; return the head of the request."""
        self._status = 0
        self._headers: Headers = []
        self._parts: list[bytes] = []
        self._size = 0
        self._foreign = self._by_close = False
        self._codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        head = self._codec.send(_request(self._message)) or b""
        if self._message.body:
            self._codec.send(h11.Data(data=self._message.body))
        self._codec.send(h11.EndOfMessage())
        if received:
            self._codec.receive_data(received)
        return head

    def feed(self, data: bytes) -> RawAnswer | None:
        """Take in bytes; return the answer once it is whole."""
        try:
            self._codec.receive_data(data)
            while True:
                event = self._codec.next_event()
                if event is h11.NEED_DATA:
                    return None
                answer = self._take(event)
                if answer is not None:
                    return answer
        except h11.RemoteProtocolError as error:
            raise TargetGarbledError(f"The target sent no HTTP answer: {error}.") from error

    def end(self, clean: bool) -> RawAnswer:
        """Take in the end of the connection."""
        answer = self.feed(b"") if clean and self._by_close else None
        if answer is None:
            raise TargetLostError("The target's connection ended before its answer was whole.")
        return answer

    def _take(self, event: object) -> RawAnswer | None:
        if isinstance(event, h11.Response):
            self._start(event)
        elif isinstance(event, h11.Data):
            self._add(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return self._finish()
        elif not isinstance(event, h11.InformationalResponse):
            raise TargetGarbledError("The target did not stay with HTTP.")
        return None

    def _start(self, response: h11.Response) -> None:
        self._status = response.status_code
        self._headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers.raw_items()
        ]
        self._check_owner()
        if self._message.method == "HEAD" or self._status in _BODILESS:
            return
        lengths = values_of(self._headers, "content-length")
        if lengths and int(lengths[0]) > MAX_ANSWER_BYTES:
            raise TargetGarbledError("The answer is too long.")
        self._by_close = not lengths and not values_of(self._headers, "transfer-encoding")
        if self._by_close and (self._foreign or not self._rules.ends_by_close):
            raise TargetGarbledError("The answer has no length, so it cannot be proved whole.")

    def _check_owner(self) -> None:
        rules = self._rules
        if rules.echo and set(values_of(self._headers, rules.echo)) != {rules.id}:
            if not self._reused:
                raise TargetGarbledError("The answer belongs to another request.")
            self._foreign = True
        elif rules.reject_encoded and values_of(self._headers, "content-encoding"):
            raise TargetGarbledError("The answer is encoded, which nobody asked for.")

    def _add(self, data: bytes) -> None:
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            raise TargetGarbledError("The answer is too long.")

    def _finish(self) -> RawAnswer | None:
        """Return the answer, or pass over one that an earlier request left behind."""
        rest, _ = self._codec.trailing_data
        if self._foreign:
            self._skipped = True
            self._begin(rest)
            return None
        reusable = self._codec.their_state is h11.DONE and not (
            rest or self._skipped or self._by_close
        )
        return RawAnswer(self._status, self._headers, b"".join(self._parts), reusable)


class TargetConnection:
    """A connection to a target; one thread at a time uses it, any may cancel it.

    Args:
        sock: A connected socket, which is closed with this.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._unsent: list[memoryview] = []
        self._broken = False
        self.cancelled = False
        self.extended_until = 0.0
        self.reused = False
        self.taken_at = 0.0
        self.idle_since = 0.0
        self.idle_until = 0.0

    @classmethod
    def open(cls, host: str, port: int, limit_s: float) -> "TargetConnection":
        """Connect.

        Raises:
            TargetRefusedError: No connection within the time.
        """
        try:
            return cls(socket.create_connection((host, port), timeout=limit_s))
        except OSError as error:
            raise TargetRefusedError(f"No connection to {host}:{port}: {error}.") from error

    def exchange(
        self, message: WireRequest, rules: AnswerRules, deadline: float, watch: CallerWatch | None
    ) -> RawAnswer:
        """Send a request and wait for its whole answer.

        Raises:
            TargetRefusedError: The request cannot be put in HTTP; nothing was sent.
            TargetError: As its kind tells; the request may have run.
        """
        try:
            reader = _AnswerReader(message, rules, self.reused)
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise TargetRefusedError(f"The request cannot be sent: {error}.") from error
        self._unsent = _chunks(reader.head, message.body)
        self._write()
        answer: RawAnswer | None = None
        while answer is None:
            ready = self._wait(deadline, watch)
            if ready & ~select.POLLOUT:
                answer = self._read(reader)
            elif ready:
                self._write()
        return answer._replace(reusable=answer.reusable and not (self._unsent or self._broken))

    def is_idle(self) -> bool:
        """Return whether nothing came, neither bytes nor an end."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        return not poller.poll(0)

    def cancel(self) -> None:
        """End the connection under the thread that uses it, which then sees it lost."""
        self.cancelled = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _wait(self, deadline: float, watch: CallerWatch | None) -> int:
        """Wait for the target or its caller; return what the target's socket is ready for."""
        left = max(deadline, self.extended_until) - clock.now()
        if left <= 0.0:
            raise TargetTimeoutError("The target did not answer in time.")
        poller = select.poll()
        poller.register(self._sock, select.POLLIN | (select.POLLOUT if self._unsent else 0))
        caller = watch.fileno() if watch is not None and watch.watchable else -1
        if caller >= 0:
            poller.register(caller, select.POLLIN)
        ready = dict(poller.poll(math.ceil(min(clock.STEP_S, left) * 1000.0)))
        if watch is not None and caller in ready and watch.gone():
            raise CallerLeftError("The caller has left.")
        return ready.get(self._sock.fileno(), 0)

    def _write(self) -> None:
        """Write one piece, as far as it is accepted; after an error only an answer can come."""
        try:
            sent = self._sock.send(self._unsent[0][:WRITE_BYTES])
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._broken = True
            self._unsent = []
            return
        rest = self._unsent[0][sent:]
        self._unsent[:1] = [rest] if rest else []

    def _read(self, reader: _AnswerReader) -> RawAnswer | None:
        try:
            data = self._sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            raise TargetLostError(f"The target's connection was lost: {error}.") from error
        if data:
            return reader.feed(data)
        return reader.end(clean=not (self._broken or self.cancelled))


def _request(message: WireRequest) -> h11.Request:
    return h11.Request(
        method=message.method.encode("latin-1"),
        target=message.path.encode("latin-1"),
        headers=[(n.encode("latin-1"), v.encode("latin-1")) for n, v in message.headers],
    )


def _chunks(head: bytes, body: bytes) -> list[memoryview]:
    if len(head) + len(body) <= WRITE_BYTES:
        return [memoryview(head + body)]
    return [memoryview(head), memoryview(body)]

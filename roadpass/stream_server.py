"""The server for peer streams: receives requests from other nodes for this node's sidecar."""

import logging
import socket
import threading
import time
from contextlib import nullcontext

from roadpass._actor import Actor
from roadpass.body_source import UPLOAD_BYTES
from roadpass.body_stream import FrameBody
from roadpass.byte_gate import ByteGate, NoBytesError, current
from roadpass.errors import StreamError
from roadpass.message import Attempt, Message, Reply
from roadpass.outcome import RETRY_SOON_MS, NotRun, Reason
from roadpass.settings import Settings
from roadpass.sidecar import Sidecar
from roadpass.stream import FRAME_LIMIT_S, Received, Stream

MAX_STREAMS = 1024
"""Maximum number of open streams, each served by one thread."""
IDLE_LIMIT_S = 60.0
"""Idle timeout: seconds without an exchange after which a stream is closed."""
OUTCOMES = ("answered", "unknown")
"""Reply types that a shutdown waits for until they are written: their attempts may have run, and
large replies take seconds on a slow link. Refusals are short, and continue while peers send
requests."""
ACCEPT_POLL_S = 0.2
"""Interval at which the accept loop checks whether to stop."""

_log = logging.getLogger("roadpass.sidecar")


class StreamServer(Actor):
    """Owns the listening socket for peer streams; one thread serves one stream.

    Args:
        settings: Settings of this node.
        sidecar: Handles the messages.
        gate: Bounds the bytes kept for peers, `None` for no bound.
    """

    def __init__(self, settings: Settings, sidecar: Sidecar, gate: ByteGate | None = None) -> None:
        super().__init__()
        self._gate = gate
        self._settings = settings
        self._sidecar = sidecar
        self._listener: socket.socket | None = None
        self._closed = threading.Event()
        self._slots = threading.Semaphore(MAX_STREAMS)

    def on_start(self) -> None:
        """Bind the port and start the accept thread."""
        address = (self._settings.address, self._settings.ports.stream)
        self._listener = socket.create_server(address, backlog=512)
        self._listener.settimeout(ACCEPT_POLL_S)
        threading.Thread(target=self._accept, name="stream-accept", daemon=True).start()
        _log.info("listening for peers on %s:%d", *address)

    def on_stop(self) -> None:
        """Stop accepting connections; open streams last until the process exits."""
        self._closed.set()
        if self._listener is not None:
            self._listener.close()

    def _accept(self) -> None:
        listener = self._listener
        assert listener is not None
        while True:
            try:
                sock, _ = listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if self._closed.is_set():
                    return
                _log.error("cannot accept a connection: %s", error)
                time.sleep(ACCEPT_POLL_S)
                continue
            self._begin(sock)

    def _begin(self, sock: socket.socket) -> None:
        """Serve one connection in a new thread, or close it, so that accepting continues."""
        if not self._slots.acquire(blocking=False):
            _log.warning("closed a new stream: limit of %d open streams reached", MAX_STREAMS)
            sock.close()
            return
        thread = threading.Thread(target=self._serve, args=(sock,), name="stream", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:  # out of threads
            self._slots.release()
            _log.warning("closed a new stream: cannot start a thread: %s", error)
            sock.close()

    def _serve(self, sock: socket.socket) -> None:
        try:
            stream = Stream.accept(sock, self._settings.keys, self._sidecar.hello())
        except StreamError as error:
            _log.debug("handshake with a peer failed: %s", error)
            self._slots.release()
            return
        try:
            self._answer_all(stream)
        except StreamError as error:
            _log.debug("stream ended: %s", error)
        finally:
            stream.close()
            self._slots.release()

    def _answer_all(self, stream: Stream) -> None:
        while True:
            with self._gate.holding() if self._gate is not None else nullcontext():
                self._answer(stream)

    def _answer(self, stream: Stream) -> None:
        received = stream.receive(IDLE_LIMIT_S, frame_timeout_s=FRAME_LIMIT_S)
        body = FrameBody.of(stream, received.message)
        reply = self._reply(received, body)
        with self._sidecar.replies if reply["t"] in OUTCOMES else nullcontext():
            stream.send(reply)
        if body is not None and not body.complete:
            body.drop_rest()
            raise StreamError("The reply came before the end of the body.")

    def _reply(self, received: Received, body: FrameBody | None) -> Message:
        if body is None:
            return self._sidecar.answer(received.message, received.age_s)
        kept = current()
        try:
            if kept is not None:
                kept.take(UPLOAD_BYTES)
        except NoBytesError:
            return Reply(NotRun(Reason.NO_MEMORY, RETRY_SOON_MS)).to_message()
        attempt = Attempt.from_message(received.message)
        return self._sidecar.run(attempt, received.age_s, body).to_message()

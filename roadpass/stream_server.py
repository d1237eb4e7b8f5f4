"""The server of peers' streams: takes what ingresses elsewhere send to this node's sidecar."""

import logging
import socket
import threading
import time
from contextlib import nullcontext

from roadpass._actor import Actor
from roadpass.errors import StreamError
from roadpass.settings import Settings
from roadpass.sidecar import Sidecar
from roadpass.stream import FRAME_LIMIT_S, Stream

MAX_STREAMS = 1024
"""Streams held at once, each by a thread."""
IDLE_LIMIT_S = 60.0
"""Seconds after which a stream without an exchange is closed."""
OUTCOMES = ("answered", "unknown")
"""Replies that a stop waits for until they are written: their attempts may have run, and large ones
take seconds on a slow link. Refusals are short, and come as long as peers ask."""
ACCEPT_POLL_S = 0.2
"""Seconds between looks at whether to stop listening."""

_log = logging.getLogger("roadpass.sidecar")


class StreamServer(Actor):
    """Owns the listening socket for peer streams; one thread serves one stream.

    Args:
        settings: Of this node.
        sidecar: Answers the messages.
    """

    def __init__(self, settings: Settings, sidecar: Sidecar) -> None:
        super().__init__()
        self._settings = settings
        self._sidecar = sidecar
        self._listener: socket.socket | None = None
        self._closed = threading.Event()
        self._slots = threading.Semaphore(MAX_STREAMS)

    def on_start(self) -> None:
        """Listen and accept."""
        address = (self._settings.address, self._settings.ports.stream)
        self._listener = socket.create_server(address, backlog=512)
        self._listener.settimeout(ACCEPT_POLL_S)
        threading.Thread(target=self._accept, name="stream-accept", daemon=True).start()
        _log.info("listening for peers on %s:%d", *address)

    def on_stop(self) -> None:
        """Stop to accept; open streams end with the process."""
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
                _log.error("cannot accept: %s", error)
                time.sleep(ACCEPT_POLL_S)
                continue
            self._begin(sock)

    def _begin(self, sock: socket.socket) -> None:
        """Serve one connection by a thread of its own, or close it: accepting goes on."""
        if not self._slots.acquire(blocking=False):
            _log.warning("closed a stream, there are %d", MAX_STREAMS)
            sock.close()
            return
        thread = threading.Thread(target=self._serve, args=(sock,), name="stream", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:  # the machine has no thread left
            self._slots.release()
            _log.warning("closed a stream: %s", error)
            sock.close()

    def _serve(self, sock: socket.socket) -> None:
        try:
            stream = Stream.accept(sock, self._settings.keys, self._sidecar.hello())
        except StreamError as error:
            _log.debug("peer refused: %s", error)
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
            received = stream.receive(IDLE_LIMIT_S, frame_timeout_s=FRAME_LIMIT_S)
            reply = self._sidecar.answer(received.message, received.age_s)
            with self._sidecar.replies if reply["t"] in OUTCOMES else nullcontext():
                stream.send(reply)

"""Fetches source updates from peers in a separate actor, so that the reader is never blocked."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import pykka

from roadpass import clock
from roadpass._actor import Actor
from roadpass.errors import StreamError
from roadpass.peer_pool import Address
from roadpass.position import Position
from roadpass.source_update import PeerPosition, SourceUpdate

_log = logging.getLogger("roadpass.reader")


class PeerRequest(NamedTuple):
    """Request for everything after a position.

    Args:
        peer: The peer to ask.
        after: The position; `START` for a full snapshot.
        requested_at: Clock seconds at which the request was made.
    """

    peer: PeerPosition
    after: Position
    requested_at: float


class PeerResult(NamedTuple):
    """Outcome of a request.

    Args:
        request: The request.
        result: The peer's update, or the error that prevented it.
        at: Clock seconds at which the request ended.
    """

    request: PeerRequest
    result: SourceUpdate | StreamError
    at: float


class PeerFetcher(Actor):
    """Processes requests one at a time and sends each result to the reader.

    Args:
        fetch: Fetches what came after a position from a peer; may raise `StreamError`.
        reader: The actor that receives the results.
    """

    def __init__(
        self, fetch: Callable[[Address, Position], SourceUpdate], reader: "pykka.ActorRef[Any]"
    ) -> None:
        super().__init__()
        self._fetch = fetch
        self._reader = reader

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case PeerRequest():
                self._report(PeerResult(message, self._fetch_result(message), clock.now()))
            case _:
                _log.error("unknown message %r", message)

    def _fetch_result(self, request: PeerRequest) -> SourceUpdate | StreamError:
        try:
            return self._fetch(request.peer.address, request.after)
        except StreamError as error:
            return error
        except Exception as error:
            _log.exception("unexpected error in a request to %s", request.peer.vm)
            return StreamError(f"The request failed: {error!r}.")

    def _report(self, response: PeerResult) -> None:
        try:
            self._reader.tell(response)
        except pykka.ActorDeadError:
            _log.info("reader has stopped; result from %s dropped", response.request.peer.vm)

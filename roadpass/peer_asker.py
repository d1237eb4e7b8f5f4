"""Questions to peers, asked by an actor of their own: whoever has one does not wait for it."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import pykka

from roadpass import clock
from roadpass._actor import Actor
from roadpass.errors import StreamError
from roadpass.news import PeerPosition, SourceUpdate
from roadpass.peer import Address
from roadpass.position import Position

_log = logging.getLogger("roadpass.reader")


class PeerRequest(NamedTuple):
    """One question: what came after a position.

    Args:
        peer: Who is asked.
        after: The position; `START` for all there is.
        requested_at: Clock seconds at which it was wanted.
    """

    peer: PeerPosition
    after: Position
    requested_at: float


class PeerResult(NamedTuple):
    """What came of a question.

    Args:
        request: The question.
        result: The peer's news, or why there are none.
        at: Clock seconds at which it was over.
    """

    request: PeerRequest
    result: SourceUpdate | StreamError
    at: float


class PeerFetcher(Actor):
    """Asks one question after the other, and tells what came of each.

    Args:
        request: Asks a peer for what came after a position; may raise `StreamError`.
        reader: Whom to tell.
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
            _log.exception("a question to %s failed in a way that nobody foresaw", request.peer.vm)
            return StreamError(f"The question failed: {error!r}.")

    def _report(self, response: PeerResult) -> None:
        try:
            self._reader.tell(response)
        except pykka.ActorDeadError:
            _log.info("nobody waits for the answer of %s any more", response.request.peer.vm)

"""Questions to peers, asked by an actor of their own: whoever has one does not wait for it."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import pykka

from roadpass import clock
from roadpass._actor import Actor
from roadpass.errors import StreamError
from roadpass.news import News, PeerPosition
from roadpass.peer import Address
from roadpass.position import Position

_log = logging.getLogger("roadpass.reader")


class Ask(NamedTuple):
    """One question: what came after a position.

    Args:
        peer: Who is asked.
        after: The position; `START` for all there is.
        asked_at: Clock seconds at which it was wanted.
    """

    peer: PeerPosition
    after: Position
    asked_at: float


class Asked(NamedTuple):
    """What came of a question.

    Args:
        ask: The question.
        result: The peer's news, or why there are none.
        at: Clock seconds at which it was over.
    """

    ask: Ask
    result: News | StreamError
    at: float


class PeerAsker(Actor):
    """Asks one question after the other, and tells what came of each.

    Args:
        ask: Asks a peer for what came after a position; may raise `StreamError`.
        reader: Whom to tell.
    """

    def __init__(
        self, ask: Callable[[Address, Position], News], reader: "pykka.ActorRef[Any]"
    ) -> None:
        super().__init__()
        self._ask = ask
        self._reader = reader

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Ask():
                self._tell(Asked(message, self._result(message), clock.now()))
            case _:
                _log.error("unknown message %r", message)

    def _result(self, ask: Ask) -> News | StreamError:
        try:
            return self._ask(ask.peer.address, ask.after)
        except StreamError as error:
            return error
        except Exception as error:
            _log.exception("a question to %s failed in a way that nobody foresaw", ask.peer.vm)
            return StreamError(f"The question failed: {error!r}.")

    def _tell(self, asked: Asked) -> None:
        try:
            self._reader.tell(asked)
        except pykka.ActorDeadError:
            _log.info("nobody waits for the answer of %s any more", asked.ask.peer.vm)

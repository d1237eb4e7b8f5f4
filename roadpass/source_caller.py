"""Calls to a source, made by an actor of their own: whoever wants one does not wait for it."""

import logging
from typing import Any, NamedTuple

import pykka

from roadpass import clock
from roadpass._actor import Actor
from roadpass.errors import PlatformError
from roadpass.position import Position
from roadpass.source import Changes, Source

_log = logging.getLogger("roadpass.reader")


class Call(NamedTuple):
    """One reading.

    Args:
        after: The position to go on from, `None` for all there is.
        wait_s: Seconds to wait for changes.
        asked_at: Clock seconds at which it was wanted.
    """

    after: Position | None
    wait_s: float
    asked_at: float


class Called(NamedTuple):
    """What came of a reading.

    Args:
        call: The reading.
        result: What it brought, or why nothing.
        at: Clock seconds at which it was over.
    """

    call: Call
    result: Changes | PlatformError
    at: float


class SourceCaller(Actor):
    """Makes one call after the other, and tells what came of each.

    Args:
        source: To read from; a call takes as long as it pleases.
        reader: Whom to tell.
    """

    def __init__(self, source: Source, reader: "pykka.ActorRef[Any]") -> None:
        super().__init__()
        self._source = source
        self._reader = reader

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Call():
                self._tell(Called(message, self._result(message), clock.now()))
            case _:
                _log.error("unknown message %r", message)

    def _result(self, call: Call) -> Changes | PlatformError:
        try:
            if call.after is None:
                return self._source.snapshot()
            return self._source.watch(call.after, call.wait_s)
        except PlatformError as error:
            return error
        except Exception as error:
            _log.exception("a call to the source failed in a way that nobody foresaw")
            return PlatformError(f"The call failed: {error!r}.")

    def _tell(self, called: Called) -> None:
        try:
            self._reader.tell(called)
        except pykka.ActorDeadError:
            _log.info("nobody waits for the source any more")

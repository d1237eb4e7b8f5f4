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


class SourceRequest(NamedTuple):
    """One reading.

    Args:
        after: The position to go on from, `None` for all there is.
        wait_s: Seconds to wait for changes.
        requested_at: Clock seconds at which it was wanted.
    """

    after: Position | None
    wait_s: float
    requested_at: float


class SourceResult(NamedTuple):
    """What came of a reading.

    Args:
        request: The reading.
        result: What it brought, or why nothing.
        at: Clock seconds at which it was over.
    """

    request: SourceRequest
    result: Changes | PlatformError
    at: float


class SourceFetcher(Actor):
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
            case SourceRequest():
                self._report(SourceResult(message, self._fetch_result(message), clock.now()))
            case _:
                _log.error("unknown message %r", message)

    def _fetch_result(self, request: SourceRequest) -> Changes | PlatformError:
        try:
            if request.after is None:
                return self._source.snapshot()
            return self._source.watch(request.after, request.wait_s)
        except PlatformError as error:
            return error
        except Exception as error:
            _log.exception("a call to the source failed in a way that nobody foresaw")
            return PlatformError(f"The call failed: {error!r}.")

    def _report(self, response: SourceResult) -> None:
        try:
            self._reader.tell(response)
        except pykka.ActorDeadError:
            _log.info("nobody waits for the source any more")

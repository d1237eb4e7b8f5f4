"""Calls the source in a separate actor, so that the reader is never blocked by a slow call."""

import logging
from typing import Any, NamedTuple

import pykka

from roadpass import clock
from roadpass._actor import Actor
from roadpass.errors import PlatformError
from roadpass.position import Position
from roadpass.read_schedule import MIN_WATCH_S
from roadpass.source import Changes, Source

SOURCE_GRACE_S = 0.25
"""Seconds to wait for a call in flight, once a peer has announced more, before peers are asked. The
call returns the same changes within that time, even from a slow source, unless it hangs."""

_log = logging.getLogger("roadpass.reader")


class SourceRequest(NamedTuple):
    """Request for one read of the source.

    Args:
        after: The position to continue from, `None` for a full snapshot.
        wait_s: Seconds to wait for changes.
        requested_at: Clock seconds at which the request was made.
    """

    after: Position | None
    wait_s: float
    requested_at: float

    @property
    def is_immediate(self) -> bool:
        """Whether the source should answer at once; a call that waits may be cut at any time."""
        return self.after is None or self.wait_s <= MIN_WATCH_S

    def is_overdue(self, now: float) -> bool:
        """Return whether it should have been answered, if it is still in flight."""
        return self.is_immediate and now - self.requested_at > SOURCE_GRACE_S


class SourceResult(NamedTuple):
    """Outcome of a read.

    Args:
        request: The request.
        result: The changes, or the error that prevented them.
        at: Clock seconds at which the read ended.
    """

    request: SourceRequest
    result: Changes | PlatformError
    at: float


class SourceFetcher(Actor):
    """Makes one call at a time and sends each result to the reader.

    Args:
        source: The source to read; its calls may block for any length of time.
        reader: The actor that receives the results.
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
            _log.exception("unexpected error in a call to the source")
            return PlatformError(f"The call failed: {error!r}.")

    def _report(self, response: SourceResult) -> None:
        try:
            self._reader.tell(response)
        except pykka.ActorDeadError:
            _log.info("reader has stopped; result from the source dropped")

"""The exception hierarchy; each layer converts errors of the layers below to its own branch."""

from collections.abc import Sequence


class RoadpassError(Exception):
    """Base class of all errors that roadpass raises itself."""


class SettingsError(RoadpassError):
    """A settings file is unreadable or invalid."""

    def __init__(self, source: str, problems: Sequence[str]) -> None:
        self.source = source
        self.problems = tuple(problems)
        super().__init__(f"{source}: " + "; ".join(self.problems))


class DocumentError(RoadpassError):
    """A fleet document or manifest is invalid."""

    def __init__(self, source: str, problems: Sequence[str]) -> None:
        self.source = source
        self.problems = tuple(problems)
        super().__init__(f"{source}: " + "; ".join(self.problems))


class IncompleteError(DocumentError):
    """A revision arrived without some of its documents; a later attempt may succeed."""


class CustomerError(RoadpassError):
    """Customers or their keys are invalid or contradictory; the message never contains a key."""


class StreamError(RoadpassError):
    """A stream to a peer failed; it is closed and never reused."""


class ConnectError(StreamError):
    """The peer could not be reached; no byte of the frame was written."""


class FrameError(StreamError):
    """A peer sent a frame that is malformed, too long or not authentic."""


class ReplyTimeoutError(StreamError):
    """The peer did not reply in time."""


class PlatformError(RoadpassError):
    """The platform did not respond, or its response is unusable."""


class TargetError(RoadpassError):
    """A target did not send a complete response."""


class TargetRefusedError(TargetError):
    """No connection to the target could be made, so nothing was sent."""


class AdminError(RoadpassError):
    """The administration API of a node could not be read."""

"""What a caller may send to a node, and how long it may take."""

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """The bounds of one request and its connection.

    Args:
        max_header_bytes: Of the request line and all headers.
        max_body_bytes: Of a body, which is held in memory.
        header_timeout_s: Seconds from the first byte of a request to the end of its headers.
        idle_timeout_s: Seconds that a connection may wait for a request's first byte.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0

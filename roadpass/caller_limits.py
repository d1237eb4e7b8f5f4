"""Size limits and timeouts for requests of callers."""

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Limits for one request and its connection.

    Args:
        max_header_bytes: Maximum size of the request line and all headers.
        max_body_bytes: Maximum size of a body; a long one is streamed.
        header_timeout_s: Seconds from the first byte of a request to the end of its headers.
        idle_timeout_s: Seconds that a connection may wait for the first byte of a request.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0

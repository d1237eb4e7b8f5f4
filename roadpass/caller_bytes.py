"""Bytes kept for a caller: of the body that it sends, and of the response that it reads."""

import math
import socket

import h11

from roadpass import clock
from roadpass.body_source import UPLOAD_BYTES
from roadpass.body_stream import CallerBody
from roadpass.byte_budget import WAIT_LIMIT_S, WAIT_SHARE
from roadpass.byte_gate import KeptBytes, NoBytesError, current
from roadpass.decision import decided
from roadpass.metric import Metrics
from roadpass.outcome import Reason
from roadpass.request_head import Head, RefusedError

WRITE_MIN_S = 0.001
"""Minimum socket timeout; 0 would make the socket non-blocking."""


def take_body(kept: KeptBytes | None, size: int, deadline: float | None = None) -> None:
    """Keep the bytes of a body, and expect the caller to send them.

    Args:
        kept: What is kept for the request.
        size: Further bytes.
        deadline: Clock seconds at which the request expires, `None` if it does not.

    Raises:
        RefusedError: They cannot be kept, or not soon enough to serve the request.
    """
    if kept is None or not size:
        return
    left_s = math.inf if deadline is None else max(0.0, deadline - clock.now())
    try:
        kept.take(size, min(WAIT_LIMIT_S, WAIT_SHARE * left_s))
    except NoBytesError as error:
        raise RefusedError(503, Reason.NO_MEMORY) from error
    kept.expect_caller()


def begin_stream(
    sock: socket.socket,
    codec: h11.Connection,
    head: Head,
    max_bytes: int,
    *,
    deadline: float | None,
    received: bytes = b"",
) -> CallerBody:
    """Return a body whose rest is read once a target has accepted the request.

    Args:
        sock: The caller's socket.
        codec: Has parsed the head.
        head: Head of the request.
        max_bytes: Most bytes of a body.
        deadline: Clock seconds at which the request expires, `None` if it does not.
        received: The part of the body that was read already, and is accounted for.

    Raises:
        RefusedError: There is no memory for its parts.
    """
    kept = current()
    take_body(kept, UPLOAD_BYTES, deadline)
    if kept is not None:
        kept.expect_none()
    return CallerBody(sock, codec, head.body_length, max_bytes, received)


def log_broken(upload: CallerBody, request_id: str, metrics: Metrics) -> None:
    """Log and count an upload whose body broke off."""
    if upload.error:
        metrics.count("uploads_broken")
        decided(
            "upload",
            "body-broken",
            request=request_id,
            error=upload.error,
            received=upload.received,
            length=upload.length,
        )


def write_kept(sock: socket.socket, kept: KeptBytes, data: bytes, limit_s: float) -> None:
    """Write a response, and release its bytes as the caller reads them.

    Raises:
        OSError: The caller left, or did not read it in time.
    """
    kept.keep_at_most(len(data))
    kept.expect_caller()
    until = clock.now() + limit_s
    rest = memoryview(data)
    while rest:
        sock.settimeout(max(WRITE_MIN_S, until - clock.now()))
        sent = sock.send(rest)
        rest = rest[sent:]
        kept.record_progress(sent)
        kept.keep_at_most(len(rest))

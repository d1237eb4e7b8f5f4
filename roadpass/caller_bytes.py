"""Bytes kept for a caller: of the body that it sends, and of the response that it reads."""

import socket

import h11

from roadpass import clock
from roadpass.body_source import BUFFER_BYTES, UPLOAD_BYTES
from roadpass.body_stream import CallerBody
from roadpass.byte_gate import KeptBytes, NoBytesError, current
from roadpass.decision import decided
from roadpass.metric import Metrics
from roadpass.outcome import Reason
from roadpass.request_head import Head, RefusedError

WRITE_MIN_S = 0.001
"""Minimum socket timeout; 0 would make the socket non-blocking."""


def take_body(kept: KeptBytes | None, size: int) -> None:
    """Keep the bytes of a body, and expect the caller to send them.

    Raises:
        RefusedError: They cannot be kept.
    """
    if kept is None or not size:
        return
    try:
        kept.take(size)
    except NoBytesError as error:
        raise RefusedError(503, Reason.NO_MEMORY) from error
    kept.expect_caller()


def begin_upload(
    sock: socket.socket, codec: h11.Connection, head: Head, max_bytes: int
) -> CallerBody | None:
    """Return the body of an upload, which is read once a target has accepted the request.

    Args:
        sock: The caller's socket.
        codec: Has parsed the head.
        head: Head of the request.
        max_bytes: Most bytes of a body.

    Returns:
        `None` if the request has no body.

    Raises:
        RefusedError: The body is too long, or there is no memory for its parts.
    """
    length = int(head.header("Content-Length") or 0)
    is_chunked = bool(head.header("Transfer-Encoding"))
    if not length and not is_chunked:
        return None
    if length > max_bytes:
        raise RefusedError(413, Reason.TOO_LARGE)
    kept = current()
    take_body(kept, UPLOAD_BYTES)
    if kept is not None:
        kept.expect_none()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    return CallerBody(sock, codec, None if is_chunked else length, max_bytes)


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
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
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

"""Helpers of `stream`: the content of a frame, the bytes kept for it, and the state of a socket."""

import select
import socket
from typing import Any

from roadpass import clock
from roadpass.byte_budget import WAIT_LIMIT_S
from roadpass.byte_gate import NoBytesError, current
from roadpass.errors import FrameError, StreamError
from roadpass.packing import unpack


def keep_bytes(size: int, deadline: float) -> None:
    """Account for bytes that are to be received, if the current thread does.

    Args:
        size: Bytes.
        deadline: Clock seconds until which to wait for them, if that is later than usual.

    Raises:
        StreamError: They cannot be kept in time.
    """
    kept = current()
    if kept is None:
        return
    try:
        kept.take(size, max(WAIT_LIMIT_S, deadline - clock.now()), separate=True)
    except NoBytesError as error:
        raise StreamError(f"There is no memory for a frame: {error}") from error


def unpack_frame(payload: bytes) -> tuple[int, Any]:
    """Return the send time and the message of a frame.

    Raises:
        FrameError: The frame is malformed.
    """
    try:
        sent_ns, message = unpack(payload)
    except (ValueError, TypeError) as error:
        raise FrameError(f"The frame contains no message: {error}.") from error
    if not isinstance(sent_ns, int):
        raise FrameError("The frame has no send time.")
    return sent_ns, message


def is_readable(sock: socket.socket, timeout_s: float) -> bool:
    """Return whether a socket has received something, or was closed, within some seconds."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLIN)
        return bool(poller.poll(timeout_s * 1000.0))
    except (OSError, ValueError):
        return True

"""Encoding of messages between nodes: msgpack, deflated with a preset dictionary of common strings.

A short message consists mostly of its field names, which every message repeats, and traffic between
data halls is billed.
"""

import zlib
from typing import Any

import msgpack

from roadpass.errors import FrameError

MAX_BYTES = 16 * 1024 * 1024
"""Maximum size of an unpacked message in bytes."""
_WINDOW = -12
"""Raw deflate with a window of 4 KB, which holds the dictionary and a typical message."""
LEVEL = 6
STORED = 0
_MEMORY_LEVEL = 3
"""Deflate's memory level: about 20 KB for each message being packed, far less than at the default
level."""
_DICTIONARY = (
    b"manifest documents whole config withdrawn targets away_age_s age_s catch_up news "
    b"announce sync ping_req ping ack sender hints on digest platform_age_s n revision "
    b"fenced fence_key fence verdict never_starts started cannot_vouch hello incarnation "
    b"vm unknown timeout stream-lost target-lost not_run reason retry_after_ms "
    b"no-free-slot target-doubtful shed-by-target-lately shed-by-target "
    b"deadline-cannot-be-met target-failing answered status headers body service_ms load "
    b"in_flight queued limit failure_score slow_score latency_ms revision bad wait_ms "
    b"accepted check "
    b"target traffic_class p000 p001 p002 repeatable may_wait pressing most_bad spare "
    b"most_wait_ms "
    b"attempt id target route r- method GET POST PUT path headers host .example user-agent "
    b"accept content-type application/octet-stream text/plain content-length request-id "
    b"deadline-ms server-signature date remaining_ms traffic_class caller repeatable retry "
    b"revision slow_ms key repeat request_id origin may_wait pressing last most_bad "
    b"10.1.0. 10.2.0. 10.3.0. i- t"
)


def pack(value: Any, level: int = LEVEL) -> bytes:
    """Return the packed form of a value that msgpack supports.

    Args:
        value: The value.
        level: Deflate's level; `STORED` for data that does not get shorter.
    """
    packer = zlib.compressobj(level, zlib.DEFLATED, _WINDOW, _MEMORY_LEVEL, zdict=_DICTIONARY)
    return packer.compress(msgpack.packb(value)) + packer.flush()


def unpack(data: bytes) -> Any:
    """Return the value that was packed.

    Raises:
        FrameError: The data is malformed, truncated, too long or followed by other bytes.
    """
    unpacker = zlib.decompressobj(_WINDOW, zdict=_DICTIONARY)
    try:
        plain = unpacker.decompress(data, MAX_BYTES)
        if not unpacker.eof or unpacker.unused_data:
            raise FrameError("The message is truncated, too long, or followed by extra bytes.")
        return msgpack.unpackb(plain, strict_map_key=True)
    except (zlib.error, ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError(f"The message cannot be unpacked: {error}.") from error

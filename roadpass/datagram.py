"""Encoding of datagrams between nodes: packed, followed by a MAC if keys are configured."""

import hmac
from collections.abc import Sequence
from typing import Any

from roadpass._generated.message_types import Datagram
from roadpass.errors import FrameError
from roadpass.message import check_gossip
from roadpass.packing import pack, unpack
from roadpass.stream import MAC_BYTES


def seal(message: dict[str, Any], keys: Sequence[bytes]) -> bytes:
    """Return the encoded and authenticated form of a message.

    Args:
        message: A message that follows `message.schema.json`.
        keys: The first one signs; if empty, no MAC is added.
    """
    payload = pack(message)
    if not keys:
        return payload
    return payload + _mac(keys[0], payload)


def unseal(content: bytes, keys: Sequence[bytes]) -> Datagram:
    """Verify, decode and check a datagram.

    Args:
        content: The datagram as received.
        keys: Keys that are accepted; if empty, no MAC is expected.

    Raises:
        FrameError: The datagram is not authentic, or malformed.
    """
    payload = content
    if keys:
        payload, mac = content[:-MAC_BYTES], content[-MAC_BYTES:]
        macs = (_mac(key, payload) for key in keys)
        if not any(hmac.compare_digest(mac, one) for one in macs):
            raise FrameError("The datagram's MAC matches none of the keys.")
    return check_gossip(unpack(payload))


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, "sha256")[:MAC_BYTES]

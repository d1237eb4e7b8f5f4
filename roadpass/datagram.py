"""The sealed form of datagrams between nodes: packed, with a MAC behind it where there are keys."""

import hmac
from collections.abc import Sequence
from typing import Any

from roadpass._generated.message_types import Datagram
from roadpass.errors import FrameError
from roadpass.message import check_gossip
from roadpass.packing import pack, unpack
from roadpass.stream import MAC_BYTES


def seal(message: dict[str, Any], keys: Sequence[bytes]) -> bytes:
    """Return the sealed form of a message.

    Args:
        message: As `message.schema.json` has it.
        keys: The first one seals; without any there is no MAC.
    """
    payload = pack(message)
    if not keys:
        return payload
    return payload + _mac(keys[0], payload)


def unseal(content: bytes, keys: Sequence[bytes]) -> Datagram:
    """Return the checked message of a datagram.

    Args:
        content: As it came in.
        keys: Any of them may have sealed it; without any there is no MAC.

    Raises:
        FrameError: It is not authentic, or malformed.
    """
    payload = content
    if keys:
        payload, mac = content[:-MAC_BYTES], content[-MAC_BYTES:]
        macs = (_mac(key, payload) for key in keys)
        if not any(hmac.compare_digest(mac, one) for one in macs):
            raise FrameError("The datagram is not authentic.")
    return check_gossip(unpack(payload))


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, "sha256")[:MAC_BYTES]

"""Datagram fields by which nodes share the capacity of targets, and their messages to gossip."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from roadpass.revision import Version

CAPACITY_FIELDS = ("room", "waiting", "slots", "returned")
MAX_ROWS_BYTES = 900
"""Bytes of rows in one datagram; the rest is left for the fields that every datagram carries."""
MAX_ROWS = 64
"""Rows in one datagram, by the schema."""
ROW_BYTES = 24
"""Estimated size in bytes of a row without its name."""


class CapacityMessage(NamedTuple):
    """Rows for other nodes, which get the same datagram.

    Args:
        vms: The nodes that get it.
        fields: Rows by field, see `CAPACITY_FIELDS`.
    """

    vms: tuple[str, ...]
    fields: Mapping[str, Sequence[Any]]

    def datagram(self, sender: str, version: Version) -> dict[str, Any]:
        """Return the datagram. It has nothing of the membership, so that it costs receivers little.

        Args:
            sender: This node's VM.
            version: Configuration version in force. With a source it is `NO_VERSION`, which older
                nodes take for no statement on the position in the source.
        """
        return {
            "t": "announce",
            "sender": sender,
            "n": 0,
            "revision": version.revision,
            "digest": version.digest,
            **self.fields,
            "news": [],
        }


def capacity_fields(message: Mapping[str, Any]) -> dict[str, Sequence[Any]]:
    """Return the fields of a datagram that share capacity."""
    return {name: message[name] for name in CAPACITY_FIELDS if message.get(name)}


def batches(rows: Sequence[Sequence[Any]]) -> Iterator[list[Sequence[Any]]]:
    """Split rows, each of which begins with a name, so that each batch fits into a datagram."""
    batch: list[Sequence[Any]] = []
    size = 0
    for row in rows:
        row_size = ROW_BYTES + len(row[0].encode())
        if batch and (size + row_size > MAX_ROWS_BYTES or len(batch) >= MAX_ROWS):
            yield batch
            batch, size = [], 0
        batch.append(row)
        size += row_size
    if batch:
        yield batch
